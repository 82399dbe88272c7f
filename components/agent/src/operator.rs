//! The HTTP server for operators: health and metrics.

use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpError, RequestContext, endpoint};
use http::{Response, StatusCode, header};

use crate::control;

/// State that the endpoints share.
pub struct Context {
    /// Control thread of the agent.
    pub control: control::Handle,
    /// Metrics of the agent.
    pub metrics: Arc<metrics::Agent>,
}

/// Returns the description of all endpoints.
pub fn api() -> ApiDescription<Arc<Context>> {
    let mut api = ApiDescription::new();
    api.register(live).expect("the path is free");
    api.register(ready).expect("the path is free");
    api.register(metrics_text).expect("the path is free");
    api
}

/// Answers that the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn live(_context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, "live\n".to_owned())
}

/// Answers whether the agent accepts new reservations.
#[endpoint { method = GET, path = "/health/ready" }]
async fn ready(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    match context.context().control.status().draining {
        true => text(StatusCode::SERVICE_UNAVAILABLE, "draining\n".to_owned()),
        false => text(StatusCode::OK, "ready\n".to_owned()),
    }
}

/// Returns all metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_text(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, context.context().metrics.render())
}

fn text(status: StatusCode, content: String) -> Result<Response<Body>, HttpError> {
    let answer = Response::builder().status(status).header(header::CONTENT_TYPE, "text/plain");
    Ok(answer.body(content.into())?)
}
