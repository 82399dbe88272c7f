//! Calls between entry processes, by `tarpc`.

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
    relay::{self, Part},
};

/// Timeout of establishing a connection and of an exchange; the row of a peer that takes longer would be
/// stale. Also the pause after a connection couldn't be accepted.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Request of an exchange between two entry processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangeRequest {
    /// Row of the sender; if `all` is set, the rows of other processes that any process lacks follow.
    pub rows: Vec<Row>,
    /// Whether the sender requests the rows that any process lacks too.
    pub all: bool,
    /// Versions of the data that the sender has.
    pub offer: Offer,
}

/// Answer of an exchange between two entry processes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ExchangeAnswer {
    /// Row of the answering process; if the request set `all`, the rows of other processes that any process
    /// lacks follow.
    pub rows: Vec<Row>,
    /// Versions of the data that the answering process has.
    pub offer: Offer,
}

/// Calls that an entry process serves to the others.
#[tarpc::service]
pub trait Peer {
    /// Processes the rows and the offer of the caller; returns those of this process.
    async fn exchange(request: ExchangeRequest) -> ExchangeAnswer;

    /// Returns the part of a topic's packed data that begins at byte `from`; `None` where this process
    /// doesn't offer the topic or has no such part. All parts are of the data that was packed when the first
    /// one was requested on the same connection.
    async fn part(topic: Topic, from: u64) -> Option<Part>;
}

/// Server of one connection.
#[derive(Clone)]
struct Server {
    control: Handle,
    /// Packed data of the topics that are being sent on the connection, kept until the last part so that all
    /// parts are of one version.
    sending: Arc<Mutex<BTreeMap<Topic, Bytes>>>,
}

impl Peer for Server {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> ExchangeAnswer {
        self.control.exchange(request).await
    }

    async fn part(self, _: Context, topic: Topic, from: u64) -> Option<Part> {
        if from == 0 {
            let packed = self.control.pack(topic).await?;
            self.sending().insert(topic, packed);
        }
        let mut sending = self.sending();
        let part = relay::part(sending.get(&topic)?, from)?;
        if from + part.bytes.len() as u64 == part.whole {
            sending.remove(&topic);
        }
        Some(part)
    }
}

impl Server {
    fn sending(&self) -> MutexGuard<'_, BTreeMap<Topic, Bytes>> {
        self.sending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves other entry processes until the runtime ends.
pub fn spawn(listener: TcpListener, control: Handle) {
    tokio::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(%error, "can't accept a connection from an entry process");
                    sleep(TIMEOUT).await;
                    continue;
                }
            };
            // This fails only where the connection is closed, and then so does its first use.
            let _ = stream.set_nodelay(true);
            let framed = LengthDelimitedCodec::builder().new_framed(stream);
            let transport = serde_transport::new(framed, Bincode::default());
            let server = Server { control: control.clone(), sending: Arc::default() };
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::spawn(calls.for_each(|call| {
                tokio::spawn(call);
                future::ready(())
            }));
        }
    });
}

/// Exchanges rows and offers with the process at an address, by a new connection where `client` is `None`.
/// Returns the client and the answer, or `None` where the process didn't answer within the timeout.
pub async fn exchange(
    client: Option<PeerClient>,
    address: SocketAddr,
    request: ExchangeRequest,
) -> Option<(PeerClient, ExchangeAnswer)> {
    let client = match client {
        Some(client) => client,
        None => connect(address).await?,
    };
    let mut context = context::current();
    context.deadline = Instant::now() + TIMEOUT;
    let answer = client.exchange(context, request).await.ok()?;
    Some((client, answer))
}

/// Connects to the process at an address; returns `None` where that fails.
pub async fn connect(address: SocketAddr) -> Option<PeerClient> {
    let connecting = serde_transport::tcp::connect(address, Bincode::default);
    let transport = timeout(TIMEOUT, connecting).await.ok()?.ok()?;
    transport.get_ref().set_nodelay(true).ok()?;
    let NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
    tokio::spawn(async move {
        // The error isn't needed: once the connection has ended, an exchange fails and the next one opens a
        // new connection.
        let _ = dispatch.await;
    });
    Some(client)
}
