//! What entry processes tell each other, by `tarpc`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::{StreamExt, future};
use scheduler::direct::{
    peers::Row,
    relay::{Known, News},
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

use crate::control::Handle;

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
    pub known: Known,
}

/// What it is answered.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Answer {
    /// The own row, or all that are known.
    pub rows: Vec<Row>,
    /// What is newer.
    pub news: News,
}

/// Calls that an entry process serves to others.
#[tarpc::service]
pub trait Peer {
    /// Takes rows in and gives the own one, or all that are known, and what is newer here of the
    /// configuration and the targets.
    async fn exchange(told: Told) -> Answer;
}

#[derive(Clone)]
struct Server {
    control: Handle,
}

impl Peer for Server {
    async fn exchange(self, _: Context, told: Told) -> Answer {
        self.control.exchange(told).await
    }
}

/// Serves other entry processes until the runtime ends.
pub fn spawn(listener: TcpListener, control: Handle) {
    let server = Server { control };
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
            let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
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

async fn connect(address: SocketAddr) -> Option<PeerClient> {
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
