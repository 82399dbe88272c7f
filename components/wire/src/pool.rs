//! Connections to agents for control calls: one to each agent in use.

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

/// Why a call had no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the agent takes no connection
    Connect,
    /// the call failed: {0}
    Call(#[from] RpcError),
}

/// What carries a connection's calls until it ends.
pub type Dispatch = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A connection that is being opened.
pub type Connecting<C> = Pin<Box<dyn Future<Output = io::Result<(C, Dispatch)>> + Send>>;

type Slot<C> = Arc<Mutex<Option<C>>>;

/// Connections by address.
#[derive(Debug)]
pub struct Pool<C> {
    wait: Duration,
    connect: fn(SocketAddr) -> Connecting<C>,
    slots: Mutex<HashMap<SocketAddr, Slot<C>>>,
}

/// Gives a pool without connections; `wait` is the longest wait for one.
pub fn open<C>(wait: Duration, connect: fn(SocketAddr) -> Connecting<C>) -> Pool<C> {
    Pool { wait, connect, slots: Mutex::default() }
}

impl<C: Clone + Send + 'static> Pool<C> {
    /// The client of an agent; connects where no connection is open.
    pub async fn client(&self, address: SocketAddr) -> Result<C, Error> {
        let shared = Arc::clone(self.slots.lock().await.entry(address).or_default());
        let mut slot = shared.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let Ok(Ok((client, dispatch))) = timeout(self.wait, (self.connect)(address)).await else {
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

    /// The clients of all agents that are connected.
    pub async fn connected(&self) -> Vec<C> {
        let slots: Vec<Slot<C>> = self.slots.lock().await.values().cloned().collect();
        let open = slots.iter().filter_map(|slot| slot.try_lock().ok()?.clone());
        open.collect()
    }

    /// Opens a new connection at the next call, whatever the state of this one.
    pub async fn forget(&self, address: SocketAddr) {
        self.slots.lock().await.remove(&address);
    }
}

/// The context of a call that is given up after a time.
pub fn context(wait: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + wait;
    context
}
