//! Control calls that an agent serves.

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
    /// Its offset.
    pub offset: Offset,
    /// Its text.
    pub payload: String,
}

/// Records that an agent passes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Relayed {
    /// The records, in order and without a gap.
    pub records: Vec<Record>,
    /// Offset after the last that the agent has.
    pub next: Offset,
    /// Time since the agent asked the log for what it has.
    pub age: Duration,
}

/// Who answers at an address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The target that the agent stands beside.
    pub target: TargetName,
    /// Whether it takes no new reservations.
    pub draining: bool,
    /// Its load.
    pub load: Load,
}

/// Calls to an agent from entry processes and from other agents.
#[tarpc::service]
pub trait Agent {
    /// Waits for room; dropping the call cancels the reservation.
    async fn reserve(ask: Ask) -> Result<Grant, Denial>;
    /// Gives up a reservation that hasn't started, and tells what became of it.
    async fn cancel(id: Id) -> Fate;
    /// Tells whether a reservation started; one that hasn't never will after this question.
    async fn settle(id: Id) -> Fate;
    /// Tells who the agent is and how loaded.
    async fn status() -> Status;
    /// Keeps a process's report for a lease, and tells the highest offset that was heard of.
    async fn report(report: Report) -> Offset;
    /// Tells what processes reported within the lease.
    async fn presence() -> Summary;
    /// Offers a snapshot of the configuration as of an offset above the given one.
    async fn snapshot(above: Offset) -> Option<Head>;
    /// Gives batches of evidence for the asker to append to the log, for as long as the lease.
    async fn evidence() -> Vec<Handed>;
    /// Tells that batches of evidence are in the log.
    async fn evidence_kept(sequences: Vec<Sequence>);
    /// Gives one part of an offered snapshot, while the agent still holds it.
    async fn snapshot_part(head: Head, index: u32) -> Option<Part>;
    /// Passes on records of the configuration, waiting for the first; `None` where the agent
    /// doesn't have them all, or hears nothing from the log.
    async fn records(from: Offset, wait: Duration) -> Option<Relayed>;
    /// Asks a key's home for the key.
    async fn claim(ask: claim::Ask) -> Verdict;
    /// Tells what became of an attempt that was granted; gives whether the agent is the key's
    /// home.
    async fn settle_claim(settle: Settle) -> bool;
    /// Asks an earlier home of a key what it remembers.
    async fn ask_claim(question: Question) -> Answer;
    /// Hands claims to their next home.
    async fn hand_over(claims: Vec<Transfer>);
}

/// Connects to an agent.
pub fn connect(address: SocketAddr) -> Connecting<AgentClient> {
    Box::pin(async move {
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = connecting.await?;
        // Small messages that wait for the last one's acknowledgement cost 40 ms each.
        transport.get_ref().set_nodelay(true)?;
        let NewClient { client, dispatch } = AgentClient::new(client::Config::default(), transport);
        // However the connection ends, the next call opens another.
        Ok((client, Box::pin(async move { drop(dispatch.await) }) as _))
    })
}
