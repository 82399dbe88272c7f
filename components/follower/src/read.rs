//! Reads the configuration: first the highest snapshot, then the log, record by record.

use std::time::{Duration, Instant};

use model::id::Offset;
use source::{CONFIG, log};
use tokio::time::sleep;
use tracing::{error, info, warn};

use crate::{
    Sink, Source, Update, Waker, archive, peer,
    relay::{self, Fetched, Relay},
};

/// Most records of one read.
const PAGE: usize = 1_000;
/// Wait after a failed read.
const BACKOFF: Duration = Duration::from_millis(200);

struct Reader {
    source: Source,
    wake: Waker,
    sink: Sink,
    relay: Relay,
    /// Offset of the next record; everything below it was given to the sink. Never falls.
    next: Offset,
    /// Longest wait of the next read; zero until the end of the log was seen.
    wait: Duration,
}

/// Follows until it is aborted.
pub async fn run(source: Source, wake: Waker, sink: Sink) {
    let relay = relay::open(source.relays.clone());
    let mut reader = Reader { source, wake, sink, relay, next: 1, wait: Duration::ZERO };
    reader.start().await;
    loop {
        reader.read().await;
    }
}

impl Reader {
    /// Steps to the highest snapshot of the log, where there is one.
    async fn start(&mut self) {
        match archive::find(&self.source.log, self.next).await {
            Ok(Some(snapshot)) => self.restore(snapshot),
            Ok(None) => {}
            Err(error) => {
                warn!(%error, "the log can't be read now; asking other processes");
                self.ask_peers().await;
            }
        }
    }

    async fn read(&mut self) {
        let heard = self.wake.heard();
        let read = fetch(&self.source.log, &mut self.relay, heard, self.next, self.wait);
        let answer = tokio::select! {
            answer = read => answer,
            () = self.wake.wanted(), if !self.wait.is_zero() => {
                // What was asked before may not count; ask again, and don't wait.
                self.wait = Duration::ZERO;
                return;
            }
        };
        match answer {
            Ok(Fetched { asked, page }) => self.take(asked, page).await,
            Err(log::Error::Expired(first)) => self.bridge(first).await,
            Err(error) => {
                warn!(%error, next = self.next, "the configuration can't be read now");
                (self.sink)(Update::Nothing);
                if self.next == 1 || self.wake.heard() >= self.next {
                    self.ask_peers().await;
                }
                sleep(BACKOFF).await;
            }
        }
    }

    async fn take(&mut self, asked: Instant, page: log::Page) {
        if page.next < self.next {
            error!(next = self.next, log = page.next, "the log ends before what is applied");
            return sleep(BACKOFF).await;
        }
        if let Some(gap) = find_gap(self.next, &page.records) {
            error!(next = self.next, gap, "the log's answer has a gap; reading again");
            return sleep(BACKOFF).await;
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

    /// Steps over records that the log no longer keeps, by a snapshot that covers them all.
    async fn bridge(&mut self, first: Offset) {
        error!(next = self.next, first, "records are gone from the log; looking for a snapshot");
        match archive::find(&self.source.log, first).await {
            Ok(Some(snapshot)) => return self.restore(snapshot),
            Ok(None) => error!(next = self.next, first, "no snapshot in the log covers the gap"),
            Err(error) => warn!(%error, "snapshots can't be read now"),
        }
        self.ask_peers().await;
        if self.next < first {
            (self.sink)(Update::Nothing);
            sleep(BACKOFF).await;
        }
    }

    /// Steps to the highest snapshot among other processes, if it is ahead.
    async fn ask_peers(&mut self) {
        let found = peer::fetch(&self.source.peers, self.next - 1).await;
        let Some(snapshot) = found else {
            return;
        };
        self.restore(snapshot);
        // In an outage nothing newer can be accepted, so this is all that can be known.
        (self.sink)(Update::CaughtUp);
    }

    fn restore(&mut self, snapshot: scheduler::config::Snapshot) {
        if snapshot.applied < self.next {
            return;
        }
        info!(applied = snapshot.applied, "stepping forward to a snapshot");
        self.next = snapshot.applied + 1;
        (self.sink)(Update::Restored(Box::new(snapshot)));
    }
}

/// Reads from a relay, or from the log where there is none, or where it doesn't have what was
/// heard of.
async fn fetch(
    log: &log::Client,
    relay: &mut Relay,
    heard: Offset,
    next: Offset,
    wait: Duration,
) -> Result<Fetched, log::Error> {
    match relay.read(next, wait).await {
        Some(fetched) if fetched.page.next > heard => Ok(fetched),
        _ => {
            let asked = Instant::now();
            let page = log.read(CONFIG, next, PAGE, wait).await?;
            Ok(Fetched { asked, page })
        }
    }
}

/// The first offset that is missing between the expected one and the last that was given.
fn find_gap(next: Offset, records: &[log::Record]) -> Option<Offset> {
    let mut expected = next..;
    let mut pairs = records.iter().map(|record| record.offset).zip(&mut expected);
    pairs.find(|(offset, expected)| offset != expected).map(|(_, expected)| expected)
}
