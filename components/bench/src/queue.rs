//! Events of a run in the order of their times; equal times keep the order of their entry.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

/// The queue.
#[derive(Debug)]
pub struct Queue<E> {
    times: BinaryHeap<Reverse<Slot>>,
    events: BTreeMap<u64, E>,
    count: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Slot {
    at: Duration,
    number: u64,
}

/// Gives an empty queue.
pub fn open<E>() -> Queue<E> {
    Queue { times: BinaryHeap::new(), events: BTreeMap::new(), count: 0 }
}

impl<E> Queue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: Duration, event: E) {
        self.count += 1;
        self.times.push(Reverse(Slot { at, number: self.count }));
        self.events.insert(self.count, event);
    }

    /// Takes the earliest event out, with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse(slot) = self.times.pop()?;
        let event = self.events.remove(&slot.number)?;
        Some((slot.at, event))
    }
}
