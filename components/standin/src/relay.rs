//! A TCP relay that counts the bytes of its connections, in each direction.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::{JoinHandle, JoinSet},
    try_join,
};

const BUFFER_BYTES: usize = 16 << 10;

/// Bytes that went through so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bytes {
    /// From those who connected.
    pub sent: u64,
    /// Back to them.
    pub answered: u64,
}

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    answered: AtomicU64,
}

/// A running relay; dropping it cuts its connections.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

/// Starts a relay from one address to another.
pub async fn bind(address: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let counts = Arc::new(Counts::default());
    let task = tokio::spawn(accept(listener, to, Arc::clone(&counts)));
    Ok(Relay { address, counts, task })
}

impl Relay {
    /// Bytes that went through so far.
    pub fn bytes(&self) -> Bytes {
        let sent = self.counts.sent.load(Ordering::Relaxed);
        let answered = self.counts.answered.load(Ordering::Relaxed);
        Bytes { sent, answered }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, counts: Arc<Counts>) {
    // Connections live in this set, so that ending this task cuts them all.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(pass(stream, to, Arc::clone(&counts)));
        while connections.try_join_next().is_some() {}
    }
}

async fn pass(near: TcpStream, to: SocketAddr, counts: Arc<Counts>) -> io::Result<()> {
    let far = TcpStream::connect(to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let sent = copy(near_read, far_write, &counts.sent);
    let answered = copy(far_read, near_write, &counts.answered);
    try_join!(sent, answered)?;
    Ok(())
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    count: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await? {
            0 => return to.shutdown().await,
            read => {
                count.fetch_add(read as u64, Ordering::Relaxed);
                to.write_all(&buffer[..read]).await?;
            }
        }
    }
}
