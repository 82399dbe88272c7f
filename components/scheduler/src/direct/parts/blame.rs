//! Which of the parts that ran together at a crash are blamed, by the answers that all processes saw.
//!
//! Of parts on which answers were written just before a crash and others, the others are at fault. A process that
//! saw no such answer blames all parts; another one that did adds the answer to the evidence.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use model::id::PartId;

use super::{Crash, CrashId, Evidence, Parts, RECENT_PROOF, VersionId, rounds};

impl Parts {
    /// Adds the answers that were written on a part for this process to its evidence.
    pub(super) fn share_recent_proofs(&mut self, part: PartId) {
        let proofs: Vec<(VersionId, Instant)> = self.recent_proofs(part).collect();
        if let Some(evidence) = self.parts.get_mut(&part) {
            proofs.into_iter().for_each(|(version, at)| evidence.prove(version, at));
        }
    }

    /// Returns the last answers that were written on a part for this process, by the version of the target.
    pub(super) fn recent_proofs(
        &self,
        part: PartId,
    ) -> impl Iterator<Item = (VersionId, Instant)> + '_ {
        let versions = (part, VersionId::MIN)..=(part, VersionId::MAX);
        self.recent.range(versions).map(|(&(_, version), &at)| (version, at))
    }

    /// Lets crashes no longer count against parts on which answers were written just before, where they count
    /// against another part without such an answer.
    pub(super) fn excuse_recent_parts(&mut self) {
        let mut blamed: BTreeSet<CrashId> = BTreeSet::new();
        for evidence in self.parts.values() {
            let crashes = evidence.counted.iter().filter(|crash| !evidence.ran_before(crash));
            blamed.extend(crashes.map(|crash| crash.id));
        }
        let excused: BTreeMap<PartId, BTreeSet<CrashId>> = self
            .parts
            .iter()
            .map(|(&part, evidence)| {
                let crashes = evidence.counted.iter().filter(|crash| evidence.ran_before(crash));
                (part, crashes.map(|crash| crash.id).filter(|id| blamed.contains(id)).collect())
            })
            .collect();
        for (part, excused) in excused.into_iter().filter(|(_, excused)| !excused.is_empty()) {
            if let Some(evidence) = self.parts.get_mut(&part) {
                evidence.counted.retain(|crash| !excused.contains(&crash.id));
                evidence.rounds = rounds(&evidence.counted);
            }
        }
    }
}

impl Evidence {
    /// Returns whether a target of the crashed one's version wrote an answer on the part just before the crash.
    fn ran_before(&self, crash: &Crash) -> bool {
        self.proofs.iter().any(|(version, at)| {
            *version == crash.version
                && *at <= crash.at
                && crash.at.saturating_duration_since(*at) < RECENT_PROOF
        })
    }
}
