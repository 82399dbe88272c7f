//! A pool of connections to agents for control calls, with one connection to each agent in use.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use displaydoc::Display;
use tarpc::{
    client::RpcError,
    context::{self, Context},
};
use thiserror::Error;
use tokio::{sync::Mutex, time::timeout};

/// Error of a call that got no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the agent takes no connection
    Connect,
    /// the call failed: {0}
    Call(#[from] RpcError),
}

/// Future that sends and receives a connection's messages; it completes when the connection ends.
pub type Dispatch = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A connection that is being opened.
pub type Connecting<C> = Pin<Box<dyn Future<Output = io::Result<(C, Dispatch)>> + Send>>;

/// Place of one connection; `None` while none is open.
type Slot<C> = Arc<Mutex<Option<C>>>;

/// Connections to agents, by address.
#[derive(Debug)]
pub struct Pool<C> {
    /// Timeout of a connection attempt.
    connect_timeout: Duration,
    connect: fn(SocketAddr) -> Connecting<C>,
    slots: Mutex<HashMap<SocketAddr, Slot<C>>>,
}

/// Returns a pool without connections; `connect_timeout` is that of one attempt to connect.
pub fn open<C>(connect_timeout: Duration, connect: fn(SocketAddr) -> Connecting<C>) -> Pool<C> {
    Pool { connect_timeout, connect, slots: Mutex::default() }
}

impl<C: Clone + Send + 'static> Pool<C> {
    /// Returns the client of an agent; connects if no connection is open.
    pub async fn client(&self, address: SocketAddr) -> Result<C, Error> {
        let shared = Arc::clone(self.slots.lock().await.entry(address).or_default());
        let mut slot = shared.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let Ok(Ok((client, dispatch))) =
            timeout(self.connect_timeout, (self.connect)(address)).await
        else {
            return Err(Error::Connect);
        };
        *slot = Some(client.clone());
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            dispatch.await;
            shared.lock().await.take();
        });
        Ok(client)
    }

    /// Returns the clients of all open connections.
    pub async fn connected(&self) -> Vec<C> {
        let slots: Vec<Slot<C>> = self.slots.lock().await.values().cloned().collect();
        let open = slots.iter().filter_map(|slot| slot.try_lock().ok()?.clone());
        open.collect()
    }

    /// Removes the connection to an agent, so that the next call opens a new one.
    pub async fn forget(&self, address: SocketAddr) {
        self.slots.lock().await.remove(&address);
    }
}

/// Returns the context of a call that times out after `wait`.
pub fn context(wait: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + wait;
    context
}
