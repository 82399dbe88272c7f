//! Limits how many targets are lost while parts of prompts that crash targets are sought.
//!
//! A request with a suspect part may cost the target that runs it. Several bad parts, each with requests at
//! several processes, can crash most targets before the processes have each other's evidence, and sound requests
//! then find no slot. So once more targets crashed than a share of them, a request with a suspect part on which no
//! answer was ever written waits until crashed targets are back. Processes go on in turn, so that one learns what
//! became of the request that another one sent.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::id::PartId;

use super::{CrashId, Evidence, Parts};

/// Time after which a crashed target is expected to have started again and to be listed.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Share of the targets, rounded up to whole targets, that may be down before requests with such parts wait.
const MAX_LOST_SHARE: f64 = 0.25;

/// Change of whether requests with suspect parts wait for crashed targets, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialsChange {
    /// Whether they wait.
    pub are_paused: bool,
    /// Number of targets that crashed within the time in which a target starts again.
    pub lost: usize,
    /// Number of listed targets.
    pub targets: usize,
}

/// Returns whether so many of the targets crashed that no further one may be risked.
fn is_loss_excessive(lost: usize, targets: usize) -> bool {
    lost as f64 > (targets as f64 * MAX_LOST_SHARE).ceil()
}

impl Parts {
    /// Sets the index of this process among all processes, by which they go on in turn after a pause.
    pub fn set_turn(&mut self, index: u32) {
        self.turn_delay = self.settling_time.saturating_mul(index).min(RETURN_TIME);
    }

    /// Returns whether requests with unproved suspect parts wait for crashed targets. `targets` is the number of
    /// listed targets.
    pub fn are_trials_paused(&self, now: Instant, targets: usize) -> bool {
        is_loss_excessive(self.lost_targets(now), targets)
    }

    /// Returns whether a request with a part waits while trials are paused.
    pub fn waits_for_targets(&self, now: Instant, part: PartId) -> bool {
        self.parts.get(&part).is_some_and(|evidence| {
            !evidence.counted.is_empty()
                && evidence.has_crashed_within(now, self.return_time())
                && evidence.proofs.is_empty()
                && self.recent_proofs(part).next().is_none()
        })
    }

    /// Returns the change of whether trials are paused since the last call; `None` if there is none.
    pub fn take_trials_change(&mut self, now: Instant, targets: usize) -> Option<TrialsChange> {
        if self.parts.is_empty() && !self.were_trials_paused {
            return None;
        }
        let lost = self.lost_targets(now);
        let are_paused = is_loss_excessive(lost, targets);
        let has_changed = std::mem::replace(&mut self.were_trials_paused, are_paused) != are_paused;
        has_changed.then_some(TrialsChange { are_paused, lost, targets })
    }

    /// Returns the time after which this process expects a crashed target to be back.
    fn return_time(&self) -> Duration {
        RETURN_TIME + self.turn_delay
    }

    /// Returns the number of targets that crashed and may not be back, by the evidence of all processes.
    fn lost_targets(&self, now: Instant) -> usize {
        let time = self.return_time();
        let recent = self.parts.values().filter(|evidence| evidence.has_crashed_within(now, time));
        let crashes = recent.flat_map(|evidence| &evidence.crashes);
        let is_recent = |at| now.saturating_duration_since(at) < time;
        let lost = crashes.filter(|crash| is_recent(crash.at)).map(|crash| crash.id);
        lost.collect::<BTreeSet<CrashId>>().len()
    }
}

impl Evidence {
    /// Returns whether a target crashed within the last `time` while it ran the part.
    fn has_crashed_within(&self, now: Instant, time: Duration) -> bool {
        let last = self.crashes.last();
        last.is_some_and(|crash| now.saturating_duration_since(crash.at) < time)
    }
}
