//! One run in virtual time: callers, entries, agents, engines and what goes wrong.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use model::{
    id::RequestId,
    refusal::Reason,
    reservation::{BlockHash, Id},
};
use rand::{SeedableRng, rngs::SmallRng};
use scheduler::{agent, entry};
use uuid::Uuid;

use crate::{
    arrival::{self, Job, Plan, hash},
    cache::BLOCK_TOKENS,
    engine::{self, Engine, Run, Task},
    policy::Policy,
    queue::{self, Queue},
    scenario::{Fault, Scenario, Span},
    site::{self, Site},
    tally::{self, End, Tally},
    workload::Workload,
};

/// Period of an engine's load reports, and how old one is when it arrives.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
const REPORT_LAG: Duration = Duration::from_millis(300);
/// One way within a zone.
const LOCAL_LINK: Duration = Duration::from_micros(250);
/// Bits of a request id's low half that count attempts.
const ATTEMPT_BITS: u32 = 24;

/// What happens next.
#[derive(Debug)]
pub(crate) enum Event {
    /// A caller sends a request, for the n-th time.
    Send { job: usize, attempt: u64 },
    /// It reaches an entry.
    Arrive { request: RequestId, entry: usize },
    /// A message reaches an entry's reducer.
    Entry { entry: usize, event: entry::Event },
    /// A message reaches an agent's reducer.
    Agent { target: usize, event: agent::Event },
    /// An entry's timer.
    WakeEntry(usize),
    /// An agent's timer.
    WakeAgent(usize),
    /// A pushed request reaches an engine.
    Submit { request: RequestId, target: usize },
    /// An engine's step ends; `era` counts the engine's lives.
    Step { target: usize, era: u64 },
    /// The end of an answer reaches the entry.
    Answer { request: RequestId },
    /// The deadline of an attempt.
    Due { request: RequestId },
    /// Engines report their loads.
    Report,
    /// Something goes wrong.
    Fault(Fault),
}

/// An attempt that hasn't ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub job: usize,
    pub number: u64,
    pub entry: usize,
    pub arrived: Duration,
    pub due: Duration,
    /// The target that it was dispatched to, and under which reservation.
    pub target: Option<usize>,
    pub reservation: Option<Id>,
    /// A run that is done while the end of its answer travels.
    pub done: Option<Run>,
}

/// A reservation that waits at an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    pub entry: usize,
    pub target: usize,
    pub rank: usize,
    /// Whether the agent has heard of it.
    pub arrived: bool,
}

/// The state of a run.
pub struct World<'a> {
    pub(crate) workload: &'a Workload,
    pub(crate) policy: Policy,
    pub(crate) site: Site,
    pub(crate) jobs: Vec<Job>,
    pub(crate) base: Instant,
    pub(crate) now: Duration,
    pub(crate) queue: Queue<Event>,
    pub(crate) entries: Vec<Option<entry::State>>,
    pub(crate) agents: Vec<Option<agent::State>>,
    pub(crate) entry_wakes: Vec<Option<Duration>>,
    pub(crate) agent_wakes: Vec<Option<Duration>>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) eras: Vec<u64>,
    pub(crate) attempts: BTreeMap<RequestId, Attempt>,
    pub(crate) waits: BTreeMap<Id, Wait>,
    /// Waiting attempts by entry, pool and rank; waiting reservations by target and rank.
    pub(crate) entry_ranks: Vec<Vec<Vec<u32>>>,
    pub(crate) agent_ranks: Vec<Vec<u32>>,
    pub(crate) reports: VecDeque<Vec<usize>>,
    pub(crate) random: SmallRng,
    pub(crate) turns: Vec<usize>,
    /// Jobs that ended; each ends once.
    ended: BTreeSet<usize>,
    pub(crate) tally: Tally,
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The measures.
    pub tally: Tally,
    /// Requests that were sent, in and outside the window.
    pub jobs: usize,
    /// Requests that ended; each is counted once.
    pub ended: usize,
}

/// Runs a plan under a policy to its end; requests first sent within `window` are counted.
pub fn run(workload: &Workload, policy: Policy, plan: &Plan, window: Span) -> Outcome {
    let mut jobs = arrival::draw(workload, plan);
    if plan.scenario == Scenario::Alone {
        jobs.retain(|job| job.rank == 0);
    }
    let mut world = open(workload, policy, plan, jobs, window);
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.step(event, plan.span);
    }
    Outcome { tally: world.tally, jobs: world.jobs.len(), ended: world.ended.len() }
}

fn open<'a>(
    workload: &'a Workload,
    policy: Policy,
    plan: &Plan,
    jobs: Vec<Job>,
    window: Span,
) -> World<'a> {
    let site = site::open(workload);
    let zones = workload.zones.len();
    let targets = site.targets.len();
    let tiers = workload.tiers.len();
    let engine = |target: &site::Target| {
        let pool = &workload.pools[target.pool];
        engine::open(pool.engine, f64::from(target.speed_percent) / 100.0)
    };
    let mut world = World {
        engines: site.targets.iter().map(engine).collect(),
        workload,
        policy,
        base: Instant::now(),
        now: Duration::ZERO,
        queue: queue::open(),
        entries: Vec::new(),
        agents: Vec::new(),
        entry_wakes: vec![None; zones],
        agent_wakes: vec![None; targets],
        eras: vec![0; targets],
        attempts: BTreeMap::new(),
        waits: BTreeMap::new(),
        entry_ranks: vec![vec![vec![0; tiers]; workload.pools.len()]; zones],
        agent_ranks: vec![vec![0; tiers]; targets],
        reports: VecDeque::from([vec![0; targets]]),
        random: SmallRng::seed_from_u64(plan.seed),
        turns: vec![0; zones],
        ended: BTreeSet::new(),
        tally: tally::open(tiers, workload.accounts.len(), window),
        site,
        jobs,
    };
    world.entries = (0..zones).map(|entry| Some(world.open_entry(entry))).collect();
    world.agents = (0..targets).map(|target| Some(world.open_agent(target))).collect();
    world.plan(plan);
    world
}

impl World<'_> {
    fn plan(&mut self, plan: &Plan) {
        for (job, at) in self.jobs.iter().map(|job| job.at).enumerate() {
            self.queue.push(at, Event::Send { job, attempt: 0 });
        }
        let first_pool = self.workload.pools[0].targets;
        for timed in plan.scenario.faults(first_pool, self.workload.zones.len()) {
            self.queue.push(timed.at, Event::Fault(timed.fault));
        }
        self.queue.push(REPORT_PERIOD, Event::Report);
    }

    fn step(&mut self, event: Event, span: Duration) {
        match event {
            Event::Send { job, attempt } => self.send(job, attempt),
            Event::Arrive { request, entry } => self.arrive(request, entry),
            Event::Entry { entry, event } => self.reduce_entry(entry, event),
            Event::Agent { target, event } => self.reduce_agent(target, event),
            Event::WakeEntry(entry) => self.wake_entry(entry),
            Event::WakeAgent(target) => self.wake_agent(target),
            Event::Submit { request, target } => self.submit_pushed(request, target),
            Event::Step { target, era } if era == self.eras[target] => self.end_step(target),
            Event::Step { .. } => {}
            Event::Answer { request } => self.answer(request),
            Event::Due { request } => self.due(request),
            Event::Report => self.report(span),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn send(&mut self, job: usize, number: u64) {
        let client = Duration::from_micros(self.workload.client_us);
        let entries = self.entries.len();
        let first = self.jobs[job].entry + number as usize;
        let up = (0..entries).map(|step| (first + step) % entries);
        let Some(entry) = up.into_iter().find(|entry| self.entries[*entry].is_some()) else {
            return self.finish(job, End::Lost);
        };
        let request = Uuid::from_u64_pair(entry as u64, (job as u64) << ATTEMPT_BITS | number);
        let due = self.jobs[job].at + client + self.jobs[job].deadline;
        let arrived = self.now + client;
        let attempt = Attempt {
            job,
            number,
            entry,
            arrived,
            due,
            target: None,
            reservation: None,
            done: None,
        };
        self.attempts.insert(request, attempt);
        self.queue.push(arrived, Event::Arrive { request, entry });
        self.queue.push(due, Event::Due { request });
    }

    fn arrive(&mut self, request: RequestId, entry: usize) {
        if !self.attempts.contains_key(&request) {
            return;
        }
        self.tally.attempts += 1;
        if self.policy.pushes() {
            return self.push(request, entry);
        }
        let (pool, rank) = self.place(request);
        self.entry_ranks[entry][pool][rank] += 1;
        let arrived = self.request(request);
        self.reduce_entry(entry, entry::Event::Arrived(arrived));
    }

    /// Tells the caller that it is refused; it comes back when it was told to, if that's in time.
    pub(crate) fn refuse(
        &mut self,
        request: RequestId,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let Some(attempt) = self.attempts.remove(&request) else {
            return;
        };
        let client = Duration::from_micros(self.workload.client_us);
        let waited = self.now.saturating_sub(attempt.arrived);
        self.tally.refusal(&self.jobs[attempt.job], reason, waited);
        let back = retry_after.map(|wait| self.now + client + wait);
        match back.filter(|back| *back + client < attempt.due) {
            None => self.finish(attempt.job, End::Refused),
            Some(back) => {
                let again = Event::Send { job: attempt.job, attempt: attempt.number + 1 };
                self.queue.push(back, again);
            }
        }
    }

    pub(crate) fn finish(&mut self, job: usize, end: End) {
        assert!(self.ended.insert(job), "job {job} ended twice");
        self.tally.end(&self.jobs[job], end);
    }

    /// Gives a task to an engine.
    pub(crate) fn submit(&mut self, request: RequestId, target: usize) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        attempt.target = Some(target);
        if attempt.due <= self.now {
            return self.cut(request, End::Late);
        }
        let index = attempt.job;
        let job = &self.jobs[index];
        let task = Task {
            request,
            blocks: blocks(index, job),
            prefill: job.prefill,
            generated: job.generated,
            held: u64::from(job.prefill) + u64::from(job.decode),
        };
        self.engines[target].submit(task);
        if !self.engines[target].stepping {
            self.begin_step(target);
        }
    }

    fn begin_step(&mut self, target: usize) {
        let admitted = self.engines[target].admit();
        let admitted: Vec<_> = admitted.iter().map(|run| (run.task.request, run.hits)).collect();
        for (request, hits) in admitted {
            let recomputed = self.held_elsewhere(request, target, hits);
            self.engines[target].note(request, recomputed);
        }
        if let Some(time) = self.engines[target].begin() {
            let era = self.eras[target];
            self.queue.push(self.now + time, Event::Step { target, era });
        }
    }

    /// Tokens of a prompt's shared beginning that aren't cached here but at another target.
    fn held_elsewhere(&self, request: RequestId, target: usize, hits: usize) -> u32 {
        let prefix = &self.jobs[job_of(request)].prefix;
        let pool = self.site.targets[target].pool;
        let others = || self.site.pool(pool).filter(|other| *other != target);
        let held =
            |block: &&BlockHash| others().any(|other| self.engines[other].cache.contains(**block));
        prefix.iter().skip(hits).filter(held).count() as u32 * BLOCK_TOKENS
    }

    fn end_step(&mut self, target: usize) {
        for run in self.engines[target].end() {
            let request = run.task.request;
            let Some(attempt) = self.attempts.get_mut(&request) else {
                continue;
            };
            let (entry, reservation) = (attempt.entry, attempt.reservation);
            attempt.done = Some(run);
            if let Some(id) = reservation {
                self.reduce_agent(target, agent::Event::Ended(id));
            }
            let at = self.now + self.link(entry, target);
            self.queue.push(at, Event::Answer { request });
        }
        self.begin_step(target);
    }

    fn answer(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.remove(&request) else {
            return;
        };
        let job = &self.jobs[attempt.job];
        let end = if self.now <= attempt.due { End::Good } else { End::Late };
        if let Some(run) = &attempt.done {
            self.tally.run(job, run, end);
        }
        if end == End::Good {
            self.tally.answer(job, self.now - job.at);
        }
        self.finish(attempt.job, end);
        self.end_at_entry(attempt.entry, request);
    }

    /// The caller's deadline: a run is cut off; what waits is the reducer's to refuse.
    fn due(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.get(&request) else {
            return;
        };
        if attempt.target.is_some() {
            self.cut(request, End::Late);
        }
    }

    /// Ends an attempt that was dispatched, without an answer.
    pub(crate) fn cut(&mut self, request: RequestId, end: End) {
        let Some(attempt) = self.attempts.remove(&request) else {
            return;
        };
        if let Some(target) = attempt.target {
            let run = self.engines[target].cancel(request).or(attempt.done);
            if let Some(run) = run {
                self.tally.run(&self.jobs[attempt.job], &run, end);
            }
            if let Some(id) = attempt.reservation {
                let at = self.now + self.link(attempt.entry, target);
                let event = agent::Event::Ended(id);
                self.queue.push(at, Event::Agent { target, event });
            }
        }
        self.finish(attempt.job, end);
        self.end_at_entry(attempt.entry, request);
    }

    fn end_at_entry(&mut self, entry: usize, request: RequestId) {
        if !self.policy.pushes() {
            self.reduce_entry(entry, entry::Event::Ended { request });
        }
    }

    fn report(&mut self, span: Duration) {
        self.reports.push_back(self.engines.iter().map(Engine::load).collect());
        let kept = REPORT_LAG.as_micros().div_ceil(REPORT_PERIOD.as_micros()) as usize + 1;
        while self.reports.len() > kept {
            self.reports.pop_front();
        }
        if self.now < span {
            self.queue.push(self.now + REPORT_PERIOD, Event::Report);
        }
    }

    pub(crate) fn link(&self, entry: usize, target: usize) -> Duration {
        match self.site.targets[target].zone == entry {
            true => LOCAL_LINK,
            false => Duration::from_micros(self.workload.link_us),
        }
    }

    /// Pool and rank of an attempt.
    pub(crate) fn place(&self, request: RequestId) -> (usize, usize) {
        let job = &self.jobs[job_of(request)];
        (job.pool, job.rank)
    }
}

/// The job that an attempt serves.
pub(crate) fn job_of(request: RequestId) -> usize {
    (request.as_u64_pair().1 >> ATTEMPT_BITS) as usize
}

/// All blocks of a prompt: the shared ones, then its own.
fn blocks(index: usize, job: &Job) -> Vec<BlockHash> {
    const OWN: u64 = u64::MAX;
    let count = (job.prefill / BLOCK_TOKENS) as usize;
    let own = (job.prefix.len()..count).map(|number| hash([OWN, index as u64, number as u64]));
    job.prefix.iter().copied().chain(own).collect()
}
