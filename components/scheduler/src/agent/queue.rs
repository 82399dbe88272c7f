//! Waiting reservations: highest tier first, then by deadline, then by arrival.

use std::{collections::BTreeMap, time::Instant};

use model::{
    id::Rank,
    reservation::{Ask, Id},
};

/// Place of a reservation in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    rank: Rank,
    deadline: Instant,
    arrival: u64,
}

/// A reservation that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The reservation.
    pub id: Id,
    /// Its tier's rank.
    pub rank: Rank,
    /// Tokens that it will hold.
    pub tokens: u64,
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Order, Waiting>,
    /// The same places by deadline.
    deadlines: BTreeMap<Deadline, Order>,
    /// Counts reservations, so that no two have the same place.
    arrivals: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Deadline {
    at: Instant,
    arrival: u64,
}

impl Queue {
    /// Reservations that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a reservation.
    pub fn push(&mut self, now: Instant, ask: &Ask) -> Order {
        self.arrivals += 1;
        let order = Order { rank: ask.rank, deadline: now + ask.remaining, arrival: self.arrivals };
        let tokens = u64::from(ask.prefill) + u64::from(ask.decode);
        self.waiting.insert(order, Waiting { id: ask.id, rank: ask.rank, tokens });
        self.deadlines.insert(order.by_deadline(), order);
        order
    }

    /// The best reservation.
    pub fn first(&self) -> Option<Waiting> {
        self.waiting.first_key_value().map(|(_, waiting)| *waiting)
    }

    /// The worst reservation: the lowest tier, there the latest deadline.
    pub fn last(&self) -> Option<Waiting> {
        self.waiting.last_key_value().map(|(_, waiting)| *waiting)
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

    /// Takes out a reservation whose deadline has passed.
    pub fn pop_late(&mut self, now: Instant) -> Option<Waiting> {
        let (deadline, order) = self.deadlines.first_key_value()?;
        if deadline.at > now {
            return None;
        }
        let order = *order;
        self.remove(&order)
    }

    /// Takes the reservation at a place out.
    pub fn remove(&mut self, order: &Order) -> Option<Waiting> {
        self.deadlines.remove(&order.by_deadline());
        self.waiting.remove(order)
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first_key_value().map(|(deadline, _)| deadline.at)
    }
}

impl Order {
    fn by_deadline(&self) -> Deadline {
        Deadline { at: self.deadline, arrival: self.arrival }
    }
}
