//! Calls to agents that record and look up the versions that began streams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use metrics::Gateway;
use model::id::StreamKey;
use scheduler::direct::{Event, Ticket};
use tokio::time::timeout;
use wire::{
    AdmissionClient,
    admission::OriginRecord,
    pool::{Pool, context},
};

/// Timeout of a call, a new connection included. Agents answer from memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Callback that receives the event that a call led to.
pub type OnEnded = Arc<dyn Fn(Event) + Send + Sync>;

/// Calls about the versions that began streams.
pub struct Origins {
    pool: Arc<Pool<AdmissionClient>>,
    on_ended: OnEnded,
    metrics: Arc<Gateway>,
}

/// Returns the calls, which use the connections of the pool.
pub fn open(pool: Arc<Pool<AdmissionClient>>, on_ended: OnEnded, metrics: Arc<Gateway>) -> Origins {
    Origins { pool, on_ended, metrics }
}

impl Origins {
    /// Records at an agent which version began the stream of a request.
    pub fn record(&self, ticket: Ticket, agent: SocketAddr, record: OriginRecord) {
        let (pool, on_ended) = (Arc::clone(&self.pool), Arc::clone(&self.on_ended));
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let call = async {
                let client = pool.client(agent).await.ok()?;
                client.record_origin(context(CALL_TIMEOUT), record).await.ok()
            };
            let is_recorded = matches!(timeout(CALL_TIMEOUT, call).await, Ok(Some(true)));
            metrics.count_origin(if is_recorded { "recorded" } else { "unrecorded" });
            if !is_recorded {
                on_ended(Event::OriginUnrecorded { ticket, agent });
            }
        });
    }

    /// Asks all agents at once which version began the stream that a request resumes, until one of them knows.
    pub fn find(&self, ticket: Ticket, key: StreamKey, agents: Vec<SocketAddr>) {
        let (pool, on_ended) = (Arc::clone(&self.pool), Arc::clone(&self.on_ended));
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let calls = agents.into_iter().map(|agent| {
                let pool = &pool;
                let call = async move {
                    let client = pool.client(agent).await.ok()?;
                    client.find_origin(context(CALL_TIMEOUT), key).await.ok()
                };
                timeout(CALL_TIMEOUT, call)
            });
            let mut answers: FuturesUnordered<_> = calls.collect();
            let (mut version, mut unanswered) = (None, 0);
            while let Some(answer) = answers.next().await {
                match answer {
                    Ok(Some(Some(known))) => {
                        version = Some(known);
                        break;
                    }
                    Ok(Some(None)) => {}
                    Ok(None) | Err(_) => unanswered += 1,
                }
            }
            metrics.count_origin(if version.is_some() { "found" } else { "not_found" });
            on_ended(Event::OriginAnswered { ticket, version, unanswered });
        });
    }
}
