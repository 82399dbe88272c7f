//! Health checks for the load balancer, and metrics. Neither needs authentication.

use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpError, RequestContext, endpoint};
use http::{Response, StatusCode, header};

use crate::Context;

/// Registers the endpoints of this module.
pub fn register(api: &mut ApiDescription<Arc<Context>>) {
    api.register(live).expect("the path is free");
    api.register(ready).expect("the path is free");
    api.register(metrics_text).expect("the path is free");
}

/// Returns status 200 as long as the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn live(_context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text_response(StatusCode::OK, "live\n".to_owned())
}

/// Returns status 200 if the load balancer should send requests to this process, else status 503.
#[endpoint { method = GET, path = "/health/ready" }]
async fn ready(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    if (context.context().ready)() {
        return text_response(StatusCode::OK, "ready\n".to_owned());
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
}

/// Returns all metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_text(context: RequestContext<Arc<Context>>) -> Result<Response<Body>, HttpError> {
    text_response(StatusCode::OK, (context.context().metrics)())
}

fn text_response(status: StatusCode, content: String) -> Result<Response<Body>, HttpError> {
    let answer = Response::builder().status(status).header(header::CONTENT_TYPE, "text/plain");
    Ok(answer.body(content.into())?)
}
