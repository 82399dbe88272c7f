//! Histograms of times by client account, for a bounded number of accounts.

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

/// Label that all client accounts beyond the limit share.
pub const OTHER: &str = "other";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AccountLabel {
    account: AccountName,
}

/// Family of histograms with one label per client account; every method may be called from any thread.
#[derive(Debug)]
pub struct Accounts {
    times: Family<AccountLabel, Histogram>,
    /// Maximum number of accounts that get a label of their own.
    limit: usize,
    /// Accounts that have a label of their own; at most `limit`.
    labelled: Mutex<BTreeSet<AccountName>>,
}

/// Registers a family in which the first `limit` accounts get labels of their own; all others share the
/// label [`OTHER`].
pub fn register(registry: &mut Registry, name: &str, help: &str, limit: usize) -> Accounts {
    let times = Family::new_with_constructor(histogram as fn() -> Histogram);
    registry.register(name, help, times.clone());
    Accounts { times, limit, labelled: Mutex::default() }
}

impl Accounts {
    /// Adds one time to the histogram of an account.
    pub fn observe(&self, account: &str, time: Duration) {
        let labels = AccountLabel { account: self.label(account) };
        self.times.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Returns the label of an account: its name, or [`OTHER`] once `limit` other accounts have labels.
    fn label(&self, account: &str) -> AccountName {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        if labelled.contains(account) {
            return account.to_owned();
        }
        if labelled.len() >= self.limit {
            return OTHER.to_owned();
        }
        labelled.insert(account.to_owned());
        account.to_owned()
    }
}
