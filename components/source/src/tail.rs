//! Follows one stream of the log from its first record on.

use std::time::{Duration, Instant};

use model::id::Offset;
use tokio::{task::JoinHandle, time::sleep};
use tracing::{error, info, warn};

use crate::log::{Client, Error, Record};

/// Most records of one read.
const PAGE: usize = 1_000;
/// Wait after the first failed read; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest wait after a failed read, so that an outage isn't answered with a flood.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// What a reader learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// The next records, in order and without a gap.
    Records(Vec<Record>),
    /// All records that stood at the log's last answer were given.
    CaughtUp {
        /// When the call began that gave this answer.
        asked: Instant,
    },
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
        let mut backoff = BACKOFF_MIN;
        loop {
            let asked = Instant::now();
            match log.read(stream, next, PAGE, wait).await {
                Ok(page) => {
                    if backoff > BACKOFF_MIN {
                        info!(stream, next, "the log can be read again");
                    }
                    backoff = BACKOFF_MIN;
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
                    error!(stream, next, first, "records are gone from the log; still waiting");
                    sleep(poll).await;
                }
                Err(error) => {
                    if backoff == BACKOFF_MIN {
                        warn!(stream, %error, next, "the log can't be read now");
                    }
                    sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    })
}
