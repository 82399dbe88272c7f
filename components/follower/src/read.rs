//! Reads the configuration: first the newest snapshot, then the records that follow it.

use std::time::{Duration, Instant};

use model::id::Offset;
use source::{CONFIG, log};
use tokio::time::sleep;
use tracing::{error, info, warn};

use crate::{
    Sink, Source, Update, Waker, archive, peer,
    relay::{self, Fetched, Relay},
};

/// Largest number of records that one read asks for.
const RECORDS_PER_READ: usize = 1_000;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

struct Reader {
    source: Source,
    waker: Waker,
    sink: Sink,
    relay: Relay,
    /// Offset of the next record; the sink has received everything below it. Never decreases.
    next: Offset,
    /// Longest time that the next read waits for a record; zero until the reader has reached the
    /// end of the log.
    wait: Duration,
}

/// Reads the configuration until the task is aborted.
pub async fn run(source: Source, waker: Waker, sink: Sink) {
    let relay = relay::open(source.relays.clone());
    let mut reader = Reader { source, waker, sink, relay, next: 1, wait: Duration::ZERO };
    reader.restore_from_log().await;
    loop {
        reader.read().await;
    }
}

impl Reader {
    /// Restores the newest snapshot of the log, if it has one; asks other processes for a snapshot
    /// if the log can't be read.
    async fn restore_from_log(&mut self) {
        match archive::find(&self.source.log, self.next).await {
            Ok(Some(snapshot)) => self.restore(snapshot),
            Ok(None) => {}
            Err(error) => {
                warn!(%error, "the log can't be read; asking other processes for a snapshot");
                self.ask_peers().await;
            }
        }
    }

    async fn read(&mut self) {
        let reported = self.waker.highest_reported();
        let read = fetch(&self.source.log, &mut self.relay, reported, self.next, self.wait);
        let answer = tokio::select! {
            answer = read => answer,
            () = self.waker.woken(), if !self.wait.is_zero() => {
                // The answer in flight may be older than the wakeup, so read again without waiting.
                self.wait = Duration::ZERO;
                return;
            }
        };
        match answer {
            Ok(Fetched { asked, page }) => self.accept_page(asked, page).await,
            Err(log::Error::Expired(first)) => self.bridge_gap(first).await,
            Err(error) => {
                warn!(%error, next = self.next, "the configuration can't be read; retrying");
                (self.sink)(Update::Nothing);
                if self.next == 1 || self.waker.highest_reported() >= self.next {
                    self.ask_peers().await;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn accept_page(&mut self, asked: Instant, page: log::Page) {
        if page.next < self.next {
            error!(
                next = self.next,
                log = page.next,
                "the log ends before the last applied record; retrying"
            );
            return sleep(RETRY_DELAY).await;
        }
        if let Some(gap) = find_gap(self.next, &page.records) {
            error!(next = self.next, gap, "the log's answer has a gap; reading again");
            return sleep(RETRY_DELAY).await;
        }
        if let Some(last) = page.records.last().map(|record| record.offset) {
            self.next = last + 1;
            (self.sink)(Update::Records(page.records));
        }
        (self.sink)(Update::Confirmed { asked, highest: page.next - 1 });
        self.wait = Duration::ZERO;
        if self.next >= page.next {
            (self.sink)(Update::CaughtUp);
            self.wait = self.source.poll;
        }
    }

    /// Restores a snapshot that covers all records that have expired from the log. `first` is the
    /// offset of the oldest record that the log keeps.
    async fn bridge_gap(&mut self, first: Offset) {
        error!(next = self.next, first, "records expired from the log; looking for a snapshot");
        match archive::find(&self.source.log, first).await {
            Ok(Some(snapshot)) => return self.restore(snapshot),
            Ok(None) => error!(next = self.next, first, "no snapshot in the log covers the gap"),
            Err(error) => {
                warn!(%error, "the log's snapshots can't be read; asking other processes")
            }
        }
        self.ask_peers().await;
        if self.next < first {
            (self.sink)(Update::Nothing);
            sleep(RETRY_DELAY).await;
        }
    }

    /// Restores the newest snapshot that other processes have, if it is ahead of this one.
    async fn ask_peers(&mut self) {
        let found = peer::fetch(&self.source.peers, self.next - 1).await;
        let Some(snapshot) = found else {
            return;
        };
        self.restore(snapshot);
        // No newer record can be appended while the log is unavailable, so this is up to date.
        (self.sink)(Update::CaughtUp);
    }

    fn restore(&mut self, snapshot: scheduler::config::Snapshot) {
        if snapshot.applied < self.next {
            return;
        }
        info!(applied = snapshot.applied, "restoring a snapshot");
        self.next = snapshot.applied + 1;
        (self.sink)(Update::Restored(Box::new(snapshot)));
    }
}

/// Reads records from a relay. Reads from the log instead if no relay answers, or if the relay
/// doesn't have the records up to the `reported` offset yet.
async fn fetch(
    log: &log::Client,
    relay: &mut Relay,
    reported: Offset,
    next: Offset,
    wait: Duration,
) -> Result<Fetched, log::Error> {
    match relay.read(next, wait).await {
        Some(fetched) if fetched.page.next > reported => Ok(fetched),
        _ => {
            let asked = Instant::now();
            let page = log.read(CONFIG, next, RECORDS_PER_READ, wait).await?;
            Ok(Fetched { asked, page })
        }
    }
}

/// Returns the first offset that is missing in a page of records, from the expected offset `next`
/// up to the last record; `None` if there is no gap.
fn find_gap(next: Offset, records: &[log::Record]) -> Option<Offset> {
    let mut expected = next..;
    let mut pairs = records.iter().map(|record| record.offset).zip(&mut expected);
    pairs.find(|(offset, expected)| offset != expected).map(|(_, expected)| expected)
}
