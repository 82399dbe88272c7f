//! A request that hasn't ended.

use std::time::Instant;

use model::id::{AccountName, PoolName, TargetName};

use super::{
    event::{Request, Ticket},
    plan::Repeat,
    room::Taken,
};

/// Order in which requests of a pool are dispatched.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// The account's rank, then the route's.
    pub rank: (u32, u32),
    /// When it arrived.
    pub arrived: Instant,
    /// Its number.
    pub ticket: Ticket,
}

/// A dispatch that hasn't ended.
#[derive(Clone, Debug)]
pub struct Running {
    /// Its slot.
    pub taken: Taken,
    /// When it was dispatched.
    pub since: Instant,
}

/// Where a request is.
#[derive(Clone, Debug)]
pub enum Stage {
    /// It waits for room.
    Waiting,
    /// A target has it.
    Running(Running),
}

/// A request and what was decided about it.
#[derive(Clone, Debug)]
pub struct Pending {
    /// As it arrived.
    pub request: Request,
    /// Its route, for logs.
    pub route: String,
    /// Whose it is.
    pub account: Option<AccountName>,
    /// Where it goes.
    pub pool: PoolName,
    /// The account's rank, then the route's.
    pub rank: (u32, u32),
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is over.
    pub until: Instant,
    /// When it is refused if it still waits; at most `until`.
    pub give_up: Instant,
    /// What it took of its account's limit.
    pub units: f64,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether its answer is a stream.
    pub stream: bool,
    /// Most targets that it may be dispatched to.
    pub attempts: u32,
    /// Dispatches so far.
    pub dispatches: u32,
    /// Whether it may have run.
    pub ran: bool,
    /// Whether a part of the answer went to the caller.
    pub begun: bool,
    /// Targets that may have run it.
    pub tried: Vec<TargetName>,
    /// Where it is.
    pub stage: Stage,
}

impl Pending {
    /// Its place among those that wait.
    pub fn order(&self) -> Order {
        Order { rank: self.rank, arrived: self.arrived, ticket: self.request.ticket }
    }

    /// Whether it may be dispatched again after it may have run.
    pub fn may_repeat(&self) -> bool {
        let allowed = match self.repeat {
            Repeat::Safe => !self.begun,
            Repeat::Resume => self.stream,
            Repeat::Never => false,
        };
        allowed && self.dispatches < self.attempts
    }

    /// Tokens of its prompt; 0 where it has none.
    pub fn prompt(&self) -> f64 {
        self.request.tokens.map_or(0.0, |tokens| f64::from(tokens.prompt))
    }
}
