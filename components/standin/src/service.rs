//! Stand-in of a plain service: it answers each call with what it was sent, and keeps a journal.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::server::{self, Answer, Cut, Server};

/// Faults that a test can switch on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// As many calls run and get no answer.
    pub lose_answers: u32,
    /// Every call takes this much longer.
    pub slow: Duration,
}

/// One call that ran, and the answer to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body, as text.
    pub body: String,
    /// Counts the runs of this service from 1.
    pub serial: usize,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    faults: Faults,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Server,
}

/// Starts a service that takes `work` for each call.
pub async fn bind(address: SocketAddr, work: Duration) -> io::Result<Service> {
    let state = Arc::new(Mutex::new(State::default()));
    let shared = Arc::clone(&state);
    let handler: server::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&shared), work, request)));
    let server = server::bind(address, handler).await?;
    Ok(Service { address: server.address, state, server })
}

impl Service {
    /// Calls that ran, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).runs.clone()
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner).faults);
    }

    /// Ends the service and all its connections at once.
    pub fn kill(&self) {
        self.server.kill();
    }
}

async fn handle(state: Arc<Mutex<State>>, work: Duration, request: Request<Incoming>) -> Answer {
    let method = request.method().to_string();
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let body = server::read(request.into_body()).await?;
    let body = String::from_utf8_lossy(&body).into_owned();
    let (run, faults) = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let run = Run { method, path, body, serial: state.runs.len() + 1 };
        state.runs.push(run.clone());
        let faults = state.faults;
        state.faults.lose_answers = faults.lose_answers.saturating_sub(1);
        (run, faults)
    };
    sleep(work + faults.slow).await;
    if faults.lose_answers > 0 {
        return Err(Cut);
    }
    server::json(StatusCode::OK, &run)
}
