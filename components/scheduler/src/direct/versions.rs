//! Connects rollouts to the rest of the reducer's state: which targets accept which requests, the evidence
//! that dispatches add, and the reports.

use std::time::{Duration, Instant};

use super::{
    State,
    capacity::Capacity,
    event::{Effect, LogEntry, Outcome, Target, Ticket},
    pending::InFlight,
    rollout::{Answer, Order, PeerRollout, PeerStates, Report, Step},
};

fn rollout_log_entry(step: Step) -> Effect {
    Effect::Log(LogEntry::Rollout(Box::new(step)))
}

/// Returns whether this process has no requests in flight at targets of other versions than the ordered one.
fn is_idle(capacity: &Capacity, order: &Order) -> bool {
    capacity.running_on_other_versions(&order.pool, &order.version) == 0
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
        self.rollouts.dispatched_to_ordered(pool)
    }

    /// Returns the target at which a request is in flight; `None` where it is at none.
    pub fn target_of(&self, ticket: Ticket) -> Option<&Target> {
        let in_flight = self.requests.get(&ticket)?.in_flight()?;
        Some(&self.capacity.state(&in_flight.slot.target)?.target)
    }

    /// Returns the state of rollouts that this process sends to the others in its row.
    pub(super) fn own_rollouts(&self, now: Instant) -> Vec<PeerRollout> {
        self.rollouts.own_rollouts(now, |order| is_idle(&self.capacity, order))
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
        effects.extend(steps.into_iter().map(rollout_log_entry));
    }

    /// Evaluates the evidence about active rollouts from all processes and applies the resulting steps.
    pub(super) fn advance_rollouts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.rollouts.has_running() {
            return;
        }
        self.rollouts.update_evidence(self.peers.peer_rollouts());
        let is_half_fresh = !self.is_in_minority(now);
        let has_all_peers = !self.is_missing_peers(now);
        let peer_timeout = self.settings.peer_timeout;
        let peers = |order: &Order| {
            let are_all_shifted =
                has_all_peers && self.peers.are_all_shifted(now, peer_timeout, order.position);
            PeerStates { is_half_fresh, are_all_shifted }
        };
        let steps = self.rollouts.decide(now, peers, |order| is_idle(&self.capacity, order));
        // The share of requests that goes to the ordered version grows with time, also without a step, so
        // the lanes are recomputed.
        self.assign_lanes(now);
        effects.extend(steps.into_iter().map(rollout_log_entry));
    }

    /// Returns whether fewer than half of the other processes that may take requests have current rows.
    pub(super) fn is_in_minority(&self, now: Instant) -> bool {
        let peer_timeout = self.settings.peer_timeout;
        self.peers.current_count(now, peer_timeout) * 2 < self.peers.active_count(now, peer_timeout)
    }

    /// Recomputes the lane of each target: whether it accepts requests for a base version, for the ordered
    /// version, or none.
    pub(super) fn assign_lanes(&mut self, now: Instant) {
        let rollouts = &mut self.rollouts;
        self.capacity.assign_lanes(|pool, targets| rollouts.target_lanes(now, pool, targets));
    }

    /// Adds the result of a dispatch to the evidence about the version of its target.
    pub(super) fn record_version_result(
        &mut self,
        now: Instant,
        ticket: Ticket,
        in_flight: &InFlight,
        (outcome, events): (Outcome, u32),
    ) {
        let Some(pending) = self.requests.get(&ticket).filter(|_| self.rollouts.has_running())
        else {
            return;
        };
        let answer = match outcome {
            Outcome::Completed => {
                let duration = now.saturating_duration_since(in_flight.dispatched_at);
                let first = in_flight.time_to_first_event.unwrap_or(duration);
                let after_first = (duration.saturating_sub(first), events.saturating_sub(1));
                Answer::Complete {
                    first_per_token: in_flight.slot.first_event_per_token(first),
                    after_first,
                }
            }
            Outcome::Failed
            | Outcome::Incomplete { .. }
            | Outcome::Unresponsive
            | Outcome::DeadlineExceeded => Answer::Failed,
            Outcome::Rejected | Outcome::Replaced | Outcome::Unreachable => return,
        };
        self.rollouts.count_answer(
            &pending.pool,
            &pending.route,
            in_flight.slot.is_ordered_version,
            answer,
        );
    }

    /// Applies the state of rollouts in another process's row, which was made `age` ago.
    pub(super) fn merge_peer_rollouts(
        &mut self,
        now: Instant,
        age: Duration,
        rollouts: &[PeerRollout],
        effects: &mut Vec<Effect>,
    ) {
        for rollout in rollouts {
            let steps = self.rollouts.merge_peer(now, age, rollout);
            self.apply_steps(now, steps, effects);
        }
    }
}
