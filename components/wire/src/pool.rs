//! Connections to agents for control calls: one to each agent in use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use displaydoc::Display;
use tarpc::{
    client::{self, NewClient, RpcError},
    context::{self, Context},
    tokio_serde::formats::Bincode,
};
use thiserror::Error;
use tokio::{sync::Mutex, time::timeout};

use crate::AgentClient;

/// Why a call had no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the agent takes no connection
    Connect,
    /// the call failed: {0}
    Call(#[from] RpcError),
}

type Slot = Arc<Mutex<Option<AgentClient>>>;

/// Connections by control address.
#[derive(Debug)]
pub struct Pool {
    connect: Duration,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

/// Gives a pool without connections; `connect` is the longest wait for one.
pub fn open(connect: Duration) -> Pool {
    Pool { connect, slots: Mutex::default() }
}

impl Pool {
    /// The client of an agent; connects where no connection is open.
    pub async fn client(&self, address: SocketAddr) -> Result<AgentClient, Error> {
        let shared = Arc::clone(self.slots.lock().await.entry(address).or_default());
        let mut slot = shared.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = match timeout(self.connect, connecting).await {
            Ok(Ok(transport)) => transport,
            _ => return Err(Error::Connect),
        };
        // Small messages that wait for the last one's acknowledgement cost 40 ms each.
        transport.get_ref().set_nodelay(true).map_err(|_| Error::Connect)?;
        let NewClient { client, dispatch } = AgentClient::new(client::Config::default(), transport);
        *slot = Some(client.clone());
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            // However the connection ends, the next call opens another.
            let _ = dispatch.await;
            shared.lock().await.take();
        });
        Ok(client)
    }

    /// The clients of all agents that are connected.
    pub async fn connected(&self) -> Vec<AgentClient> {
        let slots: Vec<Slot> = self.slots.lock().await.values().cloned().collect();
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
