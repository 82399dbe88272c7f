//! A small HTTP server that can cut connections as well as answer them.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use displaydoc::Display;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpListener, task::JoinHandle, task::JoinSet};

/// the connection is cut without an answer
#[derive(Clone, Copy, Debug, Display, Error)]
pub struct Cut;

/// Body of an answer; an error cuts the connection.
pub type Body = BoxBody<Bytes, Cut>;
/// What a handler gives.
pub type Answer = Result<Response<Body>, Cut>;
/// A handler of requests.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: Mutex<Option<JoinHandle<()>>>,
}

/// Starts a server; port 0 takes a free port.
pub async fn bind(address: SocketAddr, handler: Handler) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok(Server { address, task: Mutex::new(Some(task)) })
}

impl Server {
    /// Ends the server and all its connections at once, as a crash would.
    pub fn kill(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A JSON answer.
pub fn json(status: StatusCode, content: &impl serde::Serialize) -> Answer {
    let content = serde_json::to_vec(content).expect("an answer is JSON");
    let answer =
        Response::builder().status(status).header(header::CONTENT_TYPE, "application/json");
    Ok(answer.body(full(content)).expect("the answer's headers are valid"))
}

/// An answer with a status and no content.
pub fn status(status: StatusCode) -> Answer {
    Ok(Response::builder().status(status).body(full("")).expect("the answer has no headers"))
}

/// A body that is known as a whole.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Reads a request's whole body; a caller that goes away cuts the connection.
pub async fn read(body: Incoming) -> Result<Bytes, Cut> {
    Ok(body.collect().await.map_err(|_| Cut)?.to_bytes())
}

async fn accept(listener: TcpListener, handler: Handler) {
    // Connections live in this set, so that ending this task cuts them all.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let handler = Arc::clone(&handler);
        // A failure to set this costs only speed.
        let _ = stream.set_nodelay(true);
        connections.spawn(async move {
            let service = service_fn(|request| handler(request));
            // An error here is a connection that was cut, on purpose or by the other side.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}
