//! Evidence, from all entry processes, on parts of prompts that crash targets.
//!
//! A crash implicates the shared parts of every request that ran at the target and whose answer wasn't being
//! written for some time. A part is cleared by an answer that was written on it: a part that crashes targets
//! has none. Until then each crash raises its level, from running one request at a time to being refused.
//!
//! Targets also crash by themselves, many at once. Crashes therefore count in rounds: one belongs to a new
//! round only if its request was dispatched after the crash that began the last round. Requests that were lost
//! together count once, however many targets ran them.
//!
//! Parts that ran together can't be told apart by the crash. A part is therefore refused in all requests only
//! once a crash counts against it alone; before that, a request without other unproved parts still runs, alone,
//! and shows whether the part is at fault.
//!
//! Each process keeps the evidence that it collected and that it fetched from others. A crash has the same ID
//! at all processes that saw it, so it counts once.

mod blame;
mod losses;

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::BuildHasher,
    time::{Duration, Instant},
};

use model::id::PartId;
use serde::{Deserialize, Serialize};

use super::{HASHER, event::Incarnation, relay::Era, rollout::Version};
pub use losses::TrialsChange;

/// Maximum number of parts with evidence; one more evicts the part with the fewest and oldest crashes.
const MAX_PARTS: usize = 256;
/// Maximum number of crashes that are kept of a part, the newest ones.
const MAX_CRASHES: usize = 8;
/// Maximum number of versions of which it is kept that they wrote an answer on a part.
const MAX_PROOFS: usize = 4;
/// Time for which an answer that was written on a part lets other parts of a prompt be blamed for a crash.
const RECENT_PROOF: Duration = Duration::from_secs(10);
/// Maximum number of parts, by version, of which this process keeps when an answer was written on them.
const MAX_RECENT: usize = 1_024;
/// Longest time between two calls of [`Parts::update`].
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two crashes of a target.
const MIN_CRASH_INTERVAL: Duration = Duration::from_secs(2);
/// Number of rounds of crashes after which a part is refused.
const QUARANTINE_ROUNDS: u32 = 3;
/// Number of rounds of crashes after which requests with a part run alone.
const ISOLATION_ROUNDS: u32 = 2;
/// Number of crashes, in any number of rounds, after which requests with a part run alone.
const ISOLATION_CRASHES: usize = 3;
/// Time for which a part is refused; doubles with each further round.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Maximum number of times that the time of a quarantine doubles.
const MAX_DOUBLINGS: u32 = 7;
/// Time after its last crash for which a part that isn't quarantined stays suspect.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a cleared part is kept, so that processes that know of its crashes learn that it is cleared.
const PROOF_LIFETIME: Duration = Duration::from_secs(60);

/// Number of a crash: a hash of the target's name and incarnation.
pub type CrashId = u64;
/// Number of a version of the targets' software.
pub type VersionId = u64;

/// Returns the number of the crash that ends an incarnation of a target.
pub fn crash_id(target: &str, incarnation: Incarnation) -> CrashId {
    HASHER.hash_one((target, incarnation))
}

/// Returns the part that stands for all parts of an account's request beyond those that are distinguished.
pub fn overflow_part(account: &str) -> PartId {
    HASHER.hash_one(("overflow", account))
}

/// Returns the number of a version.
pub fn version_id(version: &Version) -> VersionId {
    HASHER.hash_one(version)
}

/// Crash of a target that ran a part, as processes send it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Number of the crash.
    pub id: CrashId,
    /// Version of the target.
    pub version: VersionId,
    /// Time since the crash.
    pub age: Duration,
    /// Time since the request with the part was dispatched to the target; the last one if there were several.
    pub dispatch_age: Duration,
}

/// An answer that was written on a part, as processes send it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProofReport {
    /// Version of the target that wrote the answer.
    pub version: VersionId,
    /// Time since then.
    pub age: Duration,
}

/// Evidence on one part, as processes send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// The part.
    pub part: PartId,
    /// Crashes of targets that ran the part.
    pub crashes: Vec<CrashReport>,
    /// Last answer of each version that was written on the part.
    pub proofs: Vec<ProofReport>,
    /// Era of the platform's service in which the part's quarantine was stored there; `None` if it wasn't.
    pub stored: Option<Era>,
}

impl PartReport {
    /// Returns the evidence with its ages after a time in which it was kept elsewhere.
    pub fn aged(mut self, time: Duration) -> PartReport {
        for crash in &mut self.crashes {
            crash.age = crash.age.saturating_add(time);
            crash.dispatch_age = crash.dispatch_age.saturating_add(time);
        }
        for proof in &mut self.proofs {
            proof.age = proof.age.saturating_add(time);
        }
        self
    }
}

/// How requests with a part may run, from the least to the most restricted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// As all others.
    Clear,
    /// One at a time.
    Watched,
    /// One at a time, with no other request at its target.
    Isolated,
    /// Not until the evidence of all processes on the last crash has arrived.
    Held,
    /// Not at all.
    Quarantined,
}

/// Crash of a target that ran a part.
#[derive(Clone, Copy, Debug)]
struct Crash {
    id: CrashId,
    version: VersionId,
    at: Instant,
    /// Time of the dispatch of the request with the part, the last one if there were several.
    dispatched_at: Instant,
}

/// Evidence on one part.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Known crashes, sorted by time.
    crashes: Vec<Crash>,
    /// Time at which an answer was last written on the part, by the version of the target.
    proofs: Vec<(VersionId, Instant)>,
    stored: Option<Era>,
    /// Crashes after the last proof of their version that no quarantined part explains, sorted by time.
    counted: Vec<Crash>,
    /// Number of rounds of `counted`.
    rounds: u32,
    /// Whether any of `counted` counts against no other part, by the evidence of all processes.
    is_confirmed: bool,
}

/// Change of a part's level, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelChange {
    /// The part.
    pub part: PartId,
    /// Its new level.
    pub level: Level,
    /// Number of crashes that count against the part.
    pub crashes: usize,
    /// Number of rounds in which these crashes happened.
    pub rounds: u32,
}

/// Evidence on all parts that were implicated in crashes.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    parts: BTreeMap<PartId, Evidence>,
    /// Times at which targets of a version last wrote answers on parts for this process, for at most
    /// [`MAX_RECENT`] of them.
    recent: BTreeMap<(PartId, VersionId), Instant>,
    /// Time in which the evidence of all processes on a crash arrives.
    settling_time: Duration,
    /// Levels at the last call of [`Parts::take_changes`]; parts that were clear aren't contained.
    reported: BTreeMap<PartId, Level>,
    /// Whether trials were paused at the last call of [`Parts::take_trials_change`].
    were_trials_paused: bool,
    /// Time by which this process waits longer for crashed targets than the first process does.
    turn_delay: Duration,
}

impl Parts {
    /// Sets the time in which the evidence of all processes on a crash arrives.
    pub fn set_settling_time(&mut self, time: Duration) {
        self.settling_time = time;
    }

    /// Returns whether any crash counts against a part.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.parts.get(&part).is_some_and(|evidence| !evidence.counted.is_empty())
    }

    /// Returns whether any crash counts against any part.
    pub fn has_suspects(&self) -> bool {
        self.parts.values().any(|evidence| !evidence.counted.is_empty())
    }

    /// Returns the highest level of a request with these shared parts for targets of a version.
    pub fn max_level(&self, now: Instant, shared_parts: &[PartId], version: VersionId) -> Level {
        let levels = shared_parts.iter().map(|&part| self.level(now, part, version, shared_parts));
        levels.max().unwrap_or(Level::Clear)
    }

    /// Returns the parts of a prompt against which crashes count.
    pub fn suspects<'a>(&'a self, parts: &'a [PartId]) -> impl Iterator<Item = PartId> + 'a {
        parts.iter().copied().filter(|part| self.is_suspect(*part))
    }

    /// Adds a crash of a target that ran a request with these shared parts, except for parts that `is_proved`
    /// excludes.
    pub fn add_crash(
        &mut self,
        now: Instant,
        shared_parts: &[PartId],
        (id, version): (CrashId, VersionId),
        (at, dispatched_at): (Instant, Instant),
        is_proved: impl Fn(PartId) -> bool,
    ) {
        let implicated = || shared_parts.iter().copied().filter(|part| !is_proved(*part));
        let was_recent = |part| {
            let proof = self.recent.get(&(part, version));
            proof.is_some_and(|proof| at.saturating_duration_since(*proof) < RECENT_PROOF)
        };
        // Of parts that ran until just now and others, the others are at fault.
        let others: Vec<PartId> = implicated().filter(|part| !was_recent(*part)).collect();
        let blamed = if others.is_empty() { implicated().collect() } else { others };
        for part in blamed {
            self.insert_crash(part, Crash { id, version, at, dispatched_at });
        }
        self.evaluate(now);
    }

    /// Returns whether an answer was written on a part and no crash counts against it since.
    fn is_proved(&self, part: PartId) -> bool {
        match self.parts.get(&part) {
            Some(evidence) if !evidence.counted.is_empty() => false,
            Some(evidence) if !evidence.proofs.is_empty() => true,
            _ => {
                self.recent.range((part, VersionId::MIN)..=(part, VersionId::MAX)).next().is_some()
            }
        }
    }

    /// Returns whether answers were written on all other parts of a prompt.
    fn is_separate(&self, part: PartId, shared_parts: &[PartId]) -> bool {
        shared_parts.iter().filter(|other| **other != part).all(|other| self.is_proved(*other))
    }

    /// Records that a target of a version wrote an answer on a part. Returns whether that changes anything.
    pub fn add_proof(&mut self, part: PartId, version: VersionId, at: Instant) -> bool {
        self.record_recent((part, version), at);
        let Some(evidence) = self.parts.get_mut(&part) else {
            return false;
        };
        // Other proofs of a part that is cleared already would only be sent to the other processes.
        let is_proved = evidence.proofs.iter().any(|(known, _)| *known == version);
        if is_proved && !evidence.counted.iter().any(|crash| crash.version == version) {
            return false;
        }
        evidence.prove(version, at);
        self.evaluate(at);
        true
    }

    fn record_recent(&mut self, key: (PartId, VersionId), at: Instant) {
        if self.recent.len() >= MAX_RECENT && !self.recent.contains_key(&key) {
            let mut times: Vec<Instant> = self.recent.values().copied().collect();
            let middle = times.len() / 2;
            let (_, &mut median, _) = times.select_nth_unstable(middle);
            self.recent.retain(|_, at| *at > median);
        }
        self.recent.insert(key, at);
    }

    /// Adds the evidence that another process sent. An age that no clock reaches makes its item void.
    pub fn merge(&mut self, now: Instant, reports: &[PartReport]) {
        for report in reports {
            for crash in &report.crashes {
                let CrashReport { id, version, age, dispatch_age } = *crash;
                let times = now.checked_sub(age).zip(now.checked_sub(dispatch_age));
                let Some((at, dispatched_at)) = times else {
                    continue;
                };
                let crash = Crash { id, version, at, dispatched_at };
                self.insert_crash(report.part, crash);
            }
            self.share_recent_proofs(report.part);
            if let Some(evidence) = self.parts.get_mut(&report.part) {
                for proof in &report.proofs {
                    if let Some(at) = now.checked_sub(proof.age) {
                        evidence.prove(proof.version, at);
                    }
                }
                evidence.stored = evidence.stored.max(report.stored);
            }
        }
        self.evaluate(now);
    }

    /// Removes evidence that has expired, and takes into account that crashes settle.
    pub fn update(&mut self, now: Instant) {
        let count = self.parts.len();
        self.parts.retain(|_, evidence| !evidence.has_expired(now));
        let last = self.parts.values().filter_map(|evidence| evidence.counted.last());
        let is_settling = last.map(|crash| crash.at).max().is_some_and(|at| {
            now.saturating_duration_since(at) < self.settling_time + MAX_UPDATE_INTERVAL
        });
        if self.parts.len() != count || is_settling {
            self.evaluate(now);
        }
    }

    /// Returns the level of a part for targets of a version, in a request with the given shared parts.
    fn level(
        &self,
        now: Instant,
        part: PartId,
        version: VersionId,
        request_parts: &[PartId],
    ) -> Level {
        let Some(evidence) = self.parts.get(&part) else {
            return Level::Clear;
        };
        let mut level = evidence.level(now);
        if level == Level::Quarantined
            && !evidence.is_confirmed
            && self.is_separate(part, request_parts)
        {
            level = if evidence.has_settled(now, self.settling_time) {
                Level::Isolated
            } else {
                Level::Held
            };
        }
        let has_crashed = evidence.counted.iter().any(|crash| crash.version == version);
        let is_proved = evidence.proofs.iter().any(|(known, _)| *known == version);
        match (has_crashed, is_proved) {
            (true, _) => level,
            (false, true) => Level::Clear,
            // Another version of the software may run the part.
            (false, false) => level.min(Level::Isolated),
        }
    }

    /// Returns how far a part is suspected; parts are compared by it.
    pub fn weight(&self, part: PartId) -> (u32, usize) {
        self.parts.get(&part).map_or((0, 0), |evidence| (evidence.rounds, evidence.counted.len()))
    }

    /// Returns the changes of the parts' levels since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<LevelChange> {
        if self.parts.is_empty() && self.reported.is_empty() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let known: BTreeSet<PartId> =
            self.parts.keys().chain(self.reported.keys()).copied().collect();
        for part in known {
            let evidence = self.parts.get(&part);
            let level = evidence.map_or(Level::Clear, |evidence| evidence.level(now));
            if self.reported.get(&part).copied().unwrap_or(Level::Clear) == level {
                continue;
            }
            if level == Level::Clear {
                self.reported.remove(&part);
            } else {
                self.reported.insert(part, level);
            }
            let (rounds, crashes) = self.weight(part);
            changes.push(LevelChange { part, level, crashes, rounds });
        }
        changes
    }

    /// Returns all evidence in the form in which it is sent to other processes.
    pub fn reports(&self, now: Instant) -> Vec<PartReport> {
        self.parts.iter().map(|(&part, evidence)| evidence.report(now, part)).collect()
    }

    /// Returns the evidence on the quarantined parts that isn't stored in the platform's service of this era.
    pub fn unstored(&self, now: Instant, era: Era) -> Vec<PartReport> {
        let is_unstored = |evidence: &Evidence| {
            evidence.rounds >= QUARANTINE_ROUNDS && evidence.stored.is_none_or(|known| known < era)
        };
        let unstored = self.parts.iter().filter(|(_, evidence)| is_unstored(evidence));
        unstored.map(|(&part, evidence)| evidence.report(now, part)).collect()
    }

    /// Records that the evidence on a part was stored in the platform's service in this era.
    pub fn mark_stored(&mut self, part: PartId, era: Era) {
        if let Some(evidence) = self.parts.get_mut(&part) {
            evidence.stored = evidence.stored.max(Some(era));
        }
    }

    /// Returns a digest of the evidence, which is the same in processes that have the same evidence; 0 where
    /// there is none.
    pub fn digest(&self) -> u64 {
        let hashes = self.parts.iter().map(|(part, evidence)| {
            let crashes =
                evidence.counted.iter().fold(0, |sum: u64, crash| sum.wrapping_add(crash.id));
            HASHER.hash_one((part, crashes, evidence.stored))
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns the approximate number of bytes of all evidence when it is sent.
    pub fn packed_size(&self) -> usize {
        let size =
            |evidence: &Evidence| 16 + 32 * evidence.crashes.len() + 16 * evidence.proofs.len();
        self.parts.values().map(size).sum()
    }

    fn insert_crash(&mut self, part: PartId, crash: Crash) {
        if !self.parts.contains_key(&part) && self.parts.len() >= MAX_PARTS {
            self.evict();
        }
        let crashes = &mut self.parts.entry(part).or_default().crashes;
        let is_same = |known: &&mut Crash| known.is_same(&crash);
        if let Some(known) = crashes.iter_mut().find(is_same) {
            known.dispatched_at = known.dispatched_at.max(crash.dispatched_at);
            return;
        }
        crashes.push(crash);
        crashes.sort_by_key(|crash| (crash.at, crash.id));
        let surplus = crashes.len().saturating_sub(MAX_CRASHES);
        crashes.drain(..surplus);
    }

    /// Removes the part with the fewest rounds and crashes, the oldest of several.
    fn evict(&mut self) {
        let rank = |evidence: &Evidence| {
            let last = evidence.crashes.last().map(|crash| crash.at);
            (evidence.rounds, evidence.counted.len(), last)
        };
        let least = self.parts.iter().min_by_key(|(_, evidence)| rank(evidence));
        if let Some(part) = least.map(|(&part, _)| part) {
            self.parts.remove(&part);
        }
    }

    /// Recomputes which crashes count against each part.
    fn evaluate(&mut self, now: Instant) {
        for evidence in self.parts.values_mut() {
            evidence.counted = evidence.unproved_crashes();
            evidence.rounds = rounds(&evidence.counted);
        }
        self.excuse_recent_parts();
        self.explain_crashes(now);
    }

    /// Recomputes of each part whether a crash counts against it alone.
    fn update_confirmed(&mut self, now: Instant) {
        let mut blamed: BTreeMap<CrashId, u32> = BTreeMap::new();
        for crash in self.parts.values().flat_map(|evidence| &evidence.counted) {
            *blamed.entry(crash.id).or_default() += 1;
        }
        for evidence in self.parts.values_mut() {
            evidence.is_confirmed = evidence.counted.iter().any(|crash| {
                let has_settled = now.saturating_duration_since(crash.at) >= self.settling_time;
                has_settled && blamed.get(&crash.id) == Some(&1)
            });
        }
    }

    /// Lets parts that are certainly at fault explain their crashes, which no longer count against other parts.
    /// The part with the most crashes explains first.
    fn explain_crashes(&mut self, now: Instant) {
        let mut explaining = BTreeSet::new();
        loop {
            self.update_confirmed(now);
            let candidates = self.parts.iter().filter(|(part, evidence)| {
                evidence.rounds >= QUARANTINE_ROUNDS
                    && evidence.is_confirmed
                    && !explaining.contains(*part)
            });
            let most =
                candidates.max_by_key(|(_, evidence)| (evidence.rounds, evidence.counted.len()));
            let Some((&part, evidence)) = most else {
                return;
            };
            let ids: BTreeSet<CrashId> = evidence.counted.iter().map(|crash| crash.id).collect();
            explaining.insert(part);
            for (other, evidence) in &mut self.parts {
                if !explaining.contains(other) {
                    evidence.counted.retain(|crash| !ids.contains(&crash.id));
                    evidence.rounds = rounds(&evidence.counted);
                }
            }
        }
    }
}

impl Crash {
    /// Returns whether two observations are of one crash. Not all targets state when they started, so a target may
    /// crash again under the same number.
    fn is_same(&self, other: &Crash) -> bool {
        let (earlier, later) = (self.at.min(other.at), self.at.max(other.at));
        self.id == other.id && later.saturating_duration_since(earlier) < MIN_CRASH_INTERVAL
    }
}

impl Evidence {
    fn prove(&mut self, version: VersionId, at: Instant) {
        if let Some((_, known)) = self.proofs.iter_mut().find(|(known, _)| *known == version) {
            *known = at.max(*known);
            return;
        }
        self.proofs.push((version, at));
        if self.proofs.len() > MAX_PROOFS {
            self.proofs.sort_by_key(|(_, at)| *at);
            self.proofs.remove(0);
        }
    }

    /// Returns the crashes after the last answer that a target of their version wrote on the part.
    fn unproved_crashes(&self) -> Vec<Crash> {
        let is_unproved = |crash: &&Crash| {
            let proof = self.proofs.iter().find(|(version, _)| *version == crash.version);
            proof.is_none_or(|(_, at)| *at < crash.at)
        };
        self.crashes.iter().filter(is_unproved).copied().collect()
    }

    /// Returns whether the evidence of all processes on the last crash has arrived.
    fn has_settled(&self, now: Instant, settling_time: Duration) -> bool {
        let last = self.counted.last();
        last.is_none_or(|crash| now.saturating_duration_since(crash.at) >= settling_time)
    }

    fn quarantine_time(&self) -> Duration {
        QUARANTINE_TIME * 2_u32.pow((self.rounds - QUARANTINE_ROUNDS).min(MAX_DOUBLINGS))
    }

    fn level(&self, now: Instant) -> Level {
        let Some(last) = self.counted.last() else {
            return Level::Clear;
        };
        if self.rounds >= QUARANTINE_ROUNDS {
            let is_over = now.saturating_duration_since(last.at) >= self.quarantine_time();
            return if is_over { Level::Isolated } else { Level::Quarantined };
        }
        let is_isolated =
            self.rounds >= ISOLATION_ROUNDS || self.counted.len() >= ISOLATION_CRASHES;
        if is_isolated { Level::Isolated } else { Level::Watched }
    }

    fn has_expired(&self, now: Instant) -> bool {
        let last_crash = self.crashes.last().map(|crash| crash.at);
        let last_proof = self.proofs.iter().map(|(_, at)| *at).max();
        let (last, lifetime) = if self.counted.is_empty() {
            (last_proof.max(last_crash), PROOF_LIFETIME)
        } else if self.rounds >= QUARANTINE_ROUNDS {
            (last_crash, self.quarantine_time() * 2)
        } else {
            (last_crash, SUSPICION_LIFETIME)
        };
        last.is_none_or(|last| now.saturating_duration_since(last) >= lifetime)
    }

    fn report(&self, now: Instant, part: PartId) -> PartReport {
        let age = |at| now.saturating_duration_since(at);
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            id: crash.id,
            version: crash.version,
            age: age(crash.at),
            dispatch_age: age(crash.dispatched_at),
        });
        let proofs = self.proofs.iter().map(|&(version, at)| ProofReport { version, age: age(at) });
        PartReport {
            part,
            crashes: crashes.collect(),
            proofs: proofs.collect(),
            stored: self.stored,
        }
    }
}

/// Returns the number of rounds of crashes that are sorted by time. A crash begins a new round if its request
/// was dispatched after the crash that began the last one.
fn rounds(crashes: &[Crash]) -> u32 {
    let mut began: Option<Instant> = None;
    let mut rounds = 0;
    for crash in crashes {
        if began.is_none_or(|began| crash.dispatched_at > began) {
            began = Some(crash.at);
            rounds += 1;
        }
    }
    rounds
}
