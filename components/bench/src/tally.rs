//! What a run is measured by.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use model::refusal::Reason;

use crate::{arrival::Job, engine::Run, scenario::Span};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A whole answer in time.
    Good,
    /// It started and was given up at its deadline.
    Late,
    /// It was refused and came back no more.
    Refused,
    /// Its entry or target died under it.
    Lost,
}

/// Requests of one tier, by their end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ends {
    /// All of them.
    pub offered: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Given up while they ran.
    pub late: u64,
    /// Refused for good.
    pub refused: u64,
    /// Lost with a process.
    pub lost: u64,
}

/// Refusals that broke the order of tiers: a lower tier waited where a higher one was shed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Inversions {
    /// At an agent's queue.
    pub agent: u64,
    /// At an entry, for the same pool.
    pub entry: u64,
}

/// The measures of one run. All but `reducer` are the same for the same seed.
#[derive(Clone, Debug)]
pub struct Tally {
    window: Span,
    /// By rank.
    pub tiers: Vec<Ends>,
    /// By account: offered and good.
    pub accounts: Vec<Ends>,
    /// Prompt and generated tokens of answers in time.
    pub good_tokens: u64,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Tokens prefilled for answers in time that some other target of the pool held.
    pub recomputed: u64,
    /// Tokens prefilled for answers that weren't in time.
    pub late_prefill: u64,
    /// Refusals by reason, each time that a caller was refused.
    pub refusals: BTreeMap<Reason, u64>,
    /// Microseconds from an attempt's arrival at an entry to its refusal.
    pub refusal_us: Histogram<u64>,
    /// Microseconds from a request's first arrival to the end of its answer in time, by rank.
    pub answer_us: Vec<Histogram<u64>>,
    /// Broken order.
    pub inversions: Inversions,
    /// Refusals for the deadline while a lower tier waited at the entry for the same pool.
    pub hopeless_over_lower: u64,
    /// Messages between entries and agents, without bodies and answers.
    pub messages: u64,
    /// Their bytes, as postcard writes them.
    pub control_bytes: u64,
    /// Attempts that reached an entry.
    pub attempts: u64,
    /// Wall time inside the reducers.
    pub reducer: Duration,
}

/// Gives a tally that counts requests that are first sent within a window.
pub fn open(tiers: usize, accounts: usize, window: Span) -> Tally {
    Tally {
        window,
        tiers: vec![Ends::default(); tiers],
        accounts: vec![Ends::default(); accounts],
        good_tokens: 0,
        prefilled: 0,
        recomputed: 0,
        late_prefill: 0,
        refusals: BTreeMap::new(),
        refusal_us: histogram(),
        answer_us: vec![histogram(); tiers],
        inversions: Inversions::default(),
        hopeless_over_lower: 0,
        messages: 0,
        control_bytes: 0,
        attempts: 0,
        reducer: Duration::ZERO,
    }
}

fn histogram() -> Histogram<u64> {
    const DIGITS: u8 = 2;
    Histogram::new(DIGITS).expect("two digits are supported")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let microseconds = time.as_micros() as u64;
    histogram.record(microseconds).expect("the histogram grows as needed");
}

impl Tally {
    /// Counts a request's end.
    pub fn end(&mut self, job: &Job, end: End) {
        if !self.window.contains(job.at) {
            return;
        }
        self.tiers[job.rank].count(end);
        self.accounts[job.account].count(end);
        if end == End::Good {
            self.good_tokens += u64::from(job.prefill) + u64::from(job.generated);
        }
    }

    /// Counts the work of a run that ended.
    pub fn run(&mut self, job: &Job, run: &Run, end: End) {
        if !self.window.contains(job.at) {
            return;
        }
        self.prefilled += u64::from(run.prefilled);
        match end {
            End::Good => self.recomputed += u64::from(run.recomputed.min(run.prefilled)),
            _ => self.late_prefill += u64::from(run.prefilled),
        }
    }

    /// Counts one refusal.
    pub fn refusal(&mut self, job: &Job, reason: Reason, waited: Duration) {
        if self.window.contains(job.at) {
            *self.refusals.entry(reason).or_default() += 1;
            record(&mut self.refusal_us, waited);
        }
    }

    /// Counts the time of an answer in time.
    pub fn answer(&mut self, job: &Job, took: Duration) {
        if self.window.contains(job.at) {
            record(&mut self.answer_us[job.rank], took);
        }
    }

    /// Counts one message between an entry and an agent.
    pub fn message(&mut self, bytes: usize) {
        self.messages += 1;
        self.control_bytes += bytes as u64;
    }

    /// Requests of all tiers, by their end.
    pub fn total(&self) -> Ends {
        self.tiers.iter().fold(Ends::default(), |sum, tier| sum.plus(tier))
    }

    /// Adds the measures of another seed.
    pub fn add(&mut self, other: &Tally) {
        add_ends(&mut self.tiers, &other.tiers);
        add_ends(&mut self.accounts, &other.accounts);
        self.good_tokens += other.good_tokens;
        self.prefilled += other.prefilled;
        self.recomputed += other.recomputed;
        self.late_prefill += other.late_prefill;
        for (reason, count) in &other.refusals {
            *self.refusals.entry(*reason).or_default() += count;
        }
        self.refusal_us += &other.refusal_us;
        for (sum, histogram) in self.answer_us.iter_mut().zip(&other.answer_us) {
            *sum += histogram;
        }
        self.inversions.agent += other.inversions.agent;
        self.inversions.entry += other.inversions.entry;
        self.hopeless_over_lower += other.hopeless_over_lower;
        self.messages += other.messages;
        self.control_bytes += other.control_bytes;
        self.attempts += other.attempts;
        self.reducer += other.reducer;
    }

    /// Wasted tokens of prefill.
    pub fn wasted(&self) -> u64 {
        self.recomputed + self.late_prefill
    }
}

impl Ends {
    /// Share of the offered requests that had a whole answer in time.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / (self.offered as f64).max(1.0)
    }

    /// The sum of two.
    pub fn plus(self, other: &Ends) -> Ends {
        Ends {
            offered: self.offered + other.offered,
            good: self.good + other.good,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            lost: self.lost + other.lost,
        }
    }

    fn count(&mut self, end: End) {
        self.offered += 1;
        match end {
            End::Good => self.good += 1,
            End::Late => self.late += 1,
            End::Refused => self.refused += 1,
            End::Lost => self.lost += 1,
        }
    }
}

fn add_ends(sums: &mut [Ends], others: &[Ends]) {
    for (sum, other) in sums.iter_mut().zip(others) {
        *sum = sum.plus(other);
    }
}
