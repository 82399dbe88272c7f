//! State of the requests that this process has admitted and that haven't ended.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    id::{AccountName, PartId, PoolName, StreamKey, TargetName, ZoneName},
    reservation::{self, Share},
};

use super::{
    RETRY_WAIT_MAX,
    allowance::UnitRequest,
    capacity::{Demand, Slot},
    copies,
    event::{Incarnation, Request, Ticket, Tokens},
    origin::{Home, Origin},
    plan::Repeat,
    returns::Standing,
    rollout::{Lane, Rollouts},
    screen::PROOF_TIME,
};

/// Sort key of a queued request; the lowest key of a queue is dispatched first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// Whether the request can no longer meet its target latency; all others go before it.
    pub is_late: bool,
    /// Ranks of account and tier, compared from left to right; 0 is the highest.
    pub ranks: [u32; 3],
    /// Whether the request isn't a confirmed return, which goes before newcomers of equal ranks.
    pub is_newcomer: bool,
    /// Whether the request returns without a promise, and goes after newcomers of equal ranks.
    pub is_unpromised: bool,
    /// Arrival time of the request; of equal ranks the oldest request goes first.
    pub arrived: Instant,
    /// Number of the request in this process; makes the key unique.
    pub ticket: Ticket,
}

/// A dispatch that hasn't ended.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Slot that the dispatch occupies at its target.
    pub slot: Slot,
    /// Time of the dispatch.
    pub dispatched_at: Instant,
    /// Time from the dispatch to the first event or the head of the answer; `None` before that arrives.
    pub time_to_first_event: Option<Duration>,
    /// Whether the answer states a rate limit of the target.
    pub has_rate_limit: bool,
    /// Whether the answer has neither a length nor chunks.
    pub is_unframed: bool,
    /// Number of the reservation that the target's agent granted for the slot; `None` where the slot was
    /// taken without an agent.
    pub reservation: Option<u32>,
}

/// Slot that was taken for a request and that no dispatch uses yet. It is held for as long as the request is
/// in flight at another target, which sends nothing.
#[derive(Clone, Debug)]
pub struct HeldSlot {
    /// Slot at the target.
    pub slot: Slot,
    /// Number of the reservation that the target's agent granted for the slot; `None` where the slot was taken
    /// without an agent.
    pub reservation: Option<u32>,
}

/// A reservation that is queued at a target's agent.
#[derive(Clone, Debug)]
pub struct QueuedReservation {
    /// Number of the reservation, from 1, unique within its request.
    pub number: u32,
    /// Target whose slot is requested.
    pub target: TargetName,
    /// Incarnation of the target when the reservation was made.
    pub incarnation: Incarnation,
    /// Address on which the agent listens.
    pub agent: SocketAddr,
    /// Whether the reservation states a rate limit of the target to the agent.
    pub is_rate_limited: bool,
}

/// Stage of a request between admission and its end.
#[derive(Clone, Debug)]
pub enum Stage {
    /// The request waits for units of its account's limit.
    WaitingForUnits(UnitRequest),
    /// The request waits for a free slot at any target of its pool.
    WaitingForSlot,
    /// The request is in flight at a target.
    InFlight(InFlight),
    /// The request is in flight at a target that sends nothing, and waits for a slot at another target.
    SeekingOtherTarget(InFlight),
    /// A slot is held at another target; the request is dispatched there once the dispatch to the target that
    /// sends nothing has ended.
    MovingToOtherTarget(InFlight, HeldSlot),
}

/// What the next dispatch of a request takes from the retry budget of its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCharge {
    /// The dispatch takes nothing from the budget.
    Nothing,
    /// The dispatch takes one retry, which hasn't been taken yet; the request waits until one is available.
    NotYetTaken,
    /// The dispatch takes one retry, which has been taken already and is returned if the dispatch doesn't
    /// happen.
    Taken,
}

/// Restriction of a request whose prompt has a suspect part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trial {
    /// The part that is suspected most; it determines the target.
    pub part: PartId,
    /// Whether no other request may run at the target.
    pub is_alone: bool,
}

/// A request that was admitted, and the state of its dispatches.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Request as it arrived.
    pub request: Request,
    /// Name of the request's route, for logs.
    pub route: String,
    /// Client account of the request; `None` where its route is public or no accounts are configured.
    pub account: Option<AccountName>,
    /// Share of the pool that the request uses; `None` where accounts don't share the pool by their work.
    pub share: Option<Share>,
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
    pub promote_at: Instant,
    /// Whether the account's rank already takes precedence.
    pub is_promoted: bool,
    /// Whether the request waits for late service, or waited for it.
    pub is_late: bool,
    /// Time from which on a request that waits for late service looks for a slot again.
    pub next_check_at: Instant,
    /// Arrival time of the request.
    pub arrived: Instant,
    /// Deadline for the end of the answer.
    pub deadline: Instant,
    /// Time at which the request is refused if it still waits for a slot; not later than the deadline for the
    /// end of the answer.
    pub wait_deadline: Instant,
    /// Units that the request takes from its account's limit, once it no longer waits for them; 0 where the
    /// account has no limit.
    pub units: f64,
    /// Whether the request may be dispatched again after a target may have run it.
    pub retry_policy: Repeat,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Maximum number of targets that may run the request.
    pub max_attempts: u32,
    /// Number of dispatches so far.
    pub dispatches: u32,
    /// What the next dispatch takes from the pool's retry budget.
    pub charge: RetryCharge,
    /// Whether any target may have run the request.
    pub may_have_run: bool,
    /// Whether a part of the answer was sent to the caller.
    pub has_begun: bool,
    /// Version that began the answer. Only streams have one: of any other answer the caller receives nothing
    /// before it is complete.
    pub origin: Origin,
    /// Whether this process received an event of the answer, so that it records which version began the stream.
    pub has_first_event: bool,
    /// Key under which the stream's version is recorded.
    pub stream_key: StreamKey,
    /// Agents to which the record of the stream's version was sent.
    pub homes: Vec<Home>,
    /// Whether a target answered with a failure; it is passed to the caller if no other target answers.
    pub has_failed_answer: bool,
    /// Targets that may have run the request; it isn't dispatched to them again.
    pub possibly_ran_at: Vec<TargetName>,
    /// Targets that rejected the request; other targets are preferred.
    pub rejected_by: Vec<TargetName>,
    /// Reservations that are queued at agents; empty unless the request waits for a slot.
    pub reservations: Vec<QueuedReservation>,
    /// Number of reservations made so far; the next one gets the next number.
    pub reservation_count: u32,
    /// Time from which the request may make one more reservation at an agent.
    pub next_reservation_at: Instant,
    /// How the request runs because of a suspect part of its prompt; `None` where it runs as all others.
    pub trial: Option<Trial>,
    /// Whether the request was selected for the ordered version of a rollout; `None` until the request is
    /// first considered for a slot, `Some(false)` again once it is promoted or dispatched.
    pub is_selected_for_rollout: Option<bool>,
    /// Place of the request among returning callers.
    pub standing: Standing,
    /// Copies of the memory of the request's run.
    pub copies: copies::Progress,
    /// Current stage of the request.
    pub stage: Stage,
}

impl InFlight {
    /// Returns whether the answer has been written for [`PROOF_TIME`].
    pub fn has_proof(&self, now: Instant) -> bool {
        let began = self.time_to_first_event.map(|time| self.dispatched_at + time);
        began.is_some_and(|began| now.saturating_duration_since(began) >= PROOF_TIME)
    }
}

impl PendingRequest {
    /// Returns the key by which the request is sorted in its queue.
    ///
    /// The account's rank takes precedence over the tier, so that overload sheds the requests of
    /// low-ranked accounts. It does so only in the last quarter of a request's wait: before that, a
    /// request can let higher tiers of all accounts go first and still be on time.
    pub fn queue_key(&self) -> QueueKey {
        // An interrupted answer is resumed before new answers begin: its caller already has a part of it,
        // which is lost if the rest doesn't follow.
        if self.has_begun {
            let (arrived, ticket) = (self.arrived, self.request.ticket);
            return QueueKey {
                is_late: false,
                ranks: [0; 3],
                is_newcomer: true,
                is_unpromised: false,
                arrived,
                ticket,
            };
        }
        let account = if self.is_promoted { self.account_rank } else { self.lowest_account_rank };
        QueueKey {
            is_late: self.is_late,
            ranks: [account, self.tier, self.account_rank],
            is_newcomer: !self.standing.is_return,
            is_unpromised: self.standing.is_unpromised,
            arrived: self.arrived,
            ticket: self.request.ticket,
        }
    }

    /// Returns what places the request's reservations in the queues of agents besides its rank.
    pub fn order(&self) -> reservation::Order {
        let (is_late, share) = (self.queue_key().is_late, self.reservation_share());
        reservation::Order { is_late, share, ..self.standing.order() }
    }

    /// Returns the due time of a waiting request's timer: its promotion or, once it is promoted, the end of
    /// its wait.
    pub fn next_timer(&self) -> Instant {
        if self.is_promoted { self.wait_deadline } else { self.promote_at }
    }

    /// Returns whether the request may be dispatched again after `ran` targets may have run it.
    pub fn may_retry(&self, ran: usize) -> bool {
        let allowed = match self.retry_policy {
            Repeat::Idempotent => !self.has_begun,
            Repeat::Resumable => self.is_stream,
            Repeat::Never => false,
        };
        allowed && ran < self.max_attempts as usize
    }

    /// Returns whether only another target's answer can help the caller: the request may have run, and no
    /// target answered with a failure that could be passed on instead.
    pub fn needs_other_target(&self) -> bool {
        self.has_begun || (self.may_have_run && !self.has_failed_answer)
    }

    /// Returns the time at which the request is refused if no other target takes it.
    pub fn retry_wait_deadline(&self, now: Instant) -> Instant {
        if self.needs_other_target() {
            self.deadline
        } else {
            self.deadline.min(now + RETRY_WAIT_MAX)
        }
    }

    /// Returns the dispatch that is in flight; `None` while the request is only queued.
    pub fn in_flight(&self) -> Option<&InFlight> {
        match &self.stage {
            Stage::InFlight(in_flight)
            | Stage::SeekingOtherTarget(in_flight)
            | Stage::MovingToOtherTarget(in_flight, _) => Some(in_flight),
            Stage::WaitingForUnits(_) | Stage::WaitingForSlot => None,
        }
    }

    /// Returns the dispatch that is in flight, for changes; `None` while the request is only queued.
    pub fn in_flight_mut(&mut self) -> Option<&mut InFlight> {
        match &mut self.stage {
            Stage::InFlight(in_flight)
            | Stage::SeekingOtherTarget(in_flight)
            | Stage::MovingToOtherTarget(in_flight, _) => Some(in_flight),
            Stage::WaitingForUnits(_) | Stage::WaitingForSlot => None,
        }
    }

    /// Withdraws the request's selection for the ordered version of a rollout, so that the request is
    /// dispatched to a base version. Returns whether it was selected.
    pub fn deselect_from_rollout(&mut self, rollouts: &mut Rollouts) -> bool {
        let was_selected = self.is_selected_for_rollout.replace(false) == Some(true);
        if was_selected {
            rollouts.release_choice(&self.pool, &self.route);
        }
        was_selected
    }

    /// Returns what the request requires of a target, for a request that goes to a base version and may use
    /// all slots. Callers overwrite `lane` and `is_lowest_tier` for other requests, and set `version` for
    /// streams that have begun.
    pub fn demand<'a>(
        &self,
        now: Instant,
        pool: &'a PoolName,
        zone: &'a ZoneName,
        (possibly_ran_at, rejected_by): (&'a [TargetName], &'a [TargetName]),
    ) -> Demand<'a> {
        Demand {
            pool,
            zone,
            spread: self.request.spread,
            prompt_tokens: self.prompt_tokens(),
            expected_output_tokens: self.request.expected_tokens.map_or(0.0, f64::from),
            time_left: self.deadline.saturating_duration_since(now),
            possibly_ran_at,
            rejected_by,
            lane: Lane::Base,
            version: None,
            trial: self.trial,
            excluded_versions: &[],
            is_lowest_tier: false,
        }
    }

    /// Returns the token counts of the request. `max_output` is the number of tokens that the caller expects
    /// or, if it gave no hint, the maximum that it stated. Counts that the caller didn't state are 0.
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
