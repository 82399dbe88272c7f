//! Connections to other entry processes, and the calls in flight on them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use bytes::Bytes;
use metrics::Gateway;
use scheduler::direct::relay::{Position, Topic, TopicData};
use tracing::error;

use crate::{
    peer::{self, ExchangeAnswer, ExchangeRequest, PeerClient},
    record,
    relay::{self, Fetched},
};

/// Result of a call to the process at an address.
pub enum CallResult {
    /// Result of an exchange: the client for the next call and the answer, or `None` if the other process
    /// didn't answer.
    Exchange(SocketAddr, Option<(PeerClient, ExchangeAnswer)>),
    /// Result of a fetch of a topic.
    Fetch(SocketAddr, Topic, Result<Fetched, relay::Error>),
}

/// Callback that receives the result of a call.
pub type OnCallEnded = Arc<dyn Fn(CallResult) + Send + Sync>;

/// Connection to another process, and the state of exchanges with that process.
#[derive(Default)]
struct Link {
    /// Client of the open connection; `None` where there is none.
    client: Option<PeerClient>,
    /// Whether an exchange is in flight.
    is_exchanging: bool,
    /// When the first exchange of the current run of unanswered ones ended; `None` if the last exchange was
    /// answered or none has ended.
    unanswered_since: Option<Instant>,
}

/// Connections to all other entry processes that may be alive.
pub struct Links {
    links: HashMap<SocketAddr, Link>,
    /// Version and packed data of each topic, as this process last packed it.
    packed: BTreeMap<Topic, (Position, Bytes)>,
    on_call_ended: OnCallEnded,
    metrics: Arc<Gateway>,
}

/// Builds an empty set of connections.
pub fn open(on_call_ended: OnCallEnded, metrics: Arc<Gateway>) -> Links {
    Links { links: HashMap::new(), packed: BTreeMap::new(), on_call_ended, metrics }
}

impl Links {
    /// Returns the number of other processes with which rows are exchanged, whether or not they answer.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Closes the connections to all processes but the given ones.
    pub fn retain(&mut self, peers: &[SocketAddr]) {
        self.links.retain(|address, _| peers.contains(address));
    }

    /// Starts an exchange, unless one with the same process is in flight.
    pub fn exchange(&mut self, address: SocketAddr, request: ExchangeRequest) {
        let link = self.links.entry(address).or_default();
        if std::mem::replace(&mut link.is_exchanging, true) {
            return;
        }
        let (client, on_call_ended) = (link.client.clone(), Arc::clone(&self.on_call_ended));
        tokio::spawn(async move {
            let result = peer::exchange(client, address, request).await;
            on_call_ended(CallResult::Exchange(address, result));
        });
    }

    /// Updates the connection with the result of an exchange; returns the answer, or `None` where there was
    /// none.
    pub fn end_exchange(
        &mut self,
        address: SocketAddr,
        result: Option<(PeerClient, ExchangeAnswer)>,
    ) -> Option<ExchangeAnswer> {
        let link = self.links.entry(address).or_default();
        link.is_exchanging = false;
        self.metrics.count_exchange(result.is_some());
        link.unanswered_since =
            record::log_exchange(address, link.unanswered_since, result.is_some(), &self.metrics);
        let (client, answer) = result.unzip();
        link.client = client;
        answer
    }

    /// Starts to fetch the data of a topic.
    pub fn fetch(&self, address: SocketAddr, topic: Topic) {
        let client = self.links.get(&address).and_then(|link| link.client.clone());
        let on_call_ended = Arc::clone(&self.on_call_ended);
        tokio::spawn(async move {
            on_call_ended(CallResult::Fetch(
                address,
                topic,
                relay::fetch(client, address, topic).await,
            ));
        });
    }

    /// Returns the packed data of a topic, of which this process offers `version`; `None` where there is no
    /// data. `news` is called only where that version isn't packed yet or the data contains ages.
    pub fn pack(
        &mut self,
        topic: Topic,
        version: Position,
        news: impl FnOnce() -> Option<TopicData>,
    ) -> Option<Bytes> {
        let last = self.packed.get(&topic).filter(|last| last.0 == version && topic.is_cacheable());
        if let Some((_, packed)) = last {
            self.metrics.relayed(topic.name());
            return Some(packed.clone());
        }
        let news = news()?;
        self.metrics.relayed(topic.name());
        match relay::pack(&news) {
            Ok(packed) => {
                self.packed.insert(topic, (version, packed.clone()));
                Some(packed)
            }
            Err(error) => {
                error!(%error, topic = topic.name(), ?version, "can't pack data for a peer");
                None
            }
        }
    }
}
