//! Evidence of this agent: entries fetch it and append it to the log.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use evidence::{
    Buffer, Outbox, append,
    batch::{Process, Role, Sealed, Sequence},
    outbox::{self, Handed},
};
use model::id::IncarnationId;
use source::log;
use tokio::time::timeout;
use tracing::warn;

/// Time in which an entry that fetched a batch should have it appended.
const LEASE: Duration = Duration::from_secs(30);
/// Longest wait for the log at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_secs(3);

/// The agent's end of its chain; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    outbox: Arc<Mutex<Outbox>>,
    period: Duration,
    log: log::Client,
}

/// Starts the chain of this run of the agent.
pub fn open(settings: &settings::Agent, run: IncarnationId) -> Handle {
    let process = Process {
        role: Role::Agent,
        name: settings.target.clone(),
        host: settings.host.clone(),
        run,
    };
    let outbox = Arc::new(Mutex::new(outbox::open(process, SystemTime::now())));
    let log = log::open(&settings.platform.log);
    Handle { outbox, period: settings.evidence, log }
}

impl Handle {
    /// Where records go in.
    pub fn buffer(&self) -> Buffer {
        self.lock().buffer()
    }

    /// Gives what an entry should append: at most one new batch in a period, however many ask.
    pub fn hand_over(&self) -> Vec<Handed> {
        let mut outbox = self.lock();
        let now = SystemTime::now();
        let age = now.duration_since(outbox.sealed()).unwrap_or_default();
        if age >= self.period {
            outbox.seal(now);
        }
        outbox.hand_over(Instant::now(), LEASE)
    }

    /// Forgets what is in the log.
    pub fn confirm(&self, sequences: &[Sequence]) {
        self.lock().confirm(sequences);
    }

    /// Appends the rest, because no entry will ask any more. What an entry has fetched and not
    /// confirmed is appended again.
    pub async fn flush(&self) {
        let batches = self.rest();
        match timeout(FLUSH_LIMIT, append::append(&self.log, &batches)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => warn!(%error, batches = batches.len(), "evidence is lost"),
            Err(_) => warn!(batches = batches.len(), "evidence is lost: the log didn't answer"),
        }
    }

    fn rest(&self) -> Vec<Sealed> {
        let mut outbox = self.lock();
        outbox.seal(SystemTime::now());
        let rest = outbox.hand_over(Instant::now() + LEASE, LEASE);
        rest.into_iter().map(|handed| handed.sealed).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
