//! Selection of the request that is refused when there is no room, so that a request is not refused
//! while one of a lower tier keeps its place.

use std::time::Instant;

use model::{
    Refusal,
    id::{RequestId, TargetName},
    refusal::Reason,
};

use super::{DEFAULT_RETRY_AFTER, DENIAL_TTL, Effect, MAX_RETRY_ROUNDS, State};

impl State {
    /// Refuses the last request in shedding order, which has the lowest tier and among those the
    /// latest deadline.
    pub(super) fn shed_lowest_tier(&mut self, effects: &mut Vec<Effect>) {
        let Some(lowest) = self.waiting.last().copied() else {
            return;
        };
        let refusal = Refusal::not_run(Reason::Overloaded, "too many requests wait here");
        self.refuse(lowest.request, refusal.retry_after(DEFAULT_RETRY_AFTER), effects);
    }

    /// Refuses a request that no target has room for, unless a lower tier would keep its place.
    /// Before the refusal, the request is reserved again at targets whose denials are older than
    /// `DENIAL_TTL`, then at a target where a request of a lower tier waits, and then at the target
    /// of a request of a lower tier that is refused in its place. A request that was denied because
    /// it can't be answered before its deadline is refused at once, since retries can't help it.
    pub(super) fn refuse_for_lack_of_room(
        &mut self,
        now: Instant,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let denial = self.requests.get(&id).and_then(|pending| pending.last_denial);
        if denial.is_some_and(|denial| denial.reason == Reason::Deadline) {
            return self.refuse_without_room(id, effects);
        }
        if self.forget_old_denials(now, id) {
            return self.reserve_next(now, id, effects);
        }
        let target = self
            .target_with_lower_tier_waiting(id)
            .or_else(|| self.displace_lower_tier(id, effects));
        match target.and_then(|name| self.config.target(&name)).cloned() {
            Some(target) => self.reserve(now, id, &target, effects),
            None => self.refuse_without_room(id, effects),
        }
    }

    /// Starts another round: allows targets whose denials are older than `DENIAL_TTL` to be asked
    /// again. Returns whether there is a target to ask. Returns `false` after `MAX_RETRY_ROUNDS`.
    fn forget_old_denials(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        if pending.retry_rounds == MAX_RETRY_ROUNDS {
            return false;
        }
        pending.retry_rounds += 1;
        pending.tried_targets.retain(|_, at| now.saturating_duration_since(*at) < DENIAL_TTL);
        self.requests.get(&id).is_some_and(|pending| self.choose_target(now, pending).is_some())
    }

    /// Returns a target that hasn't been asked and at which this process has a request of a lower
    /// tier waiting. Its agent grants room to the higher tier first, or sheds the lower one.
    fn target_with_lower_tier_waiting(&self, id: RequestId) -> Option<TargetName> {
        let tried = &self.requests.get(&id)?.tried_targets;
        let mut targets =
            self.waiting_lower_tier_requests(id).flat_map(|lowest| self.reserved_targets(lowest));
        targets.find(|name| !tried.contains_key(name.as_str())).cloned()
    }

    /// Refuses the last request in shedding order that waits for the same pool, if its tier is
    /// lower than that of the given request, and returns a target at which it was reserved.
    /// Returns `None` if there is no such request or it had no reservation.
    fn displace_lower_tier(
        &mut self,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<TargetName> {
        let lowest = self.waiting_lower_tier_requests(id).next()?;
        let target = self.reserved_targets(lowest).next().cloned();
        let refusal = Refusal::not_run(Reason::Overloaded, "a higher tier took its place");
        self.refuse(lowest, refusal.retry_after(DEFAULT_RETRY_AFTER), effects);
        target
    }

    /// Returns the requests of lower tiers that wait in this process for the same pool, in the
    /// order in which they are shed.
    fn waiting_lower_tier_requests(&self, id: RequestId) -> impl Iterator<Item = RequestId> {
        let pending = self.requests.get(&id);
        let rank = pending.map(|pending| pending.rank);
        let lower = self.waiting.iter().rev().take_while(move |order| Some(order.rank) > rank);
        let same_pool = move |order: &&super::ShedOrder| {
            let other = self.requests.get(&order.request);
            other.map(|other| &other.pool) == pending.map(|pending| &pending.pool)
        };
        lower.filter(same_pool).map(|order| order.request)
    }

    /// Returns the targets at which a request has open reservations.
    fn reserved_targets(&self, id: RequestId) -> impl Iterator<Item = &TargetName> {
        self.requests.get(&id).into_iter().flat_map(|pending| pending.reservations.values())
    }

    /// Refuses a request with the reason and retry delay of its last denial, or with
    /// [`Reason::NoTarget`] if no agent denied it.
    fn refuse_without_room(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let denial = self.requests.get(&id).and_then(|pending| pending.last_denial);
        let refusal = match denial {
            None => Refusal::not_run(Reason::NoTarget, "no target of the pool can be reached")
                .retry_after(DEFAULT_RETRY_AFTER),
            Some(denial) => Refusal::not_run(denial.reason, "no target of the pool has room")
                .retry_after(denial.retry_after),
        };
        self.refuse(id, refusal, effects);
    }
}
