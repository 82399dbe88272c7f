//! Capacity of the targets: their slots, the requests that run at each, and the choice of a target.
//!
//! A target that has no more slots than there are entry processes is reached by a reservation at its own
//! agent. A target that has no agent and fewer slots than there are entry processes is reached by a
//! reservation at the agent of another target; all entry processes choose the same one. For all other
//! targets, and while the agent is unreachable, entry processes share the slots without a round trip: each
//! may always use its guaranteed part of the slots, and may use slots that are free according to the last
//! rows (state reports) of the other entry processes.

mod agents;
mod demand;
mod holders;
mod limits;
mod notices;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    id::{PoolName, TargetName},
    reservation::Load,
};

use crate::rate::{Pacer, RateLimitReport};

use demand::compare_costs;
pub use demand::{AdmissionModes, Demand, Slot};
pub use holders::{HolderDemand, HolderState};
use notices::KeptNotice;
pub use notices::Notice;

use super::{
    event::{Incarnation, Target},
    parts::{self, VersionId},
    peers::TargetLoad,
    pending::{QueuedReservation, Trial},
    rollout::{Lane, Version},
};

/// Weight of the newest observation in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.2;
/// First backoff from a target that accepts no connection or is unresponsive; doubles with each repeat.
const MIN_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff from a target that accepts no connection or is unresponsive.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a target that rejected a request gets no other request.
const REJECTION_BACKOFF: Duration = Duration::from_millis(60);
/// Time for which a target gets no requests after another one answered at its address: the list needs less to
/// remove it.
const REPLACED_BACKOFF: Duration = Duration::from_secs(10);
/// Added cost of a target that fails every request, as a multiple of the cost of one that never fails.
const FAILURE_COST_FACTOR: f64 = 8.0;
/// Cost that every request has in addition to reading its prompt, in prompt tokens.
const FIXED_COST_TOKENS: f64 = 600.0;
/// Slots of each target that the lowest tier may not use if its requests hold slots longer than those of
/// all other tiers. Otherwise its long streams would occupy every slot while short requests of higher tiers
/// wait. A lowest tier with short answers frees its slots soon enough and may use all of them.
const SLOTS_WITHHELD_FROM_LOWEST_TIER: u32 = 1;
/// Longest expected time, in ms, to read the pending prompts of a target that may get another request.
const MAX_PREFILL_BACKLOG_MS: f64 = 150.0;
/// Factor on the expected length of an answer when its end is checked against the deadline: one answer of
/// six is longer than that.
const ANSWER_LENGTH_MARGIN: f64 = 1.6;
/// Largest ratio between the time per token of a target that counts as fast and that of the fastest targets.
/// Fast targets accept answers that may miss their deadline, since no other target would do better.
const MAX_FAST_SLOWDOWN: f64 = 1.2;
/// Quantile of the targets' per-token times, from 0 to 1, that counts as the fastest.
const FASTEST_QUANTILE: f64 = 0.1;
/// Time to the first event, in ms per prompt token, assumed until one was observed in the pool.
const DEFAULT_FIRST_EVENT_MS_PER_TOKEN: f64 = 0.05;

/// A target with the load, speed and availability that this process has observed or received.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The target's entry in the platform's list.
    pub target: Target,
    /// Address of the agent that admits requests to the target; `None` if entry processes share its slots by
    /// the rows that they exchange.
    pub agent: Option<SocketAddr>,
    /// Requests of this process that hold a slot at the target.
    pub own_requests: u32,
    /// Requests of other processes at the target, by their last rows or the agent's last load report.
    pub other_requests: u32,
    /// Prompt tokens of this process's requests at the target whose answers haven't begun.
    own_prefill_tokens: f64,
    /// Prompt tokens of other processes' requests whose answers haven't begun, by their last rows.
    others_prefill_tokens: f64,
    /// Whether a request of this process runs alone at the target.
    is_exclusive: bool,
    /// Whether the platform still lists the target.
    pub is_listed: bool,
    /// Which requests the target accepts: those for the base version, for the ordered version, or none.
    lane: Lane,
    /// End of the backoff from the target; `None` before the first one.
    backoff_until: Option<Instant>,
    /// Length of the last backoff from an unreachable or unresponsive target; zero once it begins an answer.
    unreachable_backoff: Duration,
    /// End of the backoff from the target's agent; `None` before the first one.
    agent_backoff_until: Option<Instant>,
    /// Length of the last backoff from the agent; zero once the agent granted a reservation.
    agent_backoff: Duration,
    /// The last load report of the agent and when it was received.
    last_load: Option<(Instant, Load)>,
    /// Moving average of the time to the first event, in ms per prompt token; `None` before the first.
    first_event_ms_per_token: Option<f64>,
    /// Time per token of an answer, in ms, as the target's agent reports it; `None` if unknown.
    ms_per_token: Option<f64>,
    /// Moving average of the part of requests, from 0 to 1, that failed or were lost.
    failure_rate: f64,
    /// The target's rate limit, as last learnt; `None` if the target never stated one.
    limit: Option<RateLimitReport>,
    /// Spaces requests that are sent without an agent's grant; `Some` only while `limit` has an interval.
    pacer: Option<Pacer>,
    /// Estimate of when the agent admits the next request; used only while the target is rate-limited.
    expected_grant: Option<Instant>,
    /// What the target stated in its answers.
    notice: Notice,
}

/// This process's index among the entry processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessIndex {
    /// Index of this process, from 0.
    pub index: u32,
    /// Number of entry processes; at least 1.
    pub count: u32,
}

/// The state of all targets.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Targets, sorted by name.
    states: Vec<TargetState>,
    /// Index of each target in `states`.
    indexes: HashMap<TargetName, usize>,
    /// Indexes in `states` of the targets of each pool.
    pools: HashMap<PoolName, Vec<usize>>,
    /// Number of other entry processes that may share the targets.
    other_processes: usize,
    /// Latest time until which any target asked for a rest; `None` before the first time.
    last_rest_end: Option<Instant>,
    /// Notices of targets that are no longer in use.
    kept_notices: BTreeMap<TargetName, KeptNotice>,
}

impl TargetState {
    fn new(target: Target) -> TargetState {
        TargetState {
            agent: target.agent_address,
            target,
            own_requests: 0,
            other_requests: 0,
            own_prefill_tokens: 0.0,
            others_prefill_tokens: 0.0,
            is_exclusive: false,
            is_listed: true,
            lane: Lane::Base,
            backoff_until: None,
            unreachable_backoff: Duration::ZERO,
            agent_backoff_until: None,
            agent_backoff: Duration::ZERO,
            last_load: None,
            first_event_ms_per_token: None,
            ms_per_token: None,
            failure_rate: 0.0,
            limit: None,
            pacer: None,
            expected_grant: None,
            notice: Notice::default(),
        }
    }

    /// Returns the number of slots that this process may use regardless of the load of the other processes.
    /// If the slots can't be divided evenly, some processes get one more; which ones differs by target.
    fn guaranteed_slots(&self, process: ProcessIndex) -> u32 {
        let slots = self.target.slots;
        slots / process.count + u32::from(self.rotated_index(process) < slots % process.count)
    }

    /// Returns the index of a process among those that share the target, rotated by a number that differs by
    /// target.
    fn rotated_index(&self, process: ProcessIndex) -> u32 {
        let rotation = self
            .target
            .name
            .bytes()
            .fold(0_u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
        (process.index + rotation % process.count) % process.count
    }

    /// Reports whether a request may take a slot: one that no process uses, or one that is guaranteed to this
    /// process. A request of the lowest tier must leave the withheld slots free.
    fn has_free_slot(&self, process: ProcessIndex, demand: &Demand<'_>) -> bool {
        let used = self.own_requests + self.other_requests;
        let is_taken = demand.trial.is_some_and(|trial| trial.is_alone) && used > 0;
        if self.is_exclusive || is_taken {
            return false;
        }
        if demand.is_lowest_tier && used + SLOTS_WITHHELD_FROM_LOWEST_TIER >= self.target.slots {
            return false;
        }
        let free = self.target.slots.saturating_sub(used);
        free > 0
            || (self.own_requests < self.guaranteed_slots(process) && used <= self.target.slots)
    }

    /// Reports whether the target accepts new requests: it is usable, and its lane is open.
    fn is_available(&self, now: Instant) -> bool {
        matches!(self.lane, Lane::Base | Lane::Ordered) && self.is_usable(now)
    }

    /// Reports whether the target is listed, or runs requests of this process.
    fn is_in_use(&self) -> bool {
        self.is_listed || self.own_requests > 0
    }

    /// Reports whether the target is listed and ready, and is neither leaving nor resting nor in backoff.
    fn is_usable(&self, now: Instant) -> bool {
        self.is_listed
            && self.target.is_ready
            && !self.notice.is_leaving
            && !self.notice.is_resting(now)
            && self.backoff_until.is_none_or(|until| until <= now)
    }

    /// Reports whether the target may continue a stream that this version began. The version may be one that
    /// gets no new requests since the traffic is being shifted away from it.
    fn continues_version(&self, now: Instant, version: &Version) -> bool {
        self.target.version == *version && self.lane != Lane::Closed && self.is_usable(now)
    }

    /// Reports whether the target accepts a request of any lane; `version` is the one that began its stream.
    fn accepts_stream(&self, now: Instant, version: Option<&Version>) -> bool {
        match version {
            Some(version) => self.continues_version(now, version),
            None => self.is_available(now),
        }
    }

    /// Reports whether the target accepts the request.
    fn accepts(&self, now: Instant, demand: &Demand<'_>) -> bool {
        let is_lane_suitable = demand.version.is_some() || self.lane == demand.lane;
        is_lane_suitable
            && self.accepts_stream(now, demand.version)
            && demand.allows_version(&self.target.version)
    }

    /// Reports whether requests for the target are reserved at an agent, which must not be in backoff.
    fn uses_agent(&self, now: Instant) -> bool {
        self.agent.is_some() && self.agent_backoff_until.is_none_or(|until| until <= now)
    }

    /// Returns the prompt tokens to be read before the first event of a request with a prompt of `tokens`
    /// tokens.
    fn prefill_tokens_ahead(&self, tokens: f64) -> f64 {
        self.own_prefill_tokens + self.others_prefill_tokens + tokens + FIXED_COST_TOKENS
    }

    /// Returns the cost of a request at the target, in ms: the expected time to the first event plus 1 ms for
    /// another availability zone, scaled up by used slots and by failures.
    fn cost(&self, tokens: f64, zone: &str, default_ms_per_token: f64) -> f64 {
        let first_event_ms = self.first_event_ms_per_token.unwrap_or(default_ms_per_token)
            * self.prefill_tokens_ahead(tokens);
        let utilization = f64::from(self.own_requests + self.other_requests)
            / f64::from(self.target.slots.max(1));
        let zone_cost_ms = if self.target.zone == zone { 0.0 } else { 1.0 };
        (first_event_ms + zone_cost_ms)
            * (1.0 + utilization)
            * (1.0 + FAILURE_COST_FACTOR * self.failure_rate)
    }

    /// Reports whether the target needs more than [`MAX_PREFILL_BACKLOG_MS`] to read its pending prompts. The
    /// next request then stays in the queue, where a request of a higher tier can still overtake it.
    fn has_prefill_backlog(&self, default_ms_per_token: f64) -> bool {
        self.first_event_ms_per_token.unwrap_or(default_ms_per_token)
            * (self.own_prefill_tokens + self.others_prefill_tokens)
            > MAX_PREFILL_BACKLOG_MS
    }

    /// Reports whether the answer is expected to end before its deadline at this target, or the target is
    /// among the fastest. A target of unknown speed counts as fast.
    fn finishes_in_time(&self, demand: &Demand<'_>, fastest_ms_per_token: f64) -> bool {
        let left_ms = demand.time_left.as_secs_f64() * 1_000.0;
        let finishes = |ms_per_token: f64| {
            ms_per_token * demand.expected_output_tokens * ANSWER_LENGTH_MARGIN <= left_ms
        };
        self.is_fast(fastest_ms_per_token) || self.ms_per_token.is_none_or(finishes)
    }

    /// Reports whether the target's speed is unknown or close to that of the fastest targets.
    fn is_fast(&self, fastest_ms_per_token: f64) -> bool {
        self.ms_per_token
            .is_none_or(|ms_per_token| ms_per_token <= fastest_ms_per_token * MAX_FAST_SLOWDOWN)
    }

    /// Returns the time per token of an answer, in ms, as the target's agent reports it; `None` if unknown.
    pub fn ms_per_token(&self) -> Option<f64> {
        self.ms_per_token
    }

    /// Takes a slot for a request with a prompt of `tokens` tokens.
    fn occupy(&mut self, tokens: f64, default_ms_per_token: f64) -> Slot {
        let prefill_tokens = self.prefill_tokens_ahead(tokens);
        self.own_requests += 1;
        self.own_prefill_tokens += tokens;
        let first_ms =
            self.first_event_ms_per_token.unwrap_or(default_ms_per_token) * prefill_tokens;
        Slot {
            target: self.target.name.clone(),
            incarnation: self.target.incarnation,
            address: self.target.address,
            version: self.target.version.clone(),
            pending_prefill_tokens: tokens,
            prefill_tokens,
            expected_first_event: Duration::from_secs_f64(first_ms / 1_000.0),
            is_ordered_version: self.lane == Lane::Ordered,
            is_exclusive: false,
        }
    }

    /// Sends the target no requests for `time`, or for longer if an earlier backoff ends later.
    fn back_off(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        self.backoff_until = Some(self.backoff_until.map_or(until, |at| at.max(until)));
    }
}

impl Capacity {
    /// Replaces the list of targets by the platform's. Targets that aren't in it accept no more requests and
    /// are kept only while they have requests of this process. Returns the targets that restarted; their
    /// state is reset, since their requests have ended and their speed and failures were observed on the
    /// earlier incarnation.
    pub fn replace_targets(&mut self, now: Instant, targets: Vec<Target>) -> Vec<TargetName> {
        let mut restarted = Vec::new();
        let previous = std::mem::take(&mut self.states).into_iter();
        let mut previous: BTreeMap<TargetName, TargetState> =
            previous.map(|state| (state.target.name.clone(), state)).collect();
        for target in targets {
            let state = match previous.remove(&target.name) {
                // A record of an earlier incarnation may reach the platform after that of a later one.
                Some(state) if state.target.incarnation > target.incarnation => state,
                // A target changes its version only with its start, also where the platform states no start.
                Some(state)
                    if (state.target.incarnation, &state.target.version)
                        == (target.incarnation, &target.version) =>
                {
                    TargetState { target, is_listed: true, ..state }
                }
                Some(_) => {
                    restarted.push(target.name.clone());
                    TargetState::new(target)
                }
                None => self.open_state(now, target),
            };
            self.states.push(state);
        }
        let delisted =
            previous.into_values().map(|state| TargetState { is_listed: false, ..state });
        self.states.extend(delisted);
        self.keep_notices(now);
        self.states.retain(TargetState::is_in_use);
        self.states.sort_by(|a, b| a.target.name.cmp(&b.target.name));
        self.indexes.clear();
        self.pools.clear();
        for (index, TargetState { target, .. }) in self.states.iter().enumerate() {
            self.indexes.insert(target.name.clone(), index);
            self.pools.entry(target.pool.clone()).or_default().push(index);
        }
        self.assign_agents();
        restarted
    }

    /// Returns the state of a target; `None` if the target is unknown.
    pub fn state(&self, name: &TargetName) -> Option<&TargetState> {
        self.states.get(*self.indexes.get(name)?)
    }

    /// Returns the targets that the platform lists now.
    pub fn listed_targets(&self) -> impl Iterator<Item = &Target> {
        self.states.iter().filter(|state| state.is_listed).map(|state| &state.target)
    }

    /// Returns the number of unused slots and of all slots at the targets of a pool that accept requests.
    pub fn free_and_total_slots(&self, now: Instant, pool: &str) -> (u32, u32) {
        self.pool_targets(pool).filter(|state| state.is_available(now)).fold(
            (0, 0),
            |(free, all), state| {
                let slots = state.target.slots;
                let used = state.own_requests.saturating_add(state.other_requests);
                (free.saturating_add(slots.saturating_sub(used)), all.saturating_add(slots))
            },
        )
    }

    /// Replaces the load that other processes put on targets whose slots are shared without an agent.
    pub fn replace_other_load<'a>(
        &mut self,
        now: Instant,
        running: impl Iterator<Item = &'a TargetLoad>,
    ) {
        for state in self.states.iter_mut().filter(|state| !state.uses_agent(now)) {
            state.other_requests = 0;
            state.others_prefill_tokens = 0.0;
        }
        for load in running {
            let state = self.state_mut(&load.target, load.incarnation);
            if let Some(state) = state.filter(|state| !state.uses_agent(now)) {
                state.other_requests += load.requests;
                state.others_prefill_tokens += f64::from(load.pending_prompt_tokens);
            }
        }
    }

    /// Returns the load that this process puts on targets whose slots are shared without an agent, for the
    /// row that it sends to the other entry processes.
    pub fn own_load(&self, now: Instant) -> Vec<TargetLoad> {
        let is_shared = |state: &TargetState| state.own_requests > 0 && !state.uses_agent(now);
        let load = self.states.iter().filter(|state| is_shared(state)).map(|state| TargetLoad {
            target: state.target.name.clone(),
            incarnation: state.target.incarnation,
            // Other processes must not use the free slots of a target at which a request runs alone.
            requests: if state.is_exclusive { state.target.slots } else { state.own_requests },
            pending_prompt_tokens: state.own_prefill_tokens as u32,
        });
        load.collect()
    }

    /// Takes a slot for a request at the target with the lowest cost, without asking an agent. Returns `None`
    /// if no target that is reached without an agent has a free slot.
    pub fn take_slot(
        &mut self,
        now: Instant,
        process: ProcessIndex,
        demand: &Demand<'_>,
    ) -> Option<Slot> {
        let default_ms_per_token = self.mean_first_event_ms_per_token(demand.pool);
        let candidates = self.pool_targets(demand.pool).filter(|state| {
            state.accepts(now, demand)
                && !state.uses_agent(now)
                && state.has_free_slot(process, demand)
                && state.limit_allows(now, process)
                && !state.has_prefill_backlog(default_ms_per_token)
        });
        let candidates =
            candidates.filter(|state| !demand.possibly_ran_at.contains(&state.target.name));
        let cost = |state: &TargetState| {
            (
                demand.was_rejected_by(state),
                state.cost(demand.prompt_tokens, demand.zone, default_ms_per_token),
            )
        };
        let best = match demand.trial {
            Some(_) => candidates.max_by_key(|state| demand.trial_rank(state))?,
            None => candidates.min_by(|a, b| compare_costs(cost(a), cost(b)))?,
        };
        let index = *self.indexes.get(&best.target.name)?;
        let state = self.states.get_mut(index)?;
        if let Some(pacer) = &mut state.pacer {
            pacer.record_send(now);
        }
        let mut slot = state.occupy(demand.prompt_tokens, default_ms_per_token);
        slot.is_exclusive = demand.trial.is_some_and(|trial| trial.is_alone);
        state.is_exclusive |= slot.is_exclusive;
        Some(slot)
    }

    /// Returns the numbers of the versions of a pool's listed targets.
    pub fn versions(&self, pool: &str) -> BTreeSet<VersionId> {
        let listed = self.pool_targets(pool).filter(|state| state.is_listed);
        listed.map(|state| parts::version_id(&state.target.version)).collect()
    }

    /// Sets the lane of each listed target. `lanes` is called for each pool with the version of each target
    /// and whether that target is ready, and returns the targets' lanes in the same order.
    pub fn assign_lanes(
        &mut self,
        mut lanes: impl FnMut(&PoolName, &[(&Version, bool)]) -> Vec<Lane>,
    ) {
        for (pool, indexes) in &self.pools {
            let states = indexes.iter().filter_map(|&index| Some((index, self.states.get(index)?)));
            let listed: Vec<_> = states.filter(|(_, state)| state.is_listed).collect();
            let targets: Vec<(&Version, bool)> = listed
                .iter()
                .map(|(_, state)| (&state.target.version, state.target.is_ready))
                .collect();
            let assigned = lanes(pool, &targets);
            let indexes: Vec<usize> = listed.into_iter().map(|(index, _)| index).collect();
            for (index, lane) in indexes.into_iter().zip(assigned) {
                self.states[index].lane = lane;
            }
        }
    }

    /// Returns the number of ready targets that get no requests because of their version: no running rollout
    /// ordered it, the canary phase needs no more targets, or all requests have been shifted to another
    /// version.
    pub fn closed_count(&self) -> usize {
        let is_closed = |state: &&TargetState| {
            state.target.is_ready && matches!(state.lane, Lane::Closed | Lane::Retiring)
        };
        self.states.iter().filter(is_closed).count()
    }

    /// Returns the number of this process's requests at targets of a pool that have another version.
    pub fn running_on_other_versions(&self, pool: &str, version: &Version) -> u32 {
        let others = self.pool_targets(pool).filter(|state| state.target.version != *version);
        others.map(|state| state.own_requests).sum()
    }

    /// Returns how requests are admitted to the targets of a pool: by agents, by the slots that entry
    /// processes share, or by both.
    pub fn admission_modes(&self, now: Instant, pool: &str) -> AdmissionModes {
        self.pool_targets(pool).fold(AdmissionModes::default(), |modes, state| AdmissionModes {
            has_agents: modes.has_agents || state.agent.is_some(),
            has_shared_slots: modes.has_shared_slots
                || (state.is_available(now) && !state.uses_agent(now)),
        })
    }

    /// Reports whether the target of a slot still accepts requests and hasn't restarted, and may continue the
    /// stream if `version` began one.
    pub fn is_slot_usable(&self, now: Instant, slot: &Slot, version: Option<&Version>) -> bool {
        let state = self.state(&slot.target);
        let is_same = |target: &Target| {
            (target.incarnation, &target.version) == (slot.incarnation, &slot.version)
        };
        let state = state.filter(|state| is_same(&state.target));
        state.is_some_and(|state| state.accepts_stream(now, version))
    }

    /// Reports whether any target may continue a stream of the pool that this version began and that these
    /// targets may have run.
    pub fn can_continue(
        &self,
        now: Instant,
        pool: &str,
        version: &Version,
        possibly_ran_at: &[TargetName],
    ) -> bool {
        self.pool_targets(pool).any(|state| {
            state.continues_version(now, version) && !possibly_ran_at.contains(&state.target.name)
        })
    }

    /// Releases a slot. Does nothing if the target has restarted since.
    pub fn release_slot(&mut self, slot: &Slot) {
        if let Some(state) = self.state_mut(&slot.target, slot.incarnation) {
            state.own_requests = state.own_requests.saturating_sub(1);
            state.is_exclusive &= !slot.is_exclusive;
            state.own_prefill_tokens =
                (state.own_prefill_tokens - slot.pending_prefill_tokens).max(0.0);
        }
    }

    /// Records the time to the first event of an answer: the prompt has been read, and the target is
    /// reachable.
    pub fn record_first_event(&mut self, slot: &mut Slot, first: Duration) {
        let Some(state) = self.state_mut(&slot.target, slot.incarnation) else {
            return;
        };
        state.own_prefill_tokens =
            (state.own_prefill_tokens - slot.pending_prefill_tokens).max(0.0);
        slot.pending_prefill_tokens = 0.0;
        let observed = first.as_secs_f64() * 1_000.0 / slot.prefill_tokens;
        state.first_event_ms_per_token = Some(
            state
                .first_event_ms_per_token
                .map_or(observed, |known| known + EWMA_WEIGHT * (observed - known)),
        );
        state.unreachable_backoff = Duration::ZERO;
    }

    /// Records in a target's failure rate whether a request failed there.
    pub fn record_outcome(&mut self, slot: &Slot, failed: bool) {
        if let Some(state) = self.state_mut(&slot.target, slot.incarnation) {
            let observed = if failed { 1.0 } else { 0.0 };
            state.failure_rate += EWMA_WEIGHT * (observed - state.failure_rate);
        }
    }

    /// Starts or doubles the backoff from a target that accepts no connection or is unresponsive.
    pub fn back_off_unreachable(
        &mut self,
        now: Instant,
        name: &TargetName,
        incarnation: Incarnation,
    ) {
        if let Some(state) = self.state_mut(name, incarnation) {
            state.unreachable_backoff = (state.unreachable_backoff * 2)
                .clamp(MIN_UNREACHABLE_BACKOFF, MAX_UNREACHABLE_BACKOFF);
            state.back_off(now, state.unreachable_backoff);
        }
    }

    /// Starts a short backoff from a target that rejected a request.
    pub fn back_off_rejecting(&mut self, now: Instant, slot: &Slot) {
        if let Some(state) = self.state_mut(&slot.target, slot.incarnation) {
            state.back_off(now, REJECTION_BACKOFF);
        }
    }

    /// Starts a long backoff from a target whose address belongs to another target now. The list may still have
    /// it, and the answer that said so may be wrong.
    pub fn back_off_replaced(&mut self, now: Instant, slot: &Slot) {
        if let Some(state) = self.state_mut(&slot.target, slot.incarnation) {
            state.back_off(now, REPLACED_BACKOFF);
        }
    }

    /// Returns the next time at which a backoff or a rest ends or a rate limit allows a request; `None` if
    /// there is none.
    pub fn next_available(&self, now: Instant) -> Option<Instant> {
        let paced_at = |state: &TargetState| state.pacer.map(|pacer| pacer.next_allowed_at());
        let times = self.states.iter().flat_map(|state| {
            let rests_until = state.notice.rests_until;
            [state.backoff_until, state.agent_backoff_until, paced_at(state), rests_until]
        });
        times.flatten().filter(|&at| at > now).min()
    }

    /// Returns the state of a target; `None` if the target is unknown or has another incarnation.
    fn state_mut(
        &mut self,
        name: &TargetName,
        incarnation: Incarnation,
    ) -> Option<&mut TargetState> {
        let state = self.states.get_mut(*self.indexes.get(name)?)?;
        (state.target.incarnation == incarnation).then_some(state)
    }

    /// Returns the targets of a pool.
    fn pool_targets(&self, pool: &str) -> impl Iterator<Item = &TargetState> {
        let indexes = self.pools.get(pool).map(Vec::as_slice).unwrap_or_default();
        indexes.iter().filter_map(|&index| self.states.get(index))
    }

    /// Returns the time per token, in ms, of the fastest targets that a request may go to; infinite if none
    /// is known. It is a low quantile rather than the minimum, since the minimum of noisy measurements falls
    /// as their number grows.
    fn fastest_ms_per_token(&self, now: Instant, demand: &Demand<'_>) -> f64 {
        let candidates = self.pool_targets(demand.pool);
        let candidates = candidates.filter(|state| state.accepts(now, demand));
        let mut ms_per_token: Vec<f64> =
            candidates.filter_map(|state| state.ms_per_token).collect();
        let index = (ms_per_token.len() as f64 * FASTEST_QUANTILE) as usize;
        ms_per_token.sort_unstable_by(f64::total_cmp);
        ms_per_token.get(index).copied().unwrap_or(f64::INFINITY)
    }

    /// Returns the mean time to the first event over a pool's targets, in ms per prompt token.
    fn mean_first_event_ms_per_token(&self, pool: &str) -> f64 {
        let known = self.pool_targets(pool).filter_map(|state| state.first_event_ms_per_token);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), first| (sum + first, count + 1.0));
        if count > 0.0 { sum / count } else { DEFAULT_FIRST_EVENT_MS_PER_TOKEN }
    }
}
