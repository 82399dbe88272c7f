//! Agents, a log, entries and the messages between them, all under a test's control.

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

use super::{epoch_clock, join, leave, removal, run, target};

const CLAIM_LIMIT: usize = 1_000;

/// A process of an agent.
pub struct Agent {
    pub state: State,
    pub incarnation: IncarnationId,
    /// Hand-over messages that weren't answered.
    pub unanswered: usize,
    /// Whether its leave was appended: it never grants again.
    pub left: bool,
}

/// A message under way; each names the target that it goes to.
#[derive(Clone, Debug)]
pub enum Message {
    Claim { to: usize, ask: Ask },
    Question { to: usize, from: usize, question: Question },
    HandOver { to: usize, from: usize, sender: IncarnationId, claims: Vec<Transfer> },
    Settle { to: usize, settle: Settle },
    Reply { attempt: RequestId, verdict: Verdict },
}

/// Where an attempt is, as its entry knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    Claiming,
    Held,
    Over,
}

/// One attempt of a key.
pub struct Attempt {
    pub id: RequestId,
    pub key: ClaimKey,
    pub stage: Stage,
    arrived: Instant,
}

/// Everything, and the journal of what ran.
pub struct World {
    pub agents: Vec<Option<Agent>>,
    pub attempts: Vec<Attempt>,
    pub messages: Vec<Message>,
    /// Every attempt that ran.
    pub ran: Vec<ClaimKey>,
    log: Vec<String>,
    /// The members at each epoch.
    epochs: Vec<membership::State>,
    clock: Clock,
    /// Time that each key carries.
    minted: Vec<(ClaimKey, SystemTime)>,
    timed: bool,
    next_run: u128,
}

/// A world of which the first few agents are started.
pub fn open(agents: usize, started: usize, timed: bool) -> World {
    let mut world = World {
        agents: (0..agents).map(|_| None).collect(),
        attempts: Vec::new(),
        messages: Vec::new(),
        ran: Vec::new(),
        log: Vec::new(),
        epochs: vec![membership::State::default()],
        clock: Clock { now: Instant::now(), wall: epoch_clock() },
        minted: Vec::new(),
        timed,
        next_run: 1,
    };
    (0..started).for_each(|index| world.start(index));
    (0..started).for_each(|index| world.catch_up(index, Offset::MAX));
    world
}

fn position(address: std::net::SocketAddr) -> usize {
    usize::from(address.port() - 1_000)
}

impl World {
    pub fn epoch(&self) -> Offset {
        self.log.len() as Offset
    }

    pub fn advance(&mut self, by: Duration) {
        self.clock.now += by;
        self.clock.wall += by;
    }

    fn append(&mut self, record: String) {
        let mut members = self.epochs.last().unwrap().clone();
        members.apply(self.epoch() + 1, &record).unwrap();
        self.log.push(record);
        self.epochs.push(members);
    }

    /// Starts an agent's process; its join goes to the log twice, as after a lost answer.
    pub fn start(&mut self, index: usize) {
        if self.agents[index].is_some() {
            return;
        }
        let incarnation = run(self.next_run);
        let state = claim::open(Settings { incarnation, claims: CLAIM_LIMIT });
        self.agents[index] = Some(Agent { state, incarnation, unanswered: 0, left: false });
        let record = join(index, self.next_run, self.clock.wall);
        self.append(record.clone());
        self.append(record);
        self.next_run += 1;
        self.catch_up(index, Offset::MAX);
    }

    pub fn kill(&mut self, index: usize) {
        self.agents[index] = None;
    }

    /// Another process takes a member for lost, whether or not it is.
    pub fn remove(&mut self, index: usize) {
        let member = self.epochs.last().unwrap().incarnation(&target(index));
        if let Some(number) = member.map(|member| member.id.as_u128()) {
            self.append(removal(index, number, self.clock.wall));
        }
    }

    /// An agent that finds itself removed joins again, with what it remembers.
    pub fn rejoin(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_mut() else { return };
        let is_member = agent.state.members().members().any(|m| m.id == agent.incarnation);
        if is_member || agent.left {
            return;
        }
        agent.incarnation = run(self.next_run);
        let record = join(index, self.next_run, self.clock.wall);
        self.next_run += 1;
        let incarnation = self.agents[index].as_ref().unwrap().incarnation;
        self.feed(index, Event::Rejoin(incarnation));
        self.append(record);
    }

    /// Lets an agent read the log up to an offset.
    pub fn catch_up(&mut self, index: usize, to: Offset) {
        let numbered = (1..).zip(&self.log).take_while(|(offset, _)| *offset <= to);
        let record =
            |(offset, payload): (Offset, &String)| Record { offset, payload: payload.clone() };
        let records = numbered.map(record).collect();
        self.feed(index, Event::Records(records));
        if to >= self.epoch() {
            self.feed(index, Event::CaughtUp);
        }
    }

    /// A new attempt of a key, through an entry that is `lag` epochs behind.
    pub fn arrive(&mut self, key: ClaimKey, lag: usize, skew: Duration) {
        if !self.minted.iter().any(|(known, _)| *known == key) {
            self.minted.push((key, self.clock.wall + skew - Duration::from_secs(20)));
        }
        let id = Uuid::from_u128(self.attempts.len() as u128 + 1);
        self.attempts.push(Attempt { id, key, stage: Stage::Claiming, arrived: self.clock.now });
        self.claim(self.attempts.len() - 1, lag);
    }

    /// Sends, or sends again, the claim of an attempt.
    pub fn claim(&mut self, index: usize, lag: usize) {
        let attempt = &self.attempts[index];
        let members = &self.epochs[(self.epochs.len() - 1).saturating_sub(lag)];
        let Some(home) = members.home(attempt.key).filter(|_| attempt.stage == Stage::Claiming)
        else {
            return;
        };
        let minted = self.minted.iter().find(|(key, _)| *key == attempt.key && self.timed);
        let ask = Ask {
            key: attempt.key,
            attempt: attempt.id,
            epoch: members.epoch(),
            minted: minted.map(|(_, at)| *at),
        };
        self.messages.push(Message::Claim { to: position(home.control), ask });
    }

    /// The entry runs a request that holds its key and is in time.
    pub fn run(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let in_time = self.clock.now - attempt.arrived < DEADLINE_LIMIT;
        if attempt.stage != Stage::Held || !in_time {
            return;
        }
        attempt.stage = Stage::Over;
        self.ran.push(attempt.key);
        self.settle(index, true);
    }

    /// The entry gives a request up before it started; gives whether it may say `not_run`.
    pub fn release(&mut self, index: usize) -> bool {
        let attempt = &mut self.attempts[index];
        let stage = std::mem::replace(&mut attempt.stage, Stage::Over);
        if stage != Stage::Over {
            self.settle(index, false);
        }
        stage == Stage::Held
    }

    fn settle(&mut self, index: usize, ran: bool) {
        let Attempt { id, key, .. } = self.attempts[index];
        if let Some(home) = self.epochs.last().unwrap().home(key) {
            let settle = Settle { key, attempt: id, ran };
            self.messages.push(Message::Settle { to: position(home.control), settle });
        }
    }

    pub fn hand_over(&mut self, index: usize) {
        if self.agents[index].as_ref().is_some_and(|agent| agent.unanswered == 0) {
            self.feed(index, Event::HandOver);
        }
    }

    pub fn freeze(&mut self, index: usize) {
        self.feed(index, Event::Freeze);
    }

    /// Appends an agent's leave, once all that it gave has arrived.
    pub fn leave(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_mut() else { return };
        let Some(epoch) = agent.state.handed_over().filter(|_| agent.unanswered == 0) else {
            return;
        };
        agent.left = true;
        let record = leave(index, agent.incarnation.as_u128(), Some(epoch), self.clock.wall);
        self.append(record);
    }

    /// Goes on granting, which an agent may only where its leave surely had no effect.
    pub fn thaw(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_ref() else { return };
        let caught_up = agent.state.members().epoch() == self.epoch();
        let stays = agent.state.members().members().any(|m| m.id == agent.incarnation);
        if !agent.left || caught_up && stays {
            self.agents[index].as_mut().unwrap().left = false;
            self.feed(index, Event::Thaw);
        }
    }

    /// An agent that leaves without a fault between its steps.
    pub fn drain(&mut self, index: usize) {
        self.catch_up(index, Offset::MAX);
        self.hand_over(index);
        self.settle_down();
        self.freeze(index);
        self.hand_over(index);
        self.settle_down();
        self.leave(index);
        self.kill(index);
    }

    /// Lets every agent read the whole log.
    pub fn catch_up_all(&mut self) {
        (0..self.agents.len()).for_each(|index| self.catch_up(index, Offset::MAX));
    }

    /// Takes a message out and lets it arrive.
    pub fn deliver(&mut self, index: usize) {
        match self.messages.remove(index) {
            Message::Claim { to, ask } => self.feed(to, Event::Claim(ask)),
            Message::Settle { to, settle } => self.feed(to, Event::Settle(settle)),
            Message::Question { to, from, question } => {
                let answer = self.ask(to, question);
                self.answer(from, question, answer);
            }
            Message::HandOver { to, from, sender, claims } => {
                let arrived = self.agents[to].is_some();
                self.feed(to, Event::Received(claims));
                self.acknowledge(from, sender, arrived);
            }
            Message::Reply { attempt, verdict } => self.reply(attempt, verdict),
        }
    }

    /// Takes a message out and loses it, or its answer after the effect.
    pub fn lose(&mut self, index: usize, after_effect: bool) {
        match self.messages.remove(index) {
            Message::Question { to, from, question } => {
                if after_effect {
                    self.ask(to, question);
                }
                self.answer(from, question, None);
            }
            Message::HandOver { to, from, sender, claims } => {
                if after_effect {
                    self.feed(to, Event::Received(claims));
                }
                self.acknowledge(from, sender, false);
            }
            _ => {}
        }
    }

    /// Delivers until nothing is under way.
    pub fn settle_down(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
        }
    }

    /// Whether an attempt of the key is past its deadline, so that holding it means nothing.
    pub fn is_late(&self, key: ClaimKey) -> bool {
        let late = |attempt: &Attempt| self.clock.now - attempt.arrived >= DEADLINE_LIMIT;
        self.attempts.iter().any(|attempt| attempt.key == key && late(attempt))
    }

    fn ask(&mut self, to: usize, question: Question) -> Option<Answer> {
        let agent = self.agents[to].as_mut()?;
        let effects = claim::reduce(&mut agent.state, self.clock, Event::Asked(question));
        effects.iter().find_map(|effect| match effect {
            Effect::Tell(answer) => Some(*answer),
            _ => None,
        })
    }

    fn answer(&mut self, from: usize, question: Question, answer: Option<Answer>) {
        let Question { key, incarnation, .. } = question;
        self.feed(from, Event::Answered { key, incarnation, answer });
    }

    fn acknowledge(&mut self, from: usize, sender: IncarnationId, arrived: bool) {
        let same = |agent: &&mut Agent| agent.incarnation == sender;
        if let Some(agent) = self.agents[from].as_mut().filter(same) {
            agent.unanswered -= 1;
            if !arrived {
                self.feed(from, Event::HandOverFailed);
            }
        }
    }

    fn reply(&mut self, id: RequestId, verdict: Verdict) {
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.id == id).unwrap();
        if attempt.stage != Stage::Claiming {
            return;
        }
        attempt.stage = match verdict {
            Verdict::Granted => Stage::Held,
            Verdict::Behind { .. } | Verdict::Moved { .. } | Verdict::Leaving => Stage::Claiming,
            _ => Stage::Over,
        };
    }

    fn feed(&mut self, index: usize, event: Event) {
        let Some(agent) = self.agents[index].as_mut() else { return };
        for effect in claim::reduce(&mut agent.state, self.clock, event) {
            match effect {
                Effect::Reply { attempt, verdict } => {
                    self.messages.push(Message::Reply { attempt, verdict });
                }
                Effect::Ask { address, question } => {
                    let to = position(address);
                    self.messages.push(Message::Question { to, from: index, question });
                }
                Effect::HandOver { address, claims } => {
                    agent.unanswered += 1;
                    let (to, sender) = (position(address), agent.incarnation);
                    let message = Message::HandOver { to, from: index, sender, claims };
                    self.messages.push(message);
                }
                Effect::Tell(_) | Effect::Settled { .. } => {}
            }
        }
    }
}
