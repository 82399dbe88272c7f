//! Metrics of an entry process that dispatches requests directly to targets.

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

/// Account label of requests that belong to no client account.
pub const NO_ACCOUNT: &str = "none";

/// Maximum number of client accounts that get labels of their own. With 20 buckets of 100 bytes each, and
/// their names, 64 accounts take 150 KB; all 43,000 would take more memory than a process has for control.
const MAX_LABELLED_ACCOUNTS: usize = 64;

/// Highest rank of accounts that has a label of its own; lower-ranked accounts, whose numbers are higher, share it.
const MAX_LABELLED_RANK: u32 = 7;
/// Classes of expected answer lengths: the maximum number of tokens and the label of each.
const LENGTH_CLASSES: [(u32, &str); 3] = [(64, "64"), (256, "256"), (1_024, "1024")];
/// Label of expected lengths above all classes.
const LONGER: &str = "more";
/// Label of requests whose caller states no expected length.
const UNKNOWN: &str = "unknown";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TierLabel {
    tier: u32,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabel {
    reason: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LengthLabels {
    tier: u32,
    expected: &'static str,
    end: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LateLabels {
    tier: u32,
    state: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ShareLabels {
    rank: u32,
    end: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TierOutcomeLabels {
    tier: u32,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct DataLabel {
    what: &'static str,
}

/// Counters, gauges and histograms of an entry process; every method may be called from any thread.
#[derive(Debug)]
pub struct Gateway {
    registry: Registry,
    first_event_times: Family<TierLabel, Histogram>,
    wait_times: Family<TierLabel, Histogram>,
    answer_times: Accounts,
    requests_by_length: Family<LengthLabels, Counter>,
    /// Tokens of requests whose accounts share a pool, by the rank of the account and by whether they were answered.
    shared_work: Family<ShareLabels, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    /// Requests that found no slot in time for their target latency, by tier and what became of them.
    late: Family<LateLabels, Counter>,
    /// Requests refused because of their accounts' limits where these are leased, by cause.
    limit_refusals: Family<ReasonLabel, Counter>,
    /// Changes of this process's parts of accounts' limits.
    pub lease_changes: Counter,
    dispatches: Family<ReasonLabel, Counter>,
    exchanges: Family<ReasonLabel, Counter>,
    reservations: Family<ReasonLabel, Counter>,
    /// Records and lookups of versions that began streams, by outcome.
    origins: Family<DataLabel, Counter>,
    /// Questions to agents about promises to refused callers, by outcome.
    promises: Family<DataLabel, Counter>,
    /// Decisions about copies of running streams, by tier and outcome.
    stream_copies: Family<TierOutcomeLabels, Counter>,
    relayed: Family<DataLabel, Counter>,
    /// Number of times that new connections of callers began to be refused, since the process was overloaded.
    pub refusals_of_connections: Counter,
    /// Number of requests that haven't ended.
    pub open_requests: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// 1 if the configuration is known to be current, otherwise 0.
    pub is_configuration_current: Gauge,
    /// Number of entry processes, this one included, whose parts of account limits this process may use.
    pub usable_processes: Gauge,
    /// Number of targets that accept requests.
    pub ready_targets: Gauge,
    /// 1 while requests with suspect parts of prompts wait for crashed targets, otherwise 0.
    pub are_trials_paused: Gauge,
    /// Number of targets that state a rate limit.
    pub limited_targets: Gauge,
    /// Bytes of memory that bodies of callers' requests take, beyond a small part of each.
    pub request_body_bytes: Gauge,
    /// Size in bytes of the row of state that this process last sent to its peers.
    pub row_bytes: Gauge,
    /// Seconds since the platform last answered a read of its list of targets; infinite before the first
    /// answer.
    pub target_list_age: Gauge<f64, AtomicU64>,
    /// Number of log lines that were dropped because the log's queue was full.
    pub dropped_log_lines: Gauge,
}

/// Creates and registers the metrics of an entry process.
pub fn open() -> Gateway {
    let mut registry = Registry::with_prefix("wagtailhill");
    let answer_help = "Time from arrival to the end of a whole answer, by client account";
    let answer_times =
        accounts::register(&mut registry, "answer_seconds", answer_help, MAX_LABELLED_ACCOUNTS);
    let metrics = Gateway {
        registry: Registry::default(),
        first_event_times: Family::new_with_constructor(histogram),
        wait_times: Family::new_with_constructor(histogram),
        answer_times,
        requests_by_length: Family::default(),
        shared_work: Family::default(),
        refusals: Family::default(),
        late: Family::default(),
        limit_refusals: Family::default(),
        lease_changes: Counter::default(),
        dispatches: Family::default(),
        exchanges: Family::default(),
        reservations: Family::default(),
        origins: Family::default(),
        promises: Family::default(),
        stream_copies: Family::default(),
        relayed: Family::default(),
        refusals_of_connections: Counter::default(),
        open_requests: Gauge::default(),
        configuration_version: Gauge::default(),
        is_configuration_current: Gauge::default(),
        usable_processes: Gauge::default(),
        ready_targets: Gauge::default(),
        are_trials_paused: Gauge::default(),
        limited_targets: Gauge::default(),
        request_body_bytes: Gauge::default(),
        row_bytes: Gauge::default(),
        target_list_age: Gauge::default(),
        dropped_log_lines: Gauge::default(),
    };
    let first_event_help = "Time from dispatch to the first event or the whole answer, by tier";
    registry.register("first_event_seconds", first_event_help, metrics.first_event_times.clone());
    let wait_help = "Time from arrival to the first dispatch, by tier";
    registry.register("wait_seconds", wait_help, metrics.wait_times.clone());
    let length_help =
        "Requests answered whole or refused, by tier and most tokens that the caller expects";
    registry.register("requests_by_length", length_help, metrics.requests_by_length.clone());
    let shared_help =
        "Tokens of requests answered whole or refused, where accounts share a pool, by rank";
    registry.register("shared_tokens", shared_help, metrics.shared_work.clone());
    registry.register("refusals", "Requests refused, by reason", metrics.refusals.clone());
    let late_help =
        "Requests that found no slot in time for their target latency, by tier and state";
    registry.register("late_requests", late_help, metrics.late.clone());
    let limit_refusals_help =
        "Requests refused by the limits of their accounts where these are leased, by cause";
    registry.register("limit_refusals", limit_refusals_help, metrics.limit_refusals.clone());
    let lease_changes_help = "Changes of this process's parts of accounts' limits";
    registry.register("lease_changes", lease_changes_help, metrics.lease_changes.clone());
    let dispatches_help = "Dispatches that ended, by outcome";
    registry.register("dispatches", dispatches_help, metrics.dispatches.clone());
    let exchanges_help = "Exchanges with other entry processes that this one began, by outcome";
    registry.register("exchanges", exchanges_help, metrics.exchanges.clone());
    let reservations_help = "Reservations at agents that ended, by outcome";
    registry.register("reservations", reservations_help, metrics.reservations.clone());
    let origins_help = "Records and lookups at agents of versions that began streams, by outcome";
    registry.register("origins", origins_help, metrics.origins.clone());
    let promises_help = "Questions to agents about promises to refused callers, by outcome";
    registry.register("promises", promises_help, metrics.promises.clone());
    let copies_help = "Copies of running streams that were placed or not, and streams that lost their target, by tier and outcome";
    registry.register("stream_copies", copies_help, metrics.stream_copies.clone());
    let relayed_help = "Times that something was given to another entry process that lacks it";
    registry.register("relayed", relayed_help, metrics.relayed.clone());
    let refusals_help =
        "Times that new connections began to be refused, since the process was overloaded";
    let refusals = metrics.refusals_of_connections.clone();
    registry.register("connection_refusals", refusals_help, refusals);
    let gauges = [
        ("open_requests", "Requests that haven't ended", &metrics.open_requests),
        ("config_version", "Version of the configuration in force", &metrics.configuration_version),
        (
            "config_current",
            "1 where the configuration is known to be current",
            &metrics.is_configuration_current,
        ),
        (
            "entries_together",
            "Entry processes whose parts of limits this one may use",
            &metrics.usable_processes,
        ),
        ("targets_ready", "Targets that take requests", &metrics.ready_targets),
        (
            "trials_paused",
            "Whether requests with suspect parts wait for crashed targets",
            &metrics.are_trials_paused,
        ),
        ("targets_limited", "Targets that name a rate limit", &metrics.limited_targets),
        (
            "request_body_bytes",
            "Memory that bodies of requests take, beyond a small part of each",
            &metrics.request_body_bytes,
        ),
        ("row_bytes", "Size of the row told to other entry processes", &metrics.row_bytes),
        ("log_lines_left_out", "Log lines that found no room", &metrics.dropped_log_lines),
    ];
    for (name, help, gauge) in gauges {
        registry.register(name, help, gauge.clone());
    }
    let list_age_help = "Time since the platform last answered a read of its list of targets";
    registry.register("targets_list_age_seconds", list_age_help, metrics.target_list_age.clone());
    Gateway { registry, ..metrics }
}

/// Returns the label of the class that an expected length, in tokens, belongs to.
fn length_label(expected: Option<u32>) -> &'static str {
    let Some(expected) = expected else {
        return UNKNOWN;
    };
    let class = LENGTH_CLASSES.iter().find(|(max_tokens, _)| expected <= *max_tokens);
    class.map_or(LONGER, |(_, label)| label)
}

impl Gateway {
    /// Records the time from a dispatch to the first event of its answer, or to the end of an answer that isn't
    /// a stream.
    pub fn record_first_event(&self, tier: u32, after: Duration) {
        self.first_event_times.get_or_create(&TierLabel { tier }).observe(after.as_secs_f64());
    }

    /// Records the time from the arrival of a request to its first dispatch.
    pub fn record_wait(&self, tier: u32, after: Duration) {
        self.wait_times.get_or_create(&TierLabel { tier }).observe(after.as_secs_f64());
    }

    /// Records the time from arrival to the end of a complete answer; `account` is `None` for requests that
    /// belong to no client account.
    pub fn record_answer(&self, account: Option<&str>, after: Duration) {
        self.answer_times.observe(account.unwrap_or(NO_ACCOUNT), after);
    }

    /// Counts a request that found no slot in time for its target latency, by what becomes of it.
    pub fn count_late(&self, tier: u32, state: &'static str) {
        self.late.get_or_create(&LateLabels { tier, state }).inc();
    }

    /// Counts a request that was answered completely (`served`) or refused, in the class of the answer length
    /// that its caller expects. `expected` is in tokens; `None` if the caller states no length.
    pub fn count_by_length(&self, tier: u32, expected: Option<u32>, served: bool) {
        let end = if served { "served" } else { "refused" };
        self.requests_by_length
            .get_or_create(&LengthLabels { tier, expected: length_label(expected), end })
            .inc();
    }

    /// Counts the tokens of a request that was answered completely (`served`) or refused, where accounts of the same
    /// rank share its pool.
    pub fn count_shared_work(&self, account_rank: u32, tokens: u64, served: bool) {
        let end = if served { "served" } else { "refused" };
        let rank = account_rank.min(MAX_LABELLED_RANK);
        self.shared_work.get_or_create(&ShareLabels { rank, end }).inc_by(tokens);
    }

    /// Counts a refused request by its reason.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.get_or_create(&ReasonLabel { reason: reason.to_owned() }).inc();
    }

    /// Counts a request that was refused because of its account's limit, by the cause of the shortage.
    pub fn count_limit_refusal(&self, cause: &str) {
        self.limit_refusals.get_or_create(&ReasonLabel { reason: cause.to_owned() }).inc();
    }

    /// Counts a dispatch that ended, by its outcome.
    pub fn count_dispatch(&self, outcome: &str) {
        self.dispatches.get_or_create(&ReasonLabel { reason: outcome.to_owned() }).inc();
    }

    /// Counts an exchange of state with a peer, by whether the peer answered.
    pub fn count_exchange(&self, answered: bool) {
        let reason = if answered { "answered" } else { "unanswered" };
        self.exchanges.get_or_create(&ReasonLabel { reason: reason.to_owned() }).inc();
    }

    /// Counts a reservation at an agent that was granted or denied, by the outcome; withdrawn ones aren't
    /// counted.
    pub fn count_reservation(&self, outcome: &str) {
        self.reservations.get_or_create(&ReasonLabel { reason: outcome.to_owned() }).inc();
    }

    /// Counts a record or a lookup of the version that began a stream.
    pub fn count_origin(&self, what: &'static str) {
        self.origins.get_or_create(&DataLabel { what }).inc();
    }

    /// Counts a question to the agents about a promise to a refused caller, by outcome.
    pub fn count_promise(&self, what: &'static str) {
        self.promises.get_or_create(&DataLabel { what }).inc();
    }

    /// Counts a decision about the copy of a running stream.
    pub fn count_stream_copy(&self, tier: u32, outcome: &'static str) {
        self.stream_copies.get_or_create(&TierOutcomeLabels { tier, outcome }).inc();
    }

    /// Counts a piece of data that was sent to a peer which lacked it, by the kind of data.
    pub fn relayed(&self, what: &'static str) {
        self.relayed.get_or_create(&DataLabel { what }).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}
