//! Health for the balancer, and metrics; both without authentication.

use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpError, RequestContext, endpoint};
use http::{Response, StatusCode, header};

use crate::Context;

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Context>>) {
    api.register(live).expect("the path is free");
    api.register(ready).expect("the path is free");
    api.register(metrics_text).expect("the path is free");
}

/// Whether the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn live(_context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, "live\n".to_owned())
}

/// Whether the balancer should send requests here.
#[endpoint { method = GET, path = "/health/ready" }]
async fn ready(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    if (context.context().ready)() {
        return text(StatusCode::OK, "ready\n".to_owned());
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
}

/// All metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_text(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text(StatusCode::OK, (context.context().metrics)())
}

fn text(status: StatusCode, content: String) -> Result<Response<Body>, HttpError> {
    let answer = Response::builder().status(status).header(header::CONTENT_TYPE, "text/plain");
    Ok(answer.body(content.into())?)
}
