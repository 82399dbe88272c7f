//! What is ordered, reported and told of roll-outs.

use std::time::Duration;

use model::id::PoolName;
use serde::{Deserialize, Serialize};

use super::Tally;
use crate::direct::relay::{Era, Position};

/// Version of the software of a target.
pub type Version = String;

/// What an operator orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The pool.
    pub pool: PoolName,
    /// The version that its requests move to.
    pub target: Version,
    /// Time from the order within which it is to be decided.
    pub duration: Duration,
    /// Where the order stands; a later one replaces it.
    pub position: Position,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// It isn't decided.
    Running,
    /// All requests go to the ordered version.
    Completed,
    /// None does.
    RolledBack,
}

/// What the platform's service is told of a roll-out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The pool.
    pub pool: PoolName,
    /// The ordered version.
    pub target: Version,
    /// How far it is.
    pub progress: Progress,
    /// Whether a final report that stands there is of an earlier order.
    pub renews: bool,
}

/// What a process tells the others of a roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The order.
    pub order: Order,
    /// Time since it was given, as far as is known.
    pub age: Duration,
    /// How far it is, as this process holds.
    pub progress: Progress,
    /// What the platform's service is known to say.
    pub reported: Option<Progress>,
    /// The era in which it said so.
    pub era: Era,
    /// Whether the process sends nothing to old targets any more, and has nothing there.
    pub moved: bool,
    /// Answers by route: of the version before, and of the ordered one.
    pub tallies: Vec<(String, Tally, Tally)>,
}

/// Which targets of a pool a request may go to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lane {
    /// Those of the version in use.
    #[default]
    Base,
    /// Those of the version that is ordered.
    Ordered,
    /// Those that take no requests.
    Shut,
}

/// A step of a roll-out, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The pool.
    pub pool: PoolName,
    /// The ordered version.
    pub target: Version,
    /// What is done.
    pub action: Action,
    /// Time since the order.
    pub age: Duration,
    /// Dispatches of this process to the pool since, and those to the ordered version.
    pub dispatched: (u64, u64),
    /// Answers of the version before, over all processes.
    pub before: Tally,
    /// Answers of the ordered version, over all processes.
    pub after: Tally,
}

/// What is done in a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The ordered version is on trial.
    Try,
    /// It was found good: requests move to it.
    Move,
    /// All requests go to it from now on.
    Complete,
    /// It is worse than the version before.
    RollBack,
    /// It wasn't found good in time.
    GiveUp,
    /// The operator took the order back.
    Withdraw,
    /// Another process, or the platform's service, says that it is decided.
    Follow(Progress),
}
