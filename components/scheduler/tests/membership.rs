//! The fold over the membership stream, and the homes of keys that follow from it.

mod support;

use std::time::{Duration, SystemTime};

use model::id::{ClaimKey, Offset};
use proptest::prelude::*;
use scheduler::{
    config::Error,
    membership::{End, Outcome, State, WINDOW},
};
use support::{
    incarnation_id, join_record, join_record_at_port, leave_record, proptest_config, start_time,
    target_name,
};

const TARGET_COUNT: usize = 5;
const KEY_COUNT: u128 = 40;

/// Record of a generated history. `index` is the number of the target.
#[derive(Clone, Debug)]
enum Step {
    Join(usize),
    Leave { index: usize, handed_over: bool },
    Unreadable,
}

/// Offsets between which one incarnation was a key's home, as far as the tests compare them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Tenure {
    /// Offset of the incarnation's join.
    joined: Offset,
    /// Offset at which the incarnation ceased to be the home; `Offset::MAX` while it is.
    until: Offset,
}

/// Returns a key; the multiplication spreads consecutive numbers over the whole range.
fn key(number: u128) -> ClaimKey {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..TARGET_COUNT).prop_map(Step::Join),
        3 => (0..TARGET_COUNT, any::<bool>())
            .prop_map(|(index, handed_over)| Step::Leave { index, handed_over }),
        1 => Just(Step::Unreadable),
    ]
}

/// Returns the record of a step. A leave names the current incarnation of the target's agent, and
/// incarnation 0 where there is none.
fn payload(state: &State, offset: Offset, step: &Step) -> String {
    let now = start_time() + Duration::from_secs(offset);
    match step {
        Step::Join(index) => join_record(*index, u128::from(offset), now),
        Step::Leave { index, handed_over } => {
            let member = state.incarnation(&target_name(*index));
            let number = member.map_or(0, |member| member.id.as_u128());
            leave_record(*index, number, handed_over.then_some(state.epoch()), now)
        }
        Step::Unreadable => "{}".to_owned(),
    }
}

/// Naive implementation: determines the home in every epoch and collects their tenures.
fn tenures_by_replay(epochs: &[State], key: ClaimKey) -> Vec<Tenure> {
    let mut tenures: Vec<Tenure> = Vec::new();
    for state in epochs {
        let Some(home) = state.home(key) else { continue };
        tenures.retain(|tenure| tenure.joined != home.joined);
        tenures.push(Tenure { joined: home.joined, until: state.epoch() + 1 });
    }
    let last = epochs.last().unwrap();
    let current = last.home(key).map(|home| home.joined);
    for tenure in &mut tenures {
        if Some(tenure.joined) == current {
            tenure.until = Offset::MAX;
        }
    }
    tenures.sort_unstable();
    tenures
}

fn fold(payloads: &[String]) -> State {
    let mut state = State::default();
    for (offset, payload) in (1..).zip(payloads) {
        state.apply(offset, payload).unwrap();
    }
    state
}

proptest! {
    #![proptest_config(proptest_config(256))]

    /// An earlier home that is left out isn't asked for its claims, and a key could run twice.
    #[test]
    fn homes_of_a_key_are_the_homes_of_all_epochs(steps in prop::collection::vec(step(), 1..30)) {
        let mut state = State::default();
        let mut epochs = vec![state.clone()];
        for (offset, step) in (1..).zip(&steps) {
            state.apply(offset, &payload(&state, offset, step)).unwrap();
            epochs.push(state.clone());
        }

        for key in (0..KEY_COUNT).map(key) {
            let homes = state.homes(key);

            let mut tenures: Vec<Tenure> = homes
                .iter()
                .map(|home| Tenure { joined: home.incarnation.joined, until: home.until })
                .collect();
            tenures.sort_unstable();
            prop_assert_eq!(tenures, tenures_by_replay(&epochs, key));
        }
    }
}

/// The log may be read twice or with a gap; the epoch must count every record exactly once.
#[test]
fn records_out_of_order_are_rejected_and_leave_the_epoch() {
    let now = start_time();
    let mut state = fold(&[join_record(0, 1, now)]);

    let stale = state.apply(1, &join_record(1, 2, now));
    let gap = state.apply(3, &join_record(1, 2, now));

    assert_eq!(stale, Err(Error::Stale(1)));
    assert_eq!(gap, Err(Error::Gap { applied: 1, got: 3 }));
    assert_eq!(state.epoch(), 1);
}

/// The successor has the same address, so the earlier incarnation has surely ended.
#[test]
fn a_successor_has_a_higher_fencing_number_and_ends_the_earlier_incarnation() {
    let now = start_time();

    let state = fold(&[join_record(0, 1, now), join_record(1, 2, now), join_record(0, 3, now)]);

    let member = state.incarnation(&target_name(0)).unwrap();
    assert_eq!((member.joined, member.id), (3, incarnation_id(3)));
    let former: Vec<(Offset, End)> =
        state.former().map(|former| (former.left, former.end)).collect();
    assert_eq!(former, [(3, End::Ended)]);
}

/// With another address, both processes of a target's agent can run at the same time.
#[test]
fn an_incarnation_replaced_from_another_address_counts_as_lost() {
    let now = start_time();

    let state = fold(&[join_record(0, 1, now), join_record_at_port(0, 2, now, 9)]);

    assert_eq!(state.former().next().unwrap().end, End::Lost);
}

/// An agent appends its join again after a lost answer. The second record must not raise the
/// fencing number or end the incarnation.
#[test]
fn a_repeated_join_has_no_effect() {
    let now = start_time();

    let state = fold(&[join_record(0, 1, now), join_record(0, 1, now)]);

    assert_eq!(state.incarnation(&target_name(0)).unwrap().joined, 1);
    assert_eq!(state.former().count(), 0);
}

/// A member that joined after the hand-over may be the next home of keys whose claims it never got.
#[test]
fn a_leave_whose_hand_over_is_of_an_old_epoch_has_no_effect() {
    let now = start_time();
    let mut state = fold(&[join_record(0, 1, now), join_record(1, 2, now), join_record(2, 3, now)]);

    let outcome = state.apply(4, &leave_record(0, 1, Some(2), now)).unwrap();

    assert_eq!(outcome, Outcome::Ignored);
    assert!(state.incarnation(&target_name(0)).is_some());
}

/// A delayed leave record of an earlier incarnation must not remove its successor.
#[test]
fn a_leave_of_an_earlier_incarnation_has_no_effect() {
    let now = start_time();
    let mut state = fold(&[join_record(0, 1, now), join_record(0, 2, now)]);

    state.apply(3, &leave_record(0, 1, None, now)).unwrap();

    assert_eq!(state.incarnation(&target_name(0)).unwrap().id, incarnation_id(2));
}

/// Former homes must not accumulate, nor be asked for claims that have expired.
#[test]
fn a_former_home_is_removed_after_the_window() {
    let now = start_time();
    let later = |by: Duration| -> SystemTime { now + by };
    let mut state =
        fold(&[join_record(0, 1, now), join_record(1, 2, now), leave_record(0, 1, None, now)]);
    state.apply(4, &join_record(2, 3, later(WINDOW / 2))).unwrap();

    state.prune(later(WINDOW / 2));
    let within = state.former().count();
    state.prune(later(WINDOW * 2));

    assert_eq!((within, state.former().count()), (1, 0));
    assert!((0..KEY_COUNT).all(|number| state.homes(key(number)).len() == 1));
}
