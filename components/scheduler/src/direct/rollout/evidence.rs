//! Counts how the base and the ordered version answer, and judges whether the ordered one is worse.
//!
//! Both versions are measured by the same criteria over the same time, on each route: the fraction of bad
//! answers of the base version is the reference for the ordered one. Two sequential tests run on the sums of
//! the counts of all processes. A cumulative sum (CUSUM) detects a version that is worse, also one that turns
//! bad after many good answers. A sequential probability ratio test (SPRT) detects a version that is as good.
//! While neither test has a result, the version isn't assumed to be good.
//!
//! Both tests add up log-likelihood ratios: the natural logarithm of how much likelier the answers are from
//! a worse version than from one as good as the base.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

/// Lowest log-likelihood ratio at which a version is judged worse: odds of 100 to 1.
const BAD_LOG_RATIO: f64 = 4.6;
/// Highest log-likelihood ratio over all routes at which a version is judged good: odds of 100 to 1.
const GOOD_LOG_RATIO: f64 = -4.6;
/// Log-likelihood ratio that a version judged good must not exceed on any single route: odds of 10 to 1.
const GOOD_ROUTE_LOG_RATIO: f64 = -2.3;
/// A route is also judged on its own if it has more than this fraction of the base version's answers over all
/// routes.
const MIN_ROUTE_FRACTION: f64 = 0.03;
/// A worse version is assumed to have [`WORSE_FACTOR`] times the base version's fraction of bad answers,
/// plus this fraction of all answers.
const WORSE_MARGIN: f64 = 0.12;
/// Factor between the fractions of bad answers of the base and of a worse version; see [`WORSE_MARGIN`].
const WORSE_FACTOR: f64 = 1.5;
/// Smallest fraction of bad answers that is assumed of the base version.
const MIN_BAD_FRACTION: f64 = 0.01;
/// Upper bound of the fraction of bad answers that is assumed of a worse version: above it, the answers of
/// both versions can't be distinguished.
const MAX_BAD_FRACTION: f64 = 0.9;
/// Factor to the base version's mean time above which an answer is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Number of answers of the base version on a route from which its mean times are used.
const MIN_BASELINE_ANSWERS: u64 = 5;
/// Smallest weight of the newest answer in the mean times of the base version.
const MIN_NEWEST_WEIGHT: f64 = 0.05;
/// Minimum number of events after the first one of a stream for which the time between events is measured.
const MIN_PACED_EVENTS: u32 = 3;

/// Number of answers of a version on a route, by how they were judged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// All answers that could be judged.
    pub answers: u64,
    /// Answers that failed or didn't arrive completely.
    pub failed: u64,
    /// Complete answers that were slow.
    pub slow: u64,
}

/// Answer to a dispatch, with the measurements by which it is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The answer was a failure, or didn't arrive completely.
    Failed,
    /// The whole answer arrived.
    Complete {
        /// Time to the first event or the response head, divided by the tokens that the target read for it.
        first_per_token: Duration,
        /// Time from the first event to the last, and the number of events after the first.
        after_first: (Duration, u32),
    },
}

/// Result of comparing the ordered version with the base version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The ordered version is worse than the base version.
    Bad,
    /// The ordered version is at least as good as the base version.
    Good,
    /// There is too little evidence to judge.
    Inconclusive,
}

/// Answers of both versions on a route.
#[derive(Clone, Copy, Debug, Default)]
struct TallyPair {
    base: Tally,
    ordered: Tally,
}

/// Usual times of the base version on a route: moving averages of natural logarithms of seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    /// Number of answers that `log_first` is the average of.
    answers: u64,
    /// Average of the time to the first event for each token that was read.
    log_first: f64,
    /// Number of answers that `log_pace` is the average of.
    paced_answers: u64,
    /// Average of the time between two events of a stream.
    log_pace: f64,
}

/// Tallies of this process and of all processes for one rollout, by route, with the state of the tests.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    own: BTreeMap<String, TallyPair>,
    baselines: BTreeMap<String, Baseline>,
    /// Tallies summed over all processes.
    totals: BTreeMap<String, TallyPair>,
    /// Cumulative sums of the log-likelihood ratios of the ordered version's answers; never negative. The
    /// empty route name stands for all routes together.
    cusums: BTreeMap<String, f64>,
    /// Tallies of the ordered version that `cusums` already include.
    counted: BTreeMap<String, Tally>,
}

impl Tally {
    fn bad_answers(&self) -> u64 {
        self.failed + self.slow
    }

    fn add(&mut self, other: &Tally) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

impl Baseline {
    /// Adds an answer of the base version, by its logarithmic times; `log_pace` is `None` if the answer has
    /// too few events.
    fn add(&mut self, log_first: f64, log_pace: Option<f64>) {
        update_mean(&mut self.log_first, &mut self.answers, log_first);
        if let Some(log_pace) = log_pace {
            update_mean(&mut self.log_pace, &mut self.paced_answers, log_pace);
        }
    }

    /// Whether an answer is slow compared to the base version's average, by the time to its first event for
    /// each token read or by its pace, the time between two events. Both are logarithms.
    fn is_slow(&self, log_first: f64, log_pace: Option<f64>) -> bool {
        let log_slow = SLOW_FACTOR.ln();
        let has_pace = self.paced_answers >= MIN_BASELINE_ANSWERS;
        log_first - self.log_first > log_slow
            || log_pace.is_some_and(|log_pace| has_pace && log_pace - self.log_pace > log_slow)
    }
}

/// Adds a value to a moving average: the plain mean of the first 20 values, and an exponential moving
/// average after that.
fn update_mean(mean: &mut f64, count: &mut u64, value: f64) {
    *count += 1;
    let weight = MIN_NEWEST_WEIGHT.max(1.0 / *count as f64);
    *mean += weight * (value - *mean);
}

impl TallyPair {
    /// Returns the fractions of bad answers that the tests assume: of the base version, estimated from its
    /// tally with a prior of one bad answer in 20, and of a worse version.
    fn bad_fractions(&self) -> (f64, f64) {
        let base = (self.base.bad_answers() as f64 + 1.0) / (self.base.answers as f64 + 20.0);
        let base = base.clamp(MIN_BAD_FRACTION, MAX_BAD_FRACTION / WORSE_FACTOR - WORSE_MARGIN);
        (base, base * WORSE_FACTOR + WORSE_MARGIN)
    }

    /// Returns the log-likelihood ratio of so many bad answers of the ordered version among `answers`:
    /// positive if a worse version gives them more likely than one as good as the base.
    fn log_ratio(&self, bad: u64, answers: u64) -> f64 {
        let (base, worse) = self.bad_fractions();
        let good = answers.saturating_sub(bad);
        bad as f64 * (worse / base).ln() + good as f64 * ((1.0 - worse) / (1.0 - base)).ln()
    }

    /// Returns the log-likelihood ratio of all answers of the ordered version.
    fn total_log_ratio(&self) -> f64 {
        self.log_ratio(self.ordered.bad_answers(), self.ordered.answers)
    }
}

impl Evidence {
    /// Counts an answer of the ordered version if `is_ordered`, otherwise of a base version. Complete
    /// answers aren't judged until the route's baseline has enough answers.
    pub fn record(&mut self, route: &str, is_ordered: bool, answer: Answer) {
        let baseline = self.baselines.entry(route.to_owned()).or_default();
        let pair = self.own.entry(route.to_owned()).or_default();
        let tally = if is_ordered { &mut pair.ordered } else { &mut pair.base };
        let Answer::Complete { first_per_token: first, after_first: (time, events) } = answer
        else {
            tally.answers += 1;
            tally.failed += 1;
            return;
        };
        let log_first = log_seconds(first);
        let log_pace = (events >= MIN_PACED_EVENTS).then(|| log_seconds(time / events));
        if baseline.answers >= MIN_BASELINE_ANSWERS {
            tally.answers += 1;
            tally.slow += u64::from(baseline.is_slow(log_first, log_pace));
        }
        if !is_ordered {
            baseline.add(log_first, log_pace);
        }
    }

    /// Returns the tallies of this process by route: of the base version, and of the ordered one.
    pub fn own_tallies(&self) -> Vec<(String, Tally, Tally)> {
        let pairs = self.own.iter();
        pairs.map(|(route, pair)| (route.clone(), pair.base, pair.ordered)).collect()
    }

    /// Resets the totals to the tallies of this process, before those of the peers are added.
    pub fn reset_totals(&mut self) {
        self.totals = self.own.clone();
    }

    /// Adds the tallies of a peer to the totals.
    pub fn add_peer(&mut self, tallies: &[(String, Tally, Tally)]) {
        for (route, base, ordered) in tallies {
            let pair = self.totals.entry(route.clone()).or_default();
            pair.base.add(base);
            pair.ordered.add(ordered);
        }
    }

    /// Adds the answers that the totals gained since the last call to the cumulative sums.
    pub fn update_cusums(&mut self) {
        let mut pairs: Vec<(String, TallyPair)> =
            self.totals.iter().map(|(route, pair)| (route.clone(), *pair)).collect();
        pairs.push((String::new(), self.sum_routes()));
        for (route, pair) in pairs {
            let counted = self.counted.entry(route.clone()).or_default();
            // Totals shrink when a process restarts, since its counts begin at zero: the cumulative sum
            // already includes its earlier answers.
            let answers = pair.ordered.answers.saturating_sub(counted.answers);
            let bad = pair.ordered.bad_answers().saturating_sub(counted.bad_answers());
            let cusum = self.cusums.entry(route).or_default();
            *cusum = (*cusum + pair.log_ratio(bad.min(answers), answers)).max(0.0);
            *counted = pair.ordered;
        }
    }

    /// Judges the ordered version by the totals and the cumulative sums.
    pub fn judge(&self) -> Judgement {
        if self.cusums.values().any(|&cusum| cusum >= BAD_LOG_RATIO) {
            return Judgement::Bad;
        }
        let all = self.sum_routes();
        let is_busy = |pair: &&TallyPair| {
            pair.base.answers as f64 > all.base.answers as f64 * MIN_ROUTE_FRACTION
        };
        let are_routes_good = self
            .totals
            .values()
            .filter(is_busy)
            .all(|pair| pair.total_log_ratio() <= GOOD_ROUTE_LOG_RATIO);
        let has_baseline = all.base.answers >= MIN_BASELINE_ANSWERS;
        if has_baseline && are_routes_good && all.total_log_ratio() <= GOOD_LOG_RATIO {
            Judgement::Good
        } else {
            Judgement::Inconclusive
        }
    }

    /// Returns the answers over all routes and processes: of the base version, and of the ordered one.
    pub fn totals(&self) -> (Tally, Tally) {
        let all = self.sum_routes();
        (all.base, all.ordered)
    }

    fn sum_routes(&self) -> TallyPair {
        let mut sum = TallyPair::default();
        for pair in self.totals.values() {
            sum.base.add(&pair.base);
            sum.ordered.add(&pair.ordered);
        }
        sum
    }
}

/// Returns the natural logarithm of a time in seconds; times below a nanosecond count as one.
fn log_seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-9).ln()
}
