//! Takes bodies from entries and streams the answers back; health and metrics.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use dropshot::{ApiDescription, Body, HttpError, Query, RequestContext, UntypedBody, endpoint};
use futures::StreamExt;
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use model::{
    id::RequestId,
    refusal::Ran,
    reservation::{Fate, Id},
};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tracing::{info, warn};
use wire::frame::{self, Frame, Part};

use crate::{
    control::{self, Run},
    engine::{Call, Engine},
    events::Cutter,
};

/// Frames that wait for a slow entry before the target's answer is read on.
const FRAMES_AHEAD: usize = 64;
/// Largest chunk of one frame, in bytes; below `wire::frame::LIMIT`.
const CHUNK_LIMIT: usize = 1 << 20;

/// What the endpoints share.
pub struct Context {
    /// The control thread.
    pub control: control::Handle,
    /// The target.
    pub engine: Engine,
    /// The metrics.
    pub metrics: Arc<metrics::Agent>,
}

#[derive(Deserialize, JsonSchema)]
struct Start {
    request: RequestId,
    attempt: u32,
    method: String,
    path: String,
}

/// Writes the frames of one answer.
struct Writer {
    request: RequestId,
    sequence: u64,
    chunks: u64,
    hasher: blake3::Hasher,
    frames: mpsc::Sender<Bytes>,
}

/// The entry went away: nobody reads the answer any more.
struct Unread;

/// Describes the endpoints.
pub fn api() -> ApiDescription<Arc<Context>> {
    let mut api = ApiDescription::new();
    api.register(start_run).expect("the path is free");
    api.register(live).expect("the path is free");
    api.register(ready).expect("the path is free");
    api.register(metrics_text).expect("the path is free");
    api
}

/// Starts a granted reservation with its body; answers with a stream of frames, or with the fate
/// that forbids the start.
#[endpoint { method = POST, path = "/start" }]
async fn start_run(
    context: RequestContext<Arc<Context>>,
    query: Query<Start>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let query = query.into_inner();
    let shared = context.context();
    let id = Id { request: query.request, attempt: query.attempt };
    let method = Method::from_bytes(query.method.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, format!("query.method: {error}")))?;
    let run = match shared.control.start(id).await {
        Ok(run) => run,
        Err(fate) => return denied(id, fate),
    };
    info!(request = %id.request, attempt = id.attempt, "dispatched");
    let call = Call {
        method,
        path: query.path,
        headers: passed_on(context.request.headers()),
        body: Bytes::copy_from_slice(body.as_bytes()),
    };
    let (sender, frames) = mpsc::channel(FRAMES_AHEAD);
    let writer = Writer {
        request: id.request,
        sequence: 0,
        chunks: 0,
        hasher: blake3::Hasher::new(),
        frames: sender,
    };
    tokio::spawn(serve(Arc::clone(shared), run, call, writer));
    let frames = ReceiverStream::new(frames)
        .map(|bytes| Ok::<_, Infallible>(hyper::body::Frame::data(bytes)));
    Ok(Response::new(Body::wrap(StreamBody::new(frames))))
}

/// Whether the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn live(_context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, "live\n".to_owned())
}

/// Whether reservations are taken.
#[endpoint { method = GET, path = "/health/ready" }]
async fn ready(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    match context.context().control.status().draining {
        true => text(StatusCode::SERVICE_UNAVAILABLE, "draining\n".to_owned()),
        false => text(StatusCode::OK, "ready\n".to_owned()),
    }
}

/// All metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_text(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, context.context().metrics.render())
}

/// Runs one call to its end. The run is over when this returns, and dropping the answer's body
/// cancels the call at the target.
async fn serve(context: Arc<Context>, run: Run, call: Call, mut writer: Writer) {
    let _run = run;
    let request = writer.request;
    let answered = match context.engine.call(call).await {
        Ok(answer) => relay(answer, &mut writer).await,
        Err(error) => {
            warn!(%request, %error, ran = ?error.ran(), "no answer from the target");
            writer.fail(error.ran(), &error.to_string()).await
        }
    };
    match answered {
        Err(Unread) => info!(%request, "cancelled: the entry went away"),
        Ok(Some(Torn)) => {
            context.metrics.torn.inc();
            warn!(%request, "the target's answer is torn");
        }
        Ok(None) => {}
    }
}

/// The target's answer ended before its end.
struct Torn;

async fn relay(answer: Response<Incoming>, writer: &mut Writer) -> Result<Option<Torn>, Unread> {
    let status = answer.status().as_u16();
    let content_type = content_type(answer.headers());
    let is_stream = content_type.starts_with("text/event-stream");
    let is_delimited = is_delimited(answer.headers());
    writer.send(Part::Head { status, content_type }).await?;
    let mut body = answer.into_body();
    let mut cutter = Cutter::default();
    loop {
        // A cut-off connection must free the target even while it sends nothing.
        let read = tokio::select! {
            read = body.frame() => read,
            () = writer.frames.closed() => return Err(Unread),
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
                return writer.fail(Ran::Yes, "the target's answer was cut off").await;
            }
        }
    }
}

impl Writer {
    async fn chunk(&mut self, mut bytes: Bytes) -> Result<(), Unread> {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(CHUNK_LIMIT));
            self.hasher.update(&chunk);
            self.chunks += 1;
            self.send(Part::Chunk(chunk)).await?;
        }
        Ok(())
    }

    async fn end(&mut self) -> Result<Option<Torn>, Unread> {
        let digest = *self.hasher.finalize().as_bytes();
        self.send(Part::End { chunks: self.chunks, digest }).await?;
        Ok(None)
    }

    async fn fail(&mut self, ran: Ran, message: &str) -> Result<Option<Torn>, Unread> {
        self.send(Part::Failed { ran, message: message.to_owned() }).await?;
        Ok(Some(Torn))
    }

    async fn send(&mut self, part: Part) -> Result<(), Unread> {
        let frame = Frame { request: self.request, sequence: self.sequence, part };
        self.sequence += 1;
        let bytes = frame::encode(&frame).map_err(|_| Unread)?;
        self.frames.send(bytes).await.map_err(|_| Unread)
    }
}

fn denied(id: Id, fate: Fate) -> Result<Response<Body>, HttpError> {
    warn!(request = %id.request, attempt = id.attempt, ?fate, "start denied");
    let body = serde_json::to_string(&fate).expect("a fate is JSON");
    let answer = Response::builder().status(StatusCode::CONFLICT);
    Ok(answer.header(header::CONTENT_TYPE, "application/json").body(body.into())?)
}

/// Headers that came from the caller; those of the connection itself stay behind.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let own = [header::HOST, header::CONTENT_LENGTH, header::CONNECTION, header::TRANSFER_ENCODING];
    let kept = headers.iter().filter(|(name, _)| !own.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

/// Whether the answer says where it ends; one that ends with its connection could be torn.
fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn text(status: StatusCode, content: String) -> Result<Response<Body>, HttpError> {
    let answer = Response::builder().status(status).header(header::CONTENT_TYPE, "text/plain");
    Ok(answer.body(content.into())?)
}
