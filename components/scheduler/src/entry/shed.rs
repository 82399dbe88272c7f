//! Which request goes where no target has room: never a higher tier before a lower.

use std::time::Instant;

use model::{
    Refusal,
    id::{RequestId, TargetName},
    refusal::Reason,
};

use super::{DENIAL_LIFE, Effect, RETRY, ROUNDS, State, pending::Order};

impl State {
    /// Refuses a request that no target has room for, unless that would pass over its tier: old
    /// denials are asked again, and then a lower tier that waits here goes first.
    pub(super) fn give_up(&mut self, now: Instant, id: RequestId, effects: &mut Vec<Effect>) {
        if !self.forget_old_denials(now, id) && !self.displace(id, effects) {
            return self.refuse_full(id, effects);
        }
        self.seek(now, id, effects);
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

    /// Sheds the lowest tier that waits here for the same pool, where it is below the request's
    /// own; gives the request another try where that one waited.
    fn displace(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> bool {
        let Some(worst) = self.lowest_below(id) else {
            return false;
        };
        let targets: Vec<TargetName> = match self.requests.get(&worst) {
            Some(pending) => pending.open.values().cloned().collect(),
            None => Vec::new(),
        };
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.tried.retain(|target, _| !targets.contains(target));
        }
        let refusal = Refusal::not_run(Reason::Overloaded, "a higher tier took its place");
        self.refuse(worst, refusal.retry_after(RETRY), effects);
        true
    }

    fn lowest_below(&self, id: RequestId) -> Option<RequestId> {
        let pending = self.requests.get(&id)?;
        let lower = self.waiting.iter().rev().take_while(|order| order.rank > pending.rank);
        let same_pool = |order: &&Order| {
            self.requests.get(&order.request).is_some_and(|other| other.pool == pending.pool)
        };
        lower.filter(same_pool).map(|order| order.request).next()
    }
}
