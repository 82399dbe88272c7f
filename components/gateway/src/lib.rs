//! The entry process of a deployment whose targets have no agent beside them: takes callers'
//! requests, dispatches them straight to targets and relays the answers.
//!
//! One thread holds the control state and speaks to the other entry processes; another carries the
//! traffic. How requests and answers are spelled is told by a [`Dialect`], where the configuration
//! and the list of targets come from by a [`Feed`].

mod agents;
mod call;
pub mod control;
mod dispatch;
mod events;
mod ingress;
mod links;
mod peer;
pub mod proof;
pub mod record;
mod relay;

use std::{future::Future, io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use evidence::Buffer;
use http::{request, response};
use http_body_util::{Full, combinators::UnsyncBoxBody};
use metrics::Gateway;
use scheduler::direct::{self, Dispatch, Refusal, Tokens};
use thiserror::Error;
use tokio::net::TcpListener;
use tracing::info;

/// A body that goes to a caller; an error breaks the connection off.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// the answer broke off
#[derive(Clone, Copy, Debug, Display, Error)]
pub struct Broken;

/// Reads the configuration and the targets, and feeds them to the control thread, on which it runs.
pub type Feed = Box<dyn FnOnce(control::Handle) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send>;

/// Why the process can't run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// can't listen at {0}: {1}
    Listen(SocketAddr, io::Error),
    /// the control thread can't be started: {0}
    Thread(io::Error),
}

/// What the process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name, for logs.
    pub name: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's health check.
    pub operators: SocketAddr,
    /// For readers of metrics, where there is such an address.
    pub metrics: Option<SocketAddr>,
    /// For other entry processes.
    pub peers: SocketAddr,
    /// Other entry processes that may be alive.
    pub seeds: Vec<SocketAddr>,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// What the reducer is told.
    pub direct: direct::Settings,
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ask {
    /// Its id, as its caller gave it.
    pub id: String,
    /// Host name that it asks for.
    pub host: String,
    /// The key that it bears.
    pub key: Option<String>,
    /// Time for which its caller waits.
    pub patience: Option<Duration>,
    /// Its tokens.
    pub tokens: Option<Tokens>,
    /// Tokens of the answer that its caller expects.
    pub expected: Option<u32>,
    /// The event after which its answer goes on.
    pub last_event: Option<String>,
}

/// A request that arrived whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// What it says of itself.
    pub ask: Ask,
}

/// What the head of a target's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer to the request; it goes to the caller as it is.
    Answer,
    /// A failure with the target's mark, which goes to the caller unless the request is repeated.
    Failure,
    /// The target did not run the request.
    NotRun,
    /// Another target has the address, and did not run the request.
    Replaced,
    /// No proper answer to this request.
    Foreign,
}

/// Makes the request to a target, with the time that remains and the event to go on after.
pub type Forward = fn(&Call, &Dispatch, Duration, Option<&str>) -> http::Request<Full<Bytes>>;

/// How requests and answers are spelled.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads the head of a caller's request; an error says what is wrong with it.
    pub read: fn(&request::Parts) -> Result<Ask, String>,
    /// Makes the request to a target, with the time that remains and the event to go on after.
    pub forward: Forward,
    /// Judges the head of a target's answer.
    pub judge: fn(&response::Parts, &Call) -> Verdict,
    /// Reads the rate limit, in requests a second, that a target's answer names; an error says what is
    /// wrong with it.
    pub limit: fn(&response::Parts) -> Result<Option<f64>, String>,
    /// Takes the headers out of a target's answer that concern its connection only.
    pub strip: fn(&mut response::Parts),
    /// Makes an answer of our own.
    pub refuse: fn(&Refusal, Option<&str>) -> http::Response<Bytes>,
}

/// Where a process writes what it did.
#[derive(Clone, Debug)]
pub struct Records {
    /// Counters and histograms.
    pub metrics: Arc<Gateway>,
    /// Evidence of each request.
    pub evidence: Buffer,
}

/// Where a process listens; differs from its settings where these take any free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's health check.
    pub operators: SocketAddr,
    /// For other entry processes.
    pub peers: SocketAddr,
}

/// A running process.
pub struct Handle {
    /// Where it listens.
    pub addresses: Addresses,
    control: control::Handle,
    ingress: ingress::Handle,
    grace: Duration,
}

/// Starts the process on the current `tokio` runtime, which becomes its traffic thread.
pub async fn spawn(
    mut settings: Settings,
    dialect: Dialect,
    feed: Feed,
    records: Records,
) -> Result<Handle, Error> {
    let listeners = ingress::Listeners {
        callers: listen(settings.callers).await?,
        operators: listen(settings.operators).await?,
        metrics: match settings.metrics {
            Some(address) => Some(listen(address).await?),
            None => None,
        },
    };
    let peers = listen(settings.peers).await?;
    let addresses = Addresses {
        callers: local(&listeners.callers)?,
        operators: local(&listeners.operators)?,
        peers: local(&peers)?,
    };
    settings.direct.address = addresses.peers;
    let metrics = Arc::clone(&records.metrics);
    let control = control::spawn(&settings, peers, feed, records).map_err(Error::Thread)?;
    let context =
        Arc::new(call::Context { control: control.clone(), dialect, targets: dispatch::open() });
    let ingress = ingress::spawn(listeners, context, metrics);
    let Addresses { callers, operators, peers } = &addresses;
    info!(name = settings.name, %callers, %operators, %peers, "listening");
    Ok(Handle { addresses, control, ingress, grace: settings.grace })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

fn local(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(Error::Thread)
}

/// Time after the request to stop for which new requests are still taken: the balancer needs up to
/// two seconds to send no more.
const LAME: Duration = Duration::from_millis(2_500);
/// Time in which the others hear that this process takes no more: three exchanges.
const FAREWELL: Duration = Duration::from_millis(150);
/// Time before the end of the grace in which the process ends by itself.
const MARGIN: Duration = Duration::from_millis(700);

impl Handle {
    /// Hears of entry processes that may be alive.
    pub fn introduce(&self, seeds: &[SocketAddr]) {
        self.control.introduce(seeds);
    }

    /// Other entry processes that may be alive.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.control.watch().borrow().peers.clone()
    }

    /// Tells the balancer to send no more, finishes what is in progress, and ends.
    pub async fn drain(self) {
        let end = tokio::time::Instant::now() + self.grace - MARGIN;
        info!(open = self.ingress.open(), "leaving: the health check fails from now on");
        self.control.lame();
        self.ingress.close_idle();
        tokio::time::sleep(LAME).await;
        info!(open = self.ingress.open(), "draining: what may not end in time is refused");
        self.control.send(direct::Event::Drain { end: end.into_std() });
        let ended = tokio::time::timeout_at(end, self.ingress.ended()).await;
        // Nothing is taken from here on; what came just before is finished too.
        self.control.send(direct::Event::Drain { end: std::time::Instant::now() });
        tokio::time::sleep(FAREWELL).await;
        let ended = ended.and(tokio::time::timeout_at(end, self.ingress.ended()).await);
        self.control.close().await;
        info!(open = self.ingress.open(), whole = ended.is_ok(), "stopped");
    }
}
