//! Histograms by client account, for a bounded number of accounts.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use model::id::AccountName;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, histogram::Histogram},
    registry::Registry,
};

use crate::buckets::histogram;

/// Label of the client accounts beyond the tracked ones.
pub const OTHER: &str = "other";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Account {
    account: AccountName,
}

/// Times by client account; every method may be called from any thread.
#[derive(Debug)]
pub struct Accounts {
    times: Family<Account, Histogram>,
    limit: usize,
    /// Accounts with a label of their own; never more than `limit`.
    tracked: Mutex<BTreeSet<AccountName>>,
}

/// Registers a family in which the first `limit` accounts get labels of their own.
pub fn register(registry: &mut Registry, name: &str, help: &str, limit: usize) -> Accounts {
    let times = Family::new_with_constructor(histogram as fn() -> Histogram);
    registry.register(name, help, times.clone());
    Accounts { times, limit, tracked: Mutex::default() }
}

impl Accounts {
    /// Counts one time.
    pub fn observe(&self, account: &str, time: Duration) {
        let account = Account { account: self.track(account) };
        self.times.get_or_create(&account).observe(time.as_secs_f64());
    }

    fn track(&self, account: &str) -> AccountName {
        let mut tracked = self.tracked.lock().unwrap_or_else(PoisonError::into_inner);
        if tracked.contains(account) {
            return account.to_owned();
        }
        if tracked.len() >= self.limit {
            return OTHER.to_owned();
        }
        tracked.insert(account.to_owned());
        account.to_owned()
    }
}
