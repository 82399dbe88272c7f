//! Check whether the applied configuration is recent enough to decide requests by, and the requests
//! that are held until it is.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::id::{Offset, RequestId};

use super::Request;

/// Time between two events above which the process is considered to have been frozen (paused or
/// without CPU). Less than the 7 s within which a configuration change has to be in force in every
/// process.
pub const FREEZE: Duration = Duration::from_secs(4);
/// Maximum time for which a request is held until the configuration is up to date.
pub const CATCH_UP: Duration = Duration::from_secs(1);

/// A request that is held until the configuration is up to date; it is neither admitted nor refused
/// yet.
#[derive(Clone, Debug)]
struct Held {
    /// When the request is refused if it is still held.
    until: Instant,
    request: Request,
}

/// Evidence that the applied configuration is up to date or not, and the requests that are held
/// until it is. All offsets are those of the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Highest offset that any process or the log has reported; it never decreases.
    highest_known: Offset,
    /// Time of the latest event; `None` until the first reply with a highest offset.
    last_event: Option<Instant>,
    /// When a freeze of the process was detected; `None` if the configuration has been confirmed
    /// since. Only a reply to a query that was sent at this time or later counts as a confirmation.
    frozen_at: Option<Instant>,
    /// Held requests in the order of their arrival, which is also the order of `until`.
    held: VecDeque<Held>,
}

impl Freshness {
    /// Records the time of an event and returns whether the process was frozen before it. Returns
    /// `false` until the first reply with a highest offset.
    pub fn record_event_time(&mut self, now: Instant) -> bool {
        let Some(last_event) = self.last_event else {
            return false;
        };
        self.last_event = Some(now);
        let was_frozen = now.saturating_duration_since(last_event) > FREEZE;
        if was_frozen {
            self.frozen_at = Some(now);
        }
        was_frozen
    }

    /// Records an offset that another process or the log has reported.
    pub fn record_offset(&mut self, offset: Offset) {
        self.highest_known = self.highest_known.max(offset);
    }

    /// Records a reply to a query for the highest offset, sent at `asked`.
    pub fn confirm(&mut self, now: Instant, asked: Instant, highest: Offset) {
        self.record_offset(highest);
        self.last_event = Some(now);
        if self.frozen_at.is_some_and(|frozen_at| asked >= frozen_at) {
            self.frozen_at = None;
        }
    }

    /// Returns the highest offset that any process or the log has reported.
    pub fn highest_known(&self) -> Offset {
        self.highest_known
    }

    /// Returns whether requests may be decided by the configuration as of the offset `applied`.
    pub fn is_fresh(&self, applied: Offset) -> bool {
        self.frozen_at.is_none() && self.highest_known <= applied
    }

    /// Holds a request until the configuration is up to date, for at most [`CATCH_UP`].
    pub fn hold(&mut self, now: Instant, request: Request) {
        self.held.push_back(Held { until: now + CATCH_UP, request });
    }

    /// Returns the number of held requests.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Removes and returns all held requests.
    pub fn take_all(&mut self) -> Vec<Request> {
        self.held.drain(..).map(|held| held.request).collect()
    }

    /// Removes and returns the requests that have been held for [`CATCH_UP`].
    pub fn take_expired(&mut self, now: Instant) -> Vec<Request> {
        let expired = self.held.partition_point(|held| held.until <= now);
        self.held.drain(..expired).map(|held| held.request).collect()
    }

    /// Removes a held request, if it is still held, because its caller disconnected.
    pub fn remove(&mut self, id: RequestId) {
        self.held.retain(|held| held.request.id != id);
    }

    /// Returns when the first held request has to be refused; `None` if none is held.
    pub fn next_wake(&self) -> Option<Instant> {
        self.held.front().map(|held| held.until)
    }
}
