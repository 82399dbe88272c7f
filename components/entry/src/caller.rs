//! The callers' server.

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
    control::{self, Ticket, Verdict},
    fault::{self, Fault},
    read,
    relay::{self, Opened, Outgoing, Relay},
    stream::{self, Account},
};

/// What the endpoints share.
pub struct Context {
    /// The control thread.
    pub control: control::Handle,
    /// The metrics.
    pub metrics: Arc<metrics::Entry>,
    /// Sends bodies to agents.
    pub relay: Relay,
}

/// What stands before the pool in the URI of a call to a plain service.
const SERVICES: &str = "/v1/services/";

type Answer = Result<Response<Body>, Fault>;

#[derive(Deserialize, JsonSchema)]
struct ServicePath {
    pool: PoolName,
    /// Decoded, so not what the target is sent.
    #[serde(rename = "path")]
    _path: Vec<String>,
}

/// Describes the callers' endpoints.
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

/// Calls a plain service.
#[endpoint { method = POST, path = "/v1/services/{pool}/{path:.*}", unpublished = true }]
async fn call_service(
    context: RequestContext<Arc<Context>>,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Answer {
    let body = collect(context.request.headers(), body).await?;
    Ok(run_service(&context, Method::POST, path.into_inner(), body).await)
}

/// Reads from a plain service.
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
    let body = collect(headers, body).await?;
    let request = read::completion(Uuid::new_v4(), headers, &body);
    let outgoing = outgoing(headers, Method::POST, path.to_owned(), body);
    Ok(run(context.context(), request, outgoing).await)
}

/// Reads a whole body. One that can't be read is refused without a look at what became of its
/// idempotency key, if it has one, so that the refusal can't say that the key didn't run.
async fn collect(headers: &HeaderMap, body: StreamingBody) -> Result<Bytes, Fault> {
    let chunks: Result<Vec<Bytes>, HttpError> = body.into_stream().try_collect().await;
    match chunks {
        Ok(chunks) => Ok(chunks.concat().into()),
        Err(error) if headers.contains_key(read::KEY) => Err(Fault::from(error).may_have_run()),
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

/// What follows the pool in the caller's URI, with its escapes as they are.
fn target_path(uri: &Uri, pool: &str) -> Option<String> {
    let rest = uri.path_and_query()?.as_str().strip_prefix(SERVICES)?.strip_prefix(pool)?;
    rest.starts_with('/').then(|| rest.to_owned())
}

fn outgoing(headers: &HeaderMap, method: Method, path: String, body: Bytes) -> Outgoing {
    Outgoing { method, path, headers: relay::forwarded(headers), body }
}

/// Takes a request from its arrival to the head of its answer.
async fn run(context: &Arc<Context>, request: Request, outgoing: Outgoing) -> Response<Body> {
    let arrived = Instant::now();
    let id = request.id;
    let request = Request {
        fingerprint: model::id::fingerprint(&[outgoing.path.as_bytes(), &outgoing.body]),
        ..request
    };
    let mut ticket = context.control.arrive(request);
    loop {
        match ticket.verdict().await {
            None => return refuse(context, id, &Owner::default(), fault::stopped()),
            Some(Verdict::Refuse { owner, refusal }) => {
                return refuse(context, id, &owner, refusal);
            }
            Some(Verdict::Start(start)) => match context.relay.start(&start, &outgoing).await {
                Ok(opened) => {
                    ticket.ran();
                    return relay_answer(context, arrived, ticket, start, opened).await;
                }
                Err(relay::Error::NotStarted { unreachable }) => {
                    ticket.not_started(start.id, unreachable);
                }
                Err(relay::Error::Lost(refusal)) => {
                    if refusal.ran == Ran::Yes {
                        ticket.ran();
                    }
                    ticket.torn(&refusal);
                    return refuse(context, id, &start.owner, refusal);
                }
            },
        }
    }
}

async fn relay_answer(
    context: &Arc<Context>,
    arrived: Instant,
    ticket: Ticket,
    start: Start,
    opened: Opened,
) -> Response<Body> {
    let account = Account {
        id: start.id.request,
        owner: start.owner,
        arrived,
        metrics: context.metrics.clone(),
    };
    info!(
        request = %account.id,
        account = account.owner.account,
        tier = account.owner.tier,
        target = start.target,
        status = opened.status.as_u16(),
        "answering"
    );
    if opened.is_event_stream() {
        return stream::streamed(ticket, account, opened).await;
    }
    stream::whole(ticket, account, opened).await
}

fn refuse(context: &Context, id: RequestId, owner: &Owner, refusal: Refusal) -> Response<Body> {
    context.metrics.count_refusal(&owner.tier, refusal.reason);
    let reason = refusal.reason;
    let message = &refusal.message;
    if refusal.ran == Ran::NotRun {
        info!(request = %id, account = owner.account, ?reason, message, "refused");
    } else {
        warn!(request = %id, account = owner.account, ?reason, message, "lost");
    }
    fault::answer(id, refusal)
}
