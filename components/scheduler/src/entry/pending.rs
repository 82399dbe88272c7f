//! The state of an admitted request, from its arrival to its end.

use std::{collections::BTreeMap, time::Instant};

use model::{
    id::{PoolName, Rank, RequestId, TargetName},
    refusal::Reason,
    reservation::{Denial, Id},
};

use super::{
    claiming::Claim,
    event::{Owner, Request},
};

/// Progress of an admitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The request has no reservation yet and claims its idempotency key at the key's home, the
    /// agent that keeps the key.
    Claiming,
    /// The request hasn't started; it waits for a reservation to be granted.
    Waiting,
    /// The request was told to start under this reservation.
    Started(Id),
}

/// An admitted request that hasn't ended.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The request as it arrived.
    pub request: Request,
    /// Client account and tier of the request.
    pub owner: Owner,
    /// Rank of the request's tier; the lowest tier has the greatest rank.
    pub rank: Rank,
    /// Pool that serves the request.
    pub pool: PoolName,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// When an additional reservation may be made; `None` once that time has been handled.
    pub widen_at: Option<Instant>,
    /// Progress of the request.
    pub stage: Stage,
    /// State of the claim on the request's idempotency key.
    pub claim: Claim,
    /// Number of reservations made so far, which is also the attempt number of the last one.
    pub attempts: u32,
    /// Open reservations and their targets. After the start, only the one that was started.
    pub reservations: BTreeMap<Id, TargetName>,
    /// Targets that were asked, each with the time of the last reservation or denial there. They
    /// aren't asked again while they are listed.
    pub tried_targets: BTreeMap<TargetName, Instant>,
    /// Whether the request's body is suspected of crashing targets. Such a request waits at one
    /// target at a time, and nothing else may run on the target together with it.
    pub runs_alone: bool,
    /// Number of rounds in which expired denials were dropped so that their targets could be asked
    /// again.
    pub retry_rounds: u32,
    /// Denial that a refusal takes its reason and retry delay from; see [`Pending::record_denial`].
    /// `None` before the first denial.
    pub last_denial: Option<Denial>,
}

impl Pending {
    /// Returns whether the request waits for a reservation to be granted.
    pub fn is_waiting(&self) -> bool {
        self.stage == Stage::Waiting
    }

    /// Records a denial for the refusal; `None` means that the agent was unreachable, and changes
    /// nothing. A denial for lack of room isn't replaced by one for the deadline: a request that
    /// found no room may not be refused before one of a lower tier, even if other targets can't
    /// answer it in time.
    pub fn record_denial(&mut self, denial: Option<Denial>) {
        let lacked_room = self.last_denial.is_some_and(|known| known.reason == Reason::Overloaded);
        let misses_deadline = denial.is_some_and(|denial| denial.reason == Reason::Deadline);
        if !(lacked_room && misses_deadline) {
            self.last_denial = denial.or(self.last_denial);
        }
    }

    /// Returns when the request's timer is due; `None` once the request was told to start.
    pub fn next_wake(&self) -> Option<Instant> {
        match self.stage {
            Stage::Started(_) => None,
            Stage::Claiming => {
                Some(self.claim.retry_at().map_or(self.deadline, |at| at.min(self.deadline)))
            }
            Stage::Waiting => Some(self.widen_at.map_or(self.deadline, |at| at.min(self.deadline))),
        }
    }

    /// Returns the request's position in shedding order.
    pub fn shed_order(&self) -> ShedOrder {
        ShedOrder { rank: self.rank, deadline: self.deadline, request: self.request.id }
    }
}

/// Shedding order of requests that haven't started: the greatest is shed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShedOrder {
    /// Rank of the request's tier.
    pub rank: Rank,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// The request; its id decides between equal ranks and deadlines.
    pub request: RequestId,
}

/// A timer of a request that hasn't started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Timer {
    /// When the timer is due.
    pub at: Instant,
    /// The request that the timer belongs to.
    pub request: RequestId,
}
