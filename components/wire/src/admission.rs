//! Calls of an agent that only performs admission control: entry processes reserve a slot with these
//! calls and then send their requests to the target directly.

use std::net::SocketAddr;

use model::{
    id::StreamKey,
    promise::{self, Promise, Redemption},
    reservation::{Ask, Denial, Fate, Grant, Id, Limit},
};
use serde::{Deserialize, Serialize};
use tarpc::{
    client::{self, NewClient},
    tokio_serde::formats::Bincode,
};

use crate::{pool::Connecting, socket};

/// Description of a target, which an entry process sends with each reservation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Number of requests that the target may run at once; at least 1.
    pub slots: u32,
    /// Whether the agent runs on the target's host, so that it can probe the target's load.
    pub beside: bool,
    /// Number of the target's start (see [`start_number`]): another target, or the same one after a restart,
    /// may listen at the same address.
    pub start: u64,
}

/// Returns the number of a target's start, which is the same in all processes.
pub fn start_number(name: &str, incarnation: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&incarnation.to_be_bytes()).update(name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}

/// Record of the version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Version of the target that sent the first event.
    pub version: String,
    /// Time in milliseconds for which the record is needed.
    pub lifetime_ms: u32,
}

/// Calls to an agent that only performs admission control.
#[tarpc::service]
pub trait Admission {
    /// Waits until the reservation is granted or denied; dropping the call cancels it. `limit` is the
    /// target's rate limit as the caller last received it; `None` if it never received one.
    async fn reserve(ask: Ask, target: Target, limit: Option<Limit>) -> Result<Grant, Denial>;
    /// Holds the granted slot at the target with this address until the call is dropped or its
    /// connection ends. It returns only if the reservation has no grant, with the reservation's state.
    async fn hold(id: Id, address: SocketAddr) -> Fate;
    /// Records which version began a stream, until the caller of the stream can't resume it any more. Returns
    /// whether it was recorded.
    async fn record_origin(record: OriginRecord) -> bool;
    /// Returns the version that began a stream; `None` if the agent has no record of it.
    async fn find_origin(key: StreamKey) -> Option<String>;
    /// Promises a refused caller a time from which on it goes before newcomers of its tier; `None` if all times at
    /// which it can return are promised to others.
    async fn promise(ask: promise::Ask) -> Option<Promise>;
    /// Returns whether a caller returns at the time that it was promised, and uses the promise up if it does.
    async fn redeem(key: promise::Key) -> Redemption;
}

/// Connects to the agent at an address.
pub fn connect(address: SocketAddr) -> Connecting<AdmissionClient> {
    Box::pin(async move {
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = connecting.await?;
        socket::prepare(transport.get_ref())?;
        let NewClient { client, dispatch } =
            AdmissionClient::new(client::Config::default(), transport);
        // The reason for the end of a connection doesn't matter: the next call opens a new one.
        Ok((client, Box::pin(async move { drop(dispatch.await) }) as _))
    })
}
