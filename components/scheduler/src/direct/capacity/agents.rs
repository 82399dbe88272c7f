//! Targets that are reached by way of their agents.

use std::{
    hash::BuildHasher,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{id::ZoneName, reservation::Load};

use crate::direct::{HASHER, event::Fits};

use super::{Capacity, Demand, Reserved, Slot, Target, TargetState, cheaper};

/// Time for which an agent that isn't reached is left alone; doubles with each repeat.
const AWAY_MIN: Duration = Duration::from_millis(250);
/// Longest time for which it is left alone.
const AWAY_MAX: Duration = Duration::from_secs(4);
/// Time after which half of what an agent said still counts: about as long as a slot is held.
const TOLD_HALF: Duration = Duration::from_millis(500);
/// Requests, as a part of its slots, that a target may have beyond them where no agent stands beside it:
/// they keep its slots busy while the news of an end and a grant are on their way.
const ASSIGNED_EXTRA: f64 = 0.5;
/// Part of the time to a first event by which targets may differ and count as alike: else all processes
/// would choose the same one.
const ALIKE: f64 = 0.25;
/// How much a target in another availability zone seems slower, where an agent is chosen: what is
/// relayed between zones is billed.
const FAR_COST: f64 = 3.0;

impl TargetState {
    /// Time to the first event of a request that is reserved at its agent, in ms, as far as is known.
    fn expected(&self, now: Instant, demand: &Demand<'_>, usual: f64) -> f64 {
        let told = self.told.map_or(0.0, |(at, load)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            f64::from(load.running + load.waiting) * 0.5_f64.powf(age / TOLD_HALF.as_secs_f64())
        });
        let busy = told.max(f64::from(self.own)) / f64::from(self.target.slots.max(1));
        let cost = self.cost(demand.tokens, demand.zone, usual) * (1.0 + busy);
        cost * (1.0 + ALIKE * self.chance(demand)) + self.limit_wait(now)
    }

    /// Requests that its agent admits to it at once.
    pub fn admits(&self) -> u32 {
        let slots = self.target.slots;
        let is_assigned = self.agent != self.target.agent;
        let extra = if is_assigned { f64::from(slots) * ASSIGNED_EXTRA } else { 0.0 };
        slots + extra.ceil() as u32
    }

    /// A number between 0 and 1, not included, that differs by request and target only.
    fn chance(&self, demand: &Demand<'_>) -> f64 {
        let hash = HASHER.hash_one((demand.draw, &self.target.name));
        ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
    }

    /// Draws a target with a likelihood that falls with its cost: the lowest draw wins. All draws of a
    /// request differ by target only, so that it finds the same targets again.
    fn draw(&self, now: Instant, demand: &Demand<'_>, usual: f64) -> f64 {
        let far = if self.target.zone == *demand.zone { 1.0 } else { FAR_COST };
        let cost = self.cost(demand.tokens, demand.zone, usual) + self.limit_wait(now);
        -self.chance(demand).ln() * far * cost
    }
}

/// The agent that admits requests to a target which has none beside it: the same for all processes that
/// know the same targets, in the target's availability zone where there is any, and seldom another one
/// where targets come and go.
fn assigned(target: &Target, agents: &[(&ZoneName, SocketAddr)]) -> Option<SocketAddr> {
    let weight = |agent: &SocketAddr| HASHER.hash_one((&target.name, agent));
    let near = agents.iter().filter(|(zone, _)| **zone == target.zone).map(|(_, agent)| *agent);
    let all = agents.iter().map(|(_, agent)| *agent);
    near.max_by_key(weight).or_else(|| all.max_by_key(weight))
}

impl Capacity {
    /// Learns how many other entry processes may share the targets: all that are known of, since some of
    /// them may not be heard yet, or just now.
    pub fn share(&mut self, others: usize) {
        if std::mem::replace(&mut self.others, others) != others {
            self.assign_agents();
        }
    }

    /// Chooses an agent for each target of which an entry process's part is a slot or less: what rows tell
    /// is then older than the time for which a slot is held. The agent of another target is asked only where
    /// it is less than one. A process that knows of no others may not have heard of them yet, and asks
    /// the agents that there are.
    pub(super) fn assign_agents(&mut self) {
        let ready = self.states.iter().map(|state| &state.target).filter(|target| target.ready);
        let agents: Vec<_> =
            ready.filter_map(|target| Some((&target.zone, target.agent?))).collect();
        let agent = |target: &Target| {
            let (slots, entries) = (target.slots as usize, self.others + 1);
            let beside = target.agent.filter(|_| entries == 1 || slots <= entries);
            beside.or_else(|| (slots < entries).then(|| assigned(target, &agents)).flatten())
        };
        let chosen: Vec<_> = self.states.iter().map(|state| agent(&state.target)).collect();
        for (state, agent) in self.states.iter_mut().zip(chosen) {
            if state.agent != agent {
                state.away_until = None;
            }
            state.agent = agent;
        }
    }

    /// A target with an agent that a request isn't reserved at yet: first the one that should answer
    /// it first by what is known here, then any others, since that is little where many processes
    /// share the targets.
    pub fn choose(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        reserved: &[Reserved],
    ) -> Option<&TargetState> {
        let usual = self.usual(demand.pool);
        let open = self.pool(demand.pool);
        let open = open.filter(|state| {
            state.lane == demand.lane && state.is_up(now) && state.is_reserved(now)
        });
        let fastest = self.fastest(now, demand);
        let open = open.filter(|state| state.ends_in_time(demand, fastest));
        let fresh = open.filter(|state| {
            let name = &state.target.name;
            !demand.tried.contains(name) && reserved.iter().all(|known| known.target != *name)
        });
        let costs = fresh.map(|state| {
            let cost = if reserved.is_empty() {
                state.expected(now, demand, usual)
            } else {
                state.draw(now, demand, usual)
            };
            ((demand.is_rejected(state), cost), state)
        });
        let (_, state) = costs.min_by(|(a, _), (b, _)| cheaper(*a, *b))?;
        Some(state)
    }

    /// How many targets a request's length leaves it.
    pub fn fits(&self, now: Instant, demand: &Demand<'_>) -> Fits {
        let fastest = self.fastest(now, demand);
        let open = self.pool(demand.pool);
        let open = open.filter(|state| state.lane == demand.lane && state.is_up(now));
        let none =
            Fits { fastest: Some(fastest).filter(|pace| pace.is_finite()), ..Fits::default() };
        open.fold(none, |fits, state| Fits {
            up: fits.up + 1,
            fitting: fits.fitting + u32::from(state.ends_in_time(demand, fastest)),
            fast: fits.fast + u32::from(state.is_fast(fastest)),
            ..fits
        })
    }

    /// Whether a request may still wait at a target's agent.
    pub fn keeps(&self, now: Instant, reserved: &Reserved) -> bool {
        let state = self.state(&reserved.target);
        let state = state.filter(|state| state.target.incarnation == reserved.incarnation);
        state.is_some_and(|state| {
            let open = state.is_up(now) && state.is_reserved(now);
            // An agent that doesn't know of the limit is told by a new reservation.
            open && state.agent == Some(reserved.agent) && state.is_limited() == reserved.limited
        })
    }

    /// Takes the slot that a target's agent granted; `None` where the target takes no more requests, or
    /// its agent said just now that it is too slow for this one.
    pub fn occupy(
        &mut self,
        now: Instant,
        reserved: &Reserved,
        demand: &Demand<'_>,
    ) -> Option<Slot> {
        let (usual, fastest) = (self.usual(demand.pool), self.fastest(now, demand));
        let state = self.current(&reserved.target, reserved.incarnation)?;
        let fits = state.is_up(now) && state.ends_in_time(demand, fastest);
        fits.then(|| state.occupy(demand.tokens, usual))
    }

    /// Learns what an agent says of its target.
    pub fn hear_load(&mut self, now: Instant, reserved: &Reserved, load: Load) {
        if let Some(state) = self.current(&reserved.target, reserved.incarnation) {
            // What was just granted is counted there already.
            state.others = load.running.saturating_sub(state.own + 1);
            state.told = Some((now, load));
            state.pace = load.step.map(|step| step.as_secs_f64() * 1_000.0);
            state.away_for = Duration::ZERO;
            state.expect_grant(now, load.waiting);
        }
    }

    /// Leaves an agent that isn't reached alone: its target is used by what other processes tell.
    pub fn mark_away(&mut self, now: Instant, reserved: &Reserved) {
        let state = self.current(&reserved.target, reserved.incarnation);
        let asked = |state: &&mut TargetState| state.agent == Some(reserved.agent);
        if let Some(state) = state.filter(asked).filter(|state| state.is_reserved(now)) {
            if state.away_for.is_zero() {
                state.reset_pacer(now);
            }
            state.away_for = (state.away_for * 2).clamp(AWAY_MIN, AWAY_MAX);
            state.away_until = Some(now + state.away_for);
            state.others = 0;
        }
    }

    /// Leaves a target alone that its agent finds to take no requests.
    pub fn mark_denied(&mut self, now: Instant, reserved: &Reserved) {
        if self.keeps(now, reserved) {
            self.mark_down(now, &reserved.target, reserved.incarnation);
        }
    }
}
