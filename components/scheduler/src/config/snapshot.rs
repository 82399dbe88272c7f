//! Snapshots of the configuration as of one offset, which are stored and sent between processes.

use model::id::Offset;
use serde::{Deserialize, Serialize};

use super::{Error, State, VersionedResource, outcomes::RememberedOutcome};

/// Version of the snapshot format; a reader rejects a snapshot of any other version.
pub const FORMAT_VERSION: u32 = 1;

/// The whole [`State`] as of one offset; equal states give equal snapshots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Version of the snapshot format; see [`FORMAT_VERSION`].
    pub schema: u32,
    /// Highest offset applied to the state when the snapshot was taken.
    pub applied: Offset,
    /// All resources, ordered by key.
    pub resources: Vec<VersionedResource>,
    /// Outcomes of recent changes that the state still keeps, oldest first.
    pub outcomes: Vec<RememberedOutcome>,
}

impl Snapshot {
    /// Returns the snapshot as JSON.
    pub fn render(&self) -> String {
        serde_json::to_string(self).expect("a snapshot is JSON")
    }
}

/// Parses a snapshot; `None` where the text isn't a snapshot of format version [`FORMAT_VERSION`].
pub fn parse(text: &str) -> Option<Snapshot> {
    let snapshot: Snapshot = serde_json::from_str(text).ok()?;
    (snapshot.schema == FORMAT_VERSION).then_some(snapshot)
}

impl State {
    /// Returns a snapshot of this state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            schema: FORMAT_VERSION,
            applied: self.applied,
            resources: self.resources.values().cloned().collect(),
            outcomes: self.outcomes.iter().cloned().collect(),
        }
    }

    /// Replaces this state by a snapshot's, which must be of a higher offset. A snapshot that isn't ahead
    /// changes nothing and returns [`Error::Stale`].
    pub fn restore(&mut self, snapshot: Snapshot) -> Result<(), Error> {
        if snapshot.applied <= self.applied {
            return Err(Error::Stale(snapshot.applied));
        }
        let mut state = State { applied: snapshot.applied, ..State::default() };
        for versioned in snapshot.resources {
            state.index(&versioned.resource);
            state.resources.insert(versioned.resource.key(), versioned);
        }
        for remembered in snapshot.outcomes {
            state.outcomes.restore(remembered);
        }
        *self = state;
        Ok(())
    }
}
