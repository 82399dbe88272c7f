//! HTTP servers for callers, for the load balancer's health checks and for metrics.

use std::{
    convert::Infallible,
    future::Future,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
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

use crate::{
    Body, call,
    overload::{self, Admission},
    record,
};

/// Time added to the configured idle timeout of connections, so that no caller sends a request on a
/// connection just as this process closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Timeout of the first request on a connection that was accepted but had no request yet when the process
/// began to drain.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle timeout of connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a connection couldn't be accepted, mostly because the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handle of the running servers.
pub struct Handle {
    shared: Arc<Shared>,
}

/// State that the servers for callers and for health checks share.
struct Shared {
    context: Arc<call::Context>,
    /// Whether connections are closed once they have no request.
    is_closing: watch::Sender<bool>,
    /// Number of connections that are in use (see [`ConnectionInUse`]).
    connections_in_use: AtomicUsize,
    /// Number of connections of callers, those without a request included.
    open_connections: AtomicUsize,
    admission: Admission,
    metrics: Arc<Gateway>,
    /// Notified each time the number of connections in use becomes 0.
    became_idle: Notify,
}

/// Counts a connection as in use from its first request until the connection is closed. The last answer may
/// still have bytes to be written after its request has ended, since the caller reads it slowly.
struct ConnectionInUse {
    shared: Arc<Shared>,
}

/// Counts a connection of a caller until it is closed.
struct OpenConnection {
    shared: Arc<Shared>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listening sockets of the servers.
pub struct Listeners {
    /// Socket for callers.
    pub callers: TcpListener,
    /// Socket for the load balancer's health checks.
    pub operators: TcpListener,
    /// Socket on which the metrics are served; `None` where they aren't served.
    pub metrics: Option<TcpListener>,
}

/// Starts the servers.
pub fn spawn(
    listeners: Listeners,
    max_connections: usize,
    context: Arc<call::Context>,
    metrics: Arc<Gateway>,
) -> Handle {
    let (is_closing, _) = watch::channel(false);
    let shared = Arc::new(Shared {
        context,
        is_closing,
        connections_in_use: AtomicUsize::new(0),
        open_connections: AtomicUsize::new(0),
        admission: overload::open(max_connections),
        metrics: Arc::clone(&metrics),
        became_idle: Notify::new(),
    });
    let (calls, checks) = (Arc::clone(&shared), Arc::clone(&shared));
    tokio::spawn(accept(listeners.callers, move |stream| {
        let connection = calls.admit_connection();
        let (shared, accepted) = (Arc::clone(&calls), Instant::now());
        async move {
            // A stream that isn't admitted is closed here, unread.
            if let Some(connection) = connection {
                let now = Instant::now();
                let delay = shared.context.control.request_delay() + now.duration_since(accepted);
                let change = shared.admission.record_delay(now, delay);
                change.into_iter().for_each(record::log_overload);
                serve_caller(shared, stream).await;
                drop(connection);
            }
        }
    }));
    tokio::spawn(accept(listeners.operators, move |stream| {
        serve_health_check(Arc::clone(&checks), stream)
    }));
    if let Some(listener) = listeners.metrics {
        tokio::spawn(accept(listener, move |stream| serve_metrics(Arc::clone(&metrics), stream)));
    }
    Handle { shared }
}

impl Handle {
    /// Returns the number of connections that had a request and aren't closed.
    pub fn connections_in_use(&self) -> usize {
        self.shared.connections_in_use.load(Ordering::Relaxed)
    }

    /// Closes idle connections now, and each other connection after its current answer.
    pub fn close_idle(&self) {
        self.shared.is_closing.send_replace(true);
    }

    /// Waits until all answers are written and their connections closed, after [`Handle::close_idle`].
    pub async fn wait_until_idle(&self) {
        loop {
            let became_idle = self.shared.became_idle.notified();
            if self.connections_in_use() == 0 {
                return;
            }
            became_idle.await;
        }
    }
}

impl Shared {
    /// Counts a new connection; `None` if it has to be closed unread, since the process is overloaded.
    fn admit_connection(self: &Arc<Shared>) -> Option<OpenConnection> {
        let open = self.open_connections.load(Ordering::Relaxed);
        if !self.admission.accepts(Instant::now(), open) {
            self.metrics.closed_connections.inc();
            return None;
        }
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        Some(OpenConnection { shared: Arc::clone(self) })
    }

    fn use_connection(self: &Arc<Shared>) -> ConnectionInUse {
        self.connections_in_use.fetch_add(1, Ordering::Relaxed);
        ConnectionInUse { shared: Arc::clone(self) }
    }
}

impl Drop for ConnectionInUse {
    fn drop(&mut self) {
        if self.shared.connections_in_use.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.shared.became_idle.notify_waiters();
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
                warn!(%error, "can't accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection of a caller.
async fn serve_caller(shared: Arc<Shared>, stream: TcpStream) {
    // Setting the option fails only if the connection is closed, and then the first read fails too.
    let _ = stream.set_nodelay(true);
    // Number of requests since the last idle timeout, shared with the service.
    let requests = Arc::new(AtomicUsize::new(0));
    let (service_shared, service_requests) = (Arc::clone(&shared), Arc::clone(&requests));
    // Dropped with the connection that owns the service.
    let in_use = OnceLock::new();
    let service = service_fn(move |request: Request<Incoming>| {
        service_requests.fetch_add(1, Ordering::Relaxed);
        in_use.get_or_init(|| service_shared.use_connection());
        let context = Arc::clone(&service_shared.context);
        async move { Ok::<Response<Body>, Infallible>(call::serve(context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_closing = shared.is_closing.subscribe();
    let mut previous_requests = 0;
    let idle_timeout = || {
        shared
            .context
            .control
            .configuration()
            .map_or(DEFAULT_IDLE_TIMEOUT, |plan| plan.idle_timeout)
            + IDLE_TIMEOUT_MARGIN
    };
    loop {
        tokio::select! {
            // Where the connection breaks off, its request is dropped and thereby cancelled.
            _ = connection.as_mut() => return,
            () = wait_for_closing(&mut is_closing) => {
                // The first request of a connection that was just accepted may still be in transit.
                if requests.load(Ordering::Relaxed) == 0 && previous_requests == 0 {
                    tokio::select! {
                        _ = connection.as_mut() => return,
                        () = sleep(FIRST_REQUEST_TIMEOUT) => {}
                    }
                }
                break;
            }
            () = sleep(idle_timeout()) => {
                if previous_requests == requests.swap(previous_requests, Ordering::Relaxed) {
                    break;
                }
                previous_requests = 0;
                requests.store(0, Ordering::Relaxed);
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn wait_for_closing(is_closing: &mut watch::Receiver<bool>) {
    // Waiting can't fail: the sender exists as long as the servers.
    let _ = is_closing.wait_for(|&is_closing| is_closing).await;
}

/// Serves the health checks of one connection: every request gets status 200 where the process is ready to
/// receive requests, else 503.
async fn serve_health_check(shared: Arc<Shared>, stream: TcpStream) {
    let service = service_fn(move |_: Request<Incoming>| {
        let ready = shared.context.control.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut response = Response::new(Full::new(Bytes::new()).boxed());
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    // The load balancer repeats a check that fails.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Serves the metrics to one connection: every request gets all of them.
async fn serve_metrics(metrics: Arc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |_: Request<Incoming>| {
        let response = Response::new(Full::new(Bytes::from(metrics.render())));
        async move { Ok::<_, Infallible>(response) }
    });
    // A client whose connection breaks off reads the metrics again later.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
