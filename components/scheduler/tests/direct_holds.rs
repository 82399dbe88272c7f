//! Withholding of slots from a pool's lowest tier.
//!
//! The pool has more requests than slots. If the lowest tier's streams are the longest, they occupy every
//! slot while short requests of higher tiers wait, so a slot is withheld from them. If they are the shortest,
//! a withheld slot would stay unused.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches, request, route, target,
};
use scheduler::direct::{Outcome, plan::Repeat};
use test_case::test_case;

/// Number of requests of each tier from which the mean time in a slot is learned.
const OBSERVED_REQUESTS: u64 = 20;

/// A process with a high and a low tier, before one target with two slots.
fn two_tiers() -> Process {
    let mut low = route("/low/", Repeat::Resumable);
    low.rank = 1;
    configured_process(
        configuration(1, vec![route("/high/", Repeat::Resumable), low], None),
        vec![target(1)],
    )
}

/// Serves requests of a tier that each hold their slot for `held`, with tickets from `first_ticket` on.
fn serve(process: &mut Process, first_ticket: u64, path: &str, held: Duration) {
    for ticket in first_ticket..first_ticket + OBSERVED_REQUESTS {
        process.arrive(request(ticket, path));
        process.advance(held);
        process.end_dispatch(ticket, Outcome::Completed);
        process.confirm_configuration();
    }
}

#[test_case(1_000, 100 => (1, 1); "leaves a slot free if its requests are the longest")]
#[test_case(100, 1_000 => (2, 0); "may use all slots if its requests are the shortest")]
fn the_lowest_tier(low_ms: u64, high_ms: u64) -> (usize, usize) {
    let mut process = two_tiers();
    serve(&mut process, 100, "/high/", Duration::from_millis(high_ms));
    serve(&mut process, 200, "/low/", Duration::from_millis(low_ms));

    let low =
        (1..=3).map(|ticket| dispatches(&process.arrive(request(ticket, "/low/"))).len()).sum();
    let high = dispatches(&process.arrive(request(4, "/high/"))).len();

    (low, high)
}

#[test]
fn no_slot_is_withheld_before_the_times_of_the_tiers_are_known() {
    let mut process = two_tiers();

    let low = (1..=2).map(|ticket| dispatches(&process.arrive(request(ticket, "/low/"))).len());

    assert_eq!(low.sum::<usize>(), 2);
}

#[test]
fn a_higher_tier_is_dispatched_first_even_if_its_requests_are_the_longest() {
    let mut process = two_tiers();
    serve(&mut process, 100, "/high/", Duration::from_millis(1_000));
    serve(&mut process, 200, "/low/", Duration::from_millis(100));
    for ticket in 1..=2 {
        process.arrive(request(ticket, "/high/"));
    }
    process.arrive(request(3, "/low/"));
    process.arrive(request(4, "/high/"));

    let effects = process.end_dispatch(1, Outcome::Completed);

    assert_eq!(
        dispatches(&effects).iter().map(|dispatch| dispatch.ticket).collect::<Vec<_>>(),
        [4]
    );
}
