//! Appends evidence to the platform's log: this process's own, and that of agents.

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

use crate::agents::{Agents, Fetched};

/// Longest wait for the log at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_secs(3);

/// The running appender.
pub struct Handle {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    outbox: Mutex<Outbox>,
    log: log::Client,
    agents: Arc<Agents>,
}

/// Starts the chain of this run of the process.
pub fn open(settings: &settings::Entry) -> Outbox {
    let process = Process {
        role: Role::Entry,
        name: settings.name.clone(),
        host: settings.host.clone(),
        run: Uuid::new_v4(),
    };
    outbox::open(process, SystemTime::now())
}

/// Starts to append what is recorded, once in a period.
pub fn spawn(settings: &settings::Entry, outbox: Outbox, agents: Arc<Agents>) -> Handle {
    let log = log::open(&settings.platform.log);
    let shared = Arc::new(Shared { outbox: Mutex::new(outbox), log, agents });
    let period = settings.timing.evidence;
    let task = tokio::spawn(run(Arc::clone(&shared), period));
    Handle { shared, task }
}

impl Handle {
    /// Appends the rest and ends.
    pub async fn flush(&self) {
        self.task.abort();
        if timeout(FLUSH_LIMIT, self.shared.round()).await.is_err() {
            warn!("evidence may be lost: the log didn't answer");
        }
    }
}

async fn run(shared: Arc<Shared>, period: Duration) {
    loop {
        sleep(period).await;
        shared.round().await;
    }
}

impl Shared {
    /// Appends everything that there is. What can't be appended stays where it was.
    async fn round(&self) {
        let own = self.seal();
        let fetched = self.agents.evidence().await;
        let handed = fetched.iter().flat_map(|fetched| &fetched.handed).chain(&own);
        let batches: Vec<Sealed> = handed.map(|handed| handed.sealed.clone()).collect();
        match append::append(&self.log, &batches).await {
            Ok(()) => self.confirm(&own, fetched).await,
            Err(error) => warn!(%error, batches = batches.len(), "evidence waits for the log"),
        }
    }

    fn seal(&self) -> Vec<Handed> {
        let mut outbox = self.lock();
        outbox.seal(SystemTime::now());
        // Only this process appends them, so that nobody else needs a lease.
        outbox.hand_over(Instant::now(), Duration::ZERO)
    }

    async fn confirm(&self, own: &[Handed], fetched: Vec<Fetched>) {
        let sequences: Vec<Sequence> = own.iter().map(|handed| handed.sequence).collect();
        self.lock().confirm(&sequences);
        for fetched in fetched {
            fetched.confirm().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
