//! Simulates agents, the membership log, entries and the messages between them under a test's control.

use std::time::{Duration, Instant, SystemTime};

use model::{
    claim::{Answer, Ask, Question, Settle, Transfer, Verdict},
    id::{ClaimKey, IncarnationId, Offset, RequestId},
};
use scheduler::{
    claim::{self, Clock, Effect, Event, Settings, State},
    entry::{DEADLINE_LIMIT, Record},
    membership,
};
use uuid::Uuid;

use super::{incarnation_id, join_record, leave_record, removal_record, start_time, target_name};

/// Most claims that an agent keeps.
const CLAIM_LIMIT: usize = 1_000;

/// One process of an agent.
pub struct Agent {
    pub state: State,
    pub incarnation: IncarnationId,
    /// Number of hand-over messages that were sent and neither acknowledged nor lost.
    pub pending_hand_overs: usize,
    /// Whether the agent's own leave was appended; it grants no claims while this is set.
    pub has_left: bool,
}

/// A message in flight. `to` and `from` are indices of agents.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry asks for a claim.
    Claim { to: usize, ask: Ask },
    /// The home of a key asks an earlier home about the key's claim.
    Question { to: usize, from: usize, question: Question },
    /// Incarnation `sender` hands claims over.
    HandOver { to: usize, from: usize, sender: IncarnationId, claims: Vec<Transfer> },
    /// An entry reports whether an attempt with a granted claim ran.
    Settle { to: usize, settle: Settle },
    /// An agent answers the entry that asked for a claim.
    Reply { attempt: RequestId, verdict: Verdict },
}

/// The state of an attempt at its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The claim isn't decided yet.
    ClaimPending,
    /// The claim is granted; the attempt hasn't run.
    ClaimGranted,
    /// The attempt ran, was released or was refused the claim.
    Ended,
}

/// One attempt of a request with an idempotency key.
pub struct Attempt {
    pub id: RequestId,
    pub key: ClaimKey,
    pub stage: Stage,
    /// When the attempt's request arrived at its entry; the deadline counts from here.
    arrived: Instant,
}

/// The simulated processes, log and messages, and a record of the attempts that ran.
pub struct World {
    /// The agents by index; `None` where an agent's process isn't running.
    pub agents: Vec<Option<Agent>>,
    pub attempts: Vec<Attempt>,
    /// Messages in flight, in the order in which they were sent.
    pub messages: Vec<Message>,
    /// The key of every attempt that ran, once per attempt.
    pub ran_keys: Vec<ClaimKey>,
    /// The records of the membership log; the first has offset 1.
    log: Vec<String>,
    /// The members as of each epoch, indexed by epoch; epoch 0 has none.
    members_by_epoch: Vec<membership::State>,
    clock: Clock,
    /// Creation time of each key that was used.
    minted: Vec<(ClaimKey, SystemTime)>,
    /// Whether claims carry the creation times of their keys.
    has_timed_keys: bool,
    /// Number of the next incarnation.
    next_incarnation: u128,
}

/// Creates a world with `agents` agents, of which the first `started` are running and have read the whole
/// log.
pub fn open(agents: usize, started: usize, has_timed_keys: bool) -> World {
    let mut world = World {
        agents: (0..agents).map(|_| None).collect(),
        attempts: Vec::new(),
        messages: Vec::new(),
        ran_keys: Vec::new(),
        log: Vec::new(),
        members_by_epoch: vec![membership::State::default()],
        clock: Clock { now: Instant::now(), wall: start_time() },
        minted: Vec::new(),
        has_timed_keys,
        next_incarnation: 1,
    };
    (0..started).for_each(|index| world.start_agent(index));
    (0..started).for_each(|index| world.catch_up(index, Offset::MAX));
    world
}

/// Returns the index of the agent with this control address.
fn agent_index(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - 1_000)
}

impl World {
    /// Returns the newest epoch, which is the offset of the newest membership record.
    pub fn epoch(&self) -> Offset {
        self.log.len() as Offset
    }

    /// Advances both clocks of all processes.
    pub fn advance(&mut self, by: Duration) {
        self.clock.now += by;
        self.clock.wall += by;
    }

    fn append(&mut self, record: String) {
        let mut members = self.members_by_epoch.last().unwrap().clone();
        members.apply(self.epoch() + 1, &record).unwrap();
        self.log.push(record);
        self.members_by_epoch.push(members);
    }

    /// Starts an agent's process where it isn't running. Its join is appended twice, as by a retry after a
    /// lost answer.
    pub fn start_agent(&mut self, index: usize) {
        if self.agents[index].is_some() {
            return;
        }
        let incarnation = incarnation_id(self.next_incarnation);
        let state = claim::open(Settings { incarnation, claims: CLAIM_LIMIT });
        self.agents[index] =
            Some(Agent { state, incarnation, pending_hand_overs: 0, has_left: false });
        let record = join_record(index, self.next_incarnation, self.clock.wall);
        self.append(record.clone());
        self.append(record);
        self.next_incarnation += 1;
        self.catch_up(index, Offset::MAX);
    }

    /// Stops an agent's process without a leave.
    pub fn kill(&mut self, index: usize) {
        self.agents[index] = None;
    }

    /// Appends a leave of an agent by another process that considers it lost; the agent may be running.
    pub fn append_removal(&mut self, index: usize) {
        let member = self.members_by_epoch.last().unwrap().incarnation(&target_name(index));
        if let Some(number) = member.map(|member| member.id.as_u128()) {
            self.append(removal_record(index, number, self.clock.wall));
        }
    }

    /// Lets an agent that has read its own removal join as a new incarnation, with the claims that it holds.
    pub fn rejoin(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_mut() else { return };
        let is_member = agent.state.members().members().any(|m| m.id == agent.incarnation);
        if is_member || agent.has_left {
            return;
        }
        agent.incarnation = incarnation_id(self.next_incarnation);
        let record = join_record(index, self.next_incarnation, self.clock.wall);
        self.next_incarnation += 1;
        let incarnation = self.agents[index].as_ref().unwrap().incarnation;
        self.handle(index, Event::Rejoin(incarnation));
        self.append(record);
    }

    /// Lets an agent read the log up to and including an offset.
    pub fn catch_up(&mut self, index: usize, to: Offset) {
        let numbered = (1..).zip(&self.log).take_while(|(offset, _)| *offset <= to);
        let record =
            |(offset, payload): (Offset, &String)| Record { offset, payload: payload.clone() };
        let records = numbered.map(record).collect();
        self.handle(index, Event::Records(records));
        if to >= self.epoch() {
            self.handle(index, Event::CaughtUp);
        }
    }

    /// Starts a new attempt of a key and sends its claim, through an entry that is `lag` epochs behind. A new
    /// key was created 20 seconds ago by a clock that is `skew` ahead.
    pub fn arrive(&mut self, key: ClaimKey, lag: usize, skew: Duration) {
        if !self.minted.iter().any(|(known, _)| *known == key) {
            self.minted.push((key, self.clock.wall + skew - Duration::from_secs(20)));
        }
        let id = Uuid::from_u128(self.attempts.len() as u128 + 1);
        self.attempts.push(Attempt {
            id,
            key,
            stage: Stage::ClaimPending,
            arrived: self.clock.now,
        });
        self.send_claim(self.attempts.len() - 1, lag);
    }

    /// Sends the claim of an attempt, or sends it again where it isn't decided. The entry is `lag` epochs
    /// behind.
    pub fn send_claim(&mut self, index: usize, lag: usize) {
        let attempt = &self.attempts[index];
        let members = &self.members_by_epoch[(self.members_by_epoch.len() - 1).saturating_sub(lag)];
        let Some(home) = members.home(attempt.key).filter(|_| attempt.stage == Stage::ClaimPending)
        else {
            return;
        };
        let minted = self.minted.iter().find(|(key, _)| *key == attempt.key && self.has_timed_keys);
        let ask = Ask {
            key: attempt.key,
            attempt: attempt.id,
            epoch: members.epoch(),
            minted: minted.map(|(_, at)| *at),
        };
        self.messages.push(Message::Claim { to: agent_index(home.control), ask });
    }

    /// Lets the entry run an attempt, where the claim is granted and the deadline hasn't passed.
    pub fn run_attempt(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let is_in_time = self.clock.now - attempt.arrived < DEADLINE_LIMIT;
        if attempt.stage != Stage::ClaimGranted || !is_in_time {
            return;
        }
        attempt.stage = Stage::Ended;
        self.ran_keys.push(attempt.key);
        self.send_settle(index, true);
    }

    /// Lets the entry cancel an attempt before it runs. Returns whether the entry may answer `not_run`, which
    /// it may where the claim was granted.
    pub fn cancel_attempt(&mut self, index: usize) -> bool {
        let attempt = &mut self.attempts[index];
        let stage = std::mem::replace(&mut attempt.stage, Stage::Ended);
        if stage != Stage::Ended {
            self.send_settle(index, false);
        }
        stage == Stage::ClaimGranted
    }

    /// Sends the newest home of an attempt's key whether the attempt ran.
    fn send_settle(&mut self, index: usize, ran: bool) {
        let Attempt { id, key, .. } = self.attempts[index];
        if let Some(home) = self.members_by_epoch.last().unwrap().home(key) {
            let settle = Settle { key, attempt: id, ran };
            self.messages.push(Message::Settle { to: agent_index(home.control), settle });
        }
    }

    /// Lets an agent hand its claims over, unless an earlier hand-over is in flight.
    pub fn hand_over(&mut self, index: usize) {
        if self.agents[index].as_ref().is_some_and(|agent| agent.pending_hand_overs == 0) {
            self.handle(index, Event::HandOver);
        }
    }

    /// Lets an agent stop granting claims.
    pub fn stop_granting(&mut self, index: usize) {
        self.handle(index, Event::Freeze);
    }

    /// Appends an agent's leave, where it has handed all its claims over and all of them have arrived.
    pub fn leave(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_mut() else { return };
        let Some(epoch) = agent.state.handed_over().filter(|_| agent.pending_hand_overs == 0)
        else {
            return;
        };
        agent.has_left = true;
        let record = leave_record(index, agent.incarnation.as_u128(), Some(epoch), self.clock.wall);
        self.append(record);
    }

    /// Lets an agent grant claims again. After its own leave was appended this does nothing, unless the agent
    /// has read the whole log and is still a member: only then is it certain that the leave had no effect.
    pub fn resume_granting(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_ref() else { return };
        let is_caught_up = agent.state.members().epoch() == self.epoch();
        let is_member = agent.state.members().members().any(|m| m.id == agent.incarnation);
        if !agent.has_left || is_caught_up && is_member {
            self.agents[index].as_mut().unwrap().has_left = false;
            self.handle(index, Event::Thaw);
        }
    }

    /// Drains an agent and stops its process, without a fault between the steps.
    pub fn drain(&mut self, index: usize) {
        self.catch_up(index, Offset::MAX);
        self.hand_over(index);
        self.deliver_all();
        self.stop_granting(index);
        self.hand_over(index);
        self.deliver_all();
        self.leave(index);
        self.kill(index);
    }

    /// Lets every agent read the whole log.
    pub fn catch_up_all(&mut self) {
        (0..self.agents.len()).for_each(|index| self.catch_up(index, Offset::MAX));
    }

    /// Removes a message from those in flight and delivers it.
    pub fn deliver(&mut self, index: usize) {
        match self.messages.remove(index) {
            Message::Claim { to, ask } => self.handle(to, Event::Claim(ask)),
            Message::Settle { to, settle } => self.handle(to, Event::Settle(settle)),
            Message::Question { to, from, question } => {
                let answer = self.answer_question(to, question);
                self.deliver_answer(from, question, answer);
            }
            Message::HandOver { to, from, sender, claims } => {
                let arrived = self.agents[to].is_some();
                self.handle(to, Event::Received(claims));
                self.acknowledge(from, sender, arrived);
            }
            Message::Reply { attempt, verdict } => self.deliver_verdict(attempt, verdict),
        }
    }

    /// Removes a message from those in flight and loses it; with `after_effect` the message arrives and only
    /// its answer is lost.
    pub fn lose(&mut self, index: usize, after_effect: bool) {
        match self.messages.remove(index) {
            Message::Question { to, from, question } => {
                if after_effect {
                    self.answer_question(to, question);
                }
                self.deliver_answer(from, question, None);
            }
            Message::HandOver { to, from, sender, claims } => {
                if after_effect {
                    self.handle(to, Event::Received(claims));
                }
                self.acknowledge(from, sender, false);
            }
            _ => {}
        }
    }

    /// Delivers messages, oldest first, until none is in flight.
    pub fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
        }
    }

    /// Returns whether an attempt of the key is past its deadline; such an attempt doesn't run even with a
    /// granted claim.
    pub fn has_attempt_past_deadline(&self, key: ClaimKey) -> bool {
        let is_past_deadline =
            |attempt: &Attempt| self.clock.now - attempt.arrived >= DEADLINE_LIMIT;
        self.attempts.iter().any(|attempt| attempt.key == key && is_past_deadline(attempt))
    }

    /// Lets an agent answer a question; `None` where its process isn't running.
    fn answer_question(&mut self, to: usize, question: Question) -> Option<Answer> {
        let agent = self.agents[to].as_mut()?;
        let effects = claim::reduce(&mut agent.state, self.clock, Event::Asked(question));
        effects.iter().find_map(|effect| match effect {
            Effect::Tell(answer) => Some(*answer),
            _ => None,
        })
    }

    /// Delivers the answer to a question to the agent that asked it; `None` means that the other agent was
    /// unreachable.
    fn deliver_answer(&mut self, from: usize, question: Question, answer: Option<Answer>) {
        let Question { key, incarnation, .. } = question;
        self.handle(from, Event::Answered { key, incarnation, answer });
    }

    /// Reports to the incarnation that sent a hand-over whether it arrived; does nothing where the agent has
    /// stopped or is another incarnation by now.
    fn acknowledge(&mut self, from: usize, sender: IncarnationId, arrived: bool) {
        let is_sender = |agent: &&mut Agent| agent.incarnation == sender;
        if let Some(agent) = self.agents[from].as_mut().filter(is_sender) {
            agent.pending_hand_overs -= 1;
            if !arrived {
                self.handle(from, Event::HandOverFailed);
            }
        }
    }

    /// Delivers a verdict to the entry of an attempt; the entry ignores it where the claim was decided
    /// before.
    fn deliver_verdict(&mut self, id: RequestId, verdict: Verdict) {
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.id == id).unwrap();
        if attempt.stage != Stage::ClaimPending {
            return;
        }
        attempt.stage = match verdict {
            Verdict::Granted => Stage::ClaimGranted,
            Verdict::Behind { .. } | Verdict::Moved { .. } | Verdict::Leaving => {
                Stage::ClaimPending
            }
            _ => Stage::Ended,
        };
    }

    /// Lets an agent handle an event and sends the messages that result; does nothing where its process isn't
    /// running.
    fn handle(&mut self, index: usize, event: Event) {
        let Some(agent) = self.agents[index].as_mut() else { return };
        for effect in claim::reduce(&mut agent.state, self.clock, event) {
            match effect {
                Effect::Reply { attempt, verdict } => {
                    self.messages.push(Message::Reply { attempt, verdict });
                }
                Effect::Ask { address, question } => {
                    let to = agent_index(address);
                    self.messages.push(Message::Question { to, from: index, question });
                }
                Effect::HandOver { address, claims } => {
                    agent.pending_hand_overs += 1;
                    let (to, sender) = (agent_index(address), agent.incarnation);
                    let message = Message::HandOver { to, from: index, sender, claims };
                    self.messages.push(message);
                }
                Effect::Tell(_) | Effect::Settled { .. } => {}
            }
        }
    }
}
