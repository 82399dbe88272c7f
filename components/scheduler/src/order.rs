//! Reducer that brings a target's engine from its actual to its desired setup by orders, protected by a
//! fencing number and a lease.
//!
//! A run is one process of the target's agent; only the newest run may send orders. The fencing number is
//! the offset of the run's join record in the membership stream. An engine that checks fencing numbers
//! rejects the orders of earlier runs. For an engine that doesn't, an order is sent only under a lease:
//! this run must have been confirmed as the newest member less than [`LEASE_DURATION`] ago. A later run
//! sends no order until the leases of earlier runs have expired: it waits [`LEASE_DURATION`] plus
//! [`CLOCK_DRIFT_MARGIN`] after it has read its own join record back.

use std::time::{Duration, Instant};

use model::{
    id::Offset,
    setup::{Order, Setup},
};

/// Duration of the lease, counted from the start of the call that confirmed this run as the newest.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time that a later run waits in addition to [`LEASE_DURATION`], because clocks run at different speeds.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// Time between two successful reads of the engine's setup.
pub const SETUP_READ_PERIOD: Duration = Duration::from_secs(5);
/// Delay before the engine's setup is read again after a failed read or order.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Input of the reducer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The membership stream was read to its end, which shows whether this run is the newest member.
    Confirmed {
        /// When the call that read the stream began.
        read_started_at: Instant,
        /// Fencing number of this run; `None` if this run isn't the target's current member.
        fence: Option<Offset>,
    },
    /// The operator's desired setup of the target; `None` if the engine's setup isn't managed.
    DesiredSetupChanged(Option<Setup>),
    /// A read of the engine's setup finished; `None` if the read failed.
    SetupRead(Option<Setup>),
    /// An order was executed, rejected, lost, or not sent.
    OrderEnded {
        /// Whether the engine confirmed that it executed the order.
        is_confirmed: bool,
    },
    /// Time has passed and nothing else has happened; due at the time returned by [`next_wake`].
    Tick,
}

/// Output of the reducer, which the caller carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the engine's setup; the result comes back as [`Event::SetupRead`].
    ReadSetup,
    /// Send an order to the engine; the result comes back as [`Event::OrderEnded`].
    SendOrder {
        /// Change that the engine must make.
        order: Order,
        /// Fencing number of this run, sent with the order.
        fence: Offset,
        /// End of the lease: at or after this time the order must not be sent, which the caller checks
        /// just before writing it. `None` if the engine checks the fencing number.
        lease_until: Option<Instant>,
    },
}

/// State of the reducer.
#[derive(Clone, Debug)]
pub struct State {
    /// Whether the engine rejects fencing numbers below the highest that it has seen.
    checks_fence: bool,
    membership: Membership,
    /// The operator's desired setup; `None` if the engine's setup isn't managed.
    desired: Option<Setup>,
    /// Setup that the engine last reported; `None` if it must be read first, as after each order.
    actual: Option<Setup>,
    /// Whether a read or an order is in flight; there is at most one.
    is_call_in_flight: bool,
    /// Earliest time at which the engine's setup may be read again.
    next_read_at: Instant,
}

/// Membership of this run of the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Membership {
    /// This run hasn't read its own join record yet.
    Joining,
    /// This run has joined. Without a check of the fencing number by the engine it may send orders
    /// from `orders_from` on and before `lease_until`.
    Joined { fence: Offset, orders_from: Instant, lease_until: Instant },
    /// A later run has joined, or this run has left; this run sends no orders any more.
    Gone,
}

/// Returns the initial state of a run that hasn't joined.
pub fn open(now: Instant, checks_fence: bool) -> State {
    State {
        checks_fence,
        membership: Membership::Joining,
        desired: None,
        actual: None,
        is_call_in_flight: false,
        next_read_at: now,
    }
}

/// Applies one event to the state and returns the effect that the caller must carry out, if any.
pub fn reduce(state: &mut State, now: Instant, event: Event) -> Option<Effect> {
    match event {
        Event::Confirmed { read_started_at: asked, fence } => state.confirm(now, asked, fence),
        Event::DesiredSetupChanged(desired) => state.desired = desired,
        Event::SetupRead(actual) => {
            state.is_call_in_flight = false;
            state.next_read_at =
                now + if actual.is_some() { SETUP_READ_PERIOD } else { RETRY_DELAY };
            state.actual = actual;
        }
        Event::OrderEnded { is_confirmed: done } => {
            state.is_call_in_flight = false;
            // Whatever the result of the order, the setup is read again before the next order, since
            // an order without a confirmation may have been executed too.
            state.actual = None;
            state.next_read_at = if done { now } else { now + RETRY_DELAY };
        }
        Event::Tick => {}
    }
    state.next_effect(now)
}

/// Returns when the caller must next send `Event::Tick`; `None` if no tick is needed.
pub fn next_wake(state: &State) -> Option<Instant> {
    if state.is_call_in_flight || state.desired.is_none() {
        return None;
    }
    match state.membership {
        Membership::Joined { orders_from, .. } if !state.checks_fence => {
            Some(orders_from.max(state.next_read_at))
        }
        Membership::Joined { .. } => Some(state.next_read_at),
        Membership::Joining | Membership::Gone => None,
    }
}

impl State {
    fn confirm(&mut self, now: Instant, asked: Instant, fence: Option<Offset>) {
        self.membership = match (self.membership, fence) {
            (Membership::Joining, None) => Membership::Joining,
            (Membership::Joining, Some(fence)) => Membership::Joined {
                fence,
                orders_from: now + LEASE_DURATION + CLOCK_DRIFT_MARGIN,
                lease_until: asked + LEASE_DURATION,
            },
            (Membership::Joined { fence, orders_from, lease_until }, Some(newest))
                if newest == fence =>
            {
                Membership::Joined {
                    fence,
                    orders_from,
                    lease_until: lease_until.max(asked + LEASE_DURATION),
                }
            }
            (Membership::Joined { .. } | Membership::Gone, _) => Membership::Gone,
        }
    }

    fn next_effect(&mut self, now: Instant) -> Option<Effect> {
        let desired = self.desired.as_ref()?;
        let Membership::Joined { fence, orders_from, lease_until } = self.membership else {
            return None;
        };
        let may_order = self.checks_fence || (orders_from <= now && now < lease_until);
        if self.is_call_in_flight {
            return None;
        }
        let order = match &self.actual {
            Some(actual) if may_order => actual.next(desired),
            _ => None,
        };
        let effect = match order {
            Some(order) => Effect::SendOrder {
                order,
                fence,
                lease_until: (!self.checks_fence).then_some(lease_until),
            },
            None if self.next_read_at <= now => Effect::ReadSetup,
            None => return None,
        };
        self.is_call_in_flight = true;
        Some(effect)
    }
}
