//! A TCP relay between two processes that can cut, refuse and swallow.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

const BUFFER: usize = 16 << 10;

/// What a relay does to the connections that it takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing: bytes go both ways.
    #[default]
    None,
    /// The connection is cut as soon as its first bytes came; none go on.
    CutBefore,
    /// Bytes go on, and those that come back are dropped.
    Swallow,
}

/// A running relay.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    cuts: watch::Sender<u64>,
    task: JoinHandle<()>,
}

/// Starts a relay to an address.
pub async fn bind(address: SocketAddr, upstream: SocketAddr) -> io::Result<Proxy> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let fault = Arc::new(Mutex::new(Fault::None));
    let (cuts, cut) = watch::channel(0);
    let task = tokio::spawn(accept(listener, upstream, Arc::clone(&fault), cut));
    Ok(Proxy { address, fault, cuts, task })
}

impl Proxy {
    /// Changes what happens to bytes from now on.
    pub fn fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Cuts all connections; new ones are taken.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    cut: watch::Receiver<u64>,
) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let fault = Arc::clone(&fault);
        let mut cut = cut.clone();
        cut.mark_unchanged();
        connections.spawn(async move {
            tokio::select! {
                // An error is a connection that one of both sides closed.
                _ = relay(near, upstream, fault) => {}
                _ = cut.changed() => {}
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(
    mut near: TcpStream,
    upstream: SocketAddr,
    fault: Arc<Mutex<Fault>>,
) -> io::Result<()> {
    let mut far = TcpStream::connect(upstream).await?;
    let now = || *fault.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut sent, mut received) = ([0; BUFFER], [0; BUFFER]);
    loop {
        tokio::select! {
            read = near.read(&mut sent) => match read? {
                0 => return Ok(()),
                _ if now() == Fault::CutBefore => return Ok(()),
                len => far.write_all(&sent[..len]).await?,
            },
            read = far.read(&mut received) => match read? {
                0 => return Ok(()),
                _ if now() == Fault::Swallow => {}
                len => near.write_all(&received[..len]).await?,
            },
        }
    }
}
