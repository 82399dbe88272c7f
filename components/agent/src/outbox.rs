//! Evidence of this agent. Entry processes fetch it and append it to the log.

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

/// Time after which a fetched batch that isn't confirmed is handed out again.
const BATCH_LEASE: Duration = Duration::from_secs(30);
/// Timeout of appending the remaining evidence to the log at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Batches of the agent's chain of evidence that aren't in the log yet; clones share them.
#[derive(Clone, Debug)]
pub struct Handle {
    outbox: Arc<Mutex<Outbox>>,
    /// Minimum time between sealing two batches.
    period: Duration,
    log: log::Client,
}

/// Starts the chain of evidence of this incarnation of the agent.
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
    /// Returns the buffer for new evidence records.
    pub fn buffer(&self) -> Buffer {
        self.lock().buffer()
    }

    /// Returns the batches that the calling entry process should append to the log. Seals at most one
    /// new batch per period, however often this is called.
    pub fn hand_over(&self) -> Vec<Handed> {
        let mut outbox = self.lock();
        let now = SystemTime::now();
        let age = now.duration_since(outbox.sealed()).unwrap_or_default();
        if age >= self.period {
            outbox.seal(now);
        }
        outbox.hand_over(Instant::now(), BATCH_LEASE)
    }

    /// Removes batches that are in the log.
    pub fn confirm(&self, sequences: &[Sequence]) {
        self.lock().confirm(sequences);
    }

    /// Appends the remaining evidence to the log, because entry processes won't fetch it any more.
    /// Batches that were fetched but not confirmed are appended again.
    pub async fn flush(&self) {
        let batches = self.remaining();
        match timeout(FLUSH_TIMEOUT, append::append(&self.log, &batches)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                warn!(%error, batches = batches.len(), "appending evidence failed; it is lost")
            }
            Err(_) => {
                warn!(batches = batches.len(), "appending evidence timed out; it is lost")
            }
        }
    }

    /// Seals and returns all batches that aren't confirmed.
    fn remaining(&self) -> Vec<Sealed> {
        let mut outbox = self.lock();
        outbox.seal(SystemTime::now());
        let remaining = outbox.hand_over(Instant::now() + BATCH_LEASE, BATCH_LEASE);
        remaining.into_iter().map(|handed| handed.sealed).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
