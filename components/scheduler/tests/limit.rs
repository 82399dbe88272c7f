//! Tests of the limits of a client account.

mod support;

use std::time::{Duration, Instant};

use model::resource::Limit;
use proptest::{prelude::prop, prop_assert, proptest};
use scheduler::limit;
use support::proptest_config;
use test_case::test_case;

fn limit(concurrency: u32, requests_per_second: u32) -> Limit {
    Limit { concurrency, requests_per_second }
}

#[test_case(1, 10; "one entry enforces the whole limit")]
#[test_case(4, 3; "each of four entries enforces a quarter, rounded up")]
#[test_case(100, 1; "an entry always admits at least one")]
fn the_concurrency_limit_is_split_evenly_among_the_entries(entries: u32, expected: u32) {
    let now = Instant::now();
    let share = limit::share(limit(10, 1_000_000), entries);
    let mut usage = limit::open(now);

    let admitted = (0..20).filter(|_| usage.admit(now, Some(share)).is_ok()).count();

    assert_eq!(admitted, expected as usize);
}

#[test]
fn a_released_slot_can_be_taken_again() {
    let now = Instant::now();
    let share = limit::share(limit(1, 1_000), 1);
    let mut usage = limit::open(now);
    usage.admit(now, Some(share)).expect("the first is within the limit");
    usage.admit(now, Some(share)).expect_err("the second is above the limit");

    usage.release();

    usage.admit(now, Some(share)).expect("the slot was released");
}

// Rejected callers that all retried after the same delay would compete for one token and be rejected again.
#[test]
fn rejected_callers_get_retry_times_one_after_another() {
    let now = Instant::now();
    let share = limit::share(limit(1_000, 10), 1);
    let mut usage = limit::open(now);
    (0..10)
        .for_each(|_| usage.admit(now, Some(share)).expect("the burst is one second of requests"));

    let delays: Vec<Duration> =
        (0..3).map(|_| usage.admit(now, Some(share)).expect_err("the burst is used up")).collect();

    let spacing = Duration::from_millis(100);
    assert_eq!(delays, [spacing, 2 * spacing, 3 * spacing]);
}

proptest! {
    #![proptest_config(proptest_config(64))]

    #[test]
    fn no_period_admits_more_than_its_rate_and_one_burst(
        gaps in prop::collection::vec(0_u64..400, 1..200),
        rate in 1_u32..50,
        entries in 1_u32..8,
    ) {
        let start = Instant::now();
        let share = limit::share(limit(u32::MAX, rate), entries);
        let mut usage = limit::open(start);
        let mut now = start;
        let mut admitted = 0_u32;

        for gap in gaps {
            now += Duration::from_millis(gap);
            admitted += u32::from(usage.admit(now, Some(share)).is_ok());
        }

        let burst = share.requests_per_second.max(1.0);
        let max_admitted = (now - start).as_secs_f64() * share.requests_per_second + burst;
        prop_assert!(f64::from(admitted) <= max_admitted + 1e-6);
    }
}
