//! Metrics of an entry process that dispatches straight to targets.

use std::{sync::atomic::AtomicU64, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    accounts::{self, Accounts},
    buckets::histogram,
};

/// Label of requests that belong to no client account.
pub const NOBODY: &str = "none";

/// Client accounts that get labels of their own: at 20 buckets of 100 bytes each, with their names,
/// these take 150 KB, where all 43,000 would take more memory than a process has for control.
const TRACKED: usize = 64;

/// Classes of expected lengths: the most tokens of each, and its label.
const LENGTHS: [(u32, &str); 3] = [(64, "64"), (256, "256"), (1_024, "1024")];
/// Label of answers that are longer than any class.
const LONGEST: &str = "more";
/// Label of answers whose length the caller doesn't tell.
const UNKNOWN: &str = "unknown";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Tier {
    tier: u32,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Why {
    reason: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Length {
    tier: u32,
    expected: &'static str,
    end: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct What {
    what: &'static str,
}

/// Counters and histograms; every method may be called from any thread.
#[derive(Debug)]
pub struct Gateway {
    registry: Registry,
    first: Family<Tier, Histogram>,
    waited: Family<Tier, Histogram>,
    whole: Accounts,
    lengths: Family<Length, Counter>,
    refused: Family<Why, Counter>,
    dispatches: Family<Why, Counter>,
    exchanges: Family<Why, Counter>,
    reservations: Family<Why, Counter>,
    relayed: Family<What, Counter>,
    /// Requests that haven't ended.
    pub open: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Whether the configuration is known to be current.
    pub fresh: Gauge,
    /// Entry processes, this one included, that share what is left of limits.
    pub together: Gauge,
    /// Targets that take requests.
    pub targets: Gauge,
    /// Targets that name a rate limit.
    pub limited: Gauge,
    /// Bytes of the row that this process last told of itself.
    pub row_bytes: Gauge,
    /// Seconds since the platform last answered a read of its list of targets; infinite where it never did.
    pub list_age: Gauge<f64, AtomicU64>,
    /// Log lines that were left out.
    pub left_out: Gauge,
}

/// Builds the metrics.
pub fn open() -> Gateway {
    let mut registry = Registry::with_prefix("wagtailhill");
    let whole = "Time from arrival to the end of a whole answer, by client account";
    let whole = accounts::register(&mut registry, "answer_seconds", whole, TRACKED);
    let metrics = Gateway {
        registry: Registry::default(),
        first: Family::new_with_constructor(histogram),
        waited: Family::new_with_constructor(histogram),
        whole,
        lengths: Family::default(),
        refused: Family::default(),
        dispatches: Family::default(),
        exchanges: Family::default(),
        reservations: Family::default(),
        relayed: Family::default(),
        open: Gauge::default(),
        version: Gauge::default(),
        fresh: Gauge::default(),
        together: Gauge::default(),
        targets: Gauge::default(),
        limited: Gauge::default(),
        row_bytes: Gauge::default(),
        list_age: Gauge::default(),
        left_out: Gauge::default(),
    };
    let first = "Time from dispatch to the first event or the whole answer, by tier";
    registry.register("first_event_seconds", first, metrics.first.clone());
    let waited = "Time from arrival to the first dispatch, by tier";
    registry.register("wait_seconds", waited, metrics.waited.clone());
    let lengths =
        "Requests answered whole or refused, by tier and most tokens that the caller expects";
    registry.register("requests_by_length", lengths, metrics.lengths.clone());
    registry.register("refusals", "Requests refused, by reason", metrics.refused.clone());
    let ended = "Dispatches that ended, by outcome";
    registry.register("dispatches", ended, metrics.dispatches.clone());
    let exchanges = "Exchanges with other entry processes that this one began, by outcome";
    registry.register("exchanges", exchanges, metrics.exchanges.clone());
    let reservations = "Reservations at agents that ended, by outcome";
    registry.register("reservations", reservations, metrics.reservations.clone());
    let relayed = "Times that something was given to another entry process that lacks it";
    registry.register("relayed", relayed, metrics.relayed.clone());
    let gauges = [
        ("open_requests", "Requests that haven't ended", &metrics.open),
        ("config_version", "Version of the configuration in force", &metrics.version),
        ("config_current", "1 where the configuration is known to be current", &metrics.fresh),
        (
            "entries_together",
            "Entry processes whose parts of limits this one may use",
            &metrics.together,
        ),
        ("targets_ready", "Targets that take requests", &metrics.targets),
        ("targets_limited", "Targets that name a rate limit", &metrics.limited),
        ("row_bytes", "Size of the row told to other entry processes", &metrics.row_bytes),
        ("log_lines_left_out", "Log lines that found no room", &metrics.left_out),
    ];
    for (name, help, gauge) in gauges {
        registry.register(name, help, gauge.clone());
    }
    let list_age = "Time since the platform last answered a read of its list of targets";
    registry.register("targets_list_age_seconds", list_age, metrics.list_age.clone());
    Gateway { registry, ..metrics }
}

/// The class of an expected length.
fn class(expected: Option<u32>) -> &'static str {
    let Some(expected) = expected else {
        return UNKNOWN;
    };
    let class = LENGTHS.iter().find(|(most, _)| expected <= *most);
    class.map_or(LONGEST, |(_, label)| label)
}

impl Gateway {
    /// Counts the first event of a dispatch.
    pub fn first(&self, tier: u32, after: Duration) {
        self.first.get_or_create(&Tier { tier }).observe(after.as_secs_f64());
    }

    /// Counts the wait before a first dispatch.
    pub fn waited(&self, tier: u32, after: Duration) {
        self.waited.get_or_create(&Tier { tier }).observe(after.as_secs_f64());
    }

    /// Counts a whole answer.
    pub fn whole(&self, account: Option<&str>, after: Duration) {
        self.whole.observe(account.unwrap_or(NOBODY), after);
    }

    /// Counts a request that was answered whole, or refused, in the class of the length that its caller
    /// expects.
    pub fn sized(&self, tier: u32, expected: Option<u32>, served: bool) {
        let end = if served { "served" } else { "refused" };
        self.lengths.get_or_create(&Length { tier, expected: class(expected), end }).inc();
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: &str) {
        self.refused.get_or_create(&Why { reason: reason.to_owned() }).inc();
    }

    /// Counts the end of a dispatch.
    pub fn ended(&self, outcome: &str) {
        self.dispatches.get_or_create(&Why { reason: outcome.to_owned() }).inc();
    }

    /// Counts an exchange with another entry process.
    pub fn exchanged(&self, answered: bool) {
        let reason = if answered { "answered" } else { "unanswered" };
        self.exchanges.get_or_create(&Why { reason: reason.to_owned() }).inc();
    }

    /// Counts a reservation that got room or none; those that were withdrawn aren't counted.
    pub fn reserved(&self, outcome: &str) {
        self.reservations.get_or_create(&Why { reason: outcome.to_owned() }).inc();
    }

    /// Counts what was given to another entry process.
    pub fn relayed(&self, what: &'static str) {
        self.relayed.get_or_create(&What { what }).inc();
    }

    /// Writes all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}
