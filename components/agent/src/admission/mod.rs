//! The agent of a target that entry processes call themselves: it admits their requests, and carries
//! none of them.
//!
//! Everything that it knows is told by those that reserve, and by the target itself. It keeps
//! nothing, reads no configuration, and may be killed at any time: who isn't answered goes elsewhere.

mod control;
mod queue;
mod service;

use std::{io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use tokio::time::sleep;
use tracing::info;

/// Time between the last denial and the end of the process, in which it reaches who waited.
const FAREWELL: Duration = Duration::from_millis(100);

/// Requests that a target has, waiting ones included; `None` where it isn't reached.
pub type Seen = Option<usize>;

/// Asks a target what it has.
pub type Look = Arc<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = Seen> + Send>> + Send + Sync>;

/// What the process is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Its name, for logs.
    pub name: String,
    /// Where entry processes reserve.
    pub listen: SocketAddr,
}

/// A running agent.
pub struct Handle {
    /// Where entry processes reserve.
    pub address: SocketAddr,
    control: control::Handle,
}

/// Starts an agent on the current `tokio` runtime.
pub async fn spawn(settings: Settings, look: Look) -> io::Result<Handle> {
    let control = control::spawn(look);
    let address = service::bind(settings.listen, control.clone()).await?;
    info!(name = settings.name, %address, "listening");
    Ok(Handle { address, control })
}

impl Handle {
    /// Denies whoever waits, and ends. What runs goes on: the agent carries none of it.
    pub async fn drain(self) {
        self.control.drain();
        sleep(FAREWELL).await;
        info!("stopped");
    }
}
