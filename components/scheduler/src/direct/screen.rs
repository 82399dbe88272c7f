//! Requests whose prompts have parts that are suspected of crashing targets: when and where they run, and what
//! their answers and crashes say about the parts.
//!
//! A request with a suspect part runs only while no other request of this process with that part does, at a
//! target that all processes choose alike, so that few targets are lost before the part is refused. After a
//! second round of crashes it runs alone there. Of several such requests, the one with the fewest suspect
//! parts runs first: if it is sound, its answer clears the parts that it shares with the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::id::{PartId, PoolName};

use super::{
    BrokenDispatch, State,
    capacity::Capacity,
    event::{Effect, LogEntry, RefusalReason, Request, Ticket},
    parts::{self, Level, PartReport, Parts, VersionId},
    pending::{PendingRequest, Stage, Trial},
    relay::Era,
};

/// Time for which an answer must have been written to clear the parts of its prompt. A target may still send
/// the first event of an answer that crashes it.
pub const PROOF_TIME: Duration = Duration::from_millis(100);
/// Time for which a request waits for a target without other requests: on a busy site there may be none.
const ISOLATION_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of shared parts of a request; further ones count as one part together.
const MAX_REQUEST_PARTS: usize = 32;

/// What the parts of a prompt mean for a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Screening {
    /// Whether the request may be dispatched now.
    pub is_held: bool,
    /// How the request runs; `None` where it runs as all others.
    pub trial: Option<Trial>,
    /// Versions whose targets the request avoids.
    pub excluded_versions: Vec<VersionId>,
}

impl Screening {
    const UNRESTRICTED: Screening =
        Screening { is_held: false, trial: None, excluded_versions: Vec::new() };

    /// Returns whether fewer targets may run the request than others.
    pub(super) fn is_restricted(&self) -> bool {
        self.trial.is_some() || !self.excluded_versions.is_empty()
    }
}

/// Parts that no further request of this process may run with at the moment.
#[derive(Debug, Default)]
pub(super) struct OccupiedParts {
    /// Suspect parts of requests that are in flight or about to be dispatched.
    running: BTreeSet<PartId>,
    /// Parts of requests whose target may just have crashed, until it is known whether it did.
    unresolved: BTreeSet<PartId>,
    /// Smallest number of suspect parts of a waiting request with the part.
    fewest: BTreeMap<PartId, usize>,
    /// Whether so many targets crashed that requests with some suspect parts wait for them.
    are_trials_paused: bool,
}

/// Returns the request with at most [`MAX_REQUEST_PARTS`] shared parts.
pub(super) fn limit_parts(mut request: Request) -> Request {
    if request.shared_parts.len() > MAX_REQUEST_PARTS {
        request.shared_parts.truncate(MAX_REQUEST_PARTS - 1);
        let account = request.api_key.as_deref().unwrap_or_default();
        request.shared_parts.push(parts::overflow_part(account));
    }
    request
}

/// Returns how a waiting request runs because of the parts of its prompt.
pub(super) fn screen(
    now: Instant,
    suspects: &Parts,
    occupied: &OccupiedParts,
    capacity: &Capacity,
    pending: &PendingRequest,
) -> Screening {
    let shared = &pending.request.shared_parts;
    let is_unresolved = shared.iter().any(|part| occupied.unresolved.contains(part));
    let suspected: Vec<PartId> = suspects.suspects(shared).collect();
    if suspected.is_empty() {
        return Screening { is_held: is_unresolved, ..Screening::UNRESTRICTED };
    }
    let levels = version_levels(now, suspects, capacity, pending);
    let least = levels.values().copied().min().unwrap_or(Level::Isolated);
    let excluded_versions: Vec<VersionId> =
        levels.iter().filter(|(_, level)| **level > least).map(|(version, _)| *version).collect();
    if least == Level::Clear {
        return Screening { is_held: is_unresolved, trial: None, excluded_versions };
    }
    let is_occupied = suspected.iter().any(|part| {
        let has_precedence = occupied.fewest.get(part).is_some_and(|&few| few < suspected.len());
        has_precedence || occupied.running.contains(part)
    });
    let waits_for_targets = occupied.are_trials_paused
        && suspected.iter().any(|part| suspects.waits_for_targets(now, *part));
    let waited = now.saturating_duration_since(pending.arrived);
    let is_alone = least >= Level::Isolated && waited < ISOLATION_WAIT;
    let most = suspected.into_iter().max_by_key(|part| (suspects.weight(*part), *part));
    Screening {
        is_held: is_unresolved || is_occupied || waits_for_targets || least >= Level::Held,
        trial: most.map(|part| Trial { part, is_alone }),
        excluded_versions,
    }
}

/// Returns the level of a request at each version that may run it.
fn version_levels(
    now: Instant,
    suspects: &Parts,
    capacity: &Capacity,
    pending: &PendingRequest,
) -> BTreeMap<VersionId, Level> {
    let versions = match pending.origin.version() {
        Some(version) => BTreeSet::from([parts::version_id(version)]),
        None => capacity.versions(&pending.pool),
    };
    let shared = &pending.request.shared_parts;
    versions
        .into_iter()
        .map(|version| (version, suspects.max_level(now, shared, version)))
        .collect()
}

impl OccupiedParts {
    /// Adds the suspect parts of a request that is about to run.
    pub(super) fn add(&mut self, suspects: &Parts, pending: &PendingRequest) {
        self.running.extend(suspects.suspects(&pending.request.shared_parts));
    }
}

impl State {
    /// Returns the evidence on quarantined parts that has to be written to the platform's service, and the era
    /// in which it isn't there.
    pub fn unstored_parts(&self, now: Instant) -> (Era, Vec<PartReport>) {
        let era = self.era.unwrap_or_default();
        (era, self.parts.unstored(now, era))
    }

    /// Returns the parts that no further request may run with at the moment.
    pub(super) fn occupied_parts(&self, now: Instant) -> OccupiedParts {
        let mut occupied = OccupiedParts::default();
        let unresolved = self.broken_dispatches.iter().filter(|broken| {
            !broken.has_proof
                && !broken.is_target_reached
                && self.probing.contains_key(&broken.target)
        });
        for broken in unresolved {
            occupied.unresolved.extend(&broken.request.shared_parts);
        }
        let is_any_waiting = self.waiting.values().any(|queue| !queue.is_empty());
        if !is_any_waiting || !self.parts.has_suspects() {
            return occupied;
        }
        let targets = self.capacity.listed_targets().count();
        occupied.are_trials_paused = self.parts.are_trials_paused(now, targets);
        for pending in self.requests.values() {
            if pending.in_flight().is_some() {
                occupied.add(&self.parts, pending);
                continue;
            }
            let suspected: Vec<PartId> =
                self.parts.suspects(&pending.request.shared_parts).collect();
            for part in &suspected {
                let fewest = occupied.fewest.entry(*part).or_insert(suspected.len());
                *fewest = suspected.len().min(*fewest);
            }
        }
        occupied
    }

    /// Returns whether no target may run a request with these shared parts.
    pub(super) fn are_parts_refused(
        &self,
        now: Instant,
        pool: &PoolName,
        shared_parts: &[PartId],
    ) -> bool {
        self.parts.suspects(shared_parts).next().is_some()
            && self.are_versions_refused(now, &self.capacity.versions(pool), shared_parts)
    }

    fn are_versions_refused(
        &self,
        now: Instant,
        versions: &BTreeSet<VersionId>,
        shared_parts: &[PartId],
    ) -> bool {
        let is_refused =
            |version| self.parts.max_level(now, shared_parts, version) == Level::Quarantined;
        !versions.is_empty() && versions.iter().all(|&version| is_refused(version))
    }

    /// Returns whether a request is refused because its body or a part of its prompt crashed targets.
    pub(super) fn is_refused(&self, now: Instant, pending: &PendingRequest) -> bool {
        let shared = &pending.request.shared_parts;
        let are_parts_refused = match pending.origin.version() {
            Some(version) => {
                let versions = BTreeSet::from([parts::version_id(version)]);
                self.are_versions_refused(now, &versions, shared)
            }
            None => self.are_parts_refused(now, &pending.pool, shared),
        };
        are_parts_refused || self.is_quarantined(&pending.request.fingerprint)
    }

    /// Returns whether a request is refused because its body or a part of its prompt crashed targets.
    pub(super) fn is_ticket_refused(&self, now: Instant, ticket: Ticket) -> bool {
        self.requests.get(&ticket).is_some_and(|pending| self.is_refused(now, pending))
    }

    /// Implicates the shared parts of the requests that a crashed target ran, except for parts on which an
    /// answer is being written.
    pub(super) fn add_part_crashes(&mut self, now: Instant, crashes: &[BrokenDispatch]) {
        let mut proved = self.written_parts(now);
        for broken in crashes.iter().filter(|broken| broken.has_proof) {
            self.prove_parts(broken.at, &broken.request.shared_parts, broken.version);
            let parts = broken.request.shared_parts.iter();
            proved.extend(parts.map(|&part| (part, broken.version)));
        }
        for broken in crashes.iter().filter(|broken| !broken.has_proof) {
            let crash = parts::crash_id(&broken.target, broken.incarnation);
            self.parts.add_crash(
                now,
                &broken.request.shared_parts,
                (crash, broken.version),
                (broken.at, broken.dispatched_at),
                |part| proved.contains(&(part, broken.version)),
            );
        }
    }

    /// Returns the parts on which answers are being written, with the versions of the targets.
    fn written_parts(&self, now: Instant) -> BTreeSet<(PartId, VersionId)> {
        let written = self.requests.values().filter_map(|pending| {
            let in_flight = pending.in_flight().filter(|in_flight| in_flight.has_proof(now))?;
            Some((&pending.request.shared_parts, parts::version_id(&in_flight.slot.version)))
        });
        written
            .flat_map(|(parts, version)| parts.iter().map(move |&part| (part, version)))
            .collect()
    }

    /// Clears the suspect parts on which answers are being written, now or once they have been for
    /// [`PROOF_TIME`].
    pub(super) fn prove_written_parts(&mut self, now: Instant) {
        if !self.parts.has_suspects() {
            return;
        }
        for (part, version) in self.written_parts(now) {
            self.parts.add_proof(part, version, now);
        }
        let begun = self.requests.iter().filter_map(|(&ticket, pending)| {
            let in_flight = pending.in_flight().filter(|in_flight| !in_flight.has_proof(now))?;
            let began = in_flight.dispatched_at + in_flight.time_to_first_event?;
            self.parts.suspects(&pending.request.shared_parts).next()?;
            Some((began + PROOF_TIME, ticket))
        });
        self.proofs.extend(begun);
    }

    /// Clears parts on which a target of a version wrote an answer.
    pub(super) fn prove_parts(&mut self, now: Instant, parts: &[PartId], version: VersionId) {
        for &part in parts {
            self.parts.add_proof(part, version, now);
        }
    }

    /// Schedules the time at which the answer to a request with a suspect part proves that it is sound.
    pub(super) fn expect_proof(&mut self, now: Instant, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket)
            && self.parts.suspects(&pending.request.shared_parts).next().is_some()
        {
            self.proofs.insert((now + PROOF_TIME, ticket));
        }
    }

    /// Clears the parts whose proof is due, logs changes of levels and refuses waiting requests with parts that
    /// are quarantined now.
    pub(super) fn update_parts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.proofs.first().filter(|(at, _)| *at <= now) {
            self.proofs.remove(&(at, ticket));
            let Some(pending) = self.requests.get(&ticket) else {
                continue;
            };
            if let Some(in_flight) = pending.in_flight().filter(|known| known.has_proof(now)) {
                let version = parts::version_id(&in_flight.slot.version);
                let shared_parts = pending.request.shared_parts.clone();
                self.prove_parts(now, &shared_parts, version);
            }
        }
        let changes = self.parts.take_changes(now);
        let is_any_quarantined = changes.iter().any(|change| change.level == Level::Quarantined);
        let entries = changes.into_iter().map(LogEntry::PartLevelChanged).map(Effect::Log);
        effects.extend(entries);
        let targets = self.capacity.listed_targets().count();
        let paused = self.parts.take_trials_change(now, targets);
        effects.extend(paused.map(LogEntry::TrialsChanged).map(Effect::Log));
        if is_any_quarantined {
            self.refuse_quarantined(now, effects);
        }
    }

    /// Refuses the waiting requests that no target may run.
    fn refuse_quarantined(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_waiting = |pending: &&PendingRequest| {
            matches!(pending.stage, Stage::WaitingForSlot | Stage::WaitingForUnits(_))
        };
        let waiting = self.requests.values().filter(is_waiting);
        let refused = waiting.filter(|pending| self.is_refused(now, pending));
        let tickets: Vec<Ticket> = refused.map(|pending| pending.request.ticket).collect();
        for ticket in tickets {
            self.refuse(now, ticket, RefusalReason::Quarantined, false, effects);
        }
    }
}
