//! Which requests are served during a burst of load.
//!
//! The rate of all requests is 1.8 times the usual one for 16 s. For 8 s within that time, the rate of the
//! lowest tier, whose answers are the longest, is multiplied by a further 2.7. Every third target is three
//! times as fast as the others, and only there do the longest answers end in time.

mod direct_support;

use std::{ops::Range, time::Duration};

use direct_support::site::{
    Agents, AnswerLengths, RequestKind, Simulation, Site, simulation_of_lengths,
};
use test_case::test_case;

const HIGHEST_TIER: RequestKind = RequestKind {
    path: "/first/",
    rank: 0,
    fraction: 0.29,
    target_latency: Duration::from_millis(800),
    timeout: Duration::from_secs(5),
    median_tokens: 19.0,
    tokens_spread: 4.5,
};
const MIDDLE_TIER: RequestKind = RequestKind {
    path: "/middle/",
    rank: 1,
    fraction: 0.55,
    target_latency: Duration::from_millis(1_000),
    timeout: Duration::from_secs(3),
    median_tokens: 9.0,
    tokens_spread: 4.0,
};
const LOWEST_TIER: RequestKind = RequestKind {
    path: "/last/",
    rank: 2,
    fraction: 0.16,
    target_latency: Duration::from_millis(1_200),
    timeout: Duration::from_secs(15),
    median_tokens: 104.0,
    tokens_spread: 4.5,
};

/// Requests a second of all tiers together, before and after the bursts.
const BASE_REQUESTS_PER_SECOND: f64 = 157.0;
/// Factor by which the rate of all tiers grows in [`ALL_TIERS_BURST_MS`].
const ALL_TIERS_FACTOR: f64 = 1.8;
/// Factor by which the rate of the lowest tier grows in [`LOWEST_TIER_BURST_MS`].
const LOWEST_TIER_FACTOR: f64 = 2.7;
/// Factor by which the total rate grows where only the rate of the lowest tier does.
const TOTAL_FACTOR: f64 = 1.0 - LOWEST_TIER.fraction + LOWEST_TIER.fraction * LOWEST_TIER_FACTOR;

const KINDS: &[RequestKind] = &[HIGHEST_TIER, MIDDLE_TIER, LOWEST_TIER];
/// Kinds of requests while the rate of the lowest tier is raised; their shares sum up to 1 again.
const KINDS_IN_LOWEST_TIER_BURST: &[RequestKind] = &[
    RequestKind { fraction: HIGHEST_TIER.fraction / TOTAL_FACTOR, ..HIGHEST_TIER },
    RequestKind { fraction: MIDDLE_TIER.fraction / TOTAL_FACTOR, ..MIDDLE_TIER },
    RequestKind {
        fraction: LOWEST_TIER.fraction * LOWEST_TIER_FACTOR / TOTAL_FACTOR,
        ..LOWEST_TIER
    },
];
/// Index of the lowest tier in [`KINDS`] and [`KINDS_IN_LOWEST_TIER_BURST`].
const LOWEST_TIER_INDEX: usize = 2;

/// Time for which requests arrive.
const END_MS: u64 = 24_000;
const ALL_TIERS_BURST_MS: Range<u64> = 4_000..20_000;
const LOWEST_TIER_BURST_MS: Range<u64> = 8_000..16_000;

/// Least share of the longest answers of a tier that must be served, relative to the share of all answers of
/// the tier.
const MIN_RELATIVE_SHARE: f64 = 0.5;

/// Simulates the bursts until all requests have ended.
fn simulate(seed: u64) -> Simulation {
    let site = Site {
        entries: 31,
        targets: 24,
        slots: 5,
        mean_service_ms: 0,
        requests_per_second: BASE_REQUESTS_PER_SECOND,
        agents: Agents::AtTargets,
    };
    let lengths =
        AnswerLengths { kinds: KINDS, first_token_ms: [80.0, 160.0], token_ms: [4.4, 14.0] };
    let mut simulation = simulation_of_lengths(site, lengths, seed);
    for at_ms in 0..END_MS {
        let factor = if ALL_TIERS_BURST_MS.contains(&at_ms) { ALL_TIERS_FACTOR } else { 1.0 };
        if LOWEST_TIER_BURST_MS.contains(&at_ms) {
            let rate = BASE_REQUESTS_PER_SECOND * factor * TOTAL_FACTOR;
            simulation.set_load(rate, KINDS_IN_LOWEST_TIER_BURST);
        } else {
            simulation.set_load(BASE_REQUESTS_PER_SECOND * factor, KINDS);
        }
        simulation.step();
    }
    simulation.finish();
    simulation
}

/// Guards against unfairness within an overloaded tier: long answers that get a slot far less often than the
/// tier's short ones, since only the fast targets can finish them in time.
#[test_case(1; "seed_1")]
#[test_case(2; "seed_2")]
fn the_longest_answers_are_served_at_least_half_as_often_as_their_tier_in_a_burst(seed: u64) {
    let simulation = simulate(seed);

    let whole_tier = simulation.served_fraction(LOWEST_TIER_INDEX, 0.0..1.0);
    let [longest_tenth, next_fifth] = [0.9..1.0, 0.7..0.9]
        .map(|quantiles| simulation.served_fraction(LOWEST_TIER_INDEX, quantiles));
    let required = MIN_RELATIVE_SHARE * whole_tier;
    assert!(
        longest_tenth >= required,
        "longest tenth: {longest_tenth:.2}, whole tier: {whole_tier:.2}"
    );
    assert!(next_fifth >= required, "next fifth: {next_fifth:.2}, whole tier: {whole_tier:.2}");
}
