//! Control calls to agents, over one pooled connection to each agent.

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

/// Time beyond the request's deadline for which a reserve call still waits for its answer.
const RESERVE_GRACE: Duration = Duration::from_secs(1);
/// Delay before the outcome of an attempt is reported again.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of every control call except `reserve`.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Evidence batches that were fetched from one agent.
pub struct FetchedBatches {
    client: AgentClient,
    /// Batches in the order of their sequence numbers.
    pub batches: Vec<Handed>,
}

impl FetchedBatches {
    /// Confirms to the agent that the batches are in the log. If the call fails, the agent hands
    /// the same batches over again.
    pub async fn confirm(self) {
        let sequences = self.batches.iter().map(|batch| batch.sequence).collect();
        let _ = self.client.evidence_kept(context(SHORT_CALL_TIMEOUT), sequences).await;
    }
}

/// Connections to agents by their control address.
#[derive(Debug)]
pub struct Agents {
    pool: Pool<AgentClient>,
}

impl Agents {
    /// Returns a set that has no connections yet; `connect` is the timeout for opening one.
    pub fn open(connect: Duration) -> Agents {
        Agents { pool: pool::open(connect, control::connect) }
    }

    /// Asks an agent for a reservation and returns the event for its answer.
    pub async fn reserve(&self, address: SocketAddr, ask: Ask) -> Event {
        let id = ask.id;
        let deadline = ask.remaining + RESERVE_GRACE;
        let answer = match self.pool.client(address).await {
            Ok(client) => client.reserve(context(deadline), ask).await.map_err(Error::Call),
            Err(error) => Err(error),
        };
        match answer {
            Ok(Ok(grant)) => Event::Granted { id, grant },
            Ok(Err(denial)) => Event::Denied { id, denial },
            Err(error) => {
                debug!(%address, %error, "the reserve call failed");
                self.pool.forget(address).await;
                Event::Unreachable { id }
            }
        }
    }

    /// Cancels a reservation. If the call fails, the reservation expires at the agent.
    pub async fn cancel(&self, address: SocketAddr, id: Id) {
        let Ok(client) = self.pool.client(address).await else {
            return;
        };
        if let Err(error) = client.cancel(context(SHORT_CALL_TIMEOUT), id).await {
            debug!(%address, %error, "the cancel call failed");
        }
    }

    /// Asks an agent for the fate of a reservation. One that hasn't started can't start any more
    /// after this call.
    pub async fn settle(&self, address: SocketAddr, id: Id) -> Result<Fate, Error> {
        let client = self.pool.client(address).await?;
        Ok(client.settle(context(SHORT_CALL_TIMEOUT), id).await?)
    }

    /// Fetches evidence from all connected agents. Agents without batches, or that don't answer,
    /// are left out.
    pub async fn fetch_evidence(&self) -> Vec<FetchedBatches> {
        let clients = self.pool.connected().await;
        let each = clients.into_iter().map(|client| async move {
            let batches = client.evidence(context(SHORT_CALL_TIMEOUT)).await.unwrap_or_default();
            FetchedBatches { client, batches }
        });
        let all = future::join_all(each).await;
        all.into_iter().filter(|fetched| !fetched.batches.is_empty()).collect()
    }

    /// Asks the home of an idempotency key, which is the agent responsible for it, to grant the key
    /// to a request. Returns the event for the answer.
    pub async fn claim(&self, address: SocketAddr, request: RequestId, ask: claim::Ask) -> Event {
        let answer = match self.pool.client(address).await {
            Ok(client) => client.claim(context(SHORT_CALL_TIMEOUT), ask).await.map_err(Error::Call),
            Err(error) => Err(error),
        };
        if let Err(error) = &answer {
            debug!(%address, %error, "the claim call failed");
            self.pool.forget(address).await;
        }
        Event::Claimed { request, verdict: answer.ok() }
    }

    /// Reports the outcome of an attempt to the home of its idempotency key. If the call isn't
    /// accepted, returns the event that makes the reducer report it again, perhaps to another
    /// agent.
    pub async fn settle_claim(
        &self,
        address: SocketAddr,
        settle: Settle,
        tries: u32,
    ) -> Option<Event> {
        let answer = match self.pool.client(address).await {
            Ok(client) => {
                client.settle_claim(context(SHORT_CALL_TIMEOUT), settle).await.map_err(Error::Call)
            }
            Err(error) => Err(error),
        };
        if let Ok(true) = answer {
            return None;
        }
        if let Err(error) = answer {
            debug!(%address, %error, "reporting an attempt's outcome failed; retrying");
            self.pool.forget(address).await;
        }
        sleep(SETTLE_RETRY_DELAY).await;
        Some(Event::Unsettled { settle, tries })
    }
}
