//! HTTP servers for callers, for the load balancer's health checks and for metrics.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::Gateway;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, watch},
    task::unconstrained,
    time::{sleep, timeout},
};
use tracing::warn;

use crate::{
    Body, call,
    overload::{self, Admission, Work},
    record::{self, LoadChange},
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
/// Time for which new connections wait at the limit of the work before they are refused, unless the process is
/// already overloaded.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(50);
/// Time for which connections may always wait to be accepted, longer than a host stands still whose processor time
/// is a quota per tenth of a second.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(150);
/// Longest time until the limit of the work is looked at again: silent connections leave it without notice.
const MAX_REFUSAL_WAIT: Duration = Duration::from_millis(50);
/// Time without a refusal after which the process is no longer overloaded.
const OVERLOAD_END_TIME: Duration = Duration::from_secs(1);

/// Maximum size in bytes of the buffer of a caller's connection, in which the head of a request and each part of its
/// body are received, and in which parts of an answer are collected.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Size in bytes of each buffer of the socket of a caller's connection. While a body waits for memory, or a caller reads
/// slowly, the system holds no more than that.
const SOCKET_BUFFER_BYTES: u32 = 128 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

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
    admission: Arc<Admission>,
    /// Whether callers are told to close their connections after their answers, so that fewer are kept.
    is_overloaded: AtomicBool,
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
        is_overloaded: AtomicBool::new(false),
        metrics: Arc::clone(&metrics),
        became_idle: Notify::new(),
    });
    let checks = Arc::clone(&shared);
    tokio::spawn(accept_callers(listeners.callers, Arc::clone(&shared)));
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
    /// Counts a new connection.
    fn open_connection(self: &Arc<Shared>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection { shared: Arc::clone(self) }
    }

    /// Returns whether a further connection is accepted.
    fn has_room(&self) -> bool {
        self.admission.has_room(Instant::now(), self.open_connections.load(Ordering::Relaxed))
    }

    /// Returns whether connections are accepted again after they were refused.
    fn may_resume(&self) -> bool {
        self.admission.may_resume(Instant::now(), self.open_connections.load(Ordering::Relaxed))
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

/// Listening socket for callers, which is closed while the process is overloaded.
struct Gate {
    listener: TcpListener,
    address: SocketAddr,
    /// Time since which connections always waited to be accepted; `None` while none waits.
    backlog_since: Option<Instant>,
    /// Number of refusals and time of the last one, since the process became overloaded; `None` unless it is.
    refusals: Option<(u64, Instant)>,
    shared: Arc<Shared>,
}

/// Accepts the connections of callers. While the process has as many requests in work as it can carry out, it
/// refuses new connections, by closing the listening socket.
async fn accept_callers(listener: TcpListener, shared: Arc<Shared>) {
    let address = match listener.local_addr() {
        Ok(address) => address,
        Err(error) => return warn!(%error, "can't accept connections: the address is unknown"),
    };
    let mut gate = Gate { listener, address, backlog_since: None, refusals: None, shared };
    loop {
        gate.end_overload();
        if gate.has_standing_backlog() || !gate.wait_for_room().await {
            gate = gate.refuse().await;
            continue;
        }
        match gate.accept().await {
            Some(Ok(stream)) => {
                let connection = gate.shared.open_connection();
                let work = gate.shared.admission.begin(Instant::now());
                tokio::spawn(serve_caller(Arc::clone(&gate.shared), stream, work, connection));
            }
            Some(Err(error)) => {
                warn!(%error, "can't accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
            // The process may no longer be overloaded.
            None => {}
        }
    }
}

impl Gate {
    /// Ends the overload if there was no refusal for [`OVERLOAD_END_TIME`].
    fn end_overload(&mut self) {
        if let Some((refusals, at)) = self.refusals
            && at.elapsed() >= OVERLOAD_END_TIME
        {
            self.refusals = None;
            self.shared.is_overloaded.store(false, Ordering::Relaxed);
            record::log_load(LoadChange::Ended { refusals });
        }
    }

    /// Returns whether connections are accepted more slowly than they come.
    fn has_standing_backlog(&self) -> bool {
        self.backlog_since.is_some_and(|since| since.elapsed() >= MAX_BACKLOG_TIME)
    }

    /// Waits until the process has room for a further connection. Returns `false` if it has none for some time;
    /// where it is overloaded already, without a wait.
    async fn wait_for_room(&self) -> bool {
        let delay = if self.refusals.is_some() { Duration::ZERO } else { MAX_ACCEPT_DELAY };
        let room = async {
            while !self.shared.has_room() {
                self.shared.admission.wait_for_end().await;
            }
        };
        timeout(delay, room).await.is_ok()
    }

    /// Accepts the next connection. Returns `None` once the process may no longer be overloaded.
    async fn accept(&mut self) -> Option<io::Result<TcpStream>> {
        let accepted = match unconstrained(self.listener.accept()).now_or_never() {
            Some(accepted) => {
                self.backlog_since.get_or_insert_with(Instant::now);
                accepted
            }
            None => {
                self.backlog_since = None;
                let until_end = self.refusals.map_or(Duration::MAX, |(_, at)| {
                    OVERLOAD_END_TIME.saturating_sub(at.elapsed())
                });
                timeout(until_end, self.listener.accept()).await.ok()?
            }
        };
        Some(accepted.map(|(stream, _)| stream))
    }

    /// Refuses new connections until enough work has ended. Connections that wait to be accepted are reset.
    async fn refuse(self) -> Gate {
        let Gate { listener, address, refusals, shared, .. } = self;
        drop(listener);
        shared.metrics.refusals_of_connections.inc();
        if refusals.is_none() {
            shared.is_overloaded.store(true, Ordering::Relaxed);
            let (limit, median) = shared.admission.limit(Instant::now());
            let connections = shared.open_connections.load(Ordering::Relaxed);
            record::log_load(LoadChange::Began { limit, median, connections });
        }
        while !shared.may_resume() {
            let _ = timeout(MAX_REFUSAL_WAIT, shared.admission.wait_for_end()).await;
        }
        let listener = listen_again(address).await;
        let count = refusals.map_or(0, |(count, _)| count) + 1;
        Gate {
            listener,
            address,
            backlog_since: None,
            refusals: Some((count, Instant::now())),
            shared,
        }
    }
}

/// Opens a listening socket for callers, whose connections have buffers of a limited size.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Opens the listening socket that this process closed.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(error) => {
                warn!(%error, %address, "can't listen for callers again");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection of a caller.
async fn serve_caller(
    shared: Arc<Shared>,
    stream: TcpStream,
    work: Work,
    _connection: OpenConnection,
) {
    // Setting the option fails only if the connection is closed, and then the first read fails too.
    let _ = stream.set_nodelay(true);
    // Number of requests since the last idle timeout, shared with the service.
    let requests = Arc::new(AtomicUsize::new(0));
    let (service_shared, service_requests) = (Arc::clone(&shared), Arc::clone(&requests));
    // Dropped with the connection that owns the service.
    let in_use = OnceLock::new();
    // Work of the first request, which began with the connection.
    let first_work = Mutex::new(Some(work));
    let service = service_fn(move |request: Request<Incoming>| {
        service_requests.fetch_add(1, Ordering::Relaxed);
        in_use.get_or_init(|| service_shared.use_connection());
        let shared = Arc::clone(&service_shared);
        let now = Instant::now();
        let first = first_work.lock().unwrap_or_else(PoisonError::into_inner).take();
        let work = match first {
            Some(work) => work.receive(now),
            None => shared.admission.begin(now),
        };
        async move {
            let mut response = call::serve(Arc::clone(&shared.context), request, work).await;
            if shared.is_overloaded.load(Ordering::Relaxed) && !shared.has_room() {
                let headers = response.headers_mut();
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<Response<Body>, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES)
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
