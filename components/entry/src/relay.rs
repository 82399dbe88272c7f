//! Sends a request body to the agent that granted a reservation for it, and decodes the frames of
//! the answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use evidence::record::{self, AnswerDigest};
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use model::{
    Refusal,
    refusal::{Ran, Reason},
    reservation::Fate,
};
use scheduler::entry::Start;
use serde::Serialize;
use tokio::time::timeout_at;
use tracing::warn;
use wire::{
    answer::{self, Answer, Piece, Torn},
    frame,
};

use crate::agents::Agents;

/// Headers of the caller's request that are forwarded to the target.
static FORWARDED_HEADERS: [header::HeaderName; 3] =
    [header::ACCEPT, header::CONTENT_TYPE, header::HeaderName::from_static("idempotency-key")];

/// The request that is sent to the target.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query of the request at the target.
    pub path: String,
    /// Headers of the caller's request that are forwarded.
    pub headers: HeaderMap,
    /// Body of the caller's request, unchanged.
    pub body: Bytes,
}

/// Why a start has no answer that can be relayed.
#[derive(Debug)]
pub enum Error {
    /// The request provably did not start, and can't start any more under this reservation.
    NotStarted {
        /// Whether the agent or its target accepted no connection.
        unreachable: bool,
    },
    /// The request may have started, or did; the refusal goes to the caller and says which.
    Lost(Refusal),
}

/// An answer whose head was received; the content follows in pieces.
pub struct Opened {
    /// HTTP status of the target's answer.
    pub status: StatusCode,
    /// Content type of the target's answer.
    pub content_type: String,
    frames: Frames,
}

/// Decoder of an answer's frames.
struct Frames {
    body: Incoming,
    reader: frame::Reader,
    answer: Answer,
    /// Decoded pieces that weren't returned yet, in order.
    unread: std::collections::VecDeque<Piece>,
    deadline: Instant,
}

/// Query string of the agent's start endpoint.
#[derive(Serialize)]
struct StartQuery<'a> {
    request: String,
    attempt: u32,
    method: &'a str,
    path: &'a str,
}

/// Client that sends starts to agents over pooled connections.
pub struct Relay {
    http: Client<HttpConnector, Full<Bytes>>,
    agents: Arc<Agents>,
}

/// Returns a relay that has no connections yet; `connect` is the timeout for opening one.
pub fn open(connect: Duration, agents: Arc<Agents>) -> Relay {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect));
    // The client retries on a new connection when a pooled one turns out to be closed before a
    // byte was written. If a start were sent twice nevertheless, the agent would start the
    // reservation once.
    let http = Client::builder(TokioExecutor::new()).retry_canceled_requests(true).build(connector);
    Relay { http, agents }
}

/// Returns the headers of a caller's request that are forwarded to the target.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let kept = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
    kept.collect()
}

impl Relay {
    /// Sends a granted request to its agent and waits for the head of the answer, up to the
    /// request's deadline.
    pub async fn start(&self, start: &Start, outgoing: &Outgoing) -> Result<Opened, Error> {
        let deadline = Instant::now() + start.remaining;
        let sent =
            timeout_at(deadline.into(), self.http.request(start_request(start, outgoing))).await;
        let response = match sent {
            Err(_) => return Err(self.settle_start(start, deadline_passed()).await),
            Ok(Err(error)) if error.is_connect() => {
                return Err(Error::NotStarted { unreachable: true });
            }
            Ok(Err(error)) => {
                warn!(request = %start.id.request, %error, "the agent did not answer the start");
                return Err(self.settle_start(start, agent_lost()).await);
            }
            Ok(Ok(response)) => response,
        };
        match response.status() {
            StatusCode::OK => open_answer(start, deadline, response.into_body()).await,
            StatusCode::CONFLICT => Err(denied_start(response.into_body()).await),
            _ => Err(self.settle_start(start, agent_lost()).await),
        }
    }

    /// Asks the agent whether the reservation started, which also keeps one that hasn't started
    /// from ever starting. Returns the refusal `otherwise` unless the request provably never runs.
    async fn settle_start(&self, start: &Start, otherwise: Refusal) -> Error {
        match self.agents.settle(start.control, start.id).await {
            // The connection to the agent failed, so that other targets are preferred.
            Ok(fate) if fate.never_starts() => Error::NotStarted { unreachable: true },
            _ => Error::Lost(otherwise),
        }
    }
}

impl Opened {
    /// Returns whether the target streams events.
    pub fn is_event_stream(&self) -> bool {
        self.content_type.starts_with("text/event-stream")
    }

    /// Returns the digest of the part of the answer that was received so far.
    pub fn digest(&self) -> AnswerDigest {
        record::answer_digest(&self.frames.answer.hash())
    }

    /// Waits for the next piece of the answer; the last one is `Piece::Whole`.
    pub async fn next(&mut self) -> Result<Piece, Refusal> {
        self.frames.next().await
    }
}

impl Frames {
    async fn next(&mut self) -> Result<Piece, Refusal> {
        loop {
            if let Some(piece) = self.unread.pop_front() {
                return Ok(piece);
            }
            let Ok(read) = timeout_at(self.deadline.into(), self.body.frame()).await else {
                return Err(deadline_passed());
            };
            let bytes = match read {
                None => return Err(torn_answer("the answer ended before its end")),
                Some(Err(_)) => return Err(torn_answer("the connection to the agent was cut")),
                Some(Ok(read)) => read.into_data().unwrap_or_default(),
            };
            self.decode(&bytes)?;
        }
    }

    fn decode(&mut self, bytes: &Bytes) -> Result<(), Refusal> {
        self.reader.push(bytes);
        while let Some(frame) =
            self.reader.pull().map_err(|error| torn_answer(&error.to_string()))?
        {
            let pieces = self.answer.push(frame).map_err(refusal_for)?;
            self.unread.extend(pieces);
        }
        Ok(())
    }
}

async fn open_answer(start: &Start, deadline: Instant, body: Incoming) -> Result<Opened, Error> {
    let answer = answer::open(start.id.request);
    let mut frames =
        Frames { body, reader: frame::reader(), answer, unread: Default::default(), deadline };
    match frames.next().await {
        Ok(Piece::Head { status, content_type }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Ok(Opened { status, content_type, frames })
        }
        Ok(_) => Err(Error::Lost(torn_answer("the answer has no head"))),
        Err(refusal) if refusal.ran == Ran::NotRun => Err(Error::NotStarted { unreachable: true }),
        Err(refusal) => Err(Error::Lost(refusal)),
    }
}

/// Returns the error for a start that the agent denied. The request provably didn't run only if
/// the reservation's fate, which the agent sends, says that it never starts.
async fn denied_start(body: Incoming) -> Error {
    let fate = match body.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Fate::Unknown),
        Err(_) => Fate::Unknown,
    };
    match fate.never_starts() {
        true => Error::NotStarted { unreachable: false },
        false => Error::Lost(agent_lost()),
    }
}

fn start_request(start: &Start, outgoing: &Outgoing) -> http::Request<Full<Bytes>> {
    let query = StartQuery {
        request: start.id.request.to_string(),
        attempt: start.id.attempt,
        method: outgoing.method.as_str(),
        path: &outgoing.path,
    };
    let query = serde_urlencoded::to_string(&query).expect("the query has plain fields");
    let mut request = http::Request::post(format!("http://{}/start?{query}", start.traffic))
        .body(Full::new(outgoing.body.clone()))
        .expect("the start's address and query are valid");
    request.headers_mut().extend(outgoing.headers.clone());
    request
}

fn refusal_for(torn: Torn) -> Refusal {
    match torn {
        Torn::Failed { ran, message } => Refusal::new(Reason::TargetLost, ran, message),
        // These faults are found only after the head, and the head proves that the request ran.
        Torn::Count | Torn::Digest | Torn::AfterEnd => {
            Refusal::new(Reason::TornAnswer, Ran::Yes, torn.to_string())
        }
        Torn::Crossed(_) | Torn::Headless | Torn::Gap => torn_answer(&torn.to_string()),
    }
}

fn torn_answer(message: &str) -> Refusal {
    Refusal::new(Reason::TornAnswer, Ran::MayHaveRun, message)
}

fn deadline_passed() -> Refusal {
    Refusal::new(Reason::Deadline, Ran::MayHaveRun, "the deadline passed while it ran")
}

fn agent_lost() -> Refusal {
    let message = "the agent was lost after the start; the request may have run";
    Refusal::new(Reason::TargetLost, Ran::MayHaveRun, message)
}
