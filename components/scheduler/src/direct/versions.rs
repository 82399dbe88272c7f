//! Effects of rollouts on requests and targets.

use std::time::{Duration, Instant};

use super::{
    State,
    capacity::Capacity,
    event::{Effect, LogEntry, Outcome, Target, Ticket},
    pending::InFlight,
    rollout::{Answer, Order, Others, Report, Share, Step},
};

fn rollout_note(step: Step) -> Effect {
    Effect::Log(LogEntry::Rollout(Box::new(step)))
}

/// Returns whether this process has no requests in flight at targets of other versions than the ordered one.
fn is_idle(capacity: &Capacity, order: &Order) -> bool {
    capacity.running_on_other_versions(&order.pool, &order.target) == 0
}

impl State {
    /// Returns the reports on rollouts that have to be written to the platform's service.
    pub fn reports(&self) -> Vec<Report> {
        self.rollouts.reports()
    }

    /// Returns the index of this process among the entry processes, which may all write the same reports.
    pub fn report_delay_turns(&self) -> u32 {
        self.process_index.index
    }

    /// Returns the number of dispatches of this process to the version that is ordered for a pool.
    pub fn dispatches_to_ordered_version(&self, pool: &str) -> u64 {
        self.rollouts.exposed(pool)
    }

    /// Returns the target at which a request is in flight; `None` where it is at none.
    pub fn target_of(&self, ticket: Ticket) -> Option<&Target> {
        let in_flight = self.requests.get(&ticket)?.in_flight()?;
        Some(&self.capacity.state(&in_flight.slot.target)?.target)
    }

    /// Returns the state of rollouts that this process sends to the others in its row.
    pub(super) fn shares(&self, now: Instant) -> Vec<Share> {
        self.rollouts.shares(now, |order| is_idle(&self.capacity, order))
    }

    /// Applies steps of rollouts, if any: reassigns which requests the targets of each version accept, and
    /// logs the steps.
    pub(super) fn apply_steps(
        &mut self,
        now: Instant,
        steps: Vec<Step>,
        effects: &mut Vec<Effect>,
    ) {
        if !steps.is_empty() {
            self.assign_lanes(now);
        }
        effects.extend(steps.into_iter().map(rollout_note));
    }

    /// Evaluates the evidence about active rollouts from all processes and applies the resulting steps.
    pub(super) fn advance_rollouts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.rollouts.any_active() {
            return;
        }
        self.rollouts.weigh(self.peers.shares());
        let most = !self.is_in_minority(now);
        let has_all_peers = !self.is_missing_peers(now);
        let peer_timeout = self.settings.peer_timeout;
        let others = |order: &Order| {
            let moved = has_all_peers && self.peers.all_moved(now, peer_timeout, order.position);
            Others { most, moved }
        };
        let steps = self.rollouts.decide(now, others, |order| is_idle(&self.capacity, order));
        // The share of requests that go to the new version grows with time, also without a step.
        self.assign_lanes(now);
        effects.extend(steps.into_iter().map(rollout_note));
    }

    /// Returns whether fewer than half of the other processes that may take requests have current rows.
    pub(super) fn is_in_minority(&self, now: Instant) -> bool {
        let peer_timeout = self.settings.peer_timeout;
        self.peers.current_count(now, peer_timeout) * 2 < self.peers.active_count(now, peer_timeout)
    }

    /// Reassigns to each target whether it gets requests, and those of which version.
    pub(super) fn assign_lanes(&mut self, now: Instant) {
        let rollouts = &mut self.rollouts;
        self.capacity.assign_lanes(|pool, targets| rollouts.lanes(now, pool, targets));
    }

    /// Adds the result of a dispatch to the evidence about the version of its target.
    pub(super) fn record_version_result(
        &mut self,
        now: Instant,
        ticket: Ticket,
        in_flight: &InFlight,
        (outcome, events): (Outcome, u32),
    ) {
        let Some(pending) = self.requests.get(&ticket).filter(|_| self.rollouts.any_active())
        else {
            return;
        };
        let answer = match outcome {
            Outcome::Completed => {
                let duration = now.saturating_duration_since(in_flight.dispatched_at);
                let first = in_flight.time_to_first_event.unwrap_or(duration);
                let rest = (duration.saturating_sub(first), events.saturating_sub(1));
                Answer::Whole { first: in_flight.slot.first_event_per_token(first), rest }
            }
            Outcome::Failed
            | Outcome::Incomplete { .. }
            | Outcome::Unresponsive
            | Outcome::DeadlineExceeded => Answer::Failed,
            Outcome::Rejected | Outcome::Replaced | Outcome::Unreachable => return,
        };
        self.rollouts.answered(
            &pending.pool,
            &pending.route,
            in_flight.slot.is_ordered_version,
            answer,
        );
    }

    /// Applies the state of rollouts in another process's row, which was made `age` ago.
    pub(super) fn receive_shares(
        &mut self,
        now: Instant,
        age: Duration,
        shares: &[Share],
        effects: &mut Vec<Effect>,
    ) {
        for share in shares {
            let steps = self.rollouts.hear(now, age, share);
            self.apply_steps(now, steps, effects);
        }
    }
}
