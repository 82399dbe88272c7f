//! Calls to the engine or plain service: one connection for each call, never a second try.

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

/// Why a call had no answer.
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
    /// Whether the request may have reached the target.
    pub fn ran(&self) -> Ran {
        match self {
            Error::Malformed(_) | Error::Connect => Ran::NotRun,
            Error::Lost(_) => Ran::MayHaveRun,
        }
    }
}

/// What is sent to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends calls to one target.
#[derive(Clone)]
pub struct Engine {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Gives the way to a target; nothing is sent yet.
pub fn open(address: SocketAddr) -> Engine {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A pooled connection may die under a call and leave it in doubt; a fresh one that can't be
    // opened proves that nothing was sent.
    let http = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector);
    Engine { address, http }
}

impl Engine {
    /// Sends one call and waits for the head of its answer.
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
