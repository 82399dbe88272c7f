//! Odd entries in the list of targets and odd records beside it, which another writer may leave there: processes serve,
//! and follow the list.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use http::StatusCode;
use platform_support::{
    Runner, Store,
    runner::{self, Behavior},
    store::{self, OPERATOR_TOPIC, RUNNERS_TOPIC, STATUS_TOPIC},
};
use reqwest::Client;
use serde_json::{Value, json};
use support::Process;
use test_case::test_case;

/// Depth to which an odd entry is nested.
const DEPTH: usize = 100_000;
/// Time for which a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Number of requests after each odd entry.
const REQUESTS: usize = 4;

fn host(number: u8) -> IpAddr {
    IpAddr::from([127, 0, 6, number])
}

/// Starts an entry process and waits until it is ready.
async fn start_entry(number: u8, port: u16, store: SocketAddr) -> Process {
    let name = format!("entry-{number}");
    let settings = platform_support::entry_settings(&name, "north", host(number), port, store);
    let entry = support::gateway(&settings);
    support::gateway_ready(&entry).await;
    entry
}

/// Returns the record of a runner with one field replaced by a value in JSON.
fn odd(record: &Value, field: &str, value: &str) -> String {
    let mut record = record.clone();
    record[field] = json!("odd value");
    record.to_string().replace("\"odd value\"", value)
}

/// Returns odd entries, each with its key.
fn odd_entries(record: &Value) -> Vec<(String, String)> {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let objects = "{\"a\":".repeat(DEPTH) + "1" + &"}".repeat(DEPTH);
    let (largest, larger) = ("4294967295", "1e400");
    let fields = [
        ("models", nested.as_str()),
        ("models", objects.as_str()),
        ("another", nested.as_str()),
        ("another", objects.as_str()),
        ("slots", nested.as_str()),
        ("slots", largest),
        ("slots", "4294967294"),
        ("slots", "99999999999999999999999"),
        ("slots", larger),
        ("slots", "-1"),
        ("sequence", "18446744073709551615"),
        ("sequence", larger),
        ("born", "18446744073709551615"),
        ("cold_remaining_ms", "1e308"),
        ("cold_remaining_ms", larger),
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"0.0.0.0:0\""),
        ("address", "\"255.255.255.255:65535\""),
        ("address", "\"[::1]:80\""),
        ("address", "\"127.0.0.1\""),
        ("version", "\"\""),
        ("zone", "\"\\u0000\""),
        ("state", "\"odd\""),
    ];
    let fields = fields.into_iter().zip(0..);
    let fields =
        fields.map(|((field, value), number)| (format!("odd-{number}"), odd(record, field, value)));
    let long = "v".repeat(200_000);
    let texts = [nested.clone(), objects.clone(), "\u{fffd}".into(), "null".into(), "[]".into()];
    let texts = texts.into_iter().zip(0..).map(|(text, number)| (format!("text-{number}"), text));
    let keys = [String::new(), "a&b=c %2\r\n#\"".to_owned(), "k".repeat(255)];
    let keys = keys.into_iter().map(|key| (key, record.to_string()));
    let long = [("long".to_owned(), odd(record, "version", &format!("\"{long}\"")))];
    fields.chain(texts).chain(keys).chain(long).collect()
}

/// Returns odd records of the other topics that processes read, each with its topic and key.
fn odd_records() -> Vec<(&'static str, &'static str, String)> {
    let (longest, nested) = (u64::MAX, "[".repeat(DEPTH) + &"]".repeat(DEPTH));
    let age = json!({"secs": longest, "nanos": 999_999_999});
    let crash = json!({"id": 1, "version": 1, "age": age, "dispatch_age": age});
    let evidence = json!({
        "part": 1, "crashes": [crash], "proofs": [{"version": 1, "age": age}], "stored": null,
    });
    let quarantine = json!({"written_ms": 0, "evidence": evidence});
    let order = |duration: f64| json!({"service": "other", "target": "v9", "duration_s": duration});
    vec![
        (STATUS_TOPIC, "quarantine/1", quarantine.to_string()),
        (STATUS_TOPIC, "quarantine/2", nested.clone()),
        (STATUS_TOPIC, "rollout/pool", nested.clone()),
        (STATUS_TOPIC, "entry-9", "0.0.0.0:0 18446744073709551615".to_owned()),
        (STATUS_TOPIC, "entry-8", nested.clone()),
        (OPERATOR_TOPIC, "rollout/other", order(1.8e19).to_string()),
        (OPERATOR_TOPIC, "rollout/other", order(1e300).to_string()),
        (OPERATOR_TOPIC, "rollout/pool", nested.clone()),
        (OPERATOR_TOPIC, "config", nested),
    ]
}

struct Site {
    store: Store,
    port: u16,
    has_agents: bool,
    client: Client,
}

impl Site {
    fn record(&self, runner: &Runner, state: &str) -> Value {
        let mut record = runner.model_record("v1", "north", 4);
        record["state"] = state.into();
        if !self.has_agents {
            record["models"] = json!([]);
        }
        record
    }

    /// Sends requests; returns the statuses of the answers.
    async fn call(&self, entry: &Process, name: &str) -> Vec<StatusCode> {
        let mut statuses = Vec::new();
        for number in 0..REQUESTS {
            let request = self
                .client
                .post(format!("http://{}/safe/", entry.address("callers")))
                .headers(platform_support::caller_headers(&format!("{name}-{number}"), PATIENCE));
            statuses.push(request.send().await.expect("an answer").status());
        }
        statuses
    }
}

/// Guards against processes that end, or stop to follow the list of targets, since one entry of it is odd, or another
/// record that they read.
#[test_case(false; "without agents")]
#[test_case(true; "with agents")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_odd_entry_of_the_list_concerns_only_itself(has_agents: bool) {
    let hosts: Vec<IpAddr> = (1..=6).map(host).collect();
    let port = support::free_ports(&hosts);
    let store = store::bind().await;
    let mut config = platform_support::config(1, &["key"]);
    config["routes"][2]["max_attempts"] = 4.into();
    store.write_config(&config);
    let site = Site { store, port, has_agents, client: Client::new() };
    let mut agents = Vec::new();
    let mut runners = Vec::new();
    for number in 3..=5 {
        let name = format!("i-{number}");
        let answer = Behavior::Respond(StatusCode::OK);
        runners.push(runner::bind_at(host(number), &name, answer).await);
        if has_agents {
            let settings = platform_support::agent_settings(&name, host(number), port);
            agents.push(support::admission(&settings));
        }
    }
    let elsewhere = runner::bind_at(host(6), "elsewhere", Behavior::Replaced).await;
    site.store.write_runner("i-3", &site.record(&runners[0], "ready"));
    let entry = start_entry(1, site.port, site.store.address).await;

    let mut failed = Vec::new();
    for (key, text) in odd_entries(&site.record(&elsewhere, "ready")) {
        site.store.write(RUNNERS_TOPIC, &key, &text);
        // The list is followed: the entry before it is no longer the only one.
        let next = &runners[usize::from(failed.len() % 2 == 0)];
        site.store.write_runner(&next.name, &site.record(next, "ready"));
        let statuses = site.call(&entry, &format!("after-{}", failed.len())).await;
        let start: String = text.chars().take(160).collect();
        failed.push((key, start, statuses));
    }
    let is_odd = |(_, _, statuses): &&(String, String, Vec<StatusCode>)| {
        statuses.iter().any(|status| *status != StatusCode::OK)
    };
    let odd: Vec<_> = failed.iter().filter(is_odd).collect();
    for (topic, key, text) in odd_records() {
        site.store.write(topic, key, &text);
    }
    // The configuration before the odd one is read by processes that start.
    site.store.write_config(&config);
    // A list with all of them, in pages that end at each key, and then a change of it.
    site.store.set_page_keys(1);
    let started = start_entry(2, site.port, site.store.address).await;
    let by_started = site.call(&started, "started").await;
    for runner in &runners[..2] {
        site.store.write_runner(&runner.name, &site.record(runner, "draining"));
    }
    site.store.write_runner("i-5", &site.record(&runners[2], "ready"));
    for entry in [&entry, &started] {
        support::until_async(async || {
            let before = runners[2].received().len();
            site.call(entry, "follows").await;
            runners[2].received().len() > before
        })
        .await;
    }

    assert!(odd.is_empty(), "{odd:#?}");
    assert!(by_started.iter().all(|status| *status == StatusCode::OK), "{by_started:?}");
}
