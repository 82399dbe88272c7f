//! Isolation of request bodies that are suspected of crashing the target: a suspect runs alone, and is
//! banned if the target crashes again while it runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{id::Fingerprint, reservation::Id, suspect::Body};

/// Time for which an agent denies a body that crashed the target while running alone. After this time
/// the entries have read the crash record and reject the body themselves.
pub const BAN_DURATION: Duration = Duration::from_secs(60);

/// Bodies of reservations, and the suspected and banned ones among them.
#[derive(Clone, Debug, Default)]
pub struct SuspectBodies {
    /// Bodies of the reservations that haven't ended.
    bodies: BTreeMap<Id, Body>,
    /// Granted or running reservation of a suspected body; while it is set, nothing else is granted.
    exclusive: Option<Id>,
    /// Bodies of runs whose connection broke, kept until it is known whether the target crashed.
    broken_runs: BTreeMap<Id, Body>,
    /// Runs that are already part of a crash record.
    reported_runs: BTreeSet<Id>,
    /// Banned bodies, with the time at which each ban ends.
    bans: BTreeMap<Fingerprint, Instant>,
}

impl SuspectBodies {
    /// Records the body of a new reservation.
    pub fn add(&mut self, id: Id, body: Body) {
        self.bodies.insert(id, body);
    }

    /// Removes an ended reservation.
    pub fn remove(&mut self, id: Id) {
        self.bodies.remove(&id);
        self.reported_runs.remove(&id);
        if self.exclusive == Some(id) {
            self.exclusive = None;
        }
    }

    /// Returns whether a reservation may be granted while `held` others are granted or running: not
    /// while a suspect holds a grant, and a suspect only when `held` is 0.
    pub fn may_grant(&self, id: Id, held: usize) -> bool {
        self.exclusive.is_none() && (held == 0 || !self.is_suspect(id))
    }

    /// Records that a reservation was granted. No other reservation is granted until a suspect ends.
    pub fn add_grant(&mut self, id: Id) {
        if self.is_suspect(id) {
            self.exclusive = Some(id);
        }
    }

    /// Returns the body of a run if it is the suspect that runs alone.
    pub fn body_run_alone(&self, id: Id) -> Option<Fingerprint> {
        let body = self.bodies.get(&id).filter(|_| self.exclusive == Some(id))?;
        Some(body.fingerprint)
    }

    /// Records that a run's connection broke. Must be called before `remove`, which drops the body.
    pub fn add_broken_run(&mut self, id: Id) {
        if let Some(body) = self.bodies.get(&id).filter(|_| !self.reported_runs.contains(&id)) {
            self.broken_runs.insert(id, *body);
        }
    }

    /// Drops the runs whose connection broke, once the target is known not to have crashed.
    pub fn clear_broken_runs(&mut self) {
        self.broken_runs.clear();
    }

    /// Records a crash of the target while `running` ran. Returns the bodies that may have caused the
    /// crash and are in no earlier record, and whether there is exactly one, which ran alone as a
    /// suspect. That one is banned for [`BAN_DURATION`].
    pub fn record_crash(&mut self, now: Instant, running: &[Id]) -> (Vec<Fingerprint>, bool) {
        let unreported: Vec<Id> =
            running.iter().copied().filter(|id| !self.reported_runs.contains(id)).collect();
        self.reported_runs.extend(&unreported);
        let running = unreported.iter().filter_map(|id| self.bodies.get(id));
        let broken_runs = std::mem::take(&mut self.broken_runs);
        let bodies: Vec<Body> = broken_runs
            .iter()
            .filter(|(id, _)| !unreported.contains(id))
            .map(|(_, body)| body)
            .chain(running)
            .copied()
            .collect();
        let alone = matches!(bodies.as_slice(), [only] if only.alone);
        if alone {
            self.bans.extend(bodies.iter().map(|body| (body.fingerprint, now + BAN_DURATION)));
        }
        (bodies.iter().map(|body| body.fingerprint).collect(), alone)
    }

    /// Returns the remaining time of the ban on a reservation's body; `None` if it isn't banned.
    pub fn remaining_ban(&mut self, now: Instant, id: Id) -> Option<Duration> {
        self.bans.retain(|_, until| *until > now);
        let body = self.bodies.get(&id)?;
        self.bans.get(&body.fingerprint).map(|until| *until - now)
    }

    fn is_suspect(&self, id: Id) -> bool {
        self.bodies.get(&id).is_some_and(|body| body.alone)
    }
}
