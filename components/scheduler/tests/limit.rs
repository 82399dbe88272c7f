//! Limits of a client account.

mod support;

use std::time::{Duration, Instant};

use model::resource::Limit;
use proptest::{prelude::prop, prop_assert, proptest};
use scheduler::limit;
use support::cases;
use test_case::test_case;

fn limit(concurrency: u32, requests_per_second: u32) -> Limit {
    Limit { concurrency, requests_per_second }
}

#[test_case(1, 10; "one entry applies all of it")]
#[test_case(4, 3; "four apply a quarter each, rounded up")]
#[test_case(100, 1; "none goes below one")]
fn concurrency_is_shared_by_the_entries(entries: u32, wanted: u32) {
    let now = Instant::now();
    let share = limit::share(limit(10, 1_000_000), entries);
    let mut usage = limit::open(now);

    let admitted = (0..20).filter(|_| usage.admit(now, Some(share)).is_ok()).count();

    assert_eq!(admitted, wanted as usize);
}

#[test]
fn a_place_that_is_given_back_is_free_again() {
    let now = Instant::now();
    let share = limit::share(limit(1, 1_000), 1);
    let mut usage = limit::open(now);
    usage.admit(now, Some(share)).expect("the first is within the limit");
    usage.admit(now, Some(share)).expect_err("the second isn't");

    usage.release();

    usage.admit(now, Some(share)).expect("the place is free");
}

#[test]
fn refused_callers_are_told_to_come_back_one_after_another() {
    let now = Instant::now();
    let share = limit::share(limit(1_000, 10), 1);
    let mut usage = limit::open(now);
    (0..10).for_each(|_| usage.admit(now, Some(share)).expect("a second's allowance"));

    let waits: Vec<Duration> =
        (0..3).map(|_| usage.admit(now, Some(share)).expect_err("it is used up")).collect();

    let hundred = Duration::from_millis(100);
    assert_eq!(waits, [hundred, 2 * hundred, 3 * hundred]);
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn no_stretch_of_time_admits_more_than_its_rate_and_one_burst(
        gaps in prop::collection::vec(0_u64..400, 1..200),
        rate in 1_u32..50,
        entries in 1_u32..8,
    ) {
        let begun = Instant::now();
        let share = limit::share(limit(u32::MAX, rate), entries);
        let mut usage = limit::open(begun);
        let mut now = begun;
        let mut admitted = 0_u32;

        for gap in gaps {
            now += Duration::from_millis(gap);
            admitted += u32::from(usage.admit(now, Some(share)).is_ok());
        }

        let most = (now - begun).as_secs_f64() * share.rate + share.rate.max(1.0);
        prop_assert!(f64::from(admitted) <= most + 1e-6);
    }
}
