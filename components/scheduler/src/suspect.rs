//! Request bodies that are suspected or quarantined, computed from the log of engine crashes.
//!
//! Every body that ran when an engine crashed becomes suspected. A suspected body runs alone on its target,
//! so that a second crash isn't blamed on other bodies: if the engine crashes again the body is quarantined,
//! otherwise it is cleared.

use std::collections::{BTreeMap, VecDeque};

use model::{
    id::{Fingerprint, Offset},
    suspect::{Action, Crash, Record, SCHEMA},
};

/// Most bodies that are kept; those that became suspected earliest are removed first.
pub const MAX_BODIES: usize = 100_000;

/// How a request body is classified because of crashes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BodyStatus {
    /// The body ran when an engine crashed; it may only run alone.
    Suspected,
    /// An engine crashed while the suspected body ran alone; it must not run again.
    Quarantined,
}

/// The suspected and quarantined bodies as of one offset of the crash log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Highest offset applied; 0 before the first record.
    applied: Offset,
    /// Suspected and quarantined bodies; a body that isn't here is neither.
    statuses: BTreeMap<Fingerprint, BodyStatus>,
    /// Fingerprints in the order in which they became suspected. All bodies in `statuses` are here; bodies
    /// that have been cleared since stay, and a body that was suspected again after that is here twice.
    suspicion_order: VecDeque<Fingerprint>,
}

impl State {
    /// Returns how a body is classified; `None` where it is neither suspected nor quarantined.
    pub fn status(&self, body: Fingerprint) -> Option<BodyStatus> {
        self.statuses.get(&body).copied()
    }

    /// Applies a record. A record that was applied before or can't be parsed changes nothing. Offsets may be
    /// skipped: a missing record can lose a suspicion but never adds one.
    pub fn apply(&mut self, offset: Offset, payload: &str) {
        if offset <= self.applied {
            return;
        }
        self.applied = offset;
        if let Ok(Record { schema: SCHEMA, action }) = serde_json::from_str(payload) {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Crash(crash) => self.apply_crash(&crash),
            Action::Clear(clear) => {
                if self.status(clear.fingerprint) == Some(BodyStatus::Suspected) {
                    self.statuses.remove(&clear.fingerprint);
                }
            }
        }
    }

    /// Suspects the bodies that ran at a crash, or quarantines a suspected body that ran alone.
    fn apply_crash(&mut self, crash: &Crash) {
        for body in &crash.running {
            match self.status(*body) {
                Some(BodyStatus::Suspected) if crash.alone => {
                    self.statuses.insert(*body, BodyStatus::Quarantined);
                }
                Some(_) => {}
                None => {
                    self.statuses.insert(*body, BodyStatus::Suspected);
                    self.suspicion_order.push_back(*body);
                }
            }
        }
        while self.suspicion_order.len() > MAX_BODIES {
            if let Some(oldest) = self.suspicion_order.pop_front() {
                self.statuses.remove(&oldest);
            }
        }
    }
}
