//! Receives request bodies from entry processes, sends them to the target and streams the answers
//! back.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use evidence::{record, recorder::agent::Finish};
use futures::StreamExt;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{self, Incoming};
use model::{
    id::RequestId,
    refusal::Ran,
    reservation::{Fate, Id},
};
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tracing::{info, warn};
use wire::{
    events::Cutter,
    frame::{self, Frame, Part},
};

use crate::{
    control::{self, Run},
    crashes::CrashDetector,
    engine::{Call, Engine},
};

/// Frames that are buffered for a slow entry process before reading the target's answer pauses.
const FRAME_BUFFER: usize = 64;
/// Largest chunk of one frame, in bytes; must be below `wire::frame::LIMIT`.
const MAX_CHUNK_BYTES: usize = 1 << 20;

/// Largest request body that an agent accepts, in bytes; entry processes have a lower limit.
const MAX_BODY_BYTES: usize = 64 << 20;

/// State that all requests share.
pub struct Context {
    /// Control thread of the agent.
    pub control: control::Handle,
    /// HTTP client of the target.
    pub engine: Engine,
    /// Detects whether a broken connection means that the target died.
    pub crash_detector: CrashDetector,
    /// Metrics of the agent.
    pub metrics: Arc<metrics::Agent>,
}

/// An answer to an entry process.
pub type Answer = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Query of a start request.
#[derive(Deserialize)]
struct Start {
    request: RequestId,
    attempt: u32,
    method: String,
    path: String,
}

/// Writes the frames of one answer. Counts the chunks and hashes their bytes for the last frame.
struct Writer {
    id: Id,
    sequence: u64,
    chunks: u64,
    hasher: blake3::Hasher,
    frames: mpsc::Sender<Bytes>,
}

/// Error of a write to an entry process that has closed its connection.
struct ReaderGone;

/// Answers one request of an entry process: `POST /start?request=..&attempt=..&method=..&path=..`.
pub async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Answer {
    if (request.method(), request.uri().path()) != (&Method::POST, "/start") {
        return text(StatusCode::NOT_FOUND, "only POST /start is served here");
    }
    let query = request.uri().query().unwrap_or_default();
    let start: Start = match serde_urlencoded::from_str(query) {
        Ok(start) => start,
        Err(error) => return text(StatusCode::BAD_REQUEST, &format!("query: {error}")),
    };
    let Ok(method) = Method::from_bytes(start.method.as_bytes()) else {
        return text(StatusCode::BAD_REQUEST, "query.method: no HTTP method");
    };
    let headers = forwarded_headers(request.headers());
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return text(StatusCode::BAD_REQUEST, &format!("body: {error}")),
    };
    let id = Id { request: start.request, attempt: start.attempt };
    let call = Call { method, path: start.path, headers, body };
    // The entry process may disconnect at any moment, which drops this future; a separate task
    // completes the start anyway.
    let started = tokio::spawn(start_run(context, id, call)).await;
    started.unwrap_or_else(|_| text(StatusCode::INTERNAL_SERVER_ERROR, "the start failed"))
}

/// Starts a granted reservation. Returns the stream of frames, or the state of the reservation that
/// forbids the start.
async fn start_run(context: Arc<Context>, id: Id, call: Call) -> Answer {
    let run = match context.control.start(id).await {
        Ok(run) => run,
        Err(fate) => return denied(id, fate),
    };
    info!(request = %id.request, attempt = id.attempt, "dispatched");
    let (sender, frames) = mpsc::channel(FRAME_BUFFER);
    let writer =
        Writer { id, sequence: 0, chunks: 0, hasher: blake3::Hasher::new(), frames: sender };
    tokio::spawn(serve(context, run, call, writer));
    let frames =
        ReceiverStream::new(frames).map(|bytes| Ok::<_, Infallible>(body::Frame::data(bytes)));
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Sends one call to the target and relays its answer. The run ends when this function returns;
/// dropping the body of an unfinished answer cancels the call at the target.
async fn serve(context: Arc<Context>, mut run: Run, call: Call, mut writer: Writer) {
    let request = writer.id.request;
    let relayed = match context.engine.call(call).await {
        Ok(answer) => relay(&context, answer, &mut writer).await,
        Err(error) => {
            warn!(%request, %error, ran = ?error.ran(), "no answer from the target");
            run.finish(Finish { ran: error.ran(), digest: None });
            if error.ran() != Ran::NotRun {
                context.crash_detector.check(writer.id).await;
            }
            writer.fail(error.ran(), &error.to_string()).await
        }
    };
    match relayed {
        Err(ReaderGone) => info!(%request, "cancelled: the entry closed its connection"),
        Ok(Some(Incomplete)) => {
            context.metrics.torn_answers.inc();
            warn!(%request, "the target's answer is incomplete");
        }
        Ok(None) => run.finish(Finish { ran: Ran::Yes, digest: Some(writer.digest()) }),
    }
}

/// Result of relaying an answer that the target didn't complete.
struct Incomplete;

/// Relays the target's answer to the entry process. Returns `None` once it is relayed completely.
async fn relay(
    context: &Context,
    answer: Response<Incoming>,
    writer: &mut Writer,
) -> Result<Option<Incomplete>, ReaderGone> {
    let status = answer.status().as_u16();
    let content_type = content_type(answer.headers());
    let is_stream = content_type.starts_with("text/event-stream");
    let is_delimited = is_delimited(answer.headers());
    writer.send(Part::Head { status, content_type }).await?;
    let mut body = answer.into_body();
    let mut cutter = Cutter::default();
    loop {
        // If the entry process disconnects, the call must be cancelled even while the target sends
        // nothing.
        let read = tokio::select! {
            read = body.frame() => read,
            () = writer.frames.closed() => return Err(ReaderGone),
        };
        match read {
            Some(Ok(read)) => {
                let bytes = read.into_data().unwrap_or_default();
                match is_stream {
                    true => writer.chunk(cutter.push(&bytes).unwrap_or_default()).await?,
                    false => writer.chunk(bytes).await?,
                }
            }
            None if is_stream && cutter.is_whole() || !is_stream && is_delimited => {
                return writer.end().await;
            }
            Some(Err(_)) | None => {
                context.crash_detector.check(writer.id).await;
                return writer.fail(Ran::Yes, "the target's answer was cut off").await;
            }
        }
    }
}

impl Writer {
    async fn chunk(&mut self, mut bytes: Bytes) -> Result<(), ReaderGone> {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES));
            self.hasher.update(&chunk);
            self.chunks += 1;
            self.send(Part::Chunk(chunk)).await?;
        }
        Ok(())
    }

    fn digest(&self) -> record::AnswerDigest {
        record::answer_digest(&self.hasher.finalize())
    }

    async fn end(&mut self) -> Result<Option<Incomplete>, ReaderGone> {
        let digest = *self.hasher.finalize().as_bytes();
        self.send(Part::End { chunks: self.chunks, digest }).await?;
        Ok(None)
    }

    async fn fail(&mut self, ran: Ran, message: &str) -> Result<Option<Incomplete>, ReaderGone> {
        self.send(Part::Failed { ran, message: message.to_owned() }).await?;
        Ok(Some(Incomplete))
    }

    async fn send(&mut self, part: Part) -> Result<(), ReaderGone> {
        let frame = Frame { request: self.id.request, sequence: self.sequence, part };
        self.sequence += 1;
        let bytes = frame::encode(&frame).map_err(|_| ReaderGone)?;
        self.frames.send(bytes).await.map_err(|_| ReaderGone)
    }
}

fn denied(id: Id, fate: Fate) -> Answer {
    warn!(request = %id.request, attempt = id.attempt, ?fate, "start denied");
    text(StatusCode::CONFLICT, &serde_json::to_string(&fate).expect("a fate is JSON"))
}

/// Returns the caller's headers without those that belong to the connection to this agent.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers =
        [header::HOST, header::CONTENT_LENGTH, header::CONNECTION, header::TRANSFER_ENCODING];
    let kept = headers.iter().filter(|(name, _)| !connection_headers.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

/// Returns whether the headers delimit the answer. If its end is the end of the connection, a
/// complete answer can't be told from one that was cut off.
fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn text(status: StatusCode, content: &str) -> Answer {
    let body = Full::new(Bytes::copy_from_slice(content.as_bytes()));
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}
