//! Notices that targets give in their answers, and those that other entry processes heard.

use std::time::Instant;

use model::id::TargetName;

use super::{
    State,
    event::{Effect, Incarnation, LogEntry, Ticket},
};

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
