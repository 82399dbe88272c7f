//! Stand-in of the platform's list of hosts.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use http::StatusCode;
use model::Host;

use crate::server::{self, Server};

/// A running list.
#[derive(Debug)]
pub struct Hosts {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _server: Server,
}

#[derive(Debug, Default)]
struct State {
    hosts: Vec<Host>,
    down: bool,
}

/// Starts an empty list.
pub async fn bind(address: SocketAddr) -> io::Result<Hosts> {
    let state = Arc::new(Mutex::new(State::default()));
    let shared = Arc::clone(&state);
    let handler: server::Handler = Arc::new(move |_request| {
        let state = shared.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = match state.down {
            true => server::status(StatusCode::SERVICE_UNAVAILABLE),
            false => server::json(StatusCode::OK, &state.hosts),
        };
        Box::pin(async { answer })
    });
    let server = server::bind(address, handler).await?;
    Ok(Hosts { address: server.address, state, _server: server })
}

impl Hosts {
    /// Base URL for clients.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the list; a test calls this late to make the list lag.
    pub fn set(&self, hosts: Vec<Host>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).hosts = hosts;
    }

    /// Makes every call be refused, or not.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).down = down;
    }
}
