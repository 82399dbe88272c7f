//! Follows one stream of the log from its first record on.

use std::time::Duration;

use model::id::Offset;
use tokio::{task::JoinHandle, time::sleep};
use tracing::{error, warn};

use crate::log::{Client, Error, Record};

/// Most records of one read.
const PAGE: usize = 1_000;
/// Wait after a failed read.
const BACKOFF: Duration = Duration::from_millis(200);

/// What a reader learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// The next records, in order and without a gap.
    Records(Vec<Record>),
    /// All records that stood at the log's last answer were given.
    CaughtUp,
}

/// Starts to follow a stream; each read waits up to `poll` for a new record. The task ends when
/// it is aborted, or with its runtime.
pub fn spawn(
    log: Client,
    stream: &'static str,
    poll: Duration,
    mut take: impl FnMut(News) + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut next: Offset = 1;
        let mut wait = Duration::ZERO;
        loop {
            match log.read(stream, next, PAGE, wait).await {
                Ok(page) => {
                    if let Some(last) = page.records.last() {
                        next = last.offset + 1;
                        take(News::Records(page.records));
                    }
                    if next >= page.next {
                        take(News::CaughtUp);
                        wait = poll;
                    }
                }
                Err(Error::Expired(first)) => {
                    error!(stream, next, first, "records are gone from the log; still waiting");
                    sleep(poll).await;
                }
                Err(error) => {
                    warn!(stream, %error, next, "the log can't be read now");
                    sleep(BACKOFF).await;
                }
            }
        }
    })
}
