//! Data of rollouts that this process exchanges with the operator, its peers and the log.

use std::time::Duration;

use model::id::PoolName;
use serde::{Deserialize, Serialize};

use super::Tally;
use crate::direct::relay::{Era, Position};

/// Software version of a target, as the platform lists it.
pub type Version = String;

/// An operator's order to roll a version out to a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Pool whose requests are shifted.
    pub pool: PoolName,
    /// The ordered version: the requests are shifted to the targets that run it.
    pub version: Version,
    /// Time from the order to the deadline of the rollout.
    pub duration: Duration,
    /// Position of the order in the platform service's stream; a later order for the pool replaces it.
    pub position: Position,
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// The rollout hasn't ended yet.
    Running,
    /// The rollout succeeded: all requests go to the ordered version.
    Completed,
    /// The rollout failed: no requests go to the ordered version.
    RolledBack,
}

/// Progress of a rollout, as reported to the platform service or read from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Pool of the rollout.
    pub pool: PoolName,
    /// The ordered version.
    pub version: Version,
    /// Progress of the rollout.
    pub progress: Progress,
    /// Whether this report replaces a final report of the same version that belongs to an earlier order;
    /// always false in reports that were read.
    pub replaces_report: bool,
}

/// State of a rollout at one process, as sent to its peers in its row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerRollout {
    /// Order that the process follows.
    pub order: Order,
    /// Time since the operator gave the order: the longest that the process or a peer has measured.
    pub age: Duration,
    /// Progress as the process has decided or learnt it.
    pub progress: Progress,
    /// Progress that the platform service is known to store; `None` if unknown.
    pub reported: Option<Progress>,
    /// Era of the platform service in which `reported` was stored.
    pub era: Era,
    /// Whether the process has finished the traffic shift: it dispatches no request to targets of other
    /// versions, and has none in flight there.
    pub is_shifted: bool,
    /// Answers that the process counted, by route: of the base version, and of the ordered one. Empty after
    /// the rollout's end.
    pub tallies: Vec<(String, Tally, Tally)>,
}

/// Group of a pool's targets that a request may be dispatched to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lane {
    /// Targets of the pool's base versions.
    #[default]
    Base,
    /// Targets of the ordered version.
    Ordered,
    /// Targets of a base version from which all requests were shifted: they take no new requests, but continue
    /// the streams that their version began.
    Retiring,
    /// Targets that take no requests.
    Closed,
}

/// A step of a rollout, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Pool of the rollout.
    pub pool: PoolName,
    /// The ordered version.
    pub version: Version,
    /// Action that this process takes in the step.
    pub action: Action,
    /// Time since the operator gave the order.
    pub age: Duration,
    /// Dispatches of this process to the pool since the order: to any version, and to the ordered one.
    pub dispatch_totals: (u64, u64),
    /// Answers of the base version, over all processes.
    pub base: Tally,
    /// Answers of the ordered version, over all processes.
    pub ordered: Tally,
}

/// Action that a process takes in a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Starts the canary phase of a new order.
    StartCanary,
    /// Starts the traffic shift, since the ordered version was judged good.
    StartShift,
    /// Completes the rollout: the ordered version becomes the base version.
    Complete,
    /// Rolls back, since the ordered version was judged worse than the base version.
    RollBack,
    /// Rolls back, since the ordered version wasn't judged good before the deadline.
    TimeOut,
    /// Rolls back without a report, since the operator withdrew the order.
    Withdraw,
    /// Adopts the final progress that a peer or the platform service stated.
    AdoptDecision(Progress),
}
