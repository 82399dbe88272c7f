//! Serves control calls by `tarpc`.

use std::{io, net::SocketAddr};

use futures::{StreamExt, future};
use model::{
    id::TargetName,
    refusal::Reason,
    reservation::{Ask, Denial, Fate, Grant, Id},
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::task::JoinHandle;
use wire::control::{Agent, Status};

use crate::control;

/// The running server.
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Clone)]
struct Server {
    target: TargetName,
    control: control::Handle,
}

/// Starts to serve at an address.
pub async fn bind(
    address: SocketAddr,
    target: TargetName,
    control: control::Handle,
) -> io::Result<Handle> {
    let incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let address = incoming.local_addr();
    let server = Server { target, control };
    let task = tokio::spawn(async move {
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
    Ok(Handle { address, task })
}

impl Handle {
    /// Takes no further connection.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Agent for Server {
    async fn reserve(self, _: Context, ask: Ask) -> Result<Grant, Denial> {
        let stopped = Denial {
            reason: Reason::Draining,
            retry_after: std::time::Duration::ZERO,
            load: self.control.status().load,
        };
        self.control.reserve(ask).await.unwrap_or(Err(stopped))
    }

    async fn cancel(self, _: Context, id: Id) -> Fate {
        self.control.cancel(id).await
    }

    async fn settle(self, _: Context, id: Id) -> Fate {
        self.control.settle(id).await
    }

    async fn status(self, _: Context) -> Status {
        let status = self.control.status();
        Status { target: self.target, draining: status.draining, load: status.load }
    }
}
