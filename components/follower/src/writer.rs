//! Appends configuration snapshots to the log, well before its records expire.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use model::{id::Offset, snapshot};
use scheduler::config::Snapshot;
use source::{SNAPSHOTS, log};
use tokio::{task::JoinHandle, time::sleep};
use tracing::{info, warn};

use crate::archive;

/// Returns a snapshot of the configuration in force; `None` if nothing is applied yet.
pub type Take = Arc<dyn Fn() -> BoxFuture<'static, Option<Snapshot>> + Send + Sync>;

/// Times at which a process checks whether a snapshot is due.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Mean time between two checks.
    pub period: Duration,
    /// Factor of this process, from 0 to 1, that spreads the checks of processes over time: this
    /// process checks every 0.5 + `share` periods.
    pub share: f64,
}

/// Starts the task that checks periodically whether another process appended a snapshot since the
/// last check, and appends one if none did. So only a few of many processes write snapshots, and no
/// writer has to be elected.
pub fn spawn(log: log::Client, schedule: Schedule, take: Take) -> JoinHandle<()> {
    tokio::spawn(run(log, schedule, take))
}

async fn run(log: log::Client, schedule: Schedule, take: Take) {
    let mut last_next: Option<Offset> = None;
    loop {
        sleep(schedule.period.mul_f64(0.5 + schedule.share)).await;
        let next = match archive::stream_bounds(&log).await {
            Ok(bounds) => bounds.next,
            Err(error) => {
                warn!(%error, "can't check whether a snapshot is due; retrying later");
                continue;
            }
        };
        let other_process_wrote = last_next != Some(next) && next > 1;
        last_next = Some(next);
        if other_process_wrote {
            continue;
        }
        if let Some(snapshot) = take().await {
            last_next = write(&log, snapshot).await.or(last_next);
        }
    }
}

/// Appends all parts of a snapshot. Returns the offset after the last part that was appended, or
/// `None` if none was.
async fn write(log: &log::Client, snapshot: Snapshot) -> Option<Offset> {
    let as_of = snapshot.applied;
    let mut next = None;
    for part in snapshot::split(as_of, &snapshot.render()) {
        let payload = serde_json::to_string(&part).expect("a part is JSON");
        match log.append(SNAPSHOTS, &payload).await {
            Ok(offset) => next = Some(offset + 1),
            Err(error) => {
                warn!(%error, as_of, "appending a snapshot failed; another will be written");
                return next;
            }
        }
    }
    info!(as_of, "appended a snapshot of the configuration");
    next
}
