//! Stateful fuzzing of the configuration's life: several processes, racing operators, lost
//! answers, outages, expired records, cold starts and frozen processes.
//!
//! The oracle keeps every record that ever was and one fold that never restarts.

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
const CASES: u32 = 192;
const STEPS: usize = 80;
const PROCESSES: usize = 3;
const KEYS: u8 = 3;

/// What an operator wants.
#[derive(Clone, Copy, Debug)]
enum Edit {
    Rotate(u8),
    Delete,
    Rank(u8),
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator appends a change; the answer may be lost, and the version read may be old.
    Append {
        edit: Edit,
        lost: bool,
        old: bool,
    },
    /// Operators repeat all changes whose answers were lost.
    Repeat,
    Outage(bool),
    Expire(usize),
    Snapshot(usize),
    Read(usize),
    Freeze(usize),
    Wake(usize),
    Restart(usize),
    /// One process asks another which offset it has applied; the answer is under way.
    Ask {
        from: usize,
        to: usize,
    },
    /// The oldest answer that is under way arrives.
    Answer,
    Request {
        process: usize,
        key: u8,
    },
    Pass,
}

/// The generator needs to know nothing of the run.
#[derive(Clone, Debug)]
struct Plan;

impl ReferenceStateMachine for Plan {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        Just(Plan).boxed()
    }

    fn transitions(_: &Plan) -> BoxedStrategy<Step> {
        let edit = prop_oneof![
            4 => (0..KEYS).prop_map(Edit::Rotate),
            1 => Just(Edit::Delete),
            1 => (0..4_u8).prop_map(Edit::Rank),
        ];
        let process = 0..PROCESSES;
        prop_oneof![
            6 => (edit, any::<bool>(), prop::bool::weighted(0.2))
                .prop_map(|(edit, lost, old)| Step::Append { edit, lost, old }),
            2 => Just(Step::Repeat),
            2 => any::<bool>().prop_map(Step::Outage),
            2 => (0..30_usize).prop_map(Step::Expire),
            3 => process.clone().prop_map(Step::Snapshot),
            8 => process.clone().prop_map(Step::Read),
            1 => process.clone().prop_map(Step::Freeze),
            2 => process.clone().prop_map(Step::Wake),
            2 => process.clone().prop_map(Step::Restart),
            4 => (process.clone(), process.clone()).prop_map(|(from, to)| Step::Ask { from, to }),
            4 => Just(Step::Answer),
            8 => (process, 0..KEYS).prop_map(|(process, key)| Step::Request { process, key }),
            1 => Just(Step::Pass),
        ]
        .boxed()
    }

    fn apply(state: Plan, _: &Step) -> Plan {
        state
    }
}

/// A process, with what the oracle knows of it.
struct Process {
    state: entry::State,
    frozen: bool,
    /// Highest offset that it applied in this life.
    applied: Offset,
    /// Highest offset that it was told of.
    heard: Offset,
    /// Time of its last event, once it was told something.
    last: Option<Instant>,
    /// Requests that it hasn't answered, with their arrivals.
    pending: BTreeMap<Uuid, Instant>,
    /// When it woke, until it was told something that was asked afterwards.
    doubted: Option<Instant>,
}

/// An answer that is under way.
struct Answer {
    to: usize,
    asked: Instant,
    highest: Offset,
}

struct World {
    now: Instant,
    up: bool,
    /// Offset of the first record that the log still keeps.
    first: Offset,
    /// Every record that ever was.
    records: Vec<String>,
    /// The state as of each offset, by one fold that never restarts.
    states: Vec<config::State>,
    snapshots: Vec<String>,
    lost: Vec<Change>,
    /// Changes that operators were told to be accepted, with their versions.
    accepted: Vec<(Uuid, Offset)>,
    ids: u128,
    processes: Vec<Process>,
    answers: VecDeque<Answer>,
}

impl Process {
    fn new() -> Process {
        let settings = Settings { waiting: 100, zone: "a".to_owned() };
        let state = entry::open(settings);
        let pending = BTreeMap::new();
        Process { state, frozen: false, applied: 0, heard: 0, last: None, pending, doubted: None }
    }

    fn is_fresh(&self) -> bool {
        self.doubted.is_none() && self.heard <= self.applied
    }
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Instant::now(),
            up: true,
            first: 1,
            records: Vec::new(),
            states: vec![config::State::default()],
            snapshots: Vec::new(),
            lost: Vec::new(),
            accepted: Vec::new(),
            ids: 0,
            processes: (0..PROCESSES).map(|_| Process::new()).collect(),
            answers: VecDeque::new(),
        };
        let crew = Tier { name: "crew".to_owned(), rank: 0, deadline: Duration::from_secs(1) };
        let change = world.change(Action::Put(Resource::Tier(crew)), 0);
        world.append(&change);
        world
    }

    fn end(&self) -> Offset {
        self.records.len() as Offset
    }

    fn newest(&self) -> &config::State {
        self.states.last().unwrap()
    }

    fn change(&mut self, action: Action, expected: Offset) -> Change {
        self.ids += 1;
        Change { schema: SCHEMA, id: Uuid::from_u128(self.ids), expected, action }
    }

    fn append(&mut self, change: &Change) {
        let record = serde_json::to_string(change).unwrap();
        let mut state = self.newest().clone();
        state.apply(self.end() + 1, &record).unwrap();
        self.records.push(record);
        self.states.push(state);
    }

    fn edit(&mut self, edit: Edit, lost: bool, old: bool) {
        let action = match edit {
            Edit::Rotate(key) => Action::Put(account(key)),
            Edit::Delete => Action::Delete(viewer()),
            Edit::Rank(rank) => {
                let name = "crew".to_owned();
                let deadline = Duration::from_secs(1);
                Action::Put(Resource::Tier(Tier { name, rank, deadline }))
            }
        };
        let stands = self.newest().version(&action.key());
        let change = self.change(action, stands.saturating_sub(u64::from(old)));
        self.append(&change);
        match lost {
            true => self.lost.push(change),
            false => self.read_back(&change),
        }
    }

    fn read_back(&mut self, change: &Change) {
        if let Some(config::Outcome::Accepted(version)) = self.newest().outcome(&change.id) {
            self.accepted.push((change.id, *version));
        }
    }

    /// Feeds an event to a process and holds everything that it does against the oracle.
    fn feed(&mut self, index: usize, event: Event) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.last.is_some_and(|last| now.duration_since(last) > FREEZE) {
            process.doubted = Some(now);
        }
        if let Event::Confirmed { asked, highest } = &event {
            process.heard = process.heard.max(*highest);
            process.doubted = process.doubted.filter(|doubted| asked < doubted);
            process.last = Some(now);
        }
        process.last = process.last.map(|_| now);
        let effects = entry::reduce(&mut process.state, now, event);
        let applied = process.state.config().applied();
        assert!(applied >= process.applied, "process {index} stepped back");
        process.applied = applied;
        let truth = &self.states[applied as usize];
        assert_eq!(process.state.config(), truth, "process {index} differs at {applied}");
        for effect in effects {
            check(process, truth, &effect);
            if let Effect::Refuse { request, .. } = effect {
                process.pending.remove(&request);
            }
        }
        let late = process.pending.values().any(|arrived| now - *arrived >= CATCH_UP);
        assert!(!late, "process {index} holds a request for too long");
    }

    /// Does what the follower does: records, a snapshot over expired ones, or other processes.
    fn read(&mut self, index: usize) {
        if self.processes[index].frozen {
            return;
        }
        let next = self.processes[index].applied + 1;
        if !self.up {
            return self.ask_peers(index, next);
        }
        if next < self.first {
            let covers = |found: &config::Snapshot| found.applied + 1 >= self.first;
            let newest = self.snapshots.iter().rev().filter_map(|s| config::snapshot::parse(s));
            match newest.into_iter().find(covers) {
                Some(snapshot) => self.feed(index, Event::Restored(Box::new(snapshot))),
                None => return self.ask_peers(index, self.first),
            }
        }
        let from = self.processes[index].applied + 1;
        let left = self.records.iter().zip(1..).skip(from as usize - 1);
        let records = left.map(|(payload, offset)| Record { offset, payload: payload.clone() });
        let records: Vec<Record> = records.collect();
        self.feed(index, Event::Records(records));
        self.feed(index, Event::Confirmed { asked: self.now, highest: self.end() });
        self.feed(index, Event::CaughtUp);
    }

    fn ask_peers(&mut self, index: usize, next: Offset) {
        let awake = self.processes.iter().filter(|peer| !peer.frozen);
        let Some(best) = awake.max_by_key(|peer| peer.applied) else {
            return;
        };
        if best.applied >= next {
            let snapshot = best.state.config().snapshot();
            self.feed(index, Event::Restored(Box::new(snapshot)));
            self.feed(index, Event::CaughtUp);
        }
    }

    fn wake(&mut self, index: usize) {
        if !self.processes[index].frozen {
            return;
        }
        for _ in 0..=FREEZE.as_secs() {
            self.now += Duration::from_secs(1);
            for other in 0..PROCESSES {
                if !self.processes[other].frozen {
                    self.feed(other, Event::Tick);
                }
            }
        }
        self.processes[index].frozen = false;
    }

    fn ask(&mut self, from: usize, to: usize) {
        if !self.processes[from].frozen && !self.processes[to].frozen {
            let highest = self.processes[to].applied;
            self.answers.push_back(Answer { to: from, asked: self.now, highest });
        }
    }

    fn answer(&mut self) {
        let Some(answer) = self.answers.pop_front() else {
            return;
        };
        if self.processes[answer.to].frozen {
            return self.answers.push_back(answer);
        }
        let Answer { to, asked, highest } = answer;
        self.feed(to, Event::Confirmed { asked, highest });
    }

    fn request(&mut self, index: usize, key: u8) {
        if self.processes[index].frozen {
            return;
        }
        self.ids += 1;
        let request = Request {
            id: Uuid::from_u128(self.ids),
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
        self.feed(index, Event::Arrived(request));
    }

    /// Ends all faults; then everything that was accepted is in force everywhere.
    fn settle(&mut self) {
        self.up = true;
        self.repeat();
        for index in 0..PROCESSES {
            self.wake(index);
        }
        // One that was further may help one that fell behind what the log keeps.
        for index in (0..PROCESSES).chain(0..PROCESSES) {
            self.read(index);
        }
        self.now += CATCH_UP;
        for index in 0..PROCESSES {
            self.feed(index, Event::Tick);
        }
    }

    fn repeat(&mut self) {
        if !self.up {
            return;
        }
        for change in std::mem::take(&mut self.lost) {
            self.append(&change);
            self.read_back(&change);
        }
    }
}

/// A request is decided on a fresh configuration and by what stands in it, or not at all.
fn check(process: &Process, truth: &config::State, effect: &Effect) {
    let Effect::Refuse { refusal, .. } = effect else {
        return;
    };
    match refusal.reason {
        Reason::NotReady => {}
        Reason::Unauthorized => assert!(process.is_fresh(), "decided on old rules"),
        Reason::BadInput => {
            assert!(process.is_fresh(), "decided on old rules");
            let key = &refusal.findings.iter().find(|f| f.place == "key").unwrap().message;
            let account = truth.account_by_key(&credential::hash(key));
            assert!(account.is_some(), "a key was taken that opens nothing");
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

struct Run;

impl StateMachineTest for Run {
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test(_: &Plan) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &Plan, step: Step) -> World {
        world.now += Duration::from_millis(10);
        match step {
            Step::Append { edit, lost, old } if world.up => world.edit(edit, lost, old),
            Step::Append { .. } => {}
            Step::Repeat => world.repeat(),
            Step::Outage(down) => world.up = !down,
            Step::Expire(kept) => {
                world.first = world.first.max((world.end() + 1).saturating_sub(kept as Offset));
            }
            Step::Snapshot(index) => {
                let process = &world.processes[index];
                if world.up && !process.frozen && process.applied > 0 {
                    world.snapshots.push(process.state.config().snapshot().render());
                }
            }
            Step::Read(index) => world.read(index),
            Step::Freeze(index) => world.processes[index].frozen = true,
            Step::Wake(index) => world.wake(index),
            Step::Restart(index) => {
                world.processes[index] = Process::new();
                world.answers.retain(|answer| answer.to != index);
            }
            Step::Ask { from, to } => world.ask(from, to),
            Step::Answer => world.answer(),
            Step::Request { process, key } => world.request(process, key),
            Step::Pass => world.now += Duration::from_secs(1),
        }
        world
    }

    fn teardown(mut world: World, _: Plan) {
        world.settle();

        let end = world.end();
        let snapshots = world.snapshots.iter().map(|s| config::snapshot::parse(s).unwrap());
        let highest = snapshots.map(|snapshot| snapshot.applied).max().unwrap_or(0);
        let covered = highest + 1 >= world.first;
        for process in &world.processes {
            // Where the log has lost records that nobody kept, a process stands still.
            assert!(process.applied == end || !covered, "{} of {end}", process.applied);
            assert!(process.state.is_empty(), "a request was left without an answer");
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
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn no_process_steps_back_or_decides_on_old_rules(sequential 1..STEPS => Run);
}
