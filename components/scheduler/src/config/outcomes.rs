//! Outcomes of earlier changes, kept so that a change that is appended again under its id has no second
//! effect.

use std::collections::BTreeMap;

use model::{
    Change, Finding,
    id::{ChangeId, Offset},
};
use serde::{Deserialize, Serialize};

use super::Outcome;

/// Number of offsets for which the outcome of a change is kept: 7.5 hours at 52,000 changes a day.
pub const RETAINED_OFFSETS: Offset = 16_384;

/// The outcome of one change, as it is kept and stored in snapshots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RememberedOutcome {
    /// Id of the change.
    pub id: ChangeId,
    /// Offset at which the change was decided.
    pub offset: Offset,
    /// First 8 bytes of the BLAKE3 hash of the change's expected version and action. It distinguishes a retry
    /// of the change from another change under the same id.
    pub fingerprint: u64,
    /// The decision on the change.
    pub outcome: Outcome,
}

/// Outcomes of the changes that were decided recently enough to be kept.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcomes {
    by_id: BTreeMap<ChangeId, RememberedOutcome>,
    /// Ids of the changes in `by_id`, by the offset at which each was decided.
    by_offset: BTreeMap<Offset, ChangeId>,
}

impl Outcomes {
    /// Returns the outcome of the change with this id; `None` where the id is unknown or no longer kept.
    pub fn get(&self, id: &ChangeId) -> Option<&Outcome> {
        self.by_id.get(id).map(|remembered| &remembered.outcome)
    }

    /// Returns the outcome of a change whose id was used before: the earlier outcome for a retry of the same
    /// change, a rejection for a different change. `None` where the id is new.
    pub fn repeat(&self, change: &Change) -> Option<Outcome> {
        let earlier = self.by_id.get(&change.id)?;
        if earlier.fingerprint == fingerprint(change) {
            return Some(earlier.outcome.clone());
        }
        let message = format!("this change id was used for another change at {}", earlier.offset);
        Some(Outcome::Rejected(vec![Finding::new("id", message)]))
    }

    /// Stores the outcome of a change that was decided at `offset`.
    pub fn insert(&mut self, offset: Offset, change: &Change, outcome: Outcome) {
        let fingerprint = fingerprint(change);
        self.restore(RememberedOutcome { id: change.id, offset, fingerprint, outcome });
    }

    /// Adds one outcome from a snapshot.
    pub fn restore(&mut self, remembered: RememberedOutcome) {
        self.by_offset.insert(remembered.offset, remembered.id);
        self.by_id.insert(remembered.id, remembered);
    }

    /// Removes the outcomes that are no longer kept once `applied` is the highest offset applied.
    pub fn trim(&mut self, applied: Offset) {
        while let Some(oldest) = self.by_offset.first_entry() {
            if oldest.key() + RETAINED_OFFSETS > applied {
                return;
            }
            self.by_id.remove(&oldest.remove());
        }
    }

    /// Returns all outcomes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &RememberedOutcome> {
        self.by_offset.values().filter_map(|id| self.by_id.get(id))
    }
}

/// Computes [`RememberedOutcome::fingerprint`].
fn fingerprint(change: &Change) -> u64 {
    let text = serde_json::to_vec(&(change.expected, &change.action)).expect("a change is JSON");
    let mut prefix = [0; size_of::<u64>()];
    blake3::Hasher::new().update(&text).finalize_xof().fill(&mut prefix);
    u64::from_le_bytes(prefix)
}
