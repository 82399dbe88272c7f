//! Estimates of the target's run times, based on the runs that it has completed.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::reservation::Id;

/// Units of work in one decode step. A unit is the prefill of one prompt token; in the time of one step
/// the target prefills about this many tokens of a prompt.
pub const DECODE_STEP_WORK: u64 = 256;
/// Weight of the newest sample in the moving averages of run time and start delay.
const RUN_AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of the newest run in the moving averages behind the time of a unit of work. Smaller than
/// [`RUN_AVERAGE_WEIGHT`] because the callers' guesses of answer lengths make the samples noisy.
const UNIT_TIME_AVERAGE_WEIGHT: f64 = 1.0 / 64.0;
/// Largest weight of a run in the time of a unit of work, as a multiple of the geometric mean of the run
/// times. Without a limit the longest run alone would decide, and with it a caller's wrong guess of its length.
const MAX_RUN_WEIGHT: f64 = 2.0;
/// Lower bound of a run time whose logarithm is averaged, in seconds.
const MIN_RUN_TIME_S: f64 = 1e-6;
/// Number of runs that must have ended before estimates are available.
const MIN_ENDED_RUNS: u32 = 8;
/// A run that takes more than this many times its estimated time is overdue: it raises the estimates
/// before it ends.
const OVERDUE_FACTOR: u32 = 3;
/// Time without an ended run in which the estimated slowdown, relative to the best time measured,
/// halves.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time at which a run becomes overdue unless it ends before; sorted by time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OverdueRun {
    overdue_at: Instant,
    started_at: Instant,
    id: Id,
}

/// Moving averages of measured run times, and the runs in progress.
#[derive(Clone, Debug)]
pub struct RunTimeEstimator {
    /// Average run time, in seconds.
    mean_run_time_s: f64,
    /// Average logarithm of the run time in seconds.
    mean_log_run_time: f64,
    /// Average product of a run's weight and its time, both in seconds; see `unit_time_s`.
    mean_weighted_run_time: f64,
    /// Average product of a run's weight in seconds and its estimated work; see `unit_time_s`.
    mean_weighted_work: f64,
    /// Lowest value that `unit_time_s` has had, in seconds; `f64::MAX` before the first estimate.
    best_unit_time_s: f64,
    /// Average time between a grant and its start, in seconds.
    mean_start_delay_s: f64,
    /// Number of runs that have ended.
    ended_runs: u32,
    /// When the last run ended; `None` before the first.
    last_ended_at: Option<Instant>,
    /// One entry for each run that has a non-zero estimate and hasn't ended, sorted by time.
    overdue_runs: BTreeSet<OverdueRun>,
}

/// Returns an estimator without measurements.
pub fn new() -> RunTimeEstimator {
    RunTimeEstimator {
        mean_run_time_s: 0.0,
        mean_log_run_time: 0.0,
        mean_weighted_run_time: 0.0,
        mean_weighted_work: 0.0,
        best_unit_time_s: f64::MAX,
        mean_start_delay_s: 0.0,
        ended_runs: 0,
        last_ended_at: None,
        overdue_runs: BTreeSet::new(),
    }
}

impl RunTimeEstimator {
    /// Records that a run started, with the time of its grant and its estimated work.
    pub fn start(&mut self, now: Instant, id: Id, granted_at: Instant, work: u64) {
        let start_delay_s = now.saturating_duration_since(granted_at).as_secs_f64();
        self.mean_start_delay_s += (start_delay_s - self.mean_start_delay_s) * RUN_AVERAGE_WEIGHT;
        // A run with an estimate of zero would be overdue at once, which says nothing about the target.
        if let Some(run_time) = self.estimate(now, work).filter(|time| !time.is_zero()) {
            self.overdue_runs.insert(OverdueRun {
                overdue_at: now + run_time * OVERDUE_FACTOR,
                started_at: now,
                id,
            });
        }
    }

    /// Records that a run ended, with its start time and its estimated work.
    pub fn end(&mut self, now: Instant, id: Id, started_at: Instant, work: u64) {
        self.overdue_runs.retain(|overdue| overdue.id != id);
        let run_time_s = now.saturating_duration_since(started_at).as_secs_f64();
        let equal_weight = 1.0 / f64::from(self.ended_runs.saturating_add(1));
        let weight = if self.ended_runs == 0 { 1.0 } else { RUN_AVERAGE_WEIGHT };
        self.mean_run_time_s += (run_time_s - self.mean_run_time_s) * weight;
        let weight = UNIT_TIME_AVERAGE_WEIGHT.max(equal_weight);
        self.mean_log_run_time +=
            (run_time_s.max(MIN_RUN_TIME_S).ln() - self.mean_log_run_time) * weight;
        let run_weight = run_time_s.min(MAX_RUN_WEIGHT * self.mean_log_run_time.exp());
        self.mean_weighted_run_time +=
            (run_weight * run_time_s - self.mean_weighted_run_time) * weight;
        self.mean_weighted_work +=
            (run_weight * work.max(1) as f64 - self.mean_weighted_work) * weight;
        self.ended_runs = self.ended_runs.saturating_add(1);
        if self.ended_runs >= MIN_ENDED_RUNS {
            self.best_unit_time_s = self.best_unit_time_s.min(self.unit_time_s());
        }
        self.last_ended_at = Some(now);
    }

    /// Returns the estimated run time of some work; `None` until [`MIN_ENDED_RUNS`] runs have ended.
    pub fn estimate(&self, now: Instant, work: u64) -> Option<Duration> {
        if self.ended_runs < MIN_ENDED_RUNS {
            return None;
        }
        let since_last_end =
            self.last_ended_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let halvings = since_last_end.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        let decayed_unit_time_s = self.best_unit_time_s
            + (self.unit_time_s() - self.best_unit_time_s) * 0.5_f64.powf(halvings);
        let unit_time_s = decayed_unit_time_s.max(self.unit_time_of_overdue_run_s(now));
        Some(Duration::from_secs_f64(unit_time_s * work as f64))
    }

    /// Returns the average time of one decode step, with prompt work converted to decode steps; `None`
    /// until [`MIN_ENDED_RUNS`] runs have ended.
    pub fn step_time(&self) -> Option<Duration> {
        let step_time = Duration::from_secs_f64(self.unit_time_s() * DECODE_STEP_WORK as f64);
        (self.ended_runs >= MIN_ENDED_RUNS).then_some(step_time)
    }

    /// Returns the average run time; zero before the first run has ended.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run_time_s)
    }

    /// Returns how many grants beyond the slots compensate for slots that are idle between a grant and
    /// its start; 0 until [`MIN_ENDED_RUNS`] runs have ended, and for a target with one slot.
    pub fn extra_grants(&self, slots: usize) -> usize {
        if self.ended_runs < MIN_ENDED_RUNS || slots == 1 {
            return 0;
        }
        let idle_slots = slots as f64 * self.mean_start_delay_s
            / self.mean_run_time_s.max(self.mean_start_delay_s).max(f64::MIN_POSITIVE);
        idle_slots.ceil() as usize
    }

    /// Returns the time of a unit of work, in seconds; zero before the first run has ended. The time of a
    /// run is measured while its work is the caller's estimate, so the work is regressed on the time. This
    /// gives little weight to short runs, whose time is mostly that of the prompt, and to long requests that
    /// were cancelled early. The weight of a run grows with its time up to [`MAX_RUN_WEIGHT`].
    fn unit_time_s(&self) -> f64 {
        if self.mean_weighted_work > 0.0 {
            self.mean_weighted_run_time / self.mean_weighted_work
        } else {
            0.0
        }
    }

    /// Returns a lower bound of the current time of a unit of work, in seconds, from the run that has been
    /// overdue for the longest time; zero if no run is overdue.
    fn unit_time_of_overdue_run_s(&self, now: Instant) -> f64 {
        let Some(overdue) = self.overdue_runs.first().filter(|overdue| overdue.overdue_at <= now)
        else {
            return 0.0;
        };
        let expected_s =
            (overdue.overdue_at - overdue.started_at).as_secs_f64() / f64::from(OVERDUE_FACTOR);
        let run_time_so_far_s = now.saturating_duration_since(overdue.started_at).as_secs_f64();
        self.unit_time_s() * run_time_so_far_s / expected_s.max(f64::MIN_POSITIVE)
    }
}
