//! Shares of long and short answers that are served under overload.
//!
//! Every third target is fast; the others take three times as long per token. The lengths of answers are
//! widely spread: the longest end in time at the fast targets only, where shorter answers may go too.

mod direct_support;

use std::time::Duration;

use direct_support::site::{Agents, Kind, Lengths, Site, World, world_of};
use test_case::test_case;

/// Three tiers of requests, which differ in patience and in the lengths of their answers.
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
/// Times per request at a fast and at a slow target, in ms.
const LENGTHS: Lengths = Lengths { kinds: KINDS, first: [80.0, 160.0], token: [3.5, 10.5] };
/// Index in `KINDS` of the middle tier.
const MIDDLE_KIND: usize = 1;
/// Index in `KINDS` of the lowest tier.
const LOWEST_KIND: usize = 2;
/// Smallest ratio of the part of the longest answers that is served to the part of their whole kind.
const MIN_LONGEST_RATIO: f64 = 0.5;
/// Smallest such ratio for each tenth of the lengths. It leaves a margin over `MIN_LONGEST_RATIO`.
const MIN_TENTH_RATIO: f64 = 0.75;

/// Time for which requests arrive, in ms.
const ARRIVALS_MS: u64 = 60_000;

/// Runs a deployment that gets `load` requests per second until all requests have ended.
fn simulate(load: f64, seed: u64) -> World {
    let site = Site { entries: 16, targets: 24, slots: 4, held: 0, load, agents: Agents::Beside };
    let mut world = world_of(site, LENGTHS, seed);
    (0..ARRIVALS_MS).for_each(|_| world.pass());
    world.finish();
    world
}

/// Returns the part that is served of the longest tenth of a kind and of the fifth below it, each divided by
/// the part that is served of the whole kind.
fn served_ratios_of_longest(world: &World, kind: usize) -> [f64; 2] {
    [0.9..1.0, 0.7..0.9].map(|range| world.served(kind, range) / world.served(kind, 0.0..1.0))
}

/// Guards against long answers that are starved by short answers of their own tier.
#[test_case(160.0, 1; "load_160_seed_1")]
#[test_case(160.0, 2; "load_160_seed_2")]
#[test_case(175.0, 3; "load_175_seed_3")]
#[test_case(175.0, 4; "load_175_seed_4")]
fn long_answers_are_served_at_least_half_as_often_as_their_kind(load: f64, seed: u64) {
    let world = simulate(load, seed);

    for kind in [MIDDLE_KIND, LOWEST_KIND] {
        let ratios = served_ratios_of_longest(&world, kind);
        assert!(ratios.iter().all(|&ratio| ratio >= MIN_LONGEST_RATIO), "kind {kind}: {ratios:?}");
    }
}

/// Guards against answers of one length that are served at the expense of another length of the same tier.
#[test_case(160.0, 1; "load_160_seed_1")]
#[test_case(160.0, 2; "load_160_seed_2")]
#[test_case(175.0, 3; "load_175_seed_3")]
#[test_case(175.0, 4; "load_175_seed_4")]
fn no_length_is_served_much_less_often_than_its_kind(load: f64, seed: u64) {
    let world = simulate(load, seed);

    for kind in [MIDDLE_KIND, LOWEST_KIND] {
        let whole = world.served(kind, 0.0..1.0);
        let tenths = (0..10).map(|tenth| f64::from(tenth) / 10.0);
        let ratios: Vec<f64> =
            tenths.map(|from| world.served(kind, from..from + 0.1) / whole).collect();
        assert!(ratios.iter().all(|&ratio| ratio >= MIN_TENTH_RATIO), "kind {kind}: {ratios:.2?}");
    }
}
