//! Shares of long and short answers that are served under overload.
//!
//! Every third target is fast; the others take three times as long per token. The lengths of answers are
//! widely spread: the longest end in time at the fast targets only, where shorter answers may go too.

mod direct_support;

use std::time::Duration;

use direct_support::site::{
    Agents, AnswerLengths, RequestKind, Simulation, Site, simulation_of_lengths,
};
use test_case::test_case;

/// Three tiers of requests, which differ in patience and in the lengths of their answers.
const KINDS: &[RequestKind] = &[
    RequestKind {
        path: "/first/",
        rank: 0,
        fraction: 0.25,
        target_latency: Duration::from_millis(800),
        timeout: Duration::from_secs(5),
        median_tokens: 20.0,
        tokens_spread: 3.5,
    },
    RequestKind {
        path: "/middle/",
        rank: 1,
        fraction: 0.45,
        target_latency: Duration::from_millis(1_000),
        timeout: Duration::from_secs(3),
        median_tokens: 10.0,
        tokens_spread: 4.0,
    },
    RequestKind {
        path: "/last/",
        rank: 2,
        fraction: 0.3,
        target_latency: Duration::from_millis(1_200),
        timeout: Duration::from_secs(15),
        median_tokens: 110.0,
        tokens_spread: 4.5,
    },
];
/// Times per request at a fast and at a slow target, in ms.
const LENGTHS: AnswerLengths =
    AnswerLengths { kinds: KINDS, first_token_ms: [80.0, 160.0], token_ms: [3.5, 10.5] };
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
fn simulate(load: f64, seed: u64) -> Simulation {
    let site = Site {
        entries: 16,
        targets: 24,
        slots: 4,
        mean_service_ms: 0,
        requests_per_second: load,
        agents: Agents::AtTargets,
    };
    let mut simulation = simulation_of_lengths(site, LENGTHS, seed);
    (0..ARRIVALS_MS).for_each(|_| simulation.step());
    simulation.finish();
    simulation
}

/// Returns the part that is served of the longest tenth of a kind and of the fifth below it, each divided by
/// the part that is served of the whole kind.
fn served_ratios_of_longest(simulation: &Simulation, kind: usize) -> [f64; 2] {
    [0.9..1.0, 0.7..0.9].map(|range| {
        simulation.served_fraction(kind, range) / simulation.served_fraction(kind, 0.0..1.0)
    })
}

/// Guards against long answers that are starved by short answers of their own tier.
#[test_case(160.0, 1; "load_160_seed_1")]
#[test_case(160.0, 2; "load_160_seed_2")]
#[test_case(175.0, 3; "load_175_seed_3")]
#[test_case(175.0, 4; "load_175_seed_4")]
fn long_answers_are_served_at_least_half_as_often_as_their_kind(load: f64, seed: u64) {
    let simulation = simulate(load, seed);

    for kind in [MIDDLE_KIND, LOWEST_KIND] {
        let ratios = served_ratios_of_longest(&simulation, kind);
        assert!(ratios.iter().all(|&ratio| ratio >= MIN_LONGEST_RATIO), "kind {kind}: {ratios:?}");
    }
}

/// Guards against answers of one length that are served at the expense of another length of the same tier.
#[test_case(160.0, 1; "load_160_seed_1")]
#[test_case(160.0, 2; "load_160_seed_2")]
#[test_case(175.0, 3; "load_175_seed_3")]
#[test_case(175.0, 4; "load_175_seed_4")]
fn no_length_is_served_much_less_often_than_its_kind(load: f64, seed: u64) {
    let simulation = simulate(load, seed);

    for kind in [MIDDLE_KIND, LOWEST_KIND] {
        let whole = simulation.served_fraction(kind, 0.0..1.0);
        let tenths = (0..10).map(|tenth| f64::from(tenth) / 10.0);
        let ratios: Vec<f64> =
            tenths.map(|from| simulation.served_fraction(kind, from..from + 0.1) / whole).collect();
        assert!(ratios.iter().all(|&ratio| ratio >= MIN_TENTH_RATIO), "kind {kind}: {ratios:.2?}");
    }
}
