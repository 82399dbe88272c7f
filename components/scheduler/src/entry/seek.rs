//! Selection of the targets at which a request is reserved, in the order of rendezvous hashing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use model::{
    Host, Resource, host,
    id::{HostName, Offset, PoolName, Rank, RequestId, TargetName},
    reservation::{Ask, BlockHash, Id, Load, Order},
    resource::{Kind, Target},
    suspect::Body,
};

use super::{
    DEFAULT_RETRY_AFTER, DOWN_BACKOFF, Effect, SHED_BACKOFF, ShedHint, State, TargetHints,
    pending::Pending,
};
use crate::placement;

/// Limits on the reservations that an entry process makes for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Maximum number of reservations that one request has open at once.
    pub max_reservations: usize,
    /// Maximum number of targets at which requests with the same prompt prefix are reserved: the
    /// first ones in the prefix's placement order that aren't backed off.
    pub targets_per_prefix: usize,
    /// Whether a request that waits is reserved at an additional target only if one of those where
    /// it waits hasn't replied to any request within the pool's `patience`.
    pub widen_only_if_unresponsive: bool,
}

/// Cached placement indices, one for each pool that has been used.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolIndices {
    /// Configuration offset from which the indices were built.
    offset: Offset,
    indices: BTreeMap<PoolName, placement::Index>,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { max_reservations: 2, targets_per_prefix: 3, widen_only_if_unresponsive: true }
    }
}

impl Policy {
    /// Returns the policy of the first version, used as a baseline in comparisons: up to two open
    /// reservations, any target of the pool, and an additional target whether or not the first
    /// one replies.
    pub fn first() -> Policy {
        Policy {
            max_reservations: 2,
            targets_per_prefix: usize::MAX,
            widen_only_if_unresponsive: false,
        }
    }
}

impl State {
    /// Requests a reservation at the next target. If none is left to ask and no reservation is
    /// open, the request is refused or takes the place of one of a lower tier. A request whose
    /// body is suspected of crashing targets waits at one target at a time.
    pub(super) fn reserve_next(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        if self.is_quarantined(now, id) {
            return self.refuse_quarantined(id, None, effects);
        }
        let Some(pool) = self.requests.get(&id).map(|pending| pending.pool.clone()) else {
            return;
        };
        self.rebuild_stale_index(&pool);
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.runs_alone && !pending.reservations.is_empty() {
            return;
        }
        match self.choose_target(now, pending).cloned() {
            Some(target) => self.reserve(now, id, &target, effects),
            None if pending.reservations.is_empty() => {
                self.refuse_for_lack_of_room(now, id, effects)
            }
            None => {}
        }
    }

    /// Returns the first preferred target that hasn't been asked yet. A target that sheds the
    /// request's tier is returned only if no other is left and the request has no open
    /// reservation. Returns `None` if there is no such target.
    pub(super) fn choose_target(&self, now: Instant, pending: &Pending) -> Option<&Target> {
        let preferred = self.preferred_targets(now, pending);
        let untried = |target: &&&Target| !pending.tried_targets.contains_key(&target.name);
        let sheds = |target: &&&Target| self.sheds_rank(now, &target.name, pending.rank);
        let best = preferred.iter().filter(untried).find(|target| !sheds(target));
        let any = preferred.iter().find(untried).filter(|_| pending.reservations.is_empty());
        best.or(any).copied()
    }

    /// Returns the first targets in the placement order of a request, up to the policy's limit. A
    /// target that is backed off is replaced by the next one of the order, unless all of them
    /// are backed off.
    fn preferred_targets(&self, now: Instant, pending: &Pending) -> Vec<&Target> {
        let Some(index) = self.pool_indices.indices.get(&pending.pool) else {
            return Vec::new();
        };
        let serving = || {
            let names = index.order(placement_key(pending));
            let targets = names.filter_map(|name| self.config.target(name));
            targets.filter(|target| self.is_serving(target))
        };
        let up = serving().filter(|target| !self.is_down(now, &target.name));
        let preferred: Vec<&Target> = up.take(self.policy.targets_per_prefix).collect();
        if preferred.is_empty() {
            return serving().take(self.policy.targets_per_prefix).collect();
        }
        preferred
    }

    /// Reserves at one additional target for a request that has waited for the pool's `patience`.
    /// With `widen_only_if_unresponsive`, it waits longer while all targets where it is reserved
    /// reply to other requests: they are only busy, and another target would have to recompute
    /// the prompt's prefix.
    pub(super) fn reserve_additional(
        &mut self,
        now: Instant,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.reservations.len() >= self.policy.max_reservations {
            return;
        }
        // The pool may have been deleted since the request arrived.
        let patience =
            self.config.pool(&pending.pool).map_or(DEFAULT_RETRY_AFTER, |pool| pool.patience);
        let is_responsive = |target: &TargetName| {
            let last_reply = self.target_hints.get(target).and_then(|hints| hints.last_reply);
            last_reply.is_some_and(|replied_at| replied_at + patience >= now)
        };
        if self.policy.widen_only_if_unresponsive
            && pending.reservations.values().all(is_responsive)
        {
            return self.postpone_widening(id, now + patience);
        }
        self.reserve_next(now, id, effects);
    }

    /// Sets the time at which an additional reservation is considered again.
    fn postpone_widening(&mut self, id: RequestId, until: Instant) {
        self.unschedule(id);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.widen_at = Some(until);
        }
        self.schedule(id);
    }

    /// Requests a reservation for a request at a target.
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
        pending.reservations.insert(reservation, target.name.clone());
        pending.tried_targets.insert(target.name.clone(), now);
        let ask = Ask {
            id: reservation,
            rank: pending.rank,
            remaining: pending.deadline.saturating_duration_since(now),
            prefill: pending.request.prefill,
            decode: pending.request.decode,
            prefix: pending.request.prefix.clone(),
            order: Order::default(),
            offset,
            body: Body { fingerprint: pending.request.fingerprint, alone: pending.runs_alone },
        };
        effects.push(Effect::Reserve { target: target.name.clone(), address: target.control, ask });
    }

    /// Records what an agent's reply says about its load and the configuration offset it knows.
    pub(super) fn record_load(
        &mut self,
        now: Instant,
        id: Id,
        load: Load,
        effects: &mut Vec<Effect>,
    ) {
        self.freshness.record_offset(load.offset);
        if load.offset > self.config.applied() {
            effects.push(Effect::CatchUp(load.offset));
        }
        let Some(name) = self.reserved_target(id) else {
            return;
        };
        let shed = load.floor.map(|rank| ShedHint { rank, until: now + SHED_BACKOFF });
        self.target_hints
            .insert(name, TargetHints { shed, down_until: None, last_reply: Some(now) });
    }

    /// Starts the backoff of the target at which a reservation was requested, since the target's
    /// agent is unreachable.
    pub(super) fn mark_down(&mut self, now: Instant, id: Id) {
        if let Some(target) = self.reserved_target(id) {
            self.target_hints.entry(target).or_default().down_until = Some(now + DOWN_BACKOFF);
        }
    }

    fn reserved_target(&self, id: Id) -> Option<TargetName> {
        self.requests.get(&id.request)?.reservations.get(&id).cloned()
    }

    /// Returns whether a target is backed off because its agent was unreachable or draining.
    fn is_down(&self, now: Instant, target: &str) -> bool {
        let until = self.target_hints.get(target).and_then(|hints| hints.down_until);
        until.is_some_and(|until| until > now)
    }

    /// Returns whether a target shed requests of this rank or a higher tier recently.
    fn sheds_rank(&self, now: Instant, target: &str, rank: Rank) -> bool {
        let shed = self.target_hints.get(target).and_then(|hints| hints.shed);
        shed.is_some_and(|shed| shed.rank <= rank && shed.until > now)
    }

    /// Estimates the number of entry processes as the number of live hosts that run no target.
    pub(super) fn count_entry_hosts(&mut self, hosts: &[Host]) {
        let targets = self.config.list(Kind::Target).filter_map(|item| match &item.resource {
            Resource::Target(target) => Some(&target.host),
            _ => None,
        });
        let targets: BTreeSet<&HostName> = targets.collect();
        let is_entry =
            |host: &&Host| host.state == host::State::Live && !targets.contains(&host.name);
        let entries = hosts.iter().filter(is_entry).count();
        self.entry_hosts = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    }

    /// Builds a pool's placement index if there is none for the current configuration.
    fn rebuild_stale_index(&mut self, pool: &str) {
        let offset = self.config.applied();
        if self.pool_indices.offset != offset {
            self.pool_indices.indices.clear();
            self.pool_indices.offset = offset;
        }
        if !self.pool_indices.indices.contains_key(pool) {
            let index = placement::open(self.config.targets(pool));
            self.pool_indices.indices.insert(pool.to_owned(), index);
        }
    }
}

/// Returns the key that determines the order of targets for a request. Requests whose prompts share
/// their first `SHARED_BLOCKS` blocks share the key, and so do all requests with the same body if
/// that body is suspected of crashing engines; a request without a prompt prefix has a key of its
/// own.
fn placement_key(pending: &Pending) -> BlockHash {
    if pending.runs_alone {
        return u128::from_le_bytes(pending.request.fingerprint) as BlockHash;
    }
    const SHARED_BLOCKS: usize = 4;
    let prefix = &pending.request.prefix;
    let shared = prefix.get(SHARED_BLOCKS - 1).or(prefix.last());
    shared.copied().unwrap_or_else(|| pending.request.id.as_u64_pair().1)
}
