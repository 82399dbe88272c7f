//! What is known of the answers of two versions, and which of them is worse.
//!
//! Both are measured by the same yardstick at the same time, by route: what is bad of the version before
//! is what the ordered one is compared with. Two tests run on the counts of all processes. A cumulative
//! sum finds a version that is worse, also one that turns bad after many good answers. A sequential
//! probability ratio test finds one that is as good. Errors aren't equal: doubt is no proof of good.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

/// Evidence, as a log of a likelihood ratio, from which on a version counts as worse: a hundred to one.
const WORSE: f64 = 4.6;
/// Evidence from which on a version counts as good over all routes.
const GOOD: f64 = -4.6;
/// The same for each route: ten to one.
const GOOD_ROUTE: f64 = -2.3;
/// Part of the answers from which on a route has to be found good by itself.
const ROUTE_PART: f64 = 0.03;
/// Bad answers of a version that counts as worse: this part in all more than the one before has, and
/// that times as many.
const MORE: f64 = 0.12;
/// See [`MORE`].
const TIMES: f64 = 1.5;
/// Lowest part of bad answers that is assumed of the version before.
const FLOOR: f64 = 0.01;
/// Highest part of bad answers that is told from a higher one.
const CEILING: f64 = 0.9;
/// How much slower than usual a slow answer is.
const SLOW: f64 = 2.0;
/// Answers of the version before by which it is known what is usual.
const USUAL_MIN: u64 = 5;
/// Weight of the newest answer in what is usual.
const NEWEST: f64 = 0.05;
/// Events of a stream from which on its pace is measured.
const PACED: u32 = 3;

/// Answers of a version on a route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// All that could be judged.
    pub answers: u64,
    /// Those that failed or never came whole.
    pub failed: u64,
    /// Those that were slow.
    pub slow: u64,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// With a failure, or not whole.
    Failed,
    /// Whole.
    Whole {
        /// Time to the first event or the head, for each token that was read for it.
        first: Duration,
        /// Time from the first event to the last, and events after the first.
        rest: (Duration, u32),
    },
}

/// Whether a version is worse than the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// It is.
    Bad,
    /// It isn't.
    Good,
    /// That can't be said yet.
    Doubt,
}

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    before: Tally,
    after: Tally,
}

/// What the version before usually takes, as means of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    answers: u64,
    first: f64,
    paced: u64,
    pace: f64,
}

/// Answers of this process, and those of all.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    own: BTreeMap<String, Pair>,
    usual: BTreeMap<String, Usual>,
    all: BTreeMap<String, Pair>,
    /// Evidence that the ordered version is worse, by route; the empty name stands for all.
    worse: BTreeMap<String, f64>,
    /// What that was counted from.
    counted: BTreeMap<String, Tally>,
}

impl Tally {
    fn bad(&self) -> u64 {
        self.failed + self.slow
    }

    fn add(&mut self, other: &Tally) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

impl Usual {
    fn learn(&mut self, first: f64, pace: Option<f64>) {
        approach(&mut self.first, &mut self.answers, first);
        if let Some(pace) = pace {
            approach(&mut self.pace, &mut self.paced, pace);
        }
    }

    fn is_slow(&self, first: f64, pace: Option<f64>) -> bool {
        let slow = SLOW.ln();
        let paced = self.paced >= USUAL_MIN;
        first - self.first > slow || pace.is_some_and(|pace| paced && pace - self.pace > slow)
    }
}

/// Moves a mean towards a value: all count alike at first, the newest more later on.
fn approach(mean: &mut f64, count: &mut u64, value: f64) {
    *count += 1;
    let weight = NEWEST.max(1.0 / *count as f64);
    *mean += weight * (value - *mean);
}

impl Pair {
    /// Part of bad answers of the version before, and of one that counts as worse.
    fn parts(&self) -> (f64, f64) {
        let before = (self.before.bad() as f64 + 1.0) / (self.before.answers as f64 + 20.0);
        let before = before.clamp(FLOOR, CEILING / TIMES - MORE);
        (before, before * TIMES + MORE)
    }

    /// Evidence in answers that the ordered version is worse.
    fn weight(&self, bad: u64, answers: u64) -> f64 {
        let (before, worse) = self.parts();
        let good = answers.saturating_sub(bad);
        bad as f64 * (worse / before).ln() + good as f64 * ((1.0 - worse) / (1.0 - before)).ln()
    }

    fn total(&self) -> f64 {
        self.weight(self.after.bad(), self.after.answers)
    }
}

impl Evidence {
    /// Learns from an answer of the version before or of the ordered one.
    pub fn learn(&mut self, route: &str, ordered: bool, answer: Answer) {
        let usual = self.usual.entry(route.to_owned()).or_default();
        let pair = self.own.entry(route.to_owned()).or_default();
        let tally = if ordered { &mut pair.after } else { &mut pair.before };
        let Answer::Whole { first, rest: (time, events) } = answer else {
            tally.answers += 1;
            tally.failed += 1;
            return;
        };
        let first = log(first);
        let pace = (events >= PACED).then(|| log(time / events));
        if usual.answers >= USUAL_MIN {
            tally.answers += 1;
            tally.slow += u64::from(usual.is_slow(first, pace));
        }
        if !ordered {
            usual.learn(first, pace);
        }
    }

    /// What this process counted.
    pub fn own(&self) -> Vec<(String, Tally, Tally)> {
        let pairs = self.own.iter();
        pairs.map(|(route, pair)| (route.clone(), pair.before, pair.after)).collect()
    }

    /// Begins to sum up, with what this process counted.
    pub fn begin(&mut self) {
        self.all = self.own.clone();
    }

    /// Adds what another process counted.
    pub fn add(&mut self, tallies: &[(String, Tally, Tally)]) {
        for (route, before, after) in tallies {
            let pair = self.all.entry(route.clone()).or_default();
            pair.before.add(before);
            pair.after.add(after);
        }
    }

    /// Weighs what came since the last sum.
    pub fn finish(&mut self) {
        let mut sums: Vec<(String, Pair)> =
            self.all.iter().map(|(route, pair)| (route.clone(), *pair)).collect();
        sums.push((String::new(), self.sum()));
        for (route, pair) in sums {
            let counted = self.counted.entry(route.clone()).or_default();
            // A process that started again counts from nothing: its answers of before are weighed.
            let answers = pair.after.answers.saturating_sub(counted.answers);
            let bad = pair.after.bad().saturating_sub(counted.bad());
            let worse = self.worse.entry(route).or_default();
            *worse = (*worse + pair.weight(bad.min(answers), answers)).max(0.0);
            *counted = pair.after;
        }
    }

    /// Which version is worse.
    pub fn judge(&self) -> Judgement {
        if self.worse.values().any(|&worse| worse >= WORSE) {
            return Judgement::Bad;
        }
        let all = self.sum();
        let weighty =
            |pair: &&Pair| pair.before.answers as f64 > all.before.answers as f64 * ROUTE_PART;
        let routes = self.all.values().filter(weighty).all(|pair| pair.total() <= GOOD_ROUTE);
        let enough = all.before.answers >= USUAL_MIN;
        if enough && routes && all.total() <= GOOD { Judgement::Good } else { Judgement::Doubt }
    }

    /// Answers of both versions, over all routes and processes.
    pub fn totals(&self) -> (Tally, Tally) {
        let all = self.sum();
        (all.before, all.after)
    }

    fn sum(&self) -> Pair {
        let mut sum = Pair::default();
        for pair in self.all.values() {
            sum.before.add(&pair.before);
            sum.after.add(&pair.after);
        }
        sum
    }
}

fn log(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-9).ln()
}
