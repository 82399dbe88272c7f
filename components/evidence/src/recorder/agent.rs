//! The agent's reducer with its evidence.

use std::{
    collections::BTreeMap,
    time::{Instant, SystemTime},
};

use model::{
    id::Rank,
    refusal::{Ran, Reason},
    reservation::Id,
};
use scheduler::agent::{self, Effect, Event, State};

use crate::record::{AnswerDigest, Eviction, Fact, Run};

/// What one event came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// What has to be done.
    pub effects: Vec<Effect>,
    /// What has to be recorded.
    pub facts: Vec<Fact>,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finish {
    /// Whether it ran.
    pub ran: Ran,
    /// Hash over the answer, where it was whole.
    pub digest: Option<AnswerDigest>,
}

impl Default for Finish {
    fn default() -> Finish {
        Finish { ran: Ran::MayHaveRun, digest: None }
    }
}

/// What is remembered until a fact is whole.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// Tiers of reservations that wait.
    waiting: BTreeMap<Id, Rank>,
    /// Runs that haven't ended, and when each was sent.
    running: BTreeMap<Id, SystemTime>,
    /// What came of runs whose end is still to be reduced.
    finished: BTreeMap<Id, Finish>,
}

/// Takes one event in; gives its effects and the facts that they make.
pub fn reduce(
    recorder: &mut Recorder,
    state: &mut State,
    now: Instant,
    at: SystemTime,
    event: Event,
) -> Step {
    let mut facts = Vec::new();
    recorder.before(&event, &mut facts);
    let effects = agent::reduce(state, now, event);
    for effect in &effects {
        recorder.follow(state, at, effect, &mut facts);
    }
    Step { effects, facts }
}

impl Recorder {
    /// Tells what came of a run; its record follows with `Event::Ended`.
    pub fn finished(&mut self, id: Id, finish: Finish) {
        if self.running.contains_key(&id) {
            self.finished.insert(id, finish);
        }
    }

    /// The last fact of a process.
    pub fn close(&self) -> Fact {
        Fact::Closed { open: self.running.len().try_into().unwrap_or(u32::MAX) }
    }

    fn before(&mut self, event: &Event, facts: &mut Vec<Fact>) {
        match event {
            Event::Reserve(ask) => {
                self.waiting.insert(ask.id, ask.rank);
            }
            Event::Cancel(id) | Event::Resolve(id) => {
                self.waiting.remove(id);
            }
            Event::Ended(id) => {
                let finish = self.finished.remove(id).unwrap_or_default();
                if let Some(started) = self.running.remove(id) {
                    let Finish { ran, digest } = finish;
                    facts.push(Fact::Run(Run { id: *id, started, ran, digest }));
                }
            }
            Event::Drain => facts.push(Fact::Draining),
            _ => {}
        }
    }

    fn follow(&mut self, state: &State, at: SystemTime, effect: &Effect, facts: &mut Vec<Fact>) {
        match effect {
            Effect::Grant { id, .. } => {
                self.waiting.remove(id);
            }
            Effect::Deny { id, denial } => {
                let rank = self.waiting.remove(id);
                if let Some(rank) = rank.filter(|_| denial.reason == Reason::Overloaded) {
                    let left_waiting = state.lowest_waiting_rank();
                    facts.push(Fact::Eviction(Eviction { id: *id, rank, left_waiting }));
                }
            }
            Effect::Dispatch(id) => {
                self.running.insert(*id, at);
            }
            _ => {}
        }
    }
}
