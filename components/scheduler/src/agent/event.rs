//! Events that the agent's reducer accepts and effects that it returns.

use model::{
    id::{Fingerprint, Offset},
    reservation::{Ask, Denial, Fate, Grant, Id, Limit},
};

/// Input of the agent's reducer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An entry requests a reservation: a place in the queue for a slot at the target.
    Reserve(Ask),
    /// An entry starts a granted reservation by sending the request body.
    Start(Id),
    /// An entry cancels a reservation that it no longer needs.
    Cancel(Id),
    /// An entry asks for the final state of a reservation; a reservation that hasn't started is
    /// cancelled, so that the answer can't change afterwards.
    Resolve(Id),
    /// The target's answer to a request is complete; `Ended` follows.
    AnswerCompleted(Id),
    /// The connection of a running request broke; `Ended` follows, and `TargetCrashed` or
    /// `TargetStillRunning` once a new connection attempt shows whether the target crashed.
    ConnectionBroken(Id),
    /// The target no longer accepts connections: it crashed.
    TargetCrashed,
    /// The target accepts connections: the broken connections were not caused by a crash.
    TargetStillRunning,
    /// The target no longer processes a request, whether it succeeded, failed or was cancelled.
    Ended(Id),
    /// A configuration offset was received from another process or applied by this one.
    OffsetReceived(Offset),
    /// Number of requests that the target can run at the same time; 0 counts as 1.
    SlotsChanged(usize),
    /// Another target, or another incarnation of the same one, has started in the target's place.
    TargetReplaced,
    /// Whether the target accepts requests; while it doesn't, nothing is granted and all waiting and
    /// new reservations are denied.
    ReachabilityChanged(bool),
    /// An entry reports what it last received about the target's rate limit.
    RateLimitReported(Limit),
    /// A probe found this number of requests at the target, waiting ones included.
    RequestsProbed(usize),
    /// Number of requests in flight at the target that were sent without a reservation at this agent.
    UnreservedRequestsChanged(usize),
    /// The process shuts down: waiting and new reservations are denied, granted and running ones finish.
    Drain,
    /// Time has passed and nothing else has happened; due at the time returned by `next_wake`.
    Tick,
}

/// Output of the agent's reducer, which the caller carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Reply to the entry that its reservation holds a slot and may start.
    Grant {
        /// The granted reservation.
        id: Id,
        /// Lifetime of the grant, and the agent's load.
        grant: Grant,
    },
    /// Reply to the entry that its reservation ended without a grant and never starts.
    Deny {
        /// The denied reservation.
        id: Id,
        /// Reason, suggested retry delay, and the agent's load.
        denial: Denial,
    },
    /// Send the request body to the target. This effect is returned at most once per reservation and
    /// must be carried out at once or never.
    Dispatch(Id),
    /// Reply to the entry that a start is rejected and its body isn't sent.
    DenyStart {
        /// The reservation that the entry tried to start.
        id: Id,
        /// State of the reservation, which explains the rejection.
        fate: Fate,
    },
    /// Reply to a `Cancel` or `Resolve` event.
    ReplyFate {
        /// The reservation that the event was about.
        id: Id,
        /// State of the reservation after the event.
        fate: Fate,
    },
    /// Append a record that the target crashed to the log of crashes.
    Crash {
        /// Bodies that were running at the target and are in no earlier crash record of this agent.
        bodies: Vec<Fingerprint>,
        /// Whether `bodies` has one body only, and that body was already suspected.
        ran_alone: bool,
    },
    /// Append a record that a suspected body ran alone and completed without a crash.
    ClearSuspect(Fingerprint),
    /// The agent is draining and has no waiting, granted or running reservations left. Returned after
    /// every later event too.
    Drained,
}
