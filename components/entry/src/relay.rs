//! Sends a body to the agent that granted, and reads the frames of the answer.

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

/// Headers of a caller that its target gets to see.
static FORWARDED: [header::HeaderName; 3] =
    [header::ACCEPT, header::CONTENT_TYPE, header::HeaderName::from_static("idempotency-key")];

/// What the target is sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers of the caller that the target gets to see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why no answer was opened.
#[derive(Debug)]
pub enum Error {
    /// The request provably did not start, and won't under this reservation.
    NotStarted {
        /// Whether the agent or its target took no connection.
        unreachable: bool,
    },
    /// It may have started: the caller is told so.
    Lost(Refusal),
}

/// An answer whose head has come.
pub struct Opened {
    /// Status of the target's answer.
    pub status: StatusCode,
    /// Its content type.
    pub content_type: String,
    frames: Frames,
}

struct Frames {
    body: Incoming,
    reader: frame::Reader,
    answer: Answer,
    /// Pieces in order that weren't asked for yet.
    ready: std::collections::VecDeque<Piece>,
    due: Instant,
}

/// Query of the agent's start endpoint.
#[derive(Serialize)]
struct Query<'a> {
    request: String,
    attempt: u32,
    method: &'a str,
    path: &'a str,
}

/// Sends bodies to agents.
pub struct Relay {
    http: Client<HttpConnector, Full<Bytes>>,
    agents: Arc<Agents>,
}

/// Gives a relay without connections.
pub fn open(connect: Duration, agents: Arc<Agents>) -> Relay {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect));
    // A pooled connection that turns out closed before a byte was written is replaced. Were the
    // start sent twice in spite of that, its agent would start the reservation once.
    let http = Client::builder(TokioExecutor::new()).retry_canceled_requests(true).build(connector);
    Relay { http, agents }
}

/// The headers of a caller that its target gets to see.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let kept = FORWARDED.iter().filter_map(|name| Some((name.clone(), headers.get(name)?.clone())));
    kept.collect()
}

impl Relay {
    /// Starts a granted request and waits for the head of its answer.
    pub async fn start(&self, start: &Start, outgoing: &Outgoing) -> Result<Opened, Error> {
        let due = Instant::now() + start.remaining;
        let sent = timeout_at(due.into(), self.http.request(request(start, outgoing))).await;
        let response = match sent {
            Err(_) => return Err(self.settle(start, late()).await),
            Ok(Err(error)) if error.is_connect() => {
                return Err(Error::NotStarted { unreachable: true });
            }
            Ok(Err(error)) => {
                warn!(request = %start.id.request, %error, "the start had no answer");
                return Err(self.settle(start, lost()).await);
            }
            Ok(Ok(response)) => response,
        };
        match response.status() {
            StatusCode::OK => open_answer(start, due, response.into_body()).await,
            StatusCode::CONFLICT => Err(denied(response.into_body()).await),
            _ => Err(self.settle(start, lost()).await),
        }
    }

    /// Asks the agent whether the reservation started; tombstones it where it didn't.
    async fn settle(&self, start: &Start, otherwise: Refusal) -> Error {
        match self.agents.settle(start.control, start.id).await {
            // The way to the agent is at fault: another target comes first.
            Ok(fate) if fate.never_starts() => Error::NotStarted { unreachable: true },
            _ => Error::Lost(otherwise),
        }
    }
}

impl Opened {
    /// Whether the target streams events.
    pub fn is_event_stream(&self) -> bool {
        self.content_type.starts_with("text/event-stream")
    }

    /// Hash over the answer as far as it came.
    pub fn digest(&self) -> AnswerDigest {
        record::answer_digest(&self.frames.answer.hash())
    }

    /// The next piece of the answer; the last one is `Piece::Whole`.
    pub async fn next(&mut self) -> Result<Piece, Refusal> {
        self.frames.next().await
    }
}

impl Frames {
    async fn next(&mut self) -> Result<Piece, Refusal> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Ok(piece);
            }
            let Ok(read) = timeout_at(self.due.into(), self.body.frame()).await else {
                return Err(late());
            };
            let bytes = match read {
                None => return Err(torn("the answer ended before its end")),
                Some(Err(_)) => return Err(torn("the connection to the agent was cut")),
                Some(Ok(read)) => read.into_data().unwrap_or_default(),
            };
            self.take(&bytes)?;
        }
    }

    fn take(&mut self, bytes: &Bytes) -> Result<(), Refusal> {
        self.reader.push(bytes);
        while let Some(frame) = self.reader.pull().map_err(|error| torn(&error.to_string()))? {
            let pieces = self.answer.push(frame).map_err(refusal)?;
            self.ready.extend(pieces);
        }
        Ok(())
    }
}

async fn open_answer(start: &Start, due: Instant, body: Incoming) -> Result<Opened, Error> {
    let answer = answer::open(start.id.request);
    let mut frames =
        Frames { body, reader: frame::reader(), answer, ready: Default::default(), due };
    match frames.next().await {
        Ok(Piece::Head { status, content_type }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Ok(Opened { status, content_type, frames })
        }
        Ok(_) => Err(Error::Lost(torn("the answer has no head"))),
        Err(refusal) if refusal.ran == Ran::NotRun => Err(Error::NotStarted { unreachable: true }),
        Err(refusal) => Err(Error::Lost(refusal)),
    }
}

/// What a denied start means: only an ended reservation proves that nothing ran.
async fn denied(body: Incoming) -> Error {
    let fate = match body.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Fate::Unknown),
        Err(_) => Fate::Unknown,
    };
    match fate.never_starts() {
        true => Error::NotStarted { unreachable: false },
        false => Error::Lost(lost()),
    }
}

fn request(start: &Start, outgoing: &Outgoing) -> http::Request<Full<Bytes>> {
    let query = Query {
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

fn refusal(torn: Torn) -> Refusal {
    match torn {
        Torn::Failed { ran, message } => Refusal::new(Reason::TargetLost, ran, message),
        // Only after the head can these be found, and the head shows that it ran.
        Torn::Count | Torn::Digest | Torn::AfterEnd => {
            Refusal::new(Reason::TornAnswer, Ran::Yes, torn.to_string())
        }
        Torn::Crossed(_) | Torn::Headless | Torn::Gap => self::torn(&torn.to_string()),
    }
}

fn torn(message: &str) -> Refusal {
    Refusal::new(Reason::TornAnswer, Ran::MayHaveRun, message)
}

fn late() -> Refusal {
    Refusal::new(Reason::Deadline, Ran::MayHaveRun, "the deadline passed while it ran")
}

fn lost() -> Refusal {
    let message = "the agent was lost after the start; the request may have run";
    Refusal::new(Reason::TargetLost, Ran::MayHaveRun, message)
}
