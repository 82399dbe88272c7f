//! Notices that targets give in their answers, and those that other entry processes heard.

use std::time::{Duration, Instant};

use model::id::TargetName;

use super::{
    State,
    event::{Effect, Incarnation, LogEntry, RefusalReason, Ticket},
    refusal,
};

/// Longest rest that a target gets. A longer one would keep a target out that no longer wants it, since only the
/// answer to a request could tell.
const MAX_REST: Duration = Duration::from_secs(300);

impl State {
    /// Handles an answer whose target states that it is leaving.
    pub(super) fn handle_leaving(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_flight(ticket) else {
            return;
        };
        let (target, incarnation) = (in_flight.slot.target.clone(), in_flight.slot.incarnation);
        if self.capacity.mark_leaving(&target, incarnation) {
            let list_age = self.list_age(now);
            effects.push(Effect::Log(LogEntry::Leaving { target, is_relayed: false, list_age }));
        }
    }

    /// Handles an answer whose target asks this process for a rest. The target decides for each process, so
    /// other processes aren't told.
    pub(super) fn handle_rest(
        &mut self,
        now: Instant,
        ticket: Ticket,
        time: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_flight(ticket) else {
            return;
        };
        let (target, incarnation) = (in_flight.slot.target.clone(), in_flight.slot.incarnation);
        let granted = time.min(MAX_REST);
        if self.capacity.mark_resting(now, &target, incarnation, now + granted) {
            effects.push(Effect::Log(LogEntry::Resting { target, asked: time, granted }));
        }
    }

    /// Refuses a request that can't wait until the first of its targets has rested, at `end`. Its caller may
    /// retry then, unless a target may have run it.
    pub(super) fn refuse_resting(
        &mut self,
        now: Instant,
        ticket: Ticket,
        end: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        if pending.may_have_run || pending.has_begun {
            return self.refuse(now, ticket, RefusalReason::NoFreeSlot, false, effects);
        }
        let context = Box::new(self.refusal_context(now, ticket));
        self.end_request(now, ticket, effects);
        let wait = end.saturating_duration_since(now);
        let refusal = refusal(RefusalReason::TargetsResting).with_retry_after(wait);
        effects.push(Effect::Refuse { ticket, refusal, context });
    }

    /// Records the targets that another process knows to be leaving.
    pub(super) fn record_peer_leaving(
        &mut self,
        now: Instant,
        leaving: &[(TargetName, Incarnation)],
        effects: &mut Vec<Effect>,
    ) {
        for (target, incarnation) in leaving {
            if self.capacity.mark_leaving(target, *incarnation) {
                let (target, list_age) = (target.clone(), self.list_age(now));
                effects.push(Effect::Log(LogEntry::Leaving { target, is_relayed: true, list_age }));
            }
        }
    }
}
