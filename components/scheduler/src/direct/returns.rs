//! Order of return: a caller that is refused for want of a slot is told when there will be room for it, and goes
//! before newcomers of its tier when it returns at that time, at any entry process.
//!
//! A promise is kept by an agent (see [`promises`](crate::promises)), chosen by a hash of the request's fingerprint,
//! so that any entry process finds it and no caller has to state it. The agents space the due times, which divides the
//! promised part of the pace among the entry processes by what each of them refuses.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    hash::BuildHasher,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    id::{self, PoolName, Rank},
    promise::{Ask, Key, Promise, Redemption},
    reservation::Order,
};

use super::{
    HASHER, State,
    event::{Effect, LogEntry, Request, Ticket},
    origin::Origin,
    pending::{PendingRequest, Stage},
};

/// Part of a tier's pace that is promised to returning callers. Their answers are late by then, so that most slots
/// have to stay with newcomers, who can be on time.
const PROMISED_SHARE: f64 = 0.2;
/// Least part of the pool's pace that counts as the pace of a tier: a tier that gets no slots now gets some once the
/// burst of higher tiers is over.
const MIN_TIER_SHARE: f64 = 0.05;
/// Longest time until a caller may return, as a part of the time that it has left. Callers wait for a third of it at
/// most; the difference allows for the way to the caller.
const MAX_RETURN_SHARE: f64 = 0.32;
/// Shortest time until a caller without a promise may return, as a part of the time that it has left: the later it
/// returns, the likelier the burst is over.
const MIN_UNPROMISED_SHARE: f64 = 0.25;
/// Shortest time until a caller may return.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(100);
/// Time from a request's arrival after which the agents are asked whether the request returns, if it still waits: a
/// request that doesn't have to wait has its slot by then.
const LOOKUP_DELAY: Duration = Duration::from_millis(20);
/// Time between two checks of a request that waits for units of its account's limit.
const UNITS_PAUSE: Duration = Duration::from_millis(100);
/// Longest time before the end of a request's wait at which a promise is asked for, so that the answer is known when
/// the request is refused.
const MAX_LEAD: Duration = Duration::from_millis(150);
/// The same time as a part of the request's maximum wait.
const LEAD_SHARE: f64 = 0.25;
/// Time after its due time at which a promise lapses: callers allow a new connection one second.
const GRACE: Duration = Duration::from_millis(1_500);
/// Shortest time for which a caller waits that returns at its time: it can't be on time any more, and the slots that
/// it was promised may come later than estimated.
const MIN_DUE_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time of that wait as a part of the time that the caller has left.
const MAX_DUE_WAIT_SHARE: f64 = 0.5;
/// Longest time of that wait as a part of the time after which the caller abandons a stream without an event.
const DUE_PATIENCE_SHARE: f64 = 0.75;
/// Number of targets whose pace one agent divides. Fewer agents would be busier, more would leave gaps where few
/// callers are refused.
const TARGETS_PER_HOME: usize = 8;
/// Number of agents that are asked in turn, where the first doesn't answer.
const HOMES: usize = 2;
/// Time after which an ended request counts for half in the pace of its pool.
const PACE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Maximum age of an agent's report that counts in the work ahead: some bursts are over by then.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Maximum number of own waiting requests that are counted for an estimate.
const MAX_SAMPLE: usize = 128;

/// What an entry process knows of the pace of its pools, and the steps that are due for waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    cleared: BTreeMap<PoolName, Cleared>,
    /// Times at which the next [`Step`] of a request is due. Entries of requests that have ended are ignored.
    timers: BTreeSet<(Instant, Ticket)>,
}

/// Requests of a pool that released their slots lately; older ones count for less.
#[derive(Clone, Debug)]
struct Cleared {
    /// Time up to which the values have decayed.
    at: Instant,
    /// Number of requests by tier.
    requests: BTreeMap<u32, f64>,
    /// Sum of the times for which they held their slots, in seconds.
    held_s: f64,
}

/// A waiting request's place among returning callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Whether an agent confirmed that the caller returns at its time, so that it goes before newcomers.
    pub is_return: bool,
    /// Whether an agent knows that the caller returns without a promise or before its time, so that it goes after
    /// newcomers.
    pub is_unpromised: bool,
    /// Time at which the caller may return if it is refused; `None` unless an agent promised it.
    promised: Option<Instant>,
    step: Step,
}

/// Next step of a waiting request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Step {
    /// The agents are asked whether the request returns.
    #[default]
    LookUp,
    /// A promise is asked for, since the wait is nearly over.
    Ask,
    /// Nothing is due any more.
    Done,
}

/// What determines when there will be room for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Estimated number of waiting requests of the request's tier and of higher ones, at all entry processes.
    pub ahead: f64,
    /// Requests a second that the pool clears of these tiers.
    pub per_second: f64,
    /// Requests a second of the request's own tier that are promised to returning callers.
    pub promised_per_second: f64,
    /// Age of the oldest report of an agent that was used; `None` where the estimate rests on the requests of this
    /// process.
    pub report_age: Option<Duration>,
}

/// Outcome of the request for a promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromiseOutcome {
    /// An agent promised the time.
    Promised,
    /// The caller returned early and keeps the time that it was told first.
    Kept,
    /// All times at which the caller could return are promised to others.
    Declined,
    /// No agent answered in time.
    Unanswered,
}

impl Returns {
    /// Returns the time at which the next step is due; `None` where none is.
    pub fn next_step_at(&self) -> Option<Instant> {
        self.timers.first().map(|&(at, _)| at)
    }
}

impl Cleared {
    fn new(now: Instant) -> Cleared {
        Cleared { at: now, requests: BTreeMap::new(), held_s: 0.0 }
    }

    fn record(&mut self, now: Instant, tier: u32, held: Duration) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = 0.5_f64.powf(age / PACE_HALF_LIFE.as_secs_f64());
        self.at = now.max(self.at);
        self.held_s = self.held_s * decay + held.as_secs_f64();
        self.requests.values_mut().for_each(|count| *count *= decay);
        *self.requests.entry(tier).or_default() += 1.0;
    }

    /// Returns the requests a second that `slots` slots clear in all tiers.
    fn pace(&self, slots: u32) -> f64 {
        let count: f64 = self.requests.values().sum();
        if self.held_s > 0.0 { f64::from(slots) * count / self.held_s } else { 0.0 }
    }

    /// Returns the share of some tiers in the requests.
    fn share(&self, has_tier: impl Fn(u32) -> bool) -> f64 {
        let count: f64 = self.requests.values().sum();
        let counted = self.requests.iter().filter(|&(&tier, _)| has_tier(tier));
        let counted: f64 = counted.map(|(_, count)| count).sum();
        if count > 0.0 { counted / count } else { 0.0 }
    }
}

impl Standing {
    /// Returns what places the request's reservations among those of equal ranks.
    pub fn order(&self) -> Order {
        Order { is_return: self.is_return, is_unpromised: self.is_unpromised, ..Order::default() }
    }

    /// Returns the time until the caller may return, where the wait that an agent promised or else a part of the
    /// possible times, spread evenly over callers, is used. `spread` lies between 0 and 1.
    fn return_delay(
        &self,
        now: Instant,
        left: Duration,
        outlook: Option<Outlook>,
        spread: f64,
    ) -> Duration {
        let latest = left.mul_f64(MAX_RETURN_SHARE);
        if let Some(promised) = self.promised {
            return promised.saturating_duration_since(now).min(latest);
        }
        let cleared_in = outlook.map_or(Duration::ZERO, |outlook| outlook.cleared_in());
        let earliest = cleared_in.max(left.mul_f64(MIN_UNPROMISED_SHARE)).min(latest);
        earliest + (latest - earliest).mul_f64(spread)
    }
}

impl Outlook {
    /// Returns the time in which the pool clears the work ahead; [`Duration::MAX`] where it clears nothing.
    fn cleared_in(&self) -> Duration {
        Duration::try_from_secs_f64(self.ahead / self.per_second).unwrap_or(Duration::MAX)
    }
}

/// Returns the key of the promise to the caller of a request.
fn key(pool: &PoolName, request: &Request) -> Key {
    id::fingerprint(&[pool.as_bytes(), &request.fingerprint])
}

/// Returns the request's number between 0 and 1 that spreads callers evenly.
fn spread(request: &Request) -> f64 {
    (request.spread >> 12) as f64 / (1_u64 << 52) as f64
}

/// Returns the time at which a promise is asked for, shortly before the end of the wait.
fn ask_at(pending: &PendingRequest) -> Instant {
    let max_wait = pending.wait_deadline.saturating_duration_since(pending.arrived);
    pending.wait_deadline - MAX_LEAD.min(max_wait.mul_f64(LEAD_SHARE))
}

impl State {
    /// Returns whether callers of a pool return in an order.
    fn orders_returns(&self, pool: &PoolName) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|configuration| configuration.pool_rules(pool).orders_returns)
    }

    /// Records that a request released its slot with a whole answer.
    pub(super) fn record_cleared(
        &mut self,
        now: Instant,
        pool: &PoolName,
        tier: u32,
        held: Duration,
    ) {
        if self.orders_returns(pool) {
            let cleared = self.returns.cleared.entry(pool.clone());
            cleared.or_insert_with(|| Cleared::new(now)).record(now, tier, held);
        }
    }

    /// Schedules the first step of a request that arrived, if callers of its pool return in an order.
    pub(super) fn expect_return(&mut self, now: Instant, ticket: Ticket) {
        let pending = self.requests.get(&ticket);
        if pending.is_some_and(|pending| {
            pending.origin == Origin::NotBegun && self.orders_returns(&pending.pool)
        }) {
            self.returns.timers.insert((now + LOOKUP_DELAY, ticket));
        }
    }

    /// Takes the steps that are due.
    pub(super) fn take_return_steps(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.returns.timers.first().filter(|(at, _)| *at <= now) {
            self.returns.timers.remove(&(at, ticket));
            self.take_return_step(now, ticket, effects);
        }
    }

    /// Asks whether a waiting request returns or, near the end of its wait, for a promise.
    fn take_return_step(&mut self, now: Instant, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        match pending.stage {
            Stage::WaitingForSlot if !pending.has_begun && !pending.may_have_run => {}
            Stage::WaitingForUnits(_) => {
                self.returns.timers.insert((now + UNITS_PAUSE, ticket));
                return;
            }
            _ => return,
        }
        let key = key(&pending.pool, &pending.request);
        let (agents, homes) = self.promise_homes(&pending.pool, &key);
        if agents.is_empty() {
            return;
        }
        match pending.standing.step {
            Step::LookUp => {
                self.set_step(ticket, Step::Ask);
                self.expect_ask(ticket);
                effects.push(Effect::RedeemPromise { ticket, key, agents });
            }
            // A request that waits on for late service asks near the end of that wait.
            Step::Ask if self.late_outlook(now, ticket).is_some_and(|late| late.has_chance()) => {}
            Step::Ask => {
                self.set_step(ticket, Step::Done);
                if let Some(ask) = self.promise_ask(now, ticket, key, homes) {
                    effects.push(Effect::AskPromise { ticket, agents, ask });
                }
            }
            Step::Done => {}
        }
    }

    /// Schedules the request for a promise, shortly before the end of the wait.
    pub(super) fn expect_ask(&mut self, ticket: Ticket) {
        let pending = self.requests.get(&ticket);
        if let Some(pending) = pending.filter(|pending| pending.standing.step == Step::Ask) {
            self.returns.timers.insert((ask_at(pending), ticket));
        }
    }

    /// Returns the time at which the wait of a caller ends at the earliest that returns at its time.
    fn due_wait_end(&self, now: Instant, pending: &PendingRequest) -> Instant {
        let left = pending.deadline.saturating_duration_since(now);
        let wait = MIN_DUE_WAIT.min(left.mul_f64(MAX_DUE_WAIT_SHARE));
        let patience = self.abandoned_after(pending).map(|after| after.mul_f64(DUE_PATIENCE_SHARE));
        patience.map_or(now + wait, |patience| (now + wait).min(pending.arrived + patience))
    }

    fn set_step(&mut self, ticket: Ticket, step: Step) {
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.standing.step = step;
        }
    }

    /// Returns the promise to ask for on behalf of a request whose wait is nearly over; `None` where the pace of its
    /// pool isn't known.
    fn promise_ask(&self, now: Instant, ticket: Ticket, key: Key, homes: usize) -> Option<Ask> {
        let outlook = self.outlook(now, ticket)?;
        let pending = self.requests.get(&ticket)?;
        let wait = pending.wait_deadline.saturating_duration_since(now);
        let left = pending.deadline.saturating_duration_since(pending.wait_deadline);
        let latest = wait + left.mul_f64(MAX_RETURN_SHARE);
        let interval = homes as f64 / outlook.promised_per_second;
        Some(Ask {
            key,
            pool: pending.pool.clone(),
            rank: Rank::try_from(pending.tier).unwrap_or(Rank::MAX),
            earliest: wait + outlook.cleared_in().clamp(MIN_RETURN_DELAY, Duration::from_secs(60)),
            latest,
            interval: Duration::try_from_secs_f64(interval).ok()?,
            grace: GRACE,
        })
    }

    /// Returns the agents at which a promise is kept, in the order in which they are asked, and the number of agents
    /// that keep promises for the pool.
    fn promise_homes(&self, pool: &PoolName, key: &Key) -> (Vec<SocketAddr>, usize) {
        let mut agents = self.capacity.agents_beside(pool);
        agents.sort_by_cached_key(|agent| HASHER.hash_one((pool, agent)));
        let homes = agents.len().div_ceil(TARGETS_PER_HOME).max(HOMES).min(agents.len());
        agents.truncate(homes);
        agents.sort_by_cached_key(|agent| Reverse(HASHER.hash_one((key, agent))));
        agents.truncate(HOMES);
        (agents, homes)
    }

    /// Returns what is ahead of a waiting request and how fast its pool clears; `None` where the pace isn't known.
    fn outlook(&self, now: Instant, ticket: Ticket) -> Option<Outlook> {
        let pending = self.requests.get(&ticket)?;
        let cleared = self.returns.cleared.get(&pending.pool)?;
        let (_, slots) = self.capacity.free_and_total_slots(now, &pending.pool);
        let pace = cleared.pace(slots);
        let own = |tier: u32| tier == pending.tier;
        let at_or_above = |tier: u32| tier <= pending.tier;
        let (mut ahead, mut count, mut reservations) = (0.0, 0.0, 0.0);
        let queue = self.waiting.get(&pending.pool)?;
        for waiting in
            queue.iter().take(MAX_SAMPLE).filter_map(|key| self.requests.get(&key.ticket))
        {
            count += 1.0;
            reservations += waiting.reservations.len() as f64;
            ahead += if at_or_above(waiting.tier) { 1.0 } else { 0.0 };
        }
        let reported = self.capacity.reported_waiting(now, &pending.pool, MAX_REPORT_AGE);
        let (waiting, report_age) = match reported {
            // Each waiting request has reservations at several agents.
            Some((waiting, age)) if reservations > 0.0 => {
                (waiting * count / reservations, Some(age))
            }
            _ => (queue.len() as f64 * f64::from(self.process_index.count), None),
        };
        let share = cleared.share(own).max(MIN_TIER_SHARE);
        let outlook = Outlook {
            ahead: if count > 0.0 { waiting * ahead / count } else { 0.0 },
            per_second: pace * cleared.share(at_or_above).max(MIN_TIER_SHARE),
            promised_per_second: pace * share * PROMISED_SHARE,
            report_age,
        };
        (pace > 0.0).then_some(outlook)
    }

    /// Handles the answer of the agents to the question whether a request returns. A return makes its reservations
    /// again, since they carry its place in the queues.
    pub(super) fn handle_redemption(
        &mut self,
        now: Instant,
        ticket: Ticket,
        redemption: Option<Redemption>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        let is_waiting = matches!(pending.stage, Stage::WaitingForSlot) && !pending.has_begun;
        if redemption != Some(Redemption::Unknown) {
            effects.push(Effect::Log(LogEntry::ReturnLookedUp {
                request: pending.request.id.clone(),
                redemption,
                is_waiting,
                waited: now.saturating_duration_since(pending.arrived),
            }));
        }
        let (is_return, is_unpromised) = match redemption {
            Some(Redemption::Due) => (true, false),
            Some(Redemption::Early | Redemption::Unpromised) => (false, true),
            Some(Redemption::Unknown) | None => return,
        };
        if !is_waiting {
            return;
        }
        let due_wait_end = is_return.then(|| self.due_wait_end(now, pending));
        self.returns.timers.remove(&(ask_at(pending), ticket));
        self.dequeue(ticket);
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.standing.is_return = is_return;
            pending.standing.is_unpromised = is_unpromised;
            pending.wait_deadline =
                due_wait_end.map_or(pending.wait_deadline, |end| end.max(pending.wait_deadline));
            pending.withdraw_reservations(effects);
        }
        self.enqueue(ticket);
        self.expect_ask(ticket);
    }

    /// Handles the answer of the agents to the request for a promise; `None` where no agent answered.
    pub(super) fn handle_promise(
        &mut self,
        now: Instant,
        ticket: Ticket,
        answer: Option<Option<Promise>>,
        effects: &mut Vec<Effect>,
    ) {
        let outlook = self.outlook(now, ticket).unwrap_or_default();
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let (outcome, due) = match answer {
            Some(Some(Promise { due, is_new: true })) => (PromiseOutcome::Promised, Some(due)),
            Some(Some(Promise { due, is_new: false })) => (PromiseOutcome::Kept, Some(due)),
            Some(None) => (PromiseOutcome::Declined, None),
            None => (PromiseOutcome::Unanswered, None),
        };
        // An agent may state any time; the request's own deadline bounds it.
        let due = due.map(|due| due.min(pending.deadline.saturating_duration_since(now)));
        pending.standing.promised = due.map(|due| now + due);
        effects.push(Effect::Log(LogEntry::ReturnPromised {
            request: pending.request.id.clone(),
            tier: pending.tier,
            outcome,
            due,
            outlook,
        }));
    }

    /// Returns the time after which the caller of a request may return that is refused for want of a slot; `None`
    /// where callers of its pool don't return in an order.
    pub(super) fn return_delay(&self, now: Instant, ticket: Ticket) -> Option<Duration> {
        let pending: &PendingRequest = self.requests.get(&ticket)?;
        if !self.orders_returns(&pending.pool) {
            return None;
        }
        let left = pending.deadline.saturating_duration_since(now);
        let outlook = self.outlook(now, ticket);
        Some(pending.standing.return_delay(now, left, outlook, spread(&pending.request)))
    }
}
