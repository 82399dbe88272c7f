//! A request between its arrival and its end.

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

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Its key's home is being asked; it was dispatched nowhere.
    Claiming,
    /// It was dispatched nowhere.
    Waiting,
    /// It was told to start under this reservation.
    Started(Id),
}

/// A request that hasn't ended.
#[derive(Clone, Debug)]
pub struct Pending {
    /// As it arrived.
    pub request: Request,
    /// Whose it is.
    pub owner: Owner,
    /// Rank of its tier.
    pub rank: Rank,
    /// Pool that serves it.
    pub pool: PoolName,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// When a second target is asked; `None` once that is done.
    pub widen_at: Option<Instant>,
    /// Where it is.
    pub stage: Stage,
    /// What is known of its idempotency key.
    pub claim: Claim,
    /// Reservations made so far; the last attempt's number.
    pub attempts: u32,
    /// Reservations that haven't ended, with their targets; only the started one once started.
    pub open: BTreeMap<Id, TargetName>,
    /// Targets that were asked, and when they last were or denied.
    pub tried: BTreeMap<TargetName, Instant>,
    /// Whether its body is suspected: it waits at one target at a time, and runs alone.
    pub alone: bool,
    /// Times that old denials were forgotten, to ask again.
    pub rounds: u32,
    /// Last denial, for the refusal's reason and time.
    pub denial: Option<Denial>,
}

impl Pending {
    /// Whether it was dispatched nowhere.
    pub fn is_waiting(&self) -> bool {
        self.stage == Stage::Waiting
    }

    /// Takes in a denial. Want of room counts before hopelessness: one who found no room may not
    /// be refused before a lower tier, whatever other targets say.
    pub fn note(&mut self, denial: Option<Denial>) {
        let lacked_room = self.denial.is_some_and(|known| known.reason == Reason::Overloaded);
        let is_hopeless = denial.is_some_and(|denial| denial.reason == Reason::Deadline);
        if !(lacked_room && is_hopeless) {
            self.denial = denial.or(self.denial);
        }
    }

    /// When this request needs a tick.
    pub fn wake(&self) -> Option<Instant> {
        match self.stage {
            Stage::Started(_) => None,
            Stage::Claiming => {
                Some(self.claim.retry_at().map_or(self.deadline, |at| at.min(self.deadline)))
            }
            Stage::Waiting => Some(self.widen_at.map_or(self.deadline, |at| at.min(self.deadline))),
        }
    }

    /// Place among waiting requests: the last is shed first.
    pub fn order(&self) -> Order {
        Order { rank: self.rank, deadline: self.deadline, request: self.request.id }
    }
}

/// Order of shedding: the greatest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Rank of the tier.
    pub rank: Rank,
    /// When the answer is due.
    pub deadline: Instant,
    /// Breaks ties.
    pub request: RequestId,
}

/// A time at which a request needs attention.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Timer {
    /// When.
    pub at: Instant,
    /// Which request.
    pub request: RequestId,
}
