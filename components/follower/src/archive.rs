//! Finds configuration snapshots in the log.

use std::time::Duration;

use model::{
    id::Offset,
    snapshot::{Assembly, Part},
};
use scheduler::config::{Snapshot, snapshot};
use source::{SNAPSHOTS, log};
use tracing::warn;

/// Largest number of snapshot parts that one read asks for.
const PARTS_PER_READ: u64 = 16;

/// Finds the newest complete snapshot after which the log still has every configuration record.
/// `first` is the offset of the oldest record that the log keeps. Returns `None` if the log has no
/// such snapshot.
pub async fn find(log: &log::Client, first: Offset) -> Result<Option<Snapshot>, log::Error> {
    let bounds = stream_bounds(log).await?;
    let mut assembly = Assembly::default();
    let mut to = bounds.next;
    while to > bounds.first {
        let from = to.saturating_sub(PARTS_PER_READ).max(bounds.first);
        let page = match log.read(SNAPSHOTS, from, (to - from) as usize, Duration::ZERO).await {
            Ok(page) => page,
            // The oldest parts expired in the meantime, and all newer ones were read already.
            Err(log::Error::Expired(_)) => return Ok(None),
            Err(error) => return Err(error),
        };
        for record in page.records.iter().rev() {
            let snapshot = add_part(&mut assembly, &record.payload);
            if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.applied + 1 >= first) {
                return Ok(Some(snapshot));
            }
        }
        to = from;
    }
    Ok(None)
}

/// Range of offsets that the stream of snapshots has.
pub struct StreamBounds {
    /// Offset of the oldest part that the log keeps; equal to `next` if it keeps none.
    pub first: Offset,
    /// Offset that the next appended part will get.
    pub next: Offset,
}

/// Reads the range of offsets of the stream of snapshots from the log.
pub async fn stream_bounds(log: &log::Client) -> Result<StreamBounds, log::Error> {
    let page = match log.read(SNAPSHOTS, 1, 1, Duration::ZERO).await {
        Err(log::Error::Expired(first)) => log.read(SNAPSHOTS, first, 1, Duration::ZERO).await?,
        other => other?,
    };
    Ok(StreamBounds { first: page.first, next: page.next })
}

/// Adds a part from the log and returns the snapshot that it completes; `None` if parts are still
/// missing or the snapshot can't be parsed.
fn add_part(assembly: &mut Assembly, payload: &str) -> Option<Snapshot> {
    let part: Part = serde_json::from_str(payload).ok()?;
    let whole = assembly.add(part)?;
    let snapshot = snapshot::parse(&whole.text);
    if snapshot.is_none() {
        warn!(as_of = whole.as_of, "skipped a snapshot that can't be parsed");
    }
    snapshot
}
