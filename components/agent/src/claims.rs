//! Claims on the control thread: feeds their reducer and carries its effects out.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use model::{
    claim::{Answer, Ask, Question, Settle, Transfer, Verdict},
    id::{IncarnationId, Offset, RequestId, TargetName},
};
use scheduler::claim::{self, Clock, Effect, Event, Settings, State};
use tokio::{
    runtime,
    sync::{oneshot, watch},
};
use tracing::debug;
use wire::{
    AgentClient, control as calls,
    pool::{self, Error, Pool, context},
};

use crate::control;

/// Most claims that an agent remembers.
const CLAIM_LIMIT: usize = 200_000;
/// Longest wait for another agent to take a connection.
const CONNECT: Duration = Duration::from_millis(250);
/// Longest wait for another agent's answer to a question; shorter than an entry waits for ours.
const ASK_CALL: Duration = Duration::from_secs(1);
/// Longest wait for another agent to take claims.
const HAND_OVER_CALL: Duration = Duration::from_secs(5);

/// What an agent says of its membership and its claims.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// This run of the agent.
    pub incarnation: IncarnationId,
    /// Membership epoch that is applied.
    pub epoch: Offset,
    /// Offset of this run's join, its fencing number; `None` while it is no member.
    pub joined: Option<Offset>,
    /// Whether another run of the same target's agent is a member.
    pub replaced: bool,
    /// Whether there are other members.
    pub has_others: bool,
    /// Epoch under which all claims were handed over, if it still stands.
    pub handed_over: Option<Offset>,
}

/// What comes before the reducer of claims.
pub enum Message {
    /// An entry asks for a key.
    Claim { ask: Ask, reply: oneshot::Sender<Verdict> },
    /// A later home asks for what is remembered.
    Ask { question: Question, reply: oneshot::Sender<Answer> },
    /// An entry tells what became of an attempt.
    Settle { settle: Settle, reply: oneshot::Sender<bool> },
    /// Give claims to the members that stay; answered once they have all arrived, or didn't.
    HandOver { reply: oneshot::Sender<bool> },
    /// Anything that nobody waits for.
    Event(Event),
}

/// The reducer's state and those who wait for it.
pub struct Executor {
    state: State,
    target: TargetName,
    verdicts: HashMap<RequestId, Vec<oneshot::Sender<Verdict>>>,
    pool: Arc<Pool<AgentClient>>,
    control: control::Handle,
    status: watch::Sender<Status>,
    metrics: Arc<metrics::Agent>,
    traffic: runtime::Handle,
}

/// Gives the claims of an agent that starts; must be called on the traffic runtime.
pub fn open(
    target: TargetName,
    incarnation: IncarnationId,
    control: control::Handle,
    status: watch::Sender<Status>,
    metrics: Arc<metrics::Agent>,
) -> Executor {
    Executor {
        state: claim::open(Settings { incarnation, claims: CLAIM_LIMIT }),
        target,
        verdicts: HashMap::new(),
        pool: Arc::new(pool::open(CONNECT, calls::connect)),
        control,
        status,
        metrics,
        traffic: runtime::Handle::current(),
    }
}

impl Executor {
    /// Takes one message in and carries out what follows. A reader that went away needs no
    /// answer: it asks again, or its question counts as unanswered.
    pub fn take(&mut self, message: Message) {
        match message {
            Message::Claim { ask, reply } => {
                self.verdicts.entry(ask.attempt).or_default().push(reply);
                self.reduce(Event::Claim(ask));
            }
            Message::Ask { question, reply } => {
                for effect in self.reduce(Event::Asked(question)) {
                    if let Effect::Tell(answer) = effect {
                        let _ = reply.send(answer);
                        break;
                    }
                }
            }
            Message::Settle { settle, reply } => {
                for effect in self.reduce(Event::Settle(settle)) {
                    if let Effect::Settled { taken } = effect {
                        let _ = reply.send(taken);
                        break;
                    }
                }
            }
            Message::HandOver { reply } => self.hand_over(reply),
            Message::Event(event) => {
                self.reduce(event);
            }
        }
        self.publish();
    }

    /// Feeds the reducer and carries out all effects but those that answer its caller.
    fn reduce(&mut self, event: Event) -> Vec<Effect> {
        let clock = Clock { now: Instant::now(), wall: SystemTime::now() };
        let mut answers = Vec::new();
        for effect in claim::reduce(&mut self.state, clock, event) {
            match effect {
                Effect::Reply { attempt, verdict } => self.reply(attempt, verdict),
                Effect::Ask { address, question } => self.ask(address, question),
                answer => answers.push(answer),
            }
        }
        answers
    }

    fn reply(&mut self, attempt: RequestId, verdict: Verdict) {
        for reply in self.verdicts.remove(&attempt).unwrap_or_default() {
            let _ = reply.send(verdict);
        }
    }

    fn ask(&self, address: SocketAddr, question: Question) {
        let pool = Arc::clone(&self.pool);
        let control = self.control.clone();
        self.traffic.spawn(async move {
            let answer = ask(&pool, address, question).await;
            let Question { key, incarnation, .. } = question;
            control.claims(Message::Event(Event::Answered { key, incarnation, answer }));
        });
    }

    fn hand_over(&mut self, reply: oneshot::Sender<bool>) {
        let given = self.reduce(Event::HandOver);
        let pool = Arc::clone(&self.pool);
        let control = self.control.clone();
        self.traffic.spawn(async move {
            let mut arrived = true;
            for effect in given {
                if let Effect::HandOver { address, claims } = effect {
                    arrived &= give(&pool, address, claims).await;
                }
            }
            if !arrived {
                control.claims(Message::Event(Event::HandOverFailed));
            }
            let _ = reply.send(arrived);
        });
    }

    fn publish(&self) {
        let members = self.state.members();
        let incarnation = self.state.incarnation();
        let member = members.incarnation(&self.target);
        let own = member.filter(|member| member.id == incarnation);
        let status = Status {
            incarnation,
            epoch: members.epoch(),
            joined: own.map(|member| member.joined),
            replaced: own.is_none() && member.is_some(),
            has_others: members.members().any(|member| member.id != incarnation),
            handed_over: self.state.handed_over(),
        };
        self.metrics.claims.set(i64::try_from(self.state.len()).unwrap_or(i64::MAX));
        self.metrics.membership_epoch.set(i64::try_from(status.epoch).unwrap_or(i64::MAX));
        self.status.send_if_modified(|old| std::mem::replace(old, status) != status);
    }
}

async fn ask(pool: &Pool<AgentClient>, address: SocketAddr, question: Question) -> Option<Answer> {
    let answer = match pool.client(address).await {
        Ok(client) => client.ask_claim(context(ASK_CALL), question).await.map_err(Error::Call),
        Err(error) => Err(error),
    };
    if let Err(error) = &answer {
        debug!(%address, %error, "an earlier home can't be asked");
        pool.forget(address).await;
    }
    answer.ok()
}

async fn give(pool: &Pool<AgentClient>, address: SocketAddr, claims: Vec<Transfer>) -> bool {
    let Ok(client) = pool.client(address).await else {
        return false;
    };
    let given = client.hand_over(context(HAND_OVER_CALL), claims).await;
    given.is_ok()
}
