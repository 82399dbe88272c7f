//! Whom a site serves that is asked for more than it can give.
//!
//! Pattern: two of three targets take three times as long for a token as the third. Lengths of answers are
//! widely spread, so that the longest end in time at the fast targets only, where the others may go too.

mod direct_support;

use std::time::Duration;

use direct_support::site::{Agents, Kind, Lengths, Site, World, world_of};
use test_case::test_case;

const KINDS: &[Kind] = &[
    Kind {
        path: "/first/",
        rank: 0,
        share: 0.25,
        aim: Duration::from_millis(800),
        patience: Duration::from_secs(5),
        median: 20.0,
        spread: 3.5,
    },
    Kind {
        path: "/middle/",
        rank: 1,
        share: 0.45,
        aim: Duration::from_millis(1_000),
        patience: Duration::from_secs(3),
        median: 10.0,
        spread: 4.0,
    },
    Kind {
        path: "/last/",
        rank: 2,
        share: 0.3,
        aim: Duration::from_millis(1_200),
        patience: Duration::from_secs(15),
        median: 110.0,
        spread: 4.5,
    },
];
const LENGTHS: Lengths = Lengths { kinds: KINDS, first: [80.0, 160.0], token: [3.5, 10.5] };
const MIDDLE: usize = 1;
const LAST: usize = 2;
/// Least that the longest are served, as a part of what their whole kind is.
const LEAST: f64 = 0.5;
/// The same where it leaves a margin, and for each other length as well.
const EVEN: f64 = 0.75;

/// Time for which requests come, in ms.
const ASKED: u64 = 60_000;

fn play(load: f64, seed: u64) -> World {
    let site = Site { entries: 16, targets: 24, slots: 4, held: 0, load, agents: Agents::Beside };
    let mut world = world_of(site, LENGTHS, seed);
    (0..ASKED).for_each(|_| world.pass());
    world.finish();
    world
}

/// What is served of the longest tenth of a kind and of the fifth below it, as parts of what is served of
/// the whole kind.
fn longest(world: &World, kind: usize) -> [f64; 2] {
    [0.9..1.0, 0.7..0.9].map(|range| world.served(kind, range) / world.served(kind, 0.0..1.0))
}

/// Guards against long answers that are starved by short ones of their own tier.
#[test_case(160.0, 1; "load_160_seed_1")]
#[test_case(160.0, 2; "load_160_seed_2")]
#[test_case(175.0, 3; "load_175_seed_3")]
#[test_case(175.0, 4; "load_175_seed_4")]
fn long_answers_are_served_at_least_half_as_often_as_their_kind(load: f64, seed: u64) {
    let world = play(load, seed);

    for kind in [MIDDLE, LAST] {
        let longest = longest(&world, kind);
        assert!(longest.iter().all(|&part| part >= LEAST), "{kind}: {longest:?}");
    }
}

/// Guards against a tier's answers of one length that pay for those of another.
#[test_case(160.0, 1; "load_160_seed_1")]
#[test_case(160.0, 2; "load_160_seed_2")]
#[test_case(175.0, 3; "load_175_seed_3")]
#[test_case(175.0, 4; "load_175_seed_4")]
fn no_length_is_served_much_less_often_than_its_kind(load: f64, seed: u64) {
    let world = play(load, seed);

    for kind in [MIDDLE, LAST] {
        let whole = world.served(kind, 0.0..1.0);
        let tenths = (0..10).map(|tenth| f64::from(tenth) / 10.0);
        let parts: Vec<f64> =
            tenths.map(|from| world.served(kind, from..from + 0.1) / whole).collect();
        assert!(parts.iter().all(|&part| part >= EVEN), "{kind}: {parts:.2?}");
    }
}
