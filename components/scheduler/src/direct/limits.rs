//! Requests that wait for their account's limit.
//!
//! Buckets are nearly empty where a process starts, since nobody knows what was let through before,
//! and fill at the account's rate, so what is asked then lacks tenths of a second. A caller that was
//! refused for that came back late; one whose units come within a part of its wait is kept, and is on time.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::id::AccountName;

use super::{
    LIMIT_RETRY_MAX, LIMIT_WAIT_PART, State,
    allowance::{self, Claim, Share},
    event::{Effect, Lack, Reason, Refusal, Request, Ticket},
    pending::{Pending, Stage},
    plan, refuse,
};

impl State {
    /// What a request asks of its account's limit.
    pub(super) fn claim(limit: &plan::Limit, rank: u32, request: &Request) -> Claim {
        let tokens =
            request.tokens.map(|tokens| f64::from(tokens.prompt) + f64::from(tokens.output));
        let units = if limit.tokens { tokens.unwrap_or(limit.plain) } else { 1.0 };
        let sized = tokens.is_some();
        // Calls of plain services are too small to make room for others.
        Claim { units, rank: if sized { rank } else { 0 }, sized }
    }

    /// Lets requests through that waited for their accounts' limits, in their order.
    pub(super) fn grant(&mut self, now: Instant) {
        if self.next_grant.is_some_and(|at| at > now) {
            return;
        }
        self.next_grant = None;
        for (account, queue) in std::mem::take(&mut self.limited) {
            let mut blocked = false;
            let mut rest = BTreeSet::new();
            for order in queue {
                let Some(claim) = self.limit_claim(order.ticket) else {
                    continue;
                };
                // What one lacks that says its size isn't taken by those behind it that do.
                if blocked && claim.sized {
                    rest.insert(order);
                    continue;
                }
                match self.spend(now, &account, claim) {
                    Ok(()) => self.let_through(order.ticket),
                    Err(lack) => {
                        let at = now + time(&lack, lack.units);
                        self.next_grant = Some(self.next_grant.map_or(at, |known| known.min(at)));
                        blocked |= claim.sized;
                        rest.insert(order);
                    }
                }
            }
            if !rest.is_empty() {
                self.limited.insert(account, rest);
            }
        }
    }

    /// Refuses a request whose units come too late for it.
    pub(super) fn refuse_hopeless(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some((lack, wait)) = self.limit_wait(now, ticket) else {
            return;
        };
        let latest = |known: &Pending| {
            let whole = known.give_up.saturating_duration_since(known.arrived);
            known.arrived + whole.mul_f64(LIMIT_WAIT_PART)
        };
        let hopeless = self.requests.get(&ticket).is_some_and(|known| now + wait > latest(known));
        if hopeless {
            self.refuse_limited(now, ticket, lack, wait, effects);
        }
    }

    /// Refuses a request for which its account's limit had no units in time.
    pub(super) fn refuse_limited(
        &mut self,
        now: Instant,
        ticket: Ticket,
        lack: Lack,
        wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let grounds = Box::new(self.grounds(now, ticket));
        self.remove(ticket, effects);
        let refusal = Refusal { lack: Some(lack), ..refuse(Reason::Limit).after(wait) };
        effects.push(Effect::Refuse { ticket, refusal, grounds });
    }

    /// What the limit lacks for a request that waits for it, and how long that takes with those
    /// before it.
    pub(super) fn limit_wait(&self, now: Instant, ticket: Ticket) -> Option<(Lack, Duration)> {
        let claim = self.limit_claim(ticket)?;
        let pending = self.requests.get(&ticket)?;
        let account = pending.account.as_ref()?;
        let (limit, share) = self.limit(account)?;
        let before = self.limited.get(account)?.range(..pending.order());
        let before = before.filter_map(|order| self.limit_claim(order.ticket));
        let before: f64 = before.filter(|_| claim.sized).map(|before| before.units).sum();
        let lack = self.accounts.get(account)?.lack(now, &limit, share, claim);
        Some((lack, time(&lack, lack.units + before)))
    }

    fn limit(&self, account: &AccountName) -> Option<(plan::Limit, Share)> {
        let limit = self.plan.as_ref()?.accounts.get(account)?.limit?;
        let (among, heard, together) = (self.place.among, self.heard, self.together);
        Some((limit, Share { among, heard, together, tolerance: self.settings.tolerance }))
    }

    /// Takes units of an account's limit.
    fn spend(&mut self, now: Instant, account: &AccountName, claim: Claim) -> Result<(), Lack> {
        // A limit that was lifted meanwhile lacks nothing.
        let Some((limit, share)) = self.limit(account) else {
            return Ok(());
        };
        let opened = self.opened;
        let usage = self.accounts.entry(account.clone());
        usage.or_insert_with(|| allowance::open(opened)).take(now, &limit, share, claim)
    }

    fn limit_claim(&self, ticket: Ticket) -> Option<Claim> {
        match self.requests.get(&ticket)?.stage {
            Stage::Limited(claim) => Some(claim),
            _ => None,
        }
    }

    fn let_through(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.stage = Stage::Waiting;
        }
        self.enqueue(ticket);
    }
}

fn time(lack: &Lack, units: f64) -> Duration {
    Duration::from_secs_f64(((units - lack.left) / lack.rate).clamp(0.0, LIMIT_RETRY_MAX))
}
