//! Streams that callers resume through other entry processes, in virtual time, while three versions serve and
//! processes and agents fail between the first event and the caller's return.

mod direct_support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use direct_support::{
    Process, address, configuration, empty_process, request, route, settings, target,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use scheduler::{
    direct::{
        self, Effect, Event, Outcome, RefusalReason, Registration, Request, Resumption, Settings,
        Target, Ticket,
        plan::Repeat,
        relay::{Listing, Position},
        rollout::Version,
    },
    origins::Origins,
};
use test_case::test_case;

const ENTRIES: usize = 4;
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
const ZONES: [&str; 3] = ["north", "south", "west"];
const STEP_MS: u64 = 5;
/// Time from one message's start to its arrival, in ms.
const MESSAGE_MS: u64 = 5;
/// Time from a dispatch to the first event, in ms.
const FIRST_EVENT_MS: u64 = 60;
/// Time until a call to an agent that doesn't answer ends, in ms.
const CALL_TIMEOUT_MS: u64 = 300;
/// Time for which callers wait for the whole of a stream over all their attempts, in ms.
const CALLER_TIMEOUT_MS: u64 = 5_000;
/// Interval between two new streams, in ms.
const ARRIVAL_MS: u64 = 20;
/// Time at which no new streams begin any more, in ms.
const END_MS: u64 = 12_000;
/// Maximum number of attempts of one caller.
const MAX_ATTEMPTS: u32 = 4;

/// What fails, from one second after the start, every 1.5 s.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Fault {
    /// Entry processes are killed, and start again without state after 0.6 s.
    Kill,
    /// Entry processes are killed, and a quarter of the agents with them.
    KillWithAgents,
    /// Entry processes are cut off from callers and the platform for 1.2 s.
    Cut,
    /// Entry processes are frozen for 1.2 s.
    Freeze,
    /// Every second entry process has a list of targets from before the third version came.
    OldList,
    /// Callers' connections break off, often several times for a stream.
    Reset,
}

/// Something that happens at a time.
enum Happening {
    /// A process receives an event, unless it was started again since.
    Event { process: usize, incarnation: u64, event: Box<Event> },
    /// A caller's next attempt.
    Attempt(u64),
    /// A stream that a process receives from a target ends.
    TargetDone { process: usize, incarnation: u64, ticket: Ticket },
}

/// A caller with its stream.
struct Caller {
    /// Time until which the caller waits, in ms.
    deadline: u64,
    attempts: u32,
    /// Attempt that received the first event.
    first_attempt: Option<String>,
    /// Versions of the targets whose events the caller received.
    versions: BTreeSet<Version>,
    /// Process and ticket of the attempt in flight.
    current: Option<(usize, u64, Ticket)>,
    is_done: bool,
}

/// An entry process of the fleet.
struct Entry {
    process: Process,
    incarnation: u64,
    /// Time until which the process is away, in ms.
    away_until: u64,
    /// Whether the process keeps its state while it is away.
    keeps_state: bool,
    /// Events that arrived while the process was frozen or cut off.
    missed: Vec<Event>,
}

#[derive(Default, Debug)]
struct Tally {
    begun: u64,
    /// Attempts that resumed a stream at a process that answers.
    resumed: u64,
    /// Resumed attempts that received an event.
    gone_on: u64,
    unknown: u64,
    unavailable: u64,
    records: u64,
    lookups: u64,
}

struct Fleet {
    now: u64,
    random: StdRng,
    fault: Fault,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    /// Records of each agent, and the time until which it is away.
    agents: BTreeMap<SocketAddr, (Origins, u64)>,
    callers: BTreeMap<u64, Caller>,
    /// Callers by process, incarnation and ticket, with the version of the target in use.
    attempts: BTreeMap<(usize, u64, Ticket), (u64, Option<Version>)>,
    happenings: BTreeMap<(u64, u64), Happening>,
    next: u64,
    tally: Tally,
    most_records: usize,
}

fn targets() -> Vec<Target> {
    let targets = (0..18_u16).map(|number| Target {
        version: VERSIONS[usize::from(number) % 3].into(),
        zone: ZONES[usize::from(number / 3) % 3].into(),
        agent_address: Some(address(2_000 + number)),
        slots: 40,
        ..target(number)
    });
    targets.collect()
}

fn start_process(number: usize, targets: &[Target], now: u64) -> Process {
    let mut process = empty_process(number as u16 + 1);
    let settings = Settings { zone: ZONES[number % 3].into(), ..settings(number as u16 + 1) };
    process.state = direct::open(process.now.steady, settings);
    process.now.steady += Duration::from_millis(now);
    process.now.boot += Duration::from_millis(now);
    let mut route = route("/resume/", Repeat::Resumable);
    route.max_attempts = 3;
    process.send(Event::ConfigurationRead(Arc::new(configuration(1, vec![route], None))));
    let peers = (1..=ENTRIES as u16).map(|n| Registration { address: address(n), stamp: 0 });
    process.send(Event::PeersDiscovered(peers.collect()));
    process.confirm_configuration();
    let position = Position { era: 1, offset: 1 };
    process.send(Event::TargetsListed(Listing { targets: targets.to_vec(), position }));
    process
}

fn open(fault: Fault, seed: u64) -> Fleet {
    let all = targets();
    let old: Vec<Target> =
        all.iter().filter(|target| target.version != VERSIONS[2]).cloned().collect();
    let entries = (0..ENTRIES).map(|number| {
        let is_old = fault == Fault::OldList && number % 2 == 0;
        let process = start_process(number, if is_old { &old } else { &all }, 0);
        Entry { process, incarnation: 0, away_until: 0, keeps_state: true, missed: Vec::new() }
    });
    let agents = all.iter().filter_map(|target| target.agent_address);
    Fleet {
        now: 0,
        random: StdRng::seed_from_u64(seed),
        fault,
        entries: entries.collect(),
        agents: agents.map(|agent| (agent, (Origins::default(), 0))).collect(),
        targets: all,
        callers: BTreeMap::new(),
        attempts: BTreeMap::new(),
        happenings: BTreeMap::new(),
        next: 0,
        tally: Tally::default(),
        most_records: 0,
    }
}

impl Fleet {
    fn run(&mut self) {
        while self.now < END_MS + 2 * CALLER_TIMEOUT_MS {
            self.now += STEP_MS;
            if self.now.is_multiple_of(ARRIVAL_MS) && self.now < END_MS {
                self.begin_stream();
            }
            if self.now.is_multiple_of(1_500) && self.now < END_MS {
                self.inject_fault();
            }
            self.wake_processes();
            while let Some(entry) = self.happenings.first_entry()
                && entry.key().0 <= self.now
            {
                let happening = entry.remove();
                self.happen(happening);
            }
            for index in 0..ENTRIES {
                self.deliver(index, Event::Tick);
                if self.now.is_multiple_of(500) {
                    let process = &self.entries[index].process;
                    let (boot, version) = (process.now.boot, process.state.known().plan);
                    let confirmed = Event::ConfigurationConfirmed { boot, version, era: 1 };
                    self.deliver(index, confirmed);
                }
            }
            let records = self.agents.values().map(|(origins, _)| origins.len());
            self.most_records = self.most_records.max(records.sum());
        }
        let now = self.entries[0].process.now.steady;
        self.agents.values_mut().for_each(|(origins, _)| origins.remove_expired(now));
    }

    fn schedule(&mut self, after_ms: u64, happening: Happening) {
        self.next += 1;
        self.happenings.insert((self.now + after_ms, self.next), happening);
    }

    fn begin_stream(&mut self) {
        let id = self.next;
        let caller = Caller {
            deadline: self.now + CALLER_TIMEOUT_MS,
            attempts: 0,
            first_attempt: None,
            versions: BTreeSet::new(),
            current: None,
            is_done: false,
        };
        self.callers.insert(id, caller);
        self.schedule(0, Happening::Attempt(id));
    }

    fn is_away(&self, index: usize) -> bool {
        self.entries[index].away_until > self.now
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..ENTRIES);
        let (away_ms, keeps_state) = match self.fault {
            Fault::Kill | Fault::KillWithAgents => (600, false),
            Fault::Cut | Fault::Freeze => (1_200, true),
            Fault::OldList | Fault::Reset => (0, true),
        };
        if away_ms > 0 && !self.is_away(index) {
            self.entries[index].away_until = self.now + away_ms;
            self.entries[index].keeps_state = keeps_state;
        }
        if self.fault == Fault::KillWithAgents {
            for (origins, away_until) in self.agents.values_mut() {
                if self.random.random_bool(0.25) {
                    *origins = Origins::default();
                    *away_until = self.now + 400;
                }
            }
        }
        // The callers of the process, or some of all callers, return with another attempt.
        let callers = self.callers.iter().filter(|(_, caller)| {
            caller.current.is_some_and(|(at, ..)| away_ms == 0 || at == index)
        });
        let callers: Vec<u64> = callers.map(|(&id, _)| id).collect();
        for id in callers {
            if away_ms == 0 && self.random.random_bool(0.4) {
                continue;
            }
            let left = self.callers.get_mut(&id).and_then(|caller| caller.current.take());
            if let (Some((process, incarnation, ticket)), true) = (left, away_ms == 0) {
                let event = Event::CallerDisconnected { ticket, events: 0 };
                let event = Box::new(event);
                self.schedule(0, Happening::Event { process, incarnation, event });
            }
            let after_ms = self.random.random_range(5..150);
            self.schedule(after_ms, Happening::Attempt(id));
        }
    }

    fn wake_processes(&mut self) {
        for index in 0..ENTRIES {
            let entry = &mut self.entries[index];
            if entry.away_until == 0 || entry.away_until > self.now {
                continue;
            }
            entry.away_until = 0;
            let missed = std::mem::take(&mut entry.missed);
            if entry.keeps_state {
                missed.into_iter().for_each(|event| self.deliver(index, event));
            } else {
                entry.incarnation += 1;
                entry.process = start_process(index, &self.targets, self.now);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Attempt(id) => self.attempt(id),
            Happening::Event { process, incarnation, event } => {
                let event = *event;
                if self.entries[process].incarnation != incarnation {
                    return;
                }
                if self.is_away(process) {
                    return self.entries[process].missed.push(event);
                }
                if let Event::AnswerBegan { ticket } = event {
                    self.pass_event(process, incarnation, ticket);
                }
                self.deliver(process, event);
            }
            Happening::TargetDone { process, incarnation, ticket } => {
                let key = (process, incarnation, ticket);
                let Some((id, _)) = self.attempts.get(&key) else { return };
                let caller = self.callers.get_mut(id).expect("a caller");
                if caller.current == Some(key) && self.entries[process].incarnation == incarnation {
                    caller.is_done = true;
                    caller.current = None;
                    let outcome = Outcome::Completed;
                    let event = Event::DispatchEnded { ticket, outcome, begun: true, events: 9 };
                    self.deliver(process, event);
                }
            }
        }
    }

    /// Passes the first event that a process receives from a target on to the caller, if it is still connected.
    fn pass_event(&mut self, process: usize, incarnation: u64, ticket: Ticket) {
        let key = (process, incarnation, ticket);
        let Some((id, Some(version))) = self.attempts.get(&key).cloned() else { return };
        let caller = self.callers.get_mut(&id).expect("a caller");
        if caller.current != Some(key) {
            return;
        }
        caller.versions.insert(version);
        match caller.first_attempt {
            None => {
                caller.first_attempt = Some(format!("{id}-{}", caller.attempts));
                self.tally.begun += 1;
            }
            Some(_) => self.tally.gone_on += 1,
        }
        let length = self.random.random_range(100..2_500);
        self.schedule(length, Happening::TargetDone { process, incarnation, ticket });
    }

    fn attempt(&mut self, id: u64) {
        let caller = self.callers.get_mut(&id).expect("a caller");
        let is_over = self.now >= caller.deadline || caller.attempts == MAX_ATTEMPTS;
        if caller.is_done || is_over || caller.current.is_some() {
            return;
        }
        let index = self.random.random_range(0..ENTRIES);
        if self.entries[index].away_until > self.now {
            return self.schedule(100, Happening::Attempt(id));
        }
        caller.attempts += 1;
        self.next += 1;
        let ticket = self.next;
        let key = (index, self.entries[index].incarnation, ticket);
        caller.current = Some(key);
        let first_attempt = caller.first_attempt.clone();
        self.tally.resumed += u64::from(first_attempt.is_some());
        let request = Request {
            id: format!("{id}-{}", caller.attempts),
            timeout: Some(Duration::from_millis(caller.deadline - self.now)),
            resumption: first_attempt.map(|first| Resumption { first_attempt: Some(first) }),
            spread: self.random.random(),
            ..request(ticket, "/resume/")
        };
        self.attempts.insert(key, (id, None));
        self.deliver(index, Event::RequestReceived(request));
    }

    fn deliver(&mut self, index: usize, event: Event) {
        if self.is_away(index) {
            return;
        }
        let entry = &mut self.entries[index];
        let passed = Duration::from_millis(self.now);
        let start = entry.process.now.steady - entry.process.now.boot;
        entry.process.now.boot = Duration::from_secs(1_000) + passed;
        entry.process.now.steady = start + entry.process.now.boot;
        let effects = entry.process.send(event);
        effects.into_iter().for_each(|effect| self.carry_out(index, effect));
    }

    fn carry_out(&mut self, process: usize, effect: Effect) {
        let incarnation = self.entries[process].incarnation;
        let now = self.entries[process].process.now.steady;
        match effect {
            Effect::Dispatch(dispatch) => {
                let ticket = dispatch.ticket;
                let target = self.targets.iter().find(|target| target.name == dispatch.target);
                let version = target.map(|target| target.version.clone());
                if let Some((_, known)) = self.attempts.get_mut(&(process, incarnation, ticket)) {
                    *known = version;
                }
                let event = Event::AnswerBegan { ticket };
                let began = Happening::Event { process, incarnation, event: Box::new(event) };
                self.schedule(FIRST_EVENT_MS, began);
            }
            Effect::Refuse { ticket, refusal, .. } => {
                self.tally.unknown += u64::from(refusal.reason == RefusalReason::VersionUnknown);
                self.tally.unavailable +=
                    u64::from(refusal.reason == RefusalReason::VersionUnavailable);
                let key = (process, incarnation, ticket);
                let Some((id, _)) = self.attempts.get(&key).cloned() else { return };
                let caller = self.callers.get_mut(&id).expect("a caller");
                if caller.current == Some(key) {
                    caller.current = None;
                    self.schedule(100, Happening::Attempt(id));
                }
            }
            Effect::RecordOrigin { ticket, agent, key, version, lifetime } => {
                self.tally.records += 1;
                let (origins, away_until) = self.agents.get_mut(&agent).expect("an agent");
                if *away_until <= self.now {
                    origins.record(now, key, version, lifetime);
                } else {
                    let event = Event::OriginUnrecorded { ticket, agent };
                    let failed = Happening::Event { process, incarnation, event: Box::new(event) };
                    self.schedule(CALL_TIMEOUT_MS, failed);
                }
            }
            Effect::FindOrigin { ticket, key, agents } => {
                self.tally.lookups += 1;
                let (mut version, mut unanswered) = (None, 0);
                for agent in agents {
                    let (origins, away_until) = self.agents.get_mut(&agent).expect("an agent");
                    if *away_until > self.now {
                        unanswered += 1;
                    } else {
                        version = version.or(origins.find(now, &key).cloned());
                    }
                }
                let is_late = version.is_none() && unanswered > 0;
                let event = Event::OriginAnswered { ticket, version, unanswered };
                let answer = Happening::Event { process, incarnation, event: Box::new(event) };
                self.schedule(if is_late { CALL_TIMEOUT_MS } else { MESSAGE_MS }, answer);
            }
            _ => {}
        }
    }
}

/// Guards against streams that hold events of two versions over a caller's attempts, and against streams that
/// aren't resumed although targets of their version serve.
#[test_case(Fault::Kill; "processes are killed")]
#[test_case(Fault::KillWithAgents; "processes are killed with agents")]
#[test_case(Fault::Cut; "processes are cut off")]
#[test_case(Fault::Freeze; "processes are frozen")]
#[test_case(Fault::OldList; "processes have an old list of targets")]
#[test_case(Fault::Reset; "callers return several times")]
fn streams_resumed_through_other_processes_keep_their_versions(fault: Fault) {
    for seed in 0..8 {
        let mut fleet = open(fault, seed);

        fleet.run();

        let tally = &fleet.tally;
        let joined = fleet.callers.values().filter(|caller| caller.versions.len() > 1).count();
        assert_eq!(joined, 0, "seed {seed}: {tally:?}");
        assert!(tally.resumed >= 12, "seed {seed}: {tally:?}");
        assert!(tally.gone_on * 2 >= tally.resumed, "seed {seed}: {tally:?}");
        let versions: BTreeSet<_> =
            fleet.callers.values().flat_map(|caller| &caller.versions).collect();
        assert_eq!(versions.len(), 3, "seed {seed}");
        println!("seed {seed}: {tally:?}, at most {} records", fleet.most_records);
        let left: usize = fleet.agents.values().map(|(origins, _)| origins.len()).sum();
        assert_eq!(left, 0, "seed {seed}: records outlive their callers");
    }
}
