//! The fold over the stream of crashes: which bodies are suspected, and which are quarantined.
//!
//! Every body that ran when an engine died is suspected. A suspected body runs alone, so that its
//! neighbours aren't blamed: if the engine dies again it is quarantined, else it is cleared.

use std::collections::{BTreeMap, VecDeque};

use model::{
    id::{Fingerprint, Offset},
    suspect::{Action, Crash, Record, SCHEMA},
};

/// Most bodies that are remembered; the oldest are forgotten first.
pub const LIMIT: usize = 100_000;

/// What is held against a body.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It ran when an engine died.
    Suspected,
    /// An engine died while it ran alone.
    Quarantined,
}

/// The bodies that something is held against, as of one offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    applied: Offset,
    standings: BTreeMap<Fingerprint, Standing>,
    /// The same bodies in the order in which they were first suspected, perhaps with others that
    /// were cleared.
    order: VecDeque<Fingerprint>,
}

impl State {
    /// What is held against a body; `None` where nothing is.
    pub fn standing(&self, body: Fingerprint) -> Option<Standing> {
        self.standings.get(&body).copied()
    }

    /// Applies a record; one that was applied or can't be read changes nothing. A gap loses
    /// suspicions and invents none.
    pub fn apply(&mut self, offset: Offset, payload: &str) {
        if offset <= self.applied {
            return;
        }
        self.applied = offset;
        if let Ok(Record { schema: SCHEMA, action }) = serde_json::from_str(payload) {
            self.take(action);
        }
    }

    fn take(&mut self, action: Action) {
        match action {
            Action::Crash(crash) => self.crash(&crash),
            Action::Clear(clear) => {
                if self.standing(clear.fingerprint) == Some(Standing::Suspected) {
                    self.standings.remove(&clear.fingerprint);
                }
            }
        }
    }

    fn crash(&mut self, crash: &Crash) {
        for body in &crash.running {
            match self.standing(*body) {
                Some(Standing::Suspected) if crash.alone => {
                    self.standings.insert(*body, Standing::Quarantined);
                }
                Some(_) => {}
                None => {
                    self.standings.insert(*body, Standing::Suspected);
                    self.order.push_back(*body);
                }
            }
        }
        while self.order.len() > LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.standings.remove(&oldest);
            }
        }
    }
}
