//! Targets at which an agent grants slots: a request is sent once its reservation at the agent is granted.

use std::{
    hash::BuildHasher,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{id::ZoneName, reservation::Load};

use crate::direct::{HASHER, event::FittingTargets};

use super::{
    Capacity, Demand, FIXED_COST_TOKENS, MAX_FAST_SLOWDOWN, QueuedReservation, Slot, Target,
    TargetState, Version, compare_costs,
};

/// First backoff from an agent that is unreachable; doubles with each repeat.
const MIN_AGENT_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff from an agent that is unreachable.
const MAX_AGENT_BACKOFF: Duration = Duration::from_secs(4);
/// Time after which an agent's load report counts half: about as long as a request holds its slot.
const AGENT_LOAD_HALF_LIFE: Duration = Duration::from_millis(500);
/// Number of requests that an assigned agent (the agent of another target) admits to a target beyond the
/// target's slots, as a part of the slots. These requests keep the slots busy during the round trip between
/// the end of a request and the next grant.
const ASSIGNED_AGENT_EXTRA_SLOTS_RATIO: f64 = 0.5;
/// Largest random addition to a target's cost, as a part of the cost. Without it all processes would choose
/// the same one of several targets with similar costs.
const COST_JITTER_RATIO: f64 = 0.25;
/// Factor on the cost of a target in another availability zone when a further reservation is placed, since
/// traffic between zones is billed.
const REMOTE_ZONE_COST_FACTOR: f64 = 3.0;

impl TargetState {
    /// Returns the expected time, in ms, to the first event of a request that is reserved at the target's
    /// agent. It is scaled up by the load that the agent reported and by a random part that differs by
    /// request.
    fn expected_first_event_ms(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        default_ms_per_token: f64,
    ) -> f64 {
        let reported = self.last_load.map_or(0.0, |(at, load)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            f64::from(load.running + load.waiting)
                * 0.5_f64.powf(age / AGENT_LOAD_HALF_LIFE.as_secs_f64())
        });
        let utilization =
            reported.max(f64::from(self.own_requests)) / f64::from(self.target.slots.max(1));
        let cost = self.cost(demand.prompt_tokens, demand.zone, default_ms_per_token)
            * (1.0 + utilization);
        cost * (1.0 + COST_JITTER_RATIO * self.hash_fraction(demand)) + self.limit_wait_ms(now)
    }

    /// Returns the number of requests that the target's agent admits at a time.
    pub fn admission_slots(&self) -> u32 {
        let slots = self.target.slots;
        let is_assigned = self.agent != self.target.agent_address;
        let extra_slots =
            if is_assigned { f64::from(slots) * ASSIGNED_AGENT_EXTRA_SLOTS_RATIO } else { 0.0 };
        slots + extra_slots.ceil() as u32
    }

    /// Returns a pseudo-random number between 0 and 1, both excluded, determined by the request and the
    /// target.
    fn hash_fraction(&self, demand: &Demand<'_>) -> f64 {
        let hash = HASHER.hash_one((demand.spread, &self.target.name));
        ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
    }

    /// Returns an exponentially distributed number with a mean proportional to the target's cost. The target
    /// with the lowest number is chosen, so that cheaper targets are more likely. The number is determined by
    /// the request and the target, so that a request finds the same targets again.
    fn weighted_draw(&self, now: Instant, demand: &Demand<'_>, default_ms_per_token: f64) -> f64 {
        let zone_factor =
            if self.target.zone == *demand.zone { 1.0 } else { REMOTE_ZONE_COST_FACTOR };
        let cost = self.cost(demand.prompt_tokens, demand.zone, default_ms_per_token)
            + self.limit_wait_ms(now);
        -self.hash_fraction(demand).ln() * zone_factor * cost
    }
}

/// Returns the agent that admits requests to a target without an own agent, chosen by rendezvous hashing: all
/// processes that know the same targets choose the same agent, and few choices change when targets join or
/// leave. Agents in the target's availability zone are preferred.
fn assigned_agent(target: &Target, agents: &[(&ZoneName, SocketAddr)]) -> Option<SocketAddr> {
    let weight = |agent: &SocketAddr| HASHER.hash_one((&target.name, agent));
    let same_zone =
        agents.iter().filter(|(zone, _)| **zone == target.zone).map(|(_, agent)| *agent);
    let all = agents.iter().map(|(_, agent)| *agent);
    same_zone.max_by_key(weight).or_else(|| all.max_by_key(weight))
}

impl Capacity {
    /// Sets the number of other entry processes that may share the targets. It includes all discovered
    /// processes, also those from which no row has been received yet or lately.
    pub fn set_other_processes(&mut self, others: usize) {
        if std::mem::replace(&mut self.other_processes, others) != others {
            self.assign_agents();
        }
    }

    /// Chooses an agent for each target at which an entry process's part is at most one slot: with so many
    /// processes, rows are older than the time for which a slot is held. The agent of another target is used
    /// only if the part is less than one slot. A process that has discovered no other process yet uses every
    /// target's own agent, since other processes may exist.
    pub(super) fn assign_agents(&mut self) {
        let ready = self.states.iter().map(|state| &state.target).filter(|target| target.is_ready);
        let agents: Vec<_> =
            ready.filter_map(|target| Some((&target.zone, target.agent_address?))).collect();
        let agent = |target: &Target| {
            let (slots, entries) = (target.slots as usize, self.other_processes + 1);
            let own_agent = target.agent_address.filter(|_| entries == 1 || slots <= entries);
            own_agent
                .or_else(|| (slots < entries).then(|| assigned_agent(target, &agents)).flatten())
        };
        let chosen: Vec<_> = self.states.iter().map(|state| agent(&state.target)).collect();
        for (state, agent) in self.states.iter_mut().zip(chosen) {
            if state.agent != agent {
                state.agent_backoff_until = None;
            }
            state.agent = agent;
        }
    }

    /// Returns the agents beside the ready targets of a pool.
    pub fn agents_beside(&self, pool: &str) -> Vec<SocketAddr> {
        let ready =
            self.pool_targets(pool).filter(|state| state.is_listed && state.target.is_ready);
        ready.filter_map(|state| state.target.agent_address).collect()
    }

    /// Returns the number of reservations that wait at the targets of a pool, extrapolated from the targets whose
    /// agents reported it within `max_age`, and the age of the oldest of these reports. `None` without a report.
    pub fn reported_waiting(
        &self,
        now: Instant,
        pool: &str,
        max_age: Duration,
    ) -> Option<(f64, Duration)> {
        let available = self.pool_targets(pool).filter(|state| state.is_available(now));
        let (mut targets, mut reports, mut waiting, mut oldest) = (0.0, 0.0, 0.0, Duration::ZERO);
        for state in available {
            targets += 1.0;
            let Some((at, load)) = state.last_load else {
                continue;
            };
            let age = now.saturating_duration_since(at);
            if age <= max_age {
                reports += 1.0;
                waiting += f64::from(load.waiting);
                oldest = oldest.max(age);
            }
        }
        (reports > 0.0).then(|| (waiting * targets / reports, oldest))
    }

    /// Chooses a target with an agent at which the request has no reservation yet; `None` if there is none.
    /// The first choice is the target with the lowest expected time to the first event. Further choices are
    /// random and weighted by cost, since this process has little information on targets that many processes
    /// share.
    pub fn choose_target(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        reserved: &[QueuedReservation],
    ) -> Option<&TargetState> {
        let default_ms_per_token = self.mean_first_event_ms_per_token(demand.pool);
        let candidates = self.pool_targets(demand.pool);
        let candidates =
            candidates.filter(|state| state.accepts(now, demand) && state.uses_agent(now));
        let fastest = self.fastest_ms_per_token(now, demand);
        let candidates = candidates.filter(|state| state.finishes_in_time(demand, fastest));
        let unreserved = candidates.filter(|state| {
            let name = &state.target.name;
            !demand.possibly_ran_at.contains(name)
                && reserved.iter().all(|known| known.target != *name)
        });
        if let Some(trial) = demand.trial {
            let is_placed = trial.is_alone && !reserved.is_empty();
            let mut unreserved = unreserved.filter(|_| !is_placed);
            return unreserved.by_ref().max_by_key(|state| demand.trial_rank(state));
        }
        let costs = unreserved.map(|state| {
            let cost = if reserved.is_empty() {
                state.expected_first_event_ms(now, demand, default_ms_per_token)
            } else {
                state.weighted_draw(now, demand, default_ms_per_token)
            };
            ((demand.was_rejected_by(state), cost), state)
        });
        let (_, state) = costs.min_by(|(a, _), (b, _)| compare_costs(*a, *b))?;
        Some(state)
    }

    /// Returns the expected times from a request's dispatch to its first event and, at one of the fast targets, to the
    /// end of its answer. The latter lacks the time for tokens where no speed is known.
    pub fn expected_run_time(&self, now: Instant, demand: &Demand<'_>) -> (Duration, Duration) {
        let fastest = self.fastest_ms_per_token(now, demand);
        let ms_per_token = if fastest.is_finite() { fastest * MAX_FAST_SLOWDOWN } else { 0.0 };
        let prefill_tokens = demand.prompt_tokens + FIXED_COST_TOKENS;
        let first_ms = self.mean_first_event_ms_per_token(demand.pool) * prefill_tokens;
        let run_ms = first_ms + ms_per_token * demand.expected_output_tokens;
        (Duration::from_secs_f64(first_ms / 1_000.0), Duration::from_secs_f64(run_ms / 1_000.0))
    }

    /// Counts the targets that accept a request, and those at which its answer is expected to end before the
    /// deadline.
    pub fn count_fitting(&self, now: Instant, demand: &Demand<'_>) -> FittingTargets {
        let fastest = self.fastest_ms_per_token(now, demand);
        let candidates = self.pool_targets(demand.pool);
        let candidates = candidates.filter(|state| state.accepts(now, demand));
        let none = FittingTargets {
            fastest_token_ms: Some(fastest).filter(|ms_per_token| ms_per_token.is_finite()),
            ..FittingTargets::default()
        };
        candidates.fold(none, |fits, state| FittingTargets {
            available: fits.available + 1,
            fitting: fits.fitting + u32::from(state.finishes_in_time(demand, fastest)),
            fast: fits.fast + u32::from(state.is_fast(fastest)),
            ..fits
        })
    }

    /// Reports whether a reservation may stay: its target and agent are usable, neither has changed, and the
    /// reservation states correctly whether the target is rate-limited. If `version` began the request's
    /// stream, the target must be one that may continue it.
    pub fn is_reservation_valid(
        &self,
        now: Instant,
        reserved: &QueuedReservation,
        version: Option<&Version>,
    ) -> bool {
        let state = self.state(&reserved.target);
        let state = state.filter(|state| state.target.incarnation == reserved.incarnation);
        state.is_some_and(|state| {
            let is_usable = state.accepts_stream(now, version) && state.uses_agent(now);
            // A new reservation informs an agent of a limit that has been set or lifted since.
            is_usable
                && state.agent == Some(reserved.agent)
                && state.is_limited() == reserved.is_rate_limited
        })
    }

    /// Takes the slot that a target's agent granted. Returns `None` if the target accepts no more requests,
    /// or the load report that came with the grant shows that it is too slow for this request.
    pub fn take_granted_slot(
        &mut self,
        now: Instant,
        reserved: &QueuedReservation,
        demand: &Demand<'_>,
    ) -> Option<Slot> {
        let (default_ms_per_token, fastest) = (
            self.mean_first_event_ms_per_token(demand.pool),
            self.fastest_ms_per_token(now, demand),
        );
        let state = self.state_mut(&reserved.target, reserved.incarnation)?;
        let fits = state.accepts_stream(now, demand.version)
            && demand.allows_version(&state.target.version)
            && state.finishes_in_time(demand, fastest);
        fits.then(|| state.occupy(demand.prompt_tokens, default_ms_per_token))
    }

    /// Records the load that an agent reported with the grant of a reservation.
    pub fn record_agent_load(&mut self, now: Instant, reserved: &QueuedReservation, load: Load) {
        if let Some(state) = self.state_mut(&reserved.target, reserved.incarnation) {
            // The reported load includes the request that was just granted, hence the 1.
            state.other_requests = load.running.saturating_sub(state.own_requests + 1);
            state.last_load = Some((now, load));
            state.ms_per_token = load.step.map(|step| step.as_secs_f64() * 1_000.0);
            state.agent_backoff = Duration::ZERO;
            state.expect_next_grant(now, load.waiting);
        }
    }

    /// Starts or doubles the backoff from an agent that is unreachable. Meanwhile entry processes share the
    /// target by the rows that they exchange.
    pub fn mark_agent_unreachable(&mut self, now: Instant, reserved: &QueuedReservation) {
        let state = self.state_mut(&reserved.target, reserved.incarnation);
        let uses_same_agent = |state: &&mut TargetState| state.agent == Some(reserved.agent);
        if let Some(state) = state.filter(uses_same_agent).filter(|state| state.uses_agent(now)) {
            if state.agent_backoff.is_zero() {
                state.reset_pacer(now);
            }
            state.agent_backoff =
                (state.agent_backoff * 2).clamp(MIN_AGENT_BACKOFF, MAX_AGENT_BACKOFF);
            state.agent_backoff_until = Some(now + state.agent_backoff);
            state.other_requests = 0;
        }
    }

    /// Starts or doubles the backoff from a target that its agent can't reach.
    pub fn mark_unreachable_by_agent(&mut self, now: Instant, reserved: &QueuedReservation) {
        let state = self.state_mut(&reserved.target, reserved.incarnation);
        let is_reported_by_agent = state.is_some_and(|state| {
            state.is_usable(now) && state.uses_agent(now) && state.agent == Some(reserved.agent)
        });
        if is_reported_by_agent {
            self.back_off_unreachable(now, &reserved.target, reserved.incarnation);
        }
    }
}
