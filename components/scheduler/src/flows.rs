//! Start-time fair queueing: which of several accounts that wait for the same slots gets the next one.
//!
//! Each account has a counter for each rank: its granted work divided by its weight. Of the accounts that wait, the one
//! with the lowest counter goes first. What an account leaves unused goes to the others. An account that was idle starts
//! a few requests behind the virtual time of its rank at most: idleness earns it a short burst and nothing more. Each
//! operation takes logarithmic time in the number of accounts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, btree_map, btree_set},
    iter::Peekable,
};

use model::{id::AccountHash, reservation::Share};

/// Weight of an account without a limit, and of one whose limit is the median of all.
pub const UNIT_WEIGHT: u32 = 1 << 8;
/// Highest weight of an account; higher ones count as this one.
pub const MAX_WEIGHT: u32 = 1 << 16;
/// Cost of one token to an account with the weight 1.
const TOKEN_COST: u64 = MAX_WEIGHT as u64;
/// Burst of an account that was idle, in requests like the one that ends its idleness. The requests of an account that
/// uses half of its share come at random times: with this burst fewer than one in a hundred waits for other accounts.
const BURST_REQUESTS: u64 = 8;
/// Maximum burst of an account that was idle, so that a single large request doesn't earn it many small ones.
const MAX_BURST: u64 = 32_768 * TOKEN_COST / UNIT_WEIGHT as u64;
/// Maximum number of accounts of a rank whose counters are kept although they don't wait. Of more accounts, those that
/// have used their bursts least are forgotten.
const MAX_IDLE: usize = 1_024;

/// Work divided by weight, in units of [`TOKEN_COST`].
pub type Counter = u128;

/// Accounts that wait, by rank. `R` is the type of a rank, `K` that of a sort key within an account's queue.
#[derive(Clone, Debug)]
pub struct Flows<R, K> {
    /// Ranks with an account that waits or has used its burst.
    ranks: BTreeMap<R, Clock<K>>,
    /// Number of requests that wait, over all ranks.
    waiting_count: usize,
}

impl<R, K> Default for Flows<R, K> {
    fn default() -> Flows<R, K> {
        Flows { ranks: BTreeMap::new(), waiting_count: 0 }
    }
}

/// Accounts of one rank.
#[derive(Clone, Debug)]
struct Clock<K> {
    /// Highest counter that an account had when it was chosen for a grant; never decreases.
    virtual_time: Counter,
    accounts: BTreeMap<AccountHash, Flow<K>>,
    /// One entry for each account that waits.
    heads: BTreeSet<Head<K>>,
    /// Counters that accounts will have once all that waits was granted; one entry for each account that waits.
    tails: BTreeSet<(Counter, AccountHash)>,
    /// Counters of accounts that don't wait; all are less than [`MAX_BURST`] behind `virtual_time`.
    idle: BTreeSet<(Counter, AccountHash)>,
}

/// One account of a rank.
#[derive(Clone, Debug)]
struct Flow<K> {
    /// Granted work divided by the weight.
    counter: Counter,
    /// What waits, with its cost.
    waiting: BTreeMap<K, u64>,
    /// Sum of the costs in `waiting`.
    waiting_cost: Counter,
}

/// An account that waits; the lowest goes first. Of equal counters the lower sort key goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Head<K> {
    counter: Counter,
    key: K,
    account: AccountHash,
}

/// Returns the cost of a request with this many tokens to an account. A request without tokens costs as much as one
/// token.
pub fn cost(tokens: u64, weight: u32) -> u64 {
    tokens.max(1).saturating_mul(TOKEN_COST) / u64::from(weight.clamp(1, MAX_WEIGHT))
}

/// Returns the number of tokens that a cost has for an account with [`UNIT_WEIGHT`].
fn tokens(cost: Counter) -> i64 {
    (cost * Counter::from(UNIT_WEIGHT) / Counter::from(TOKEN_COST)).try_into().unwrap_or(i64::MAX)
}

/// Returns the cost of a request of an account that has a share.
pub fn share_cost(share: Share, tokens: u64) -> u64 {
    cost(tokens, share.weight)
}

impl<R: Copy + Ord, K: Copy + Ord> Flows<R, K> {
    /// Adds a request with a sort key to the queue of its account.
    pub fn push(&mut self, rank: R, account: AccountHash, key: K, cost: u64) {
        self.change(rank, account, |flow| {
            let replaced = flow.waiting.insert(key, cost).unwrap_or_default();
            flow.waiting_cost += Counter::from(cost);
            flow.waiting_cost -= Counter::from(replaced);
        });
    }

    /// Removes a request from the queue of its account. Does nothing where it isn't there.
    pub fn remove(&mut self, rank: R, account: AccountHash, key: &K) {
        self.change(rank, account, |flow| {
            let cost = flow.waiting.remove(key).unwrap_or_default();
            flow.waiting_cost -= Counter::from(cost);
        });
    }

    /// Charges an account for work that was granted to it, and advances the virtual time to the counter that the account
    /// had before. Returns how far that counter was ahead of the virtual time, or behind it if negative, in tokens of
    /// an account with [`UNIT_WEIGHT`].
    pub fn charge(&mut self, rank: R, account: AccountHash, cost: u64) -> i64 {
        let mut lead = 0;
        if let Some(clock) = self.ranks.get_mut(&rank)
            && let Some(flow) = clock.accounts.get(&account)
        {
            let distance = tokens(flow.counter.abs_diff(clock.virtual_time));
            lead = if flow.counter < clock.virtual_time { -distance } else { distance };
            clock.virtual_time = clock.virtual_time.max(flow.counter);
        }
        self.change(rank, account, |flow| flow.counter += Counter::from(cost));
        lead
    }

    /// Charges an account for work that was granted elsewhere, up to a maximum lead over the virtual time.
    pub fn charge_elsewhere(&mut self, rank: R, account: AccountHash, cost: u64, max_lead: u64) {
        let Some(clock) = self.ranks.get(&rank) else {
            return;
        };
        let highest = clock.virtual_time + Counter::from(max_lead);
        self.change(rank, account, |flow| {
            flow.counter = flow.counter.max((flow.counter + Counter::from(cost)).min(highest));
        });
    }

    /// Returns the cost of work that was granted and never started to its account.
    pub fn give_back(&mut self, rank: R, account: AccountHash, cost: u64) {
        self.change(rank, account, |flow| {
            flow.counter = flow.counter.saturating_sub(cost.into());
        });
    }

    /// Returns the sort key of the request of a rank that goes first; `None` where none waits.
    pub fn first(&self, rank: R) -> Option<K> {
        self.ranks.get(&rank)?.heads.first().map(|head| head.key)
    }

    /// Returns the sort key of the request of a rank that goes last: the last one of the account that waits for the most
    /// work beyond what it got.
    pub fn last(&self, rank: R) -> Option<K> {
        let clock = self.ranks.get(&rank)?;
        let (_, account) = clock.tails.last()?;
        clock.accounts.get(account)?.waiting.last_key_value().map(|(key, _)| *key)
    }

    /// Returns an iterator over the sort keys of all that wait, in the order in which they go if each is granted.
    pub fn iter(&self) -> impl Iterator<Item = K> {
        self.ranks.values().flat_map(Clock::iter)
    }

    /// Returns the number of requests that wait, over all ranks.
    pub fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Returns the number of accounts that wait or have used their burst, over all ranks.
    pub fn account_count(&self) -> usize {
        self.ranks.values().map(|clock| clock.accounts.len()).sum()
    }

    /// Changes an account and keeps the sorted sets of its rank up to date.
    fn change(&mut self, rank: R, account: AccountHash, change: impl FnOnce(&mut Flow<K>)) {
        let clock = self.ranks.entry(rank).or_insert_with(Clock::new);
        let mut flow = clock.take(account);
        let (was_idle, waiting_before) = (flow.waiting.is_empty(), flow.waiting.len());
        change(&mut flow);
        self.waiting_count = self.waiting_count + flow.waiting.len() - waiting_before;
        if let Some(cost) = flow.waiting.values().next().filter(|_| was_idle) {
            let burst = cost.saturating_mul(BURST_REQUESTS).min(MAX_BURST);
            flow.counter = flow.counter.max(clock.virtual_time.saturating_sub(burst.into()));
        }
        clock.put(account, flow);
        if clock.accounts.is_empty() {
            self.ranks.remove(&rank);
        }
    }
}

impl<K: Copy + Ord> Clock<K> {
    fn new() -> Clock<K> {
        Clock {
            virtual_time: 0,
            accounts: BTreeMap::new(),
            heads: BTreeSet::new(),
            tails: BTreeSet::new(),
            idle: BTreeSet::new(),
        }
    }

    /// Returns the counter up to which accounts that don't wait are forgotten.
    fn oldest(&self) -> Counter {
        self.virtual_time.saturating_sub(MAX_BURST.into())
    }

    /// Removes and returns an account; one that isn't known has all of its burst left.
    fn take(&mut self, account: AccountHash) -> Flow<K> {
        let Some(flow) = self.accounts.remove(&account) else {
            let counter = self.oldest();
            return Flow { counter, waiting: BTreeMap::new(), waiting_cost: 0 };
        };
        if let Some(head) = flow.head(account) {
            self.heads.remove(&head);
            self.tails.remove(&flow.tail(account));
        } else {
            self.idle.remove(&(flow.counter, account));
        }
        flow
    }

    /// Adds an account, unless it neither waits nor has used any of its burst.
    fn put(&mut self, account: AccountHash, flow: Flow<K>) {
        if let Some(head) = flow.head(account) {
            self.heads.insert(head);
            self.tails.insert(flow.tail(account));
            self.accounts.insert(account, flow);
        } else if flow.counter > self.oldest() {
            self.idle.insert((flow.counter, account));
            self.accounts.insert(account, flow);
        }
        while let Some(&(counter, idle)) = self.idle.first() {
            if counter > self.oldest() && self.idle.len() <= MAX_IDLE {
                break;
            }
            self.idle.pop_first();
            self.accounts.remove(&idle);
        }
    }

    /// Returns an iterator over the sort keys of the rank in the order in which they go if each is granted. Its start
    /// takes constant time, and each step logarithmic time.
    fn iter(&self) -> impl Iterator<Item = K> {
        let mut heads: Peekable<btree_set::Iter<'_, Head<K>>> = self.heads.iter().peekable();
        let mut rests: BTreeMap<AccountHash, btree_map::Iter<'_, K, u64>> = BTreeMap::new();
        let mut following: BinaryHeap<Reverse<(Head<K>, u64)>> = BinaryHeap::new();
        std::iter::from_fn(move || {
            let follows = following.peek().map(|Reverse((head, _))| *head);
            let is_head_next = match (heads.peek(), follows) {
                (Some(head), Some(follows)) => **head < follows,
                (head, _) => head.is_some(),
            };
            let (head, cost) = if is_head_next {
                let head = *heads.next()?;
                let mut rest = self.accounts.get(&head.account)?.waiting.iter();
                let (_, cost) = rest.next()?;
                rests.insert(head.account, rest);
                (head, *cost)
            } else {
                following.pop()?.0
            };
            if let Some((key, next_cost)) = rests.get_mut(&head.account).and_then(Iterator::next) {
                let counter = head.counter + Counter::from(cost);
                following.push(Reverse((Head { counter, key: *key, ..head }, *next_cost)));
            }
            Some(head.key)
        })
    }
}

impl<K: Copy + Ord> Flow<K> {
    /// Returns the entry of the account among those that wait; `None` where it doesn't wait.
    fn head(&self, account: AccountHash) -> Option<Head<K>> {
        let (key, _) = self.waiting.first_key_value()?;
        Some(Head { counter: self.counter, key: *key, account })
    }

    /// Returns the counter that the account will have once all that waits was granted.
    fn tail(&self, account: AccountHash) -> (Counter, AccountHash) {
        (self.counter + self.waiting_cost, account)
    }
}
