//! Orders on the control thread, and the calls to the engine that carry them out.

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

/// Where an engine takes orders and tells its setup.
const PATH: &str = "/v1/setup";
/// Longest wait for an engine's answer; loading goes on after it.
const CALL: Duration = Duration::from_secs(5);

/// Why an engine didn't do as told.
#[derive(Debug, Display, Error)]
enum Fault {
    /// it takes no connection: {0}
    Connect(#[from] std::io::Error),
    /// the call failed: {0}
    Call(#[from] hyper::Error),
    /// it answered {0}
    Status(StatusCode),
    /// its setup can't be read: {0}
    Setup(#[from] serde_json::Error),
    /// the lease ran out before the order was written
    Lease,
    /// it didn't answer in time
    Late,
}

/// The reducer's state and the way to the engine.
pub struct Executor {
    state: State,
    engine: SocketAddr,
    control: control::Handle,
    traffic: runtime::Handle,
}

/// Gives the orders of an agent that starts; must be called on the traffic runtime.
pub fn open(engine: settings::agent::Engine, control: control::Handle) -> Executor {
    Executor {
        state: order::open(Instant::now(), engine.checks_fence),
        engine: engine.address,
        control,
        traffic: runtime::Handle::current(),
    }
}

impl Executor {
    /// Takes one event in and carries out what follows.
    pub fn take(&mut self, event: Event) {
        let Some(effect) = order::reduce(&mut self.state, Instant::now(), event) else {
            return;
        };
        let engine = self.engine;
        let control = self.control.clone();
        self.traffic.spawn(async move { control.orders(carry_out(engine, effect).await) });
    }

    /// When a tick is due.
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
                setup.inspect_err(|error| warn!(%error, "the engine tells no setup")).ok(),
            )
        }
        Effect::SendOrder { order, fence, lease_until: until } => {
            let body = serde_json::to_vec(&Fenced { fence, order: order.clone() });
            let body = body.expect("an order is JSON").into();
            let sent = within(call(engine, Method::POST, body, until)).await;
            match &sent {
                Ok(_) => info!(?order, fence, "order carried out"),
                Err(error) => warn!(?order, fence, %error, "order not known to be carried out"),
            }
            Event::OrderEnded { is_confirmed: sent.is_ok() }
        }
    }
}

async fn within(call: impl Future<Output = Result<Bytes, Fault>>) -> Result<Bytes, Fault> {
    timeout(CALL, call).await.unwrap_or(Err(Fault::Late))
}

/// Makes one call. The lease is checked on the open connection, just before the call is written.
async fn call(
    engine: SocketAddr,
    method: Method,
    body: Bytes,
    until: Option<Instant>,
) -> Result<Bytes, Fault> {
    let stream = TcpStream::connect(engine).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Its error shows at the call.
    tokio::spawn(connection);
    sender.ready().await?;
    let request = Request::builder()
        .method(method)
        .uri(PATH)
        .header(header::HOST, engine.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the call's parts are valid");
    if until.is_some_and(|until| Instant::now() >= until) {
        return Err(Fault::Lease);
    }
    let answer = sender.send_request(request).await?;
    if !answer.status().is_success() {
        return Err(Fault::Status(answer.status()));
    }
    Ok(answer.into_body().collect().await?.to_bytes())
}
