//! Stand-in of a model engine: batches, keeps prompt prefixes, streams tokens, keeps a journal.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::Stream;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sync_wrapper::SyncStream;
use tokio::{net::TcpStream, task::yield_now, time::sleep};

use crate::{
    server::{self, Answer, Cut, Server},
    setup,
};

/// Bytes of prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;
const BLOCK_BYTES: usize = 1_024;
const DEFAULT_TOKENS: u32 = 16;

/// How fast and how large the engine is.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Time of one decode step with an empty batch.
    pub step: Duration,
    /// Prompt tokens prefilled in one step.
    pub prefill_per_step: usize,
    /// Prompt blocks of 1 KiB that the cache holds.
    pub cached_blocks: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape { step: Duration::from_millis(1), prefill_per_step: 512, cached_blocks: 1_024 }
    }
}

/// Faults that a test can switch on.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Steps take this many times longer; 0 and 1 change nothing.
    pub straggle: u32,
    /// Answers are cut after this many tokens.
    pub cut_after: Option<u32>,
    /// Streams end cleanly after this many tokens, without their last event.
    pub end_after: Option<u32>,
    /// No step is made while this is set.
    pub frozen: bool,
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Every token of a stream is this text.
    pub say: Option<String>,
    /// Lines of a stream end in CR LF, as the format allows.
    pub crlf: bool,
}

/// One request that reached the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Its prompt.
    pub prompt: String,
    /// Prompt tokens that weren't in the cache.
    pub prefilled: usize,
    /// Whether the whole answer was written.
    pub whole: bool,
}

#[derive(Debug)]
struct State {
    shape: Shape,
    faults: Faults,
    runs: Vec<Run>,
    running: u32,
    /// Hashes of cached blocks, oldest first.
    cache: VecDeque<u64>,
    setup: setup::State,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    server: Mutex<Option<Arc<Server>>>,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Arc<Server>,
}

#[derive(Deserialize)]
struct Ask {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize, Serialize)]
struct Message {
    role: String,
    content: String,
}

/// A run in progress; dropping it takes it out of the batch.
struct Batched {
    shared: Arc<Shared>,
    index: usize,
}

/// Starts an engine.
pub async fn bind(address: SocketAddr, shape: Shape) -> io::Result<Engine> {
    let state = State {
        shape,
        faults: Faults::default(),
        runs: Vec::new(),
        running: 0,
        cache: VecDeque::new(),
        setup: setup::State::default(),
    };
    let shared = Arc::new(Shared { state: Mutex::new(state), server: Mutex::new(None) });
    let handler_shared = Arc::clone(&shared);
    let handler: server::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&handler_shared), request)));
    let server = Arc::new(server::bind(address, handler).await?);
    *shared.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&server));
    Ok(Engine { address: server.address, shared, server })
}

/// The text that an engine generates for a prompt: the same on every engine, and no other
/// prompt's.
pub fn expected(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

impl Engine {
    /// Requests that reached the engine, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Requests in the batch.
    pub fn running(&self) -> u32 {
        self.shared.lock().running
    }

    /// What is loaded, and the orders that were carried out.
    pub fn setup(&self) -> setup::State {
        self.shared.lock().setup.clone()
    }

    /// Changes the part that takes orders.
    pub fn set_setup(&self, change: impl FnOnce(&mut setup::State)) {
        change(&mut self.shared.lock().setup);
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Ends the engine and waits until its address takes no connection any more: a connection
    /// that the dying listener still takes is reset, not refused.
    pub async fn close(&self) {
        self.kill();
        while TcpStream::connect(self.address).await.is_ok() {
            yield_now().await;
        }
    }

    /// Ends the engine and all its connections at once.
    pub fn kill(&self) {
        self.server.kill();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
        // The handler holds the server through `shared`; this ends the circle.
        self.shared.server.lock().unwrap_or_else(PoisonError::into_inner).take();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// One step of the batch, which takes longer the fuller it is.
    async fn step(&self) {
        const FULL_BATCH: u32 = 32;
        let time = {
            let state = self.lock();
            let fuller = state.shape.step * state.running / FULL_BATCH;
            (state.shape.step + fuller) * state.faults.straggle.max(1)
        };
        sleep(time).await;
        while self.lock().faults.frozen {
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn crash(&self) {
        if let Some(server) = &*self.server.lock().unwrap_or_else(PoisonError::into_inner) {
            server.kill();
        }
    }

    /// Takes a prompt in; gives its place in the journal and the steps of its prefill.
    fn admit(&self, prompt: &str) -> (usize, usize) {
        let mut state = self.lock();
        let blocks = blocks(prompt);
        let held = blocks.iter().take_while(|block| state.cache.contains(block)).count();
        let cached = (held * BLOCK_BYTES).min(prompt.len());
        let prefilled = (prompt.len() - cached).div_ceil(BYTES_PER_TOKEN);
        for block in blocks {
            state.cache.retain(|old| *old != block);
            state.cache.push_back(block);
        }
        while state.cache.len() > state.shape.cached_blocks {
            state.cache.pop_front();
        }
        state.running += 1;
        state.runs.push(Run { prompt: prompt.to_owned(), prefilled, whole: false });
        (state.runs.len() - 1, prefilled.div_ceil(state.shape.prefill_per_step))
    }
}

impl Batched {
    fn finish(&self) {
        self.shared.lock().runs[self.index].whole = true;
    }
}

impl Drop for Batched {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    if request.uri().path() == setup::PATH {
        let method = request.method().clone();
        let body = server::read(request.into_body()).await?;
        return shared.lock().setup.handle(&method, &body);
    }
    let is_chat = match request.uri().path() {
        "/v1/completions" => false,
        "/v1/chat/completions" => true,
        _ => return server::status(StatusCode::NOT_FOUND),
    };
    let body = server::read(request.into_body()).await?;
    let Ok(ask) = serde_json::from_slice::<Ask>(&body) else {
        return server::status(StatusCode::BAD_REQUEST);
    };
    let prompt = prompt(&ask);
    let (index, prefill_steps) = shared.admit(&prompt);
    let batched = Batched { shared: Arc::clone(&shared), index };
    if shared.faults().crash_on.is_some_and(|text| prompt.contains(&text)) {
        shared.crash();
        // The listener and all connections end together, as with a process that dies.
        return std::future::pending().await;
    }
    for _ in 0..prefill_steps {
        shared.step().await;
    }
    match ask.stream {
        true => streamed(batched, ask, prompt, is_chat),
        false => whole(batched, ask, prompt, is_chat).await,
    }
}

async fn whole(batched: Batched, ask: Ask, prompt: String, is_chat: bool) -> Answer {
    let tokens = ask.max_tokens.unwrap_or(DEFAULT_TOKENS);
    for index in 0..tokens {
        batched.shared.step().await;
        if batched.shared.faults().cut_after.is_some_and(|after| index >= after) {
            return Err(Cut);
        }
    }
    batched.finish();
    let text = expected(&prompt, tokens);
    let choice = match is_chat {
        true => json!({"index": 0, "finish_reason": "length",
            "message": {"role": "assistant", "content": text}}),
        false => json!({"index": 0, "finish_reason": "length", "text": text}),
    };
    let usage = json!({"completion_tokens": tokens});
    let content = json!({"model": ask.model, "choices": [choice], "usage": usage});
    server::json(StatusCode::OK, &content)
}

fn streamed(batched: Batched, ask: Ask, prompt: String, is_chat: bool) -> Answer {
    let events = events(batched, ask, prompt, is_chat);
    let body = BodyExt::boxed(StreamBody::new(SyncStream::new(events)));
    let answer = Response::builder().header(header::CONTENT_TYPE, "text/event-stream");
    Ok(answer.body(body).expect("the answer's headers are valid"))
}

fn events(
    batched: Batched,
    ask: Ask,
    prompt: String,
    is_chat: bool,
) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> + Send {
    let tokens = ask.max_tokens.unwrap_or(DEFAULT_TOKENS);
    async_stream::stream! {
        for index in 0..tokens {
            batched.shared.step().await;
            let faults = batched.shared.faults();
            if faults.cut_after.is_some_and(|after| index >= after) {
                yield Err(Cut);
                return;
            }
            if faults.end_after.is_some_and(|after| index >= after) {
                return;
            }
            let last = index + 1 == tokens;
            let text = faults.say.unwrap_or_else(|| token(&prompt, index));
            let event = event(&ask.model, &text, last, is_chat);
            yield Ok(Frame::data(ended(event, faults.crlf)));
        }
        batched.finish();
        let crlf = batched.shared.faults().crlf;
        yield Ok(Frame::data(ended("data: [DONE]".to_owned(), crlf)));
    }
}

fn event(model: &str, text: &str, last: bool, is_chat: bool) -> String {
    let reason = last.then_some("length");
    let choice = match is_chat {
        true => json!({"index": 0, "finish_reason": reason, "delta": {"content": text}}),
        false => json!({"index": 0, "finish_reason": reason, "text": text}),
    };
    let content = json!({"model": model, "choices": [choice]});
    format!("data: {content}")
}

fn ended(event: String, crlf: bool) -> Bytes {
    let end = if crlf { "\r\n\r\n" } else { "\n\n" };
    (event + end).into()
}

fn prompt(ask: &Ask) -> String {
    let line = |message: &Message| format!("{}\n{}\n", message.role, message.content);
    let messages: String = ask.messages.iter().map(line).collect();
    format!("{}{messages}", ask.prompt)
}

fn token(prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    let hash = hasher.finalize();
    format!("{} ", &hash.to_hex()[..6])
}

fn blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let hash = |block: &[u8]| {
        hasher.update(block);
        let mut word = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut word);
        u64::from_le_bytes(word)
    };
    prompt.as_bytes().chunks(BLOCK_BYTES).map(hash).collect()
}
