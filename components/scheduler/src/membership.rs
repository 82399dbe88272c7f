//! Fold over the membership stream: the agents that store claims now, and those that did so within
//! [`WINDOW`].
//!
//! The stream is an append-only log of join and leave records. The epoch is the offset of the last
//! applied record. An agent's incarnation begins with its join record, whose offset is its fencing
//! number: a later incarnation of the same agent always has a higher one.

mod home;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use model::{
    id::{HostName, IncarnationId, Offset, TargetName},
    membership::{Action, Join, Leave, Record, SCHEMA},
};

pub use home::Home;

use crate::config::Error;

/// Time after its end for which a former home of a key is still asked for its claims. It covers the
/// time for which a claim is stored plus the time for which a home may grant under an old epoch.
pub const WINDOW: Duration = Duration::from_secs(24 * 3_600);
/// Maximum error of the wall clock of one of the system's hosts; the clocks of two hosts differ by
/// at most twice as much.
pub const CLOCK_ERROR_LIMIT: Duration = Duration::from_secs(2);

/// Incarnation of an agent: its membership from one join record until it leaves or is replaced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Incarnation {
    /// Target that the agent serves.
    pub target: TargetName,
    /// Host that the agent runs on.
    pub host: HostName,
    /// Unique id of the incarnation.
    pub id: IncarnationId,
    /// Address at which the agent receives control calls.
    pub control: SocketAddr,
    /// Offset of the join record, which is the incarnation's fencing number.
    pub joined: Offset,
    /// Hash of the target's name, for rendezvous hashing.
    target_hash: u64,
}

/// How an incarnation ended, and what became of its claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The agent handed all its claims over to the remaining members before it left.
    HandedOver,
    /// The claims are lost, and the incarnation surely grants no more keys: its own leave record
    /// says so, or its successor has the same address, which only one process can listen at.
    Ended,
    /// The incarnation was removed by another process, or replaced by one at another address. It
    /// handed no claims over, and its process may still run and grant keys.
    Lost,
}

/// Incarnation that is no longer a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Former {
    /// Incarnation that ended.
    pub incarnation: Incarnation,
    /// Offset of the record that ended the incarnation: its leave or its successor's join.
    pub left: Offset,
    /// Time of the record that ended the incarnation; never earlier than that of a previous record.
    pub left_at: SystemTime,
    /// How the incarnation ended.
    pub end: End,
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record changed the members.
    Applied,
    /// The record changed no member: its schema is unknown, it names another incarnation, it
    /// repeats an earlier record, or its hand-over was under an old epoch.
    Ignored,
}

/// Time of a record, from which the epoch at a given time is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RecordTime {
    offset: Offset,
    /// The record's own time, or that of an earlier record if that is later: times never decrease
    /// from record to record, even where the clocks of the appending hosts differ.
    at: SystemTime,
}

/// Membership as of one offset of the stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Offset of the last applied record, 0 before the first; never decreases.
    epoch: Offset,
    members: BTreeMap<TargetName, Incarnation>,
    /// Incarnations that ended within [`WINDOW`], in the order of the records that ended them.
    former: VecDeque<Former>,
    /// Times of the records within [`WINDOW`], in the order of their offsets.
    record_times: VecDeque<RecordTime>,
    /// Epoch at the beginning of the window: offset of the last record before it.
    window_start: Offset,
}

impl State {
    /// Returns the offset of the last applied record; 0 before the first.
    pub fn epoch(&self) -> Offset {
        self.epoch
    }

    /// Returns the current members, in the order of their targets' names.
    pub fn members(&self) -> impl Iterator<Item = &Incarnation> {
        self.members.values()
    }

    /// Returns the incarnation of a target's agent that is a member; `None` if there is none.
    pub fn incarnation(&self, target: &str) -> Option<&Incarnation> {
        self.members.get(target)
    }

    /// Returns the incarnations that ended within [`WINDOW`], in the order of the records that
    /// ended them.
    pub fn former(&self) -> impl Iterator<Item = &Former> {
        self.former.iter()
    }

    /// Returns the time of the last record; `None` if [`WINDOW`] contains none.
    pub fn latest(&self) -> Option<SystemTime> {
        self.record_times.back().map(|record| record.at)
    }

    /// Applies the next record of the stream.
    ///
    /// A record that can't be parsed, or has an unknown schema, advances the epoch and changes
    /// nothing else; all processes treat it the same. An offset that was applied before, or that
    /// skips a record, is an error and leaves the state unchanged.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<Outcome, Error> {
        if offset <= self.epoch {
            return Err(Error::Stale(offset));
        }
        if offset != self.epoch + 1 {
            return Err(Error::Gap { applied: self.epoch, got: offset });
        }
        let outcome = match serde_json::from_str::<Record>(payload) {
            Ok(record) if record.schema == SCHEMA => self.change(offset, record),
            _ => Outcome::Ignored,
        };
        self.epoch = offset;
        Ok(outcome)
    }

    /// Removes the times of the join and leave records that are older than [`WINDOW`], and the
    /// incarnations that these records ended. `now` is the wall clock of this process, and a
    /// record's time is that of the host that appended it; so the window is extended by the most
    /// that two clocks differ by, twice [`CLOCK_ERROR_LIMIT`].
    pub fn prune(&mut self, now: SystemTime) {
        let Some(start) = now.checked_sub(WINDOW + CLOCK_ERROR_LIMIT * 2) else {
            return;
        };
        while self.record_times.front().is_some_and(|record| record.at < start) {
            if let Some(record) = self.record_times.pop_front() {
                self.window_start = record.offset;
            }
        }
        while self.former.front().is_some_and(|former| former.left <= self.window_start) {
            self.former.pop_front();
        }
    }

    /// Applies the action of a record at a time that is never earlier than that of the last record.
    fn change(&mut self, offset: Offset, record: Record) -> Outcome {
        let at = self.record_times.back().map_or(record.at, |last| last.at.max(record.at));
        let outcome = match record.action {
            Action::Join(join) => self.join(offset, at, join),
            Action::Leave(leave) => self.leave(offset, at, &leave),
        };
        self.record_times.push_back(RecordTime { offset, at });
        outcome
    }

    /// Adds an incarnation, which replaces a member of the same target. A repeated join is ignored,
    /// also one of an incarnation that has ended.
    fn join(&mut self, offset: Offset, at: SystemTime, join: Join) -> Outcome {
        let is_same = |old: &Incarnation| old.id == join.incarnation;
        let has_ended = self.former.iter().any(|former| is_same(&former.incarnation));
        if has_ended || self.members.get(&join.target).is_some_and(is_same) {
            return Outcome::Ignored;
        }
        let target_hash = home::hash(&join.target);
        let incarnation = Incarnation {
            target: join.target.clone(),
            host: join.host,
            id: join.incarnation,
            control: join.control,
            joined: offset,
            target_hash,
        };
        if let Some(old) = self.members.insert(join.target, incarnation) {
            let end = if old.control == join.control { End::Ended } else { End::Lost };
            self.former.push_back(Former { incarnation: old, left: offset, left_at: at, end });
        }
        Outcome::Applied
    }

    /// Removes an incarnation. The record is ignored if it names another incarnation than the
    /// member, or if its hand-over was completed under another epoch than the current one.
    fn leave(&mut self, offset: Offset, at: SystemTime, leave: &Leave) -> Outcome {
        let is_member = self.members.get(&leave.target).is_some_and(|m| m.id == leave.incarnation);
        let is_current = leave.handed_over.is_none_or(|epoch| epoch == self.epoch);
        if !is_member || !is_current {
            return Outcome::Ignored;
        }
        let end = match leave.handed_over {
            Some(_) => End::HandedOver,
            None if leave.ended => End::Ended,
            None => End::Lost,
        };
        if let Some(incarnation) = self.members.remove(&leave.target) {
            self.former.push_back(Former { incarnation, left: offset, left_at: at, end });
        }
        Outcome::Applied
    }
}
