//! Admission of requests: routing, authentication, and claims on account quotas.

use std::time::Duration;

use model::id::AccountName;

use super::{
    PATIENCE, PROMOTE_PART, RETRY, State, WAIT_MIN, WAIT_PART, allowance,
    event::{Effect, Now, Refusal, RefusalContext, RefusalReason, Request},
    pending::{Charge, Pending, Stage},
    plan::Plan,
    refuse,
};

impl State {
    /// Handles a request that arrived whole: queues it, or refuses it with the reason.
    pub(super) fn arrive(&mut self, now: Now, request: Request, effects: &mut Vec<Effect>) {
        let ticket = request.ticket;
        let mut context = Box::<RefusalContext>::default();
        match self.admit(now, request, &mut context) {
            Ok(pending) => {
                self.requests.insert(ticket, pending);
                self.enqueue(ticket);
                self.refuse_hopeless(now.steady, ticket, effects);
            }
            Err(refusal) => effects.push(Effect::Refuse { ticket, refusal, context }),
        }
    }

    /// Returns the request's initial state, or why it is refused. Fills `context`, the log record of a
    /// refusal, with what is known of the request up to that point.
    fn admit(
        &mut self,
        now: Now,
        request: Request,
        context: &mut RefusalContext,
    ) -> Result<Pending, Refusal> {
        let plan = self.plan.clone().ok_or(refuse(RefusalReason::NotReady).after(RETRY))?;
        // A stale configuration may lack a route that exists by now.
        let no_route_reason =
            if self.fresh { RefusalReason::NoRoute } else { RefusalReason::NotReady };
        let route = plan.route(&request.host, &request.path).ok_or(refuse(no_route_reason))?;
        context.route.clone_from(&route.name);
        context.tier = Some(route.rank);
        context.expected_tokens = request.expected_tokens;
        let account = self.authenticate(&plan, route.public, request.api_key.as_deref())?;
        context.account.clone_from(&account);
        let patience = request.timeout.unwrap_or(PATIENCE).min(route.timeout);
        if self.draining.is_some_and(|end| now.steady + patience > end) {
            return Err(refuse(RefusalReason::Draining).after(Duration::ZERO));
        }
        let pool = route.pool(request.spread).ok_or(refuse(RefusalReason::NoRoute))?.clone();
        if self.is_quarantined(&request.fingerprint) {
            return Err(refuse(RefusalReason::Quarantined));
        }
        let account_settings = account.as_ref().and_then(|name| plan.accounts.get(name));
        let (mut units, mut stage) = (0.0, Stage::Waiting);
        let limit = account_settings.and_then(|account| account.limit);
        if let (Some(name), Some(limit)) = (&account, limit) {
            let claim = State::claim(&limit, route.rank, &request);
            (units, stage) = (claim.units, Stage::Limited(claim));
            let opened = self.opened;
            let account_entry = self.accounts.entry(name.clone());
            account_entry.or_insert_with(|| allowance::open(opened)).ask(claim);
        }
        self.count_for_retry_budget(now.steady, &pool);
        let max_wait = patience.min(WAIT_MIN.max(route.aim.mul_f64(WAIT_PART)));
        Ok(Pending {
            account_rank: account_settings.map_or(0, |account| account.rank),
            lowest_account_rank: self.lowest_account,
            tier: route.rank,
            promote: now.steady + max_wait.mul_f64(PROMOTE_PART),
            is_promoted: false,
            arrived: now.steady,
            until: now.steady + patience,
            give_up: now.steady + max_wait,
            units,
            route: route.name.clone(),
            account,
            pool,
            retry_policy: route.repeat,
            is_stream: route.stream,
            attempts: route.attempts,
            dispatches: 0,
            charge: Charge::Free,
            may_have_run: false,
            begun: false,
            has_failed_answer: false,
            tried: Vec::new(),
            rejected: Vec::new(),
            reserved: Vec::new(),
            reservations: 0,
            next_reservation: now.steady,
            chosen: None,
            stage,
            request,
        })
    }

    /// Returns the account that a key belongs to; `None` where the route is public or no accounts are
    /// configured. A stale configuration may lack the key, so that no key is accepted or rejected by it.
    fn authenticate(
        &self,
        plan: &Plan,
        public: bool,
        key: Option<&str>,
    ) -> Result<Option<AccountName>, Refusal> {
        if public || plan.accounts.is_empty() {
            return Ok(None);
        }
        if !self.fresh {
            return Err(refuse(RefusalReason::NotReady).after(RETRY));
        }
        let account = key.and_then(|key| plan.keys.get(key));
        account.cloned().map(Some).ok_or(refuse(RefusalReason::BadKey))
    }
}
