//! Handling of the configuration stream, and of requests that arrive while the applied
//! configuration may be out of date.

use std::time::Instant;

use model::{Refusal, id::Offset, refusal::Reason};

use super::{
    DEFAULT_RETRY_AFTER, Effect, Owner, Record, Request, State,
    claiming::{self, Claim},
};
use crate::config::Snapshot;

impl State {
    /// Applies records of the configuration stream in order. A record that can't be applied is
    /// reported as [`Effect::NotApplied`] and leaves the configuration unchanged.
    pub(super) fn apply_config_records(&mut self, records: Vec<Record>, effects: &mut Vec<Effect>) {
        for record in records {
            match self.config.apply_with_action(record.offset, &record.payload) {
                Ok(step) => effects.push(Effect::Applied(step)),
                Err(error) => effects.push(Effect::NotApplied(error)),
            }
        }
    }

    /// Replaces the configuration by a later snapshot; a stale one is reported as
    /// [`Effect::NotApplied`].
    pub(super) fn restore_snapshot(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let applied = snapshot.applied;
        match self.config.restore(snapshot) {
            Ok(()) => effects.push(Effect::Restored(applied)),
            Err(error) => effects.push(Effect::NotApplied(error)),
        }
    }

    /// Records the time of an event. If the process was frozen before it, requests the log's
    /// highest offset again.
    pub(super) fn record_event_time(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.freshness.record_event_time(now) {
            effects.push(Effect::CatchUp(self.freshness.highest_known()));
        }
    }

    /// Handles a reply to a query for the highest offset of the configuration stream, sent at
    /// `asked`.
    pub(super) fn confirm_highest_offset(
        &mut self,
        now: Instant,
        asked: Instant,
        highest: Offset,
        effects: &mut Vec<Effect>,
    ) {
        self.freshness.confirm(now, asked, highest);
        if highest > self.config.applied() {
            effects.push(Effect::CatchUp(highest));
        }
    }

    /// Returns whether an arriving request has to be held because the applied configuration may be
    /// out of date.
    pub(super) fn must_hold_requests(&self) -> bool {
        self.is_ready() && !self.freshness.is_fresh(self.config.applied())
    }

    /// Holds a request for at most [`CATCH_UP`](super::freshness::CATCH_UP) instead of deciding it
    /// by an outdated configuration, or refuses it if too many are held.
    pub(super) fn hold_request(
        &mut self,
        now: Instant,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        if self.freshness.held_count() >= self.settings.waiting {
            return effects.push(refuse_stale(&request));
        }
        self.freshness.hold(now, request);
        effects.push(Effect::CatchUp(self.freshness.highest_known()));
    }

    /// Admits or refuses held requests once the configuration is up to date, and refuses those that
    /// have been held for too long.
    pub(super) fn settle_held_requests(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.must_hold_requests() {
            for request in self.freshness.take_all() {
                self.handle_arrival(now, request, effects);
            }
        }
        let expired = self.freshness.take_expired(now);
        effects.extend(expired.iter().map(refuse_stale));
    }
}

/// Returns the refusal of a request that arrived while the configuration was out of date.
fn refuse_stale(request: &Request) -> Effect {
    let message = "this process is behind the configuration and can't catch up now";
    let refusal = Refusal::not_run(Reason::NotReady, message).retry_after(DEFAULT_RETRY_AFTER);
    let refusal = claiming::qualify_for_key(request.key.as_ref(), Claim::None, refusal);
    Effect::Refuse { request: request.id, owner: Owner::default(), refusal }
}
