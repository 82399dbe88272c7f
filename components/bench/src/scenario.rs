//! What goes wrong in a run, and when.

use std::time::Duration;

use serde::Serialize;

/// From when to when something is wrong.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Begin.
    pub from: Duration,
    /// End.
    pub to: Duration,
}

/// A scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing goes wrong.
    Steady,
    /// Nothing goes wrong, and only the highest tier sends.
    Alone,
    /// Four times the load for a short time.
    Burst,
    /// The first target's steps take ten times as long.
    Straggler,
    /// The targets and the entry of the first zone are lost and come back empty.
    ZoneLoss,
    /// The log is down while one target crashes and comes back empty.
    LogOutage,
    /// One account sends ten times its share.
    Flood,
}

/// A change of the world.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Steps of a target take this many times longer.
    Slow(usize, u32),
    /// A target's host dies.
    Crash(usize),
    /// A target's host is back, with nothing kept.
    Restart(usize),
    /// An entry's host dies.
    CrashEntry(usize),
    /// An entry's host is back.
    RestartEntry(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct Timed {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

const SLOWNESS: u32 = 10;
const BURST_FACTOR: f64 = 4.0;

impl Span {
    /// Whether a time lies within.
    pub fn contains(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

impl Scenario {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::Alone => "alone",
            Scenario::Burst => "burst",
            Scenario::Straggler => "straggler",
            Scenario::ZoneLoss => "zone loss",
            Scenario::LogOutage => "log outage",
            Scenario::Flood => "flood",
        }
    }

    /// By how much the offered load is raised at a time.
    pub fn rate_factor(self, now: Duration) -> f64 {
        let burst = Span { from: Duration::from_secs(14), to: Duration::from_secs(18) };
        match self {
            Scenario::Burst if burst.contains(now) => BURST_FACTOR,
            _ => 1.0,
        }
    }

    /// When one account floods.
    pub fn flood(self) -> Option<Span> {
        let span = Span { from: Duration::from_secs(10), to: Duration::from_secs(26) };
        (self == Scenario::Flood).then_some(span)
    }

    /// All faults, where target `t` stands in zone `t % zones`.
    pub fn faults(self, targets: usize, zones: usize) -> Vec<Timed> {
        let from = Duration::from_secs(12);
        let to = Duration::from_secs(22);
        let timed = |at: Duration| move |fault| Timed { at, fault };
        let zone = || (0..targets).step_by(zones);
        match self {
            Scenario::Steady | Scenario::Alone | Scenario::Burst | Scenario::Flood => Vec::new(),
            Scenario::Straggler => vec![timed(from)(Fault::Slow(0, SLOWNESS))],
            Scenario::LogOutage => {
                vec![timed(from)(Fault::Crash(1)), timed(to)(Fault::Restart(1))]
            }
            Scenario::ZoneLoss => {
                let down = zone().map(Fault::Crash).chain([Fault::CrashEntry(0)]);
                let up = zone().map(Fault::Restart).chain([Fault::RestartEntry(0)]);
                down.map(timed(from)).chain(up.map(timed(to))).collect()
            }
        }
    }
}
