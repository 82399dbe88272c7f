//! Limits the requests that the process works on to those that it can carry out in time.
//!
//! A load balancer may direct most new connections to one process, more than its processor or its link can serve.
//! A request is in work from its connection's acceptance until the control thread has it: in this time it waits
//! for nothing but this host. The limit follows the time that requests are in work, whatever makes it long.
//!
//! At the limit the process closes its listening socket. A caller whose connection is refused tries another
//! process at once, and has sent no body over the link; a connection that is accepted only to be closed costs
//! both hosts the transfer of the body.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::Notify;

/// Excess of the median time in work over its base (see [`Base`]) above which the limit decreases.
const MAX_EXCESS: Duration = Duration::from_millis(50);
/// Excess below which the limit increases.
const SMALL_EXCESS: Duration = Duration::from_millis(25);
/// Shortest time between two decreases. A host whose processor time is a quota per tenth of a second stands still
/// for most of that time.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest base: a process that starts while it is overloaded has seen no other times yet.
const MAX_BASE: Duration = Duration::from_millis(100);
/// Half of the time for which a median counts for the base.
const BASE_PERIOD: Duration = Duration::from_secs(30);
/// Time for which the duration of a request's work counts for the median.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(500);
/// Minimum number of durations that make a median.
const MIN_SAMPLES: usize = 5;
/// Maximum number of durations that are kept.
const MAX_SAMPLES: usize = 32;
/// Time without a complete request after which an accepted connection no longer counts as work: its caller may
/// have nothing to send yet.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Limit at the start.
const INITIAL_LIMIT: f64 = 32.0;
const MIN_LIMIT: f64 = 4.0;
const MAX_LIMIT: f64 = 1_024.0;
/// Factor of the limit where the work takes too long.
const DECREASE: f64 = 0.7;
/// Part of the limit to which the work must fall before connections are accepted again.
const RESUME_SHARE: f64 = 0.5;

/// Decides whether the process accepts connections.
#[derive(Debug)]
pub struct Admission {
    /// Maximum number of connections.
    max_connections: usize,
    state: Mutex<State>,
    /// Notified each time a request's work ends.
    ended: Notify,
}

#[derive(Debug)]
struct State {
    /// Maximum number of requests in work.
    limit: f64,
    /// Start and number of each request in work.
    in_work: BTreeSet<(Instant, u64)>,
    next_number: u64,
    /// Durations of the work that ended last, with the time of each end.
    samples: VecDeque<(Instant, Duration)>,
    /// Time of the last decrease; `None` before the first.
    decreased_at: Option<Instant>,
    /// Maximum number of requests in work since the last decrease.
    peak: usize,
    base: Base,
}

/// Least median time in work of the last one to two [`BASE_PERIOD`]s: the time that callers and their links take
/// while this host isn't overloaded.
#[derive(Debug, Default)]
struct Base {
    /// Begin of the current period; `None` before the first median.
    since: Option<Instant>,
    /// Least median of the current period.
    current: Option<Duration>,
    /// Least median of the period before.
    previous: Option<Duration>,
}

/// A request in work. Dropping it ends the work without counting its duration.
#[derive(Debug)]
pub struct Work {
    admission: Arc<Admission>,
    started: Instant,
    number: u64,
}

/// Returns the admission of a process without work, for at most `max_connections`.
pub fn open(max_connections: usize) -> Arc<Admission> {
    let state = State {
        limit: INITIAL_LIMIT,
        in_work: BTreeSet::new(),
        next_number: 0,
        samples: VecDeque::new(),
        decreased_at: None,
        peak: 0,
        base: Base::default(),
    };
    Arc::new(Admission { max_connections, state: Mutex::new(state), ended: Notify::new() })
}

impl Admission {
    /// Returns whether a further connection is accepted, where `connections` are open.
    pub fn has_room(&self, now: Instant, connections: usize) -> bool {
        let mut state = self.lock();
        connections < self.max_connections && (state.working(now) as f64) < state.limit
    }

    /// Returns whether so much work ended that connections are accepted again after they were refused.
    pub fn may_resume(&self, now: Instant, connections: usize) -> bool {
        let mut state = self.lock();
        connections < self.max_connections
            && state.working(now) as f64 <= state.limit * RESUME_SHARE
    }

    /// Waits until the work of a request ends.
    pub async fn wait_for_end(&self) {
        self.ended.notified().await;
    }

    /// Starts the work on a request.
    pub fn begin(self: &Arc<Admission>, now: Instant) -> Work {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.in_work.insert((now, number));
        state.peak = state.peak.max(state.working(now));
        Work { admission: Arc::clone(self), started: now, number }
    }

    /// Returns the maximum number of requests in work, and the median of the durations of the last; `None` where
    /// there are too few.
    pub fn limit(&self, now: Instant) -> (usize, Option<Duration>) {
        let mut state = self.lock();
        (state.limit as usize, state.median(now))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Work {
    /// Returns the work on a request that begins to arrive now. A connection without a request doesn't count for
    /// the time that its caller let pass.
    pub fn receive(self, now: Instant) -> Work {
        if now.saturating_duration_since(self.started) < MAX_SILENCE {
            return self;
        }
        self.admission.begin(now)
    }

    /// Ends the work without counting its duration, for a request that waits for something else than this host's
    /// processor; returns the admission with which the work begins again.
    pub fn suspend(self) -> Arc<Admission> {
        Arc::clone(&self.admission)
    }

    /// Ends the work and adapts the limit to its duration.
    pub fn finish(self, now: Instant) {
        self.admission.lock().finish(now, self.started);
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.admission.lock().in_work.remove(&(self.started, self.number));
        self.admission.ended.notify_one();
    }
}

impl State {
    /// Returns the number of requests in work.
    fn working(&mut self, now: Instant) -> usize {
        let is_silent = |started: Instant| now.saturating_duration_since(started) >= MAX_SILENCE;
        while self.in_work.first().is_some_and(|&(started, _)| is_silent(started)) {
            self.in_work.pop_first();
        }
        self.in_work.len()
    }

    /// Returns the median duration of the work that ended last; `None` where there is too little of it.
    fn median(&mut self, now: Instant) -> Option<Duration> {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= SAMPLE_LIFETIME;
        while self.samples.front().is_some_and(|&(at, _)| is_old(at)) {
            self.samples.pop_front();
        }
        let mut durations: Vec<Duration> =
            self.samples.iter().map(|&(_, duration)| duration).collect();
        if durations.len() < MIN_SAMPLES {
            return None;
        }
        let middle = durations.len() / 2;
        Some(*durations.select_nth_unstable(middle).1)
    }

    fn finish(&mut self, now: Instant, started: Instant) {
        let duration = now.saturating_duration_since(started);
        self.samples.push_back((now, duration));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let is_limited = self.working(now) as f64 >= self.limit * RESUME_SHARE;
        // A single duration proves no overload, but a long one is no reason to increase the limit.
        let median = self.median(now);
        let base = self.base.update(now, median.unwrap_or(duration));
        let excess = median.unwrap_or(duration).saturating_sub(base);
        if median.is_some() && excess > MAX_EXCESS {
            self.decrease(now);
        } else if excess <= SMALL_EXCESS && is_limited {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        } else if excess <= SMALL_EXCESS && self.limit < INITIAL_LIMIT {
            self.limit += 1.0 / self.limit;
        }
    }

    /// Decreases the limit, once in [`DECREASE_INTERVAL`].
    fn decrease(&mut self, now: Instant) {
        if self.decreased_at.is_some_and(|at| now.saturating_duration_since(at) < DECREASE_INTERVAL)
        {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit.min(self.peak as f64) * DECREASE).max(MIN_LIMIT);
        self.peak = self.in_work.len();
    }
}

impl Base {
    /// Takes a median into account and returns the base.
    fn update(&mut self, now: Instant, median: Duration) -> Duration {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= BASE_PERIOD {
            self.since = Some(now);
            self.previous = self.current.take();
        }
        let current = self.current.map_or(median, |least| least.min(median));
        self.current = Some(current);
        self.previous.map_or(current, |least| least.min(current)).min(MAX_BASE)
    }
}
