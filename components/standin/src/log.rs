//! Stand-in of the platform's append-only log service.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use model::id::Offset;
use serde::Deserialize;
use source::log::{Append, Appended, Gone, Page, Record};
use tokio::{sync::watch, time::sleep, time::timeout};

use crate::server::{self, Answer, Cut, Server};

/// Faults that a test can switch on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Every call takes this much longer.
    pub slow: Duration,
    /// As many appends take effect and get no answer.
    pub lose_answers: u32,
    /// Appends a second that are taken; 0 is no limit.
    pub appends_per_second: u32,
}

/// One stream; the oldest records may be gone.
#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first record that is kept, less one.
    forgotten: Offset,
    records: VecDeque<String>,
}

#[derive(Debug)]
struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    /// Times of the appends within the last second.
    recent: VecDeque<Instant>,
    /// Appends that took effect, over all streams.
    appends: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    appended: watch::Sender<u64>,
}

/// A running log.
#[derive(Debug)]
pub struct Log {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

#[derive(Deserialize)]
struct Query {
    from: Offset,
    limit: usize,
    wait_ms: u64,
}

/// Starts an empty log.
pub async fn bind(address: SocketAddr) -> io::Result<Log> {
    let state = State {
        streams: BTreeMap::new(),
        faults: Faults::default(),
        recent: VecDeque::new(),
        appends: 0,
    };
    let shared = Arc::new(Shared { state: Mutex::new(state), appended: watch::Sender::new(0) });
    let handler_shared = Arc::clone(&shared);
    let handler: server::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&handler_shared), request)));
    let server = server::bind(address, handler).await?;
    Ok(Log { address: server.address, shared, _server: server })
}

impl Log {
    /// Base URL for clients.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Appends a record past all faults, as another user of the platform would.
    pub fn append(&self, stream: &str, payload: String) -> Offset {
        self.shared.append(stream, payload)
    }

    /// All records of a stream that are kept.
    pub fn records(&self, stream: &str) -> Vec<Record> {
        let state = self.shared.lock();
        state.streams.get(stream).map(|stream| stream.read(0, usize::MAX)).unwrap_or_default()
    }

    /// Forgets all records of a stream before an offset, as time does.
    pub fn expire(&self, stream: &str, before: Offset) {
        let mut state = self.shared.lock();
        let stream = state.streams.entry(stream.to_owned()).or_default();
        while stream.forgotten + 1 < before && stream.records.pop_front().is_some() {
            stream.forgotten += 1;
        }
    }

    /// Appends that took effect, over all streams.
    pub fn appends(&self) -> u64 {
        self.shared.lock().appends
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, payload: String) -> Offset {
        let mut state = self.lock();
        state.appends += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(payload);
        let offset = stream.next() - 1;
        drop(state);
        self.appended.send_modify(|count| *count += 1);
        offset
    }

    fn admit_append(&self) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        while state.recent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            state.recent.pop_front();
        }
        let limit = state.faults.appends_per_second as usize;
        if limit > 0 && state.recent.len() >= limit {
            return false;
        }
        state.recent.push_back(now);
        true
    }

    fn lose_answer(&self) -> bool {
        let mut state = self.lock();
        let lose = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        lose
    }
}

impl Stream {
    fn next(&self) -> Offset {
        self.forgotten + self.records.len() as Offset + 1
    }

    fn read(&self, from: Offset, limit: usize) -> Vec<Record> {
        let numbered = (self.forgotten + 1..).zip(&self.records);
        let wanted = numbered.skip_while(|(offset, _)| *offset < from).take(limit);
        wanted.map(|(offset, payload)| Record { offset, payload: payload.clone() }).collect()
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let faults = shared.lock().faults;
    sleep(faults.slow).await;
    if faults.down {
        return server::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(stream) = stream_of(request.uri().path()) else {
        return server::status(StatusCode::NOT_FOUND);
    };
    match *request.method() {
        Method::POST => append(&shared, stream, request).await,
        Method::GET => read(&shared, stream, request.uri().query().unwrap_or_default()).await,
        _ => server::status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn append(shared: &Shared, stream: String, request: Request<Incoming>) -> Answer {
    let body = server::read(request.into_body()).await?;
    let Ok(record) = serde_json::from_slice::<Append>(&body) else {
        return server::status(StatusCode::BAD_REQUEST);
    };
    if !shared.admit_append() {
        return server::status(StatusCode::TOO_MANY_REQUESTS);
    }
    let offset = shared.append(&stream, record.payload);
    if shared.lose_answer() {
        return Err(Cut);
    }
    server::json(StatusCode::CREATED, &Appended { offset })
}

async fn read(shared: &Shared, stream: String, query: &str) -> Answer {
    let Ok(query) = serde_urlencoded::from_str::<Query>(query) else {
        return server::status(StatusCode::BAD_REQUEST);
    };
    let mut appended = shared.appended.subscribe();
    let arrived = async {
        while page(shared, &stream, &query).is_some_and(|page| page.records.is_empty()) {
            if appended.changed().await.is_err() {
                return;
            }
        }
    };
    // Running out of time is an answer without records.
    let _ = timeout(Duration::from_millis(query.wait_ms), arrived).await;
    match page(shared, &stream, &query) {
        Some(page) => server::json(StatusCode::OK, &page),
        None => server::json(StatusCode::GONE, &Gone { first: first(shared, &stream) }),
    }
}

fn page(shared: &Shared, stream: &str, query: &Query) -> Option<Page> {
    let state = shared.lock();
    let empty = Stream::default();
    let stream = state.streams.get(stream).unwrap_or(&empty);
    let first = stream.forgotten + 1;
    if query.from < first {
        return None;
    }
    Some(Page { first, next: stream.next(), records: stream.read(query.from, query.limit) })
}

fn first(shared: &Shared, stream: &str) -> Offset {
    shared.lock().streams.get(stream).map_or(1, |stream| stream.forgotten + 1)
}

fn stream_of(path: &str) -> Option<String> {
    let name = path.strip_prefix("/streams/")?.strip_suffix("/records")?;
    (!name.is_empty() && !name.contains('/')).then(|| name.to_owned())
}
