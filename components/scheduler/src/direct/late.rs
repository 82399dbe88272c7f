//! Late service: a request that found no slot in time for its target latency waits on, behind all requests that can
//! still be on time, as long as it can be served before its deadline.
//!
//! A wait is begun only where it is likely to end with a slot, so that a caller without a chance is told at once, and
//! it ends early enough for the caller to be told, or to come back, while it still has time.

use std::{
    collections::BTreeMap,
    f64::consts::LN_2,
    time::{Duration, Instant},
};

use model::id::PoolName;

use super::{
    State,
    event::{Effect, LateWait, LogEntry, Ticket},
    pending::{PendingRequest, QueueKey, Stage},
};
use crate::agent::LATE_SLOTS_DIVISOR;

/// Maximum number of requests of this process that wait for late service in a pool. Each keeps its body in memory and
/// is looked at every [`CHECK_PERIOD`].
const MAX_WAITING: usize = 128;
/// Share of the time that a request can wait at most before its answer would miss its deadline, for which it waits for
/// late service. The rest is left for a caller that comes back.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Share of the time until its caller abandons it for which a request waits for late service. The rest is left for the
/// time that a refusal takes to reach the caller.
const PATIENCE_SHARE: f64 = 0.75;
/// Factor on the expected time of an answer, which must be left when its request gets a slot.
const RUN_TIME_MARGIN: f64 = 2.0;
/// Time in which the starts of late requests lose half of their weight in the pace.
const PACE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time between two looks at a request that waits for late service, besides the answers of agents to its reservations.
pub const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// What decides whether a request waits for late service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Time until the caller abandons the request if no event has come; `None` where it waits until its deadline.
    pub patience: Option<Duration>,
    /// Expected time from a slot to the first event.
    pub first_event: Duration,
    /// Expected time of the answer once its request has a slot.
    pub run_time: Duration,
    /// Number of requests of this process that wait for late service in the pool before this one.
    pub ahead: usize,
    /// Number of all requests of this process that wait for late service in the pool.
    pub waiting: usize,
    /// Number of slots of the pool.
    pub slots: u32,
    /// Number of entry processes that share the pool.
    pub processes: u32,
    /// Mean time for which a request holds a slot of the pool.
    pub slot_time: Duration,
    /// Number of late requests of this process per second that recently got a slot of the pool.
    pub starts_per_second: f64,
}

/// Recent starts of this process's late requests in a pool.
#[derive(Clone, Copy, Debug)]
pub struct Starts {
    /// Number of starts, each weighted by its age at `at`.
    count: f64,
    at: Instant,
}

impl Outlook {
    /// Returns the longest time for which the request waits for late service.
    pub fn max_wait(&self) -> Duration {
        let latest_start = self.time_left.saturating_sub(self.run_time.mul_f64(RUN_TIME_MARGIN));
        let max_wait = latest_start.mul_f64(MAX_WAIT_SHARE);
        let first_event = self.first_event.mul_f64(RUN_TIME_MARGIN);
        let abandoned = self.patience.map(|patience| patience.saturating_sub(first_event));
        abandoned.map_or(max_wait, |patience| max_wait.min(patience.mul_f64(PATIENCE_SHARE)))
    }

    /// Returns the expected time until the request gets a slot, if the requests of other processes are as many as
    /// those of this one; `None` where the pool has no slots.
    pub fn expected_wait(&self) -> Option<Duration> {
        let slots = self.late_slots();
        let before = self.ahead as f64 * f64::from(self.processes);
        (slots > 0.0).then(|| self.slot_time.mul_f64(before / slots))
    }

    /// Reports whether the request has a chance to be served late.
    pub fn has_chance(&self) -> bool {
        let max_wait = self.max_wait();
        self.waiting < MAX_WAITING
            && !max_wait.is_zero()
            && self.expected_wait().is_some_and(|wait| wait <= max_wait)
            && (self.is_within_share() || self.starts_within(max_wait) > self.ahead as f64)
    }

    /// Reports whether no more requests wait for late service than this process's part of the slots that late
    /// requests may hold. So many wait whatever the pace is, or late service would never begin.
    fn is_within_share(&self) -> bool {
        let slots = self.late_slots() / f64::from(self.processes.max(1));
        (self.waiting as f64) < slots.max(1.0)
    }

    /// Returns the number of the pool's slots that late requests may hold.
    fn late_slots(&self) -> f64 {
        f64::from(self.slots) / f64::from(LATE_SLOTS_DIVISOR)
    }

    /// Returns the number of late requests that get a slot within a time at the recent pace. A pool that is short of
    /// slots has few for late requests, however fast its slots change hands.
    fn starts_within(&self, time: Duration) -> f64 {
        self.starts_per_second * time.as_secs_f64()
    }
}

impl Starts {
    /// Returns the number of starts per second.
    fn per_second(&self, now: Instant) -> f64 {
        self.weight(now) * LN_2 / PACE_HALF_LIFE.as_secs_f64()
    }

    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * (-age.div_duration_f64(PACE_HALF_LIFE)).exp2()
    }
}

/// Records the start of a late request in a pool.
fn record_start(starts: &mut BTreeMap<PoolName, Starts>, now: Instant, pool: &PoolName) {
    let known = starts.get(pool).map_or(0.0, |starts| starts.weight(now));
    starts.insert(pool.clone(), Starts { count: known + 1.0, at: now });
}

impl State {
    /// Lets a request whose wait for a slot is over wait for late service. Returns `false` where the pool's rules don't
    /// provide for that, the request already waits late, or it has no chance.
    pub(super) fn begin_late_wait(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(outlook) = self.late_outlook(now, ticket) else {
            return false;
        };
        let is_begun = outlook.has_chance();
        self.dequeue(ticket);
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let request = pending.request.id.clone();
        let wait = LateWait { request, tier: pending.tier, outlook, is_begun };
        effects.push(Effect::Log(LogEntry::LateWait(wait)));
        if is_begun {
            pending.is_late = true;
            pending.wait_deadline = now + outlook.max_wait();
            pending.next_check_at = now;
            // Reservations carry the order of the request, so new ones are made.
            pending.withdraw_reservations(effects);
        }
        self.enqueue(ticket);
        if is_begun {
            self.expect_ask(ticket);
        }
        is_begun
    }

    /// Records which late requests got a slot by these effects.
    pub(super) fn record_late_starts(&mut self, now: Instant, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Dispatch(dispatch) = effect
                && let Some(pending) = self.requests.get(&dispatch.ticket)
                && pending.is_late
                && pending.dispatches == 1
            {
                record_start(&mut self.late_starts, now, &pending.pool);
            }
        }
    }

    /// Returns the time from the arrival of a request after which its caller abandons it if no event has come; `None`
    /// where it waits until its deadline.
    pub(super) fn abandoned_after(&self, pending: &PendingRequest) -> Option<Duration> {
        let plan = self.configuration.as_ref()?;
        let route = plan.route(&pending.request.host, &pending.request.path)?;
        Some(route.abandoned_after).filter(|after| !after.is_zero())
    }

    /// Returns what decides whether a request waits for late service; `None` where its pool's rules don't provide for
    /// that, or the request doesn't wait for its first slot.
    pub(super) fn late_outlook(&self, now: Instant, ticket: Ticket) -> Option<Outlook> {
        let pending = self.requests.get(&ticket)?;
        let rules = self.configuration.as_ref()?.pool_rules(&pending.pool);
        if !rules.serves_late || !is_first_wait(pending) {
            return None;
        }
        let time_left = pending.deadline.saturating_duration_since(now);
        let demand = pending.demand(now, &pending.pool, &self.settings.zone, (&[], &[]));
        let (_, slots) = self.capacity.free_and_total_slots(now, &pending.pool);
        let late_key = QueueKey { is_late: true, ..pending.queue_key() };
        let queue = self.waiting.get(&pending.pool)?;
        let waiting = queue.iter().rev().take_while(|key| key.is_late);
        let (ahead, waiting) = waiting.fold((0, 0), |(ahead, waiting), key| {
            (ahead + usize::from(*key < late_key), waiting + 1)
        });
        let slot_time = self.slot_times.mean(&pending.pool).unwrap_or_default();
        let tier_time = self.slot_times.mean_of_tier(&pending.pool, pending.tier);
        let (first_event, token_time) = self.capacity.expected_run_time(now, &demand);
        let waited = now.saturating_duration_since(pending.arrived);
        let patience = self.abandoned_after(pending);
        Some(Outlook {
            time_left,
            patience: patience.map(|after| after.saturating_sub(waited)),
            first_event,
            run_time: tier_time.unwrap_or_default().max(token_time),
            ahead,
            waiting,
            slots,
            processes: self.process_index.count,
            slot_time,
            starts_per_second: self
                .late_starts
                .get(&pending.pool)
                .map_or(0.0, |starts| starts.per_second(now)),
        })
    }
}

/// Reports whether a request waits for its first slot and doesn't wait for late service yet.
fn is_first_wait(pending: &PendingRequest) -> bool {
    matches!(pending.stage, Stage::WaitingForSlot)
        && !pending.is_late
        && !pending.has_begun
        && !pending.may_have_run
        && !pending.origin.is_unknown()
}
