//! The entry's reducer: which requests are taken, where they wait, which one starts where.

mod admit;
mod claiming;
pub mod event;
mod feed;
pub mod freshness;
mod leave;
mod pending;
mod shed;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    Refusal,
    id::{AccountName, HostName, Offset, Rank, RequestId, TargetName, ZoneName},
    refusal::Reason,
    reservation::{Ask, BlockHash, Denial, Id, Load},
    resource::Target,
};

pub use admit::{DEADLINE_LIMIT, KEY_LIMIT};
use claiming::Claim;
pub use event::{Call, Effect, Event, Owner, Record, Request, Start};
use freshness::Freshness;
use pending::{Order, Pending, Stage, Timer};

use crate::{config, limit, membership, placement};

/// Most reservations of one request that are open at once.
const OPEN_LIMIT: usize = 2;
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
    config: config::State,
    members: membership::State,
    /// Hosts that the platform's list shows as leaving.
    leaving: BTreeSet<HostName>,
    /// Requests that haven't ended.
    requests: BTreeMap<RequestId, Pending>,
    /// Those of them that wait, in the order of shedding.
    waiting: BTreeSet<Order>,
    /// One timer for each that waits.
    timers: BTreeSet<Timer>,
    seen: BTreeMap<TargetName, Seen>,
    usage: BTreeMap<AccountName, limit::Usage>,
    freshness: Freshness,
    /// Whether the configuration was read once to its end.
    ready: bool,
    /// Whether the balancer is told to send no more; requests that still come are taken.
    unlisted: bool,
    draining: bool,
}

/// Gives the state of a process that has read nothing yet.
pub fn open(settings: Settings) -> State {
    State {
        settings,
        config: config::State::default(),
        members: membership::State::default(),
        leaving: BTreeSet::new(),
        requests: BTreeMap::new(),
        waiting: BTreeSet::new(),
        timers: BTreeSet::new(),
        seen: BTreeMap::new(),
        usage: BTreeMap::new(),
        freshness: Freshness::default(),
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
        if let Err((owner, refusal)) = self.admit(now, request.clone()) {
            let refusal = claiming::speak(&request, Claim::None, refusal);
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
        let usage = self.usage.entry(account.name.clone()).or_insert_with(|| limit::open(now));
        if let Err(wait) = usage.admit(now, account.limit) {
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

    /// Asks the next target for room, or refuses where no target is left to ask.
    fn seek(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        match self.choose(now, pending).cloned() {
            Some(target) => self.reserve(now, id, &target, effects),
            None if pending.open.is_empty() => self.give_up(now, id, effects),
            None => {}
        }
    }

    /// The best target that wasn't asked yet; one that is down or sheds this tier comes last.
    fn choose(&self, now: Instant, pending: &Pending) -> Option<&Target> {
        let usable =
            |target: &&Target| self.is_serving(target) && !pending.tried.contains_key(&target.name);
        let targets = self.config.targets(&pending.pool).filter(usable);
        let ordered = placement::order(placement_key(pending), targets);
        let good = |scored: &&placement::Scored| self.is_good(now, &scored.target, pending.rank);
        let chosen = ordered.iter().find(good).or(ordered.first())?;
        self.config.target(&chosen.target)
    }

    fn reserve(&mut self, now: Instant, id: RequestId, target: &Target, effects: &mut Vec<Effect>) {
        let offset = self.config.applied();
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.attempts += 1;
        let reservation = Id { request: id, attempt: pending.attempts };
        pending.open.insert(reservation, target.name.clone());
        pending.tried.insert(target.name.clone(), now);
        let ask = Ask {
            id: reservation,
            rank: pending.rank,
            remaining: pending.deadline.saturating_duration_since(now),
            prefill: pending.request.prefill,
            decode: pending.request.decode,
            prefix: pending.request.prefix.clone(),
            offset,
        };
        effects.push(Effect::Reserve { target: target.name.clone(), address: target.control, ask });
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
        pending.denial = denial.or(pending.denial);
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
            let few = pending.open.len() < OPEN_LIMIT;
            self.schedule(timer.request);
            if few {
                self.seek(now, timer.request, effects);
            }
        }
    }

    /// Refuses the request that is worth least: the lowest tier, there the latest deadline.
    fn shed(&mut self, effects: &mut Vec<Effect>) {
        let Some(worst) = self.waiting.last().copied() else {
            return;
        };
        let refusal = Refusal::not_run(Reason::Overloaded, "too many requests wait here");
        self.refuse(worst.request, refusal.retry_after(RETRY), effects);
    }

    fn refuse_full(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let denial = self.requests.get(&id).and_then(|pending| pending.denial);
        let refusal = match denial {
            None => Refusal::not_run(Reason::NoTarget, "no target of the pool can be reached")
                .retry_after(RETRY),
            Some(denial) => Refusal::not_run(denial.reason, "no target of the pool has room")
                .retry_after(denial.retry_after),
        };
        self.refuse(id, refusal, effects);
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
        let refusal = claiming::speak(&pending.request, pending.claim, refusal);
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

    fn hear(&mut self, now: Instant, id: Id, load: Load, effects: &mut Vec<Effect>) {
        self.freshness.hear(load.offset);
        if load.offset > self.config.applied() {
            effects.push(Effect::CatchUp(load.offset));
        }
        if let Some(target) = self.target_of(id) {
            let shed = load.floor.map(|rank| Shed { rank, until: now + SHED_LIFE });
            self.seen.insert(target, Seen { shed, down_until: None });
        }
    }

    fn mark_down(&mut self, now: Instant, id: Id) {
        if let Some(target) = self.target_of(id) {
            self.seen.entry(target).or_default().down_until = Some(now + DOWN_LIFE);
        }
    }

    fn target_of(&self, id: Id) -> Option<TargetName> {
        self.requests.get(&id.request)?.open.get(&id).cloned()
    }

    fn is_good(&self, now: Instant, target: &str, rank: Rank) -> bool {
        let Some(seen) = self.seen.get(target) else {
            return true;
        };
        let down = seen.down_until.is_some_and(|until| until > now);
        let sheds = seen.shed.is_some_and(|shed| shed.rank <= rank && shed.until > now);
        !down && !sheds
    }
}

/// Requests that share their first blocks share this key; one without a prefix has its own.
fn placement_key(pending: &Pending) -> BlockHash {
    const SHARED_BLOCKS: usize = 4;
    let prefix = &pending.request.prefix;
    let shared = prefix.get(SHARED_BLOCKS - 1).or(prefix.last());
    shared.copied().unwrap_or_else(|| pending.request.id.as_u64_pair().1)
}

/// The offset up to which a list of effects wants the log read.
pub fn catch_up(effects: &[Effect]) -> Option<Offset> {
    let wanted = effects.iter().filter_map(|effect| match effect {
        Effect::CatchUp(offset) => Some(*offset),
        _ => None,
    });
    wanted.max()
}
