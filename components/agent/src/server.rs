//! The HTTP server for traffic.
//!
//! It uses `hyper` rather than `dropshot`, because `dropshot` leaves Nagle's algorithm enabled and
//! each answer then waits 40 ms for an acknowledgement (docs/design/0005-nodelay.md).

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

/// Handle of the running traffic server.
pub struct Handle {
    /// Address on which the server listens.
    pub address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// Starts the server on an address.
pub async fn bind(address: SocketAddr, context: Arc<Context>) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(accept(listener, context, stopped));
    Ok(Handle { address, stop, task })
}

impl Handle {
    /// Stops accepting connections and waits until every answer is written.
    pub async fn close(self) {
        // The task may already have ended with the runtime.
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
            Err(error) => warn!(%error, "accepting a connection failed"),
        }
    }
    connections.shutdown().await;
}

fn serve(stream: TcpStream, context: Arc<Context>, connections: &GracefulShutdown) {
    // If the connection is already closed, its first read fails.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(traffic::handle(context, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        // An error means that the connection broke; the entry process sees that on its side.
        let _ = connection.await;
    });
}
