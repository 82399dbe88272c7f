//! Follows the configuration: restores the newest snapshot, then reads records from the log or from
//! an agent that relays them, and asks agents for a snapshot while the log is unavailable. Also
//! reports this process's applied offset to the agents that keep such reports, and appends
//! snapshots to the log.

mod archive;
mod peer;
mod read;
pub mod relay;
pub mod report;
pub mod writer;

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use model::id::Offset;
use scheduler::config::Snapshot;
use source::log;
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
};

pub use peer::{Gathered, gather};

/// An update from the follower, passed to the sink.
#[derive(Clone, Debug)]
pub enum Update {
    /// A snapshot of the configuration that is ahead of all earlier updates.
    Restored(Box<Snapshot>),
    /// The next configuration records, in order and without a gap.
    Records(Vec<log::Record>),
    /// The log or another process reported the highest offset that it knows.
    Confirmed {
        /// When the log or the process was asked.
        asked: Instant,
        /// The highest offset that was reported.
        highest: Offset,
    },
    /// All updates that are available now were passed to the sink.
    CaughtUp,
    /// A read or a report failed, so nothing is new; shows that the follower is still running.
    Nothing,
}

/// Callback that receives the updates, in order.
pub type Sink = Arc<dyn Fn(Update) + Send + Sync>;

/// The sources of the configuration.
#[derive(Clone)]
pub struct Source {
    /// Client of the platform's log.
    pub log: log::Client,
    /// Longest time that one read waits for a new record.
    pub poll: Duration,
    /// Chooses the agents that relay records, so that this process doesn't read the log itself.
    pub relays: relay::Choice,
    /// Control addresses of the agents that are asked for a snapshot while the log is unavailable.
    pub peers: Vec<SocketAddr>,
}

/// A handle to a running follower; dropping the handle doesn't stop the follower.
#[derive(Debug)]
pub struct Handle {
    task: JoinHandle<()>,
    waker: Waker,
}

/// Makes a follower read at once; clones wake the same follower.
#[derive(Clone, Debug)]
pub struct Waker {
    wakeup: Arc<Notify>,
    highest_reported: watch::Sender<Offset>,
}

/// Starts a follower that passes its updates to `sink`.
pub fn spawn(source: Source, sink: Sink) -> Handle {
    let waker = Waker { wakeup: Arc::new(Notify::new()), highest_reported: watch::Sender::new(0) };
    let task = tokio::spawn(read::run(source, waker.clone(), sink));
    Handle { task, waker }
}

impl Handle {
    /// Returns a waker of this follower.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Stops the follower.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Waker {
    /// Makes the follower read at once, up to an offset that another process reported.
    pub fn catch_up(&self, reported: Offset) {
        self.highest_reported.send_modify(|highest| *highest = reported.max(*highest));
        self.wakeup.notify_one();
    }

    fn highest_reported(&self) -> Offset {
        *self.highest_reported.borrow()
    }

    async fn woken(&self) {
        self.wakeup.notified().await;
    }
}
