//! What a request asks of targets, and the slot that it gets.

use std::{cmp::Ordering, net::SocketAddr, time::Duration};

use model::id::{PoolName, TargetName, ZoneName};

use super::{Incarnation, Lane, TargetState};

/// A slot that a request took.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// The target.
    pub target: TargetName,
    /// Its start: the slot is gone with it.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens of its prompt, until the answer begins.
    pub unread: f64,
    /// Tokens that were to be read before the first event.
    pub(super) load: f64,
    /// Time to the first event that was expected.
    pub first: Duration,
    /// Whether the target has a version that is on trial.
    pub ordered: bool,
}

impl Slot {
    /// The part of a time to the first event that fell to each token which was read for it.
    pub fn each_token(&self, first: Duration) -> Duration {
        first.div_f64(self.load.max(1.0))
    }
}

/// What a request asks of its target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Where it goes.
    pub pool: &'a PoolName,
    /// Where this process is.
    pub zone: &'a ZoneName,
    /// Spread evenly over requests.
    pub draw: u64,
    /// Tokens of its prompt.
    pub tokens: f64,
    /// Tokens that its answer is expected to have; 0 where that isn't known.
    pub output: f64,
    /// Time that is left for the answer.
    pub left: Duration,
    /// Targets that may have run it: it goes to none of them again.
    pub tried: &'a [TargetName],
    /// Targets that rejected it: it goes to any other first.
    pub rejected: &'a [TargetName],
    /// Which targets it may go to.
    pub lane: Lane,
    /// Whether it is of the pool's lowest tier, whose requests hold their slots for longest, and so
    /// leaves slots to the others.
    pub lowest: bool,
}

impl Demand<'_> {
    pub(super) fn is_rejected(&self, state: &TargetState) -> bool {
        self.rejected.contains(&state.target.name)
    }
}

/// Compares targets by whether they rejected a request, then by their cost for it.
pub(super) fn cheaper(a: (bool, f64), b: (bool, f64)) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

/// How the targets of a pool are reached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ways {
    /// Whether some have agents, reached or not.
    pub agents: bool,
    /// Whether some take requests by what entry processes tell each other.
    pub rows: bool,
}
