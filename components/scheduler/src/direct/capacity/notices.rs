//! Notices that targets give in their answers, in addition to what the platform's list says of them.

use std::time::{Duration, Instant};

use model::id::TargetName;

use crate::rate::RateLimitReport;

use super::{super::event::Incarnation, Capacity, Demand, Target, TargetState, Version};

/// Time for which the notice of a target is kept after the target was removed from the list: an outage of the
/// platform, or a restored backup, may bring it back.
const NOTICE_LIFETIME: Duration = Duration::from_secs(3_600);

/// What a target stated in its answers about the requests that it accepts. It ends with the incarnation of the
/// target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the target is leaving and accepts no more requests.
    pub is_leaving: bool,
    /// Time until which the target asked this process for a rest; `None` before the first time.
    pub rests_until: Option<Instant>,
}

impl Notice {
    /// Reports whether the target asked this process for a rest that isn't over.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| until > now)
    }
}

/// What a target that isn't in use stated.
#[derive(Clone, Debug)]
pub(super) struct KeptNotice {
    notice: Notice,
    /// The target's rate limit; `None` if it never stated one.
    limit: Option<RateLimitReport>,
    incarnation: Incarnation,
    version: Version,
    /// Time at which the target was removed from the list.
    removed_at: Instant,
}

impl TargetState {
    /// Returns the incarnation of the target if it stated that it is leaving, while the list shows it as ready.
    pub fn unlisted_leaving(&self) -> Option<(TargetName, Incarnation)> {
        let is_unlisted = self.notice.is_leaving && self.target.is_ready;
        is_unlisted.then(|| (self.target.name.clone(), self.target.incarnation))
    }
}

impl Capacity {
    /// Records that a target is leaving. Returns whether this is new.
    pub fn mark_leaving(&mut self, name: &TargetName, incarnation: Incarnation) -> bool {
        let state = self.state_mut(name, incarnation);
        state.is_some_and(|state| !std::mem::replace(&mut state.notice.is_leaving, true))
    }

    /// Records that a target asked this process for a rest until a time. Returns whether a rest begins.
    pub fn mark_resting(
        &mut self,
        now: Instant,
        name: &TargetName,
        incarnation: Incarnation,
        until: Instant,
    ) -> bool {
        let Some(state) = self.state_mut(name, incarnation) else {
            return false;
        };
        let was_resting = state.notice.is_resting(now);
        state.notice.rests_until = state.notice.rests_until.max(Some(until));
        self.last_rest_end = self.last_rest_end.max(Some(until));
        !was_resting
    }

    /// Reports whether any target may be resting.
    pub fn may_have_resting(&self, now: Instant) -> bool {
        self.last_rest_end.is_some_and(|until| until > now)
    }

    /// Returns the time at which the first target that accepts the request has rested; `None` if a target accepts
    /// it now or after a backoff, or none does.
    pub fn rest_end(&self, now: Instant, demand: &Demand<'_>) -> Option<Instant> {
        let mut first: Option<Instant> = None;
        for state in self.pool_targets(demand.pool) {
            let available_at = state.notice.rests_until.max(state.backoff_until).max(Some(now));
            let is_candidate = available_at.is_some_and(|at| state.accepts(at, demand))
                && !demand.possibly_ran_at.contains(&state.target.name);
            match available_at {
                _ if !is_candidate => {}
                Some(at) if state.notice.is_resting(now) => {
                    first = Some(first.map_or(at, |earlier| earlier.min(at)));
                }
                _ => return None,
            }
        }
        first
    }

    /// Returns the targets that stated that they are leaving, while the list shows them as ready.
    pub fn unlisted_leaving(&self) -> Vec<(TargetName, Incarnation)> {
        self.states.iter().filter_map(TargetState::unlisted_leaving).collect()
    }

    /// Returns the state of a target that is listed anew, with what the same incarnation stated before.
    pub(super) fn open_state(&mut self, now: Instant, target: Target) -> TargetState {
        let kept = self.kept_notices.remove(&target.name);
        let is_same = |kept: &KeptNotice| {
            (kept.incarnation, &kept.version) == (target.incarnation, &target.version)
        };
        let kept = kept.filter(is_same);
        let mut state = TargetState::new(target);
        if let Some(KeptNotice { notice, limit, .. }) = kept {
            state.notice = notice;
            state.limit = limit;
            state.reset_pacer(now);
        }
        state
    }

    /// Keeps the notices of targets that are no longer in use.
    pub(super) fn keep_notices(&mut self, now: Instant) {
        let is_current =
            |kept: &KeptNotice| now.saturating_duration_since(kept.removed_at) < NOTICE_LIFETIME;
        self.kept_notices.retain(|_, kept| is_current(kept));
        let removed = self.states.iter().filter(|state| !state.is_in_use());
        let with_notice =
            removed.filter(|state| state.notice != Notice::default() || state.is_limited());
        let kept = with_notice.map(|state| {
            let Target { name, incarnation, version, .. } = state.target.clone();
            let (notice, limit) = (state.notice, state.limit);
            (name, KeptNotice { notice, limit, incarnation, version, removed_at: now })
        });
        self.kept_notices.extend(kept);
    }
}
