//! The entry's reducer and the claims of its requests: what it asks, tells and says.

mod support;
mod world;

use std::time::{Duration, Instant};

use model::{
    Host,
    claim::{Settle, Verdict},
    host,
    id::RequestId,
    membership::Leave,
    refusal::{Ran, Reason},
    reservation::{Grant, Id, Load},
};
use scheduler::{
    agent::Room,
    entry::{self, Effect, Event, HOST_ABSENCE_TIMEOUT, Record, Request, State},
};
use support::{epoch_clock, join, run};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_millis(50);

/// An entry that knows one member.
struct Entry {
    state: State,
    now: Instant,
}

fn open() -> Entry {
    let grant = Duration::from_millis(200);
    let mut world = world::open(Room { slots: 1, tokens: 1_000, waiting: 8, grant }, 8);
    let record = Record { offset: 1, payload: join(0, 1, epoch_clock()) };
    let mut entry = Entry { state: world.entries.remove(0), now: world.now };
    entry.feed(Event::Members(vec![record]));
    entry
}

impl Entry {
    fn feed(&mut self, event: Event) -> Vec<Effect> {
        entry::reduce(&mut self.state, self.now, event)
    }

    fn arrive(&mut self, change: fn(&mut Request)) -> Vec<Effect> {
        let mut request = world::request(id(), 0, DEADLINE);
        request.key = Some("decision".to_owned());
        change(&mut request);
        self.feed(Event::Arrived(request))
    }

    fn claimed(&mut self, verdict: Option<Verdict>) -> Vec<Effect> {
        self.feed(Event::Claimed { request: id(), verdict })
    }

    /// Grants the key and the first reservation.
    fn start(&mut self) {
        self.arrive(|_| {});
        self.claimed(Some(Verdict::Granted));
        let grant = Grant { life: DEADLINE, load: Load::default() };
        let effects = self.feed(Event::Granted { id: Id { request: id(), attempt: 1 }, grant });
        assert!(matches!(effects.as_slice(), [Effect::Start(_)]), "{effects:?}");
    }
}

fn id() -> RequestId {
    run(7)
}

fn refusal(effects: &[Effect]) -> Option<(Reason, Ran, bool)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => {
            Some((refusal.reason, refusal.ran, refusal.retry_after.is_some()))
        }
        _ => None,
    })
}

fn settled(effects: &[Effect]) -> Option<Settle> {
    effects.iter().find_map(|effect| match effect {
        Effect::Settle { settle, .. } => Some(*settle),
        _ => None,
    })
}

fn asks(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Claim { .. })).count()
}

#[test]
fn a_keyed_request_is_reserved_nowhere_before_its_key_is_granted() {
    let mut entry = open();

    let arrived = entry.arrive(|_| {});
    let granted = entry.claimed(Some(Verdict::Granted));

    assert!(matches!(arrived.as_slice(), [Effect::Claim { .. }]), "{arrived:?}");
    assert!(matches!(granted.as_slice(), [Effect::Reserve { .. }]), "{granted:?}");
}

#[test_case(Verdict::Held => (Reason::Duplicate, Ran::MayHaveRun, true); "held")]
#[test_case(Verdict::Ran => (Reason::Duplicate, Ran::Yes, false); "ran")]
#[test_case(Verdict::Expired => (Reason::Duplicate, Ran::MayHaveRun, false); "expired")]
#[test_case(Verdict::Unsure => (Reason::Unclaimed, Ran::MayHaveRun, true); "unsure")]
#[test_case(Verdict::Full => (Reason::Unclaimed, Ran::MayHaveRun, true); "full")]
#[test_case(Verdict::Ahead => (Reason::BadInput, Ran::MayHaveRun, false); "ahead")]
fn a_key_that_isnt_granted_is_refused_at_once(verdict: Verdict) -> (Reason, Ran, bool) {
    let mut entry = open();
    entry.arrive(|_| {});

    let effects = entry.claimed(Some(verdict));

    assert!(entry.state.is_empty());
    assert_eq!(settled(&effects), None);
    refusal(&effects).unwrap()
}

#[test_case(Some(Verdict::Behind { epoch: 0 }), 20; "an agent that is behind")]
#[test_case(Some(Verdict::Moved { epoch: 2 }), 20; "another home")]
#[test_case(Some(Verdict::Leaving), 20; "a home that leaves")]
#[test_case(None, 3; "a home that doesn't answer")]
fn a_home_that_cant_decide_is_asked_again_a_bounded_number_of_times(
    verdict: Option<Verdict>,
    most: usize,
) {
    let mut entry = open();
    let mut asked = asks(&entry.arrive(|_| {}));

    let last = loop {
        let effects = entry.claimed(verdict);
        if refusal(&effects).is_some() {
            break effects;
        }
        entry.now += RETRY;
        asked += asks(&entry.feed(Event::Tick));
    };

    assert_eq!(asked, most);
    assert_eq!(refusal(&last), Some((Reason::Unclaimed, Ran::MayHaveRun, true)));
    assert_eq!(settled(&last).map(|settle| settle.ran), Some(false));
}

#[test_case(|r| r.tier = Some("gold".to_owned()) => Ran::MayHaveRun; "faulty, with a key")]
#[test_case(|r| r.key = Some(String::new()) => Ran::NotRun; "a key that no request can have")]
#[test_case(|r| r.credential = None => Ran::NotRun; "of no account")]
fn a_refusal_on_arrival_speaks_of_the_key(change: fn(&mut Request)) -> Ran {
    let mut entry = open();

    let effects = entry.arrive(change);

    refusal(&effects).unwrap().1
}

#[test]
fn a_deadline_that_passes_while_the_home_is_asked_may_have_run() {
    let mut entry = open();
    entry.arrive(|_| {});

    entry.now += DEADLINE;
    let effects = entry.feed(Event::Tick);

    assert_eq!(refusal(&effects).map(|(_, ran, _)| ran), Some(Ran::MayHaveRun));
    assert_eq!(settled(&effects).map(|settle| settle.ran), Some(false));
}

#[test]
fn a_request_that_ends_with_its_key_granted_and_unstarted_frees_it() {
    let mut entry = open();
    entry.arrive(|_| {});
    entry.claimed(Some(Verdict::Granted));

    let effects = entry.feed(Event::Ended { request: id() });

    assert_eq!(settled(&effects).map(|settle| settle.ran), Some(false));
}

#[test]
fn a_request_that_was_started_never_frees_its_key() {
    let mut entry = open();
    entry.start();

    let effects = entry.feed(Event::Ended { request: id() });
    let late = entry.claimed(Some(Verdict::Granted));

    assert_eq!((settled(&effects), settled(&late)), (None, None));
}

#[test]
fn an_answer_that_comes_after_the_start_changes_nothing() {
    let mut entry = open();
    entry.start();

    let late = entry.claimed(Some(Verdict::Granted));
    let grant = Grant { life: DEADLINE, load: Load::default() };
    let again = entry.feed(Event::Granted { id: Id { request: id(), attempt: 1 }, grant });

    assert_eq!((late, again), (Vec::new(), Vec::new()));
}

#[test]
fn a_request_whose_answer_began_tells_that_it_ran_until_its_home_knows() {
    let mut entry = open();
    entry.start();
    let effects = entry.feed(Event::Ran { request: id() });
    let settle = settled(&effects).unwrap();

    let again = entry.feed(Event::Unsettled { settle, tries: 1 });
    let enough = entry.feed(Event::Unsettled { settle, tries: 5 });

    assert!(settle.ran);
    assert_eq!((settled(&again), settled(&enough)), (Some(settle), None));
}

#[test]
fn without_members_no_key_is_granted() {
    let grant = Duration::from_millis(200);
    let mut world = world::open(Room { slots: 1, tokens: 1_000, waiting: 8, grant }, 8);
    let mut entry = Entry { state: world.entries.remove(0), now: world.now };
    let mut effects = entry.arrive(|_| {});

    while refusal(&effects).is_none() {
        entry.now += RETRY;
        effects = entry.feed(Event::Tick);
    }

    assert_eq!(refusal(&effects), Some((Reason::Unclaimed, Ran::MayHaveRun, true)));
}

fn host(index: usize) -> Host {
    Host { name: support::target(index), zone: "a".to_owned(), state: host::State::Live }
}

/// An entry with three members, whose list lacks the first one's host from now on.
fn with_a_host_gone() -> Entry {
    let mut entry = open();
    let record = |index: usize| Record {
        offset: index as u64 + 1,
        payload: join(index, index as u128 + 1, epoch_clock()),
    };
    entry.feed(Event::Members(vec![record(1), record(2)]));
    entry.feed(Event::Hosts(vec![host(0), host(1), host(2)]));
    entry.feed(Event::Hosts(vec![host(1), host(2)]));
    entry
}

fn lost(effects: &[Effect]) -> Option<Leave> {
    effects.iter().find_map(|effect| match effect {
        Effect::Lost(leave) => Some(leave.clone()),
        _ => None,
    })
}

#[test]
fn a_member_whose_host_is_gone_for_long_is_removed_once_it_was_given_time() {
    let mut entry = with_a_host_gone();

    let early = entry.feed(Event::Hosts(vec![host(1), host(2)]));
    entry.now += HOST_ABSENCE_TIMEOUT;
    let reported = entry.feed(Event::Hosts(vec![host(1), host(2)]));
    let again = entry.feed(Event::Hosts(vec![host(1), host(2)]));
    let leave = lost(&reported).unwrap();
    let removed = entry.feed(Event::Remove(leave.clone()));

    assert_eq!((lost(&early), lost(&again)), (None, None));
    assert_eq!(
        (leave.target.as_str(), leave.incarnation, leave.ended),
        ("target-0", run(1), false)
    );
    assert_eq!(removed, [Effect::Remove(leave)]);
}

#[test]
fn a_member_whose_host_came_back_meanwhile_is_not_removed() {
    let mut entry = with_a_host_gone();
    entry.now += HOST_ABSENCE_TIMEOUT;
    let leave = lost(&entry.feed(Event::Hosts(vec![host(1), host(2)]))).unwrap();

    entry.feed(Event::Hosts(vec![host(0), host(1), host(2)]));
    let effects = entry.feed(Event::Remove(leave));

    assert_eq!(effects, []);
}

#[test]
fn a_list_that_lacks_most_hosts_removes_nobody() {
    let mut entry = with_a_host_gone();
    entry.feed(Event::Hosts(vec![host(2)]));

    entry.now += HOST_ABSENCE_TIMEOUT;
    let effects = entry.feed(Event::Hosts(vec![host(2)]));

    assert_eq!(lost(&effects), None);
}
