//! The entry process: admits callers' requests, sends each to an agent and relays the answer.

mod agents;
mod append;
mod caller;
mod control;
mod crashes;
mod fault;
mod feed;
mod members;
mod operator;
mod presence;
mod read;
mod relay;
mod stream;

use std::{io, net::SocketAddr, sync::Arc};

use displaydoc::Display;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use thiserror::Error;
use tokio::task::JoinHandle;
use tracing::info;

use agents::Agents;
pub use control::Status;

/// An error that keeps an entry process from starting or from shutting down cleanly.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the control thread can't be started: {0}
    Thread(#[from] io::Error),
    /// can't listen: {0}
    Listen(#[from] dropshot::BuildError),
    /// the server failed: {0}
    Server(String),
}

/// A running entry process.
pub struct Handle {
    /// Address that the callers' server listens on.
    pub callers: SocketAddr,
    /// Address of the server for operators, the load balancer's health checks and metrics
    /// scrapers.
    pub operators: SocketAddr,
    settings: settings::Entry,
    control: control::Handle,
    appender: append::Handle,
    feeds: feed::Handle,
    membership_reader: JoinHandle<()>,
    crash_reader: JoinHandle<()>,
    caller_server: HttpServer<Arc<caller::Context>>,
    operator_server: HttpServer<Arc<api::Context>>,
}

/// Starts an entry process. The current `tokio` runtime carries its traffic; the control thread
/// has a runtime of its own.
pub async fn spawn(settings: settings::Entry) -> Result<Handle, Error> {
    let metrics = Arc::new(metrics::entry::open(settings.bounds.tracked_accounts));
    let agents = Arc::new(Agents::open(settings.timing.connect));
    let relay = relay::open(settings.timing.connect, Arc::clone(&agents));
    let outbox = append::open(&settings);
    let (metrics_control, agents_control) = (Arc::clone(&metrics), Arc::clone(&agents));
    let control = control::spawn(&settings, metrics_control, agents_control, outbox.buffer())?;
    let appender = append::spawn(&settings, outbox, agents);
    let feeds = feed::spawn(&settings, &control);
    let crash_reader =
        crashes::spawn(&settings.platform.log, settings.timing.poll, control.clone());
    let membership_reader =
        members::spawn(&settings.platform.log, settings.timing.poll, control.clone());
    let caller_server = serve_callers(&settings, &control, &metrics, relay)?;
    let context = operator::api_context(&settings, &control, &metrics, &feeds);
    let operator_server = api::spawn(settings.listen.operators, context)?;
    let callers = caller_server.local_addr();
    let operators = operator_server.local_addr();
    info!(name = settings.name, %callers, %operators, "listening");
    Ok(Handle {
        callers,
        operators,
        settings,
        control,
        appender,
        feeds,
        membership_reader,
        crash_reader,
        caller_server,
        operator_server,
    })
}

impl Handle {
    /// Returns the current status of the process.
    pub fn status(&self) -> Status {
        self.control.status()
    }

    /// Shuts the process down gracefully: fails the health check so that the load balancer sends
    /// no more requests, refuses new requests after `timing.lame`, waits for the requests in
    /// progress, appends the remaining evidence and stops the servers.
    pub async fn drain(self) -> Result<(), Error> {
        info!(
            open = self.control.status().open,
            "shutting down: the health check fails from now on"
        );
        self.control.leave();
        tokio::time::sleep(self.settings.timing.lame).await;
        info!(open = self.control.status().open, "draining: new requests are refused");
        self.control.start_drain();
        self.control.wait_until_drained().await;
        self.caller_server.close().await.map_err(Error::Server)?;
        self.control.close_evidence().await;
        self.appender.flush().await;
        self.operator_server.close().await.map_err(Error::Server)?;
        self.feeds.stop();
        self.membership_reader.abort();
        self.crash_reader.abort();
        info!("drained");
        Ok(())
    }
}

fn serve_callers(
    settings: &settings::Entry,
    control: &control::Handle,
    metrics: &Arc<metrics::Entry>,
    relay: relay::Relay,
) -> Result<HttpServer<Arc<caller::Context>>, Error> {
    let context =
        Arc::new(caller::Context { control: control.clone(), metrics: Arc::clone(metrics), relay });
    let config = ConfigDropshot {
        bind_address: settings.listen.callers,
        default_request_body_max_bytes: settings.bounds.body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(caller::api(), context, metrics::log::slog()).config(config);
    Ok(server.start()?)
}
