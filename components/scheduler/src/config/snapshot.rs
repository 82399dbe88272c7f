//! The configuration as of one offset, in a form that can be kept and sent.

use model::id::Offset;
use serde::{Deserialize, Serialize};

use super::{Error, State, Versioned, outcomes::Remembered};

/// Version of the snapshot's own form; a reader refuses one that it doesn't know.
pub const SCHEMA: u32 = 1;

/// Everything that the fold knows as of one offset; equal states give equal snapshots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Form of this snapshot; see [`SCHEMA`].
    pub schema: u32,
    /// Highest offset that is applied in it.
    pub applied: Offset,
    /// All resources, in the order of their keys.
    pub resources: Vec<Versioned>,
    /// Outcomes that are still remembered, oldest first.
    pub outcomes: Vec<Remembered>,
}

impl Snapshot {
    /// Writes it as JSON.
    pub fn render(&self) -> String {
        serde_json::to_string(self).expect("a snapshot is JSON")
    }
}

/// Reads a snapshot; `None` where the text isn't one of a form that this process knows.
pub fn parse(text: &str) -> Option<Snapshot> {
    let snapshot: Snapshot = serde_json::from_str(text).ok()?;
    (snapshot.schema == SCHEMA).then_some(snapshot)
}

impl State {
    /// Takes a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            schema: SCHEMA,
            applied: self.applied,
            resources: self.resources.values().cloned().collect(),
            outcomes: self.outcomes.iter().cloned().collect(),
        }
    }

    /// Steps forward to a snapshot's offset; a snapshot that isn't ahead changes nothing.
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
