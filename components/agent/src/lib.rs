//! The agent: the process beside a target, and the only way to it.

mod control;
mod engine;
mod events;
mod service;
mod traffic;

use std::{io, net::SocketAddr, sync::Arc};

use displaydoc::Display;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use thiserror::Error;
use tracing::info;

pub use control::Status;

/// Largest body that an agent takes, in bytes; entries have a lower bound of their own.
const BODY_LIMIT: usize = 64 << 20;

/// Why an agent can't run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// can't listen for control calls or start the control thread: {0}
    Control(#[from] io::Error),
    /// can't listen for traffic: {0}
    Traffic(#[from] dropshot::BuildError),
    /// the server failed: {0}
    Server(String),
}

/// A running agent.
pub struct Handle {
    /// Where entries make control calls.
    pub control_address: SocketAddr,
    /// Where entries send bodies; health and metrics are here too.
    pub traffic_address: SocketAddr,
    control: control::Handle,
    calls: service::Handle,
    server: HttpServer<Arc<traffic::Context>>,
}

/// Starts an agent on the current `tokio` runtime, which becomes its traffic threads.
pub async fn spawn(settings: settings::Agent) -> Result<Handle, Error> {
    let metrics = Arc::new(metrics::agent::open());
    let control = control::spawn(&settings, Arc::clone(&metrics))?;
    let calls =
        service::bind(settings.listen.control, settings.target.clone(), control.clone()).await?;
    let context = Arc::new(traffic::Context {
        control: control.clone(),
        engine: engine::open(settings.engine.address),
        metrics,
    });
    let config = ConfigDropshot {
        bind_address: settings.listen.traffic,
        default_request_body_max_bytes: BODY_LIMIT,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(traffic::api(), context, metrics::log::slog());
    let server = server.config(config).start()?;
    let control_address = calls.address;
    let traffic_address = server.local_addr();
    info!(target = settings.target, control = %control_address, traffic = %traffic_address, "listening");
    Ok(Handle { control_address, traffic_address, control, calls, server })
}

impl Handle {
    /// What the agent says of itself now.
    pub fn status(&self) -> Status {
        self.control.status()
    }

    /// Takes no new reservation, finishes the running set, and ends.
    pub async fn drain(self) -> Result<(), Error> {
        info!(running = self.control.status().load.running, "draining");
        self.control.start_drain();
        self.control.drained().await;
        self.server.close().await.map_err(Error::Server)?;
        self.calls.stop();
        info!("drained");
        Ok(())
    }
}
