//! Asks agents for snapshots and for what processes reported to them.

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

/// Longest wait for a connection, and for the answer to one call.
const CALL: Duration = Duration::from_secs(1);
/// Agents that are asked at once.
const AT_ONCE: usize = 32;

struct Offer {
    client: AgentClient,
    head: Head,
}

/// The highest snapshot among some agents that is above an offset.
pub async fn fetch(peers: &[SocketAddr], above: Offset) -> Option<Snapshot> {
    let offers = join_all(peers.iter().map(|peer| offer(*peer, above))).await;
    let mut offers: Vec<Offer> = offers.into_iter().flatten().collect();
    offers.sort_by_key(|offer| std::cmp::Reverse(offer.head.as_of));
    for offer in offers {
        if let Some(snapshot) = take(offer).await {
            return Some(snapshot);
        }
    }
    None
}

/// What processes reported to some agents, taken together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gathered {
    /// What the agents that answered were told.
    pub summary: Summary,
    /// Agents that didn't answer.
    pub silent: u32,
}

/// Asks agents for what processes reported to them.
pub async fn gather(keepers: Vec<SocketAddr>) -> Gathered {
    let asked = stream::iter(keepers).map(presence).buffer_unordered(AT_ONCE);
    asked.fold(Gathered::default(), |sum, answer| async { sum.add(answer) }).await
}

impl Gathered {
    fn add(self, answer: Option<Summary>) -> Gathered {
        match answer {
            Some(summary) => Gathered { summary: self.summary.merge(summary), ..self },
            None => Gathered { silent: self.silent + 1, ..self },
        }
    }
}

/// Connects to an agent.
pub async fn connect(address: SocketAddr) -> Option<AgentClient> {
    let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    let transport = timeout(CALL, connecting).await.ok()?.ok()?;
    Some(AgentClient::new(client::Config::default(), transport).spawn())
}

/// Bounds one call.
pub fn bounded() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL;
    context
}

async fn presence(keeper: SocketAddr) -> Option<Summary> {
    connect(keeper).await?.presence(bounded()).await.ok()
}

async fn offer(peer: SocketAddr, above: Offset) -> Option<Offer> {
    let client = connect(peer).await?;
    let head = client.snapshot(bounded(), above).await.ok()??;
    Some(Offer { client, head })
}

async fn take(offer: Offer) -> Option<Snapshot> {
    let mut assembly = Assembly::default();
    for index in 0..offer.head.count {
        let call = offer.client.snapshot_part(bounded(), offer.head.clone(), index);
        if let Some(whole) = assembly.add(call.await.ok()??) {
            return snapshot::parse(&whole.text);
        }
    }
    None
}
