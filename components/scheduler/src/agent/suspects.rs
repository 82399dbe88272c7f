//! Bodies that may have crashed the target: they run alone, and not again after a second crash.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{id::Fingerprint, reservation::Id, suspect::Body};

/// Time for which an agent denies a body that crashed its target while it ran alone; by then the
/// entries have read the record.
pub const BAR: Duration = Duration::from_secs(60);

/// What the agent's reducer knows of bodies.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Bodies of live reservations.
    bodies: BTreeMap<Id, Body>,
    /// The reservation, granted or running, beside which nothing else may be granted.
    alone: Option<Id>,
    /// Bodies of runs whose connection broke, until it is known whether the target died.
    lost: BTreeMap<Id, Body>,
    /// Runs that a crash was already reported for.
    reported: BTreeSet<Id>,
    /// Bodies that are denied, and until when.
    barred: BTreeMap<Fingerprint, Instant>,
}

impl Suspects {
    /// Notes the body of a new reservation.
    pub fn add(&mut self, id: Id, body: Body) {
        self.bodies.insert(id, body);
    }

    /// Forgets an ended reservation.
    pub fn remove(&mut self, id: Id) {
        self.bodies.remove(&id);
        self.reported.remove(&id);
        if self.alone == Some(id) {
            self.alone = None;
        }
    }

    /// Whether a reservation may be granted beside as many others.
    pub fn may_grant(&self, id: Id, held: usize) -> bool {
        self.alone.is_none() && (held == 0 || !self.is_suspect(id))
    }

    /// Notes that a reservation was granted.
    pub fn grant(&mut self, id: Id) {
        if self.is_suspect(id) {
            self.alone = Some(id);
        }
    }

    /// The body of a run that ended whole, if it ran alone.
    pub fn cleared(&self, id: Id) -> Option<Fingerprint> {
        let body = self.bodies.get(&id).filter(|_| self.alone == Some(id))?;
        Some(body.fingerprint)
    }

    /// Notes that a run's connection broke. Must come before its end.
    pub fn lose(&mut self, id: Id) {
        if let Some(body) = self.bodies.get(&id).filter(|_| !self.reported.contains(&id)) {
            self.lost.insert(id, *body);
        }
    }

    /// The target lives: the broken connections had another cause.
    pub fn acquit(&mut self) {
        self.lost.clear();
    }

    /// The target died: the bodies that it ran, and whether the only one of them ran alone.
    pub fn blame(&mut self, now: Instant, running: &[Id]) -> (Vec<Fingerprint>, bool) {
        let fresh: Vec<Id> =
            running.iter().copied().filter(|id| !self.reported.contains(id)).collect();
        self.reported.extend(&fresh);
        let running = fresh.iter().filter_map(|id| self.bodies.get(id));
        let lost = std::mem::take(&mut self.lost);
        let bodies: Vec<Body> = lost
            .iter()
            .filter(|(id, _)| !fresh.contains(id))
            .map(|(_, body)| body)
            .chain(running)
            .copied()
            .collect();
        let alone = matches!(bodies.as_slice(), [only] if only.alone);
        if alone {
            self.barred.extend(bodies.iter().map(|body| (body.fingerprint, now + BAR)));
        }
        (bodies.iter().map(|body| body.fingerprint).collect(), alone)
    }

    /// How long a reservation's body is still denied.
    pub fn barred(&mut self, now: Instant, id: Id) -> Option<Duration> {
        self.barred.retain(|_, until| *until > now);
        let body = self.bodies.get(&id)?;
        self.barred.get(&body.fingerprint).map(|until| *until - now)
    }

    fn is_suspect(&self, id: Id) -> bool {
        self.bodies.get(&id).is_some_and(|body| body.alone)
    }
}
