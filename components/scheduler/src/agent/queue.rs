//! Queue of waiting reservations. Those that can meet their target latency come first; of these the order is by tier
//! (highest first), then returning callers before newcomers, then by deadline (earliest or latest first, as
//! configured), then by arrival.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{
    id::Rank,
    reservation::{Ask, BlockHash, Id, Order},
};

use super::fairness::{self, Fairness};

/// Sort key of a reservation in the queue. Keys are unique, since each has its own arrival number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    is_late: bool,
    rank: Rank,
    is_newcomer: bool,
    is_unpromised: bool,
    deadline_order: DeadlineOrder,
    arrival: u64,
}

/// Sort key within a tier. One queue uses one of the variants only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum DeadlineOrder {
    /// The earliest deadline first.
    EarliestFirst(Instant),
    /// The latest deadline first.
    LatestFirst(Reverse<Instant>),
}

/// A reservation that waits for a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingReservation {
    /// Identifier of the reservation.
    pub id: Id,
    /// Sort key in the queue.
    pub queue_key: QueueKey,
    /// Rank of the reservation's tier; a lower number is a higher tier.
    pub rank: Rank,
    /// What places the reservation in the queue besides its rank.
    pub order: Order,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Latest start time at which the answer can still meet the deadline.
    pub latest_start: Instant,
    /// Tokens that the request holds while it runs: its prompt and its maximum output.
    pub tokens: u64,
    /// Estimated work of the request, in the units of `pace::DECODE_STEP_WORK`.
    pub work: u64,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<BlockHash>,
}

/// Waiting reservations in queue order.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Whether the latest deadline in a tier comes first, instead of the earliest.
    is_latest_deadline_first: bool,
    waiting: BTreeMap<QueueKey, WaitingReservation>,
    /// One entry for each waiting reservation, sorted by the latest start that can meet its deadline.
    latest_starts: BTreeSet<LatestStart>,
    /// Sum of the waiting work by rank; 0 for a rank whose reservations have all left the queue.
    work_by_rank: BTreeMap<Rank, u64>,
    /// The reservations that share the target by account.
    pub fairness: Fairness,
    /// Number of reservations added so far; makes the sort keys unique.
    arrivals: u64,
}

/// Latest start time at which a reservation can still meet its deadline; sorted by time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LatestStart {
    at: Instant,
    queue_key: QueueKey,
}

/// Returns an empty queue, in which the latest or else the earliest deadline of a tier comes first.
pub fn new(is_latest_deadline_first: bool) -> Queue {
    Queue { is_latest_deadline_first, ..Queue::default() }
}

impl Queue {
    /// Returns the number of waiting reservations.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a reservation with its estimated work and the least time that it takes to run. Returns the
    /// reservation's sort key.
    pub fn push(
        &mut self,
        now: Instant,
        ask: &Ask,
        work: u64,
        least_run_time: Duration,
    ) -> QueueKey {
        self.arrivals += 1;
        let deadline = now + ask.remaining;
        // Late reservations have lost their target latency, so that the one with the least time left goes first.
        let deadline_order = if self.is_latest_deadline_first && !ask.order.is_late {
            DeadlineOrder::LatestFirst(Reverse(deadline))
        } else {
            DeadlineOrder::EarliestFirst(deadline)
        };
        let Order { is_late, is_return, is_unpromised, .. } = ask.order;
        let queue_key = QueueKey {
            is_late,
            rank: ask.rank,
            is_newcomer: !is_return,
            is_unpromised,
            deadline_order,
            arrival: self.arrivals,
        };
        let waiting = WaitingReservation {
            id: ask.id,
            queue_key,
            rank: ask.rank,
            order: ask.order,
            deadline,
            latest_start: deadline - least_run_time.min(ask.remaining),
            tokens: u64::from(ask.prefill) + u64::from(ask.decode),
            work,
            prefix: ask.prefix.clone(),
        };
        self.latest_starts.insert(LatestStart { at: waiting.latest_start, queue_key });
        fairness::add(&mut self.fairness, &waiting);
        self.waiting.insert(queue_key, waiting);
        *self.work_by_rank.entry(ask.rank).or_default() += work;
        queue_key
    }

    /// Returns the first reservation in queue order.
    pub fn first(&self) -> Option<&WaitingReservation> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns an iterator over all reservations in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingReservation> {
        self.waiting.values()
    }

    /// Returns the last reservation in queue order, which belongs to the lowest waiting tier.
    pub fn last(&self) -> Option<&WaitingReservation> {
        self.waiting.last_key_value().map(|(_, waiting)| waiting)
    }

    /// Removes and returns the first reservation in queue order.
    pub fn pop(&mut self) -> Option<WaitingReservation> {
        let queue_key = *self.waiting.first_key_value()?.0;
        self.remove(&queue_key)
    }

    /// Removes and returns the last reservation of the lowest waiting tier: the last in queue order, or that of the
    /// account which waits for most beyond its share.
    pub fn pop_last(&mut self) -> Option<WaitingReservation> {
        let queue_key = self.last_in_turn(self.last()?).queue_key;
        self.remove(&queue_key)
    }

    /// Removes and returns a reservation that can no longer be answered before its deadline; `None` if
    /// there is none.
    pub fn pop_past_latest_start(&mut self, now: Instant) -> Option<WaitingReservation> {
        let latest_start = *self.latest_starts.first()?;
        if latest_start.at > now {
            return None;
        }
        self.remove(&latest_start.queue_key)
    }

    /// Removes and returns the reservation with this sort key; `None` if there is none.
    pub fn remove(&mut self, queue_key: &QueueKey) -> Option<WaitingReservation> {
        let waiting = self.waiting.remove(queue_key)?;
        self.latest_starts.remove(&LatestStart { at: waiting.latest_start, queue_key: *queue_key });
        if let Some(work) = self.work_by_rank.get_mut(&waiting.rank) {
            *work -= waiting.work;
        }
        fairness::remove(&mut self.fairness, &waiting);
        Some(waiting)
    }

    /// Returns the reservation with this sort key; `None` if there is none.
    pub fn get(&self, queue_key: &QueueKey) -> Option<&WaitingReservation> {
        self.waiting.get(queue_key)
    }

    /// Returns the earliest time at which a waiting reservation can no longer be answered before its
    /// deadline; `None` if the queue is empty.
    pub fn next_latest_start(&self) -> Option<Instant> {
        self.latest_starts.first().map(|latest_start| latest_start.at)
    }

    /// Returns the sum of the work that waits in a tier and in higher tiers.
    pub fn work_at_or_above(&self, rank: Rank) -> u64 {
        self.work_by_rank.range(..=rank).map(|(_, work)| work).sum()
    }
}
