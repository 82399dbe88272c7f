//! Which target a request is reserved at, and what becomes of it where none has room.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use model::{
    Host, Resource, host,
    id::{HostName, Offset, PoolName, Rank, RequestId, TargetName},
    reservation::{Ask, BlockHash, Id, Load},
    resource::{Kind, Target},
    suspect::Body,
};

use super::{DOWN_LIFE, Effect, RETRY, SHED_LIFE, Seen, Shed, State, pending::Pending};
use crate::placement;

/// What an entry weighs when it reserves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Most reservations of one request that are open at once.
    pub open: usize,
    /// Targets that a prefix has at most: the first ones of its order that are up. A request asks
    /// no other.
    pub homes: usize,
    /// Whether a further target is only asked where the first ones are silent.
    pub only_silent: bool,
}

/// The targets of every pool, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    /// Offset that the indices were made from.
    offset: Offset,
    indices: BTreeMap<PoolName, placement::Index>,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { open: 2, homes: 3, only_silent: true }
    }
}

impl Policy {
    /// The policy of the first version: two reservations, every target asked.
    pub fn first() -> Policy {
        Policy { open: 2, homes: usize::MAX, only_silent: false }
    }
}

impl State {
    /// Asks the next target for room, or refuses where no target is left to ask.
    pub(super) fn seek(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        if self.is_quarantined(now, id) {
            return self.refuse_quarantined(id, None, effects);
        }
        let Some(pool) = self.requests.get(&id).map(|pending| pending.pool.clone()) else {
            return;
        };
        self.index(&pool);
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.alone && !pending.open.is_empty() {
            return;
        }
        match self.choose(now, pending).cloned() {
            Some(target) => self.reserve(now, id, &target, effects),
            None if pending.open.is_empty() => self.give_up(now, id, effects),
            None => {}
        }
    }

    /// The best of the prefix's few homes that wasn't asked yet; one that sheds this tier comes
    /// last, and only where nothing else is open. A target that is down is no home: the next of
    /// the order takes its place.
    pub(super) fn choose(&self, now: Instant, pending: &Pending) -> Option<&Target> {
        let homes = self.homes(now, pending);
        let untried = |target: &&&Target| !pending.tried.contains_key(&target.name);
        let sheds = |target: &&&Target| self.sheds(now, &target.name, pending.rank);
        let best = homes.iter().filter(untried).find(|target| !sheds(target));
        let any = homes.iter().find(untried).filter(|_| pending.open.is_empty());
        best.or(any).copied()
    }

    fn homes(&self, now: Instant, pending: &Pending) -> Vec<&Target> {
        let Some(index) = self.pools.indices.get(&pending.pool) else {
            return Vec::new();
        };
        let serving = || {
            let names = index.order(placement_key(pending));
            let targets = names.filter_map(|name| self.config.target(name));
            targets.filter(|target| self.is_serving(target))
        };
        let up = serving().filter(|target| !self.is_down(now, &target.name));
        let homes: Vec<&Target> = up.take(self.policy.homes).collect();
        if homes.is_empty() {
            return serving().take(self.policy.homes).collect();
        }
        homes
    }

    /// Reserves at one more target where those that were asked are silent: a target that answers
    /// other requests meanwhile is only busy, and another would recompute the prefix.
    pub(super) fn widen(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.open.len() >= self.policy.open {
            return;
        }
        let patience = self.config.pool(&pending.pool).map_or(RETRY, |pool| pool.patience);
        let answers = |target: &TargetName| {
            let heard = self.seen.get(target).and_then(|seen| seen.heard);
            heard.is_some_and(|heard| heard + patience >= now)
        };
        if self.policy.only_silent && pending.open.values().all(answers) {
            return self.wait_on(id, now + patience);
        }
        self.seek(now, id, effects);
    }

    fn wait_on(&mut self, id: RequestId, until: Instant) {
        self.unschedule(id);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.widen_at = Some(until);
        }
        self.schedule(id);
    }

    pub(super) fn reserve(
        &mut self,
        now: Instant,
        id: RequestId,
        target: &Target,
        effects: &mut Vec<Effect>,
    ) {
        let offset = self.config.applied();
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.attempts += 1;
        let reservation = Id { request: id, attempt: pending.attempts };
        pending.open.insert(reservation, target.name.clone());
        pending.tried.insert(target.name.clone(), now);
        let ask = Ask {
            id: reservation,
            rank: pending.rank,
            remaining: pending.deadline.saturating_duration_since(now),
            prefill: pending.request.prefill,
            decode: pending.request.decode,
            prefix: pending.request.prefix.clone(),
            offset,
            body: Body { fingerprint: pending.request.fingerprint, alone: pending.alone },
        };
        effects.push(Effect::Reserve { target: target.name.clone(), address: target.control, ask });
    }

    /// Takes in what an agent's reply says of its load.
    pub(super) fn hear(&mut self, now: Instant, id: Id, load: Load, effects: &mut Vec<Effect>) {
        self.freshness.hear(load.offset);
        if load.offset > self.config.applied() {
            effects.push(Effect::CatchUp(load.offset));
        }
        let Some(name) = self.target_of(id) else {
            return;
        };
        let shed = load.floor.map(|rank| Shed { rank, until: now + SHED_LIFE });
        self.seen.insert(name, Seen { shed, down_until: None, heard: Some(now) });
    }

    pub(super) fn mark_down(&mut self, now: Instant, id: Id) {
        if let Some(target) = self.target_of(id) {
            self.seen.entry(target).or_default().down_until = Some(now + DOWN_LIFE);
        }
    }

    fn target_of(&self, id: Id) -> Option<TargetName> {
        self.requests.get(&id.request)?.open.get(&id).cloned()
    }

    fn is_down(&self, now: Instant, target: &str) -> bool {
        let until = self.seen.get(target).and_then(|seen| seen.down_until);
        until.is_some_and(|until| until > now)
    }

    fn sheds(&self, now: Instant, target: &str, rank: Rank) -> bool {
        let shed = self.seen.get(target).and_then(|seen| seen.shed);
        shed.is_some_and(|shed| shed.rank <= rank && shed.until > now)
    }

    /// Live hosts that no target stands on are taken to run entry processes.
    pub(super) fn count_entries(&mut self, hosts: &[Host]) {
        let targets = self.config.list(Kind::Target).filter_map(|item| match &item.resource {
            Resource::Target(target) => Some(&target.host),
            _ => None,
        });
        let targets: BTreeSet<&HostName> = targets.collect();
        let is_entry =
            |host: &&Host| host.state == host::State::Live && !targets.contains(&host.name);
        let entries = hosts.iter().filter(is_entry).count();
        self.entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    }

    /// Makes a pool's index anew where the configuration has changed since.
    fn index(&mut self, pool: &str) {
        let offset = self.config.applied();
        if self.pools.offset != offset {
            self.pools.indices.clear();
            self.pools.offset = offset;
        }
        if !self.pools.indices.contains_key(pool) {
            let index = placement::open(self.config.targets(pool));
            self.pools.indices.insert(pool.to_owned(), index);
        }
    }
}

/// Requests that share their first blocks share this key; one without a prefix has its own.
/// All copies of a suspected body find the same target first.
fn placement_key(pending: &Pending) -> BlockHash {
    if pending.alone {
        return u128::from_le_bytes(pending.request.fingerprint) as BlockHash;
    }
    const SHARED_BLOCKS: usize = 4;
    let prefix = &pending.request.prefix;
    let shared = prefix.get(SHARED_BLOCKS - 1).or(prefix.last());
    shared.copied().unwrap_or_else(|| pending.request.id.as_u64_pair().1)
}
