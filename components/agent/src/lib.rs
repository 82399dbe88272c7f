//! The agent: the process beside a target, and the only way to it.

pub mod admission;
mod claims;
mod config;
mod control;
mod crashes;
mod engine;
mod membership;
mod operator;
mod orders;
mod outbox;
mod recent;
mod server;
mod service;
mod traffic;

use std::{io, net::SocketAddr, sync::Arc};

use displaydoc::Display;
use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use thiserror::Error;
use tracing::info;
use uuid::Uuid;

pub use control::Status;

/// Why an agent can't run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// can't listen or start the control thread: {0}
    Start(#[from] io::Error),
    /// can't listen for operators: {0}
    Operators(#[from] dropshot::BuildError),
    /// the server failed: {0}
    Server(String),
}

/// A running agent.
pub struct Handle {
    /// Where entries make control calls.
    pub control_address: SocketAddr,
    /// Where entries send bodies.
    pub traffic_address: SocketAddr,
    /// Where health and metrics are read.
    pub operator_address: SocketAddr,
    control: control::Handle,
    config: config::Handle,
    members: membership::Handle,
    outbox: outbox::Handle,
    calls: service::Handle,
    traffic: server::Handle,
    operators: HttpServer<Arc<operator::Context>>,
}

/// Starts an agent on the current `tokio` runtime, which becomes its traffic threads.
pub async fn spawn(settings: settings::Agent) -> Result<Handle, Error> {
    let metrics = Arc::new(metrics::agent::open());
    let incarnation = Uuid::new_v4();
    let outbox = outbox::open(&settings, incarnation);
    let buffer = outbox.buffer();
    let control = control::spawn(&settings, incarnation, Arc::clone(&metrics), buffer)?;
    let copy = config::spawn(&settings, &control);
    let server = service::Server {
        target: settings.target.clone(),
        control: control.clone(),
        config: copy.clone(),
        outbox: outbox.clone(),
    };
    let calls = service::bind(settings.listen.control, server).await?;
    let context = Arc::new(traffic::Context {
        control: control.clone(),
        engine: engine::open(settings.engine.address),
        crashes: crashes::watch(&settings, control.clone()),
        metrics: Arc::clone(&metrics),
    });
    let traffic = server::bind(settings.listen.traffic, context).await?;
    let operators = serve_operators(&settings, &control, metrics)?;
    let control_address = calls.address;
    let members = membership::spawn(&settings, incarnation, control_address, control.clone());
    let traffic_address = traffic.address;
    let operator_address = operators.local_addr();
    info!(
        target = settings.target,
        control = %control_address,
        traffic = %traffic_address,
        operators = %operator_address,
        "listening"
    );
    Ok(Handle {
        control_address,
        traffic_address,
        operator_address,
        control,
        config: copy,
        members,
        outbox,
        calls,
        traffic,
        operators,
    })
}

fn serve_operators(
    settings: &settings::Agent,
    control: &control::Handle,
    metrics: Arc<metrics::Agent>,
) -> Result<HttpServer<Arc<operator::Context>>, Error> {
    let context = Arc::new(operator::Context { control: control.clone(), metrics });
    let config =
        ConfigDropshot { bind_address: settings.listen.operators, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(operator::api(), context, metrics::log::slog()).config(config);
    Ok(server.start()?)
}

impl Handle {
    /// What the agent says of itself now.
    pub fn status(&self) -> Status {
        self.control.status()
    }

    /// Takes no new reservation, finishes the running set, hands claims over, and ends.
    pub async fn drain(self) -> Result<(), Error> {
        info!(running = self.control.status().load.running, "draining");
        self.control.start_drain();
        self.control.drained().await;
        self.members.leave().await;
        self.traffic.close().await;
        self.control.close().await;
        self.outbox.flush().await;
        self.operators.close().await.map_err(Error::Server)?;
        self.calls.stop();
        self.config.stop();
        info!("drained");
        Ok(())
    }
}
