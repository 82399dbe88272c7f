//! Serves one request of a caller: reads it, carries out the dispatches that the control thread orders and
//! passes the answer on.

use std::{
    future::Future,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use async_stream::try_stream;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request, response};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use metrics::Gateway;
use model::id::{self, Fingerprint};
use scheduler::direct::{
    self, Dispatch, Event, Outcome, Refusal, RefusalReason, Resumption, Ticket,
};
use tokio::{
    select,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    Body, Broken, Dialect, Notice, ReceivedRequest, RequestInfo,
    bodies::{self, Charge},
    control::{self, Command},
    dispatch::{self, EventStream, TargetAnswer, TargetClient, UnreadAnswer},
    events::StreamEvent,
    overload::Work,
    record::{self, MemoryWait},
};

/// Timeout of receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size in bytes of a request's body before a configuration is known, which sets the maximum.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Longest time for which a request waits for the memory that its body takes. A caller gives up a request that isn't
/// read for long, and tries another process.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Divisor of the caller's time that gives the longest wait where it is shorter.
const MEMORY_WAIT_DIVISOR: u32 = 4;
/// Time after which a request may return that was refused for want of memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// State that the tasks of all requests share.
pub struct Context {
    /// Handle of the control thread.
    pub control: control::Handle,
    /// Conversion between HTTP messages and the types of this crate.
    pub dialect: Dialect,
    /// HTTP client for targets.
    pub client: TargetClient,
    /// Memory that bodies of callers' requests take.
    pub bodies: bodies::Budget,
    /// Metrics of the process.
    pub metrics: Arc<Gateway>,
}

/// A request that was passed to the control thread. If the value is dropped before the request has ended, its
/// caller disconnected: the value's destructor informs the control thread.
struct Session {
    context: Arc<Context>,
    call: Arc<ReceivedRequest>,
    ticket: Ticket,
    commands: mpsc::UnboundedReceiver<Command>,
    /// The last error answer of a target.
    failure: Option<Response<Bytes>>,
    /// ID of the last event that was passed to the caller, or that the caller had received before; `None`
    /// where there is none.
    last_event: Option<String>,
    /// Whether the IDs of the events that were passed to the caller follow each other without a gap.
    is_consecutive: bool,
    /// Whether any event was passed to the caller.
    begun: bool,
    /// Number of events that were passed to the caller in the dispatch in flight.
    events: u32,
    /// Hash of the bytes of the answer's body that were passed to the caller.
    digest: blake3::Hasher,
    /// Whether the control thread knows that the request ended.
    has_ended: bool,
}

/// Answer to the caller: complete, or the beginning of a stream.
enum CallerAnswer {
    /// A complete answer.
    Complete(Response<Bytes>),
    /// Head, first event and further events of a stream.
    Stream(Box<response::Parts>, StreamEvent, Box<EventStream>),
}

/// Serves a request and returns the answer. The body of a stream is received from targets while it is sent
/// to the caller. `work` ends once the control thread has the request.
pub async fn serve(
    context: Arc<Context>,
    request: Request<Incoming>,
    work: Work,
) -> Response<Body> {
    let dialect = context.dialect;
    let (call, fingerprint, work) = match read(&context, request, work).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    let ticket = context.control.next_ticket();
    let commands = context.control.begin_request(direct_request(&call, ticket, fingerprint), work);
    let mut session = Session {
        context,
        last_event: call.info.last_event_id.clone(),
        is_consecutive: true,
        call: Arc::new(call),
        ticket,
        commands,
        failure: None,
        begun: false,
        events: 0,
        digest: blake3::Hasher::new(),
        has_ended: false,
    };
    match session.start_answer().await {
        Ok(CallerAnswer::Complete(response)) => response.map(full_body),
        Ok(CallerAnswer::Stream(parts, first, events)) => {
            let body = relay(session, first, *events);
            Response::from_parts(*parts, BodyExt::boxed_unsync(StreamBody::new(body)))
        }
        Err(refusal) => {
            (dialect.build_refusal)(&refusal, Some(&session.call.info.id)).map(full_body)
        }
    }
}

/// Reads a request to its end, and computes the fingerprint of path, key and body; returns an error answer
/// where the request is invalid, too large or too slow, or where there is no memory for its body.
async fn read(
    context: &Context,
    request: Request<Incoming>,
    work: Work,
) -> Result<(ReceivedRequest, Fingerprint, Work), Response<Body>> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let mut info = (context.dialect.read_request)(&head)
        .map_err(|message| text_response(StatusCode::BAD_REQUEST, &message))?;
    let (body, work) = read_body(context, &head, &info, body, work).await?;
    info.remaining_time = info.remaining_time.map(|time| time.saturating_sub(arrived.elapsed()));
    let key = info.api_key.as_deref().unwrap_or_default();
    let fingerprint = id::fingerprint(&[head.uri.path().as_bytes(), key.as_bytes(), &body]);
    Ok((ReceivedRequest { head, body, info }, fingerprint, work))
}

/// Reads the body of a request once there is memory for it.
async fn read_body(
    context: &Context,
    head: &request::Parts,
    info: &RequestInfo,
    mut body: Incoming,
    work: Work,
) -> Result<(Bytes, Work), Response<Body>> {
    let max_bytes =
        context.control.configuration().map_or(DEFAULT_MAX_BODY_BYTES, |plan| plan.max_body_bytes);
    let too_large = || {
        let message = format!("the body is larger than {max_bytes} bytes");
        text_response(StatusCode::PAYLOAD_TOO_LARGE, &message)
    };
    let size = bodies::stated_size(&body);
    if size.is_some_and(|size| size > max_bytes) {
        return Err(too_large());
    }
    let started = Instant::now();
    let (reserved, work) = reserve(context, info, size, work).await;
    let received = match reserved {
        Some(charge) => {
            let received = bodies::read(&context.bodies, &mut body, max_bytes, charge);
            timeout(BODY_TIMEOUT, received).await
        }
        None => Ok(Err(bodies::Error::NoMemory)),
    };
    match received {
        Ok(Ok(body)) => Ok((body, work)),
        Ok(Err(bodies::Error::TooLarge)) => Err(too_large()),
        Ok(Err(bodies::Error::BrokenOff)) => {
            Err(text_response(StatusCode::BAD_REQUEST, "the body broke off"))
        }
        Ok(Err(bodies::Error::NoMemory)) => {
            let wait = MemoryWait { body_bytes: size, waited: started.elapsed() };
            let refusal = refuse_for_memory(context, info, wait);
            // A caller that expects a permission to send its body hasn't sent it.
            if !head.headers.contains_key(header::EXPECT) {
                discard(body, max_bytes).await;
            }
            Err(refusal)
        }
        Err(_) => Err(text_response(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}

/// Reserves memory for a body of the size that its caller states, if any. The wait for it isn't work of this host.
async fn reserve(
    context: &Context,
    info: &RequestInfo,
    size: Option<usize>,
    work: Work,
) -> (Option<Charge>, Work) {
    let bytes = size.unwrap_or_default();
    if let Some(charge) = context.bodies.try_reserve(bytes) {
        return (Some(charge), work);
    }
    let admission = work.suspend();
    let started = Instant::now();
    let patience = info
        .remaining_time
        .map_or(MAX_MEMORY_WAIT, |time| (time / MEMORY_WAIT_DIVISOR).min(MAX_MEMORY_WAIT));
    let reserved = context.bodies.reserve(bytes, patience).await;
    if reserved.is_some() {
        let wait = MemoryWait { body_bytes: size, waited: started.elapsed() };
        record::log_memory_wait(&info.id, wait, None, &context.metrics);
    }
    (reserved, admission.begin(Instant::now()))
}

/// Logs and counts the refusal of a request that there is no memory for; returns the answer.
fn refuse_for_memory(context: &Context, info: &RequestInfo, wait: MemoryWait) -> Response<Body> {
    let refusal = Refusal {
        reason: RefusalReason::NoMemory,
        not_run: true,
        retry_after: Some(MEMORY_RETRY_DELAY),
        shortage: None,
    };
    context.metrics.count_refusal(record::reason_name(refusal.reason));
    record::log_memory_wait(&info.id, wait, Some(&refusal), &context.metrics);
    (context.dialect.build_refusal)(&refusal, Some(&info.id)).map(full_body)
}

/// Reads a body without keeping it. Many callers read no answer before they have sent their request, and a connection
/// that is closed with unread bytes is reset.
async fn discard(body: Incoming, max_bytes: usize) {
    let mut body = Limited::new(body, max_bytes);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // The answer is sent also to a caller that is slow.
    let _ = timeout(BODY_TIMEOUT, read).await;
}

/// Builds the request for the reducer.
fn direct_request(
    call: &ReceivedRequest,
    ticket: Ticket,
    fingerprint: Fingerprint,
) -> direct::Request {
    let first_attempt = call.info.first_attempt.as_ref().unwrap_or(&call.info.id);
    let hash = blake3::hash(first_attempt.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    direct::Request {
        ticket,
        id: call.info.id.clone(),
        host: call.info.host.clone(),
        path: call.head.uri.path().to_owned(),
        api_key: call.info.api_key.clone(),
        timeout: call.info.remaining_time,
        tokens: call.info.tokens,
        expected_tokens: call.info.expected_tokens,
        shared_parts: call.info.shared_parts.clone(),
        resumption: resumption(&call.info),
        fingerprint,
        spread: u64::from_le_bytes(bytes),
    }
}

/// Returns what the caller states of the stream that its request resumes; `None` where the request begins an
/// answer.
fn resumption(info: &RequestInfo) -> Option<Resumption> {
    let is_resumed = info.last_event_id.is_some() || info.first_attempt.is_some();
    is_resumed.then(|| Resumption { first_attempt: info.first_attempt.clone() })
}

impl Session {
    /// Carries out dispatches until an answer is complete or the first event of a stream is received;
    /// returns a refusal where there is no answer of a target.
    async fn start_answer(&mut self) -> Result<CallerAnswer, Refusal> {
        loop {
            let dispatch = match self.next_dispatch().await {
                Ok(dispatch) => dispatch,
                Err(Some(refusal)) => return Err(refusal),
                Err(None) => return self.failure.take().map(CallerAnswer::Complete).ok_or(LOST),
            };
            match self.send(&dispatch).await {
                Ok(TargetAnswer::Plain(unread)) => match self.read(&dispatch, unread).await {
                    Ok(response) => {
                        self.report_answer_began();
                        self.digest.update(response.body());
                        self.report_end(Outcome::Completed);
                        return Ok(CallerAnswer::Complete(response));
                    }
                    Err(outcome) => self.report_end(outcome),
                },
                Ok(TargetAnswer::Failure(unread)) => match self.read(&dispatch, unread).await {
                    Ok(response) => {
                        self.failure = Some(response);
                        self.report_end(Outcome::Failed);
                    }
                    Err(outcome) => self.report_end(outcome),
                },
                Ok(TargetAnswer::Stream(parts, mut events)) => match self.next(&mut events).await {
                    Ok(Some(first)) => {
                        let place = self.place(&first, &events);
                        if place == Place::Unknown && events.is_continuation {
                            self.report_end(Outcome::Incomplete { crashed: false });
                            continue;
                        }
                        self.report_answer_began();
                        return Ok(CallerAnswer::Stream(parts, first, events));
                    }
                    // What the first target sent before its loss is missing.
                    Ok(None) if events.is_continuation => {
                        self.report_end(Outcome::Incomplete { crashed: false });
                    }
                    Ok(None) => {
                        self.report_end(Outcome::Completed);
                        return Ok(CallerAnswer::Complete(Response::from_parts(
                            *parts,
                            Bytes::new(),
                        )));
                    }
                    Err(outcome) => self.report_end(outcome),
                },
                Err(outcome) => self.report_end(outcome),
            }
        }
    }

    /// Waits until the request is dispatched again after its stream ended incomplete; returns the events of
    /// that dispatch, or an error where the stream can't be resumed.
    async fn resume(&mut self) -> Result<Box<EventStream>, Broken> {
        loop {
            let dispatch = self.next_dispatch().await.map_err(|_| Broken)?;
            match self.send(&dispatch).await {
                Ok(TargetAnswer::Stream(_, events)) => return Ok(events),
                Ok(_) => self.report_end(Outcome::Incomplete { crashed: false }),
                Err(outcome) => self.report_end(outcome),
            }
        }
    }

    /// Waits for the next dispatch. Returns the refusal as an error where the request is refused, or
    /// `Err(None)` where the last error answer of a target has to be passed on.
    async fn next_dispatch(&mut self) -> Result<Dispatch, Option<Refusal>> {
        loop {
            match self.commands.recv().await {
                Some(Command::Dispatch(dispatch)) => return Ok(dispatch),
                // The dispatch ended before the command to cancel it was received.
                Some(Command::CancelDispatch) => {}
                Some(Command::Refuse(refusal)) => {
                    self.has_ended = true;
                    return Err(Some(refusal));
                }
                Some(Command::PassFailure) => {
                    self.has_ended = true;
                    return Err(None);
                }
                None => return Err(Some(LOST)),
            }
        }
    }

    /// Sends the request to the target of a dispatch and waits for the head of the answer.
    async fn send(&mut self, dispatch: &Dispatch) -> Result<TargetAnswer, Outcome> {
        let (context, call, last_event) =
            (Arc::clone(&self.context), Arc::clone(&self.call), self.last_event.clone());
        let Context { control, client, dialect, .. } = &*context;
        let ticket = self.ticket;
        let on_notice = |notice: Notice| {
            if let Some(per_second) = notice.rate_limit {
                control.send(Event::RateLimitStated { ticket, per_second });
            }
            if notice.is_leaving {
                control.send(Event::LeavingStated { ticket });
            }
            if let Some(time) = notice.rest {
                control.send(Event::RestStated { ticket, time });
            }
        };
        let sent =
            dispatch::send(client, dialect, &call, dispatch, last_event.as_deref(), on_notice);
        let answer = self.wait_for_target(dispatch.unresponsive_timeout, sent).await?;
        drop(call);
        if dispatch.unresponsive_timeout.is_none() {
            self.release_body();
        }
        if answer.is_unframed() {
            control.send(Event::AnswerUnframed { ticket });
        }
        Ok(answer)
    }

    /// Drops the body of the request, which isn't sent again. What the current dispatch has still to send is kept
    /// until it is sent.
    fn release_body(&mut self) {
        if let Some(call) = Arc::get_mut(&mut self.call) {
            call.body = Bytes::new();
        }
    }

    async fn read(
        &mut self,
        dispatch: &Dispatch,
        unread: UnreadAnswer,
    ) -> Result<Response<Bytes>, Outcome> {
        self.wait_for_target(dispatch.unresponsive_timeout, unread.read()).await
    }

    async fn next(&mut self, events: &mut EventStream) -> Result<Option<StreamEvent>, Outcome> {
        self.wait_for_target(events.unresponsive_timeout, events.next()).await
    }

    /// Waits for data from a target. Each time `unresponsive_timeout` passes without data, the control thread
    /// is informed; the wait continues until the control thread cancels the dispatch, since another target
    /// has a slot. Without `unresponsive_timeout` only the deadline limits the wait.
    async fn wait_for_target<T>(
        &mut self,
        unresponsive_timeout: Option<Duration>,
        received: impl Future<Output = Result<T, Outcome>>,
    ) -> Result<T, Outcome> {
        let mut received = pin!(received);
        let (ticket, begun) = (self.ticket, self.begun);
        let mut is_unresponsive = false;
        loop {
            select! {
                biased;
                // No other command is sent before the dispatch has ended.
                Some(Command::CancelDispatch) = self.commands.recv() => {
                    return Err(Outcome::Unresponsive);
                }
                received = &mut received => {
                    if is_unresponsive && received.is_ok() {
                        self.context.control.send(Event::TargetResumed { ticket });
                    }
                    return received;
                }
                () = sleep(unresponsive_timeout.unwrap_or_default()),
                    if unresponsive_timeout.is_some() =>
                {
                    is_unresponsive = true;
                    self.context.control.send(Event::TargetUnresponsive { ticket, begun });
                }
            }
        }
    }

    /// Returns the place of an event of a dispatch.
    fn place(&self, event: &StreamEvent, events: &EventStream) -> Place {
        let place = place_of(self.last_event.as_deref(), event.id.as_deref());
        if !events.is_continuation || place == Place::Unknown {
            return place;
        }
        // The rest of a run comes in its order and leaves out no event that its caller doesn't have.
        let (id, last) = (number(event.id.as_deref()), number(self.last_event.as_deref()));
        let is_increasing = id > events.reached;
        let is_adjacent = id <= last.map_or(Some(1), |last| last.checked_add(1));
        let follows = is_increasing && (is_adjacent || (last.is_some() && !self.is_consecutive));
        if follows { place } else { Place::Unknown }
    }

    /// Adds an event that is passed to the caller.
    fn add_event(&mut self, event: &StreamEvent) {
        self.begun = true;
        self.digest.update(&event.bytes);
        self.events += 1;
        if event.id.is_some() {
            let last = number(self.last_event.as_deref());
            let follows = last.and_then(|last| last.checked_add(1));
            self.is_consecutive &= last.is_none() || number(event.id.as_deref()) == follows;
            self.last_event.clone_from(&event.id);
        }
    }

    fn report_answer_began(&self) {
        self.context.control.send(Event::AnswerBegan { ticket: self.ticket });
    }

    /// Informs the control thread that the dispatch in flight ended, and resets the count of its events.
    fn report_end(&mut self, outcome: Outcome) {
        self.has_ended = outcome == Outcome::Completed;
        if self.has_ended {
            let digest = evidence::record::answer_digest(&self.digest.finalize());
            self.context.control.set_answer_digest(self.ticket, digest);
        }
        let (ticket, begun) = (self.ticket, self.begun);
        let events = std::mem::take(&mut self.events);
        self.context.control.send(Event::DispatchEnded { ticket, outcome, begun, events });
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if !self.has_ended {
            self.context
                .control
                .send(Event::CallerDisconnected { ticket: self.ticket, events: self.events });
        }
    }
}

/// Passes complete events on to the caller. Where a dispatch ends before its stream does, the events of the
/// next dispatch follow; the stream ends with an error where it can't be resumed.
fn relay(
    mut session: Session,
    first: StreamEvent,
    mut events: EventStream,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Broken>> {
    try_stream! {
        let mut next = Ok(Some(first));
        loop {
            match next {
                Ok(Some(event)) => {
                    let place = session.place(&event, &events);
                    if place == Place::Unknown && events.is_continuation {
                        // The event may be one that the caller has, or one may be missing before it.
                        next = Err(Outcome::Incomplete { crashed: false });
                        continue;
                    }
                    events.reached = number(event.id.as_deref());
                    if place != Place::Next && events.has_copy && !events.is_continuation {
                        let ticket = session.ticket;
                        session.context.control.send(Event::StreamUnordered { ticket });
                        // One report is enough.
                        events.has_copy = false;
                    }
                    if place != Place::Repeated {
                        session.add_event(&event);
                        yield Frame::data(event.bytes);
                    }
                }
                Ok(None) if events.is_continuation && events.reached.is_some()
                    && events.reached < number(session.last_event.as_deref()) =>
                {
                    // The rest of the run ended before the last event that the caller has.
                    next = Err(Outcome::Incomplete { crashed: false });
                    continue;
                }
                Ok(None) => {
                    session.report_end(Outcome::Completed);
                    break;
                }
                Err(outcome) => {
                    drop(events);
                    session.report_end(outcome);
                    events = *session.resume().await?;
                }
            }
            next = session.next(&mut events).await;
        }
    }
}

/// Place of an event in a stream after the events that were passed to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// The event follows the last one.
    Next,
    /// The event was passed to the caller before.
    Repeated,
    /// The ID of the event, or of the last one, is missing or isn't a number.
    Unknown,
}

/// Returns the place of an event with the given ID, where `last` is the ID of the last event that was passed to
/// the caller. IDs are numbers that increase within a stream.
fn place_of(last: Option<&str>, id: Option<&str>) -> Place {
    match (last.map(|last| number(Some(last))), number(id)) {
        (None, Some(_)) => Place::Next,
        (Some(Some(last)), Some(id)) if id > last => Place::Next,
        (Some(Some(_)), Some(_)) => Place::Repeated,
        (Some(None), Some(_)) | (_, None) => Place::Unknown,
    }
}

/// Returns the number that an ID is; `None` where it is missing or isn't a number.
fn number(id: Option<&str>) -> Option<u64> {
    id.and_then(|id| id.parse().ok())
}

/// Refusal of a request that may have run and for which there is neither an answer nor another refusal.
const LOST: Refusal =
    Refusal { reason: RefusalReason::Lost, not_run: false, retry_after: None, shortage: None };

/// Returns a body with these bytes.
fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Builds an error answer with a message for the caller.
fn text_response(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::from(format!("{message}\n"))));
    *response.status_mut() = status;
    response
}
