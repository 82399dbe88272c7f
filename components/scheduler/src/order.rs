//! Orders to a target's engine: desired against actual, under a fencing number and a lease.
//!
//! The fencing number is the offset of this run's join in the membership stream. An engine that
//! checks it refuses the orders of an earlier run. For one that doesn't, an order is given only
//! under a lease: this run was still the newest member at a time less than [`LEASE`] ago. A later
//! run waits that long after it has read its own join back.

use std::time::{Duration, Instant};

use model::{
    id::Offset,
    setup::{Order, Setup},
};

/// Time for which a confirmation that this run is the newest counts.
pub const LEASE: Duration = Duration::from_secs(10);
/// What a later run waits beyond that, for clocks that run at unlike speed.
pub const DRIFT: Duration = Duration::from_millis(500);
/// Time between two readings of the engine's setup.
pub const READ_PERIOD: Duration = Duration::from_secs(5);
/// Wait after a reading or an order that failed.
pub const RETRY: Duration = Duration::from_secs(1);

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The membership stream was read to its end, by a call that began at `asked`.
    Confirmed {
        /// When the call began.
        asked: Instant,
        /// Fencing number of this run, if it is a member.
        fence: Option<Offset>,
    },
    /// The operator wants this of the target; `None` where it is left alone.
    Desired(Option<Setup>),
    /// The engine told its setup, or didn't.
    Read(Option<Setup>),
    /// An order was carried out, refused, lost, or not sent.
    Ended {
        /// Whether the engine said that it was carried out.
        done: bool,
    },
    /// Time has passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Ask the engine for its setup.
    Read,
    /// Give an order to the engine.
    Send {
        /// What to do.
        order: Order,
        /// Under this fencing number.
        fence: Offset,
        /// Not from this time on, checked just before it is written; `None` where the engine
        /// checks the fencing number.
        until: Option<Instant>,
    },
}

/// Everything that orders are decided from.
#[derive(Clone, Debug)]
pub struct State {
    /// Whether the engine refuses old fencing numbers.
    checks_fence: bool,
    member: Member,
    desired: Option<Setup>,
    /// What the engine last told; `None` where it has to be asked.
    actual: Option<Setup>,
    /// Whether an effect is being carried out; there is one at a time.
    busy: bool,
    /// When the engine is asked or ordered next, at the earliest.
    next: Instant,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Member {
    /// It hasn't joined yet.
    Joining,
    /// It joined; it may order from `from` on and before `until`.
    Joined { fence: Offset, from: Instant, until: Instant },
    /// A later run took its place, or it left: it orders nothing any more.
    Gone,
}

/// Gives the state of a run that hasn't joined.
pub fn open(now: Instant, checks_fence: bool) -> State {
    State {
        checks_fence,
        member: Member::Joining,
        desired: None,
        actual: None,
        busy: false,
        next: now,
    }
}

/// Takes one event in and gives what has to be done about it.
pub fn reduce(state: &mut State, now: Instant, event: Event) -> Option<Effect> {
    match event {
        Event::Confirmed { asked, fence } => state.confirm(now, asked, fence),
        Event::Desired(desired) => state.desired = desired,
        Event::Read(actual) => {
            state.busy = false;
            state.next = now + if actual.is_some() { READ_PERIOD } else { RETRY };
            state.actual = actual;
        }
        Event::Ended { done } => {
            state.busy = false;
            // Whatever became of it, the engine's own word decides what comes next.
            state.actual = None;
            state.next = if done { now } else { now + RETRY };
        }
        Event::Tick => {}
    }
    state.act(now)
}

/// When the next `Event::Tick` is due.
pub fn next_wake(state: &State) -> Option<Instant> {
    if state.busy || state.desired.is_none() {
        return None;
    }
    match state.member {
        Member::Joined { from, .. } if !state.checks_fence => Some(from.max(state.next)),
        Member::Joined { .. } => Some(state.next),
        Member::Joining | Member::Gone => None,
    }
}

impl State {
    fn confirm(&mut self, now: Instant, asked: Instant, fence: Option<Offset>) {
        self.member = match (self.member, fence) {
            (Member::Joining, None) => Member::Joining,
            (Member::Joining, Some(fence)) => {
                Member::Joined { fence, from: now + LEASE + DRIFT, until: asked + LEASE }
            }
            (Member::Joined { fence, from, until }, Some(newest)) if newest == fence => {
                Member::Joined { fence, from, until: until.max(asked + LEASE) }
            }
            (Member::Joined { .. } | Member::Gone, _) => Member::Gone,
        }
    }

    fn act(&mut self, now: Instant) -> Option<Effect> {
        let desired = self.desired.as_ref()?;
        let Member::Joined { fence, from, until } = self.member else {
            return None;
        };
        let may_order = self.checks_fence || (from <= now && now < until);
        if self.busy {
            return None;
        }
        let order = match &self.actual {
            Some(actual) if may_order => actual.next(desired),
            _ => None,
        };
        let effect = match order {
            Some(order) => {
                Effect::Send { order, fence, until: (!self.checks_fence).then_some(until) }
            }
            None if self.next <= now => Effect::Read,
            None => return None,
        };
        self.busy = true;
        Some(effect)
    }
}
