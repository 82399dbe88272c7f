//! The agent's reducer: who waits for the target, who may start, what runs.

mod estimate;
mod event;
mod pace;
mod prefixes;
mod queue;
mod shares;
mod suspects;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use model::{
    id::{Offset, Rank},
    refusal::Reason,
    reservation::{Ask, Denial, Fate, Grant, Id, Limit, Load},
};

use crate::rate::{News, Pacer};

pub use estimate::Policy;
pub use event::{Effect, Event};
use pace::Pace;
use prefixes::Prefixes;
use queue::{Order, Queue, Waiting};
use shares::Shares;
use suspects::Suspects;

/// Time for which an ended reservation is remembered.
pub const TOMBSTONE_LIFE: Duration = Duration::from_secs(600);
/// Time for which a shed tier is reported after the last shedding.
pub const SHED_LIFE: Duration = Duration::from_secs(1);
const RETRY_MIN: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Room at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// Requests that run or hold a grant at once.
    pub slots: usize,
    /// Tokens that these may hold together.
    pub tokens: u64,
    /// Most reservations that wait.
    pub waiting: usize,
    /// Life of a grant.
    pub grant: Duration,
}

/// Where a live reservation is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting { order: Order },
    Granted { until: Instant, hold: Hold },
    Running { since: Instant, hold: Hold },
}

/// What a granted or running reservation takes of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Hold {
    tokens: u64,
    /// In the units of the pace.
    work: u64,
    /// Whether it counts for the target's rate limit.
    limited: bool,
}

/// When a grant runs out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Lapse {
    at: Instant,
    id: Id,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    until: Instant,
    id: Id,
}

#[derive(Clone, Copy, Debug)]
struct Shed {
    rank: Rank,
    until: Instant,
}

/// Everything that the agent decides from.
#[derive(Clone, Debug)]
pub struct State {
    room: Room,
    policy: Policy,
    /// Waiting reservations, best first; each has a `Stage::Waiting` in `live`.
    queue: Queue,
    /// Reservations that haven't ended.
    live: BTreeMap<Id, Stage>,
    /// One for each `Stage::Granted` in `live`, so that time needs no scan.
    lapses: BTreeSet<Lapse>,
    /// Reservations that ended and how; never in `live` too.
    ended: BTreeMap<Id, Fate>,
    /// The same by time of forgetting.
    tombstones: VecDeque<Tombstone>,
    /// Reservations granted or running, and the tokens that they hold.
    held: usize,
    held_tokens: u64,
    pace: Pace,
    prefixes: Prefixes,
    shares: Shares,
    shed: Option<Shed>,
    heard: Offset,
    draining: bool,
    /// Whether the target takes no requests.
    unreached: bool,
    /// Requests at the target that hold no room here.
    unreserved: usize,
    /// What was last heard of the target's rate limit.
    limit: Option<News>,
    /// Spaces grants by it; `Some` just where `limit` names an interval.
    pacer: Option<Pacer>,
    /// When it lets the next grant through, where nothing else holds that up.
    next_grant: Option<Instant>,
    suspects: Suspects,
}

/// Gives the state of an agent whose target is idle.
pub fn open(room: Room) -> State {
    open_with(room, Policy::default())
}

/// The same under another policy, for comparisons.
pub fn open_with(room: Room, policy: Policy) -> State {
    State {
        room,
        policy,
        queue: queue::open(policy.newest),
        live: BTreeMap::new(),
        lapses: BTreeSet::new(),
        ended: BTreeMap::new(),
        tombstones: VecDeque::new(),
        held: 0,
        held_tokens: 0,
        pace: pace::open(),
        prefixes: prefixes::open(room.tokens),
        shares: Shares::default(),
        shed: None,
        heard: 0,
        draining: false,
        unreached: false,
        unreserved: 0,
        limit: None,
        pacer: None,
        next_grant: None,
        suspects: Suspects::default(),
    }
}

/// Takes one event in and gives what has to be done about it.
pub fn reduce(state: &mut State, now: Instant, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    state.expire(now, &mut effects);
    match event {
        Event::Reserve(ask) => state.reserve(now, ask, &mut effects),
        Event::Start(id) => state.start(now, id, &mut effects),
        Event::Cancel(id) | Event::Settle(id) => state.cancel(now, id, &mut effects),
        Event::Served(id) => effects.extend(state.suspects.cleared(id).map(Effect::Clear)),
        Event::Lost(id) => state.suspects.lose(id),
        Event::Died => state.die(now, &mut effects),
        Event::Lives => state.suspects.acquit(),
        Event::Ended(id) => state.end(now, id),
        Event::Heard(offset) => state.heard = state.heard.max(offset),
        Event::Sized(slots) => state.room.slots = slots.max(1),
        Event::Reached(reached) => state.reached(now, reached, &mut effects),
        Event::Limited(limit) => state.limited(now, limit),
        Event::Unreserved(unreserved) => state.unreserved = unreserved,
        Event::Drain => state.drain(now, &mut effects),
        Event::Tick => {}
    }
    state.fill(now, &mut effects);
    if state.draining && state.live.is_empty() {
        effects.push(Effect::Drained);
    }
    effects
}

/// When the next `Event::Tick` is due, if nothing else happens before.
pub fn next_wake(state: &State) -> Option<Instant> {
    let lapse = state.lapses.first().map(|lapse| lapse.at);
    lapse.into_iter().chain(state.queue.next_deadline()).chain(state.next_grant).min()
}

impl State {
    /// What the agent says of its load.
    pub fn load(&self) -> Load {
        let running = self.held.try_into().unwrap_or(u32::MAX);
        let waiting = self.queue.len().try_into().unwrap_or(u32::MAX);
        let floor = self.shed.map(|shed| shed.rank);
        Load { running, waiting, floor, offset: self.heard, step: self.pace.step() }
    }

    /// The lowest tier's rank among those that wait.
    pub fn lowest_waiting(&self) -> Option<Rank> {
        self.queue.last().map(|waiting| waiting.rank)
    }

    /// Mean time between two requests that the target's rate limit allows; `None` where it has none.
    pub fn limit(&self) -> Option<Duration> {
        self.limit?.interval
    }

    /// Whether no new reservations are taken.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The newest word counts, whoever brings it.
    fn limited(&mut self, now: Instant, limit: Limit) {
        let Limit { interval, age } = limit;
        let at = now.checked_sub(age).unwrap_or(now);
        if self.limit.is_some_and(|known| known.at >= at) {
            return;
        }
        self.limit = Some(News { interval, at });
        match (interval, &mut self.pacer) {
            (Some(interval), Some(pacer)) => pacer.set(interval),
            (interval, _) => {
                self.pacer = interval.map(|interval| Pacer::open(now, interval));
            }
        }
    }

    fn reserve(&mut self, now: Instant, ask: Ask, effects: &mut Vec<Effect>) {
        self.heard = self.heard.max(ask.offset);
        if self.live.contains_key(&ask.id) {
            return;
        }
        if self.ended.contains_key(&ask.id) {
            return effects.push(self.denied(ask.id, Reason::Deadline));
        }
        if self.draining {
            return self.bury(now, ask.id, Fate::Cancelled, Reason::Draining, effects);
        }
        if self.unreached {
            return self.bury(now, ask.id, Fate::Cancelled, Reason::NoTarget, effects);
        }
        if ask.remaining.is_zero() {
            return self.bury(now, ask.id, Fate::Expired, Reason::Deadline, effects);
        }
        let work = self.work(&ask);
        let is_hopeless = self.is_hopeless(now, &ask, work);
        let is_late = |state: &State| state.is_too_long(now, &ask, work);
        if is_hopeless || is_late(self) && !self.shed_below(now, ask.rank, effects) {
            return self.bury(now, ask.id, Fate::Expired, Reason::Deadline, effects);
        }
        let run = self.least_run(now, work);
        let order = self.queue.push(now, &ask, work, run);
        self.live.insert(ask.id, Stage::Waiting { order });
        self.suspects.add(ask.id, ask.body);
        // Room comes first: nobody is evicted for a place that the best no longer needs.
        self.fill(now, effects);
        if self.queue.len() > self.room.waiting {
            self.evict(now, effects);
        }
    }

    fn start(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        match self.live.get(&id).copied() {
            Some(Stage::Granted { until, hold }) => {
                self.lapses.remove(&Lapse { at: until, id });
                self.pace.start(now, id, until - self.room.grant, hold.work);
                self.live.insert(id, Stage::Running { since: now, hold });
                effects.push(Effect::Dispatch(id));
            }
            _ => effects.push(Effect::DenyStart { id, fate: self.fate(id) }),
        }
    }

    fn cancel(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        match self.live.get(&id).copied() {
            Some(Stage::Waiting { order }) => {
                self.queue.remove(&order);
                self.live.remove(&id);
                self.remember(now, id, Fate::Cancelled);
            }
            Some(Stage::Granted { until, hold }) => {
                self.lapses.remove(&Lapse { at: until, id });
                self.free(hold);
                self.unspend(hold);
                self.live.remove(&id);
                self.remember(now, id, Fate::Cancelled);
            }
            // A call for room that comes after this one must not wait; whether it ever started
            // stays unknown.
            None if !self.ended.contains_key(&id) => self.remember(now, id, Fate::Unknown),
            Some(Stage::Running { .. }) | None => {}
        }
        effects.push(Effect::Tell { id, fate: self.fate(id) });
    }

    fn end(&mut self, now: Instant, id: Id) {
        let Some(Stage::Running { since, hold }) = self.live.get(&id).copied() else {
            return;
        };
        self.live.remove(&id);
        self.free(hold);
        self.remember(now, id, Fate::Started);
        self.pace.end(now, id, since, hold.work);
    }

    /// Blames what ran; a body that ran alone is barred, also for those that wait.
    fn die(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_running = |stage: &Stage| matches!(stage, Stage::Running { .. });
        let running = self.live.iter().filter(|(_, stage)| is_running(stage));
        let running: Vec<Id> = running.map(|(id, _)| *id).collect();
        let (running, alone) = self.suspects.blame(now, &running);
        if !running.is_empty() {
            effects.push(Effect::Crash { running, alone });
        }
    }

    fn deny_barred(&mut self, now: Instant, id: Id, wait: Duration, effects: &mut Vec<Effect>) {
        self.live.remove(&id);
        self.remember(now, id, Fate::Cancelled);
        let denial = Denial { reason: Reason::Quarantined, retry_after: wait, load: self.load() };
        effects.push(Effect::Deny { id, denial });
    }

    fn drain(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.draining = true;
        self.deny_waiting(now, Reason::Draining, effects);
    }

    /// Who waits at a target that takes no requests is better off elsewhere.
    fn reached(&mut self, now: Instant, reached: bool, effects: &mut Vec<Effect>) {
        self.unreached = !reached;
        if !reached {
            self.deny_waiting(now, Reason::NoTarget, effects);
        }
    }

    fn deny_waiting(&mut self, now: Instant, reason: Reason, effects: &mut Vec<Effect>) {
        while let Some(waiting) = self.queue.pop() {
            self.live.remove(&waiting.id);
            self.bury(now, waiting.id, Fate::Cancelled, reason, effects);
        }
    }

    /// Grants room to those who wait; who comes next is never passed over for a smaller.
    fn fill(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.next_grant = None;
        while let Some(next) = self.next() {
            let (id, order) = (next.id, next.order);
            let fits = self.held_tokens + next.tokens <= self.room.tokens || self.held == 0;
            if let Some(wait) = self.suspects.barred(now, id) {
                self.queue.remove(&order);
                self.deny_barred(now, id, wait, effects);
                continue;
            }
            let may = self.suspects.may_grant(id, self.held);
            if self.held + self.unreserved >= self.slots() || !fits || !may {
                return;
            }
            self.next_grant = self.pacer.map(|pacer| pacer.next()).filter(|&next| next > now);
            if self.next_grant.is_some() {
                return;
            }
            let Some(waiting) = self.queue.remove(&order) else {
                return;
            };
            if let Some(pacer) = &mut self.pacer {
                pacer.take(now);
            }
            self.held += 1;
            self.held_tokens += waiting.tokens;
            self.prefixes.insert(&waiting.prefix);
            self.shares.grant(waiting.rank, waiting.work);
            self.suspects.grant(waiting.id);
            let until = now + self.room.grant;
            let limited = self.pacer.is_some();
            let hold = Hold { tokens: waiting.tokens, work: waiting.work, limited };
            self.live.insert(waiting.id, Stage::Granted { until, hold });
            self.lapses.insert(Lapse { at: until, id: waiting.id });
            let grant = Grant { life: self.room.grant, load: self.load() };
            effects.push(Effect::Grant { id: waiting.id, grant });
        }
    }

    /// Who is granted room next: the best, unless a lower tier has less than what each may have.
    fn next(&self) -> Option<&Waiting> {
        let starves = |waiting: &&Waiting| self.shares.of(waiting.rank) < self.policy.floor;
        let first = self.queue.first()?;
        if self.policy.floor == 0.0 || self.queue.last()?.rank == first.rank {
            return Some(first);
        }
        self.queue.iter().find(starves).or(Some(first))
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(lapse) = self.lapses.first().copied().filter(|lapse| lapse.at <= now) {
            self.lapses.pop_first();
            if let Some(Stage::Granted { hold, .. }) = self.live.remove(&lapse.id) {
                self.free(hold);
                self.unspend(hold);
                self.remember(now, lapse.id, Fate::Expired);
            }
        }
        while let Some(late) = self.queue.pop_late(now) {
            self.live.remove(&late.id);
            self.bury(now, late.id, Fate::Expired, Reason::Deadline, effects);
        }
        while self.tombstones.front().is_some_and(|t| t.until <= now) {
            if let Some(tombstone) = self.tombstones.pop_front() {
                self.ended.remove(&tombstone.id);
            }
        }
        if self.shed.is_some_and(|shed| shed.until <= now) {
            self.shed = None;
        }
    }

    /// Sheds a reservation of a tier below one, if any waits.
    fn shed_below(&mut self, now: Instant, rank: Rank, effects: &mut Vec<Effect>) -> bool {
        let lower_waits = self.lower_waits(rank);
        if lower_waits {
            self.evict(now, effects);
        }
        lower_waits
    }

    fn evict(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(worst) = self.queue.pop_worst() else {
            return;
        };
        self.live.remove(&worst.id);
        let until = now + SHED_LIFE;
        let rank = self.shed.map_or(worst.rank, |shed| shed.rank.min(worst.rank));
        self.shed = Some(Shed { rank, until });
        self.bury(now, worst.id, Fate::Evicted, Reason::Overloaded, effects);
    }

    fn bury(
        &mut self,
        now: Instant,
        id: Id,
        fate: Fate,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        self.remember(now, id, fate);
        effects.push(self.denied(id, reason));
    }

    fn denied(&self, id: Id, reason: Reason) -> Effect {
        let waiting = u32::try_from(self.queue.len() + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.room.slots).unwrap_or(u32::MAX);
        let drained = self.pace.run().saturating_mul(waiting) / slots;
        let retry_after = drained.clamp(RETRY_MIN, RETRY_MAX);
        Effect::Deny { id, denial: Denial { reason, retry_after, load: self.load() } }
    }

    fn free(&mut self, hold: Hold) {
        self.held -= 1;
        self.held_tokens -= hold.tokens;
    }

    /// A grant that wasn't used leaves its part of the rate limit to others.
    fn unspend(&mut self, hold: Hold) {
        if let Some(pacer) = self.pacer.as_mut().filter(|_| hold.limited) {
            pacer.give_back();
        }
    }

    fn remember(&mut self, now: Instant, id: Id, fate: Fate) {
        self.suspects.remove(id);
        self.ended.insert(id, fate);
        self.tombstones.push_back(Tombstone { until: now + TOMBSTONE_LIFE, id });
    }

    fn fate(&self, id: Id) -> Fate {
        match self.live.get(&id) {
            Some(Stage::Waiting { .. }) => Fate::Waiting,
            Some(Stage::Granted { .. }) => Fate::Granted,
            Some(Stage::Running { .. }) => Fate::Started,
            None => self.ended.get(&id).copied().unwrap_or(Fate::Unknown),
        }
    }
}
