//! One dispatch of a request to a target.

use std::{pin::Pin, time::Duration};

use bytes::Bytes;
use http::{Response, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        self,
        connect::{CaptureConnection, HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};
use scheduler::direct::{Dispatch, Outcome};
use tokio::time::{Instant, timeout_at};
use tracing::warn;

use crate::{
    Call, Dialect, Verdict,
    events::{Piece, Splitter},
};

/// Longest wait for a connection. A target nearby takes one within a few milliseconds; one that is
/// cut off or dark takes none, and the request has then surely not been sent.
pub const CONNECT: Duration = Duration::from_millis(300);
/// Longest time for which data may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);
/// Time without data after which a connection is probed, and between two probes. A target that went
/// dark shows itself so, also to requests that wait for its answer.
const PROBE: Duration = Duration::from_millis(500);
/// Probes without an answer after which the connection counts as dead.
const PROBES: u32 = 2;
/// Time for which an unused connection is kept; targets close theirs later.
const IDLE: Duration = Duration::from_secs(3);
/// Time after the end of a request's time in which the target's own word on that is waited for.
const WORD: Duration = Duration::from_millis(100);
/// Largest answer that is held whole, in bytes.
const ANSWER_MAX: usize = 16 << 20;

/// Connections to all targets.
pub type Targets = legacy::Client<HttpConnector, Full<Bytes>>;

/// Gives a set without connections.
pub fn open() -> Targets {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    connector.set_keepalive(Some(PROBE));
    connector.set_keepalive_interval(Some(PROBE));
    connector.set_keepalive_retries(Some(PROBES));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE)
        .build(connector)
}

/// What a dispatch gave.
pub enum Opened {
    /// An answer that isn't a stream.
    Whole(Unread),
    /// One that tells of a failure.
    Failure(Unread),
    /// The head of a stream, and what follows.
    Stream(Box<response::Parts>, Box<Events>),
}

/// An answer of which the head came.
pub struct Unread {
    head: response::Parts,
    body: Incoming,
    watch: Watch,
}

/// The events of one dispatch.
pub struct Events {
    /// Silence after which another target is looked for, where there may be one.
    pub silence: Option<Duration>,
    body: Pin<Box<Incoming>>,
    splitter: Splitter,
    connection: CaptureConnection,
    watch: Watch,
    ended: bool,
}

/// Sends a request and reads the head of its answer. Tells at once the rate limit, in requests a second,
/// that this names.
pub async fn send(
    targets: &Targets,
    dialect: &Dialect,
    call: &Call,
    dispatch: &Dispatch,
    last_event: Option<&str>,
    limited: impl Fn(f64),
) -> Result<Opened, Outcome> {
    let until = Instant::from_std(dispatch.deadline) + WORD;
    let remaining = dispatch.deadline.saturating_duration_since(std::time::Instant::now());
    if remaining.is_zero() {
        return Err(Outcome::DeadlineExceeded);
    }
    let mut request = (dialect.forward)(call, dispatch, remaining, last_event);
    let connection = capture_connection(&mut request);
    let watch = Watch { until };
    let answer = watch.wait(targets.request(request)).await?;
    let answer = answer.map_err(|error| lost(&error))?;
    let (mut head, body) = answer.into_parts();
    let verdict = (dialect.judge)(&head, call);
    // Any other verdict says that this isn't the target's answer.
    if matches!(verdict, Verdict::Answer | Verdict::Failure | Verdict::NotRun) {
        match (dialect.limit)(&head) {
            Ok(per_second) => per_second.into_iter().for_each(limited),
            Err(message) => warn!(to = dispatch.target, message, "a rate limit can't be read"),
        }
    }
    (dialect.strip)(&mut head);
    match verdict {
        Verdict::NotRun => Err(Outcome::Rejected),
        Verdict::Replaced => Err(Outcome::Replaced),
        Verdict::Foreign => {
            poison(&connection);
            Err(Outcome::Incomplete { crashed: false })
        }
        Verdict::Answer if dispatch.is_stream => {
            let body = Box::pin(body);
            let (silence, splitter) = (dispatch.unresponsive_timeout, Splitter::default());
            let events = Events { silence, body, splitter, connection, watch, ended: false };
            Ok(Opened::Stream(Box::new(head), Box::new(events)))
        }
        Verdict::Answer => Ok(Opened::Whole(Unread { head, body, watch })),
        Verdict::Failure => Ok(Opened::Failure(Unread { head, body, watch })),
    }
}

/// How long a target is waited for.
#[derive(Clone, Copy)]
struct Watch {
    until: Instant,
}

impl Watch {
    async fn wait<T>(&self, answer: impl Future<Output = T>) -> Result<T, Outcome> {
        timeout_at(self.until, answer).await.map_err(|_| Outcome::DeadlineExceeded)
    }
}

impl Unread {
    /// Reads the answer to its end.
    pub async fn read(self) -> Result<Response<Bytes>, Outcome> {
        let Unread { head, body, watch } = self;
        match watch.wait(Limited::new(body, ANSWER_MAX).collect()).await? {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(_) => Err(Outcome::Incomplete { crashed: true }),
        }
    }
}

impl Events {
    /// The next whole event; `None` at the end of a whole stream.
    pub async fn next(&mut self) -> Result<Option<Piece>, Outcome> {
        loop {
            if let Some(piece) = self.splitter.next() {
                return Ok(Some(piece));
            }
            match self.watch.wait(self.body.frame()).await? {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(_)) => return Err(Outcome::Incomplete { crashed: true }),
                None if self.splitter.is_empty() => {
                    self.ended = true;
                    return Ok(None);
                }
                None => return Err(Outcome::Incomplete { crashed: true }),
            }
        }
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        // A stream that is left before its end still runs until its connection is closed.
        if !self.ended {
            poison(&self.connection);
        }
    }
}

fn lost(error: &legacy::Error) -> Outcome {
    if error.is_connect() {
        return Outcome::Unreachable;
    }
    Outcome::Incomplete { crashed: true }
}

fn poison(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}
