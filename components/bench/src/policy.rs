//! The policies that are compared.

use rand::{Rng, rngs::SmallRng};
use serde::Serialize;

/// How a request finds its target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Push to any target.
    Random,
    /// Push to the next target.
    RoundRobin,
    /// Push to the target with the least load, by the stale report.
    LeastLoad,
    /// Push to the less loaded of two random targets, by the stale report.
    TwoChoices,
    /// Push to the home of the prefix, whatever its load.
    PrefixHash,
    /// The product's reducers, as of their first version.
    First,
    /// The product's reducers.
    Own,
}

/// Every policy, in the order of the tables.
pub const ALL: [Policy; 7] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastLoad,
    Policy::TwoChoices,
    Policy::PrefixHash,
    Policy::First,
    Policy::Own,
];

/// What a pushing entry knows when it chooses.
#[derive(Debug)]
pub struct View<'a> {
    /// Targets of the pool that are up.
    pub targets: &'a [usize],
    /// Load of every target by its last report that arrived.
    pub reports: &'a [usize],
    /// The target that the prefix hashes to first among those that are up.
    pub home: usize,
    /// Requests that this entry pushed before.
    pub turn: usize,
}

impl Policy {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastLoad => "least load",
            Policy::TwoChoices => "two choices",
            Policy::PrefixHash => "prefix hash",
            Policy::First => "first version",
            Policy::Own => "own",
        }
    }

    /// Whether requests are pushed at once to an engine's own queue.
    pub fn pushes(self) -> bool {
        !matches!(self, Policy::First | Policy::Own)
    }

    /// The target that a pushing policy chooses.
    pub fn choose(self, view: &View<'_>, random: &mut SmallRng) -> usize {
        let any = |random: &mut SmallRng| view.targets[random.random_range(0..view.targets.len())];
        let least = |a: usize, b: usize| if view.reports[b] < view.reports[a] { b } else { a };
        match self {
            Policy::Random => any(random),
            Policy::RoundRobin => view.targets[view.turn % view.targets.len()],
            Policy::LeastLoad => {
                // Ties go to a random target, as a herd on one name would be no fair baseline.
                let start = random.random_range(0..view.targets.len());
                let (before, after) = view.targets.split_at(start);
                after.iter().chain(before).copied().reduce(least).unwrap_or(view.home)
            }
            Policy::TwoChoices => least(any(random), any(random)),
            Policy::PrefixHash | Policy::First | Policy::Own => view.home,
        }
    }
}
