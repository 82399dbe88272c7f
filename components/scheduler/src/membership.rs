//! The fold over the membership stream: which agents hold claims, and which held them before.
//!
//! The epoch is the offset of the last applied record. The offset of an agent's join is its
//! fencing number: a later run of the same agent always has a higher one.

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

/// Time for which a former home is still asked for its claims. It covers the time that a claim
/// is remembered and the time that a home may go on with an old epoch.
pub const WINDOW: Duration = Duration::from_secs(24 * 3_600);
/// Most by which the clock of one of the system's hosts is wrong.
pub const CLOCK_ERROR: Duration = Duration::from_secs(2);

/// One run of an agent, from its join to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Incarnation {
    /// The target that it stands beside.
    pub target: TargetName,
    /// The host that it runs on.
    pub host: HostName,
    /// Names the run.
    pub id: IncarnationId,
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Offset of its join: its fencing number.
    pub joined: Offset,
    /// Hash of the target's name, for rendezvous hashing.
    seed: u64,
}

/// How a run of an agent ended, and with it what it remembered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It handed its claims to those that stay.
    HandedOver,
    /// Its claims are lost, and it grants nothing any more: it said so itself, or its successor
    /// listens at its address.
    Ended,
    /// Its claims are lost, and its process may still run.
    Lost,
}

/// A run of an agent that is a member no more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Former {
    /// The run.
    pub incarnation: Incarnation,
    /// Offset of the record that ended it.
    pub left: Offset,
    /// Time of that record.
    pub left_at: SystemTime,
    /// How it ended.
    pub end: End,
}

/// What a record came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It changed the members.
    Applied,
    /// It was passed over: unknown in form, about another run, or from an old epoch.
    Ignored,
}

/// A record's time, for the epoch that stood at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Moment {
    offset: Offset,
    /// Never before the time of an earlier record, whatever the clocks said.
    at: SystemTime,
}

/// The members as of one offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    /// Offset of the last applied record; never falls.
    epoch: Offset,
    members: BTreeMap<TargetName, Incarnation>,
    /// Runs that ended within the window, in the order of their ends.
    former: VecDeque<Former>,
    /// Records within the window, in their order.
    moments: VecDeque<Moment>,
    /// Epoch that stood when the window began.
    window_start: Offset,
}

impl State {
    /// Offset of the last applied record.
    pub fn epoch(&self) -> Offset {
        self.epoch
    }

    /// The agents that hold claims, in the order of their targets.
    pub fn members(&self) -> impl Iterator<Item = &Incarnation> {
        self.members.values()
    }

    /// The run of a target's agent that is a member.
    pub fn incarnation(&self, target: &str) -> Option<&Incarnation> {
        self.members.get(target)
    }

    /// The runs that ended within the window, in the order of their ends.
    pub fn former(&self) -> impl Iterator<Item = &Former> {
        self.former.iter()
    }

    /// Time of the last record within the window.
    pub fn latest(&self) -> Option<SystemTime> {
        self.moments.back().map(|moment| moment.at)
    }

    /// Applies the next record; one that can't be read is passed over by every process alike.
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

    /// Forgets what ended before the window; `now` is the clock of this process.
    pub fn prune(&mut self, now: SystemTime) {
        let Some(start) = now.checked_sub(WINDOW + CLOCK_ERROR * 2) else {
            return;
        };
        while self.moments.front().is_some_and(|moment| moment.at < start) {
            if let Some(moment) = self.moments.pop_front() {
                self.window_start = moment.offset;
            }
        }
        while self.former.front().is_some_and(|former| former.left <= self.window_start) {
            self.former.pop_front();
        }
    }

    fn change(&mut self, offset: Offset, record: Record) -> Outcome {
        let at = self.moments.back().map_or(record.at, |last| last.at.max(record.at));
        let outcome = match record.action {
            Action::Join(join) => self.join(offset, at, join),
            Action::Leave(leave) => self.leave(offset, at, &leave),
        };
        self.moments.push_back(Moment { offset, at });
        outcome
    }

    fn join(&mut self, offset: Offset, at: SystemTime, join: Join) -> Outcome {
        let again = |old: &Incarnation| old.id == join.incarnation;
        let ended = self.former.iter().any(|former| again(&former.incarnation));
        if ended || self.members.get(&join.target).is_some_and(again) {
            return Outcome::Ignored;
        }
        let seed = home::seed(&join.target);
        let incarnation = Incarnation {
            target: join.target.clone(),
            host: join.host,
            id: join.incarnation,
            control: join.control,
            joined: offset,
            seed,
        };
        if let Some(old) = self.members.insert(join.target, incarnation) {
            let end = if old.control == join.control { End::Ended } else { End::Lost };
            self.former.push_back(Former { incarnation: old, left: offset, left_at: at, end });
        }
        Outcome::Applied
    }

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
