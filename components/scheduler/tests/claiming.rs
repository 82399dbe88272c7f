//! Requests with an idempotency key in the entry's reducer: claims, reports of outcomes to the key's
//! home, and refusals. Also the removal of members whose hosts have disappeared.

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
    agent::Capacity,
    entry::{self, Effect, Event, HOST_ABSENCE_TIMEOUT, Record, Request, State},
};
use support::{incarnation_id, join_record, start_time};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(30);
/// Delay after which the entry sends a claim again that wasn't decided.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An entry process and the current time.
struct Entry {
    state: State,
    now: Instant,
}

/// Returns an entry that has read the configuration and the join of one member, `target-0`.
fn open_entry() -> Entry {
    let grant = Duration::from_millis(200);
    let mut world = world::open(
        Capacity { slots: 1, max_tokens: 1_000, max_waiting: 8, grant_lifetime: grant },
        8,
    );
    let record = Record { offset: 1, payload: join_record(0, 1, start_time()) };
    let mut entry = Entry { state: world.entries.remove(0), now: world.now };
    entry.handle(Event::Members(vec![record]));
    entry
}

impl Entry {
    fn handle(&mut self, event: Event) -> Vec<Effect> {
        entry::reduce(&mut self.state, self.now, event)
    }

    /// Sends a request with an idempotency key, changed by `change`.
    fn arrive_with(&mut self, change: fn(&mut Request)) -> Vec<Effect> {
        let mut request = world::request(request_id(), 0, DEADLINE);
        request.key = Some("decision".to_owned());
        change(&mut request);
        self.handle(Event::Arrived(request))
    }

    /// Delivers the home's answer to the request's claim; `None` means that there is none.
    fn answer_claim(&mut self, verdict: Option<Verdict>) -> Vec<Effect> {
        self.handle(Event::Claimed { request: request_id(), verdict })
    }

    /// Sends the request and grants its key and its first reservation, so that it starts.
    fn start(&mut self) {
        self.arrive_with(|_| {});
        self.answer_claim(Some(Verdict::Granted));
        let grant = Grant { life: DEADLINE, load: Load::default() };
        let effects =
            self.handle(Event::Granted { id: Id { request: request_id(), attempt: 1 }, grant });
        assert!(matches!(effects.as_slice(), [Effect::Start(_)]), "{effects:?}");
    }
}

/// Returns the id of the only request that the tests send.
fn request_id() -> RequestId {
    incarnation_id(7)
}

/// Returns the first refusal's reason, whether the request ran, and whether there is a retry delay.
fn find_refusal(effects: &[Effect]) -> Option<(Reason, Ran, bool)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => {
            Some((refusal.reason, refusal.ran, refusal.retry_after.is_some()))
        }
        _ => None,
    })
}

/// Returns the first report of an outcome to a key's home.
fn find_settle(effects: &[Effect]) -> Option<Settle> {
    effects.iter().find_map(|effect| match effect {
        Effect::Settle { settle, .. } => Some(*settle),
        _ => None,
    })
}

/// Returns how many claims the entry sends.
fn count_claims(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Claim { .. })).count()
}

// A reservation before the grant of the key could let two attempts with the key run.
#[test]
fn a_request_with_a_key_is_not_reserved_before_its_key_is_granted() {
    let mut entry = open_entry();

    let arrived = entry.arrive_with(|_| {});
    let granted = entry.answer_claim(Some(Verdict::Granted));

    assert!(matches!(arrived.as_slice(), [Effect::Claim { .. }]), "{arrived:?}");
    assert!(matches!(granted.as_slice(), [Effect::Reserve { .. }]), "{granted:?}");
}

// Asking the home again at once can't change its answer, so the request must not wait for it.
#[test_case(Verdict::Held => (Reason::Duplicate, Ran::MayHaveRun, true); "held")]
#[test_case(Verdict::Ran => (Reason::Duplicate, Ran::Yes, false); "ran")]
#[test_case(Verdict::Expired => (Reason::Duplicate, Ran::MayHaveRun, false); "expired")]
#[test_case(Verdict::Unsure => (Reason::Unclaimed, Ran::MayHaveRun, true); "unsure")]
#[test_case(Verdict::Full => (Reason::Unclaimed, Ran::MayHaveRun, true); "full")]
#[test_case(Verdict::Ahead => (Reason::BadInput, Ran::MayHaveRun, false); "ahead")]
fn a_request_whose_claim_is_rejected_is_refused_at_once(verdict: Verdict) -> (Reason, Ran, bool) {
    let mut entry = open_entry();
    entry.arrive_with(|_| {});

    let effects = entry.answer_claim(Some(verdict));

    assert!(entry.state.is_empty());
    assert_eq!(find_settle(&effects), None);
    find_refusal(&effects).unwrap()
}

// Members may change for long, so the number of attempts has to be limited.
#[test_case(Some(Verdict::Behind { epoch: 0 }), 20; "an agent that is behind")]
#[test_case(Some(Verdict::Moved { epoch: 2 }), 20; "an agent that is no longer the home")]
#[test_case(Some(Verdict::Leaving), 20; "a home that is leaving")]
#[test_case(None, 3; "a home that doesn't answer")]
fn an_undecided_claim_is_retried_a_limited_number_of_times(
    verdict: Option<Verdict>,
    expected_claims: usize,
) {
    let mut entry = open_entry();
    let mut claims = count_claims(&entry.arrive_with(|_| {}));

    let last = loop {
        let effects = entry.answer_claim(verdict);
        if find_refusal(&effects).is_some() {
            break effects;
        }
        entry.now += CLAIM_RETRY_DELAY;
        claims += count_claims(&entry.handle(Event::Tick));
    };

    assert_eq!(claims, expected_claims);
    assert_eq!(find_refusal(&last), Some((Reason::Unclaimed, Ran::MayHaveRun, true)));
    assert_eq!(find_settle(&last).map(|settle| settle.ran), Some(false));
}

// Without the key's grant, an earlier attempt may have run, unless no attempt can have this key.
#[test_case(|r| r.tier = Some("gold".to_owned()) => Ran::MayHaveRun; "invalid, with a key")]
#[test_case(|r| r.key = Some(String::new()) => Ran::NotRun; "an empty key, which is never valid")]
#[test_case(|r| r.credential = None => Ran::NotRun; "without an account")]
fn a_refusal_on_arrival_says_whether_an_attempt_with_the_key_may_have_run(
    change: fn(&mut Request),
) -> Ran {
    let mut entry = open_entry();

    let effects = entry.arrive_with(change);

    find_refusal(&effects).unwrap().1
}

// Another attempt may have run, and the claim may be granted later, so it has to be released.
#[test]
fn a_request_that_expires_while_claiming_may_have_run_and_releases_its_key() {
    let mut entry = open_entry();
    entry.arrive_with(|_| {});

    entry.now += DEADLINE;
    let effects = entry.handle(Event::Tick);

    assert_eq!(find_refusal(&effects).map(|(_, ran, _)| ran), Some(Ran::MayHaveRun));
    assert_eq!(find_settle(&effects).map(|settle| settle.ran), Some(false));
}

// A key that stayed held would block all later attempts, although nothing ran.
#[test]
fn a_request_that_ends_before_its_start_releases_its_key() {
    let mut entry = open_entry();
    entry.arrive_with(|_| {});
    entry.answer_claim(Some(Verdict::Granted));

    let effects = entry.handle(Event::Ended { request: request_id() });

    assert_eq!(find_settle(&effects).map(|settle| settle.ran), Some(false));
}

// The request may have run, so another attempt with the key must not be granted.
#[test]
fn a_request_that_was_started_never_releases_its_key() {
    let mut entry = open_entry();
    entry.start();

    let effects = entry.handle(Event::Ended { request: request_id() });
    let late = entry.answer_claim(Some(Verdict::Granted));

    assert_eq!((find_settle(&effects), find_settle(&late)), (None, None));
}

// A duplicate grant of the key or of the reservation must not start the request again.
#[test]
fn duplicate_grants_after_the_start_have_no_effect() {
    let mut entry = open_entry();
    entry.start();

    let late = entry.answer_claim(Some(Verdict::Granted));
    let grant = Grant { life: DEADLINE, load: Load::default() };
    let again =
        entry.handle(Event::Granted { id: Id { request: request_id(), attempt: 1 }, grant });

    assert_eq!((late, again), (Vec::new(), Vec::new()));
}

// A lost report would leave the key held, and callers without a proof that the request ran. The number
// of attempts to report it is limited.
#[test]
fn a_report_that_a_request_ran_is_retried_a_limited_number_of_times() {
    let mut entry = open_entry();
    entry.start();
    let effects = entry.handle(Event::Ran { request: request_id() });
    let settle = find_settle(&effects).unwrap();

    let again = entry.handle(Event::Unsettled { settle, tries: 1 });
    let after_last = entry.handle(Event::Unsettled { settle, tries: 5 });

    assert!(settle.ran);
    assert_eq!((find_settle(&again), find_settle(&after_last)), (Some(settle), None));
}

// With no agent in the membership there is no home that could hold the key.
#[test]
fn without_members_a_request_with_a_key_is_refused() {
    let grant = Duration::from_millis(200);
    let mut world = world::open(
        Capacity { slots: 1, max_tokens: 1_000, max_waiting: 8, grant_lifetime: grant },
        8,
    );
    let mut entry = Entry { state: world.entries.remove(0), now: world.now };
    let mut effects = entry.arrive_with(|_| {});

    while find_refusal(&effects).is_none() {
        entry.now += CLAIM_RETRY_DELAY;
        effects = entry.handle(Event::Tick);
    }

    assert_eq!(find_refusal(&effects), Some((Reason::Unclaimed, Ran::MayHaveRun, true)));
}

fn host(index: usize) -> Host {
    Host { name: support::target_name(index), zone: "a".to_owned(), state: host::State::Live }
}

/// Returns an entry with three members, for which the host of `target-0` has just disappeared from the
/// platform's list.
fn open_with_missing_host() -> Entry {
    let mut entry = open_entry();
    let record = |index: usize| Record {
        offset: index as u64 + 1,
        payload: join_record(index, index as u128 + 1, start_time()),
    };
    entry.handle(Event::Members(vec![record(1), record(2)]));
    entry.handle(Event::Hosts(vec![host(0), host(1), host(2)]));
    entry.handle(Event::Hosts(vec![host(1), host(2)]));
    entry
}

/// Returns the first report of a lost member.
fn find_lost(effects: &[Effect]) -> Option<Leave> {
    effects.iter().find_map(|effect| match effect {
        Effect::Lost(leave) => Some(leave.clone()),
        _ => None,
    })
}

// A host may be missing from one list by mistake, so the removal waits; then it's reported only once.
#[test]
fn a_member_is_removed_after_its_host_has_been_missing_for_the_timeout() {
    let mut entry = open_with_missing_host();

    let too_early = entry.handle(Event::Hosts(vec![host(1), host(2)]));
    entry.now += HOST_ABSENCE_TIMEOUT;
    let reported = entry.handle(Event::Hosts(vec![host(1), host(2)]));
    let again = entry.handle(Event::Hosts(vec![host(1), host(2)]));
    let leave = find_lost(&reported).unwrap();
    let removed = entry.handle(Event::Remove(leave.clone()));

    assert_eq!((find_lost(&too_early), find_lost(&again)), (None, None));
    assert_eq!(
        (leave.target.as_str(), leave.incarnation, leave.ended),
        ("target-0", incarnation_id(1), false)
    );
    assert_eq!(removed, [Effect::Remove(leave)]);
}

// The host may be listed again during the random delay before the removal.
#[test]
fn a_member_whose_host_is_listed_again_is_not_removed() {
    let mut entry = open_with_missing_host();
    entry.now += HOST_ABSENCE_TIMEOUT;
    let leave = find_lost(&entry.handle(Event::Hosts(vec![host(1), host(2)]))).unwrap();

    entry.handle(Event::Hosts(vec![host(0), host(1), host(2)]));
    let effects = entry.handle(Event::Remove(leave));

    assert_eq!(effects, []);
}

// Such a list is more likely faulty than all those hosts are gone.
#[test]
fn a_list_without_most_hosts_removes_no_member() {
    let mut entry = open_with_missing_host();
    entry.handle(Event::Hosts(vec![host(2)]));

    entry.now += HOST_ABSENCE_TIMEOUT;
    let effects = entry.handle(Event::Hosts(vec![host(2)]));

    assert_eq!(find_lost(&effects), None);
}
