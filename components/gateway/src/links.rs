//! Connections to other entry processes, and the calls that run over them.

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
    peer::{self, Answer, PeerClient, Told},
    record,
    relay::{self, Fetched},
};

/// What became of a call to another process.
pub enum Done {
    /// An exchange; nothing where it wasn't answered.
    Exchanged(SocketAddr, Option<(PeerClient, Answer)>),
    /// A fetch.
    Fetched(SocketAddr, Topic, Result<Fetched, relay::Error>),
}

/// Takes in what became of a call.
pub type Report = Arc<dyn Fn(Done) + Send + Sync>;

#[derive(Default)]
struct Link {
    client: Option<PeerClient>,
    busy: bool,
    /// Since when its exchanges are not answered.
    silent: Option<Instant>,
}

/// Connections to all that may be alive.
pub struct Links {
    links: HashMap<SocketAddr, Link>,
    /// What was last given of each topic, and its version.
    packed: BTreeMap<Topic, (Position, Bytes)>,
    report: Report,
    metrics: Arc<Gateway>,
}

/// Gives a process without connections.
pub fn open(report: Report, metrics: Arc<Gateway>) -> Links {
    Links { links: HashMap::new(), packed: BTreeMap::new(), report, metrics }
}

impl Links {
    /// Connections that are known.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Closes those to processes that are gone.
    pub fn retain(&mut self, peers: &[SocketAddr]) {
        self.links.retain(|address, _| peers.contains(address));
    }

    /// Begins an exchange, unless one with that process runs.
    pub fn exchange(&mut self, address: SocketAddr, told: Told) {
        let link = self.links.entry(address).or_default();
        if std::mem::replace(&mut link.busy, true) {
            return;
        }
        let (client, report) = (link.client.clone(), Arc::clone(&self.report));
        tokio::spawn(async move {
            let answer = peer::exchange(client, address, told).await;
            report(Done::Exchanged(address, answer));
        });
    }

    /// Takes an exchange's end in; gives what it was answered.
    pub fn exchanged(
        &mut self,
        address: SocketAddr,
        done: Option<(PeerClient, Answer)>,
    ) -> Option<Answer> {
        let link = self.links.entry(address).or_default();
        link.busy = false;
        self.metrics.exchanged(done.is_some());
        link.silent = record::exchanged(address, link.silent, done.is_some(), &self.metrics);
        let (client, answer) = done.unzip();
        link.client = client;
        answer
    }

    /// Begins to fetch a topic.
    pub fn fetch(&self, address: SocketAddr, topic: Topic) {
        let client = self.links.get(&address).and_then(|link| link.client.clone());
        let report = Arc::clone(&self.report);
        tokio::spawn(async move {
            report(Done::Fetched(address, topic, relay::fetch(client, address, topic).await));
        });
    }

    /// What is given to one that asks for a topic, of which this process offers so much; the news are
    /// made only where they aren't packed yet.
    pub fn give(
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
                error!(%error, topic = topic.name(), ?version, "nothing can be given to others");
                None
            }
        }
    }
}
