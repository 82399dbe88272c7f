//! Calls to agents that keep promises to refused callers.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use metrics::Gateway;
use model::promise::{Ask, Key, Promise, Redemption};
use scheduler::direct::{Event, Ticket};
use tokio::time::timeout;
use wire::{
    AdmissionClient,
    pool::{Pool, context},
};

/// Timeout of a call to one agent, a new connection included. Agents answer from memory, and the next agent is asked
/// before the request's wait ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Callback that receives the event that a call led to.
pub type OnEnded = Arc<dyn Fn(Event) + Send + Sync>;

/// Calls about promises.
pub struct Promises {
    pool: Arc<Pool<AdmissionClient>>,
    on_ended: OnEnded,
    metrics: Arc<Gateway>,
}

/// Returns the calls, which use the connections of the pool.
pub fn open(
    pool: Arc<Pool<AdmissionClient>>,
    on_ended: OnEnded,
    metrics: Arc<Gateway>,
) -> Promises {
    Promises { pool, on_ended, metrics }
}

impl Promises {
    /// Asks the agents in turn, until one answers, whether a request returns at its time.
    pub fn redeem(&self, ticket: Ticket, key: Key, agents: Vec<SocketAddr>) {
        let (pool, on_ended) = (Arc::clone(&self.pool), Arc::clone(&self.on_ended));
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let call = |client: AdmissionClient| async move {
                client.redeem(context(CALL_TIMEOUT), key).await.ok()
            };
            let redemption = first_answer(&pool, agents, call).await;
            metrics.count_promise(match redemption {
                Some(Redemption::Due) => "redeemed",
                Some(Redemption::Early) => "early",
                Some(Redemption::Unpromised) => "unpromised",
                Some(Redemption::Unknown) => "unknown",
                None => "lookup_unanswered",
            });
            on_ended(Event::ReturnLookedUp { ticket, redemption });
        });
    }

    /// Asks the agents in turn, until one answers, for a promise to the caller of a request.
    pub fn ask(&self, ticket: Ticket, agents: Vec<SocketAddr>, ask: Ask) {
        let (pool, on_ended) = (Arc::clone(&self.pool), Arc::clone(&self.on_ended));
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let call = |client: AdmissionClient| {
                let ask = ask.clone();
                async move { client.promise(context(CALL_TIMEOUT), ask).await.ok() }
            };
            let answer = first_answer(&pool, agents, call).await;
            metrics.count_promise(match answer {
                Some(Some(Promise { is_new: true, .. })) => "promised",
                Some(Some(Promise { is_new: false, .. })) => "kept",
                Some(None) => "declined",
                None => "unanswered",
            });
            on_ended(Event::PromiseAnswered { ticket, answer });
        });
    }
}

/// Returns the answer of the first agent that answers a call; `None` where none does.
async fn first_answer<T, F: Future<Output = Option<T>>>(
    pool: &Pool<AdmissionClient>,
    agents: Vec<SocketAddr>,
    call: impl Fn(AdmissionClient) -> F,
) -> Option<T> {
    for agent in agents {
        let answer = timeout(CALL_TIMEOUT, async { call(pool.client(agent).await.ok()?).await });
        if let Ok(Some(answer)) = answer.await {
            return Some(answer);
        }
    }
    None
}
