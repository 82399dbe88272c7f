//! Targets that hold copies of the memory of streams that run at other targets.

use std::{hash::BuildHasher, time::Instant};

use model::id::{PoolName, TargetName};

use crate::direct::{HASHER, copies::Copy};

use super::{Capacity, ProcessIndex, Slot, TargetState, Version};

/// Requirements of a running stream on the target that holds its copy.
#[derive(Clone, Copy, Debug)]
pub struct HolderDemand<'a> {
    /// Pool of the stream.
    pub pool: &'a PoolName,
    /// Slot in which the stream runs.
    pub slot: &'a Slot,
    /// Random number of the request, uniformly distributed over requests.
    pub spread: u64,
    /// Targets that may have run the request.
    pub excluded: &'a [TargetName],
}

/// Whether the holder of a copy can go on with the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderState {
    /// The holder accepts the stream now.
    Ready,
    /// The holder accepts nothing at the moment, because of a backoff or a rest.
    Away,
    /// The holder restarted, leaves, or isn't listed, so that it doesn't accept the stream any more.
    Lost,
}

impl TargetState {
    /// Returns the part of a process in a number of places at the target. All parts add up to that number.
    pub fn part_of(&self, places: u32, process: ProcessIndex) -> u32 {
        places / process.count + u32::from(self.rotated_index(process) < places % process.count)
    }

    /// Reports whether requests for the target are reserved at an agent that isn't in backoff.
    pub fn is_reached_by_agent(&self, now: Instant) -> bool {
        self.uses_agent(now)
    }
}

impl Capacity {
    /// Chooses the target that holds the copy of a running stream: one of the same version on another host, in another
    /// availability zone where one has room. The choice is spread over the targets by a hash. `has_room` returns
    /// whether a target may hold one more copy.
    pub fn choose_holder(
        &self,
        now: Instant,
        demand: &HolderDemand<'_>,
        has_room: impl Fn(&TargetState) -> bool,
    ) -> Option<Copy> {
        let slot = demand.slot;
        let zone = self.state(&slot.target).map(|state| &state.target.zone);
        let candidates = self.pool_targets(demand.pool).filter(|state| {
            let target = &state.target;
            target.address.ip() != slot.address.ip()
                && state.continues_version(now, &slot.version)
                && !demand.excluded.contains(&target.name)
                && has_room(state)
        });
        let rank = |state: &&TargetState| {
            let hash = HASHER.hash_one((demand.spread, &state.target.name));
            (Some(&state.target.zone) != zone, hash)
        };
        let TargetState { target, .. } = candidates.max_by_key(rank)?;
        Some(Copy {
            holder: target.name.clone(),
            incarnation: target.incarnation,
            address: target.address,
        })
    }

    /// Returns whether the holder of a copy can go on with a stream that a target of this version ran.
    pub fn holder_state(&self, now: Instant, copy: &Copy, version: &Version) -> HolderState {
        let state = self.state(&copy.holder);
        let Some(state) =
            state.filter(|state| state.target.incarnation == copy.incarnation && state.is_listed)
        else {
            return HolderState::Lost;
        };
        let is_accepting = state.target.is_ready && !state.notice.is_leaving;
        if state.continues_version(now, version) {
            HolderState::Ready
        } else if is_accepting && state.target.version == *version {
            HolderState::Away
        } else {
            HolderState::Lost
        }
    }

    /// Takes a slot at the holder of a copy, also where none is free: the holder admits the stream before all
    /// requests that wait. Returns `None` if the holder has restarted.
    pub fn take_slot_of_holder(&mut self, copy: &Copy, prompt_tokens: f64) -> Option<Slot> {
        let pool = self.state(&copy.holder)?.target.pool.clone();
        let default_ms_per_token = self.mean_first_event_ms_per_token(&pool);
        let state = self.state_mut(&copy.holder, copy.incarnation)?;
        Some(state.occupy(prompt_tokens, default_ms_per_token))
    }
}
