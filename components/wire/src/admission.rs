//! Calls that an agent serves to entry processes which call its target themselves.

use std::net::SocketAddr;

use model::reservation::{Ask, Denial, Fate, Grant, Id, Limit};
use serde::{Deserialize, Serialize};
use tarpc::{
    client::{self, NewClient},
    tokio_serde::formats::Bincode,
};

use crate::{pool::Connecting, socket};

/// The target, as the process that reserves knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it may have at once; at least 1.
    pub slots: u32,
    /// Whether the agent stands beside it, and can ask it what it has.
    pub beside: bool,
}

/// Calls to an agent that admits requests without carrying them.
#[tarpc::service]
pub trait Admission {
    /// Waits for room at the target, whose rate limit is as given where the process heard of one; dropping
    /// the call cancels the reservation.
    async fn reserve(ask: Ask, target: Target, limit: Option<Limit>) -> Result<Grant, Denial>;
    /// Keeps granted room at the target that listens at an address until the call is dropped or its
    /// connection ends. It is answered only where there is no room to keep, with what became of the
    /// reservation.
    async fn hold(id: Id, address: SocketAddr) -> Fate;
}

/// Connects to an agent.
pub fn connect(address: SocketAddr) -> Connecting<AdmissionClient> {
    Box::pin(async move {
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = connecting.await?;
        socket::prepare(transport.get_ref())?;
        let NewClient { client, dispatch } =
            AdmissionClient::new(client::Config::default(), transport);
        // However the connection ends, the next call opens another.
        Ok((client, Box::pin(async move { drop(dispatch.await) }) as _))
    })
}
