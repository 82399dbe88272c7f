//! Follows the configuration: the highest snapshot, then the log, and other processes in an
//! outage; tells other processes how far this one has come.

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

/// What was learnt of the configuration.
#[derive(Clone, Debug)]
pub enum Update {
    /// A snapshot that is ahead of everything given before.
    Restored(Box<Snapshot>),
    /// The next records, in order and without a gap.
    Records(Vec<log::Record>),
    /// The log or another process told the highest offset that it knows.
    Confirmed {
        /// When it was asked.
        asked: Instant,
        /// The offset.
        highest: Offset,
    },
    /// Everything that can be known now was given.
    CaughtUp,
    /// Nothing was learnt; the process runs.
    Nothing,
}

/// Takes updates, in order.
pub type Sink = Arc<dyn Fn(Update) + Send + Sync>;

/// Where the configuration comes from.
#[derive(Clone)]
pub struct Source {
    /// The platform's log.
    pub log: log::Client,
    /// Longest wait of one read for a new record.
    pub poll: Duration,
    /// Chooses agents that relay records, so that this process needn't read the log.
    pub relays: relay::Choice,
    /// Control addresses of agents that are asked for a snapshot while the log is out.
    pub peers: Vec<SocketAddr>,
}

/// A running follower; dropping it doesn't end it.
#[derive(Debug)]
pub struct Handle {
    task: JoinHandle<()>,
    wake: Waker,
}

/// Makes a follower read on at once; clones wake the same one.
#[derive(Clone, Debug)]
pub struct Waker {
    wanted: Arc<Notify>,
    heard: watch::Sender<Offset>,
}

/// Starts to follow.
pub fn spawn(source: Source, sink: Sink) -> Handle {
    let wake = Waker { wanted: Arc::new(Notify::new()), heard: watch::Sender::new(0) };
    let task = tokio::spawn(read::run(source, wake.clone(), sink));
    Handle { task, wake }
}

impl Handle {
    /// What wakes this follower.
    pub fn waker(&self) -> Waker {
        self.wake.clone()
    }

    /// Ends it.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Waker {
    /// Makes the follower read on at once, up to an offset that was heard of.
    pub fn catch_up(&self, heard: Offset) {
        self.heard.send_modify(|highest| *highest = heard.max(*highest));
        self.wanted.notify_one();
    }

    fn heard(&self) -> Offset {
        *self.heard.borrow()
    }

    async fn wanted(&self) {
        self.wanted.notified().await;
    }
}
