//! Takes callers' connections, and the balancer's health checks.

use std::{
    convert::Infallible,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::Gateway;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::sleep,
};
use tracing::warn;

use crate::{Body, call};

/// Time beyond the operators' limit for which an unused connection stays open, so that no caller
/// uses it just as it closes.
const IDLE_EXTRA: Duration = Duration::from_secs(2);
/// Time for the first request of a connection that comes while the process leaves.
const FIRST: Duration = Duration::from_millis(500);
/// Limit that is assumed before the configuration is known.
const IDLE: Duration = Duration::from_secs(60);
/// Wait after a failed accept, which is mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The running servers.
pub struct Handle {
    shared: Arc<Shared>,
}

struct Shared {
    context: Arc<call::Context>,
    closing: watch::Sender<bool>,
    /// Requests that are being answered.
    open: AtomicUsize,
    ended: Notify,
}

/// Counts a request as long as it is answered, its body included.
pub struct Open {
    shared: Arc<Shared>,
}

/// What the servers listen at.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer's health check.
    pub operators: TcpListener,
    /// For readers of metrics.
    pub metrics: Option<TcpListener>,
}

/// Starts to serve.
pub fn spawn(listeners: Listeners, context: Arc<call::Context>, metrics: Arc<Gateway>) -> Handle {
    let (closing, _) = watch::channel(false);
    let shared =
        Arc::new(Shared { context, closing, open: AtomicUsize::new(0), ended: Notify::new() });
    let (calls, checks) = (Arc::clone(&shared), Arc::clone(&shared));
    tokio::spawn(accept(listeners.callers, move |stream| serve(Arc::clone(&calls), stream)));
    tokio::spawn(accept(listeners.operators, move |stream| check(Arc::clone(&checks), stream)));
    if let Some(listener) = listeners.metrics {
        tokio::spawn(accept(listener, move |stream| render(Arc::clone(&metrics), stream)));
    }
    Handle { shared }
}

impl Handle {
    /// Requests that are being answered.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Closes connections that have no request, and each other after its answer.
    pub fn close_idle(&self) {
        self.shared.closing.send_replace(true);
    }

    /// Waits until no request is left.
    pub async fn ended(&self) {
        loop {
            let ended = self.shared.ended.notified();
            if self.open() == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Shared {
    fn enter(self: &Arc<Shared>) -> Open {
        self.open.fetch_add(1, Ordering::Relaxed);
        Open { shared: Arc::clone(self) }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if self.shared.open.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.shared.ended.notify_waiters();
        }
    }
}

async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                warn!(%error, "a connection can't be taken");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    // A connection that is gone already shows itself at its first use.
    let _ = stream.set_nodelay(true);
    let uses = Arc::new(AtomicUsize::new(0));
    let (answering, used) = (Arc::clone(&shared), Arc::clone(&uses));
    let service = service_fn(move |request: Request<Incoming>| {
        used.fetch_add(1, Ordering::Relaxed);
        let open = answering.enter();
        let context = Arc::clone(&answering.context);
        async move { Ok::<Response<Body>, Infallible>(call::serve(context, request, open).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closing = shared.closing.subscribe();
    let mut seen = 0;
    let idle = || shared.context.control.plan().map_or(IDLE, |plan| plan.idle_timeout) + IDLE_EXTRA;
    loop {
        tokio::select! {
            // However it ends, its request is dropped, and so given up.
            _ = connection.as_mut() => return,
            () = closed(&mut closing) => {
                // A connection that has just come brings a request, which is answered.
                if uses.load(Ordering::Relaxed) == 0 && seen == 0 {
                    tokio::select! {
                        _ = connection.as_mut() => return,
                        () = sleep(FIRST) => {}
                    }
                }
                break;
            }
            () = sleep(idle()) => {
                if seen == uses.swap(seen, Ordering::Relaxed) {
                    break;
                }
                seen = 0;
                uses.store(0, Ordering::Relaxed);
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    // The sender lives as long as the servers.
    let _ = closing.wait_for(|&closing| closing).await;
}

async fn check(shared: Arc<Shared>, stream: TcpStream) {
    let service = service_fn(move |_: Request<Incoming>| {
        let ready = shared.context.control.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut response = Response::new(Full::new(Bytes::new()).boxed());
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    // A check that breaks off is repeated by whoever asked.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn render(metrics: Arc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |_: Request<Incoming>| {
        let response = Response::new(Full::new(Bytes::from(metrics.render())));
        async move { Ok::<_, Infallible>(response) }
    });
    // A reader that breaks off comes again.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
