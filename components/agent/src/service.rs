//! The `tarpc` server for control calls of entry processes and other agents.

use std::{io, net::SocketAddr, time::Duration};

use evidence::{batch::Sequence, outbox::Handed};
use futures::{StreamExt, future};
use model::{
    claim::{self, Answer, Question, Settle, Transfer, Verdict},
    id::{Offset, TargetName},
    presence::{Report, Summary},
    refusal::Reason,
    reservation::{Ask, Denial, Fate, Grant, Id},
    snapshot::{Head, Part},
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{sync::oneshot, task::JoinHandle};
use wire::control::{Agent, Relayed, Status};

use crate::{claims::Message, config, control, outbox};

/// Handle of the running control server.
pub struct Handle {
    /// Address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

/// Handler of the calls.
#[derive(Clone)]
pub struct Server {
    /// Name of the agent's target.
    pub target: TargetName,
    /// Control thread of the agent.
    pub control: control::Handle,
    /// Copy of the configuration and the presence reports of other processes.
    pub config: config::Handle,
    /// Evidence that hasn't been appended to the log yet.
    pub outbox: outbox::Handle,
}

/// Starts the server on an address.
pub async fn bind(address: SocketAddr, server: Server) -> io::Result<Handle> {
    let incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let address = incoming.local_addr();
    let task = tokio::spawn(async move {
        let connections = incoming.filter_map(|connection| future::ready(connection.ok()));
        connections
            .for_each(|connection| {
                // If the connection is already closed, its first read fails.
                let _ = connection.get_ref().set_nodelay(true);
                let calls = BaseChannel::with_defaults(connection).execute(server.clone().serve());
                tokio::spawn(calls.for_each(|call| {
                    tokio::spawn(call);
                    future::ready(())
                }));
                future::ready(())
            })
            .await;
    });
    Ok(Handle { address, task })
}

impl Handle {
    /// Stops accepting connections; open ones stay open.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Agent for Server {
    async fn reserve(self, _: Context, ask: Ask) -> Result<Grant, Denial> {
        let stopped = Denial {
            reason: Reason::Draining,
            retry_after: Duration::ZERO,
            load: self.control.status().load,
        };
        self.config.catch_up(ask.offset);
        self.control.reserve(ask).await.unwrap_or(Err(stopped))
    }

    async fn cancel(self, _: Context, id: Id) -> Fate {
        self.control.cancel(id).await
    }

    async fn settle(self, _: Context, id: Id) -> Fate {
        self.control.settle(id).await
    }

    async fn claim(self, _: Context, ask: claim::Ask) -> Verdict {
        let (reply, verdict) = oneshot::channel();
        self.control.send_to_claims(Message::Claim { ask, reply });
        verdict.await.unwrap_or(Verdict::Leaving)
    }

    async fn settle_claim(self, _: Context, settle: Settle) -> bool {
        let (reply, taken) = oneshot::channel();
        self.control.send_to_claims(Message::Settle { settle, reply });
        taken.await.unwrap_or(false)
    }

    async fn ask_claim(self, _: Context, question: Question) -> Answer {
        let (reply, answer) = oneshot::channel();
        self.control.send_to_claims(Message::Ask { question, reply });
        answer.await.unwrap_or(Answer::Stranger)
    }

    async fn hand_over(self, _: Context, claims: Vec<Transfer>) {
        self.control.send_to_claims(Message::Event(scheduler::claim::Event::Received(claims)));
    }

    async fn status(self, _: Context) -> Status {
        let status = self.control.status();
        Status { target: self.target, draining: status.draining, load: status.load }
    }

    async fn report(self, _: Context, report: Report) -> Offset {
        self.config.report(report)
    }

    async fn presence(self, _: Context) -> Summary {
        self.config.presence()
    }

    async fn snapshot(self, _: Context, above: Offset) -> Option<Head> {
        self.config.offer(above)
    }

    async fn evidence(self, _: Context) -> Vec<Handed> {
        self.outbox.hand_over()
    }

    async fn evidence_kept(self, _: Context, sequences: Vec<Sequence>) {
        self.outbox.confirm(&sequences);
    }

    async fn records(self, _: Context, from: Offset, wait: Duration) -> Option<Relayed> {
        self.config.records(from, wait).await
    }

    async fn snapshot_part(self, _: Context, head: Head, index: u32) -> Option<Part> {
        self.config.part(&head, index)
    }
}
