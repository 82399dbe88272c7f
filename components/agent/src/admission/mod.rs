//! Agent that only performs admission control: entry processes reserve a slot here and then send
//! their requests to the target directly, so no request passes through the agent.
//!
//! All its state comes from reservation calls and from probes of the target. It persists nothing,
//! reads no configuration, and may be killed at any time: an entry process whose reservation isn't
//! answered tries another target.

mod control;
mod queue;
mod service;

use std::{io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use tokio::time::sleep;
use tracing::info;

/// Delay between denying the waiting reservations and ending the process, so that the denials
/// are still delivered.
const DENIAL_DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Result of a probe of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Seen {
    /// The target accepts no connection, or didn't respond within the timeout.
    #[default]
    Unreachable,
    /// The target accepts connections but reports no load.
    Unknown,
    /// Number of requests at the target, including those waiting there.
    Requests(usize),
}

/// Probe of the target at an address.
pub type Look = Arc<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = Seen> + Send>> + Send + Sync>;

/// Settings of an agent that only performs admission control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the agent, used only in log lines.
    pub name: String,
    /// Address to listen on for reservation calls of entry processes.
    pub listen: SocketAddr,
}

/// Handle of a running agent.
pub struct Handle {
    /// Address on which the agent listens for reservation calls of entry processes.
    pub address: SocketAddr,
    control: control::Handle,
}

/// Starts an agent on the current `tokio` runtime; it probes the targets on its host with `look`.
pub async fn spawn(settings: Settings, look: Look) -> io::Result<Handle> {
    let control = control::spawn(look);
    let address = service::bind(settings.listen, control.clone()).await?;
    info!(name = settings.name, %address, "listening");
    Ok(Handle { address, control })
}

impl Handle {
    /// Denies all waiting reservations and stops. Running requests aren't affected, because none
    /// passes through the agent.
    pub async fn drain(self) {
        self.control.drain();
        sleep(DENIAL_DELIVERY_TIME).await;
        info!("stopped");
    }
}
