//! Claims of idempotency keys: feeds their reducer on the control thread and carries out its effects.
//!
//! The home of a key is the agent that decides its claims. Homes follow from the members, so they
//! change when an agent joins or leaves.

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

/// Largest number of claims that an agent remembers.
const MAX_CLAIMS: usize = 200_000;
/// Timeout of a connection attempt to another agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a question to another agent; shorter than the time that an entry process waits for
/// this agent's answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call that hands claims over to another agent.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// State of an agent's membership and claims.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Incarnation of the agent: the id of its current run.
    pub incarnation: IncarnationId,
    /// Membership epoch that is applied; 0 before the first.
    pub epoch: Offset,
    /// Offset of this incarnation's join, which is its fencing number; `None` while the agent isn't
    /// a member.
    pub joined: Option<Offset>,
    /// Whether another incarnation of the same target's agent is a member instead.
    pub replaced: bool,
    /// Whether there are other members.
    pub has_others: bool,
    /// Epoch under which all claims were handed over; `None` if the epoch has changed since or claims
    /// remain.
    pub handed_over: Option<Offset>,
}

/// Message to the reducer of claims.
pub enum Message {
    /// Claim of a key by an entry process.
    Claim { ask: Ask, reply: oneshot::Sender<Verdict> },
    /// Question of a key's later home about what this agent remembers of the key.
    Ask { question: Question, reply: oneshot::Sender<Answer> },
    /// Report of an entry process on the result of an attempt.
    Settle { settle: Settle, reply: oneshot::Sender<bool> },
    /// Request to hand all claims over to the other members; the reply says whether all arrived.
    HandOver { reply: oneshot::Sender<bool> },
    /// Event without a reply.
    Event(Event),
}

/// The reducer's state, the reply channels of undecided claims, and what is needed to carry out
/// effects.
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

/// Returns the executor of a new agent; must be called on the traffic runtime.
pub fn open(
    target: TargetName,
    incarnation: IncarnationId,
    control: control::Handle,
    status: watch::Sender<Status>,
    metrics: Arc<metrics::Agent>,
) -> Executor {
    Executor {
        state: claim::open(Settings { incarnation, claims: MAX_CLAIMS }),
        target,
        verdicts: HashMap::new(),
        pool: Arc::new(pool::open(CONNECT_TIMEOUT, calls::connect)),
        control,
        status,
        metrics,
        traffic: runtime::Handle::current(),
    }
}

impl Executor {
    /// Feeds one message to the reducer and carries out the effects. A failed send of a reply is
    /// ignored: the caller is gone and either asks again or counts its question as unanswered.
    pub fn handle(&mut self, message: Message) {
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

    /// Feeds an event to the reducer and carries out the effects, except those that answer the
    /// caller, which are returned.
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
            control.send_to_claims(Message::Event(Event::Answered { key, incarnation, answer }));
        });
    }

    fn hand_over(&mut self, reply: oneshot::Sender<bool>) {
        let effects = self.reduce(Event::HandOver);
        let pool = Arc::clone(&self.pool);
        let control = self.control.clone();
        self.traffic.spawn(async move {
            let mut all_arrived = true;
            for effect in effects {
                if let Effect::HandOver { address, claims } = effect {
                    all_arrived &= hand_over(&pool, address, claims).await;
                }
            }
            if !all_arrived {
                control.send_to_claims(Message::Event(Event::HandOverFailed));
            }
            let _ = reply.send(all_arrived);
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

/// Asks an earlier home of a key; returns `None` if it doesn't answer.
async fn ask(pool: &Pool<AgentClient>, address: SocketAddr, question: Question) -> Option<Answer> {
    let answer = match pool.client(address).await {
        Ok(client) => client.ask_claim(context(ASK_TIMEOUT), question).await.map_err(Error::Call),
        Err(error) => Err(error),
    };
    if let Err(error) = &answer {
        debug!(%address, %error, "an earlier home of a key doesn't answer");
        pool.forget(address).await;
    }
    answer.ok()
}

/// Hands claims over to another agent; returns whether they arrived.
async fn hand_over(pool: &Pool<AgentClient>, address: SocketAddr, claims: Vec<Transfer>) -> bool {
    let Ok(client) = pool.client(address).await else {
        return false;
    };
    let answer = client.hand_over(context(HAND_OVER_TIMEOUT), claims).await;
    answer.is_ok()
}
