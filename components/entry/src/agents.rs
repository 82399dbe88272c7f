//! Control calls to agents: one connection to each agent in use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use displaydoc::Display;
use model::reservation::{Ask, Fate, Id};
use scheduler::entry::Event;
use tarpc::{
    client::{self, NewClient, RpcError},
    context,
    tokio_serde::formats::Bincode,
};
use thiserror::Error;
use tokio::{sync::Mutex, time::timeout};
use tracing::debug;
use wire::AgentClient;

/// Time beyond a request's deadline for which a call is still answered.
const GRACE: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a short call.
const SHORT_CALL: Duration = Duration::from_millis(500);

/// Why a call had no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the agent takes no connection
    Connect,
    /// the call failed: {0}
    Call(#[from] RpcError),
}

type Slot = Arc<Mutex<Option<AgentClient>>>;

/// Connections to agents by their control address.
#[derive(Debug)]
pub struct Agents {
    connect: Duration,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Agents {
    /// Gives a set without connections.
    pub fn open(connect: Duration) -> Agents {
        Agents { connect, slots: Mutex::default() }
    }

    /// Asks for room and gives the event that the answer makes.
    pub async fn reserve(&self, address: SocketAddr, ask: Ask) -> Event {
        let id = ask.id;
        let deadline = ask.remaining + GRACE;
        let answer = match self.client(address).await {
            Ok(client) => client.reserve(context(deadline), ask).await.map_err(Error::Call),
            Err(error) => Err(error),
        };
        match answer {
            Ok(Ok(grant)) => Event::Granted { id, grant },
            Ok(Err(denial)) => Event::Denied { id, denial },
            Err(error) => {
                debug!(%address, %error, "no reservation");
                self.forget(address).await;
                Event::Unreachable { id }
            }
        }
    }

    /// Gives a reservation up; an agent that can't be told lets it lapse.
    pub async fn cancel(&self, address: SocketAddr, id: Id) {
        let Ok(client) = self.client(address).await else {
            return;
        };
        if let Err(error) = client.cancel(context(SHORT_CALL), id).await {
            debug!(%address, %error, "no cancel");
        }
    }

    /// Asks what became of a reservation; one that hasn't started never will.
    pub async fn settle(&self, address: SocketAddr, id: Id) -> Result<Fate, Error> {
        let client = self.client(address).await?;
        Ok(client.settle(context(SHORT_CALL), id).await?)
    }

    async fn client(&self, address: SocketAddr) -> Result<AgentClient, Error> {
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
        tokio::spawn(forget_at_end(dispatch, Arc::clone(&shared)));
        Ok(client)
    }

    async fn forget(&self, address: SocketAddr) {
        self.slots.lock().await.remove(&address);
    }
}

/// Runs a connection to its end, so that the next call opens another instead of failing on it.
async fn forget_at_end(connection: impl Future<Output: Send> + Send, slot: Slot) {
    connection.await;
    slot.lock().await.take();
}

fn context(wait: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + wait;
    context
}
