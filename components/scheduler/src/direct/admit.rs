//! Admission of requests: routing, authentication, and units of the accounts' limits.

use std::time::Duration;

use model::id::AccountName;

use super::{
    DEFAULT_TIMEOUT, MAX_WAIT_FLOOR, MAX_WAIT_SHARE, NOT_READY_RETRY_AFTER, PROMOTION_SHARE, State,
    copies,
    event::{Effect, Now, Refusal, RefusalContext, RefusalReason, Request},
    origin::{self, Origin},
    pending::{PendingRequest, RetryCharge, Stage},
    plan::Configuration,
    refusal,
    returns::Standing,
    screen,
};

impl State {
    /// Handles a request that arrived whole: queues it, or refuses it with the reason.
    pub(super) fn handle_arrival(&mut self, now: Now, request: Request, effects: &mut Vec<Effect>) {
        let ticket = request.ticket;
        let mut context = Box::<RefusalContext>::default();
        let request = screen::limit_parts(request);
        match self.admit(now, request, &mut context) {
            Ok(pending) => {
                self.requests.insert(ticket, pending);
                self.enqueue(ticket);
                self.refuse_if_units_too_late(now.steady, ticket, effects);
                self.start_lookup(now.steady, ticket, effects);
                self.expect_return(now.steady, ticket);
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
    ) -> Result<PendingRequest, Refusal> {
        let configuration = self
            .configuration
            .clone()
            .ok_or(refusal(RefusalReason::NotReady).with_retry_after(NOT_READY_RETRY_AFTER))?;
        // A stale configuration may lack a route that exists by now.
        let no_route_reason =
            if self.is_fresh { RefusalReason::NoRoute } else { RefusalReason::NotReady };
        let route =
            configuration.route(&request.host, &request.path).ok_or(refusal(no_route_reason))?;
        context.route.clone_from(&route.name);
        context.tier = Some(route.rank);
        context.expected_tokens = request.expected_tokens;
        let account =
            self.authenticate(&configuration, route.is_public, request.api_key.as_deref())?;
        context.account.clone_from(&account);
        let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        if self.drain_end.is_some_and(|end| now.steady + timeout > end) {
            return Err(refusal(RefusalReason::Draining).with_retry_after(Duration::ZERO));
        }
        let pool = route.pool(request.spread).ok_or(refusal(RefusalReason::NoRoute))?.clone();
        let is_refused = self.is_quarantined(&request.fingerprint)
            || self.are_parts_refused(now.steady, &pool, &request.shared_parts);
        if is_refused {
            return Err(refusal(RefusalReason::Quarantined));
        }
        let account_settings = account.as_ref().and_then(|name| configuration.accounts.get(name));
        let (mut units, mut stage) = (0.0, Stage::WaitingForSlot);
        let limit = account_settings.and_then(|account| account.limit);
        if let (Some(name), Some(limit)) = (&account, limit) {
            let unit_request = State::unit_request(&limit, route.rank, &request);
            (units, stage) = (unit_request.units, Stage::WaitingForUnits(unit_request));
            self.allowance(name).record_request(unit_request);
        }
        self.count_for_retry_budget(now.steady, &pool);
        let share = self.share(&configuration, &pool, account.as_deref());
        let stream_key = origin::stream_key(account.as_deref(), &pool, &request);
        let max_wait =
            timeout.min(MAX_WAIT_FLOOR.max(route.target_latency.mul_f64(MAX_WAIT_SHARE)));
        // A part of a resumed stream is worth nothing without the rest, however late that comes.
        let origin = Origin::of_arrival(&request, route.is_stream, route.repeat);
        let wait_deadline = now.steady + if origin.is_unknown() { timeout } else { max_wait };
        Ok(PendingRequest {
            account_rank: account_settings.map_or(0, |account| account.rank),
            lowest_account_rank: self.lowest_account_rank,
            tier: route.rank,
            promote_at: now.steady + max_wait.mul_f64(PROMOTION_SHARE),
            is_promoted: false,
            is_late: false,
            next_check_at: now.steady,
            arrived: now.steady,
            deadline: now.steady + timeout,
            wait_deadline,
            units,
            route: route.name.clone(),
            account,
            share,
            pool,
            retry_policy: route.repeat,
            is_stream: route.is_stream,
            max_attempts: route.max_attempts,
            dispatches: 0,
            charge: RetryCharge::Nothing,
            may_have_run: false,
            has_begun: false,
            origin,
            has_first_event: false,
            stream_key,
            homes: Vec::new(),
            has_failed_answer: false,
            possibly_ran_at: Vec::new(),
            rejected_by: Vec::new(),
            reservations: Vec::new(),
            reservation_count: 0,
            next_reservation_at: now.steady,
            trial: None,
            is_selected_for_rollout: None,
            standing: Standing::default(),
            copies: copies::Progress::default(),
            stage,
            request,
        })
    }

    /// Returns the account that an API key belongs to; `None` where the route is public or no accounts
    /// are configured. While the configuration may be out of date, a key is neither accepted nor
    /// rejected, since the configuration may lack it or still have it.
    fn authenticate(
        &self,
        configuration: &Configuration,
        public: bool,
        key: Option<&str>,
    ) -> Result<Option<AccountName>, Refusal> {
        if public || configuration.accounts.is_empty() {
            return Ok(None);
        }
        if !self.is_fresh {
            return Err(refusal(RefusalReason::NotReady).with_retry_after(NOT_READY_RETRY_AFTER));
        }
        let account = key.and_then(|key| configuration.keys.get(key));
        account.cloned().map(Some).ok_or(refusal(RefusalReason::BadKey))
    }
}
