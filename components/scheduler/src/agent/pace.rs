//! How fast the target is, learnt from the runs that it has done.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::reservation::Id;

/// Units of work in one decode step; a step prefills about as many tokens of one prompt.
pub const STEP: u64 = 256;
/// Share of the newest run in the averages.
const WEIGHT: f64 = 1.0 / 16.0;
/// The same for the time of a unit of work, which callers' guesses of lengths make noisy.
const UNIT_WEIGHT: f64 = 1.0 / 64.0;
/// Runs that must have ended before estimates are given.
const LEARNT: u32 = 8;
/// A run that takes this many times its estimate speaks against the target before it ends.
const OVERDUE: u32 = 3;
/// Time without evidence after which half of a slowdown is no longer believed.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A run that is overdue at a time, unless it ends before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Overdue {
    at: Instant,
    since: Instant,
    id: Id,
}

/// What was learnt.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Seconds that a run takes, on average.
    run: f64,
    /// Averages of a run's time, squared, and of its time by its work: see `unit`.
    squares: f64,
    products: f64,
    /// The least that the time of a unit of work ever was, in seconds.
    best: f64,
    /// Seconds from a grant to its start, on average.
    lead: f64,
    /// Runs that ended.
    learnt: u32,
    /// When the last run ended.
    heard: Option<Instant>,
    /// One for each run of known length that hasn't ended.
    overdue: BTreeSet<Overdue>,
}

/// Gives the pace of a target of which nothing is known.
pub fn open() -> Pace {
    Pace {
        run: 0.0,
        squares: 0.0,
        products: 0.0,
        best: f64::MAX,
        lead: 0.0,
        learnt: 0,
        heard: None,
        overdue: BTreeSet::new(),
    }
}

impl Pace {
    /// A grant was started.
    pub fn start(&mut self, now: Instant, id: Id, granted: Instant, work: u64) {
        let lead = now.saturating_duration_since(granted).as_secs_f64();
        self.lead += (lead - self.lead) * WEIGHT;
        // A run that is taken to end at once says nothing of the pace by not doing so.
        if let Some(run) = self.estimate(now, work).filter(|run| !run.is_zero()) {
            self.overdue.insert(Overdue { at: now + run * OVERDUE, since: now, id });
        }
    }

    /// A run ended.
    pub fn end(&mut self, now: Instant, id: Id, since: Instant, work: u64) {
        self.overdue.retain(|overdue| overdue.id != id);
        let took = now.saturating_duration_since(since).as_secs_f64();
        let evenly = 1.0 / f64::from(self.learnt.saturating_add(1));
        let weight = if self.learnt == 0 { 1.0 } else { WEIGHT };
        self.run += (took - self.run) * weight;
        let weight = UNIT_WEIGHT.max(evenly);
        self.squares += (took * took - self.squares) * weight;
        self.products += (took * work.max(1) as f64 - self.products) * weight;
        self.learnt = self.learnt.saturating_add(1);
        if self.learnt >= LEARNT {
            self.best = self.best.min(self.unit());
        }
        self.heard = Some(now);
    }

    /// Time that some work takes once it runs; `None` while too little is known.
    pub fn estimate(&self, now: Instant, work: u64) -> Option<Duration> {
        if self.learnt < LEARNT {
            return None;
        }
        let silent = self.heard.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let halvings = silent.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let believed = self.best + (self.unit() - self.best) * 0.5_f64.powf(halvings);
        let unit = believed.max(self.unit_of_overdue(now));
        Some(Duration::from_secs_f64(unit * work as f64))
    }

    /// Average time of a decode step, of which a prompt counts as a part; `None` while too little is
    /// known.
    pub fn step(&self) -> Option<Duration> {
        let step = Duration::from_secs_f64(self.unit() * STEP as f64);
        (self.learnt >= LEARNT).then_some(step)
    }

    /// Average time that a run takes.
    pub fn run(&self) -> Duration {
        Duration::from_secs_f64(self.run)
    }

    /// Grants beyond the slots that keep a target busy while grants travel to their start.
    pub fn ahead(&self, slots: usize) -> usize {
        if self.learnt < LEARNT || slots == 1 {
            return 0;
        }
        let idle = slots as f64 * self.lead / self.run.max(self.lead).max(f64::MIN_POSITIVE);
        idle.ceil() as usize
    }

    /// Seconds for a unit of work. The time is what was measured and the work what callers expected, so the
    /// work is regressed on the time: neither short runs, whose time is their prompt's, nor a long one that
    /// was broken off weigh much.
    fn unit(&self) -> f64 {
        if self.products > 0.0 { self.squares / self.products } else { 0.0 }
    }

    /// The longest overdue run says how slow the target is now.
    fn unit_of_overdue(&self, now: Instant) -> f64 {
        let Some(overdue) = self.overdue.first().filter(|overdue| overdue.at <= now) else {
            return 0.0;
        };
        let expected = (overdue.at - overdue.since).as_secs_f64() / f64::from(OVERDUE);
        let age = now.saturating_duration_since(overdue.since).as_secs_f64();
        self.unit() * age / expected.max(f64::MIN_POSITIVE)
    }
}
