//! Which requests are taken, and what they take of their accounts' limits.

use std::time::{Duration, Instant};

use model::id::AccountName;

use super::{
    LIMIT_RETRY_MAX, PATIENCE, PRESS_PART, RETRY, State, WAIT_MIN, WAIT_PART, allowance,
    allowance::Share,
    event::{Effect, Now, Reason, Refusal, Request},
    pending::{Pending, Stage},
    plan,
    plan::Plan,
    refuse,
};

impl State {
    pub(super) fn arrive(&mut self, now: Now, request: Request, effects: &mut Vec<Effect>) {
        let ticket = request.ticket;
        match self.admit(now, request) {
            Ok(pending) => {
                self.requests.insert(ticket, pending);
                self.enqueue(ticket);
            }
            Err(refusal) => effects.push(Effect::Refuse { ticket, refusal }),
        }
    }

    pub(super) fn admit(&mut self, now: Now, request: Request) -> Result<Pending, Refusal> {
        let plan = self.plan.clone().ok_or(refuse(Reason::NotReady).after(RETRY))?;
        // A configuration that may be out of date may lack the route or the key.
        let no_route = if self.fresh { Reason::NoRoute } else { Reason::NotReady };
        let route = plan.route(&request.host, &request.path).ok_or(refuse(no_route))?;
        let account = self.authenticate(&plan, route.public, request.key.as_deref())?;
        let patience = request.patience.unwrap_or(PATIENCE).min(route.timeout);
        if self.draining.is_some_and(|end| now.steady + patience > end) {
            return Err(refuse(Reason::Draining).after(Duration::ZERO));
        }
        let pool = route.pool(request.draw).ok_or(refuse(Reason::NoRoute))?.clone();
        if self.is_quarantined(&request.fingerprint) {
            return Err(refuse(Reason::Quarantined));
        }
        let held = account.as_ref().and_then(|name| plan.accounts.get(name));
        let units = match (&account, held.and_then(|account| account.limit)) {
            (Some(name), Some(limit)) => {
                self.spend(now.steady, name, &limit, route.rank, &request)?
            }
            _ => 0.0,
        };
        self.budgets.entry(pool.clone()).or_default().asked(now.steady, &self.settings.repeats);
        let wait = patience.min(WAIT_MIN.max(route.aim.mul_f64(WAIT_PART)));
        Ok(Pending {
            account_rank: held.map_or(0, |account| account.rank),
            lowest_account: self.lowest_account,
            tier: route.rank,
            press: now.steady + wait.mul_f64(PRESS_PART),
            pressed: false,
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
            ran: false,
            begun: false,
            tried: Vec::new(),
            stage: Stage::Waiting,
            request,
        })
    }

    pub(super) fn authenticate(
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

    pub(super) fn spend(
        &mut self,
        now: Instant,
        name: &AccountName,
        limit: &plan::Limit,
        rank: u32,
        request: &Request,
    ) -> Result<f64, Refusal> {
        let tokens =
            request.tokens.map(|tokens| f64::from(tokens.prompt) + f64::from(tokens.output));
        let units = if limit.tokens { tokens.unwrap_or(limit.plain) } else { 1.0 };
        // Calls of plain services are too small to make room for others.
        let rank = if tokens.is_some() { rank } else { 0 };
        let tolerance = self.settings.tolerance;
        let share = Share { among: self.place.among, together: self.together, tolerance };
        let opened = self.opened;
        let usage = self.accounts.entry(name.clone()).or_insert_with(|| allowance::open(opened));
        match usage.take(now, limit, share, rank, units) {
            Ok(()) => Ok(units),
            Err(lack) => {
                let wait = ((lack.units - lack.left) / lack.rate).clamp(0.0, LIMIT_RETRY_MAX);
                let refusal = refuse(Reason::Limit).after(Duration::from_secs_f64(wait));
                Err(Refusal { lack: Some(lack), ..refusal })
            }
        }
    }
}
