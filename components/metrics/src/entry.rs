//! Metrics of an entry process in front of targets that have agents.

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
struct TierLabel {
    tier: TierName,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RefusalLabels {
    reason: String,
    tier: TierName,
}

type LatencyByTier = Family<TierLabel, Histogram>;

/// Counters, gauges and histograms of an entry process; every method may be called from any thread.
#[derive(Debug)]
pub struct Entry {
    registry: Registry,
    answer_times: LatencyByTier,
    first_byte_times: LatencyByTier,
    account_answer_times: Accounts,
    refusals: Family<RefusalLabels, Counter>,
    torn_answers: Family<TierLabel, Counter>,
    /// Number of requests that have arrived and whose answers haven't ended.
    pub open_requests: Gauge,
    /// Offset of the last configuration change that the process has applied.
    pub configuration_offset: Gauge,
}

/// Creates and registers the metrics; at most `account_limit` client accounts get labels of their own.
pub fn open(account_limit: usize) -> Entry {
    let mut registry = Registry::with_prefix("wagtailhill");
    let account_help = "Time from arrival to the end of a whole answer, by client account";
    let account_answer_times =
        accounts::register(&mut registry, "account_answer_seconds", account_help, account_limit);
    let metrics = Entry {
        answer_times: LatencyByTier::new_with_constructor(histogram),
        first_byte_times: LatencyByTier::new_with_constructor(histogram),
        account_answer_times,
        refusals: Family::default(),
        torn_answers: Family::default(),
        open_requests: Gauge::default(),
        configuration_offset: Gauge::default(),
        registry: Registry::default(),
    };
    let answer_help = "Time from arrival to the end of a whole answer, by tier";
    registry.register("answer_seconds", answer_help, metrics.answer_times.clone());
    let first_byte_help = "Time from arrival to the first byte of the answer, by tier";
    registry.register("first_byte_seconds", first_byte_help, metrics.first_byte_times.clone());
    registry.register("refusals", "Requests refused, by reason and tier", metrics.refusals.clone());
    registry.register(
        "torn_answers",
        "Answers that ended torn, by tier",
        metrics.torn_answers.clone(),
    );
    registry.register(
        "open_requests",
        "Requests in progress or waiting",
        metrics.open_requests.clone(),
    );
    let offset_help = "Configuration offset in force in this process";
    registry.register("config_offset", offset_help, metrics.configuration_offset.clone());
    Entry { registry, ..metrics }
}

impl Entry {
    /// Records the time from arrival to the first byte of an answer.
    pub fn record_first_byte(&self, tier: &str, after: Duration) {
        self.first_byte_times.get_or_create(&tier_label(tier)).observe(after.as_secs_f64());
    }

    /// Records the time from arrival to the end of a complete answer.
    pub fn record_answer(&self, tier: &str, account: &str, after: Duration) {
        self.answer_times.get_or_create(&tier_label(tier)).observe(after.as_secs_f64());
        self.account_answer_times.observe(account, after);
    }

    /// Counts a refused request; `tier` is empty where the tier isn't known.
    pub fn count_refusal(&self, tier: &str, reason: Reason) {
        let reason = reason_label(reason);
        self.refusals.get_or_create(&RefusalLabels { reason, tier: tier.to_owned() }).inc();
    }

    /// Counts an answer that ended before it was complete.
    pub fn count_torn_answer(&self, tier: &str) {
        self.torn_answers.get_or_create(&tier_label(tier)).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}

fn tier_label(tier: &str) -> TierLabel {
    TierLabel { tier: tier.to_owned() }
}

/// Returns the name of a reason, as in the body of a refusal.
fn reason_label(reason: Reason) -> String {
    let name = serde_json::to_value(reason).expect("a reason is a JSON string");
    name.as_str().unwrap_or_default().to_owned()
}
