//! Waiting reservations: highest tier first, then by deadline in one order or the other, then by arrival.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{
    id::Rank,
    reservation::{Ask, BlockHash, Id},
};

/// Place of a reservation in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    rank: Rank,
    due: Due,
    arrival: u64,
}

/// Place within a tier.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    /// The earliest deadline first.
    Earliest(Instant),
    /// The latest deadline first.
    Latest(Reverse<Instant>),
}

/// A reservation that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The reservation.
    pub id: Id,
    /// Its place.
    pub order: Order,
    /// Its tier's rank.
    pub rank: Rank,
    /// When its answer is due.
    pub deadline: Instant,
    /// When it must have started to be answered in time.
    pub latest: Instant,
    /// Tokens that it will hold.
    pub tokens: u64,
    /// Work that it will be, in the units of the pace.
    pub work: u64,
    /// Its prompt's leading blocks.
    pub prefix: Vec<BlockHash>,
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Whether the latest deadline of a tier goes first.
    newest: bool,
    waiting: BTreeMap<Order, Waiting>,
    /// The same places by the time when they become hopeless.
    latest: BTreeSet<Latest>,
    /// Work that waits, by rank; none is 0.
    work: BTreeMap<Rank, u64>,
    /// Counts reservations, so that no two have the same place.
    arrivals: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Latest {
    at: Instant,
    order: Order,
}

/// Gives an empty queue, in which the latest deadline of a tier goes first or the earliest.
pub fn open(newest: bool) -> Queue {
    Queue { newest, ..Queue::default() }
}

impl Queue {
    /// Reservations that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a reservation that is some work and takes a time to run.
    pub fn push(&mut self, now: Instant, ask: &Ask, work: u64, run: Duration) -> Order {
        self.arrivals += 1;
        let deadline = now + ask.remaining;
        let due =
            if self.newest { Due::Latest(Reverse(deadline)) } else { Due::Earliest(deadline) };
        let order = Order { rank: ask.rank, due, arrival: self.arrivals };
        let waiting = Waiting {
            id: ask.id,
            order,
            rank: ask.rank,
            deadline,
            latest: deadline - run.min(ask.remaining),
            tokens: u64::from(ask.prefill) + u64::from(ask.decode),
            work,
            prefix: ask.prefix.clone(),
        };
        self.latest.insert(Latest { at: waiting.latest, order });
        self.waiting.insert(order, waiting);
        *self.work.entry(ask.rank).or_default() += work;
        order
    }

    /// The best reservation.
    pub fn first(&self) -> Option<&Waiting> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting)
    }

    /// All reservations, best first.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// The worst reservation: the lowest tier, there the latest deadline.
    pub fn last(&self) -> Option<&Waiting> {
        self.waiting.last_key_value().map(|(_, waiting)| waiting)
    }

    /// Takes the best reservation out.
    pub fn pop(&mut self) -> Option<Waiting> {
        let order = *self.waiting.first_key_value()?.0;
        self.remove(&order)
    }

    /// Takes the worst reservation out: the lowest tier, there the latest deadline.
    pub fn pop_worst(&mut self) -> Option<Waiting> {
        let order = *self.waiting.last_key_value()?.0;
        self.remove(&order)
    }

    /// Takes out a reservation that can no longer be answered in time.
    pub fn pop_late(&mut self, now: Instant) -> Option<Waiting> {
        let latest = *self.latest.first()?;
        if latest.at > now {
            return None;
        }
        self.remove(&latest.order)
    }

    /// Takes the reservation at a place out.
    pub fn remove(&mut self, order: &Order) -> Option<Waiting> {
        let waiting = self.waiting.remove(order)?;
        self.latest.remove(&Latest { at: waiting.latest, order: *order });
        if let Some(work) = self.work.get_mut(&waiting.rank) {
            *work -= waiting.work;
        }
        Some(waiting)
    }

    /// When the next reservation becomes hopeless.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.latest.first().map(|latest| latest.at)
    }

    /// Work that waits in a tier and in those above.
    pub fn work(&self, rank: Rank) -> u64 {
        self.work.range(..=rank).map(|(_, work)| work).sum()
    }
}
