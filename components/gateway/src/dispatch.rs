//! Sends a request to a target and reads the answer.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, header, response};
use http_body_util::{BodyExt, Full as FullBody};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        self,
        connect::{CaptureConnection, HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};
use model::id::TargetName;
use scheduler::direct::{Dispatch, Outcome};
use tokio::time::{Instant, timeout_at};
use tracing::warn;

use crate::{
    Dialect, Notice, ReceivedRequest,
    answer::{self, Kind},
    buffer::{self, Charge, Full},
    events::{EventSplitter, StreamEvent},
    record,
};

/// Timeout of establishing a connection. A target nearby accepts one within a few milliseconds; a target that
/// is partitioned or down accepts none, and then the request has certainly not been sent.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which sent data may stay unacknowledged before the connection is closed as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without data after which TCP probes a connection, and time between two probes. They detect a target
/// that went down also while a request waits for its answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of unanswered probes after which a connection is closed as dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which an idle connection is kept open. It is shorter than the idle timeout of targets, so that no
/// request is sent on a connection while the target closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after a request's deadline for which this process still waits for the target's own answer that the
/// deadline passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Maximum size in bytes of an answer that isn't a stream: it is buffered completely.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum size in bytes of an event of a stream, with the comments before it.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size in bytes of the buffer in which the head of an answer and each part of its body are received.
const MAX_RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Size in bytes of the receive buffer of a connection's socket. It bounds the interim answers and other parts of an
/// answer without an end that are read at once, before other requests have their turn.
const SOCKET_BUFFER_BYTES: usize = 128 << 10;

/// Client of all targets.
pub struct TargetClient {
    /// HTTP client with a pool of connections to all targets.
    http: legacy::Client<HttpConnector, FullBody<Bytes>>,
    /// Memory that the answers may take.
    budget: Arc<buffer::Budget>,
}

/// Builds the client for requests to targets, whose answers may take `max_buffered_bytes` in all. It opens
/// connections as requests need them.
pub fn open(max_buffered_bytes: usize) -> TargetClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_recv_buffer_size(Some(SOCKET_BUFFER_BYTES));
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    let http = legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .http1_max_buf_size(MAX_RECEIVE_BUFFER_BYTES)
        .build(connector);
    TargetClient { http, budget: buffer::open(max_buffered_bytes) }
}

/// Answer of a target whose head was received and whose body wasn't read yet.
pub enum TargetAnswer {
    /// An answer that isn't a stream.
    Plain(UnreadAnswer),
    /// An error answer.
    Failure(UnreadAnswer),
    /// Head and events of a stream.
    Stream(Box<response::Parts>, Box<EventStream>),
}

/// An answer without a stream, whose body wasn't read yet.
pub struct UnreadAnswer {
    /// Whether the answer has neither a length nor chunks, so that it ends with its connection.
    pub is_unframed: bool,
    head: response::Parts,
    body: Incoming,
    charge: Charge,
    target: TargetName,
    time_limit: TimeLimit,
}

/// The events of a stream that one dispatch receives.
pub struct EventStream {
    /// Time without data from the target after which the reducer searches for another target; `None` where
    /// the request may not be dispatched again.
    pub unresponsive_timeout: Option<Duration>,
    /// Whether the stream has neither a length nor chunks, so that it ends with its connection.
    pub is_unframed: bool,
    /// Whether the stream goes on from a copy of the run at another target.
    pub is_continuation: bool,
    /// Number of the last event that was received; `None` before the first, or where it has no number.
    pub reached: Option<u64>,
    /// Whether the target sends a copy of the run to another target, from which the stream may go on.
    pub has_copy: bool,
    /// Whether any event was received.
    has_event: bool,
    body: Pin<Box<Incoming>>,
    splitter: EventSplitter,
    charge: Charge,
    target: TargetName,
    connection: CaptureConnection,
    time_limit: TimeLimit,
    /// Whether the stream was received to its end.
    is_complete: bool,
}

/// Sends a request to a target and waits for the head of the answer. `on_notice` is called with what the head
/// states about the target before this function returns.
pub async fn send(
    client: &TargetClient,
    dialect: &Dialect,
    call: &ReceivedRequest,
    dispatch: &Dispatch,
    last_event: Option<&str>,
    on_notice: impl Fn(Notice),
) -> Result<TargetAnswer, Outcome> {
    let end = Instant::from_std(dispatch.deadline) + DEADLINE_GRACE;
    let remaining = dispatch.deadline.saturating_duration_since(std::time::Instant::now());
    if remaining.is_zero() {
        return Err(Outcome::DeadlineExceeded);
    }
    let mut request = (dialect.build_request)(call, dispatch, remaining, last_event);
    let connection = capture_connection(&mut request);
    let time_limit = TimeLimit { end };
    let answer = time_limit.wait(client.http.request(request)).await?;
    let answer = answer.map_err(|error| failure_outcome(&error))?;
    let (mut head, body) = answer.into_parts();
    let info = (dialect.read_answer)(&head);
    let kind = answer::classify(&info, &call.info.id, dispatch.is_repeatable);
    if !matches!(kind, Kind::Answer | Kind::Failed) {
        record::log_answer(&call.info.id, &dispatch.target, head.status, &info, kind);
    }
    // Answers of other kinds weren't made by this target, or not for this request.
    if !matches!(kind, Kind::Replaced | Kind::Foreign) {
        let notice = (dialect.read_notice)(&head);
        for message in &notice.findings {
            warn!(to = dispatch.target, message, "a statement of a target can't be read");
        }
        on_notice(notice);
    }
    let is_unframed = !head.headers.contains_key(header::CONTENT_LENGTH)
        && !head.headers.contains_key(header::TRANSFER_ENCODING);
    (dialect.remove_connection_headers)(&mut head);
    let target = dispatch.target.clone();
    match kind {
        // The answer may come again without the ID of its request, or where the same request is sent again. On
        // another connection it can't be taken for the answer to a later dispatch.
        Kind::Rejected => {
            close_after_use(&connection);
            Err(Outcome::Rejected)
        }
        Kind::Replaced => {
            close_after_use(&connection);
            Err(Outcome::Replaced)
        }
        Kind::Foreign | Kind::Improper => {
            close_after_use(&connection);
            Err(Outcome::Incomplete { crashed: false })
        }
        Kind::Answer if dispatch.is_stream => {
            let body = Box::pin(body);
            let unresponsive_timeout = dispatch.unresponsive_timeout;
            let splitter = EventSplitter::default();
            let events = EventStream {
                unresponsive_timeout,
                is_unframed,
                is_continuation: dispatch.continues,
                reached: None,
                has_copy: dispatch.copy.copy().is_some(),
                has_event: false,
                body,
                splitter,
                charge: client.budget.begin(MAX_EVENT_BYTES),
                target,
                connection,
                time_limit,
                is_complete: false,
            };
            Ok(TargetAnswer::Stream(Box::new(head), Box::new(events)))
        }
        Kind::Answer => {
            let charge = client.budget.begin(MAX_ANSWER_BYTES);
            let unread = UnreadAnswer { is_unframed, head, body, charge, target, time_limit };
            Ok(TargetAnswer::Plain(unread))
        }
        Kind::Failed => {
            let charge = client.budget.begin(MAX_ANSWER_BYTES);
            let unread = UnreadAnswer { is_unframed, head, body, charge, target, time_limit };
            Ok(TargetAnswer::Failure(unread))
        }
    }
}

/// Time at which a dispatch times out, [`DEADLINE_GRACE`] after the request's deadline.
#[derive(Clone, Copy)]
struct TimeLimit {
    end: Instant,
}

impl TimeLimit {
    async fn wait<T>(&self, answer: impl Future<Output = T>) -> Result<T, Outcome> {
        // A target that sends without a pause always has an answer ready, which a timeout alone would let pass.
        if Instant::now() >= self.end {
            return Err(Outcome::DeadlineExceeded);
        }
        timeout_at(self.end, answer).await.map_err(|_| Outcome::DeadlineExceeded)
    }
}

impl TargetAnswer {
    /// Returns whether the answer has neither a length nor chunks, so that it ends with its connection.
    pub fn is_unframed(&self) -> bool {
        match self {
            TargetAnswer::Plain(unread) | TargetAnswer::Failure(unread) => unread.is_unframed,
            TargetAnswer::Stream(_, events) => events.is_unframed,
        }
    }
}

impl UnreadAnswer {
    /// Reads the body of the answer; returns the complete answer, which counts until it is written to the caller.
    pub async fn read(self) -> Result<Response<Bytes>, Outcome> {
        let UnreadAnswer { head, mut body, mut charge, target, time_limit, .. } = self;
        let mut bytes = BytesMut::new();
        while let Some(frame) = time_limit.wait(body.frame()).await? {
            let Ok(frame) = frame else {
                return Err(Outcome::Incomplete { crashed: true });
            };
            if let Some(data) = frame.data_ref() {
                charge
                    .set(bytes.len() + data.len())
                    .map_err(|full| refuse_endless(&target, bytes.len(), full))?;
                bytes.extend_from_slice(data);
            }
        }
        Ok(Response::from_parts(head, buffer::hold(bytes.freeze(), charge)))
    }
}

impl EventStream {
    /// Returns the next complete event, or `None` at the end of a complete stream.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>, Outcome> {
        loop {
            if let Some(event) = self.splitter.next() {
                self.has_event = true;
                // Less than before is always allowed.
                let _ = self.charge.set(self.splitter.len());
                return Ok(Some(event));
            }
            match self.time_limit.wait(self.body.frame()).await? {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        let buffered = self.splitter.len();
                        self.charge
                            .set(buffered + bytes.len())
                            .map_err(|full| refuse_endless(&self.target, buffered, full))?;
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(_)) => return Err(Outcome::Incomplete { crashed: true }),
                // The target ended before the first event.
                None if self.is_unframed && !self.has_event => {
                    return Err(Outcome::Incomplete { crashed: true });
                }
                None if self.splitter.is_empty() => {
                    self.is_complete = true;
                    return Ok(None);
                }
                None => {
                    let comments = self.splitter.take_trailing_comments();
                    return comments.map(Some).ok_or(Outcome::Incomplete { crashed: true });
                }
            }
        }
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        // The target runs the request until its stream ends or the connection is closed.
        if !self.is_complete {
            close_after_use(&self.connection);
        }
    }
}

/// Logs that a target sends more than an answer may hold, and returns the outcome of the dispatch, whose connection
/// is closed.
fn refuse_endless(target: &TargetName, buffered_bytes: usize, full: Full) -> Outcome {
    warn!(to = target, buffered_bytes, limit = %full, "an answer exceeds the memory that it may take");
    Outcome::Incomplete { crashed: false }
}

/// Returns the outcome of a dispatch that failed before the head of the answer was received.
fn failure_outcome(error: &legacy::Error) -> Outcome {
    if error.is_connect() {
        return Outcome::Unreachable;
    }
    Outcome::Incomplete { crashed: true }
}

/// Prevents the pool from using a connection for another request; the connection closes once the answer is
/// dropped.
fn close_after_use(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}
