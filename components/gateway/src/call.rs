//! The life of one caller's request.

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use async_stream::try_stream;
use bytes::Bytes;
use http::{Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use model::id::{self, Fingerprint};
use scheduler::direct::{self, Dispatch, Event, Outcome, Refusal, RefusalReason, Ticket};
use tokio::{
    select,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    Body, Broken, Call, Dialect,
    control::{self, Order},
    dispatch::{self, Events, Opened, Targets, Unread},
    events::Piece,
    ingress::Open,
};

/// Longest time for which a body is read.
const BODY_WAIT: Duration = Duration::from_secs(10);
/// Largest body before the configuration says it, in bytes.
const BODY_MAX: usize = 4 << 20;

/// What all requests share.
pub struct Context {
    /// The control thread.
    pub control: control::Handle,
    /// How requests and answers are spelled.
    pub dialect: Dialect,
    /// Connections to targets.
    pub targets: Targets,
}

/// A request that the control thread knows; dropping it before its end tells that the caller left.
struct Session {
    context: Arc<Context>,
    call: Arc<Call>,
    ticket: Ticket,
    orders: mpsc::UnboundedReceiver<Order>,
    /// The failure that a target answered with last.
    failure: Option<Response<Bytes>>,
    /// The last event that went to the caller.
    last: Option<String>,
    /// Whether any event went to the caller.
    begun: bool,
    /// Events of the dispatch that hasn't ended.
    events: u32,
    /// Hash over what goes to the caller.
    digest: blake3::Hasher,
    ended: bool,
    _open: Open,
}

enum Head {
    Whole(Response<Bytes>),
    Stream(Box<response::Parts>, Piece, Box<Events>),
}

/// Answers a request.
pub async fn serve(
    context: Arc<Context>,
    request: Request<Incoming>,
    open: Open,
) -> Response<Body> {
    let dialect = context.dialect;
    let (call, fingerprint) = match read(&context, request).await {
        Ok(call) => call,
        Err(response) => return response,
    };
    let ticket = context.control.ticket();
    let orders = context.control.arrive(ask(&call, ticket, fingerprint));
    let mut session = Session {
        context,
        last: call.ask.last_event.clone(),
        call: Arc::new(call),
        ticket,
        orders,
        failure: None,
        begun: false,
        events: 0,
        digest: blake3::Hasher::new(),
        ended: false,
        _open: open,
    };
    match session.head().await {
        Ok(Head::Whole(response)) => response.map(full),
        Ok(Head::Stream(parts, first, events)) => {
            let body = relay(session, first, *events);
            Response::from_parts(*parts, BodyExt::boxed_unsync(StreamBody::new(body)))
        }
        Err(refusal) => (dialect.refuse)(&refusal, Some(&session.call.ask.id)).map(full),
    }
}

async fn read(
    context: &Context,
    request: Request<Incoming>,
) -> Result<(Call, Fingerprint), Response<Body>> {
    let (head, body) = request.into_parts();
    let ask = (context.dialect.read)(&head)
        .map_err(|message| plain(StatusCode::BAD_REQUEST, &message))?;
    let most = context.control.plan().map_or(BODY_MAX, |plan| plan.max_body_bytes);
    let body = match timeout(BODY_WAIT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is larger than {most} bytes");
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, &message));
        }
        Ok(Err(_)) => return Err(plain(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    };
    let key = ask.key.as_deref().unwrap_or_default();
    let fingerprint = id::fingerprint(&[head.uri.path().as_bytes(), key.as_bytes(), &body]);
    Ok((Call { head, body, ask }, fingerprint))
}

fn ask(call: &Call, ticket: Ticket, fingerprint: Fingerprint) -> direct::Request {
    let hash = blake3::hash(call.ask.id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    direct::Request {
        ticket,
        id: call.ask.id.clone(),
        host: call.ask.host.clone(),
        path: call.head.uri.path().to_owned(),
        api_key: call.ask.key.clone(),
        timeout: call.ask.patience,
        tokens: call.ask.tokens,
        expected_tokens: call.ask.expected,
        fingerprint,
        spread: u64::from_le_bytes(bytes),
    }
}

impl Session {
    /// Waits and dispatches until there is something to tell the caller.
    async fn head(&mut self) -> Result<Head, Refusal> {
        loop {
            let dispatch = match self.order().await {
                Ok(dispatch) => dispatch,
                Err(Some(refusal)) => return Err(refusal),
                Err(None) => return self.failure.take().map(Head::Whole).ok_or(LOST),
            };
            match self.send(&dispatch).await {
                Ok(Opened::Whole(unread)) => match self.read(&dispatch, unread).await {
                    Ok(response) => {
                        self.began();
                        self.digest.update(response.body());
                        self.report(Outcome::Completed);
                        return Ok(Head::Whole(response));
                    }
                    Err(outcome) => self.report(outcome),
                },
                Ok(Opened::Failure(unread)) => match self.read(&dispatch, unread).await {
                    Ok(response) => {
                        self.failure = Some(response);
                        self.report(Outcome::Failed);
                    }
                    Err(outcome) => self.report(outcome),
                },
                Ok(Opened::Stream(parts, mut events)) => match self.next(&mut events).await {
                    Ok(Some(piece)) => {
                        self.began();
                        return Ok(Head::Stream(parts, piece, events));
                    }
                    Ok(None) => {
                        self.report(Outcome::Completed);
                        return Ok(Head::Whole(Response::from_parts(*parts, Bytes::new())));
                    }
                    Err(outcome) => self.report(outcome),
                },
                Err(outcome) => self.report(outcome),
            }
        }
    }

    /// Waits for a new dispatch of a stream that broke off.
    async fn resume(&mut self) -> Result<Box<Events>, Broken> {
        loop {
            let dispatch = self.order().await.map_err(|_| Broken)?;
            match self.send(&dispatch).await {
                Ok(Opened::Stream(_, events)) => return Ok(events),
                Ok(_) => self.report(Outcome::Incomplete { crashed: false }),
                Err(outcome) => self.report(outcome),
            }
        }
    }

    /// The next dispatch; else the refusal, or nothing where the last failure is to be passed on.
    async fn order(&mut self) -> Result<Dispatch, Option<Refusal>> {
        loop {
            match self.orders.recv().await {
                Some(Order::Start(dispatch)) => return Ok(dispatch),
                // The target that it was to leave ended first.
                Some(Order::Leave) => {}
                Some(Order::Refuse(refusal)) => {
                    self.ended = true;
                    return Err(Some(refusal));
                }
                Some(Order::Pass) => {
                    self.ended = true;
                    return Err(None);
                }
                None => return Err(Some(LOST)),
            }
        }
    }

    async fn send(&mut self, dispatch: &Dispatch) -> Result<Opened, Outcome> {
        let (context, call, last) =
            (Arc::clone(&self.context), Arc::clone(&self.call), self.last.clone());
        let Context { control, targets, dialect } = &*context;
        let ticket = self.ticket;
        let limited = |per_second| control.send(Event::RateLimitStated { ticket, per_second });
        let sent = dispatch::send(targets, dialect, &call, dispatch, last.as_deref(), limited);
        self.listen(dispatch.unresponsive_timeout, sent).await
    }

    async fn read(
        &mut self,
        dispatch: &Dispatch,
        unread: Unread,
    ) -> Result<Response<Bytes>, Outcome> {
        self.listen(dispatch.unresponsive_timeout, unread.read()).await
    }

    async fn next(&mut self, events: &mut Events) -> Result<Option<Piece>, Outcome> {
        self.listen(events.silence, events.next()).await
    }

    /// Waits for a target. Tells when it is silent, and goes on to listen until another has room.
    async fn listen<T>(
        &mut self,
        silence: Option<Duration>,
        heard: impl Future<Output = Result<T, Outcome>>,
    ) -> Result<T, Outcome> {
        let mut heard = pin!(heard);
        let (ticket, begun) = (self.ticket, self.begun);
        let mut quiet = false;
        loop {
            select! {
                biased;
                // No other order comes before the dispatch has ended.
                Some(Order::Leave) = self.orders.recv() => return Err(Outcome::Unresponsive),
                heard = &mut heard => {
                    if quiet && heard.is_ok() {
                        self.context.control.send(Event::TargetResumed { ticket });
                    }
                    return heard;
                }
                () = sleep(silence.unwrap_or_default()), if silence.is_some() => {
                    quiet = true;
                    self.context.control.send(Event::TargetUnresponsive { ticket, begun });
                }
            }
        }
    }

    fn began(&self) {
        self.context.control.send(Event::AnswerBegan { ticket: self.ticket });
    }

    fn report(&mut self, outcome: Outcome) {
        self.ended = outcome == Outcome::Completed;
        if self.ended {
            let digest = evidence::record::answer_digest(&self.digest.finalize());
            self.context.control.answered(self.ticket, digest);
        }
        let (ticket, begun) = (self.ticket, self.begun);
        let events = std::mem::take(&mut self.events);
        self.context.control.send(Event::DispatchEnded { ticket, outcome, begun, events });
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if !self.ended {
            self.context
                .control
                .send(Event::CallerDisconnected { ticket: self.ticket, events: self.events });
        }
    }
}

/// Passes whole events on, from one target after another where the stream may be resumed.
fn relay(
    mut session: Session,
    first: Piece,
    mut events: Events,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Broken>> {
    try_stream! {
        let mut next = Ok(Some(first));
        loop {
            match next {
                Ok(Some(piece)) => {
                    if is_new(session.last.as_deref(), piece.id.as_deref()) {
                        session.begun = true;
                        session.digest.update(&piece.bytes);
                        session.events += 1;
                        if piece.id.is_some() {
                            session.last = piece.id;
                        }
                        yield Frame::data(piece.bytes);
                    }
                }
                Ok(None) => {
                    session.report(Outcome::Completed);
                    break;
                }
                Err(outcome) => {
                    drop(events);
                    session.report(outcome);
                    events = *session.resume().await?;
                }
            }
            next = session.next(&mut events).await;
        }
    }
}

/// Whether an event hasn't been passed on yet. Ids grow within a stream.
fn is_new(last: Option<&str>, id: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    match (number(last), number(id)) {
        (Some(last), Some(id)) => id > last,
        _ => true,
    }
}

const LOST: Refusal =
    Refusal { reason: RefusalReason::Lost, not_run: false, retry_after: None, shortage: None };

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn plain(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from(format!("{message}\n"))));
    *response.status_mut() = status;
    response
}
