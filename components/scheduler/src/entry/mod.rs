//! The entry's reducer: which requests are taken, where they wait, which one starts where.

mod admit;
mod claiming;
pub mod event;
mod feed;
pub mod freshness;
mod leave;
mod lost;
mod pending;
mod seek;
mod shed;
mod suspects;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    Refusal,
    id::{AccountName, Fingerprint, HostName, Offset, Rank, RequestId, TargetName, ZoneName},
    refusal::Reason,
    reservation::{Denial, Id},
};

pub use admit::{DEADLINE_LIMIT, KEY_LIMIT};
use claiming::Claim;
pub use event::{Call, Effect, Event, Owner, Record, Request, Start};
use freshness::Freshness;
pub use lost::ABSENCE;
use pending::{Order, Pending, Stage, Timer};
pub use seek::Policy;
use seek::Pools;

use crate::{config, limit, membership, suspect};

/// Time for which a target whose agent couldn't be reached is asked last.
const DOWN_LIFE: Duration = Duration::from_secs(2);
/// Time for which a target that shed a tier is asked last for that tier.
const SHED_LIFE: Duration = Duration::from_secs(1);
/// Time for which a denial counts. A refusal rests on none that is older, so that no lower tier
/// can have waited longer than this, and a way there, at a target that denied a higher one.
pub const DENIAL_LIFE: Duration = Duration::from_millis(20);
/// Most rounds in which old denials are asked again, so that far targets don't put a refusal off.
const ROUNDS: u32 = 8;
/// Wait that is advised where nothing better is known.
const RETRY: Duration = Duration::from_secs(1);

/// What the reducer is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Most requests that wait.
    pub waiting: usize,
    /// Zone of this process.
    pub zone: ZoneName,
}

/// What is known of a target beyond its configuration; all of it is a hint.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Lowest rank number that the target's agent shed, and until when we believe it.
    shed: Option<Shed>,
    down_until: Option<Instant>,
    /// When its agent answered last.
    heard: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Shed {
    rank: Rank,
    until: Instant,
}

/// Everything that an entry process decides from.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    policy: Policy,
    config: config::State,
    members: membership::State,
    lost: lost::Watch,
    /// Hosts that the platform's list shows as leaving.
    leaving: BTreeSet<HostName>,
    /// Requests that haven't ended.
    requests: BTreeMap<RequestId, Pending>,
    /// Those of them that wait, in the order of shedding.
    waiting: BTreeSet<Order>,
    /// One timer for each that waits.
    timers: BTreeSet<Timer>,
    seen: BTreeMap<TargetName, Seen>,
    pools: Pools,
    usage: BTreeMap<AccountName, limit::Usage>,
    suspects: suspect::State,
    /// Bodies that this process suspects by itself, and until when.
    own_suspects: BTreeMap<Fingerprint, Instant>,
    freshness: Freshness,
    /// Hosts that run entry processes, this one included, as far as is known; at least 1.
    entries: u32,
    /// Whether the configuration was read once to its end.
    ready: bool,
    /// Whether the balancer is told to send no more; requests that still come are taken.
    unlisted: bool,
    draining: bool,
}

/// Gives the state of a process that has read nothing yet.
pub fn open(settings: Settings) -> State {
    open_with(settings, Policy::default())
}

/// The same under another policy, for comparisons.
pub fn open_with(settings: Settings, policy: Policy) -> State {
    State {
        settings,
        policy,
        config: config::State::default(),
        members: membership::State::default(),
        lost: lost::Watch::default(),
        leaving: BTreeSet::new(),
        requests: BTreeMap::new(),
        waiting: BTreeSet::new(),
        timers: BTreeSet::new(),
        seen: BTreeMap::new(),
        pools: Pools::default(),
        usage: BTreeMap::new(),
        suspects: suspect::State::default(),
        own_suspects: BTreeMap::new(),
        freshness: Freshness::default(),
        entries: 1,
        ready: false,
        unlisted: false,
        draining: false,
    }
}

/// Takes one event in and gives what has to be done about it.
pub fn reduce(state: &mut State, now: Instant, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    state.pass(now, &mut effects);
    if let Some((id, load)) = event::load(&event) {
        state.hear(now, id, load, &mut effects);
    }
    match event {
        Event::Arrived(request) if state.must_hold() => state.hold(now, request, &mut effects),
        Event::Arrived(request) => state.arrive(now, request, &mut effects),
        Event::Granted { id, .. } => state.granted(now, id, &mut effects),
        Event::Denied { id, denial } => state.denied(now, id, Some(denial), &mut effects),
        Event::Unreachable { id } => {
            state.mark_down(now, id);
            state.denied(now, id, None, &mut effects);
        }
        Event::NotStarted { id, unreachable } => {
            state.not_started(now, id, unreachable, &mut effects);
        }
        Event::Claimed { request, verdict } => {
            state.claimed(now, request, verdict, &mut effects);
        }
        Event::Unsettled { settle, tries } => state.settle_key(settle, tries, &mut effects),
        Event::Ran { request } => state.ran(request, &mut effects),
        Event::Members(records) => state.follow(records),
        Event::Remove(leave) => state.remove(leave, &mut effects),
        Event::Ended { request } => {
            state.freshness.forget(request);
            state.forget(request, &mut effects);
        }
        Event::Records(records) => {
            state.apply(records, &mut effects);
            state.withdraw(now, &mut effects);
        }
        Event::Restored(snapshot) => {
            state.restore(*snapshot, &mut effects);
            state.withdraw(now, &mut effects);
        }
        Event::Confirmed { asked, highest } => state.confirm(now, asked, highest, &mut effects),
        Event::CaughtUp => state.ready = true,
        Event::Lost { request } => state.suspect(now, request),
        Event::Crashes(records) => state.heed(now, records, &mut effects),
        Event::Hosts(hosts) => state.list(now, hosts, &mut effects),
        Event::Leave => state.unlisted = true,
        Event::Drain => state.draining = true,
        Event::Tick => {}
    }
    state.settle_held(now, &mut effects);
    state.expire(now, &mut effects);
    if state.draining && state.is_empty() {
        effects.push(Effect::Drained);
    }
    effects
}

/// When the next `Event::Tick` is due, if nothing else happens before.
pub fn next_wake(state: &State) -> Option<Instant> {
    let timer = state.timers.first().map(|timer| timer.at);
    timer.into_iter().chain(state.freshness.next_wake()).min()
}

impl State {
    /// The configuration in force here.
    pub fn config(&self) -> &config::State {
        &self.config
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.unlisted && !self.draining
    }

    /// The lowest tier's rank among those that wait here.
    pub fn lowest_waiting(&self) -> Option<Rank> {
        self.waiting.last().map(|order| order.rank)
    }

    /// Rank of the lowest tier that waits for a pool, if any does.
    pub fn lowest_waiting_for(&self, pool: &str) -> Option<Rank> {
        let waiting = self.waiting.iter().rev();
        let mut waiting = waiting.filter_map(|order| self.requests.get(&order.request));
        waiting.find(|pending| pending.pool == pool).map(|pending| pending.rank)
    }

    /// Requests that haven't ended.
    pub fn len(&self) -> usize {
        self.requests.len() + self.freshness.waiting()
    }

    /// Whether no request is left.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn arrive(&mut self, now: Instant, request: Request, effects: &mut Vec<Effect>) {
        let id = request.id;
        let key = request.key.clone();
        if let Err((owner, refusal)) = self.admit(now, request) {
            let refusal = claiming::speak(key.as_ref(), Claim::None, refusal);
            return effects.push(Effect::Refuse { request: id, owner, refusal });
        }
        if self.waiting.len() > self.settings.waiting {
            self.shed(effects);
        }
        match self.requests.get(&id).map(|pending| pending.stage) {
            Some(Stage::Claiming) => self.ask_home(now, id, effects),
            Some(_) => self.seek(now, id, effects),
            None => {}
        }
    }

    fn admit(&mut self, now: Instant, request: Request) -> Result<(), (Owner, Refusal)> {
        let nobody = |refusal| (Owner::default(), refusal);
        self.check_open().map_err(nobody)?;
        let account = admit::authenticate(&self.config, &request).map_err(nobody)?;
        let owner =
            Owner { account: account.name.clone(), tier: request.tier.clone().unwrap_or_default() };
        let pending = admit::admit(&self.config, now, account, request)
            .map_err(|refusal| (owner, refusal))?;
        let share = account.limit.map(|limit| limit::share(limit, self.entries));
        let usage = self.usage.entry(account.name.clone()).or_insert_with(|| limit::open(now));
        if let Err(wait) = usage.admit(now, share) {
            let refusal = Refusal::not_run(
                Reason::AccountLimit,
                "the client account has reached a limit of its own",
            );
            return Err((pending.owner, refusal.retry_after(wait)));
        }
        self.insert(pending);
        Ok(())
    }

    fn check_open(&self) -> Result<(), Refusal> {
        if self.draining {
            let message = "this process is leaving; send the request again";
            return Err(Refusal::not_run(Reason::Draining, message).retry_after(Duration::ZERO));
        }
        if !self.ready {
            let message = "this process hasn't read the configuration yet";
            return Err(Refusal::not_run(Reason::NotReady, message).retry_after(RETRY));
        }
        Ok(())
    }

    fn granted(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(start) = self.start(now, id) else {
            return;
        };
        self.unschedule(id.request);
        let pending = self.requests.get_mut(&id.request).expect("a started request is pending");
        pending.stage = Stage::Started(id);
        let mut others = std::mem::take(&mut pending.open);
        pending.open.extend(others.remove_entry(&id));
        // Should the start have no effect, these may be asked again: they denied nothing.
        pending.tried.retain(|target, _| !others.values().any(|other| other == target));
        self.cancel(others, effects);
        effects.push(Effect::Start(start));
    }

    /// What a grant starts; nothing where the request ended, has started already, even under this
    /// reservation, or the target is no longer configured. A grant that isn't taken lapses.
    fn start(&self, now: Instant, id: Id) -> Option<Start> {
        let pending = self.requests.get(&id.request).filter(|pending| pending.is_waiting())?;
        let target = self.config.target(pending.open.get(&id)?)?;
        Some(Start {
            id,
            owner: pending.owner.clone(),
            target: target.name.clone(),
            control: target.control,
            traffic: target.traffic,
            remaining: pending.deadline.saturating_duration_since(now),
        })
    }

    fn denied(&mut self, now: Instant, id: Id, denial: Option<Denial>, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id.request) else {
            return;
        };
        // A denial that comes after the start, doubled or late, proves nothing about the start.
        if !pending.is_waiting() {
            return;
        }
        let Some(target) = pending.open.remove(&id) else {
            return;
        };
        pending.tried.insert(target.clone(), now);
        pending.note(denial);
        if let Some(denial) = denial.filter(|denial| denial.reason == Reason::Quarantined) {
            return self.refuse_quarantined(id.request, Some(denial.retry_after), effects);
        }
        if denial.is_some_and(|denial| denial.reason == Reason::Draining) {
            self.seen.entry(target).or_default().down_until = Some(now + DOWN_LIFE);
        }
        self.seek(now, id.request, effects);
    }

    fn not_started(&mut self, now: Instant, id: Id, unreachable: bool, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get_mut(&id.request) else {
            return;
        };
        if pending.stage != Stage::Started(id) {
            return;
        }
        pending.stage = Stage::Waiting;
        let target = pending.open.remove(&id);
        if let Some(target) = target {
            if unreachable {
                self.seen.entry(target).or_default().down_until = Some(now + DOWN_LIFE);
            } else {
                // A grant that lapsed speaks for the delay on the way, not against the target.
                pending.tried.remove(&target);
            }
        }
        self.schedule(id.request);
        self.seek(now, id.request, effects);
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            let Some(pending) = self.requests.get_mut(&timer.request) else {
                self.timers.pop_first();
                continue;
            };
            if pending.deadline <= now {
                self.refuse_late(timer.request, effects);
                continue;
            }
            self.timers.pop_first();
            if pending.stage == Stage::Claiming {
                self.ask_home(now, timer.request, effects);
                continue;
            }
            pending.widen_at = None;
            self.schedule(timer.request);
            self.widen(now, timer.request, effects);
        }
    }

    fn refuse_late(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let wait = self.requests.get(&id).and_then(|pending| pending.denial);
        let wait = wait.map_or(RETRY, |denial| denial.retry_after);
        let refusal = Refusal::not_run(Reason::Deadline, "the deadline passed while it waited");
        self.refuse(id, refusal.retry_after(wait), effects);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, effects: &mut Vec<Effect>) {
        let Some(pending) = self.forget(id, effects) else {
            return;
        };
        let refusal = claiming::speak(pending.request.key.as_ref(), pending.claim, refusal);
        effects.push(Effect::Refuse { request: id, owner: pending.owner, refusal });
    }

    fn forget(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Pending> {
        self.unschedule(id);
        let mut pending = self.requests.remove(&id)?;
        self.release(&pending, effects);
        if pending.is_waiting() {
            self.cancel(std::mem::take(&mut pending.open), effects);
        }
        if let Some(usage) = self.usage.get_mut(&pending.owner.account) {
            usage.release();
        }
        Some(pending)
    }

    fn cancel(&self, open: BTreeMap<Id, TargetName>, effects: &mut Vec<Effect>) {
        for (id, target) in open {
            if let Some(address) = self.control(&target) {
                effects.push(Effect::Cancel { id, address });
            }
        }
    }

    fn control(&self, target: &str) -> Option<SocketAddr> {
        self.config.target(target).map(|target| target.control)
    }

    fn insert(&mut self, pending: Pending) {
        let id = pending.request.id;
        self.requests.insert(id, pending);
        self.schedule(id);
    }

    fn schedule(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        self.waiting.insert(pending.order());
        if let Some(at) = pending.wake() {
            self.timers.insert(Timer { at, request: id });
        }
    }

    fn unschedule(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        self.waiting.remove(&pending.order());
        if let Some(at) = pending.wake() {
            self.timers.remove(&Timer { at, request: id });
        }
    }
}

/// The offset up to which a list of effects wants the log read.
pub fn catch_up(effects: &[Effect]) -> Option<Offset> {
    let wanted = effects.iter().filter_map(|effect| match effect {
        Effect::CatchUp(offset) => Some(*offset),
        _ => None,
    });
    wanted.max()
}
