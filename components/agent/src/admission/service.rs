//! The `tarpc` server for reservation calls of entry processes.

use std::{io, net::SocketAddr, time::Duration};

use futures::{StreamExt, future};
use model::{
    id::StreamKey,
    promise::{self, Promise, Redemption},
    refusal::Reason,
    reservation::{Ask, Denial, Fate, Grant, Id, Limit, Load},
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use wire::{
    admission::{Admission, OriginRecord, Target},
    ending, socket,
};

use super::control;

/// Handler of the calls.
#[derive(Clone)]
struct Server {
    control: control::Handle,
}

/// Starts the server and returns the address on which it listens.
pub async fn bind(address: SocketAddr, control: control::Handle) -> io::Result<SocketAddr> {
    let incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let address = incoming.local_addr();
    let server = Server { control };
    tokio::spawn(async move {
        let connections = incoming.filter_map(|connection| future::ready(connection.ok()));
        connections
            .for_each(|connection| {
                // If the connection is already closed, its first read fails.
                let _ = socket::prepare(connection.get_ref());
                // The end of a connection cancels its calls: waiting reservations are cancelled and
                // held slots are released.
                let connection = ending::open(connection);
                let calls = BaseChannel::with_defaults(connection).execute(server.clone().serve());
                tokio::spawn(calls.for_each(|call| {
                    tokio::spawn(call);
                    future::ready(())
                }));
                future::ready(())
            })
            .await;
    });
    Ok(address)
}

impl Admission for Server {
    async fn reserve(
        self,
        _: Context,
        ask: Ask,
        target: Target,
        limit: Option<Limit>,
    ) -> Result<Grant, Denial> {
        let stopped =
            Denial { reason: Reason::Draining, retry_after: Duration::ZERO, load: Load::default() };
        self.control.reserve(ask, target, limit).await.unwrap_or(Err(stopped))
    }

    async fn hold(self, _: Context, id: Id, address: SocketAddr) -> Fate {
        self.control.hold(id, address).await
    }

    async fn record_origin(self, _: Context, record: OriginRecord) -> bool {
        self.control.record_origin(record).await
    }

    async fn promise(self, _: Context, ask: promise::Ask) -> Option<Promise> {
        self.control.promise(ask).await
    }

    async fn redeem(self, _: Context, key: promise::Key) -> Redemption {
        self.control.redeem(key).await
    }

    async fn find_origin(self, _: Context, key: StreamKey) -> Option<String> {
        self.control.find_origin(key).await
    }
}
