//! Appends evidence to the platform's log: that of this process and that of connected agents.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use evidence::{
    Outbox, append,
    batch::{Process, Role, Sealed, Sequence},
    outbox::{self, Handed},
};
use source::log;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use tracing::warn;
use uuid::Uuid;

use crate::agents::{Agents, FetchedBatches};

/// Timeout for appending the remaining evidence when the process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// A handle to the running appender task.
pub struct Handle {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    outbox: Mutex<Outbox>,
    log: log::Client,
    agents: Arc<Agents>,
}

/// Opens the outbox for the evidence chain of this run of the process.
pub fn open(settings: &settings::Entry) -> Outbox {
    let process = Process {
        role: Role::Entry,
        name: settings.name.clone(),
        host: settings.host.clone(),
        run: Uuid::new_v4(),
    };
    outbox::open(process, SystemTime::now())
}

/// Starts the task that appends recorded evidence once per `timing.evidence`.
pub fn spawn(settings: &settings::Entry, outbox: Outbox, agents: Arc<Agents>) -> Handle {
    let log = log::open(&settings.platform.log);
    let shared = Arc::new(Shared { outbox: Mutex::new(outbox), log, agents });
    let period = settings.timing.evidence;
    let task = tokio::spawn(run(Arc::clone(&shared), period));
    Handle { shared, task }
}

impl Handle {
    /// Stops the periodic task and appends the remaining evidence.
    pub async fn flush(&self) {
        self.task.abort();
        if timeout(FLUSH_TIMEOUT, self.shared.append_pending()).await.is_err() {
            warn!("evidence may be lost: appending the rest timed out");
        }
    }
}

async fn run(shared: Arc<Shared>, period: Duration) {
    loop {
        sleep(period).await;
        shared.append_pending().await;
    }
}

impl Shared {
    /// Appends all pending evidence. Batches that can't be appended stay in the outbox or at their
    /// agent, and the next call tries again.
    async fn append_pending(&self) {
        let own = self.seal_own();
        let fetched = self.agents.fetch_evidence().await;
        let handed_over = fetched.iter().flat_map(|fetched| &fetched.batches).chain(&own);
        let batches: Vec<Sealed> = handed_over.map(|handed| handed.sealed.clone()).collect();
        match append::append(&self.log, &batches).await {
            Ok(()) => self.confirm(&own, fetched).await,
            Err(error) => {
                warn!(
                    %error,
                    batches = batches.len(),
                    "evidence can't be appended to the log; retrying later"
                );
            }
        }
    }

    fn seal_own(&self) -> Vec<Handed> {
        let mut outbox = self.lock_outbox();
        outbox.seal(SystemTime::now());
        // Only this process appends its own batches, so that no lease is needed.
        outbox.hand_over(Instant::now(), Duration::ZERO)
    }

    async fn confirm(&self, own: &[Handed], fetched: Vec<FetchedBatches>) {
        let sequences: Vec<Sequence> = own.iter().map(|handed| handed.sequence).collect();
        self.lock_outbox().confirm(&sequences);
        for fetched in fetched {
            fetched.confirm().await;
        }
    }

    fn lock_outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
