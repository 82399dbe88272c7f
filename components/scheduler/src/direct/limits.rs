//! Requests that wait for units of their account's limit.
//!
//! When a process starts, its buckets are nearly empty, since the units admitted before aren't known, and
//! fill at the account's rate. A request that arrives then lacks units for tenths of a second. Callers
//! that were refused because of this retried too late. So a request waits if its units become available
//! within a fixed part of its maximum wait; it can then still be answered in time.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::id::AccountName;

use super::{
    LIMIT_RETRY_MAX_S, LIMIT_WAIT_SHARE, State,
    allowance::{self, Allowance, LimitShare, UnitRequest},
    event::{Dispatch, Effect, LimitShortage, Refusal, RefusalReason, Request, Ticket},
    peers::AccountUsage,
    pending::{PendingRequest, Stage},
    plan, refusal,
};

impl State {
    /// Returns the units that a request needs from its account's limit.
    pub(super) fn unit_request(limit: &plan::Limit, rank: u32, request: &Request) -> UnitRequest {
        let tokens =
            request.tokens.map(|tokens| f64::from(tokens.prompt) + f64::from(tokens.max_output));
        let units = if limit.counts_tokens { tokens.unwrap_or(limit.default_units) } else { 1.0 };
        let is_sized = tokens.is_some();
        // Requests to plain services state no tokens and are too small to leave units for higher ranks.
        UnitRequest { units, rank: if is_sized { rank } else { 0 }, is_sized }
    }

    /// Moves requests that waited for their accounts' limits to the queues for targets, in queue order,
    /// as far as units are left.
    pub(super) fn admit_limited(&mut self, now: Instant) {
        if self.next_grant.is_some_and(|at| at > now) {
            return;
        }
        self.next_grant = None;
        for (account, queue) in std::mem::take(&mut self.waiting_for_units) {
            let mut is_blocked = false;
            let mut still_waiting = BTreeSet::new();
            for key in queue {
                let Some(unit_request) = self.awaited_units(key.ticket) else {
                    continue;
                };
                // A request with stated tokens can't overtake another one that lacks units.
                if is_blocked && unit_request.is_sized {
                    still_waiting.insert(key);
                    continue;
                }
                match self.spend(now, &account, unit_request) {
                    Ok(()) => self.queue_for_target(key.ticket),
                    Err(shortage) => {
                        let at = now + refill_time(&shortage, shortage.needed);
                        self.next_grant = Some(self.next_grant.map_or(at, |known| known.min(at)));
                        is_blocked |= unit_request.is_sized;
                        still_waiting.insert(key);
                    }
                }
            }
            if !still_waiting.is_empty() {
                self.waiting_for_units.insert(account, still_waiting);
            }
        }
    }

    /// Refuses a request whose units won't be available within the part of its wait that it may spend
    /// on its account's limit.
    pub(super) fn refuse_if_units_too_late(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some((shortage, wait)) = self.units_wait(now, ticket) else {
            return;
        };
        let latest = |pending: &PendingRequest| {
            let longest_wait = pending.wait_deadline.saturating_duration_since(pending.arrived);
            pending.arrived + longest_wait.mul_f64(LIMIT_WAIT_SHARE)
        };
        let is_too_late =
            self.requests.get(&ticket).is_some_and(|pending| now + wait > latest(pending));
        if is_too_late {
            self.refuse_limited(now, ticket, shortage, wait, effects);
        }
    }

    /// Refuses a request for which its account's limit has no units in time; its caller may retry after
    /// `wait`.
    pub(super) fn refuse_limited(
        &mut self,
        now: Instant,
        ticket: Ticket,
        shortage: LimitShortage,
        wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let context = Box::new(self.refusal_context(now, ticket));
        self.end_request(now, ticket, effects);
        let refusal = Refusal {
            shortage: Some(shortage),
            ..refusal(RefusalReason::AccountLimit).with_retry_after(wait)
        };
        effects.push(Effect::Refuse { ticket, refusal, context });
    }

    /// Returns, for a request that waits for its account's limit, the units that it needs and those that
    /// are left, and the time until it gets them after the requests ahead of it. `None` for any other
    /// request.
    pub(super) fn units_wait(
        &self,
        now: Instant,
        ticket: Ticket,
    ) -> Option<(LimitShortage, Duration)> {
        let unit_request = self.awaited_units(ticket)?;
        let pending = self.requests.get(&ticket)?;
        let account = pending.account.as_ref()?;
        let (limit, share) = self.limit(account)?;
        let ahead = self.waiting_for_units.get(account)?.range(..pending.queue_key());
        let ahead = ahead.filter_map(|key| self.awaited_units(key.ticket));
        let ahead: f64 = ahead.filter(|_| unit_request.is_sized).map(|ahead| ahead.units).sum();
        let shortage = self.accounts.get(account)?.shortage(now, &limit, share, unit_request);
        Some((shortage, refill_time(&shortage, shortage.needed + ahead)))
    }

    /// Returns the use of accounts by this process's own count that changed recently, for its next row.
    pub(super) fn own_usages(&mut self, now: Instant) -> Vec<AccountUsage> {
        let max_idle = self.settings.tolerance.window.max(self.peers.row_lifetime());
        let sequence = self.sequence;
        let usages = self.accounts.iter_mut().filter_map(|(account, usage)| {
            let allowance::Report { count, admitted_units, held_units, units_left } =
                usage.report(now, sequence, max_idle)?;
            let account = account.clone();
            Some(AccountUsage { account, count, admitted_units, held_units, units_left })
        });
        usages.collect()
    }

    /// Returns an account's limit and the parts of it that this process may use; `None` where the account
    /// has no limit.
    fn limit(&self, account: &AccountName) -> Option<(plan::Limit, LimitShare)> {
        let limit = self.configuration.as_ref()?.accounts.get(account)?.limit?;
        let share = LimitShare {
            processes: self.process_index.count,
            known: self.current_processes,
            usable: self.usable_parts,
            tolerance: self.settings.tolerance,
            row_lifetime: self.peers.row_lifetime(),
            leased: self.leased_fractions(account),
        };
        Some((limit, share))
    }

    /// Takes a request's units of an account's limit, or returns the units that it needs and those that
    /// are left.
    fn spend(
        &mut self,
        now: Instant,
        account: &AccountName,
        unit_request: UnitRequest,
    ) -> Result<(), LimitShortage> {
        // The configuration may have removed the limit since the request began to wait.
        let Some((limit, share)) = self.limit(account) else {
            return Ok(());
        };
        self.allowance(account).take(now, &limit, share, unit_request)
    }

    /// Adds the units that became available to an account's buckets. This has to precede each change of its
    /// use: a full bucket would make up for the change by the refill of the time before it.
    pub(super) fn refill_account(&mut self, now: Instant, account: &AccountName) {
        if let Some((limit, share)) = self.limit(account) {
            self.allowance(account).refill(now, &limit, share);
        }
    }

    /// Records that targets get requests of accounts with limits for the first time.
    pub(super) fn use_held_units(&mut self, now: Instant, effects: &[Effect]) {
        for effect in effects {
            let Effect::Dispatch(Dispatch { ticket, account: Some(account), attempt: 1, .. }) =
                effect
            else {
                continue;
            };
            let units = self.requests.get(ticket).map_or(0.0, |pending| pending.units);
            if units > 0.0 {
                self.refill_account(now, account);
                self.allowance(account).use_held(now, units);
            }
        }
    }

    /// Returns the token buckets of an account.
    pub(super) fn allowance(&mut self, account: &AccountName) -> &mut Allowance {
        let started = self.started;
        self.accounts.entry(account.clone()).or_insert_with(|| allowance::open(started))
    }

    /// Returns the units that a request waits for; `None` where it doesn't wait for its account's limit.
    fn awaited_units(&self, ticket: Ticket) -> Option<UnitRequest> {
        match self.requests.get(&ticket)?.stage {
            Stage::WaitingForUnits(unit_request) => Some(unit_request),
            _ => None,
        }
    }

    /// Moves a request that got its units to the queue of its pool, where it waits for a slot.
    fn queue_for_target(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.stage = Stage::WaitingForSlot;
        }
        self.enqueue(ticket);
    }
}

/// Returns the time until a bucket that lacks units holds `units`, at most [`LIMIT_RETRY_MAX_S`] seconds.
fn refill_time(shortage: &LimitShortage, units: f64) -> Duration {
    Duration::from_secs_f64(((units - shortage.left) / shortage.rate).clamp(0.0, LIMIT_RETRY_MAX_S))
}
