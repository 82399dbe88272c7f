//! Metrics of an entry process.

use std::time::Duration;

use model::{id::TierName, refusal::Reason};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    accounts::{self, Accounts},
    buckets::histogram,
};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Tier {
    tier: TierName,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Refused {
    reason: String,
    tier: TierName,
}

type Latency = Family<Tier, Histogram>;

/// Counters and histograms; every method may be called from any thread.
#[derive(Debug)]
pub struct Entry {
    registry: Registry,
    whole_by_tier: Latency,
    first_by_tier: Latency,
    whole_by_account: Accounts,
    refused: Family<Refused, Counter>,
    torn: Family<Tier, Counter>,
    /// Requests between arrival and the end of the answer.
    pub open: Gauge,
    /// Configuration offset that is applied.
    pub offset: Gauge,
}

/// Builds the metrics; at most `tracked_limit` client accounts get labels of their own.
pub fn open(tracked_limit: usize) -> Entry {
    let mut registry = Registry::with_prefix("wagtailhill");
    let account = "Time from arrival to the end of a whole answer, by client account";
    let whole_by_account =
        accounts::register(&mut registry, "account_answer_seconds", account, tracked_limit);
    let metrics = Entry {
        whole_by_tier: Latency::new_with_constructor(histogram),
        first_by_tier: Latency::new_with_constructor(histogram),
        whole_by_account,
        refused: Family::default(),
        torn: Family::default(),
        open: Gauge::default(),
        offset: Gauge::default(),
        registry: Registry::default(),
    };
    let whole = "Time from arrival to the end of a whole answer, by tier";
    registry.register("answer_seconds", whole, metrics.whole_by_tier.clone());
    let first = "Time from arrival to the first byte of the answer, by tier";
    registry.register("first_byte_seconds", first, metrics.first_by_tier.clone());
    registry.register("refusals", "Requests refused, by reason and tier", metrics.refused.clone());
    registry.register("torn_answers", "Answers that ended torn, by tier", metrics.torn.clone());
    registry.register("open_requests", "Requests in progress or waiting", metrics.open.clone());
    let offset = "Configuration offset in force in this process";
    registry.register("config_offset", offset, metrics.offset.clone());
    Entry { registry, ..metrics }
}

impl Entry {
    /// Counts the first byte of an answer.
    pub fn first_byte(&self, tier: &str, after: Duration) {
        self.first_by_tier.get_or_create(&label(tier)).observe(after.as_secs_f64());
    }

    /// Counts a whole answer.
    pub fn whole(&self, tier: &str, account: &str, after: Duration) {
        self.whole_by_tier.get_or_create(&label(tier)).observe(after.as_secs_f64());
        self.whole_by_account.observe(account, after);
    }

    /// Counts a refusal; the tier is empty where it isn't known.
    pub fn refused(&self, tier: &str, reason: Reason) {
        let reason = serde_name(reason);
        self.refused.get_or_create(&Refused { reason, tier: tier.to_owned() }).inc();
    }

    /// Counts a torn answer.
    pub fn torn(&self, tier: &str) {
        self.torn.get_or_create(&label(tier)).inc();
    }

    /// Writes all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}

fn label(tier: &str) -> Tier {
    Tier { tier: tier.to_owned() }
}

fn serde_name(reason: Reason) -> String {
    let name = serde_json::to_value(reason).expect("a reason is a JSON string");
    name.as_str().unwrap_or_default().to_owned()
}
