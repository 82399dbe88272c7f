//! Stateful fuzzing of how processes follow the configuration log: several processes, concurrent operators,
//! lost answers, log outages, expired records, cold starts and frozen processes.
//!
//! The oracle keeps every record that was ever appended, and the state as of each offset from applying all of
//! them without a restart.

use std::{
    collections::{BTreeMap, VecDeque},
    env,
    time::{Duration, Instant},
};

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    id::Offset,
    refusal::Reason,
    resource::{Account, Key, Kind, Tier},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use scheduler::{
    config,
    entry::{
        self, Call, Effect, Event, Record, Request, Settings,
        freshness::{CATCH_UP, FREEZE},
    },
};
use uuid::Uuid;

const SEED: u64 = 7_402;
const DEFAULT_CASES: u32 = 192;
const MAX_STEPS: usize = 80;
const PROCESS_COUNT: usize = 3;
const KEY_COUNT: u8 = 3;

/// A change that an operator makes to the account or the tier.
#[derive(Clone, Copy, Debug)]
enum Edit {
    /// Creates the account with this API key, or replaces its key.
    RotateKey(u8),
    DeleteAccount,
    SetTierRank(u8),
}

/// One step of a generated run.
#[derive(Clone, Debug)]
enum Step {
    /// An operator appends a change. With `answer_lost` the operator gets no answer; with `is_stale` the
    /// operator expects a version one below the current one.
    Append { edit: Edit, answer_lost: bool, is_stale: bool },
    /// Operators retry all changes whose answers were lost.
    RetryUnanswered,
    /// The log becomes unavailable (`true`) or available again (`false`).
    SetOutage(bool),
    /// The log no longer serves any but the newest records, of which it keeps this many.
    ExpireRecords(usize),
    /// This process stores a snapshot.
    StoreSnapshot(usize),
    /// This process reads the log, or a snapshot where the log can't serve it.
    ReadLog(usize),
    /// This process stops handling events.
    Freeze(usize),
    /// This process, where it was frozen, handles events again after more than the freeze limit.
    Unfreeze(usize),
    /// This process restarts with an empty state.
    Restart(usize),
    /// Process `from` asks process `to` for the highest offset it has applied; the answer is in flight.
    AskPeer { from: usize, to: usize },
    /// The oldest answer in flight arrives.
    DeliverAnswer,
    /// This process receives a client request with this API key.
    SendRequest { process: usize, key: u8 },
    /// A second passes.
    PassSecond,
}

/// Generates steps. It has no state: the generated steps don't depend on the run so far.
#[derive(Clone, Debug)]
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = StepGenerator;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<StepGenerator> {
        Just(StepGenerator).boxed()
    }

    fn transitions(_: &StepGenerator) -> BoxedStrategy<Step> {
        let edit = prop_oneof![
            4 => (0..KEY_COUNT).prop_map(Edit::RotateKey),
            1 => Just(Edit::DeleteAccount),
            1 => (0..4_u8).prop_map(Edit::SetTierRank),
        ];
        let process = 0..PROCESS_COUNT;
        prop_oneof![
            6 => (edit, any::<bool>(), prop::bool::weighted(0.2))
                .prop_map(|(edit, answer_lost, is_stale)| {
                    Step::Append { edit, answer_lost, is_stale }
                }),
            2 => Just(Step::RetryUnanswered),
            2 => any::<bool>().prop_map(Step::SetOutage),
            2 => (0..30_usize).prop_map(Step::ExpireRecords),
            3 => process.clone().prop_map(Step::StoreSnapshot),
            8 => process.clone().prop_map(Step::ReadLog),
            1 => process.clone().prop_map(Step::Freeze),
            2 => process.clone().prop_map(Step::Unfreeze),
            2 => process.clone().prop_map(Step::Restart),
            4 => (process.clone(), process.clone())
                .prop_map(|(from, to)| Step::AskPeer { from, to }),
            4 => Just(Step::DeliverAnswer),
            8 => (process, 0..KEY_COUNT)
                .prop_map(|(process, key)| Step::SendRequest { process, key }),
            1 => Just(Step::PassSecond),
        ]
        .boxed()
    }

    fn apply(state: StepGenerator, _: &Step) -> StepGenerator {
        state
    }
}

/// A process, with what the oracle tracks about it.
struct Process {
    state: entry::State,
    is_frozen: bool,
    /// Highest offset that the process applied since its start.
    applied: Offset,
    /// Highest offset in any confirmation that the process received.
    confirmed: Offset,
    /// Time of the last event that the process handled; `None` before its first confirmation.
    last_event_at: Option<Instant>,
    /// Requests that the process hasn't answered, with their arrival times.
    pending: BTreeMap<Uuid, Instant>,
    /// When the process resumed after a freeze; `None` once it received a confirmation that was requested at
    /// that time or later. Its configuration may be stale until then.
    unconfirmed_since: Option<Instant>,
}

/// A peer's answer in flight.
struct Answer {
    /// Index of the process that asked.
    to: usize,
    /// When that process asked.
    asked: Instant,
    /// Highest offset that the peer had applied when it answered.
    highest: Offset,
}

/// The system under test, with a virtual clock, and the oracle.
struct World {
    now: Instant,
    is_log_up: bool,
    /// Offset of the first record that the log still keeps.
    first_kept: Offset,
    /// Every record that was ever appended.
    records: Vec<String>,
    /// The state as of each offset, from applying all records without a restart.
    states: Vec<config::State>,
    /// Snapshots that processes stored, oldest first.
    snapshots: Vec<String>,
    /// Changes whose answers were lost and that haven't been retried.
    unanswered: Vec<Change>,
    /// Changes that were answered as accepted, with their versions.
    accepted: Vec<(Uuid, Offset)>,
    /// Number of the last id given to a change or request.
    last_id: u128,
    processes: Vec<Process>,
    /// Answers in flight, oldest first.
    answers: VecDeque<Answer>,
}

impl Process {
    fn new() -> Process {
        let settings = Settings { waiting: 100, zone: "a".to_owned() };
        let state = entry::open(settings);
        let pending = BTreeMap::new();
        Process {
            state,
            is_frozen: false,
            applied: 0,
            confirmed: 0,
            last_event_at: None,
            pending,
            unconfirmed_since: None,
        }
    }

    /// Returns whether the process has applied every offset in the confirmations that it received, and awaits
    /// no confirmation after a freeze.
    fn is_fresh(&self) -> bool {
        self.unconfirmed_since.is_none() && self.confirmed <= self.applied
    }
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Instant::now(),
            is_log_up: true,
            first_kept: 1,
            records: Vec::new(),
            states: vec![config::State::default()],
            snapshots: Vec::new(),
            unanswered: Vec::new(),
            accepted: Vec::new(),
            last_id: 0,
            processes: (0..PROCESS_COUNT).map(|_| Process::new()).collect(),
            answers: VecDeque::new(),
        };
        let crew = Tier { name: "crew".to_owned(), rank: 0, deadline: Duration::from_secs(1) };
        let change = world.change(Action::Put(Resource::Tier(crew)), 0);
        world.append(&change);
        world
    }

    /// Returns the offset of the newest record.
    fn end(&self) -> Offset {
        self.records.len() as Offset
    }

    /// Returns the state as of the newest record.
    fn newest(&self) -> &config::State {
        self.states.last().unwrap()
    }

    fn change(&mut self, action: Action, expected: Offset) -> Change {
        self.last_id += 1;
        Change { schema: SCHEMA, id: Uuid::from_u128(self.last_id), expected, action }
    }

    fn append(&mut self, change: &Change) {
        let record = serde_json::to_string(change).unwrap();
        let mut state = self.newest().clone();
        state.apply(self.end() + 1, &record).unwrap();
        self.records.push(record);
        self.states.push(state);
    }

    fn append_edit(&mut self, edit: Edit, answer_lost: bool, is_stale: bool) {
        let action = match edit {
            Edit::RotateKey(key) => Action::Put(account(key)),
            Edit::DeleteAccount => Action::Delete(viewer()),
            Edit::SetTierRank(rank) => {
                let name = "crew".to_owned();
                let deadline = Duration::from_secs(1);
                Action::Put(Resource::Tier(Tier { name, rank, deadline }))
            }
        };
        let current = self.newest().version(&action.key());
        let change = self.change(action, current.saturating_sub(u64::from(is_stale)));
        self.append(&change);
        match answer_lost {
            true => self.unanswered.push(change),
            false => self.answer_operator(&change),
        }
    }

    /// Records an answer to the operator, where the change was accepted.
    fn answer_operator(&mut self, change: &Change) {
        if let Some(config::Outcome::Accepted(version)) = self.newest().outcome(&change.id) {
            self.accepted.push((change.id, *version));
        }
    }

    /// Lets a process handle an event and checks its state and effects against the oracle.
    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.last_event_at.is_some_and(|last| now.duration_since(last) > FREEZE) {
            process.unconfirmed_since = Some(now);
        }
        if let Event::Confirmed { asked, highest } = &event {
            process.confirmed = process.confirmed.max(*highest);
            process.unconfirmed_since = process.unconfirmed_since.filter(|since| asked < since);
            process.last_event_at = Some(now);
        }
        process.last_event_at = process.last_event_at.map(|_| now);
        let effects = entry::reduce(&mut process.state, now, event);
        let applied = process.state.config().applied();
        assert!(applied >= process.applied, "process {index} went back to an earlier offset");
        process.applied = applied;
        let expected_state = &self.states[applied as usize];
        assert_eq!(
            process.state.config(),
            expected_state,
            "process {index} differs from the oracle at offset {applied}"
        );
        for effect in effects {
            check_refusal(process, expected_state, &effect);
            if let Effect::Refuse { request, .. } = effect {
                process.pending.remove(&request);
            }
        }
        let is_overdue = process.pending.values().any(|arrived| now - *arrived >= CATCH_UP);
        assert!(!is_overdue, "process {index} left a request unanswered for {CATCH_UP:?}");
    }

    /// Catches a process up as the task that follows the log does: from the log's records, from a stored
    /// snapshot where the next record has expired, or from a peer where neither is available.
    fn read_log(&mut self, index: usize) {
        if self.processes[index].is_frozen {
            return;
        }
        let next = self.processes[index].applied + 1;
        if !self.is_log_up {
            return self.restore_from_peer(index, next);
        }
        if next < self.first_kept {
            let covers = |found: &config::Snapshot| found.applied + 1 >= self.first_kept;
            let newest = self.snapshots.iter().rev().filter_map(|s| config::snapshot::parse(s));
            match newest.into_iter().find(covers) {
                Some(snapshot) => self.handle(index, Event::Restored(Box::new(snapshot))),
                None => return self.restore_from_peer(index, self.first_kept),
            }
        }
        let from = self.processes[index].applied + 1;
        let remaining = self.records.iter().zip(1..).skip(from as usize - 1);
        let records =
            remaining.map(|(payload, offset)| Record { offset, payload: payload.clone() });
        let records: Vec<Record> = records.collect();
        self.handle(index, Event::Records(records));
        self.handle(index, Event::Confirmed { asked: self.now, highest: self.end() });
        self.handle(index, Event::CaughtUp);
    }

    /// Restores a snapshot of the peer that is furthest ahead, where it has applied at least offset `next`.
    fn restore_from_peer(&mut self, index: usize, next: Offset) {
        let running = self.processes.iter().filter(|peer| !peer.is_frozen);
        let Some(best) = running.max_by_key(|peer| peer.applied) else {
            return;
        };
        if best.applied >= next {
            let snapshot = best.state.config().snapshot();
            self.handle(index, Event::Restored(Box::new(snapshot)));
            self.handle(index, Event::CaughtUp);
        }
    }

    /// Ends the freeze of a process after more than [`FREEZE`], during which the others keep running.
    fn unfreeze(&mut self, index: usize) {
        if !self.processes[index].is_frozen {
            return;
        }
        for _ in 0..=FREEZE.as_secs() {
            self.now += Duration::from_secs(1);
            for other in 0..PROCESS_COUNT {
                if !self.processes[other].is_frozen {
                    self.handle(other, Event::Tick);
                }
            }
        }
        self.processes[index].is_frozen = false;
    }

    fn ask_peer(&mut self, from: usize, to: usize) {
        if !self.processes[from].is_frozen && !self.processes[to].is_frozen {
            let highest = self.processes[to].applied;
            self.answers.push_back(Answer { to: from, asked: self.now, highest });
        }
    }

    fn deliver_answer(&mut self) {
        let Some(answer) = self.answers.pop_front() else {
            return;
        };
        if self.processes[answer.to].is_frozen {
            return self.answers.push_back(answer);
        }
        let Answer { to, asked, highest } = answer;
        self.handle(to, Event::Confirmed { asked, highest });
    }

    fn send_request(&mut self, index: usize, key: u8) {
        if self.processes[index].is_frozen {
            return;
        }
        self.last_id += 1;
        let request = Request {
            id: Uuid::from_u128(self.last_id),
            credential: Some(credential::hash(&key.to_string())),
            tier: None,
            call: Some(Call::Completion("none".to_owned())),
            deadline: None,
            idempotent: None,
            key: None,
            prefill: 1,
            decode: 1,
            prefix: Vec::new(),
            fingerprint: Default::default(),
            findings: vec![model::Finding::new("key", key.to_string())],
        };
        self.processes[index].pending.insert(request.id, self.now);
        self.handle(index, Event::Arrived(request));
    }

    /// Ends all faults and lets every process catch up, so that it has applied everything that was accepted.
    fn recover(&mut self) {
        self.is_log_up = true;
        self.retry_unanswered();
        for index in 0..PROCESS_COUNT {
            self.unfreeze(index);
        }
        // Two rounds: a process whose next records have expired can restore from a peer that caught up in the
        // first.
        for index in (0..PROCESS_COUNT).chain(0..PROCESS_COUNT) {
            self.read_log(index);
        }
        self.now += CATCH_UP;
        for index in 0..PROCESS_COUNT {
            self.handle(index, Event::Tick);
        }
    }

    fn retry_unanswered(&mut self) {
        if !self.is_log_up {
            return;
        }
        for change in std::mem::take(&mut self.unanswered) {
            self.append(&change);
            self.answer_operator(&change);
        }
    }
}

/// Checks that a request was decided by the content of a fresh configuration, or rejected as not ready.
fn check_refusal(process: &Process, expected_state: &config::State, effect: &Effect) {
    let Effect::Refuse { refusal, .. } = effect else {
        return;
    };
    match refusal.reason {
        Reason::NotReady => {}
        Reason::Unauthorized => assert!(process.is_fresh(), "decided on a stale configuration"),
        Reason::BadInput => {
            assert!(process.is_fresh(), "decided on a stale configuration");
            let key = &refusal.findings.iter().find(|f| f.place == "key").unwrap().message;
            let account = expected_state.account_by_key(&credential::hash(key));
            assert!(account.is_some(), "a key that belongs to no account was accepted");
        }
        other => panic!("{other:?}"),
    }
}

fn viewer() -> Key {
    Key { kind: Kind::Account, name: "viewer".to_owned() }
}

fn account(key: u8) -> Resource {
    Resource::Account(Account {
        name: "viewer".to_owned(),
        key_hash: credential::hash(&key.to_string()),
        tiers: vec!["crew".to_owned()],
        limit: None,
    })
}

/// Runs the generated steps against [`World`].
struct Run;

impl StateMachineTest for Run {
    type SystemUnderTest = World;
    type Reference = StepGenerator;

    fn init_test(_: &StepGenerator) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &StepGenerator, step: Step) -> World {
        world.now += Duration::from_millis(10);
        match step {
            Step::Append { edit, answer_lost, is_stale } if world.is_log_up => {
                world.append_edit(edit, answer_lost, is_stale);
            }
            Step::Append { .. } => {}
            Step::RetryUnanswered => world.retry_unanswered(),
            Step::SetOutage(is_down) => world.is_log_up = !is_down,
            Step::ExpireRecords(kept) => {
                world.first_kept =
                    world.first_kept.max((world.end() + 1).saturating_sub(kept as Offset));
            }
            Step::StoreSnapshot(index) => {
                let process = &world.processes[index];
                if world.is_log_up && !process.is_frozen && process.applied > 0 {
                    world.snapshots.push(process.state.config().snapshot().render());
                }
            }
            Step::ReadLog(index) => world.read_log(index),
            Step::Freeze(index) => world.processes[index].is_frozen = true,
            Step::Unfreeze(index) => world.unfreeze(index),
            Step::Restart(index) => {
                world.processes[index] = Process::new();
                world.answers.retain(|answer| answer.to != index);
            }
            Step::AskPeer { from, to } => world.ask_peer(from, to),
            Step::DeliverAnswer => world.deliver_answer(),
            Step::SendRequest { process, key } => world.send_request(process, key),
            Step::PassSecond => world.now += Duration::from_secs(1),
        }
        world
    }

    fn teardown(mut world: World, _: StepGenerator) {
        world.recover();

        let end = world.end();
        let snapshots = world.snapshots.iter().map(|s| config::snapshot::parse(s).unwrap());
        let highest = snapshots.map(|snapshot| snapshot.applied).max().unwrap_or(0);
        let covered = highest + 1 >= world.first_kept;
        for process in &world.processes {
            // Where no stored snapshot covers the expired records, a process may be unable to catch up.
            assert!(
                process.applied == end || !covered,
                "applied {} of {end} records",
                process.applied
            );
            assert!(process.state.is_empty(), "a request was left unanswered");
        }
        for (id, version) in &world.accepted {
            let outcome = world.newest().outcome(id);
            assert_eq!(outcome, Some(&config::Outcome::Accepted(*version)));
        }
    }
}

fn config() -> Config {
    let cases = env::var("WAGTAILHILL_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn no_process_goes_back_or_decides_on_a_stale_configuration(sequential 1..MAX_STEPS => Run);
}
