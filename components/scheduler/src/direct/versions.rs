//! How roll-outs touch requests and targets.

use std::time::{Duration, Instant};

use super::{
    State,
    capacity::Capacity,
    event::{Effect, Note, Outcome, Target, Ticket},
    pending::Running,
    rollout::{Answer, Order, Others, Report, Share, Step},
};

fn note(step: Step) -> Effect {
    Effect::Note(Note::Rollout(Box::new(step)))
}

/// Whether this process has nothing at targets of other versions than the ordered one.
fn is_idle(capacity: &Capacity, order: &Order) -> bool {
    capacity.running_besides(&order.pool, &order.target) == 0
}

impl State {
    /// What the platform's service is to be told of roll-outs.
    pub fn reports(&self) -> Vec<Report> {
        self.rollouts.reports()
    }

    /// Number of this process among those that may report the same.
    pub fn turn(&self) -> u32 {
        self.place.index
    }

    /// Dispatches of this process to the version that is ordered for a pool.
    pub fn exposed(&self, pool: &str) -> u64 {
        self.rollouts.exposed(pool)
    }

    /// The target that has a request.
    pub fn target(&self, ticket: Ticket) -> Option<&Target> {
        let running = self.requests.get(&ticket)?.running()?;
        Some(&self.capacity.state(&running.slot.target)?.target)
    }

    /// What this process tells the others of roll-outs.
    pub(super) fn shares(&self, now: Instant) -> Vec<Share> {
        self.rollouts.shares(now, |order| is_idle(&self.capacity, order))
    }

    /// Takes steps of roll-outs: targets of the versions take other requests from then on.
    pub(super) fn step(&mut self, now: Instant, steps: Vec<Step>, effects: &mut Vec<Effect>) {
        if !steps.is_empty() {
            self.assign_lanes(now);
        }
        effects.extend(steps.into_iter().map(note));
    }

    /// Weighs what is known of roll-outs, and decides.
    pub(super) fn decide_rollouts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.rollouts.any_active() {
            return;
        }
        self.rollouts.weigh(self.peers.shares());
        let most = !self.is_outnumbered(now);
        let whole = !self.is_lonely(now);
        let gone = self.settings.gone;
        let others = |order: &Order| {
            let moved = whole && self.peers.all_moved(now, gone, order.position);
            Others { most, moved }
        };
        let steps = self.rollouts.decide(now, others, |order| is_idle(&self.capacity, order));
        // Also without a step, the share of requests that moves grows.
        self.assign_lanes(now);
        effects.extend(steps.into_iter().map(note));
    }

    /// Whether fewer than half of the other processes that may take requests are heard.
    pub(super) fn is_outnumbered(&self, now: Instant) -> bool {
        let gone = self.settings.gone;
        self.peers.heard(now, gone) * 2 < self.peers.expected(now, gone)
    }

    pub(super) fn assign_lanes(&mut self, now: Instant) {
        let rollouts = &mut self.rollouts;
        self.capacity.assign(|pool, targets| rollouts.lanes(now, pool, targets));
    }

    /// Learns from the end of a dispatch how a version answers.
    pub(super) fn learn_version(
        &mut self,
        now: Instant,
        ticket: Ticket,
        running: &Running,
        (outcome, events): (Outcome, u32),
    ) {
        let Some(pending) = self.requests.get(&ticket).filter(|_| self.rollouts.any_active())
        else {
            return;
        };
        let answer = match outcome {
            Outcome::Done => {
                let held = now.saturating_duration_since(running.since);
                let first = running.first.unwrap_or(held);
                let rest = (held.saturating_sub(first), events.saturating_sub(1));
                Answer::Whole { first: running.slot.each_token(first), rest }
            }
            Outcome::Failed | Outcome::Lost { .. } | Outcome::Silent | Outcome::Expired => {
                Answer::Failed
            }
            Outcome::Rejected | Outcome::Replaced | Outcome::Unreached => return,
        };
        self.rollouts.answered(&pending.pool, &pending.route, running.slot.ordered, answer);
    }

    /// Hears what another process told some time ago.
    pub(super) fn hear_shares(
        &mut self,
        now: Instant,
        age: Duration,
        shares: &[Share],
        effects: &mut Vec<Effect>,
    ) {
        for share in shares {
            let steps = self.rollouts.hear(now, age, share);
            self.step(now, steps, effects);
        }
    }
}
