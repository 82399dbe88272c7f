//! Appends snapshots to the log, well before its records expire.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use model::{id::Offset, snapshot};
use scheduler::config::Snapshot;
use source::{SNAPSHOTS, log};
use tokio::{task::JoinHandle, time::sleep};
use tracing::{info, warn};

use crate::archive;

/// Gives the configuration in force; `None` where nothing is applied yet.
pub type Take = Arc<dyn Fn() -> BoxFuture<'static, Option<Snapshot>> + Send + Sync>;

/// When a process writes snapshots.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Mean period of looking whether a snapshot is due.
    pub period: Duration,
    /// Place of this process within the period, 0 to 1, so that processes look at unlike times.
    pub share: f64,
}

/// Starts to look, once a period, whether another process wrote a snapshot since the last look;
/// writes one if none did. Of many processes a few write, and none has to be chosen.
pub fn spawn(log: log::Client, schedule: Schedule, take: Take) -> JoinHandle<()> {
    tokio::spawn(run(log, schedule, take))
}

async fn run(log: log::Client, schedule: Schedule, take: Take) {
    let mut seen: Option<Offset> = None;
    loop {
        sleep(schedule.period.mul_f64(0.5 + schedule.share)).await;
        let next = match archive::ends(&log).await {
            Ok(ends) => ends.next,
            Err(error) => {
                warn!(%error, "no snapshot can be written now");
                continue;
            }
        };
        let another_wrote = seen != Some(next) && next > 1;
        seen = Some(next);
        if another_wrote {
            continue;
        }
        if let Some(snapshot) = take().await {
            seen = write(&log, snapshot).await.or(seen);
        }
    }
}

/// Appends all parts; gives the offset after the last.
async fn write(log: &log::Client, taken: Snapshot) -> Option<Offset> {
    let as_of = taken.applied;
    let mut next = None;
    for part in snapshot::split(as_of, &taken.render()) {
        let payload = serde_json::to_string(&part).expect("a part is JSON");
        match log.append(SNAPSHOTS, &payload).await {
            Ok(offset) => next = Some(offset + 1),
            Err(error) => {
                warn!(%error, as_of, "a snapshot is cut short; another will be written");
                return next;
            }
        }
    }
    info!(as_of, "appended a snapshot of the configuration");
    next
}
