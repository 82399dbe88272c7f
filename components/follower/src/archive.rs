//! Finds snapshots in the log.

use std::time::Duration;

use model::{
    id::Offset,
    snapshot::{Assembly, Part},
};
use scheduler::config::{Snapshot, snapshot};
use source::{SNAPSHOTS, log};
use tracing::warn;

/// Parts of one read.
const PAGE: u64 = 16;

/// The newest whole snapshot after which the log still has every record, given the first record
/// that it keeps.
pub async fn find(log: &log::Client, first: Offset) -> Result<Option<Snapshot>, log::Error> {
    let ends = ends(log).await?;
    let mut assembly = Assembly::default();
    let mut to = ends.next;
    while to > ends.first {
        let from = to.saturating_sub(PAGE).max(ends.first);
        let page = match log.read(SNAPSHOTS, from, (to - from) as usize, Duration::ZERO).await {
            Ok(page) => page,
            // The oldest expired in the meantime; what is left was seen.
            Err(log::Error::Expired(_)) => return Ok(None),
            Err(error) => return Err(error),
        };
        for record in page.records.iter().rev() {
            let found = whole(&mut assembly, &record.payload);
            if let Some(found) = found.filter(|found| found.applied + 1 >= first) {
                return Ok(Some(found));
            }
        }
        to = from;
    }
    Ok(None)
}

/// Ends of the stream of snapshots.
pub struct Ends {
    /// Offset of the first part that is kept.
    pub first: Offset,
    /// Offset of the next part.
    pub next: Offset,
}

/// Asks for the ends of the stream of snapshots.
pub async fn ends(log: &log::Client) -> Result<Ends, log::Error> {
    let page = match log.read(SNAPSHOTS, 1, 1, Duration::ZERO).await {
        Err(log::Error::Expired(first)) => log.read(SNAPSHOTS, first, 1, Duration::ZERO).await?,
        other => other?,
    };
    Ok(Ends { first: page.first, next: page.next })
}

fn whole(assembly: &mut Assembly, payload: &str) -> Option<Snapshot> {
    let part: Part = serde_json::from_str(payload).ok()?;
    let whole = assembly.add(part)?;
    let snapshot = snapshot::parse(&whole.text);
    if snapshot.is_none() {
        warn!(as_of = whole.as_of, "a snapshot of an unknown form is passed over");
    }
    snapshot
}
