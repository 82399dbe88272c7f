//! The agent's reducer: decides which reservations wait for the target, which are granted a slot, and
//! tracks which requests run at it.

mod estimate;
mod event;
mod fairness;
mod pace;
mod prefixes;
mod queue;
mod shares;
mod suspects;
mod unused;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use model::{
    id::{Offset, Rank},
    refusal::Reason,
    reservation::{Ask, Denial, Fate, Grant, Id, Limit, Load},
};

use crate::rate::{Pacer, RateLimitReport};

pub use estimate::Policy;
pub use event::{Effect, Event};
use fairness::Charge;
pub use fairness::Turn;
use pace::RunTimeEstimator;
use prefixes::PrefixCache;
use queue::{Queue, QueueKey, WaitingReservation};
use shares::TierShares;
use suspects::SuspectBodies;
use unused::UnusedSlots;

/// Time for which the final state of an ended reservation is kept, so that late or repeated messages
/// about the reservation are answered correctly.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// Time after the last eviction for which [`Load::floor`] reports the lowest rank number evicted.
pub const SHED_TIER_REPORT_DURATION: Duration = Duration::from_secs(1);
/// Time after a request that could be on time found no slot, in which no late one is granted.
const LATE_GRANT_DELAY: Duration = Duration::from_millis(100);
/// One in so many slots, rounded up, may be held by late requests.
pub const LATE_SLOTS_DIVISOR: u32 = 2;
/// One in so many slots, rounded up, stays free of late requests at a target with more than one.
const FREE_SLOTS_BESIDE_LATE_DIVISOR: usize = 4;
/// Lower limit of the retry delay that a denial suggests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Upper limit of the retry delay that a denial suggests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Capacity limits of a target, of its queue and of its grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Maximum number of requests that run or hold a grant at the same time; while held slots are unused,
    /// and with [`Policy::allows_extra_grants`], more do.
    pub slots: usize,
    /// Maximum sum of the tokens (prompt plus maximum output) of all running and granted requests. A
    /// request that is larger than this limit is granted when nothing else holds a slot.
    pub max_tokens: u64,
    /// Maximum number of waiting reservations; beyond it the last one in the queue is evicted.
    pub max_waiting: usize,
    /// Time within which a grant must be started before it expires.
    pub grant_lifetime: Duration,
}

/// State of a reservation that hasn't ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting { queue_key: QueueKey },
    Granted { expires_at: Instant, usage: Usage },
    Running { started_at: Instant, usage: Usage },
}

/// Share of the target's capacity that a granted or running reservation uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Usage {
    tokens: u64,
    /// Estimated work, in the units of [`pace::DECODE_STEP_WORK`].
    work: u64,
    /// Whether the grant was counted against the target's rate limit.
    is_rate_limited: bool,
    /// Whether the answer can no longer meet its target latency.
    is_late: bool,
    /// What the grant was charged to its account; `None` where accounts don't share the target.
    charge: Option<Charge>,
}

/// Time at which a grant expires unless it is started before; sorted by time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct GrantExpiry {
    at: Instant,
    id: Id,
}

/// Time at which the final state of an ended reservation is dropped.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    expires_at: Instant,
    id: Id,
}

/// Lowest rank number evicted recently, and the time until which it is reported in [`Load::floor`].
#[derive(Clone, Copy, Debug)]
struct ShedTier {
    rank: Rank,
    expires_at: Instant,
}

/// State of the agent's reducer.
#[derive(Clone, Debug)]
pub struct State {
    capacity: Capacity,
    policy: Policy,
    /// Waiting reservations in queue order; each has a `Stage::Waiting` in `active`.
    queue: Queue,
    /// Reservations that haven't ended.
    active: BTreeMap<Id, Stage>,
    /// One entry for each `Stage::Granted` in `active`, sorted by time, so that finding the expired
    /// grants needs no scan.
    grant_expiries: BTreeSet<GrantExpiry>,
    /// How each ended reservation ended; a reservation is never in both `final_fates` and `active`.
    final_fates: BTreeMap<Id, Fate>,
    /// The reservations in `final_fates`, in the order in which they are dropped from it.
    tombstones: VecDeque<Tombstone>,
    /// Number of granted and running reservations.
    held_slots: usize,
    /// Number of those that can no longer meet their target latency.
    late_slots: usize,
    /// Last time at which a reservation that could be on time found no slot; `None` before the first.
    on_time_waited_at: Option<Instant>,
    /// Tokens held by granted and running reservations.
    held_tokens: u64,
    run_times: RunTimeEstimator,
    prefix_cache: PrefixCache,
    tier_shares: TierShares,
    shed_tier: Option<ShedTier>,
    /// Highest configuration offset that was received from another process or applied by this one.
    highest_offset: Offset,
    is_draining: bool,
    /// Whether the target accepts no requests; while this is set, all reservations are denied.
    is_unreachable: bool,
    /// Requests in flight at the target that were sent without a reservation at this agent.
    unreserved_requests: usize,
    unused_slots: UnusedSlots,
    /// Most recent report about the target's rate limit; `None` before the first report.
    rate_limit: Option<RateLimitReport>,
    /// Spaces grants to respect the rate limit; `Some` only while `rate_limit` has an interval.
    pacer: Option<Pacer>,
    /// When the rate limit allows the next grant; `None` unless only the rate limit delays it.
    next_grant_at: Option<Instant>,
    suspects: SuspectBodies,
}

/// Returns the initial state of an agent whose target is idle, with the default policy.
pub fn open(capacity: Capacity) -> State {
    open_with(capacity, Policy::default())
}

/// Returns the initial state of an agent whose target is idle, with the given policy.
pub fn open_with(capacity: Capacity, policy: Policy) -> State {
    State {
        capacity,
        policy,
        queue: queue::new(policy.is_latest_deadline_first),
        active: BTreeMap::new(),
        grant_expiries: BTreeSet::new(),
        final_fates: BTreeMap::new(),
        tombstones: VecDeque::new(),
        held_slots: 0,
        late_slots: 0,
        on_time_waited_at: None,
        held_tokens: 0,
        run_times: pace::new(),
        prefix_cache: prefixes::new(capacity.max_tokens),
        tier_shares: TierShares::default(),
        shed_tier: None,
        highest_offset: 0,
        is_draining: false,
        is_unreachable: false,
        unreserved_requests: 0,
        unused_slots: UnusedSlots::default(),
        rate_limit: None,
        pacer: None,
        next_grant_at: None,
        suspects: SuspectBodies::default(),
    }
}

/// Applies one event to the state and returns the effects that the caller must carry out, in order.
pub fn reduce(state: &mut State, now: Instant, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    state.expire(now, &mut effects);
    match event {
        Event::Reserve(ask) => state.reserve(now, ask, &mut effects),
        Event::Start(id) => state.start(now, id, &mut effects),
        Event::Cancel(id) | Event::Resolve(id) => state.cancel(now, id, &mut effects),
        Event::AnswerCompleted(id) => {
            effects.extend(state.suspects.body_run_alone(id).map(Effect::ClearSuspect))
        }
        Event::ConnectionBroken(id) => state.suspects.add_broken_run(id),
        Event::TargetCrashed => state.record_crash(now, &mut effects),
        Event::TargetStillRunning => state.suspects.clear_broken_runs(),
        Event::Ended(id) => state.end(now, id),
        Event::OffsetReceived(offset) => state.highest_offset = state.highest_offset.max(offset),
        Event::TargetReplaced => state.forget_target(),
        Event::SlotsChanged(slots) => state.capacity.slots = slots.max(1),
        Event::ReachabilityChanged(is_reachable) => {
            state.set_reachable(now, is_reachable, &mut effects)
        }
        Event::RateLimitReported(limit) => state.update_rate_limit(now, limit),
        Event::RequestsProbed(requests) => state.unused_slots.record(state.held_slots, requests),
        Event::UnreservedRequestsChanged(requests) => state.unreserved_requests = requests,
        Event::Drain => state.drain(now, &mut effects),
        Event::Tick => {}
    }
    state.issue_grants(now, &mut effects);
    if state.is_draining && state.active.is_empty() {
        effects.push(Effect::Drained);
    }
    effects
}

/// Returns when the caller must next send `Event::Tick` if no other event comes before; `None` if no
/// tick is needed.
pub fn next_wake(state: &State) -> Option<Instant> {
    let expiry = state.grant_expiries.first().map(|expiry| expiry.at);
    expiry.into_iter().chain(state.queue.next_latest_start()).chain(state.next_grant_at).min()
}

impl State {
    /// Returns the load that the agent reports with every reply.
    pub fn load(&self) -> Load {
        let running = self.held_slots.try_into().unwrap_or(u32::MAX);
        let waiting = self.queue.len().try_into().unwrap_or(u32::MAX);
        let floor = self.shed_tier.map(|shed| shed.rank);
        Load {
            running,
            waiting,
            floor,
            offset: self.highest_offset,
            step: self.run_times.step_time(),
        }
    }

    /// Returns the number of held slots that the target repeatedly didn't use, by the last probes.
    pub fn unused_slots(&self) -> usize {
        self.unused_slots.recurrent()
    }

    /// Returns the number of grants that aren't started yet.
    pub fn pending_grants(&self) -> usize {
        self.grant_expiries.len()
    }

    /// Returns the rank of the lowest tier that has a waiting reservation; `None` if the queue is
    /// empty.
    pub fn lowest_waiting_rank(&self) -> Option<Rank> {
        self.queue.last().map(|waiting| waiting.rank)
    }

    /// Returns the mean time between two requests that the target's rate limit allows; `None` if no
    /// rate limit is known.
    pub fn rate_limit_interval(&self) -> Option<Duration> {
        self.rate_limit?.interval
    }

    /// Returns how the account of a granted reservation came to its turn; `None` if the reservation has no grant or
    /// accounts don't share the target.
    pub fn turn(&self, id: Id) -> Option<Turn> {
        match self.active.get(&id)? {
            Stage::Granted { usage, .. } => usage.charge.map(|charge| charge.turn),
            _ => None,
        }
    }

    /// Returns whether the agent is draining and denies all new reservations.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Forgets what was learnt of the target: its run times and its rate limit. Slots that are held stay held
    /// until their requests end.
    fn forget_target(&mut self) {
        self.run_times = pace::new();
        self.unused_slots = UnusedSlots::default();
        self.rate_limit = None;
        self.pacer = None;
        self.next_grant_at = None;
    }

    /// Applies a report about the target's rate limit unless a report at least as new is known. Reports
    /// from different entries can arrive out of order.
    fn update_rate_limit(&mut self, now: Instant, limit: Limit) {
        let Limit { interval, age } = limit;
        let at = now.checked_sub(age).unwrap_or(now);
        if self.rate_limit.is_some_and(|known| known.stated_at >= at) {
            return;
        }
        self.rate_limit = Some(RateLimitReport { interval, stated_at: at });
        match (interval, &mut self.pacer) {
            (Some(interval), Some(pacer)) => pacer.set_interval(interval),
            (interval, _) => {
                self.pacer = interval.map(|interval| Pacer::open(now, interval));
            }
        }
    }

    fn reserve(&mut self, now: Instant, ask: Ask, effects: &mut Vec<Effect>) {
        self.highest_offset = self.highest_offset.max(ask.offset);
        if self.active.contains_key(&ask.id) {
            return;
        }
        if self.final_fates.contains_key(&ask.id) {
            return effects.push(self.denial(ask.id, Reason::Deadline));
        }
        if self.is_draining {
            return self.end_with_denial(now, ask.id, Fate::Cancelled, Reason::Draining, effects);
        }
        if self.is_unreachable {
            return self.end_with_denial(now, ask.id, Fate::Cancelled, Reason::NoTarget, effects);
        }
        if ask.remaining.is_zero() {
            return self.end_with_denial(now, ask.id, Fate::Expired, Reason::Deadline, effects);
        }
        let work = self.uncached_work(&ask);
        let is_infeasible = self.is_infeasible(now, &ask, work);
        let is_queue_too_long = |state: &State| state.is_queue_too_long(now, &ask, work);
        if is_infeasible || is_queue_too_long(self) && !self.shed_below(now, ask.rank, effects) {
            return self.end_with_denial(now, ask.id, Fate::Expired, Reason::Deadline, effects);
        }
        let least_run_time = self.least_run_time(now, work);
        let queue_key = self.queue.push(now, &ask, work, least_run_time);
        self.active.insert(ask.id, Stage::Waiting { queue_key });
        self.suspects.add(ask.id, ask.body);
        // Free slots are granted before the queue length is checked: a grant may shorten the queue so
        // that no reservation must be evicted.
        self.issue_grants(now, effects);
        if self.queue.len() > self.capacity.max_waiting {
            self.evict_last(now, effects);
        }
    }

    fn start(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        match self.active.get(&id).copied() {
            Some(Stage::Granted { expires_at, usage }) => {
                self.grant_expiries.remove(&GrantExpiry { at: expires_at, id });
                self.run_times.start(
                    now,
                    id,
                    expires_at - self.capacity.grant_lifetime,
                    usage.work,
                );
                self.active.insert(id, Stage::Running { started_at: now, usage });
                effects.push(Effect::Dispatch(id));
            }
            _ => effects.push(Effect::DenyStart { id, fate: self.fate(id) }),
        }
    }

    fn cancel(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        match self.active.get(&id).copied() {
            Some(Stage::Waiting { queue_key }) => {
                self.queue.remove(&queue_key);
                self.active.remove(&id);
                self.record_end(now, id, Fate::Cancelled);
            }
            Some(Stage::Granted { expires_at, usage }) => {
                self.grant_expiries.remove(&GrantExpiry { at: expires_at, id });
                self.release(usage);
                self.return_rate_share(usage);
                self.queue.give_back(usage.charge);
                self.active.remove(&id);
                self.record_end(now, id, Fate::Cancelled);
            }
            // The message that makes the reservation may still arrive after its cancellation and must
            // not be queued then. The agent may have restarted, so it can't say whether the
            // reservation ever started.
            None if !self.final_fates.contains_key(&id) => self.record_end(now, id, Fate::Unknown),
            Some(Stage::Running { .. }) | None => {}
        }
        effects.push(Effect::ReplyFate { id, fate: self.fate(id) });
    }

    fn end(&mut self, now: Instant, id: Id) {
        let Some(Stage::Running { started_at, usage }) = self.active.get(&id).copied() else {
            return;
        };
        self.active.remove(&id);
        self.release(usage);
        self.record_end(now, id, Fate::Started);
        self.run_times.end(now, id, started_at, usage.work);
    }

    /// Records which bodies ran when the target crashed. A suspected body that ran alone is banned for
    /// [`suspects::BAN_DURATION`], and waiting reservations with the same body are denied by
    /// `issue_grants`.
    fn record_crash(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_running = |stage: &Stage| matches!(stage, Stage::Running { .. });
        let running = self.active.iter().filter(|(_, stage)| is_running(stage));
        let running: Vec<Id> = running.map(|(id, _)| *id).collect();
        let (running, alone) = self.suspects.record_crash(now, &running);
        if !running.is_empty() {
            effects.push(Effect::Crash { bodies: running, ran_alone: alone });
        }
    }

    fn deny_banned(
        &mut self,
        now: Instant,
        id: Id,
        retry_after: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.active.remove(&id);
        self.record_end(now, id, Fate::Cancelled);
        let denial = Denial { reason: Reason::Quarantined, retry_after, load: self.load() };
        effects.push(Effect::Deny { id, denial });
    }

    fn drain(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.is_draining = true;
        self.deny_waiting(now, Reason::Draining, effects);
    }

    /// Sets whether the target accepts requests. While it doesn't, waiting reservations are denied, so
    /// that their entries try other targets.
    fn set_reachable(&mut self, now: Instant, is_reachable: bool, effects: &mut Vec<Effect>) {
        self.is_unreachable = !is_reachable;
        if !is_reachable {
            self.deny_waiting(now, Reason::NoTarget, effects);
        }
    }

    fn deny_waiting(&mut self, now: Instant, reason: Reason, effects: &mut Vec<Effect>) {
        while let Some(waiting) = self.queue.pop() {
            self.active.remove(&waiting.id);
            self.end_with_denial(now, waiting.id, Fate::Cancelled, reason, effects);
        }
    }

    /// Grants free capacity to waiting reservations in order. If the next one doesn't fit, the ones
    /// behind it wait too, so that small requests can't starve a large one.
    fn issue_grants(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.grant_free_slots(now, effects);
        if self.queue.first().is_some_and(|first| !first.order.is_late) {
            self.on_time_waited_at = Some(now);
        }
    }

    fn grant_free_slots(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.next_grant_at = None;
        while let Some(chosen) = self.next_to_grant() {
            let next = self.queue.in_turn(chosen);
            let (id, queue_key, chosen_key) = (next.id, next.queue_key, chosen.queue_key);
            let is_late = next.order.is_late;
            let has_tokens =
                self.held_tokens + next.tokens <= self.capacity.max_tokens || self.held_slots == 0;
            if let Some(remaining_ban) = self.suspects.remaining_ban(now, id) {
                self.queue.remove(&queue_key);
                self.deny_banned(now, id, remaining_ban, effects);
                continue;
            }
            let may_run_beside_others = self.suspects.may_grant(id, self.held_slots);
            if self.held_slots + self.unreserved_requests >= self.grantable_slots()
                || !has_tokens
                || !may_run_beside_others
                || (is_late && !self.has_late_slot())
            {
                return;
            }
            if is_late {
                self.next_grant_at = self.late_grants_from().filter(|&from| from > now);
                if self.next_grant_at.is_some() {
                    return;
                }
            }
            self.next_grant_at =
                self.pacer.map(|pacer| pacer.next_allowed_at()).filter(|&next| next > now);
            if self.next_grant_at.is_some() {
                return;
            }
            let charge = self.queue.charge(&queue_key, &chosen_key);
            let Some(waiting) = self.queue.remove(&queue_key) else {
                return;
            };
            if let Some(pacer) = &mut self.pacer {
                pacer.record_send(now);
            }
            self.held_slots += 1;
            self.late_slots += usize::from(is_late);
            self.held_tokens += waiting.tokens;
            self.prefix_cache.insert(&waiting.prefix);
            self.tier_shares.grant(waiting.rank, waiting.work);
            self.suspects.add_grant(waiting.id);
            let expires_at = now + self.capacity.grant_lifetime;
            let is_rate_limited = self.pacer.is_some();
            let (tokens, work) = (waiting.tokens, waiting.work);
            let usage = Usage { tokens, work, is_rate_limited, is_late, charge };
            self.active.insert(waiting.id, Stage::Granted { expires_at, usage });
            self.grant_expiries.insert(GrantExpiry { at: expires_at, id: waiting.id });
            let grant = Grant { life: self.capacity.grant_lifetime, load: self.load() };
            effects.push(Effect::Grant { id: waiting.id, grant });
        }
    }

    /// Returns the reservation to grant next: the first in the queue, unless tiers have a guaranteed
    /// share (`Policy::min_tier_share`) and the first tier below its share comes later in the queue. A guaranteed
    /// share brings no late reservation before one that can be on time.
    fn next_to_grant(&self) -> Option<&WaitingReservation> {
        let is_below_floor = |waiting: &&WaitingReservation| {
            self.tier_shares.share_of(waiting.rank) < self.policy.min_tier_share
        };
        let first = self.queue.first()?;
        if self.policy.min_tier_share == 0.0 || self.queue.last()?.rank == first.rank {
            return Some(first);
        }
        let mut on_time = self.queue.iter().take_while(|waiting| !waiting.order.is_late);
        on_time.find(is_below_floor).or(Some(first))
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(expiry) =
            self.grant_expiries.first().copied().filter(|expiry| expiry.at <= now)
        {
            self.grant_expiries.pop_first();
            if let Some(Stage::Granted { usage, .. }) = self.active.remove(&expiry.id) {
                self.release(usage);
                self.return_rate_share(usage);
                self.queue.give_back(usage.charge);
                self.record_end(now, expiry.id, Fate::Expired);
            }
        }
        while let Some(missed) = self.queue.pop_past_latest_start(now) {
            self.active.remove(&missed.id);
            self.end_with_denial(now, missed.id, Fate::Expired, Reason::Deadline, effects);
        }
        while self.tombstones.front().is_some_and(|tombstone| tombstone.expires_at <= now) {
            if let Some(tombstone) = self.tombstones.pop_front() {
                self.final_fates.remove(&tombstone.id);
            }
        }
        if self.shed_tier.is_some_and(|shed| shed.expires_at <= now) {
            self.shed_tier = None;
        }
    }

    /// Evicts the last reservation in the queue if its tier is below that of `rank`. Returns whether
    /// one was evicted.
    fn shed_below(&mut self, now: Instant, rank: Rank, effects: &mut Vec<Effect>) -> bool {
        let has_lower_tier_waiting = self.has_lower_tier_waiting(rank);
        if has_lower_tier_waiting {
            self.evict_last(now, effects);
        }
        has_lower_tier_waiting
    }

    fn evict_last(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(last) = self.queue.pop_last() else {
            return;
        };
        self.active.remove(&last.id);
        let expires_at = now + SHED_TIER_REPORT_DURATION;
        let rank = self.shed_tier.map_or(last.rank, |shed| shed.rank.min(last.rank));
        self.shed_tier = Some(ShedTier { rank, expires_at });
        self.end_with_denial(now, last.id, Fate::Evicted, Reason::Overloaded, effects);
    }

    fn end_with_denial(
        &mut self,
        now: Instant,
        id: Id,
        fate: Fate,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        self.record_end(now, id, fate);
        effects.push(self.denial(id, reason));
    }

    fn denial(&self, id: Id, reason: Reason) -> Effect {
        let waiting = u32::try_from(self.queue.len() + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.capacity.slots).unwrap_or(u32::MAX);
        let drain_time = self.run_times.mean_run_time().saturating_mul(waiting) / slots;
        let retry_after = drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Effect::Deny { id, denial: Denial { reason, retry_after, load: self.load() } }
    }

    fn release(&mut self, usage: Usage) {
        self.held_slots -= 1;
        self.late_slots -= usize::from(usage.is_late);
        self.held_tokens -= usage.tokens;
    }

    /// Returns the time from which late reservations may be granted; `None` where they may be at any time. While the
    /// target lacks slots for requests that can be on time, the next one may arrive at any moment.
    fn late_grants_from(&self) -> Option<Instant> {
        self.on_time_waited_at.map(|at| at + LATE_GRANT_DELAY)
    }

    /// Returns whether a late reservation may be granted a slot. Late requests hold at most half of the slots, and some
    /// stay free for requests that can be on time, which would otherwise wait for the end of a late answer.
    fn has_late_slot(&self) -> bool {
        let slots = self.capacity.slots;
        let kept_free = slots.div_ceil(FREE_SLOTS_BESIDE_LATE_DIVISOR).min(slots.saturating_sub(1));
        let used = self.held_slots + self.unreserved_requests;
        used + kept_free < slots && self.late_slots < slots.div_ceil(LATE_SLOTS_DIVISOR as usize)
    }

    /// Returns an unused grant's share of the rate limit, so that another grant can use it.
    fn return_rate_share(&mut self, usage: Usage) {
        if let Some(pacer) = self.pacer.as_mut().filter(|_| usage.is_rate_limited) {
            pacer.undo_send();
        }
    }

    fn record_end(&mut self, now: Instant, id: Id, fate: Fate) {
        self.suspects.remove(id);
        self.final_fates.insert(id, fate);
        self.tombstones.push_back(Tombstone { expires_at: now + TOMBSTONE_LIFETIME, id });
    }

    fn fate(&self, id: Id) -> Fate {
        match self.active.get(&id) {
            Some(Stage::Waiting { .. }) => Fate::Waiting,
            Some(Stage::Granted { .. }) => Fate::Granted,
            Some(Stage::Running { .. }) => Fate::Started,
            None => self.final_fates.get(&id).copied().unwrap_or(Fate::Unknown),
        }
    }
}
