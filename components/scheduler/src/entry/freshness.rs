//! Whether the configuration here is fresh enough to decide on.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::id::{Offset, RequestId};

use super::Request;

/// Time between two events after which the process counts as having been frozen. Below the 7 s
/// within which a change has to be in force everywhere.
pub const FREEZE: Duration = Duration::from_secs(4);
/// Longest wait of a request for the configuration to be caught up with.
pub const CATCH_UP: Duration = Duration::from_secs(1);

/// A request that waits until the configuration is fresh; nothing was decided about it yet.
#[derive(Clone, Debug)]
struct Held {
    until: Instant,
    request: Request,
}

/// What is known of the configuration beyond what is applied.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Highest offset that was heard of; never falls.
    heard: Offset,
    /// Time of the last event, once the configuration was confirmed for the first time.
    last: Option<Instant>,
    /// When the process was found to have been frozen; only an answer to a question that was
    /// asked later ends the doubt.
    doubted: Option<Instant>,
    /// Requests that wait, in the order of their arrival and so of their times.
    held: VecDeque<Held>,
}

impl Freshness {
    /// Notes the time of an event; tells whether the process was frozen before it.
    pub fn pass(&mut self, now: Instant) -> bool {
        let Some(last) = self.last else {
            return false;
        };
        self.last = Some(now);
        let frozen = now.saturating_duration_since(last) > FREEZE;
        if frozen {
            self.doubted = Some(now);
        }
        frozen
    }

    /// Notes an offset that another process or the log told of.
    pub fn hear(&mut self, offset: Offset) {
        self.heard = self.heard.max(offset);
    }

    /// Takes the answer to a question for the highest offset.
    pub fn confirm(&mut self, now: Instant, asked: Instant, highest: Offset) {
        self.hear(highest);
        self.last = Some(now);
        if self.doubted.is_some_and(|doubted| asked >= doubted) {
            self.doubted = None;
        }
    }

    /// Highest offset that was heard of.
    pub fn heard(&self) -> Offset {
        self.heard
    }

    /// Whether what is applied may be decided on.
    pub fn is_fresh(&self, applied: Offset) -> bool {
        self.doubted.is_none() && self.heard <= applied
    }

    /// Keeps a request until the configuration is fresh.
    pub fn hold(&mut self, now: Instant, request: Request) {
        self.held.push_back(Held { until: now + CATCH_UP, request });
    }

    /// Requests that are held.
    pub fn waiting(&self) -> usize {
        self.held.len()
    }

    /// Gives all held requests up to the reducer.
    pub fn release(&mut self) -> Vec<Request> {
        self.held.drain(..).map(|held| held.request).collect()
    }

    /// Gives up requests that have waited long enough.
    pub fn lapse(&mut self, now: Instant) -> Vec<Request> {
        let late = self.held.partition_point(|held| held.until <= now);
        self.held.drain(..late).map(|held| held.request).collect()
    }

    /// Forgets a request whose caller went away.
    pub fn forget(&mut self, id: RequestId) {
        self.held.retain(|held| held.request.id != id);
    }

    /// When the first held request has to be given up.
    pub fn next_wake(&self) -> Option<Instant> {
        self.held.front().map(|held| held.until)
    }
}
