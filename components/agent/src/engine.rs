//! HTTP calls to the target, which is an engine or a plain service. Each call has a connection of
//! its own and is never retried.

use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use model::refusal::Ran;
use thiserror::Error;

/// Error of a call that got no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the method or the path can't be sent: {0}
    Malformed(#[from] http::Error),
    /// the target takes no connection
    Connect,
    /// the target was lost before its answer: {0}
    Lost(hyper_util::client::legacy::Error),
}

impl Error {
    /// Returns whether the target may have run the request.
    pub fn ran(&self) -> Ran {
        match self {
            Error::Malformed(_) | Error::Connect => Ran::NotRun,
            Error::Lost(_) => Ran::MayHaveRun,
        }
    }
}

/// A request to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request's URL.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
}

/// HTTP client of one target.
#[derive(Clone)]
pub struct Engine {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Returns a client for the target at an address; it connects with the first call.
pub fn open(address: SocketAddr) -> Engine {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A pooled connection may break during a call, so that it is uncertain whether the call ran. A
    // new connection that can't be opened proves that nothing was sent.
    let http = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector);
    Engine { address, http }
}

impl Engine {
    /// Sends one call and waits for the status and headers of the answer; the body may be
    /// incomplete at that time.
    pub async fn call(&self, call: Call) -> Result<Response<Incoming>, Error> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(header::CONTENT_LENGTH, call.body.len())
            .body(Full::new(call.body))?;
        request.headers_mut().extend(call.headers);
        self.http.request(request).await.map_err(|error| match error.is_connect() {
            true => Error::Connect,
            false => Error::Lost(error),
        })
    }
}
