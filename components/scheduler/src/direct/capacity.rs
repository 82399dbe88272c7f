//! The targets, what runs at each, and which one a request goes to.
//!
//! A target with no more slots than there are entry processes is reached by a reservation at the agent
//! beside it; one without, where it has fewer, at the agent of another target that all of them agree on.
//! Else, and where no agent answers, entry processes share the slots without asking each other first: each
//! has a part of the slots that it may always use, and may use slots that the others' last rows show as
//! free.

mod agents;
mod demand;
mod limits;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    id::{PoolName, TargetName},
    reservation::Load,
};

use crate::rate::{News, Pacer};

use demand::cheaper;
pub use demand::{Demand, Slot, Ways};

use super::{
    event::{Incarnation, Target},
    peers::Busy,
    pending::Reserved,
    rollout::{Lane, Version},
};

/// Weight of the newest observation in a moving average.
const NEWEST: f64 = 0.2;
/// Time for which a target that took no connection is left alone; doubles with each repeat.
const DOWN_MIN: Duration = Duration::from_millis(250);
/// Longest time for which it is left alone.
const DOWN_MAX: Duration = Duration::from_secs(2);
/// Time for which a target that rejected a request gets no other.
const FULL: Duration = Duration::from_millis(60);
/// How much a target that always fails seems slower than one that never does.
const FAILURE_COST: f64 = 8.0;
/// Tokens that cost as much as what every request costs besides its prompt.
const FIXED_TOKENS: f64 = 600.0;
/// Slots of each target that the lowest tier leaves to the others where its requests hold theirs for
/// longest: its long streams would else hold every slot while the short requests of higher tiers wait.
/// A lowest tier of short answers gives its slots back at once.
const KEPT: u32 = 1;
/// Time, in ms, for which a target may still have prompts to read when it gets the next.
const READING: f64 = 150.0;
/// How much longer than expected an answer may be that still has to end in time: one of six is longer.
const LONGER: f64 = 1.6;
/// How much slower than the fastest a target may be that takes answers which may not end in time there.
const FASTEST: f64 = 1.2;
/// Part of the targets that may be faster than what counts as the fastest.
const FASTEST_PART: f64 = 0.1;
/// Time to the first event that is assumed of a request before any was seen, in ms a token.
const FIRST_GUESS: f64 = 0.05;

/// A target and what this process knows of it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// As listed.
    pub target: Target,
    /// Where the agent listens that admits requests to it; `None` where rows decide.
    pub agent: Option<SocketAddr>,
    /// Requests of this process that it has.
    pub own: u32,
    /// Requests of the others, by their last rows or by what its agent last said.
    pub others: u32,
    /// Tokens of own prompts whose answers haven't begun.
    unread: f64,
    /// The same of the others, by their last rows.
    others_unread: f64,
    /// Whether the platform still lists it.
    pub listed: bool,
    /// Which requests it takes.
    lane: Lane,
    down_until: Option<Instant>,
    down_for: Duration,
    /// Until when its agent is left alone.
    away_until: Option<Instant>,
    away_for: Duration,
    /// What its agent said last, and when.
    told: Option<(Instant, Load)>,
    /// Time to the first event, in ms a token; `None` before the first.
    first: Option<f64>,
    /// Time for each token of an answer, in ms, as its agent says.
    pace: Option<f64>,
    /// Part of the requests that failed or were lost.
    failing: f64,
    /// What was last heard of its rate limit; `None` where it never named one.
    limit: Option<News>,
    /// Spaces what goes there without an agent's grant; `Some` just where `limit` names an interval.
    pacer: Option<Pacer>,
    /// When its agent may admit the next request, as far as is known; counts only while it is limited.
    next_grant: Option<Instant>,
}

/// Which of the entry processes this is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Its number among them, from 0.
    pub index: u32,
    /// How many there are; at least 1.
    pub among: u32,
}

/// All targets.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// In the order of their names.
    states: Vec<TargetState>,
    places: HashMap<TargetName, usize>,
    pools: HashMap<PoolName, Vec<usize>>,
    /// Other entry processes that may share the targets.
    others: usize,
}

impl TargetState {
    fn open(target: Target) -> TargetState {
        TargetState {
            agent: target.agent,
            target,
            own: 0,
            others: 0,
            unread: 0.0,
            others_unread: 0.0,
            listed: true,
            lane: Lane::Base,
            down_until: None,
            down_for: Duration::ZERO,
            away_until: None,
            away_for: Duration::ZERO,
            told: None,
            first: None,
            pace: None,
            failing: 0.0,
            limit: None,
            pacer: None,
            next_grant: None,
        }
    }

    /// Slots that this process may use whatever the others do. They differ by one where they
    /// don't come out even; who gets more differs by target.
    fn part(&self, place: Place) -> u32 {
        let slots = self.target.slots;
        slots / place.among + u32::from(self.position(place) < slots % place.among)
    }

    /// The place of a process among those that share the target; it differs by target.
    fn position(&self, place: Place) -> u32 {
        let turn = self
            .target
            .name
            .bytes()
            .fold(0_u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
        (place.index + turn % place.among) % place.among
    }

    fn has_room(&self, place: Place, demand: &Demand<'_>) -> bool {
        let used = self.own + self.others;
        if demand.lowest && used + KEPT >= self.target.slots {
            return false;
        }
        let free = self.target.slots.saturating_sub(used);
        free > 0 || (self.own < self.part(place) && used <= self.target.slots)
    }

    fn is_up(&self, now: Instant) -> bool {
        let open = self.listed && self.target.ready && self.lane != Lane::Shut;
        open && self.down_until.is_none_or(|until| until <= now)
    }

    /// Whether requests reach it by way of its agent.
    fn is_reserved(&self, now: Instant) -> bool {
        self.agent.is_some() && self.away_until.is_none_or(|until| until <= now)
    }

    /// Tokens that are read before the first event of a request.
    fn load(&self, tokens: f64) -> f64 {
        self.unread + self.others_unread + tokens + FIXED_TOKENS
    }

    fn cost(&self, tokens: f64, zone: &str, usual: f64) -> f64 {
        let first = self.first.unwrap_or(usual) * self.load(tokens);
        let busy = f64::from(self.own + self.others) / f64::from(self.target.slots.max(1));
        let far = if self.target.zone == zone { 0.0 } else { 1.0 };
        (first + far) * (1.0 + busy) * (1.0 + FAILURE_COST * self.failing)
    }

    /// Whether it still reads prompts for so long that a request is better kept back: what has a
    /// higher rank may come before it then.
    fn reads(&self, usual: f64) -> bool {
        self.first.unwrap_or(usual) * (self.unread + self.others_unread) > READING
    }

    /// Whether a long answer ends in time here, or is better off nowhere else.
    fn ends_in_time(&self, demand: &Demand<'_>, fastest: f64) -> bool {
        let left_ms = demand.left.as_secs_f64() * 1_000.0;
        let ends = |pace: f64| pace * demand.output * LONGER <= left_ms;
        self.is_fast(fastest) || self.pace.is_none_or(ends)
    }

    /// Whether no target is known to be much faster.
    fn is_fast(&self, fastest: f64) -> bool {
        self.pace.is_none_or(|pace| pace <= fastest * FASTEST)
    }

    /// Time for each token of an answer, in ms, as its agent says.
    pub fn pace(&self) -> Option<f64> {
        self.pace
    }

    fn occupy(&mut self, tokens: f64, usual: f64) -> Slot {
        let load = self.load(tokens);
        self.own += 1;
        self.unread += tokens;
        let first_ms = self.first.unwrap_or(usual) * load;
        Slot {
            target: self.target.name.clone(),
            incarnation: self.target.incarnation,
            address: self.target.address,
            unread: tokens,
            load,
            first: Duration::from_secs_f64(first_ms / 1_000.0),
            ordered: self.lane == Lane::Ordered,
        }
    }

    fn leave_alone(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        self.down_until = Some(self.down_until.map_or(until, |at| at.max(until)));
    }
}

impl Capacity {
    /// Takes the platform's list in; targets that aren't in it take no more requests. Gives those
    /// that started again, of which nothing is known any more: what ran there has ended, and their
    /// pace and failures were those of another process.
    pub fn list(&mut self, targets: Vec<Target>) -> Vec<TargetName> {
        let mut restarted = Vec::new();
        let before = std::mem::take(&mut self.states).into_iter();
        let mut before: BTreeMap<TargetName, TargetState> =
            before.map(|state| (state.target.name.clone(), state)).collect();
        for target in targets {
            let state = match before.remove(&target.name) {
                // What an earlier start wrote may arrive after what the last one wrote.
                Some(state) if state.target.incarnation > target.incarnation => state,
                Some(state) if state.target.incarnation == target.incarnation => {
                    TargetState { target, listed: true, ..state }
                }
                Some(_) => {
                    restarted.push(target.name.clone());
                    TargetState::open(target)
                }
                None => TargetState::open(target),
            };
            self.states.push(state);
        }
        let vanished = before.into_values().map(|state| TargetState { listed: false, ..state });
        self.states.extend(vanished);
        self.states.retain(|state| state.listed || state.own > 0);
        self.states.sort_by(|a, b| a.target.name.cmp(&b.target.name));
        self.places.clear();
        self.pools.clear();
        for (place, TargetState { target, .. }) in self.states.iter().enumerate() {
            self.places.insert(target.name.clone(), place);
            self.pools.entry(target.pool.clone()).or_default().push(place);
        }
        self.assign_agents();
        restarted
    }

    /// A target.
    pub fn state(&self, name: &TargetName) -> Option<&TargetState> {
        self.states.get(*self.places.get(name)?)
    }

    /// All targets that are listed now.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        self.states.iter().filter(|state| state.listed).map(|state| &state.target)
    }

    /// Slots of a pool that no process uses, and all of them, at targets that take requests.
    pub fn slots(&self, now: Instant, pool: &str) -> (u32, u32) {
        self.pool(pool).filter(|state| state.is_up(now)).fold((0, 0), |(free, all), state| {
            let slots = state.target.slots;
            (free + slots.saturating_sub(state.own + state.others), all + slots)
        })
    }

    /// Counts what the other processes run at targets whose agents aren't asked.
    pub fn count_others<'a>(&mut self, now: Instant, running: impl Iterator<Item = &'a Busy>) {
        for state in self.states.iter_mut().filter(|state| !state.is_reserved(now)) {
            state.others = 0;
            state.others_unread = 0.0;
        }
        for busy in running {
            let state = self.current(&busy.target, busy.incarnation);
            if let Some(state) = state.filter(|state| !state.is_reserved(now)) {
                state.others += busy.requests;
                state.others_unread += f64::from(busy.unread);
            }
        }
    }

    /// What this process runs at targets whose agents aren't asked, for the others.
    pub fn running(&self, now: Instant) -> Vec<Busy> {
        let told = |state: &TargetState| state.own > 0 && !state.is_reserved(now);
        let busy = self.states.iter().filter(|state| told(state)).map(|state| Busy {
            target: state.target.name.clone(),
            incarnation: state.target.incarnation,
            requests: state.own,
            unread: state.unread as u32,
        });
        busy.collect()
    }

    /// Takes a slot for a request at the target that should answer it first; `None` where none
    /// has room.
    pub fn take(&mut self, now: Instant, place: Place, demand: &Demand<'_>) -> Option<Slot> {
        let usual = self.usual(demand.pool);
        let open = self.pool(demand.pool).filter(|state| {
            state.lane == demand.lane
                && state.is_up(now)
                && !state.is_reserved(now)
                && state.has_room(place, demand)
                && state.is_due(now, place)
                && !state.reads(usual)
        });
        let open = open.filter(|state| !demand.tried.contains(&state.target.name));
        let cost = |state: &TargetState| {
            (demand.is_rejected(state), state.cost(demand.tokens, demand.zone, usual))
        };
        let best = open.min_by(|a, b| cheaper(cost(a), cost(b)))?;
        let place = *self.places.get(&best.target.name)?;
        let state = self.states.get_mut(place)?;
        if let Some(pacer) = &mut state.pacer {
            pacer.take(now);
        }
        Some(state.occupy(demand.tokens, usual))
    }

    /// Tells the listed targets which requests they take.
    pub fn assign(&mut self, mut lanes: impl FnMut(&PoolName, &[(&Version, bool)]) -> Vec<Lane>) {
        for (pool, places) in &self.pools {
            let states = places.iter().filter_map(|&place| Some((place, self.states.get(place)?)));
            let listed: Vec<_> = states.filter(|(_, state)| state.listed).collect();
            let targets: Vec<(&Version, bool)> = listed
                .iter()
                .map(|(_, state)| (&state.target.version, state.target.ready))
                .collect();
            let assigned = lanes(pool, &targets);
            let places: Vec<usize> = listed.into_iter().map(|(place, _)| place).collect();
            for (place, lane) in places.into_iter().zip(assigned) {
                self.states[place].lane = lane;
            }
        }
    }

    /// Ready targets whose version takes no requests.
    pub fn shut(&self) -> usize {
        let shut = |state: &&TargetState| state.target.ready && state.lane == Lane::Shut;
        self.states.iter().filter(shut).count()
    }

    /// Requests of this process at targets of a pool that have another version.
    pub fn running_besides(&self, pool: &str, version: &Version) -> u32 {
        let others = self.pool(pool).filter(|state| state.target.version != *version);
        others.map(|state| state.own).sum()
    }

    /// How the targets of a pool are reached.
    pub fn ways(&self, now: Instant, pool: &str) -> Ways {
        self.pool(pool).fold(Ways::default(), |ways, state| Ways {
            agents: ways.agents || state.agent.is_some(),
            rows: ways.rows || (state.is_up(now) && !state.is_reserved(now)),
        })
    }

    /// Whether the target of a slot that was taken still takes requests.
    pub fn is_open(&self, now: Instant, slot: &Slot) -> bool {
        let state = self.state(&slot.target);
        let state = state.filter(|state| state.target.incarnation == slot.incarnation);
        state.is_some_and(|state| state.is_up(now))
    }

    /// Gives a slot back.
    pub fn release(&mut self, slot: &Slot) {
        if let Some(state) = self.current(&slot.target, slot.incarnation) {
            state.own = state.own.saturating_sub(1);
            state.unread = (state.unread - slot.unread).max(0.0);
        }
    }

    /// Learns from the time to a first event: the prompt was read.
    pub fn learn(&mut self, slot: &mut Slot, first: Duration) {
        let Some(state) = self.current(&slot.target, slot.incarnation) else {
            return;
        };
        state.unread = (state.unread - slot.unread).max(0.0);
        slot.unread = 0.0;
        let seen = first.as_secs_f64() * 1_000.0 / slot.load;
        state.first = Some(state.first.map_or(seen, |known| known + NEWEST * (seen - known)));
        state.down_for = Duration::ZERO;
    }

    /// Learns whether a target failed a request.
    pub fn judge(&mut self, slot: &Slot, failed: bool) {
        if let Some(state) = self.current(&slot.target, slot.incarnation) {
            let seen = if failed { 1.0 } else { 0.0 };
            state.failing += NEWEST * (seen - state.failing);
        }
    }

    /// Leaves a target that takes no connection alone.
    pub fn mark_down(&mut self, now: Instant, name: &TargetName, incarnation: Incarnation) {
        if let Some(state) = self.current(name, incarnation) {
            state.down_for = (state.down_for * 2).clamp(DOWN_MIN, DOWN_MAX);
            state.leave_alone(now, state.down_for);
        }
    }

    /// Leaves a target that has no room alone.
    pub fn mark_full(&mut self, now: Instant, slot: &Slot) {
        if let Some(state) = self.current(&slot.target, slot.incarnation) {
            state.leave_alone(now, FULL);
        }
    }

    /// Takes a target out whose address has another now.
    pub fn mark_gone(&mut self, slot: &Slot) {
        if let Some(state) = self.current(&slot.target, slot.incarnation) {
            state.target.ready = false;
        }
    }

    /// When a target may be asked again, if one is left alone.
    pub fn next_up(&self, now: Instant) -> Option<Instant> {
        let due = |state: &TargetState| state.pacer.map(|pacer| pacer.next());
        let times =
            self.states.iter().flat_map(|state| [state.down_until, state.away_until, due(state)]);
        times.flatten().filter(|&at| at > now).min()
    }

    /// A target, unless it started again since.
    fn current(&mut self, name: &TargetName, incarnation: Incarnation) -> Option<&mut TargetState> {
        let state = self.states.get_mut(*self.places.get(name)?)?;
        (state.target.incarnation == incarnation).then_some(state)
    }

    /// The targets of a pool.
    fn pool(&self, pool: &str) -> impl Iterator<Item = &TargetState> {
        let places = self.pools.get(pool).map(Vec::as_slice).unwrap_or_default();
        places.iter().filter_map(|&place| self.states.get(place))
    }

    /// Time for a token at the fastest targets that a request may go to, in ms: a low quantile, since the
    /// least of many noisy figures is lower the more there are.
    fn fastest(&self, now: Instant, demand: &Demand<'_>) -> f64 {
        let open = self.pool(demand.pool);
        let open = open.filter(|state| state.lane == demand.lane && state.is_up(now));
        let mut paces: Vec<f64> = open.filter_map(|state| state.pace).collect();
        let place = (paces.len() as f64 * FASTEST_PART) as usize;
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(place).copied().unwrap_or(f64::INFINITY)
    }

    /// The mean of what is known of a pool's targets, in ms a token.
    fn usual(&self, pool: &str) -> f64 {
        let known = self.pool(pool).filter_map(|state| state.first);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), first| (sum + first, count + 1.0));
        if count > 0.0 { sum / count } else { FIRST_GUESS }
    }
}
