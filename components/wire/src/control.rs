//! Control calls that an agent serves to entry processes and other agents.

use std::{net::SocketAddr, time::Duration};

use evidence::{batch::Sequence, outbox::Handed};
use model::{
    claim::{self, Answer, Question, Settle, Transfer, Verdict},
    id::{Offset, TargetName},
    presence::{Report, Summary},
    reservation::{Ask, Denial, Fate, Grant, Id, Load},
    snapshot::{Head, Part},
};
use serde::{Deserialize, Serialize};
use tarpc::{
    client::{self, NewClient},
    tokio_serde::formats::Bincode,
};

use crate::pool::Connecting;

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Offset of the record in the stream.
    pub offset: Offset,
    /// Content of the record, as JSON text.
    pub payload: String,
}

/// Records of the configuration stream that an agent relays.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Relayed {
    /// The records, in order and without a gap.
    pub records: Vec<Record>,
    /// Offset after the agent's last record.
    pub next: Offset,
    /// Time since the start of the read of the log that last confirmed the agent's records.
    pub age: Duration,
}

/// Identity and load of the agent at an address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the agent's target.
    pub target: TargetName,
    /// Whether the agent rejects new reservations because it is about to stop.
    pub draining: bool,
    /// Load of the target.
    pub load: Load,
}

/// Calls to an agent from entry processes and from other agents.
#[tarpc::service]
pub trait Agent {
    /// Waits until the reservation is granted or denied; dropping the call cancels it.
    async fn reserve(ask: Ask) -> Result<Grant, Denial>;
    /// Cancels a reservation unless it has started; returns its state.
    async fn cancel(id: Id) -> Fate;
    /// Returns the state of a reservation and cancels it unless it has started, so that the answer is
    /// final.
    async fn settle(id: Id) -> Fate;
    /// Returns the agent's target and load.
    async fn status() -> Status;
    /// Stores a process's presence report for the length of a lease; returns the highest configuration
    /// offset that the agent has received in a report or applied.
    async fn report(report: Report) -> Offset;
    /// Returns a summary of the presence reports whose lease hasn't expired.
    async fn presence() -> Summary;
    /// Offers a snapshot of the configuration as of an offset above the given one; returns `None` if
    /// the agent has applied none above it.
    async fn snapshot(above: Offset) -> Option<Head>;
    /// Returns batches of evidence that the caller should append to the log and confirm. A batch that
    /// isn't confirmed within its lease is returned again to any caller.
    async fn evidence() -> Vec<Handed>;
    /// Confirms that batches of evidence are in the log.
    async fn evidence_kept(sequences: Vec<Sequence>);
    /// Returns one part of an offered snapshot; `None` once the agent has offered another one.
    async fn snapshot_part(head: Head, index: u32) -> Option<Part>;
    /// Returns records of the configuration stream from an offset on, and waits up to `wait` for the
    /// first. Returns `None` if the agent no longer has some of them or hasn't read the log yet.
    async fn records(from: Offset, wait: Duration) -> Option<Relayed>;
    /// Claims an idempotency key at its home, the agent that decides the key's claims.
    async fn claim(ask: claim::Ask) -> Verdict;
    /// Reports the result of an attempt that was granted a key; returns whether the agent is the
    /// key's home.
    async fn settle_claim(settle: Settle) -> bool;
    /// Asks an earlier home of a key what it remembers of the key.
    async fn ask_claim(question: Question) -> Answer;
    /// Hands claims over to the next home of their keys.
    async fn hand_over(claims: Vec<Transfer>);
}

/// Connects to the agent at an address.
pub fn connect(address: SocketAddr) -> Connecting<AgentClient> {
    Box::pin(async move {
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = connecting.await?;
        // With Nagle's algorithm, each small message would wait 40 ms for an acknowledgement of the
        // previous one.
        transport.get_ref().set_nodelay(true)?;
        let NewClient { client, dispatch } = AgentClient::new(client::Config::default(), transport);
        // The reason for the end of a connection doesn't matter: the next call opens a new one.
        Ok((client, Box::pin(async move { drop(dispatch.await) }) as _))
    })
}
