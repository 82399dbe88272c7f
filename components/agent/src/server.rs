//! The HTTP server for traffic.
//!
//! It stands on `hyper` and not on `dropshot`, which leaves Nagle's algorithm on: each answer
//! then waits 40 ms for an acknowledgement (docs/design/0005-nodelay.md).

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{rt::TokioIo, server::graceful::GracefulShutdown};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::JoinHandle,
};
use tracing::warn;

use crate::traffic::{self, Context};

/// The running server.
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Starts to serve at an address.
pub async fn bind(address: SocketAddr, context: Arc<Context>) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(accept(listener, context, stopped));
    Ok(Handle { address, stop, task })
}

impl Handle {
    /// Takes no further connection and waits until every answer is written.
    pub async fn close(self) {
        // Either may have ended already, with the runtime.
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, context: Arc<Context>, mut stopped: oneshot::Receiver<()>) {
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, Arc::clone(&context), &connections),
            Err(error) => warn!(%error, "no connection was accepted"),
        }
    }
    connections.shutdown().await;
}

fn serve(stream: TcpStream, context: Arc<Context>, connections: &GracefulShutdown) {
    // A connection that is gone already shows itself at its first use.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(traffic::handle(context, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        // An error here is a connection that was cut; the entry sees that on its side.
        let _ = connection.await;
    });
}
