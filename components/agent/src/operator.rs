//! The operators' server: health and metrics.

use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpError, RequestContext, endpoint};
use http::{Response, StatusCode, header};

use crate::control;

/// What the endpoints share.
pub struct Context {
    /// The control thread.
    pub control: control::Handle,
    /// The metrics.
    pub metrics: Arc<metrics::Agent>,
}

/// Describes the endpoints.
pub fn api() -> ApiDescription<Arc<Context>> {
    let mut api = ApiDescription::new();
    api.register(live).expect("the path is free");
    api.register(ready).expect("the path is free");
    api.register(metrics_text).expect("the path is free");
    api
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

fn text(status: StatusCode, content: String) -> Result<Response<Body>, HttpError> {
    let answer = Response::builder().status(status).header(header::CONTENT_TYPE, "text/plain");
    Ok(answer.body(content.into())?)
}
