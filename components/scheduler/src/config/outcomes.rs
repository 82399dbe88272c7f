//! What earlier changes came to, so that a repeat of a change id has no second effect.

use std::collections::BTreeMap;

use model::{
    Change, Finding,
    id::{ChangeId, Offset},
};
use serde::{Deserialize, Serialize};

use super::Outcome;

/// Offsets for which a change id is remembered: 7.5 hours at 52,000 changes a day.
pub const WINDOW: Offset = 16_384;

/// What one change came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Remembered {
    /// The change.
    pub id: ChangeId,
    /// Offset at which it was decided.
    pub offset: Offset,
    /// Start of the hash over its expected version and action; tells a repeat from another
    /// change under the same id.
    pub fingerprint: u64,
    /// What it came to.
    pub outcome: Outcome,
}

/// Outcomes of the changes within the last [`WINDOW`] offsets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcomes {
    by_id: BTreeMap<ChangeId, Remembered>,
    /// The same by the offset at which each was decided.
    by_offset: BTreeMap<Offset, ChangeId>,
}

impl Outcomes {
    /// What a change of this id came to.
    pub fn get(&self, id: &ChangeId) -> Option<&Outcome> {
        self.by_id.get(id).map(|remembered| &remembered.outcome)
    }

    /// What a repeat comes to; `None` where the id is new.
    pub fn repeat(&self, change: &Change) -> Option<Outcome> {
        let earlier = self.by_id.get(&change.id)?;
        if earlier.fingerprint == fingerprint(change) {
            return Some(earlier.outcome.clone());
        }
        let message = format!("this change id was used for another change at {}", earlier.offset);
        Some(Outcome::Rejected(vec![Finding::new("id", message)]))
    }

    /// Remembers a decided change.
    pub fn insert(&mut self, offset: Offset, change: &Change, outcome: Outcome) {
        let fingerprint = fingerprint(change);
        self.restore(Remembered { id: change.id, offset, fingerprint, outcome });
    }

    /// Takes one outcome of a snapshot back in.
    pub fn restore(&mut self, remembered: Remembered) {
        self.by_offset.insert(remembered.offset, remembered.id);
        self.by_id.insert(remembered.id, remembered);
    }

    /// Forgets what is older than the window.
    pub fn trim(&mut self, applied: Offset) {
        while let Some(oldest) = self.by_offset.first_entry() {
            if oldest.key() + WINDOW > applied {
                return;
            }
            self.by_id.remove(&oldest.remove());
        }
    }

    /// All outcomes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Remembered> {
        self.by_offset.values().filter_map(|id| self.by_id.get(id))
    }
}

fn fingerprint(change: &Change) -> u64 {
    let text = serde_json::to_vec(&(change.expected, &change.action)).expect("a change is JSON");
    let mut word = [0; size_of::<u64>()];
    blake3::Hasher::new().update(&text).finalize_xof().fill(&mut word);
    u64::from_le_bytes(word)
}
