//! The requirements of a request on its target, and the slot that the request takes.

use std::{cmp::Ordering, hash::BuildHasher, net::SocketAddr, time::Duration};

use model::id::{PoolName, TargetName, ZoneName};

use crate::direct::{HASHER, parts};

use super::{Incarnation, Lane, TargetState, Trial, Version, VersionId};

/// A slot of a target that a request has taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of the target; a restart of the target ends the slot.
    pub incarnation: Incarnation,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Version of the target's software when the slot was taken.
    pub version: Version,
    /// Prompt tokens of the request that the target has still to read; 0 once the answer has begun.
    pub pending_prefill_tokens: f64,
    /// Prompt tokens, those of earlier requests and the fixed cost included, that the target had to read
    /// before the first event when the slot was taken.
    pub(super) prefill_tokens: f64,
    /// Expected time from dispatch to the first event of the answer.
    pub expected_first_event: Duration,
    /// Whether the target runs the version of a rollout in progress.
    pub is_ordered_version: bool,
    /// Whether no other request may run at the target until the slot is released.
    pub is_exclusive: bool,
}

impl Slot {
    /// Returns the time to the first event divided by the prompt tokens read before it.
    pub fn first_event_per_token(&self, first: Duration) -> Duration {
        first.div_f64(self.prefill_tokens.max(1.0))
    }
}

/// The requirements of a request on its target.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Pool whose targets may answer the request.
    pub pool: &'a PoolName,
    /// Availability zone of this process.
    pub zone: &'a ZoneName,
    /// Random number of the request, uniformly distributed over requests.
    pub spread: u64,
    /// Prompt tokens of the request; 0 if unknown.
    pub prompt_tokens: f64,
    /// Expected tokens of the answer; 0 if unknown.
    pub expected_output_tokens: f64,
    /// Time until the deadline of the answer.
    pub time_left: Duration,
    /// Targets that may have run the request; it isn't sent to them again.
    pub possibly_ran_at: &'a [TargetName],
    /// Targets that rejected the request; any other target is preferred.
    pub rejected_by: &'a [TargetName],
    /// Lane of the targets that the request may go to, unless `version` is set.
    pub lane: Lane,
    /// Version that began the request's stream: only targets of this version may continue it, in any lane but a
    /// closed one. `None` where any version may begin the answer.
    pub version: Option<&'a Version>,
    /// Restriction because of a suspect part: all processes choose the same target for the part.
    pub trial: Option<Trial>,
    /// Versions whose targets the request avoids, since a part of its prompt is suspected of crashing them.
    pub excluded_versions: &'a [VersionId],
    /// Whether the request belongs to the pool's lowest tier and that tier holds its slots the longest, so
    /// that a part of each target's slots isn't available to the request.
    pub is_lowest_tier: bool,
}

impl Demand<'_> {
    /// Reports whether the request may run at targets of this version.
    pub(super) fn allows_version(&self, version: &Version) -> bool {
        self.excluded_versions.is_empty()
            || !self.excluded_versions.contains(&parts::version_id(version))
    }

    /// Returns the preference of a target for a request with a suspect part, the same at all processes but for
    /// targets that this process couldn't reach.
    pub(super) fn trial_rank(&self, state: &TargetState) -> (bool, u64) {
        let hash = HASHER.hash_one((self.trial.map(|trial| trial.part), &state.target.name));
        (state.unreachable_backoff.is_zero(), hash)
    }

    /// Reports whether the target has rejected the request.
    pub(super) fn was_rejected_by(&self, state: &TargetState) -> bool {
        self.rejected_by.contains(&state.target.name)
    }
}

/// Compares two targets for a request, each given as whether the target rejected the request and its cost.
/// Targets that didn't reject the request come first, then those of lower cost.
pub(super) fn compare_costs(a: (bool, f64), b: (bool, f64)) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

/// How requests reach the targets of a pool; both may hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionModes {
    /// Whether any target has an agent, reachable or not.
    pub has_agents: bool,
    /// Whether any target accepts requests without an agent, by the rows that entry processes exchange.
    pub has_shared_slots: bool,
}
