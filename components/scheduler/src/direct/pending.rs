//! State of the requests that this process has admitted and that haven't ended.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::id::{AccountName, PoolName, TargetName, ZoneName};

use super::{
    allowance::UnitRequest,
    capacity::{Demand, Slot},
    event::{Incarnation, Request, Ticket, Tokens},
    plan::Repeat,
    rollout::{Lane, Rollouts},
};

/// Sort key of a queued request; the lowest key of a queue is dispatched first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Ranks of account and tier, compared from left to right; 0 is the highest.
    pub rank: [u32; 3],
    /// Arrival time of the request; of equal ranks the oldest request goes first.
    pub arrived: Instant,
    /// Number of the request in this process; makes the key unique.
    pub ticket: Ticket,
}

/// A dispatch that hasn't ended.
#[derive(Clone, Debug)]
pub struct Running {
    /// Slot that the dispatch occupies at its target.
    pub slot: Slot,
    /// Time of the dispatch.
    pub since: Instant,
    /// Time from the dispatch to the first event or the head of the answer; `None` before that arrives.
    pub first: Option<Duration>,
    /// Whether the answer states a rate limit of the target.
    pub limited: bool,
    /// Number of the reservation that the target's agent granted for the slot; `None` where the slot was
    /// taken without an agent.
    pub reservation: Option<u32>,
}

/// Slot that is held at a second target for a request whose current target sends nothing.
#[derive(Clone, Debug)]
pub struct Held {
    /// Slot at the second target.
    pub slot: Slot,
    /// Number of the reservation that the second target's agent granted for the slot; `None` where the slot
    /// was taken without an agent.
    pub reservation: Option<u32>,
}

/// A reservation that is queued at a target's agent.
#[derive(Clone, Debug)]
pub struct Reserved {
    /// Number of the reservation, from 1, unique within its request.
    pub number: u32,
    /// Target whose slot is requested.
    pub target: TargetName,
    /// Incarnation of the target when the reservation was made.
    pub incarnation: Incarnation,
    /// Address on which the agent listens.
    pub agent: SocketAddr,
    /// Whether the reservation told the agent that the target has a rate limit.
    pub limited: bool,
}

/// Stage of a request between admission and its end.
#[derive(Clone, Debug)]
pub enum Stage {
    /// The request waits for units of its account's quota.
    Limited(UnitRequest),
    /// The request waits for a free slot at any target of its pool.
    Waiting,
    /// The request is in flight at a target.
    Running(Running),
    /// The request is in flight at a target that sends nothing, and waits for a slot at another target.
    Seeking(Running),
    /// A slot is held at another target; the request is dispatched there once the dispatch to the target that
    /// sends nothing has ended.
    Moving(Running, Held),
}

/// What the next dispatch of a request takes from the retry budget of its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// The dispatch takes nothing from the budget.
    Free,
    /// The dispatch takes one retry, which hasn't been taken yet; the request waits until one is available.
    Due,
    /// The dispatch takes one retry, which has been taken already and is returned if the dispatch doesn't
    /// happen.
    Paid,
}

/// A request that was admitted, and the state of its dispatches.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Request as it arrived.
    pub request: Request,
    /// Name of the request's route, for logs.
    pub route: String,
    /// Client account of the request; `None` where its route is public or no accounts are configured.
    pub account: Option<AccountName>,
    /// Pool whose targets may run the request.
    pub pool: PoolName,
    /// Rank of the request's account; 0 is the highest.
    pub account_rank: u32,
    /// Lowest rank (highest number) that any configured account has.
    pub lowest_account_rank: u32,
    /// Rank of the route's tier; 0 is the highest.
    pub tier: u32,
    /// Time from which the account's rank takes precedence over the tier in the queue; not later than the
    /// end of the wait.
    pub promote: Instant,
    /// Whether the account's rank already takes precedence.
    pub is_promoted: bool,
    /// Arrival time of the request.
    pub arrived: Instant,
    /// Deadline for the end of the answer.
    pub until: Instant,
    /// Time at which the request is refused if it still waits for a slot; not later than the deadline for the
    /// end of the answer.
    pub give_up: Instant,
    /// Units that the request takes from its account's quota, once it no longer waits for them; 0 where the
    /// account has no limit.
    pub units: f64,
    /// Whether the request may be dispatched again after a target may have run it.
    pub retry_policy: Repeat,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Maximum number of targets that may run the request.
    pub attempts: u32,
    /// Number of dispatches so far.
    pub dispatches: u32,
    /// What the next dispatch takes from the pool's retry budget.
    pub charge: Charge,
    /// Whether any target may have run the request.
    pub may_have_run: bool,
    /// Whether a part of the answer was sent to the caller.
    pub begun: bool,
    /// Whether a target answered with a failure; it is passed to the caller if no other target answers.
    pub has_failed_answer: bool,
    /// Targets that may have run the request; it isn't dispatched to them again.
    pub tried: Vec<TargetName>,
    /// Targets that rejected the request; other targets are preferred.
    pub rejected: Vec<TargetName>,
    /// Reservations that are queued at agents; empty unless the request waits for a slot.
    pub reserved: Vec<Reserved>,
    /// Number of reservations made so far; the next one gets the next number.
    pub reservations: u32,
    /// Time from which the request may be reserved at one more agent.
    pub next_reservation: Instant,
    /// Whether the request was selected for a version that is being rolled out; `None` before it was first
    /// considered for a slot, `Some(false)` again once it was dispatched.
    pub chosen: Option<bool>,
    /// Current stage of the request.
    pub stage: Stage,
}

impl Pending {
    /// Returns the key by which the request is sorted in its queue.
    ///
    /// The account's rank takes precedence over the tier, so that overload sheds the requests of
    /// low-ranked accounts. It does so only in the last quarter of a request's wait: before that, a
    /// request can let higher tiers of all accounts go first and still be on time.
    pub fn order(&self) -> Order {
        // An interrupted answer is resumed before new answers begin: its caller already has a part of it,
        // which is lost if the rest doesn't follow.
        if self.begun {
            return Order { rank: [0; 3], arrived: self.arrived, ticket: self.request.ticket };
        }
        let account = if self.is_promoted { self.account_rank } else { self.lowest_account_rank };
        let rank = [account, self.tier, self.account_rank];
        Order { rank, arrived: self.arrived, ticket: self.request.ticket }
    }

    /// Returns the time of the next queue timer of a waiting request: its promotion or, after that, the end
    /// of its wait.
    pub fn next_timer(&self) -> Instant {
        if self.is_promoted { self.give_up } else { self.promote }
    }

    /// Returns whether the request may be dispatched again after `ran` targets may have run it.
    pub fn may_repeat(&self, ran: usize) -> bool {
        let allowed = match self.retry_policy {
            Repeat::Idempotent => !self.begun,
            Repeat::Resumable => self.is_stream,
            Repeat::Never => false,
        };
        allowed && ran < self.attempts as usize
    }

    /// Returns the dispatch that is in flight; `None` while the request is only queued.
    pub fn running(&self) -> Option<&Running> {
        match &self.stage {
            Stage::Running(running) | Stage::Seeking(running) | Stage::Moving(running, _) => {
                Some(running)
            }
            Stage::Limited(_) | Stage::Waiting => None,
        }
    }

    /// Returns the dispatch that is in flight, for changes; `None` while the request is only queued.
    pub fn running_mut(&mut self) -> Option<&mut Running> {
        match &mut self.stage {
            Stage::Running(running) | Stage::Seeking(running) | Stage::Moving(running, _) => {
                Some(running)
            }
            Stage::Limited(_) | Stage::Waiting => None,
        }
    }

    /// Withdraws the request's selection for a version that is being rolled out, so that it is dispatched to
    /// the established version. Returns whether it was selected.
    pub fn deselect_from_rollout(&mut self, rollouts: &mut Rollouts) -> bool {
        let was_selected = self.chosen.replace(false) == Some(true);
        if was_selected {
            rollouts.release(&self.pool, &self.route);
        }
        was_selected
    }

    /// Returns what the request requires of a target: one that runs the established version, with no slots
    /// left to other tiers. Callers overwrite `lane` and `lowest` where that differs.
    pub fn demand<'a>(
        &self,
        now: Instant,
        pool: &'a PoolName,
        zone: &'a ZoneName,
        (tried, rejected): (&'a [TargetName], &'a [TargetName]),
    ) -> Demand<'a> {
        Demand {
            pool,
            zone,
            spread: self.request.spread,
            tokens: self.prompt_tokens(),
            output: self.request.expected_tokens.map_or(0.0, f64::from),
            left: self.until.saturating_duration_since(now),
            tried,
            rejected,
            lane: Lane::Base,
            lowest: false,
        }
    }

    /// Returns the token counts of the request; those of the answer are the caller's expectation where it
    /// stated one, else the maximum. Counts that the caller didn't state are 0.
    pub fn tokens(&self) -> Tokens {
        let tokens = self.request.tokens.unwrap_or_default();
        let max_output = self.request.expected_tokens.unwrap_or(tokens.max_output);
        Tokens { max_output, ..tokens }
    }

    /// Returns the number of prompt tokens; 0 where the caller didn't state it.
    pub fn prompt_tokens(&self) -> f64 {
        self.request.tokens.map_or(0.0, |tokens| f64::from(tokens.prompt))
    }
}
