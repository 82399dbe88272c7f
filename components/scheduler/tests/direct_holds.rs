//! Direct dispatch: which tier leaves slots to the others.
//!
//! Load: a pool with more requests than slots. Where the lowest tier's streams are the longest, they
//! hold every slot while short requests of higher tiers wait; where they are the shortest, a slot that
//! is kept from them serves nobody.

mod direct_support;

use std::time::Duration;

use direct_support::{Process, plan, process, request, route, starts, target};
use scheduler::direct::{Outcome, plan::Repeat};
use test_case::test_case;

/// Requests that the mean is learnt from.
const SEEN: u64 = 20;

fn two_tiers() -> Process {
    let mut low = route("/low/", Repeat::Resume);
    low.rank = 1;
    process(plan(1, vec![route("/high/", Repeat::Resume), low], None), vec![target(1)])
}

/// Requests of a tier that hold their slots for so long.
fn serve(process: &mut Process, from: u64, path: &str, held: Duration) {
    for ticket in from..from + SEEN {
        process.arrive(request(ticket, path));
        process.pass(held);
        process.end(ticket, Outcome::Done);
        process.confirm();
    }
}

#[test_case(1_000, 100 => (1, 1); "whose requests are the longest leaves a slot")]
#[test_case(100, 1_000 => (2, 0); "whose requests are the shortest leaves none")]
fn a_lowest_tier(low_ms: u64, high_ms: u64) -> (usize, usize) {
    let mut process = two_tiers();
    serve(&mut process, 100, "/high/", Duration::from_millis(high_ms));
    serve(&mut process, 200, "/low/", Duration::from_millis(low_ms));

    let low = (1..=3).map(|ticket| starts(&process.arrive(request(ticket, "/low/"))).len()).sum();
    let high = starts(&process.arrive(request(4, "/high/"))).len();

    (low, high)
}

#[test]
fn nothing_is_kept_before_it_is_known_who_holds_slots_for_long() {
    let mut process = two_tiers();

    let low = (1..=2).map(|ticket| starts(&process.arrive(request(ticket, "/low/"))).len());

    assert_eq!(low.sum::<usize>(), 2);
}

#[test]
fn a_higher_tier_goes_first_whoever_holds_slots_for_long() {
    let mut process = two_tiers();
    serve(&mut process, 100, "/high/", Duration::from_millis(1_000));
    serve(&mut process, 200, "/low/", Duration::from_millis(100));
    for ticket in 1..=2 {
        process.arrive(request(ticket, "/high/"));
    }
    process.arrive(request(3, "/low/"));
    process.arrive(request(4, "/high/"));

    let effects = process.end(1, Outcome::Done);

    assert_eq!(starts(&effects).iter().map(|start| start.ticket).collect::<Vec<_>>(), [4]);
}
