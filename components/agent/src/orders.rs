//! Setup orders to the engine, such as to load a model: feeds their reducer on the control thread and
//! makes the calls to the engine that carry the orders out.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::setup::{Fenced, Setup};
use scheduler::order::{self, Effect, Event, State};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    runtime,
    time::{Duration, timeout},
};
use tracing::{info, warn};

use crate::control;

/// Path on which an engine accepts orders and returns its setup.
const SETUP_PATH: &str = "/v1/setup";
/// Timeout of a call to the engine; an engine continues to load a model after it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a call to the engine.
#[derive(Debug, Display, Error)]
enum Fault {
    /// can't connect to the engine: {0}
    Connect(#[from] std::io::Error),
    /// the call failed: {0}
    Call(#[from] hyper::Error),
    /// the engine answered with status {0}
    Status(StatusCode),
    /// the engine's setup can't be parsed: {0}
    Setup(#[from] serde_json::Error),
    /// the lease expired before the order was sent
    Lease,
    /// the engine didn't answer in time
    Timeout,
}

/// The reducer's state and what is needed to carry out its effects.
pub struct Executor {
    state: State,
    engine: SocketAddr,
    control: control::Handle,
    traffic: runtime::Handle,
}

/// Returns the executor of a new agent; must be called on the traffic runtime.
pub fn open(engine: settings::agent::Engine, control: control::Handle) -> Executor {
    Executor {
        state: order::open(Instant::now(), engine.checks_fence),
        engine: engine.address,
        control,
        traffic: runtime::Handle::current(),
    }
}

impl Executor {
    /// Feeds one event to the reducer and carries out the resulting effect, if any.
    pub fn handle(&mut self, event: Event) {
        let Some(effect) = order::reduce(&mut self.state, Instant::now(), event) else {
            return;
        };
        let engine = self.engine;
        let control = self.control.clone();
        self.traffic.spawn(async move { control.send_to_orders(carry_out(engine, effect).await) });
    }

    /// Returns when the next tick is due; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Instant> {
        order::next_wake(&self.state)
    }
}

async fn carry_out(engine: SocketAddr, effect: Effect) -> Event {
    match effect {
        Effect::ReadSetup => {
            let read = within(call(engine, Method::GET, Bytes::new(), None)).await;
            let setup = read.and_then(|body| Ok(serde_json::from_slice::<Setup>(&body)?));
            Event::SetupRead(
                setup.inspect_err(|error| warn!(%error, "reading the engine's setup failed")).ok(),
            )
        }
        Effect::SendOrder { order, fence, lease_until: until } => {
            let body = serde_json::to_vec(&Fenced { fence, order: order.clone() });
            let body = body.expect("an order is JSON").into();
            let sent = within(call(engine, Method::POST, body, until)).await;
            match &sent {
                Ok(_) => info!(?order, fence, "order carried out"),
                Err(error) => warn!(?order, fence, %error, "the engine did not confirm the order"),
            }
            Event::OrderEnded { is_confirmed: sent.is_ok() }
        }
    }
}

async fn within(call: impl Future<Output = Result<Bytes, Fault>>) -> Result<Bytes, Fault> {
    timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(Fault::Timeout))
}

/// Makes one call. The lease is checked after connecting, just before the request is written.
async fn call(
    engine: SocketAddr,
    method: Method,
    body: Bytes,
    until: Option<Instant>,
) -> Result<Bytes, Fault> {
    let stream = TcpStream::connect(engine).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // An error of the connection also makes the call fail.
    tokio::spawn(connection);
    sender.ready().await?;
    let request = Request::builder()
        .method(method)
        .uri(SETUP_PATH)
        .header(header::HOST, engine.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the parts of the request are valid");
    if until.is_some_and(|until| Instant::now() >= until) {
        return Err(Fault::Lease);
    }
    let answer = sender.send_request(request).await?;
    if !answer.status().is_success() {
        return Err(Fault::Status(answer.status()));
    }
    Ok(answer.into_body().collect().await?.to_bytes())
}
