//! Tests of the agent's reducer as admission control: entry processes send requests directly to the target,
//! after a grant or, as far as their share allows, without a reservation.
//!
//! Workload: sustained overload, in which several tiers together demand more than the target's capacity.

use std::time::{Duration, Instant};

use model::{
    id::Rank,
    refusal::Reason,
    reservation::{Ask, Id},
};
use scheduler::agent::{self, Capacity, Effect, Event, Policy, State};
use test_case::test_case;
use uuid::Uuid;

const MS: Duration = Duration::from_millis(1);
const RUN_TIME: Duration = Duration::from_millis(100);

fn open(slots: usize, policy: Policy) -> State {
    let capacity = Capacity {
        slots,
        max_tokens: u64::MAX,
        max_waiting: 1_000,
        grant_lifetime: Duration::from_secs(1),
    };
    agent::open_with(capacity, policy)
}

/// Returns the policy that the agent uses as admission control.
fn admission_policy() -> Policy {
    Policy { min_tier_share: 0.05, is_latest_deadline_first: true, ..Policy::without_rules() }
}

fn id(request: u128) -> Id {
    Id { request: Uuid::from_u128(request), attempt: 1 }
}

fn reserve(request: u128, rank: Rank, remaining: Duration) -> Event {
    Event::Reserve(Ask {
        id: id(request),
        rank,
        remaining,
        prefill: 100,
        decode: 10,
        prefix: Vec::new(),
        order: Default::default(),
        offset: 0,
        body: Default::default(),
    })
}

fn granted_ids(effects: &[Effect]) -> Vec<Id> {
    let ids = effects.iter().filter_map(|effect| match effect {
        Effect::Grant { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

fn denied_reasons(effects: &[Effect]) -> Vec<(Id, Reason)> {
    let reasons = effects.iter().filter_map(|effect| match effect {
        Effect::Deny { id, denial } => Some((*id, denial.reason)),
        _ => None,
    });
    reasons.collect()
}

/// Requests must not wait for a target that accepts none until their deadline; other targets may be free.
#[test]
fn an_unreachable_target_denies_waiting_and_new_reservations() {
    let now = Instant::now();
    let mut state = open(1, admission_policy());
    agent::reduce(&mut state, now, reserve(1, 0, 1_000 * MS));
    agent::reduce(&mut state, now, reserve(2, 0, 1_000 * MS));

    let on_loss = agent::reduce(&mut state, now, Event::ReachabilityChanged(false));
    let while_unreachable = agent::reduce(&mut state, now, reserve(3, 0, 1_000 * MS));
    agent::reduce(&mut state, now, Event::Ended(id(1)));
    agent::reduce(&mut state, now, Event::Cancel(id(1)));
    agent::reduce(&mut state, now, Event::ReachabilityChanged(true));
    let after_return = agent::reduce(&mut state, now, reserve(4, 0, 1_000 * MS));

    assert_eq!(denied_reasons(&on_loss), [(id(2), Reason::NoTarget)]);
    assert_eq!(denied_reasons(&while_unreachable), [(id(3), Reason::NoTarget)]);
    assert_eq!(granted_ids(&after_return), [id(4)]);
}

#[test]
fn requests_without_a_reservation_use_up_slots() {
    let now = Instant::now();
    let mut state = open(2, admission_policy());

    agent::reduce(&mut state, now, Event::UnreservedRequestsChanged(2));
    let while_full = agent::reduce(&mut state, now, reserve(1, 0, 1_000 * MS));
    let with_free_slot = agent::reduce(&mut state, now, Event::UnreservedRequestsChanged(1));

    assert_eq!((granted_ids(&while_full), granted_ids(&with_free_slot)), (vec![], vec![id(1)]));
}

/// Returns an agent of a target with four slots that are all held, and two reservations that wait.
fn open_with_all_slots_held(now: Instant) -> State {
    let mut state = open(4, admission_policy());
    for request in 1..=6 {
        agent::reduce(&mut state, now, reserve(request, 0, 60_000 * MS));
        agent::reduce(&mut state, now, Event::Start(id(request)));
    }
    state
}

/// Probes the target repeatedly; `unused` of the held slots have no request at the target at the probe with this number.
/// Returns the reservations that are granted meanwhile.
fn probe_repeatedly(state: &mut State, now: Instant, unused: impl Fn(u32) -> usize) -> Vec<Id> {
    let granted = (0..16).flat_map(|number| {
        let requests = state.load().running as usize - unused(number);
        granted_ids(&agent::reduce(state, now, Event::RequestsProbed(requests)))
    });
    granted.collect()
}

/// Guards against a target that runs fewer requests than it can, because entry processes that stand still hold its slots.
#[test_case(|_| 0 => 0; "all slots are used")]
#[test_case(|_| 1 => 1; "one slot is unused")]
#[test_case(|_| 3 => 2; "three slots are unused and half of all may be granted again")]
#[test_case(|number| 2 * usize::from(number % 4 == 0) => 2; "two slots are unused in a quarter of the probes")]
#[test_case(|number| usize::from(number % 8 == 0) => 0; "one slot is unused in one of eight probes")]
fn held_slots_that_the_target_does_not_use_are_granted_again(unused: fn(u32) -> usize) -> usize {
    let now = Instant::now();
    let mut state = open_with_all_slots_held(now);

    probe_repeatedly(&mut state, now, unused).len()
}

/// Guards against grants beyond the slots after the processes run again.
#[test]
fn slots_that_are_used_again_are_granted_once_only() {
    let now = Instant::now();
    let mut state = open_with_all_slots_held(now);
    let while_unused = probe_repeatedly(&mut state, now, |_| 1);
    agent::reduce(&mut state, now, Event::Start(id(5)));

    let while_used = probe_repeatedly(&mut state, now, |_| 0);
    let after_one_end = agent::reduce(&mut state, now, Event::Ended(id(1)));
    let after_two_ends = agent::reduce(&mut state, now, Event::Ended(id(2)));

    let granted =
        [while_unused, while_used, granted_ids(&after_one_end), granted_ids(&after_two_ends)];
    assert_eq!(granted, [vec![id(5)], vec![], vec![], vec![id(6)]]);
}

/// Guards against one slot that two requests share: the second one would wait at the target for the whole first run.
#[test]
fn the_only_slot_of_a_target_is_not_granted_again() {
    let now = Instant::now();
    let mut state = open(1, admission_policy());
    agent::reduce(&mut state, now, reserve(1, 0, 60_000 * MS));
    agent::reduce(&mut state, now, reserve(2, 0, 60_000 * MS));

    let probes = (0..16).flat_map(|_| agent::reduce(&mut state, now, Event::RequestsProbed(0)));

    assert_eq!(granted_ids(&probes.collect::<Vec<Effect>>()), []);
}

#[test]
fn more_slots_grant_waiting_reservations_at_once() {
    let now = Instant::now();
    let mut state = open(1, admission_policy());
    for request in 1..=4 {
        agent::reduce(&mut state, now, reserve(request, 0, 1_000 * MS));
    }

    let effects_of_growth = agent::reduce(&mut state, now, Event::SlotsChanged(3));

    assert_eq!(granted_ids(&effects_of_growth).len(), 2);
}

#[test_case(true => id(3); "the latest deadline")]
#[test_case(false => id(2); "the earliest deadline")]
fn within_a_tier_the_first_grant_goes_to(is_latest_first: bool) -> Id {
    let now = Instant::now();
    let mut state =
        open(1, Policy { is_latest_deadline_first: is_latest_first, ..admission_policy() });
    agent::reduce(&mut state, now, reserve(1, 0, 1_000 * MS));
    agent::reduce(&mut state, now, reserve(2, 0, 1_000 * MS));
    agent::reduce(&mut state, now + 50 * MS, reserve(3, 0, 1_000 * MS));

    agent::reduce(&mut state, now + 50 * MS, Event::Start(id(1)));
    let effects = agent::reduce(&mut state, now + RUN_TIME, Event::Ended(id(1)));

    granted_ids(&effects)[0]
}

/// Simulates 2,000 rounds of 100 ms at a target with one slot, while reservations of two tiers always wait.
/// Returns the number of grants to the higher and to the lower tier.
fn grants_under_overload(policy: Policy) -> [usize; 2] {
    let start = Instant::now();
    let mut state = open(1, policy);
    let (mut grants, mut running_id) = ([0; 2], None);
    for round in 0..2_000 {
        let now = start + RUN_TIME * round;
        let mut effects = Vec::new();
        for rank in 0..2 {
            let request = u128::from(round) * 2 + u128::from(rank);
            effects.extend(agent::reduce(&mut state, now, reserve(request, rank, 500 * MS)));
        }
        if let Some(previous) = running_id {
            effects.extend(agent::reduce(&mut state, now, Event::Ended(previous)));
        }
        for granted_id in granted_ids(&effects) {
            agent::reduce(&mut state, now, Event::Start(granted_id));
            grants[(granted_id.request.as_u128() % 2) as usize] += 1;
            running_id = Some(granted_id);
        }
    }
    grants
}

#[test]
fn a_lower_tier_gets_its_guaranteed_share_and_no_more() {
    let [higher, lower] = grants_under_overload(admission_policy());

    let total = higher + lower;
    // The guaranteed share is 1/20. The tolerance is one grant more or less among the last 64, which
    // dominate the average.
    assert!((total / 25..=total / 14).contains(&lower), "{higher} {lower}");
}

#[test]
fn without_a_guaranteed_share_an_overloaded_target_serves_only_the_highest_tier() {
    let [_, lower] = grants_under_overload(Policy { min_tier_share: 0.0, ..admission_policy() });

    assert_eq!(lower, 0);
}

/// Workload: answers of known length from a target of constant speed: 1 ms for each token.
#[test]
fn the_load_includes_the_step_time_after_enough_ended_runs() {
    let mut state = open(1, admission_policy());
    let mut now = Instant::now();
    assert_eq!(state.load().step, None);

    for number in 0..8 {
        let ask_for_run = Ask {
            id: id(number),
            rank: 1,
            remaining: Duration::from_secs(60),
            prefill: 100,
            decode: 1_000,
            prefix: Vec::new(),
            order: Default::default(),
            offset: 0,
            body: Default::default(),
        };
        agent::reduce(&mut state, now, Event::Reserve(ask_for_run));
        agent::reduce(&mut state, now, Event::Start(id(number)));
        now += 1_000 * MS;
        agent::reduce(&mut state, now, Event::Ended(id(number)));
    }

    let step = state.load().step.expect("8 runs have ended");
    assert!((MS.mul_f64(0.99)..MS).contains(&step), "{step:?}");
}
