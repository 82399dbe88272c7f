//! Detects that a thread is overloaded, and limits how many new connections it serves.
//!
//! A load balancer may direct most new connections to one process, more than its share of a core can serve. A
//! connection that is closed before anything was read from it costs its caller least: the caller tries another
//! process at once.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::time::sleep;

/// Time between two measurements of the delay.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Number of measurements whose smallest delay counts. A host whose processor time is a quota stands still
/// until the next tenth of a second, so a single delay shows no overload.
const SAMPLES: usize = 6;
/// Delay of ready tasks above which the thread is overloaded.
const MAX_DELAY: Duration = Duration::from_millis(40);
/// Time between two connections that are served in spite of the overload, so that callers without another
/// process are served too.
const OVERLOADED_INTERVAL: Duration = Duration::from_millis(50);
/// Delay by which the interval between connections grows by [`OVERLOADED_INTERVAL`].
const DELAY_STEP: Duration = Duration::from_millis(200);

/// Decides which new connections a thread serves.
#[derive(Debug)]
pub struct Admission {
    /// Maximum number of connections.
    max_connections: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Delays of the last measurements.
    delays: VecDeque<Duration>,
    /// Time at which the last connection was accepted while the thread was overloaded.
    last_accepted: Option<Instant>,
    /// Number of connections that were closed unread since the overload began.
    closed: u64,
}

/// Change of the load of the thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The thread is overloaded now, by this delay.
    Began(Duration),
    /// The overload is over; so many connections were closed unread.
    Ended(u64),
}

/// Returns the admission of a thread that isn't overloaded, for at most `max_connections`.
pub fn open(max_connections: usize) -> Admission {
    Admission { max_connections, state: Mutex::default() }
}

impl Admission {
    /// Returns whether a new connection is served, where `connections` are open.
    pub fn accepts(&self, now: Instant, connections: usize) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = state.delay();
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

    /// Records how late a task ran; returns whether the thread became overloaded or no longer is.
    pub fn record_delay(&self, delay: Duration) -> Option<Change> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let was_overloaded = state.delay() > MAX_DELAY;
        state.delays.push_back(delay);
        if state.delays.len() > SAMPLES {
            state.delays.pop_front();
        }
        match (was_overloaded, state.delay()) {
            (false, delay) if delay > MAX_DELAY => Some(Change::Began(delay)),
            (true, delay) if delay <= MAX_DELAY => {
                state.last_accepted = None;
                Some(Change::Ended(std::mem::take(&mut state.closed)))
            }
            _ => None,
        }
    }
}

impl State {
    /// Returns the smallest delay of the last measurements; zero before there are enough.
    fn delay(&self) -> Duration {
        if self.delays.len() < SAMPLES {
            return Duration::ZERO;
        }
        self.delays.iter().min().copied().unwrap_or_default()
    }
}

/// Measures the delay of ready tasks of the current runtime, for as long as the admission is used elsewhere.
pub async fn measure(admission: Arc<Admission>, on_change: impl Fn(Change)) {
    while Arc::strong_count(&admission) > 1 {
        let start = Instant::now();
        sleep(SAMPLE_INTERVAL).await;
        let delay = start.elapsed().saturating_sub(SAMPLE_INTERVAL);
        admission.record_delay(delay).into_iter().for_each(&on_change);
    }
}
