//! Which requests are taken, and what they take of their accounts' limits.

use std::time::Duration;

use model::id::AccountName;

use super::{
    PATIENCE, PROMOTE_PART, RETRY, State, WAIT_MIN, WAIT_PART, allowance,
    event::{Effect, Grounds, Now, Reason, Refusal, Request},
    pending::{Charge, Pending, Stage},
    plan::Plan,
    refuse,
};

impl State {
    pub(super) fn arrive(&mut self, now: Now, request: Request, effects: &mut Vec<Effect>) {
        let ticket = request.ticket;
        let mut grounds = Box::<Grounds>::default();
        match self.admit(now, request, &mut grounds) {
            Ok(pending) => {
                self.requests.insert(ticket, pending);
                self.enqueue(ticket);
                self.refuse_hopeless(now.steady, ticket, effects);
            }
            Err(refusal) => effects.push(Effect::Refuse { ticket, refusal, grounds }),
        }
    }

    fn admit(
        &mut self,
        now: Now,
        request: Request,
        grounds: &mut Grounds,
    ) -> Result<Pending, Refusal> {
        let plan = self.plan.clone().ok_or(refuse(Reason::NotReady).after(RETRY))?;
        // A configuration that may be out of date may lack the route or the key.
        let no_route = if self.fresh { Reason::NoRoute } else { Reason::NotReady };
        let route = plan.route(&request.host, &request.path).ok_or(refuse(no_route))?;
        grounds.route.clone_from(&route.name);
        grounds.tier = Some(route.rank);
        grounds.expected = request.expected;
        let account = self.authenticate(&plan, route.public, request.key.as_deref())?;
        grounds.account.clone_from(&account);
        let patience = request.patience.unwrap_or(PATIENCE).min(route.timeout);
        if self.draining.is_some_and(|end| now.steady + patience > end) {
            return Err(refuse(Reason::Draining).after(Duration::ZERO));
        }
        let pool = route.pool(request.draw).ok_or(refuse(Reason::NoRoute))?.clone();
        if self.is_quarantined(&request.fingerprint) {
            return Err(refuse(Reason::Quarantined));
        }
        let held = account.as_ref().and_then(|name| plan.accounts.get(name));
        let (mut units, mut stage) = (0.0, Stage::Waiting);
        if let (Some(name), Some(limit)) = (&account, held.and_then(|account| account.limit)) {
            let claim = State::claim(&limit, route.rank, &request);
            (units, stage) = (claim.units, Stage::Limited(claim));
            let opened = self.opened;
            let usage = self.accounts.entry(name.clone());
            usage.or_insert_with(|| allowance::open(opened)).ask(claim);
        }
        self.earn(now.steady, &pool);
        let wait = patience.min(WAIT_MIN.max(route.aim.mul_f64(WAIT_PART)));
        Ok(Pending {
            account_rank: held.map_or(0, |account| account.rank),
            lowest_account: self.lowest_account,
            tier: route.rank,
            promote: now.steady + wait.mul_f64(PROMOTE_PART),
            promoted: false,
            arrived: now.steady,
            until: now.steady + patience,
            give_up: now.steady + wait,
            units,
            route: route.name.clone(),
            account,
            pool,
            repeat: route.repeat,
            stream: route.stream,
            attempts: route.attempts,
            dispatches: 0,
            charge: Charge::Free,
            ran: false,
            begun: false,
            failed: false,
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
            return Err(refuse(Reason::NotReady).after(RETRY));
        }
        let account = key.and_then(|key| plan.keys.get(key));
        account.cloned().map(Some).ok_or(refuse(Reason::BadKey))
    }
}
