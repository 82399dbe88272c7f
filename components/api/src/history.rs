//! Ring buffer of recently accepted changes of the configuration, from which watches are served.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use model::{change::Action, id::Offset, resource::Kind};
use scheduler::config::{AppliedRecord, Outcome};

use crate::view::Event;

/// Limit on the accepted changes that are kept for watches; beyond it the oldest is dropped.
pub const CHANGE_LIMIT: usize = 4_096;

#[derive(Debug, Default)]
struct Ring {
    /// Highest offset whose change may be missing here: `changes` holds all accepted changes after
    /// it.
    floor: Offset,
    /// Accepted changes in the order of their offsets; at most [`CHANGE_LIMIT`].
    changes: VecDeque<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    offset: Offset,
    action: Action,
}

/// Recently accepted changes in bounded memory; may be used from any thread.
#[derive(Debug, Default)]
pub struct History {
    ring: Mutex<Ring>,
}

impl History {
    /// Adds the change of the next applied record of the log; a change that wasn't accepted is
    /// ignored.
    pub fn push(&self, step: AppliedRecord) {
        let Some(action) = step.action else {
            return;
        };
        if step.outcome != Outcome::Accepted(step.offset) {
            return;
        }
        let mut ring = self.lock();
        ring.changes.push_back(Change { offset: step.offset, action });
        if ring.changes.len() > CHANGE_LIMIT
            && let Some(oldest) = ring.changes.pop_front()
        {
            ring.floor = oldest.offset;
        }
    }

    /// Drops all changes after a snapshot with the offset `applied` was loaded: a snapshot doesn't
    /// contain the changes that led to it, so watches can only start after its offset.
    pub fn reset(&self, applied: Offset) {
        *self.lock() = Ring { floor: applied, changes: VecDeque::new() };
    }

    /// Returns the first offset that a watch can start from.
    pub fn first(&self) -> Offset {
        self.lock().floor + 1
    }

    /// Returns the changes with the offsets `from` to `to` (both included), of one kind or, for
    /// `None`, of all kinds. Returns `None` where some of these changes are no longer kept.
    pub fn range(&self, from: Offset, to: Offset, kind: Option<Kind>) -> Option<Vec<Event>> {
        let ring = self.lock();
        if from <= ring.floor {
            return None;
        }
        let start = ring.changes.partition_point(|change| change.offset < from);
        let changes = ring.changes.range(start..).take_while(|change| change.offset <= to);
        let wanted = changes.filter(|c| kind.is_none_or(|kind| c.action.key().kind == kind));
        Some(wanted.map(to_event).collect())
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_event(change: &Change) -> Event {
    let offset = change.offset;
    match &change.action {
        Action::Put(resource) => Event::Put { offset, resource: resource.clone() },
        Action::Delete(key) => Event::Delete { offset, key: key.clone() },
    }
}
