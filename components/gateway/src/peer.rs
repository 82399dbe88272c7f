//! What entry processes tell each other, by `tarpc`.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::{StreamExt, future};
use scheduler::direct::peers::Row;
use tarpc::{
    client::{self, NewClient},
    context::{self, Context},
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::time::timeout;

use crate::control::Handle;

/// Longest wait for a connection or an answer; a peer that takes longer isn't current.
const WAIT: Duration = Duration::from_millis(400);

/// Calls that an entry process serves to others.
#[tarpc::service]
pub trait Peer {
    /// Takes rows in and gives the own one, or all that are known.
    async fn exchange(rows: Vec<Row>, all: bool) -> Vec<Row>;
}

#[derive(Clone)]
struct Server {
    control: Handle,
}

impl Peer for Server {
    async fn exchange(self, _: Context, rows: Vec<Row>, all: bool) -> Vec<Row> {
        self.control.exchange(rows, all).await
    }
}

/// Serves other entry processes until the runtime ends.
pub async fn bind(address: SocketAddr, control: Handle) -> io::Result<()> {
    let incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let server = Server { control };
    tokio::spawn(async move {
        let connections = incoming.filter_map(|connection| future::ready(connection.ok()));
        connections
            .for_each(|connection| {
                // A connection that is gone already shows itself at its first use.
                let _ = connection.get_ref().set_nodelay(true);
                let calls = BaseChannel::with_defaults(connection).execute(server.clone().serve());
                tokio::spawn(calls.for_each(|call| {
                    tokio::spawn(call);
                    future::ready(())
                }));
                future::ready(())
            })
            .await;
    });
    Ok(())
}

/// Exchanges rows with one process, by a new connection where none is open.
pub async fn exchange(
    client: Option<PeerClient>,
    address: SocketAddr,
    rows: Vec<Row>,
    all: bool,
) -> Option<(PeerClient, Vec<Row>)> {
    let client = match client {
        Some(client) => client,
        None => connect(address).await?,
    };
    let mut context = context::current();
    context.deadline = Instant::now() + WAIT;
    let rows = client.exchange(context, rows, all).await.ok()?;
    Some((client, rows))
}

async fn connect(address: SocketAddr) -> Option<PeerClient> {
    let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    let transport = timeout(WAIT, connecting).await.ok()?.ok()?;
    transport.get_ref().set_nodelay(true).ok()?;
    let NewClient { client, dispatch } = PeerClient::new(client::Config::default(), transport);
    tokio::spawn(async move {
        // However the connection ends, the next exchange opens another.
        let _ = dispatch.await;
    });
    Some(client)
}
