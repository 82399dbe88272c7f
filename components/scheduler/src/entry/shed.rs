//! Which waiting request is refused where there is no room, so that no tier goes before a lower.

use std::time::Instant;

use model::{
    Refusal,
    id::{RequestId, TargetName},
    refusal::Reason,
};

use super::{DENIAL_LIFE, Effect, RETRY, ROUNDS, State};

impl State {
    /// Refuses the request that is worth least: the lowest tier, there the latest deadline.
    pub(super) fn shed(&mut self, effects: &mut Vec<Effect>) {
        let Some(worst) = self.waiting.last().copied() else {
            return;
        };
        let refusal = Refusal::not_run(Reason::Overloaded, "too many requests wait here");
        self.refuse(worst.request, refusal.retry_after(RETRY), effects);
    }

    /// Refuses a request that no target has room for, unless that would pass over its tier: old
    /// denials are asked again, then the targets where a lower tier waits, and then a lower tier
    /// goes first. One that its targets called hopeless gains nothing by that.
    pub(super) fn give_up(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        let denial = self.requests.get(&id).and_then(|pending| pending.denial);
        if denial.is_some_and(|denial| denial.reason == Reason::Deadline) {
            return self.refuse_full(id, effects);
        }
        if self.forget_old_denials(now, id) {
            return self.seek(now, id, effects);
        }
        let place = self.place_of_lower(id).or_else(|| self.displace(id, effects));
        match place.and_then(|name| self.config.target(&name)).cloned() {
            Some(target) => self.reserve(now, id, &target, effects),
            None => self.refuse_full(id, effects),
        }
    }

    /// Says whether there is a target to ask again.
    fn forget_old_denials(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        if pending.rounds == ROUNDS {
            return false;
        }
        pending.rounds += 1;
        pending.tried.retain(|_, at| now.saturating_duration_since(*at) < DENIAL_LIFE);
        self.requests.get(&id).is_some_and(|pending| self.choose(now, pending).is_some())
    }

    /// A target that wasn't asked and where a lower tier waits: its agent gives a higher one the
    /// room, or sheds the lower there.
    fn place_of_lower(&self, id: RequestId) -> Option<TargetName> {
        let tried = &self.requests.get(&id)?.tried;
        let mut places = self.lower_than(id).flat_map(|worst| self.places(worst));
        places.find(|name| !tried.contains_key(name.as_str())).cloned()
    }

    /// Sheds the lowest tier that waits here for the same pool, where it is below the request's
    /// own; gives the place where it waited.
    fn displace(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<TargetName> {
        let worst = self.lower_than(id).next()?;
        let place = self.places(worst).next().cloned();
        let refusal = Refusal::not_run(Reason::Overloaded, "a higher tier took its place");
        self.refuse(worst, refusal.retry_after(RETRY), effects);
        place
    }

    /// Requests of lower tiers that wait here for the same pool, the worst first.
    fn lower_than(&self, id: RequestId) -> impl Iterator<Item = RequestId> {
        let pending = self.requests.get(&id);
        let rank = pending.map(|pending| pending.rank);
        let lower = self.waiting.iter().rev().take_while(move |order| Some(order.rank) > rank);
        let same_pool = move |order: &&super::Order| {
            let other = self.requests.get(&order.request);
            other.map(|other| &other.pool) == pending.map(|pending| &pending.pool)
        };
        lower.filter(same_pool).map(|order| order.request)
    }

    fn places(&self, id: RequestId) -> impl Iterator<Item = &TargetName> {
        self.requests.get(&id).into_iter().flat_map(|pending| pending.open.values())
    }

    fn refuse_full(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let denial = self.requests.get(&id).and_then(|pending| pending.denial);
        let refusal = match denial {
            None => Refusal::not_run(Reason::NoTarget, "no target of the pool can be reached")
                .retry_after(RETRY),
            Some(denial) => Refusal::not_run(denial.reason, "no target of the pool has room")
                .retry_after(denial.retry_after),
        };
        self.refuse(id, refusal, effects);
    }
}
