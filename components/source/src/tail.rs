//! Follows one stream of the log, starting at the stream's first record.

use std::time::{Duration, Instant};

use model::id::Offset;
use tokio::{task::JoinHandle, time::sleep};
use tracing::{error, info, warn};

use crate::log::{Client, Error, Record};

/// Largest number of records that one read asks for.
const RECORDS_PER_READ: usize = 1_000;
/// Delay after the first failed read; doubled after each further one. Jitter shortens each delay by
/// up to half.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff, which keeps readers from flooding the log during an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// An update from the reader of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// The next records, in order and without a gap.
    Records(Vec<Record>),
    /// All records that the stream had at the log's last answer were passed on.
    CaughtUp {
        /// When the read with that answer began.
        asked: Instant,
    },
}

/// Starts the task that reads a stream and passes updates to `take`. Each read waits up to `poll`
/// for a new record. The task runs until it is aborted or its runtime shuts down.
pub fn spawn(
    log: Client,
    stream: &'static str,
    poll: Duration,
    mut take: impl FnMut(News) + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut next: Offset = 1;
        let mut wait = Duration::ZERO;
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let asked = Instant::now();
            match log.read(stream, next, RECORDS_PER_READ, wait).await {
                Ok(page) => {
                    if backoff > INITIAL_BACKOFF {
                        info!(stream, next, "the log can be read again");
                    }
                    backoff = INITIAL_BACKOFF;
                    if let Some(last) = page.records.last() {
                        next = last.offset + 1;
                        take(News::Records(page.records));
                    }
                    if next >= page.next {
                        take(News::CaughtUp { asked });
                        wait = poll;
                    }
                }
                Err(Error::Expired(first)) => {
                    error!(stream, next, first, "records have expired from the log; reading again");
                    sleep(poll).await;
                }
                Err(error) => {
                    if backoff == INITIAL_BACKOFF {
                        warn!(stream, %error, next, "the log can't be read; retrying");
                    }
                    sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    })
}
