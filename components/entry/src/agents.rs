//! Control calls to agents: one connection to each agent in use.

use std::{net::SocketAddr, time::Duration};

use evidence::outbox::Handed;
use futures::future;
use model::{
    claim::{self, Settle},
    id::RequestId,
    reservation::{Ask, Fate, Id},
};
use scheduler::entry::Event;
use tokio::time::sleep;
use tracing::debug;
use wire::{
    AgentClient, control,
    pool::{self, Error, Pool, context},
};

/// Time beyond a request's deadline for which a call is still answered.
const GRACE: Duration = Duration::from_secs(1);
/// Wait before an attempt's end is told again.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the answer to a short call.
const SHORT_CALL: Duration = Duration::from_millis(500);

/// Batches of one agent's evidence.
pub struct Fetched {
    client: AgentClient,
    /// The batches, in their order.
    pub handed: Vec<Handed>,
}

impl Fetched {
    /// Tells the agent that they are in the log. An agent that can't be told gives them again.
    pub async fn confirm(self) {
        let sequences = self.handed.iter().map(|handed| handed.sequence).collect();
        let _ = self.client.evidence_kept(context(SHORT_CALL), sequences).await;
    }
}

/// Connections to agents by their control address.
#[derive(Debug)]
pub struct Agents {
    pool: Pool<AgentClient>,
}

impl Agents {
    /// Gives a set without connections.
    pub fn open(connect: Duration) -> Agents {
        Agents { pool: pool::open(connect, control::connect) }
    }

    /// Asks for room and gives the event that the answer makes.
    pub async fn reserve(&self, address: SocketAddr, ask: Ask) -> Event {
        let id = ask.id;
        let deadline = ask.remaining + GRACE;
        let answer = match self.pool.client(address).await {
            Ok(client) => client.reserve(context(deadline), ask).await.map_err(Error::Call),
            Err(error) => Err(error),
        };
        match answer {
            Ok(Ok(grant)) => Event::Granted { id, grant },
            Ok(Err(denial)) => Event::Denied { id, denial },
            Err(error) => {
                debug!(%address, %error, "no reservation");
                self.pool.forget(address).await;
                Event::Unreachable { id }
            }
        }
    }

    /// Gives a reservation up; an agent that can't be told lets it lapse.
    pub async fn cancel(&self, address: SocketAddr, id: Id) {
        let Ok(client) = self.pool.client(address).await else {
            return;
        };
        if let Err(error) = client.cancel(context(SHORT_CALL), id).await {
            debug!(%address, %error, "no cancel");
        }
    }

    /// Asks what became of a reservation; one that hasn't started never will.
    pub async fn settle(&self, address: SocketAddr, id: Id) -> Result<Fate, Error> {
        let client = self.pool.client(address).await?;
        Ok(client.settle(context(SHORT_CALL), id).await?)
    }

    /// Fetches evidence from every agent that is connected.
    pub async fn evidence(&self) -> Vec<Fetched> {
        let clients = self.pool.connected().await;
        let each = clients.into_iter().map(|client| async move {
            let handed = client.evidence(context(SHORT_CALL)).await.unwrap_or_default();
            Fetched { client, handed }
        });
        let all = future::join_all(each).await;
        all.into_iter().filter(|fetched| !fetched.handed.is_empty()).collect()
    }

    /// Asks a key's home for the key and gives the event that the answer makes.
    pub async fn claim(&self, address: SocketAddr, request: RequestId, ask: claim::Ask) -> Event {
        let answer = match self.pool.client(address).await {
            Ok(client) => client.claim(context(SHORT_CALL), ask).await.map_err(Error::Call),
            Err(error) => Err(error),
        };
        if let Err(error) = &answer {
            debug!(%address, %error, "no claim");
            self.pool.forget(address).await;
        }
        Event::Claimed { request, verdict: answer.ok() }
    }

    /// Tells a key's home what became of an attempt; gives an event where it has to be told
    /// again, perhaps elsewhere.
    pub async fn settle_claim(
        &self,
        address: SocketAddr,
        settle: Settle,
        tries: u32,
    ) -> Option<Event> {
        let answer = match self.pool.client(address).await {
            Ok(client) => {
                client.settle_claim(context(SHORT_CALL), settle).await.map_err(Error::Call)
            }
            Err(error) => Err(error),
        };
        if let Ok(true) = answer {
            return None;
        }
        if let Err(error) = answer {
            debug!(%address, %error, "no settlement");
            self.pool.forget(address).await;
        }
        sleep(SETTLE_PAUSE).await;
        Some(Event::Unsettled { settle, tries })
    }
}
