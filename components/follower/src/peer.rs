//! Asks agents for configuration snapshots and for the reports of processes that they keep.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::join_all, stream};
use model::{
    id::Offset,
    presence::Summary,
    snapshot::{Assembly, Head},
};
use scheduler::config::{Snapshot, snapshot};
use tarpc::{client, context, tokio_serde::formats::Bincode};
use tokio::time::timeout;
use wire::AgentClient;

/// Timeout for connecting to an agent, and for each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of agents that `gather` asks concurrently.
const MAX_CONCURRENT_CALLS: usize = 32;

/// A snapshot that an agent can send.
struct Offer {
    client: AgentClient,
    head: Head,
}

/// Fetches the newest snapshot that some agents have. Returns `None` if no agent has one above the
/// given offset, or if every fetch failed.
pub async fn fetch(peers: &[SocketAddr], above: Offset) -> Option<Snapshot> {
    let offers = join_all(peers.iter().map(|peer| request_offer(*peer, above))).await;
    let mut offers: Vec<Offer> = offers.into_iter().flatten().collect();
    offers.sort_by_key(|offer| std::cmp::Reverse(offer.head.as_of));
    for offer in offers {
        if let Some(snapshot) = fetch_parts(offer).await {
            return Some(snapshot);
        }
    }
    None
}

/// The reports of processes that some agents keep, merged.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gathered {
    /// Merged summaries of the agents that answered.
    pub summary: Summary,
    /// Number of agents that didn't answer.
    pub silent: u32,
}

/// Asks agents for the summaries of the reports that they keep, and merges them.
pub async fn gather(keepers: Vec<SocketAddr>) -> Gathered {
    let answers = stream::iter(keepers).map(fetch_summary).buffer_unordered(MAX_CONCURRENT_CALLS);
    answers.fold(Gathered::default(), |sum, answer| async { sum.add(answer) }).await
}

impl Gathered {
    fn add(self, answer: Option<Summary>) -> Gathered {
        match answer {
            Some(summary) => Gathered { summary: self.summary.merge(summary), ..self },
            None => Gathered { silent: self.silent + 1, ..self },
        }
    }
}

/// Connects to an agent; `None` if that fails or times out.
pub async fn connect(address: SocketAddr) -> Option<AgentClient> {
    let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    let transport = timeout(CALL_TIMEOUT, connecting).await.ok()?.ok()?;
    Some(AgentClient::new(client::Config::default(), transport).spawn())
}

/// Returns the context of one call, with its deadline.
pub fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

async fn fetch_summary(keeper: SocketAddr) -> Option<Summary> {
    connect(keeper).await?.presence(call_context()).await.ok()
}

async fn request_offer(peer: SocketAddr, above: Offset) -> Option<Offer> {
    let client = connect(peer).await?;
    let head = client.snapshot(call_context(), above).await.ok()??;
    Some(Offer { client, head })
}

async fn fetch_parts(offer: Offer) -> Option<Snapshot> {
    let mut assembly = Assembly::default();
    for index in 0..offer.head.count {
        let call = offer.client.snapshot_part(call_context(), offer.head.clone(), index);
        if let Some(whole) = assembly.add(call.await.ok()??) {
            return snapshot::parse(&whole.text);
        }
    }
    None
}
