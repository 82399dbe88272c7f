//! A request that hasn't ended.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::id::{AccountName, PoolName, TargetName, ZoneName};

use super::{
    allowance::Claim,
    capacity::{Demand, Slot},
    event::{Incarnation, Request, Ticket, Tokens},
    plan::Repeat,
    rollout::{Lane, Rollouts},
};

/// Order in which requests of a pool are dispatched.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// What goes first; see [`Pending::order`].
    pub rank: [u32; 3],
    /// When it arrived.
    pub arrived: Instant,
    /// Its number.
    pub ticket: Ticket,
}

/// A dispatch that hasn't ended.
#[derive(Clone, Debug)]
pub struct Running {
    /// Its slot.
    pub slot: Slot,
    /// When it was dispatched.
    pub since: Instant,
    /// Time to its first event, once that came.
    pub first: Option<Duration>,
    /// Whether its answer names a rate limit of the target.
    pub limited: bool,
    /// The reservation that its slot was granted to, where the target has an agent.
    pub reservation: Option<u32>,
}

/// Room at another target, for a request whose own is silent.
#[derive(Clone, Debug)]
pub struct Held {
    /// The slot.
    pub slot: Slot,
    /// The reservation that it was granted to, where that target has an agent.
    pub reservation: Option<u32>,
}

/// A place at a target's agent.
#[derive(Clone, Debug)]
pub struct Reserved {
    /// Which of the request's reservations.
    pub number: u32,
    /// The target.
    pub target: TargetName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where the agent listens.
    pub agent: SocketAddr,
    /// Whether the agent was told that the target names a rate limit.
    pub limited: bool,
}

/// Where a request is.
#[derive(Clone, Debug)]
pub enum Stage {
    /// It waits for units of its account's limit.
    Limited(Claim),
    /// It waits for room.
    Waiting,
    /// A target has it.
    Running(Running),
    /// A target has it that is silent, and it waits for room at another.
    Seeking(Running),
    /// Another has room, and gets it once the dispatch to the silent one has ended.
    Moving(Running, Held),
}

/// What the next dispatch of a request takes of the budget for repeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// Nothing.
    Free,
    /// A repeat, which has yet to be taken.
    Due,
    /// A repeat that was taken.
    Paid,
}

/// A request and what was decided about it.
#[derive(Clone, Debug)]
pub struct Pending {
    /// As it arrived.
    pub request: Request,
    /// Its route, for logs.
    pub route: String,
    /// Whose it is.
    pub account: Option<AccountName>,
    /// Where it goes.
    pub pool: PoolName,
    /// Rank of its account, and the lowest that any account has.
    pub account_rank: u32,
    /// The lowest rank of all accounts.
    pub lowest_account: u32,
    /// Rank of its route.
    pub tier: u32,
    /// When its account's rank begins to count; at most `give_up`.
    pub promote: Instant,
    /// Whether it counts.
    pub promoted: bool,
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is over.
    pub until: Instant,
    /// When it is refused if it still waits; at most `until`.
    pub give_up: Instant,
    /// What it takes of its account's limit, once it doesn't wait for that any more.
    pub units: f64,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether its answer is a stream.
    pub stream: bool,
    /// Most targets that may run it.
    pub attempts: u32,
    /// Dispatches so far.
    pub dispatches: u32,
    /// What its next dispatch takes of the budget for repeats.
    pub charge: Charge,
    /// Whether it may have run.
    pub ran: bool,
    /// Whether a part of the answer went to the caller.
    pub begun: bool,
    /// Whether a target answered with a failure, which the caller gets if no other answers.
    pub failed: bool,
    /// Targets that may have run it.
    pub tried: Vec<TargetName>,
    /// Targets that rejected it: it goes to another first.
    pub rejected: Vec<TargetName>,
    /// Its places at agents; none unless it waits.
    pub reserved: Vec<Reserved>,
    /// Reservations so far.
    pub reservations: u32,
    /// When it is reserved at one more agent.
    pub next_reservation: Instant,
    /// Whether it goes to a version that is on trial; `None` before it began to wait for room.
    pub chosen: Option<bool>,
    /// Where it is.
    pub stage: Stage,
}

impl Pending {
    /// Its place among those that wait.
    ///
    /// An account's rank goes before the route's: whoever is shed is shed by it. But a request that
    /// can still wait lets those of higher tiers of any account go first, and is on time all the same:
    /// its account's rank counts in the last quarter of its wait.
    pub fn order(&self) -> Order {
        // An answer that has begun goes on before anything else begins: half of it is lost otherwise.
        if self.begun {
            return Order { rank: [0; 3], arrived: self.arrived, ticket: self.request.ticket };
        }
        let account = if self.promoted { self.account_rank } else { self.lowest_account };
        let rank = [account, self.tier, self.account_rank];
        Order { rank, arrived: self.arrived, ticket: self.request.ticket }
    }

    /// When something has to be decided about it, if it still waits then.
    pub fn wake(&self) -> Instant {
        if self.promoted { self.give_up } else { self.promote }
    }

    /// Whether it may be dispatched again after it may have run at so many targets.
    pub fn may_repeat(&self, ran: usize) -> bool {
        let allowed = match self.repeat {
            Repeat::Safe => !self.begun,
            Repeat::Resume => self.stream,
            Repeat::Never => false,
        };
        allowed && ran < self.attempts as usize
    }

    /// Its dispatch that hasn't ended.
    pub fn running(&self) -> Option<&Running> {
        match &self.stage {
            Stage::Running(running) | Stage::Seeking(running) | Stage::Moving(running, _) => {
                Some(running)
            }
            Stage::Limited(_) | Stage::Waiting => None,
        }
    }

    /// Its dispatch that hasn't ended.
    pub fn running_mut(&mut self) -> Option<&mut Running> {
        match &mut self.stage {
            Stage::Running(running) | Stage::Seeking(running) | Stage::Moving(running, _) => {
                Some(running)
            }
            Stage::Limited(_) | Stage::Waiting => None,
        }
    }

    /// Sends it to the version in use from now on; whether it was chosen for the one on trial.
    pub fn unchoose(&mut self, rollouts: &mut Rollouts) -> bool {
        let chosen = self.chosen.replace(false) == Some(true);
        if chosen {
            rollouts.release(&self.pool, &self.route);
        }
        chosen
    }

    /// What it asks of a target.
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
            draw: self.request.draw,
            tokens: self.prompt(),
            output: self.request.expected.map_or(0.0, f64::from),
            left: self.until.saturating_duration_since(now),
            tried,
            rejected,
            lane: Lane::Base,
            lowest: false,
        }
    }

    /// Its tokens, those of the answer as its caller expects them.
    pub fn tokens(&self) -> Tokens {
        let tokens = self.request.tokens.unwrap_or_default();
        let output = self.request.expected.unwrap_or(tokens.output);
        Tokens { output, ..tokens }
    }

    /// Tokens of its prompt; 0 where it has none.
    pub fn prompt(&self) -> f64 {
        self.request.tokens.map_or(0.0, |tokens| f64::from(tokens.prompt))
    }
}
