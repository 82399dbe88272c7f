//! Endpoints of the callers' server: completions and calls to plain services.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use dropshot::{ApiDescription, Body, HttpError, Path, RequestContext, StreamingBody, endpoint};
use futures::TryStreamExt;
use http::{HeaderMap, Method, Response, Uri};
use model::{
    Finding, Refusal,
    id::{PoolName, RequestId},
    refusal::Ran,
};
use scheduler::entry::{Owner, Request, Start};
use schemars::JsonSchema;
use serde::Deserialize;
use tracing::{info, warn};
use uuid::Uuid;

use crate::{
    control::{self, Decision, RequestHandle},
    fault::{self, Fault},
    read,
    relay::{self, Opened, Outgoing, Relay},
    stream::{self, AnswerRecorder},
};

/// State that the callers' endpoints share.
pub struct Context {
    /// Handle to the control thread, which decides on every request.
    pub control: control::Handle,
    /// Metrics of the entry process.
    pub metrics: Arc<metrics::Entry>,
    /// Client that sends request bodies to agents.
    pub relay: Relay,
}

/// Prefix of the URI of a call to a plain service; the pool's name follows it.
const SERVICE_PREFIX: &str = "/v1/services/";

type Answer = Result<Response<Body>, Fault>;

#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    pool: PoolName,
    /// Path below the pool, decoded. Unused: the target is sent the path with its escapes.
    #[serde(rename = "path")]
    _path: Vec<String>,
}

/// Returns the description of the callers' endpoints.
pub fn api() -> ApiDescription<Arc<Context>> {
    let mut api = ApiDescription::new();
    api.register(complete).expect("the path is free");
    api.register(chat).expect("the path is free");
    api.register(call_service).expect("the path is free");
    api.register(read_service).expect("the path is free");
    api
}

/// Completes a prompt.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn complete(context: RequestContext<Arc<Context>>, body: StreamingBody) -> Answer {
    run_completion(&context, "/v1/completions", body).await
}

/// Completes a conversation.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat(context: RequestContext<Arc<Context>>, body: StreamingBody) -> Answer {
    run_completion(&context, "/v1/chat/completions", body).await
}

/// Sends a POST request to a plain service.
#[endpoint { method = POST, path = "/v1/services/{pool}/{path:.*}", unpublished = true }]
async fn call_service(
    context: RequestContext<Arc<Context>>,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Answer {
    let body = read_body(context.request.headers(), body).await?;
    Ok(run_service(&context, Method::POST, path.into_inner(), body).await)
}

/// Sends a GET request to a plain service.
#[endpoint { method = GET, path = "/v1/services/{pool}/{path:.*}", unpublished = true }]
async fn read_service(context: RequestContext<Arc<Context>>, path: Path<ServicePath>) -> Answer {
    Ok(run_service(&context, Method::GET, path.into_inner(), Bytes::new()).await)
}

async fn run_completion(
    context: &RequestContext<Arc<Context>>,
    path: &str,
    body: StreamingBody,
) -> Answer {
    let headers = context.request.headers();
    let body = read_body(headers, body).await?;
    let request = read::completion(Uuid::new_v4(), headers, &body);
    let outgoing = outgoing(headers, Method::POST, path.to_owned(), body);
    Ok(run(context.context(), request, outgoing).await)
}

/// Reads a whole request body. A body that can't be read is refused without checking whether a
/// request with the same idempotency key already ran. If there is a key, the refusal therefore says
/// that the request may have run.
async fn read_body(headers: &HeaderMap, body: StreamingBody) -> Result<Bytes, Fault> {
    let chunks: Result<Vec<Bytes>, HttpError> = body.into_stream().try_collect().await;
    match chunks {
        Ok(chunks) => Ok(chunks.concat().into()),
        Err(error) if headers.contains_key(read::IDEMPOTENCY_KEY_HEADER) => {
            Err(Fault::from(error).may_have_run())
        }
        Err(error) => Err(Fault::from(error)),
    }
}

async fn run_service(
    context: &RequestContext<Arc<Context>>,
    method: Method,
    path: ServicePath,
    body: Bytes,
) -> Response<Body> {
    let headers = context.request.headers();
    let mut request = read::service(Uuid::new_v4(), headers, path.pool.clone(), &body);
    let target_path = target_path(context.request.uri(), &path.pool);
    if target_path.is_none() {
        request.findings.push(Finding::new("path.pool", "write the pool's name without escapes"));
    }
    let outgoing = outgoing(headers, method, target_path.unwrap_or_default(), body);
    run(context.context(), request, outgoing).await
}

/// Returns the part of the caller's URI that follows the pool, with its escapes unchanged; `None`
/// if the URI spells the pool's name in another way, for example with escapes.
fn target_path(uri: &Uri, pool: &str) -> Option<String> {
    let rest = uri.path_and_query()?.as_str().strip_prefix(SERVICE_PREFIX)?.strip_prefix(pool)?;
    rest.starts_with('/').then(|| rest.to_owned())
}

fn outgoing(headers: &HeaderMap, method: Method, path: String, body: Bytes) -> Outgoing {
    Outgoing { method, path, headers: relay::forwarded_headers(headers), body }
}

/// Runs a request: submits it to the control thread, follows the decisions on it, and returns the
/// answer of a target or a refusal.
async fn run(context: &Arc<Context>, request: Request, outgoing: Outgoing) -> Response<Body> {
    let arrived = Instant::now();
    let id = request.id;
    let request = Request {
        fingerprint: model::id::fingerprint(&[outgoing.path.as_bytes(), &outgoing.body]),
        ..request
    };
    let mut handle = context.control.submit(request);
    loop {
        match handle.next_decision().await {
            None => return refuse(context, id, &Owner::default(), fault::stopping()),
            Some(Decision::Refuse { owner, refusal }) => {
                return refuse(context, id, &owner, refusal);
            }
            Some(Decision::Start(start)) => match context.relay.start(&start, &outgoing).await {
                Ok(opened) => {
                    handle.mark_ran();
                    return relay_answer(context, arrived, handle, start, opened).await;
                }
                Err(relay::Error::NotStarted { unreachable }) => {
                    handle.mark_not_started(start.id, unreachable);
                }
                Err(relay::Error::Lost(refusal)) => {
                    if refusal.ran == Ran::Yes {
                        handle.mark_ran();
                    }
                    handle.fail(&refusal);
                    return refuse(context, id, &start.owner, refusal);
                }
            },
        }
    }
}

async fn relay_answer(
    context: &Arc<Context>,
    arrived: Instant,
    handle: RequestHandle,
    start: Start,
    opened: Opened,
) -> Response<Body> {
    let recorder = AnswerRecorder {
        id: start.id.request,
        owner: start.owner,
        arrived,
        metrics: context.metrics.clone(),
    };
    info!(
        request = %recorder.id,
        account = recorder.owner.account,
        tier = recorder.owner.tier,
        target = start.target,
        status = opened.status.as_u16(),
        "relaying the answer"
    );
    if opened.is_event_stream() {
        return stream::respond_streamed(handle, recorder, opened).await;
    }
    stream::respond_whole(handle, recorder, opened).await
}

fn refuse(context: &Context, id: RequestId, owner: &Owner, refusal: Refusal) -> Response<Body> {
    context.metrics.count_refusal(&owner.tier, refusal.reason);
    let reason = refusal.reason;
    let message = &refusal.message;
    if refusal.ran == Ran::NotRun {
        info!(request = %id, account = owner.account, ?reason, message, "refused");
    } else {
        warn!(
            request = %id,
            account = owner.account,
            ?reason,
            message,
            "failed; the request may have run"
        );
    }
    fault::answer(id, refusal)
}
