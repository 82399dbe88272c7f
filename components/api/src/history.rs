//! Recent changes of the configuration, for watches.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use model::{change::Action, id::Offset, resource::Kind};
use scheduler::config::{AppliedRecord, Outcome};

use crate::view::Event;

/// Accepted changes that are kept for watches.
pub const CHANGES: usize = 4_096;

#[derive(Debug, Default)]
struct Kept {
    /// Highest offset that isn't covered: all accepted changes after it are in `changes`.
    floor: Offset,
    /// Accepted changes in the order of their offsets; at most [`CHANGES`].
    changes: VecDeque<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    offset: Offset,
    action: Action,
}

/// A bounded ring of accepted changes; may be used from any thread.
#[derive(Debug, Default)]
pub struct History {
    kept: Mutex<Kept>,
}

impl History {
    /// Adds what the fold did with the next record.
    pub fn push(&self, step: AppliedRecord) {
        let Some(action) = step.action else {
            return;
        };
        if step.outcome != Outcome::Accepted(step.offset) {
            return;
        }
        let mut kept = self.lock();
        kept.changes.push_back(Change { offset: step.offset, action });
        if kept.changes.len() > CHANGES
            && let Some(oldest) = kept.changes.pop_front()
        {
            kept.floor = oldest.offset;
        }
    }

    /// Starts anew after a snapshot: what led up to it isn't known.
    pub fn reset(&self, applied: Offset) {
        *self.lock() = Kept { floor: applied, changes: VecDeque::new() };
    }

    /// First offset that a watch can start from.
    pub fn first(&self) -> Offset {
        self.lock().floor + 1
    }

    /// Changes from one offset up to another, of one kind or of all; `None` where they are gone.
    pub fn range(&self, from: Offset, to: Offset, kind: Option<Kind>) -> Option<Vec<Event>> {
        let kept = self.lock();
        if from <= kept.floor {
            return None;
        }
        let start = kept.changes.partition_point(|change| change.offset < from);
        let changes = kept.changes.range(start..).take_while(|change| change.offset <= to);
        let wanted = changes.filter(|c| kind.is_none_or(|kind| c.action.key().kind == kind));
        Some(wanted.map(event).collect())
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn event(change: &Change) -> Event {
    let offset = change.offset;
    match &change.action {
        Action::Put(resource) => Event::Put { offset, resource: resource.clone() },
        Action::Delete(key) => Event::Delete { offset, key: key.clone() },
    }
}
