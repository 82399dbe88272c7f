//! What entry processes tell each other, by `tarpc`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{StreamExt, future};
use scheduler::direct::{
    peers::Row,
    relay::{Offer, Topic},
};
use serde::{Deserialize, Serialize};
use tarpc::{
    client::{self, NewClient},
    context::{self, Context},
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};
use tokio_util::codec::LengthDelimitedCodec;
use tracing::warn;

use crate::{
    control::Handle,
    relay::{self, Piece},
};

/// Longest wait for a connection or an answer; a peer that takes longer isn't current.
const WAIT: Duration = Duration::from_millis(400);

/// What the asking process tells.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Told {
    /// Its own row, or all that it knows.
    pub rows: Vec<Row>,
    /// Whether it wants all rows.
    pub all: bool,
    /// What it has of the configuration and the targets.
    pub offer: Offer,
}

/// What it is answered.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Answer {
    /// The own row, or all that are known.
    pub rows: Vec<Row>,
    /// What is here of the configuration and the targets.
    pub offer: Offer,
}

/// Calls that an entry process serves to others.
#[tarpc::service]
pub trait Peer {
    /// Takes rows and an offer in and gives the own row, or all that are known, and an offer.
    async fn exchange(told: Told) -> Answer;

    /// Gives what follows the first so many bytes of a topic; nothing where it isn't offered.
    async fn piece(topic: Topic, from: u64) -> Option<Piece>;
}

/// What one connection is served.
#[derive(Clone)]
struct Server {
    control: Handle,
    /// What is being given to it, so that all pieces are of one version.
    giving: Arc<Mutex<BTreeMap<Topic, Bytes>>>,
}

impl Peer for Server {
    async fn exchange(self, _: Context, told: Told) -> Answer {
        self.control.exchange(told).await
    }

    async fn piece(self, _: Context, topic: Topic, from: u64) -> Option<Piece> {
        if from == 0 {
            let packed = self.control.give(topic).await?;
            self.giving().insert(topic, packed);
        }
        let mut giving = self.giving();
        let piece = relay::piece(giving.get(&topic)?, from)?;
        if from + piece.bytes.len() as u64 == piece.whole {
            giving.remove(&topic);
        }
        Some(piece)
    }
}

impl Server {
    fn giving(&self) -> MutexGuard<'_, BTreeMap<Topic, Bytes>> {
        self.giving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves other entry processes until the runtime ends.
pub fn spawn(listener: TcpListener, control: Handle) {
    tokio::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(%error, "an entry process's connection can't be taken");
                    sleep(WAIT).await;
                    continue;
                }
            };
            // A connection that is gone already shows itself at its first use.
            let _ = stream.set_nodelay(true);
            let framed = LengthDelimitedCodec::builder().new_framed(stream);
            let transport = serde_transport::new(framed, Bincode::default());
            let server = Server { control: control.clone(), giving: Arc::default() };
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::spawn(calls.for_each(|call| {
                tokio::spawn(call);
                future::ready(())
            }));
        }
    });
}

/// Exchanges rows with one process, by a new connection where none is open.
pub async fn exchange(
    client: Option<PeerClient>,
    address: SocketAddr,
    told: Told,
) -> Option<(PeerClient, Answer)> {
    let client = match client {
        Some(client) => client,
        None => connect(address).await?,
    };
    let mut context = context::current();
    context.deadline = Instant::now() + WAIT;
    let answer = client.exchange(context, told).await.ok()?;
    Some((client, answer))
}

/// Opens a connection to a process.
pub async fn connect(address: SocketAddr) -> Option<PeerClient> {
    let connecting = serde_transport::tcp::connect(address, Bincode::default);
    let transport = timeout(WAIT, connecting).await.ok()?.ok()?;
    transport.get_ref().set_nodelay(true).ok()?;
    let NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
    tokio::spawn(async move {
        // However the connection ends, the next exchange opens another.
        let _ = dispatch.await;
    });
    Some(client)
}
