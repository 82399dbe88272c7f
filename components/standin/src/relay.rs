//! A TCP relay between two processes that counts bytes and can cut, swallow or slow them.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep_until},
};

const BUFFER_BYTES: usize = 16 << 10;

/// What a relay does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing: bytes go both ways.
    #[default]
    None,
    /// The connection is cut as soon as bytes come; none go on.
    CutBefore,
    /// Bytes go on, and those that come back are dropped.
    Swallow,
}

/// Bytes that came so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bytes {
    /// From those who connected.
    pub sent: u64,
    /// Back to them, dropped ones too.
    pub answered: u64,
}

/// A host's link: all relays that it is given to share its rate, in both directions together.
#[derive(Debug)]
pub struct Link {
    /// Bytes a second.
    rate: f64,
    /// When it has carried what was given to it so far.
    free: Mutex<Instant>,
    carried: AtomicU64,
}

/// Gives a link of so many bytes a second.
pub fn link(rate: f64) -> Arc<Link> {
    Arc::new(Link { rate, free: Mutex::new(Instant::now()), carried: AtomicU64::new(0) })
}

impl Link {
    /// Bytes that it carried so far.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    async fn carry(&self, bytes: usize) {
        self.carried.fetch_add(bytes as u64, Ordering::Relaxed);
        let until = {
            let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
            let time = Duration::from_secs_f64(bytes as f64 / self.rate);
            *free = (*free).max(Instant::now()) + time;
            *free
        };
        sleep_until(until).await;
    }
}

#[derive(Debug, Default)]
struct Shared {
    sent: AtomicU64,
    answered: AtomicU64,
    fault: Mutex<Fault>,
    link: Option<Arc<Link>>,
}

/// A running relay; dropping it cuts its connections.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    cuts: watch::Sender<u64>,
    task: JoinHandle<()>,
}

/// Starts a relay from one address to another.
pub async fn bind(address: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
    spawn(address, to, Shared::default()).await
}

/// Starts a relay whose bytes go over a link.
pub async fn bind_over(link: &Arc<Link>, address: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
    spawn(address, to, Shared { link: Some(Arc::clone(link)), ..Shared::default() }).await
}

async fn spawn(address: SocketAddr, to: SocketAddr, shared: Shared) -> io::Result<Relay> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(shared);
    let (cuts, cut) = watch::channel(0);
    let task = tokio::spawn(accept(listener, to, Arc::clone(&shared), cut));
    Ok(Relay { address, shared, cuts, task })
}

impl Relay {
    /// Bytes that came so far.
    pub fn bytes(&self) -> Bytes {
        let sent = self.shared.sent.load(Ordering::Relaxed);
        let answered = self.shared.answered.load(Ordering::Relaxed);
        Bytes { sent, answered }
    }

    /// Changes what happens to bytes from now on.
    pub fn fault(&self, fault: Fault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Cuts all connections; new ones are taken.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    async fn carry(&self, bytes: usize) {
        if let Some(link) = &self.link {
            link.carry(bytes).await;
        }
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    shared: Arc<Shared>,
    cut: watch::Receiver<u64>,
) {
    // Connections live in this set, so that ending this task cuts them all.
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        let mut cut = cut.clone();
        cut.mark_unchanged();
        connections.spawn(async move {
            tokio::select! {
                // An error is a connection that one of both sides closed.
                _ = pass(near, to, &shared) => {}
                _ = cut.changed() => {}
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn pass(mut near: TcpStream, to: SocketAddr, shared: &Shared) -> io::Result<()> {
    let mut far = TcpStream::connect(to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (mut sent, mut answered) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    loop {
        tokio::select! {
            read = near.read(&mut sent) => {
                let read = read?;
                shared.sent.fetch_add(read as u64, Ordering::Relaxed);
                if read == 0 || shared.fault() == Fault::CutBefore {
                    return Ok(());
                }
                shared.carry(read).await;
                far.write_all(&sent[..read]).await?;
            }
            read = far.read(&mut answered) => {
                let read = read?;
                shared.answered.fetch_add(read as u64, Ordering::Relaxed);
                shared.carry(read).await;
                match shared.fault() {
                    _ if read == 0 => return Ok(()),
                    Fault::Swallow => {}
                    Fault::None | Fault::CutBefore => near.write_all(&answered[..read]).await?,
                }
            }
        }
    }
}
