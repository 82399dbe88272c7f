//! The entry process for direct dispatch: it accepts callers' requests, sends them directly to targets and
//! relays the answers. Targets may have an agent that grants slots, but requests and answers don't pass
//! through the agent.
//!
//! The control thread owns the state of scheduling and communicates with the other entry processes; the
//! traffic thread serves requests. A [`Dialect`] converts between HTTP messages and the types of this
//! crate. A [`Feed`] reads the configuration and the list of targets.

mod agents;
pub mod answer;
pub mod bodies;
pub mod buffer;
mod call;
pub mod control;
mod dispatch;
mod events;
mod ingress;
mod links;
mod origins;
pub mod overload;
mod peer;
mod promises;
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
use model::id::{PartId, TargetName};
use scheduler::direct::{self, Dispatch, Refusal, Tokens};
use thiserror::Error;
use tokio::net::TcpListener;
use tracing::info;

/// Body of an answer to a caller; an error closes the connection before the answer is complete.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// the answer ended incomplete
#[derive(Clone, Copy, Debug, Display, Error)]
pub struct Broken;

/// Source of the configuration and of the list of targets: sends them to the control thread as events. The
/// future runs on the control thread.
pub type Feed = Box<dyn FnOnce(control::Handle) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send>;

/// Reason why the process can't start, or ends.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// can't listen at {0}: {1}
    Listen(SocketAddr, io::Error),
    /// the control thread can't be started: {0}
    Start(io::Error),
    /// the control thread ended
    ControlEnded,
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the process in logs.
    pub name: String,
    /// Address at which the process listens for callers.
    pub caller_address: SocketAddr,
    /// Address at which the process listens for the load balancer's health checks.
    pub health_address: SocketAddr,
    /// Address at which the process serves its metrics; `None` where it doesn't serve them.
    pub metrics_address: Option<SocketAddr>,
    /// Address at which the process listens for other entry processes.
    pub peer_address: SocketAddr,
    /// Addresses of other entry processes that may be alive.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of connections of callers.
    pub max_connections: usize,
    /// Maximum number of bytes that answers of targets may take before they are passed on, all answers together and
    /// beyond a small part that each may always use.
    pub max_buffered_bytes: usize,
    /// Maximum number of bytes that bodies of callers' requests may take, all bodies together and beyond a small part
    /// that each may always use.
    pub max_body_bytes: usize,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
    /// Settings of the reducer of direct dispatch.
    pub direct: direct::Settings,
}

/// Parameters of a request that are read from its head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestInfo {
    /// Request ID that the caller sent.
    pub id: String,
    /// Host name that the caller requests; selects the route together with the path.
    pub host: String,
    /// API key that the caller sent; `None` for a request without one.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the answer; `None` where the caller sent no deadline.
    pub remaining_time: Option<Duration>,
    /// Token counts that the caller states; `None` where the request has none.
    pub tokens: Option<Tokens>,
    /// Number of tokens that the caller expects in the answer; `None` where it gave no hint.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt that other requests may share, in order, without the last part, which is the
    /// request's own.
    pub shared_parts: Vec<PartId>,
    /// ID of the last event that the caller already received of a resumed stream; the answer contains only
    /// later events. `None` for a stream from its beginning and for other answers.
    pub last_event_id: Option<String>,
    /// Request ID of the caller's attempt that received the first event of the stream that this attempt
    /// resumes; `None` where the caller names none.
    pub first_attempt: Option<String>,
}

/// A request of which head and body were received completely.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, URI and headers of the request, as the caller sent them.
    pub head: request::Parts,
    /// Complete body of the request.
    pub body: Bytes,
    /// Parameters that were read from the head.
    pub info: RequestInfo,
}

/// What the head of a target's answer states.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerInfo {
    /// ID of the request that the answer names; `None` where it names none.
    pub request_id: Option<String>,
    /// Name of the target that made the answer; `None` where the answer doesn't state it.
    pub target: Option<TargetName>,
    /// What became of the request that was answered.
    pub claim: Claim,
}

/// What a target states about the request that it answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The target ran the request and signed its answer.
    Answered,
    /// The target ran the request and signed an error answer.
    Failed,
    /// The target signed an error answer whose status states to callers that the request didn't run, without stating so
    /// itself: it may have run.
    FailedAmbiguously,
    /// The target rejected the request and did not run it.
    Rejected,
    /// The target isn't the one that the request was sent to, and did not run it.
    Replaced,
    /// None of these: the answer isn't proper.
    Unproven,
}

/// What a target states in an answer about the requests that it accepts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Rate limit in requests per second; `None` where the answer states none.
    pub rate_limit: Option<f64>,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Time for which the target wants no requests from this process; `None` where the answer states none.
    pub rest: Option<Duration>,
    /// Descriptions of the statements that can't be read.
    pub findings: Vec<String>,
}

/// Builds the request to a target from the caller's request, the dispatch, the time until the deadline and
/// the ID of the last event that the caller received; `None` where the caller received none.
pub type BuildRequest =
    fn(&ReceivedRequest, &Dispatch, Duration, Option<&str>) -> http::Request<Full<Bytes>>;

/// Conversion between HTTP messages and the types of this crate.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads the parameters of a caller's request; an error describes what is wrong and is sent to the
    /// caller.
    pub read_request: fn(&request::Parts) -> Result<RequestInfo, String>,
    /// Builds the request to a target.
    pub build_request: BuildRequest,
    /// Reads what the head of a target's answer states.
    pub read_answer: fn(&response::Parts) -> AnswerInfo,
    /// Reads what a target's answer states about the requests that the target accepts.
    pub read_notice: fn(&response::Parts) -> Notice,
    /// Removes the headers from a target's answer that concern only the connection to the target.
    pub remove_connection_headers: fn(&mut response::Parts),
    /// Builds the error answer for a refused request, with the request ID where it is known.
    pub build_refusal: fn(&Refusal, Option<&str>) -> http::Response<Bytes>,
}

/// Destinations for the metrics and the evidence of a process.
#[derive(Clone, Debug)]
pub struct Records {
    /// Metrics of the process.
    pub metrics: Arc<Gateway>,
    /// Buffer for the evidence of each request.
    pub evidence: Buffer,
}

/// Addresses at which a process listens; they differ from its settings where these have port 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the load balancer's health checks.
    pub health_address: SocketAddr,
    /// Address for other entry processes.
    pub peer_address: SocketAddr,
}

/// Handle of a running entry process.
pub struct Handle {
    /// Addresses at which the process listens.
    pub addresses: Addresses,
    control: control::Handle,
    ingress: ingress::Handle,
    grace: Duration,
}

/// Starts the process on the current `tokio` runtime, which serves the requests.
pub async fn spawn(
    mut settings: Settings,
    dialect: Dialect,
    feed: Feed,
    records: Records,
) -> Result<Handle, Error> {
    let listeners = ingress::Listeners {
        callers: ingress::listen(settings.caller_address)
            .map_err(|error| Error::Listen(settings.caller_address, error))?,
        operators: listen(settings.health_address).await?,
        metrics: match settings.metrics_address {
            Some(address) => Some(listen(address).await?),
            None => None,
        },
    };
    let peers = listen(settings.peer_address).await?;
    let addresses = Addresses {
        caller_address: local_address(&listeners.callers)?,
        health_address: local_address(&listeners.operators)?,
        peer_address: local_address(&peers)?,
    };
    settings.direct.address = addresses.peer_address;
    let metrics = Arc::clone(&records.metrics);
    let control = control::spawn(&settings, peers, feed, records).map_err(Error::Start)?;
    let client = dispatch::open(settings.max_buffered_bytes);
    let bodies = bodies::open(settings.max_body_bytes, Arc::clone(&metrics));
    let context = Arc::new(call::Context {
        control: control.clone(),
        dialect,
        client,
        bodies,
        metrics: Arc::clone(&metrics),
    });
    let ingress = ingress::spawn(listeners, settings.max_connections, context, metrics);
    let Addresses { caller_address: callers, health_address: operators, peer_address: peers } =
        &addresses;
    info!(name = settings.name, %callers, %operators, %peers, "listening");
    Ok(Handle { addresses, control, ingress, grace: settings.grace_period })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(Error::Start)
}

/// Time after the request to stop for which all new requests are still accepted: the load balancer needs up
/// to two seconds to stop sending requests.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);
/// Time in which the other entry processes learn that this process accepts no more requests: three
/// exchanges.
const LEAVING_EXCHANGE_TIME: Duration = Duration::from_millis(150);
/// Time between the end of the process and the end of its grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

impl Handle {
    /// Adds addresses of entry processes that may be alive.
    pub fn add_peers(&self, seeds: &[SocketAddr]) {
        self.control.add_peers(seeds);
    }

    /// Returns the addresses of the other entry processes that may be alive.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.control.status().borrow().peers.clone()
    }

    /// Waits until the process can serve no more requests, since its control thread has ended.
    pub async fn wait_for_end(&self) {
        self.control.wait_for_end().await;
    }

    /// Fails the load balancer's health checks, finishes the open requests as far as the grace period
    /// allows, and stops.
    pub async fn drain(self) {
        let end = tokio::time::Instant::now() + self.grace - EXIT_MARGIN;
        info!(
            connections = self.ingress.connections_in_use(),
            "leaving: the health check fails from now on"
        );
        self.control.fail_health_checks();
        self.ingress.close_idle();
        tokio::time::sleep(BALANCER_DELAY).await;
        info!(
            connections = self.ingress.connections_in_use(),
            "draining: requests that may not end in time are refused"
        );
        self.control.send(direct::Event::Drain { end: end.into_std() });
        let ended = tokio::time::timeout_at(end, self.ingress.wait_until_idle()).await;
        // Refuses all requests from here on. Requests that arrived just before are finished too.
        self.control.send(direct::Event::Drain { end: std::time::Instant::now() });
        tokio::time::sleep(LEAVING_EXCHANGE_TIME).await;
        let ended = ended.and(tokio::time::timeout_at(end, self.ingress.wait_until_idle()).await);
        self.control.record_close().await;
        info!(connections = self.ingress.connections_in_use(), whole = ended.is_ok(), "stopped");
    }
}
