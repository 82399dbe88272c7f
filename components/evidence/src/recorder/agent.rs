//! Runs the agent's reducer and derives the facts to record from its events and effects.

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

/// Result of reducing one event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Effects to execute.
    pub effects: Vec<Effect>,
    /// Facts to record.
    pub facts: Vec<Fact>,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finish {
    /// Whether the target ran the request.
    pub ran: Ran,
    /// Digest of the answer; `None` if the answer wasn't complete.
    pub digest: Option<AnswerDigest>,
}

impl Default for Finish {
    fn default() -> Finish {
        Finish { ran: Ran::MayHaveRun, digest: None }
    }
}

/// State from which facts are completed: a fact is recorded only when all of its fields are known.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// Rank of the tier of each waiting reservation.
    waiting: BTreeMap<Id, Rank>,
    /// Runs that haven't ended, with the time at which the request was sent to the target.
    running: BTreeMap<Id, SystemTime>,
    /// Results of runs whose `Event::Ended` hasn't been reduced yet.
    finished: BTreeMap<Id, Finish>,
}

/// Reduces one event and returns its effects and the facts to record. `at` is the wall-clock time
/// of the event.
pub fn reduce(
    recorder: &mut Recorder,
    state: &mut State,
    now: Instant,
    at: SystemTime,
    event: Event,
) -> Step {
    let mut facts = Vec::new();
    recorder.record_event(&event, &mut facts);
    let effects = agent::reduce(state, now, event);
    for effect in &effects {
        recorder.record_effect(state, at, effect, &mut facts);
    }
    Step { effects, facts }
}

impl Recorder {
    /// Sets the result of a run. The run is recorded when its `Event::Ended` is reduced.
    pub fn finished(&mut self, id: Id, finish: Finish) {
        if self.running.contains_key(&id) {
            self.finished.insert(id, finish);
        }
    }

    /// Returns the fact that closes the chain of the process.
    pub fn close(&self) -> Fact {
        Fact::Closed { open: self.running.len().try_into().unwrap_or(u32::MAX) }
    }

    fn record_event(&mut self, event: &Event, facts: &mut Vec<Fact>) {
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

    fn record_effect(
        &mut self,
        state: &State,
        at: SystemTime,
        effect: &Effect,
        facts: &mut Vec<Fact>,
    ) {
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
