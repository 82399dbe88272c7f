//! The agent: the process that runs next to a target and through which all requests to the target
//! pass.

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

/// Error that keeps an agent from starting or makes its shutdown fail.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// can't listen or start the control thread: {0}
    Start(#[from] io::Error),
    /// can't listen for operators: {0}
    Operators(#[from] dropshot::BuildError),
    /// the server failed: {0}
    Server(String),
}

/// Handle of a running agent.
pub struct Handle {
    /// Address on which entry processes make control calls.
    pub control_address: SocketAddr,
    /// Address on which entry processes send request bodies.
    pub traffic_address: SocketAddr,
    /// Address on which operators read health and metrics.
    pub operator_address: SocketAddr,
    control: control::Handle,
    config: config::Handle,
    membership: membership::Handle,
    outbox: outbox::Handle,
    control_server: service::Handle,
    traffic_server: server::Handle,
    operator_server: HttpServer<Arc<operator::Context>>,
}

/// Starts an agent on the current `tokio` runtime, whose threads then carry its traffic.
pub async fn spawn(settings: settings::Agent) -> Result<Handle, Error> {
    let metrics = Arc::new(metrics::agent::open());
    let incarnation = Uuid::new_v4();
    let outbox = outbox::open(&settings, incarnation);
    let buffer = outbox.buffer();
    let control = control::spawn(&settings, incarnation, Arc::clone(&metrics), buffer)?;
    let config = config::spawn(&settings, &control);
    let server = service::Server {
        target: settings.target.clone(),
        control: control.clone(),
        config: config.clone(),
        outbox: outbox.clone(),
    };
    let control_server = service::bind(settings.listen.control, server).await?;
    let context = Arc::new(traffic::Context {
        control: control.clone(),
        engine: engine::open(settings.engine.address),
        crash_detector: crashes::detector(&settings, control.clone()),
        metrics: Arc::clone(&metrics),
    });
    let traffic_server = server::bind(settings.listen.traffic, context).await?;
    let operator_server = serve_operators(&settings, &control, metrics)?;
    let control_address = control_server.address;
    let membership = membership::spawn(&settings, incarnation, control_address, control.clone());
    let traffic_address = traffic_server.address;
    let operator_address = operator_server.local_addr();
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
        config,
        membership,
        outbox,
        control_server,
        traffic_server,
        operator_server,
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
    /// Returns the agent's current load and whether it drains.
    pub fn status(&self) -> Status {
        self.control.status()
    }

    /// Stops gracefully: rejects new reservations, waits for the running requests, hands the
    /// idempotency claims over to other agents, and appends the remaining evidence to the log.
    pub async fn drain(self) -> Result<(), Error> {
        info!(running = self.control.status().load.running, "draining");
        self.control.start_drain();
        self.control.drained().await;
        self.membership.leave().await;
        self.traffic_server.close().await;
        self.control.close().await;
        self.outbox.flush().await;
        self.operator_server.close().await.map_err(Error::Server)?;
        self.control_server.stop();
        self.config.stop();
        info!("drained");
        Ok(())
    }
}
