//! Fair shares of a pool: the weight of each account, and the order in which accounts get slots that entry processes
//! share by the rows that they exchange.
//!
//! At targets with an agent the agent counts the work of each account, and reservations tell it the account and the
//! weight. For targets without one this process counts the work that it dispatched itself.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    id::{self, AccountHash, PoolName},
    reservation::Share,
};

use super::{
    State,
    event::{SharedWork, Ticket},
    pending::{PendingRequest, QueueKey, Stage},
    plan::{Configuration, Limit},
};
use crate::flows::{self, Flows, MAX_WEIGHT, UNIT_WEIGHT};

/// Accounts with requests that wait in a pool, by the ranks of their requests.
pub type PoolFlows = Flows<[u32; 3], QueueKey>;

/// Account of begun streams, which are never charged and so go before all others of their rank.
const BEGUN_STREAMS: AccountHash = 0;

/// Medians of the rates of all accounts' limits, to which weights are relative; `None` where no account has such a
/// limit. A median, since one account's limit can't change it much.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weights {
    /// Median of the limits of which a unit is a token.
    token_rate: Option<f64>,
    /// Median of the limits of which a unit is a request.
    request_rate: Option<f64>,
}

/// Returns the medians of a configuration; none where no pool shares by account.
pub fn weights(configuration: &Configuration) -> Weights {
    if !configuration.pools.values().any(|pool| pool.shares_fairly) {
        return Weights::default();
    }
    let median = |counts_tokens: bool| {
        let limits = configuration.accounts.values().filter_map(|account| account.limit);
        let limits = limits.filter(|limit| limit.counts_tokens == counts_tokens);
        let mut rates: Vec<f64> = limits.map(|limit| limit.rate).collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().filter(|rate| *rate > 0.0)
    };
    Weights { token_rate: median(true), request_rate: median(false) }
}

impl Weights {
    /// Returns the weight of an account with this limit.
    pub fn weight(&self, limit: Option<Limit>) -> u32 {
        let relative = limit.and_then(|limit| {
            let median = if limit.counts_tokens { self.token_rate } else { self.request_rate };
            Some(limit.rate / median?)
        });
        let weight = relative.unwrap_or(1.0) * f64::from(UNIT_WEIGHT);
        // A cast of a number that is too large or none gives the nearest bound or 0.
        (weight.round() as u32).clamp(1, MAX_WEIGHT)
    }
}

/// Returns the hash of an account's name.
pub fn account_hash(account: &str) -> AccountHash {
    let [a, b, c, d, e, f, g, h, ..] = id::fingerprint(&[account.as_bytes()]);
    AccountHash::from_be_bytes([a, b, c, d, e, f, g, h])
}

impl PendingRequest {
    /// Returns the share that reservations of the request state. Begun streams have none: their callers lose what they
    /// have if the rest doesn't follow.
    pub(super) fn reservation_share(&self) -> Option<Share> {
        self.share.filter(|_| !self.has_begun)
    }

    /// Returns the work of the request, for the log and the metrics; `None` where accounts don't share its pool.
    pub(super) fn shared_work(&self) -> Option<SharedWork> {
        let Share { weight, .. } = self.share?;
        Some(SharedWork { account_rank: self.account_rank, weight, tokens: self.work() })
    }

    /// Returns the work of the request in tokens.
    fn work(&self) -> u64 {
        let tokens = self.tokens();
        u64::from(tokens.prompt) + u64::from(tokens.max_output)
    }

    /// Returns the account that the request is queued and charged for, and the cost; `None` where accounts don't share
    /// its pool.
    fn queued_share(&self) -> Option<(AccountHash, u64)> {
        let share = self.share?;
        let own = || (share.account, flows::share_cost(share, self.work()));
        Some(if self.has_begun { (BEGUN_STREAMS, 0) } else { own() })
    }
}

impl State {
    /// Returns the share of an account in a pool; `None` where accounts don't share it. Requests without an account
    /// share as one account.
    pub(super) fn share(
        &self,
        configuration: &Configuration,
        pool: &PoolName,
        account: Option<&str>,
    ) -> Option<Share> {
        if !configuration.pool_rules(pool).shares_fairly {
            return None;
        }
        let settings = account.and_then(|name| configuration.accounts.get(name));
        let weight = self.weights.weight(settings.and_then(|account| account.limit));
        Some(Share { account: account_hash(account.unwrap_or_default()), weight })
    }

    /// Adds a request that waits for a slot to those of its account.
    pub(super) fn add_to_share(&mut self, ticket: Ticket) {
        let pending = self.requests.get(&ticket);
        if let Some(pending) = pending.filter(|pending| waits_for_slot(pending))
            && let Some((account, cost)) = pending.queued_share()
        {
            let (key, pool) = (pending.queue_key(), pending.pool.clone());
            self.shares.entry(pool).or_default().push(key.ranks, account, key, cost);
        }
    }

    /// Removes a request from those of its account.
    pub(super) fn remove_from_share(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket)
            && let Some((account, _)) = pending.queued_share()
            && let Some(flows) = self.shares.get_mut(&pending.pool)
        {
            let key = pending.queue_key();
            flows.remove(key.ranks, account, &key);
        }
    }

    /// Charges the account of a request that is dispatched, before the request leaves the queue. A request is charged
    /// once, however often it is dispatched.
    pub(super) fn charge_share(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket).filter(|pending| pending.dispatches == 0)
        {
            charge(&mut self.shares, pending);
        }
    }
}

/// Removes a request that got a slot from those that wait, and charges its account where it is dispatched for the first
/// time.
pub fn settle(
    shares: &mut BTreeMap<PoolName, PoolFlows>,
    pending: &PendingRequest,
    key: &QueueKey,
    is_first: bool,
) {
    if is_first {
        charge(shares, pending);
    }
    if let Some((account, _)) = pending.queued_share()
        && let Some(flows) = shares.get_mut(&pending.pool)
    {
        flows.remove(key.ranks, account, key);
    }
}

/// Returns the sort keys of a pool's queue in the order in which requests get slots: by account where all of them share
/// the pool, otherwise by the keys.
pub fn order<'a>(
    queue: &'a BTreeSet<QueueKey>,
    flows: Option<&'a PoolFlows>,
) -> impl Iterator<Item = QueueKey> + 'a {
    let flows = flows.filter(|flows| flows.waiting_count() == queue.len());
    let keys = flows.is_none().then_some(queue);
    flows.into_iter().flat_map(Flows::iter).chain(keys.into_iter().flatten().copied())
}

fn charge(shares: &mut BTreeMap<PoolName, PoolFlows>, pending: &PendingRequest) {
    if let Some((account, cost)) = pending.queued_share()
        && let Some(flows) = shares.get_mut(&pending.pool)
    {
        flows.charge(pending.queue_key().ranks, account, cost);
    }
}

/// Reports whether a request is in the queue of its pool.
fn waits_for_slot(pending: &PendingRequest) -> bool {
    !matches!(pending.stage, Stage::WaitingForUnits(_))
}
