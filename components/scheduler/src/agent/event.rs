//! Events that the agent's reducer takes and effects that it gives.

use model::{
    id::{Fingerprint, Offset},
    reservation::{Ask, Denial, Fate, Grant, Id, Limit},
};

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An entry asks for room.
    Reserve(Ask),
    /// An entry sends the body for a granted reservation.
    Start(Id),
    /// An entry gives a reservation up.
    Cancel(Id),
    /// An entry asks what became of a reservation; one that hasn't started never will.
    Settle(Id),
    /// The target answered a request whole; its end follows.
    Served(Id),
    /// The connection of a run broke; its end follows, and whether the target died.
    Lost(Id),
    /// The target takes no connection any more.
    Died,
    /// The target takes connections: what broke had another cause.
    Lives,
    /// The target is done with a request, in whatever way.
    Ended(Id),
    /// A configuration offset was heard of or applied.
    Heard(Offset),
    /// The target runs so many requests at once.
    Sized(usize),
    /// Whether the target takes requests: while it takes none, no room is granted.
    Reached(bool),
    /// An entry heard of the target's rate limit.
    Limited(Limit),
    /// The target has so many requests that hold no room here.
    Unreserved(usize),
    /// The process is asked to leave.
    Drain,
    /// Time has passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Tell the entry that there is room.
    Grant {
        /// The reservation.
        id: Id,
        /// What the entry is told.
        grant: Grant,
    },
    /// Tell the entry that the reservation ended; it never starts.
    Deny {
        /// The reservation.
        id: Id,
        /// What the entry is told.
        denial: Denial,
    },
    /// Send the body to the target, now and only now.
    Dispatch(Id),
    /// Tell the entry that the body isn't sent.
    DenyStart {
        /// The reservation.
        id: Id,
        /// What became of it before.
        fate: Fate,
    },
    /// Answer a cancel or a question.
    Tell {
        /// The reservation.
        id: Id,
        /// What became of it.
        fate: Fate,
    },
    /// Record that the target died.
    Crash {
        /// Bodies that it ran and that weren't recorded before.
        running: Vec<Fingerprint>,
        /// Whether the only one of them was suspected before.
        alone: bool,
    },
    /// Record that a suspected body ran alone to its end.
    Clear(Fingerprint),
    /// Nothing waits or runs any more, and nothing will.
    Drained,
}
