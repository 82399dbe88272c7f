//! Detects that the process is overloaded, and limits how many new connections it serves.
//!
//! A load balancer may direct most new connections to one process, more than its share of a core can serve. A
//! connection that is closed before anything was read from it costs its caller least: the caller tries another
//! process at once.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Time for which a measurement of the delay counts. The smallest one counts: a host whose processor time is a
/// quota stands still until the next tenth of a second, so a single delay shows no overload.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(300);
/// Minimum number of measurements that show an overload.
const MIN_SAMPLES: usize = 5;
/// Maximum number of measurements that are kept.
const MAX_SAMPLES: usize = 64;
/// Delay of ready work above which the process is overloaded.
const MAX_DELAY: Duration = Duration::from_millis(40);
/// Time between two connections that are served in spite of the overload, so that callers without another
/// process are served too.
const OVERLOADED_INTERVAL: Duration = Duration::from_millis(50);
/// Delay by which the interval between connections grows by [`OVERLOADED_INTERVAL`].
const DELAY_STEP: Duration = Duration::from_millis(200);

/// Decides which new connections a process serves.
#[derive(Debug)]
pub struct Admission {
    /// Maximum number of connections.
    max_connections: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Last measurements: the time of each, and the delay.
    delays: VecDeque<(Instant, Duration)>,
    /// Whether the process was overloaded at the last measurement.
    is_overloaded: bool,
    /// Time at which the last connection was accepted while the process was overloaded.
    last_accepted: Option<Instant>,
    /// Number of connections that were closed unread since the overload began.
    closed: u64,
}

/// Change of the load of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The process is overloaded now, by this delay.
    Began(Duration),
    /// The overload is over; so many connections were closed unread.
    Ended(u64),
}

/// Returns the admission of a process that isn't overloaded, for at most `max_connections`.
pub fn open(max_connections: usize) -> Admission {
    Admission { max_connections, state: Mutex::default() }
}

impl Admission {
    /// Returns whether a new connection is served, where `connections` are open.
    pub fn accepts(&self, now: Instant, connections: usize) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = state.delay(now);
        if connections < self.max_connections && delay <= MAX_DELAY {
            return true;
        }
        let steps =
            1 + u32::try_from(delay.as_millis() / DELAY_STEP.as_millis()).unwrap_or(u32::MAX - 1);
        let interval = OVERLOADED_INTERVAL.saturating_mul(steps);
        let is_due = state.last_accepted.is_none_or(|at| now.duration_since(at) >= interval);
        if connections < self.max_connections && is_due {
            state.last_accepted = Some(now);
            return true;
        }
        state.closed += 1;
        false
    }

    /// Records the time for which ready work waits: that of a new connection for the traffic thread, and that of
    /// the last request for the control thread. Returns whether the process became overloaded or no longer is.
    pub fn record_delay(&self, now: Instant, delay: Duration) -> Option<Change> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.delays.push_back((now, delay));
        if state.delays.len() > MAX_SAMPLES {
            state.delays.pop_front();
        }
        let delay = state.delay(now);
        let is_overloaded = delay > MAX_DELAY;
        if std::mem::replace(&mut state.is_overloaded, is_overloaded) == is_overloaded {
            return None;
        }
        if is_overloaded {
            return Some(Change::Began(delay));
        }
        state.last_accepted = None;
        Some(Change::Ended(std::mem::take(&mut state.closed)))
    }
}

impl State {
    /// Returns the smallest delay of the measurements that still count; zero if these are too few.
    fn delay(&self, now: Instant) -> Duration {
        let counted = self
            .delays
            .iter()
            .rev()
            .take_while(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_LIFETIME);
        let (count, least) = counted
            .fold((0, Duration::MAX), |(count, least), (_, delay)| (count + 1, least.min(*delay)));
        if count < MIN_SAMPLES { Duration::ZERO } else { least }
    }
}
