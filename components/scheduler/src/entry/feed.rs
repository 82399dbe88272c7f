//! What the entry's reducer does with the configuration stream.

use std::time::Instant;

use model::{Refusal, id::Offset, refusal::Reason};

use super::{
    Effect, Owner, RETRY, Record, Request, State,
    claiming::{self, Claim},
};
use crate::config::Snapshot;

impl State {
    /// Applies records in order; one that can't be applied is reported, never skipped.
    pub(super) fn apply(&mut self, records: Vec<Record>, effects: &mut Vec<Effect>) {
        for record in records {
            match self.config.step(record.offset, &record.payload) {
                Ok(step) => effects.push(Effect::Applied(step)),
                Err(error) => effects.push(Effect::NotApplied(error)),
            }
        }
    }

    /// Steps forward to a snapshot.
    pub(super) fn restore(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let applied = snapshot.applied;
        match self.config.restore(snapshot) {
            Ok(()) => effects.push(Effect::Restored(applied)),
            Err(error) => effects.push(Effect::NotApplied(error)),
        }
    }

    /// Notes the time of an event, and asks anew for the end of the log after a freeze.
    pub(super) fn pass(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.freshness.pass(now) {
            effects.push(Effect::CatchUp(self.freshness.heard()));
        }
    }

    /// Takes the answer to a question for the highest offset.
    pub(super) fn confirm(
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

    /// Whether nothing was decided about a request yet because the configuration isn't fresh.
    pub(super) fn must_hold(&self) -> bool {
        self.is_ready() && !self.freshness.is_fresh(self.config.applied())
    }

    /// Keeps a request for a bounded time instead of deciding it on old rules.
    pub(super) fn hold(&mut self, now: Instant, request: Request, effects: &mut Vec<Effect>) {
        if self.freshness.waiting() >= self.settings.waiting {
            return effects.push(not_fresh(&request));
        }
        self.freshness.hold(now, request);
        effects.push(Effect::CatchUp(self.freshness.heard()));
    }

    /// Decides held requests once the configuration is fresh, and gives up those that are late.
    pub(super) fn settle_held(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.must_hold() {
            for request in self.freshness.release() {
                self.arrive(now, request, effects);
            }
        }
        let late = self.freshness.lapse(now);
        effects.extend(late.iter().map(not_fresh));
    }
}

fn not_fresh(request: &Request) -> Effect {
    let message = "this process is behind the configuration and can't catch up now";
    let refusal = Refusal::not_run(Reason::NotReady, message).retry_after(RETRY);
    let refusal = claiming::speak(request.key.as_ref(), Claim::None, refusal);
    Effect::Refuse { request: request.id, owner: Owner::default(), refusal }
}
