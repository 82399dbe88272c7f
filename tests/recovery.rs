//! Accepted configuration never reverts: expired records, outages, cold starts and frozen
//! processes, with real processes against the log.

mod support;

use std::time::Duration;

use model::{Resource, resource::Backing, snapshot};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine, Shape},
    fixture::{self, ANY},
};
use support::{
    Process,
    operator::{delete, get, put},
    platform::{Platform, platform, settings},
    way,
};
use tokio::time::sleep;

const MODEL: &str = "drawing-7b";
/// Longer than the time after which a process doubts what it knew.
const FROZEN: Duration = Duration::from_millis(4_500);

/// Longest read of the log by the process that is cut off.
const POLL: Duration = Duration::from_millis(50);

async fn entry(settings: &settings::Entry) -> Process {
    let entry = support::serve(settings);
    support::ready(&entry).await;
    entry
}

/// Starts an agent with an engine, and configures it, an account, a tier and a pool.
async fn target(platform: &Platform) -> (Process, Engine) {
    let engine = engine::bind(ANY, Shape::default()).await.unwrap();
    let settings =
        fixture::agent("engine-1", engine.address, Backing::Model, &platform.log, &platform.hosts);
    let agent = support::agent(&settings);
    let resources = vec![
        tier("crew", 0),
        fixture::account("viewer", &["crew"]),
        fixture::model_pool("drawings", &[MODEL]),
        fixture::target("engine-1", "drawings", agent.address("control"), agent.address("traffic")),
    ];
    fixture::seed(&platform.log, resources);
    (agent, engine)
}

fn tier(name: &str, rank: u8) -> Resource {
    fixture::tier(name, rank, Duration::from_secs(20))
}

async fn complete(entry: &Process) -> StatusCode {
    let url = format!("http://{}/v1/completions", entry.address("callers"));
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 3});
    let request = Client::new().post(url).bearer_auth(fixture::key("viewer")).json(&body);
    request.send().await.unwrap().status()
}

/// Waits until the log has a snapshot as of an offset.
async fn snapshot_as_of(platform: &Platform, offset: u64) {
    loop {
        let records = platform.log.records(source::SNAPSHOTS);
        let parts = records.iter().filter_map(|record| serde_json::from_str(&record.payload).ok());
        if parts.into_iter().any(|part: snapshot::Part| part.head.as_of >= offset) {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

async fn tiers(entry: &Process) -> Value {
    get(entry, "/v1/resources/tier").await.body
}

#[tokio::test]
async fn a_process_starts_from_a_snapshot_after_the_records_expired() {
    let platform = platform().await;
    let mut writing = settings("entry-1", &platform);
    writing.timing.snapshot = Duration::from_millis(50);
    let first = entry(&writing).await;
    let id = "&change=00000000-0000-4000-8000-000000000001";
    put(&first, &tier("crew", 0), 0, id).await;
    put(&first, &tier("desk", 1), 0, "").await;
    snapshot_as_of(&platform, 2).await;
    put(&first, &tier("desk", 2), 2, "").await;

    platform.log.expire(source::CONFIG, 3);
    let second = entry(&settings("entry-2", &platform)).await;
    let repeat = put(&second, &tier("crew", 0), 0, id).await;
    let gone = get(&second, "/v1/watch?from=1").await;

    assert_eq!(tiers(&second).await, tiers(&first).await);
    assert_eq!((repeat.status, &repeat.body["version"]), (StatusCode::OK, &json!(1)));
    assert_eq!(gone.status, StatusCode::GONE);
    assert_eq!(gone.body["error"]["reason"], "gone");
}

#[tokio::test]
async fn a_gap_that_no_snapshot_covers_is_never_skipped() {
    let platform = platform().await;
    fixture::seed(&platform.log, vec![tier("crew", 0), tier("desk", 1)]);
    platform.log.expire(source::CONFIG, 2);

    let entry = support::serve(&settings("entry-1", &platform));
    sleep(Duration::from_millis(500)).await;
    let url = format!("http://{}/health/ready", entry.address("operators"));
    let ready = reqwest::get(url).await.unwrap().status();
    let status = get(&entry, "/v1/status").await.body;

    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(status["applied"], 0);
}

#[tokio::test]
async fn a_snapshot_that_is_torn_or_forged_is_passed_over() {
    let platform = platform().await;
    let first = entry(&settings("entry-1", &platform)).await;
    put(&first, &tier("crew", 0), 0, "").await;
    let sound = r#"{"schema":1,"applied":1,"resources":[],"outcomes":[]}"#;
    let text = sound.replace(
        "[],\"out",
        "[{\"version\":1,\"resource\":{\"kind\":\"tier\",\
        \"name\":\"crew\",\"rank\":0,\"deadline_ms\":20000}}],\"out",
    );
    let part = |part: &snapshot::Part| serde_json::to_string(part).unwrap();
    let good = snapshot::split(1, &text).remove(0);
    let mut forged = good.clone();
    forged.text = sound.to_owned();
    let mut torn = good.clone();
    torn.head.count = 2;
    platform.log.append(source::SNAPSHOTS, part(&good));
    platform.log.append(source::SNAPSHOTS, part(&forged));
    platform.log.append(source::SNAPSHOTS, part(&torn));
    platform.log.append(source::SNAPSHOTS, "no part".to_owned());
    platform.log.expire(source::CONFIG, 2);

    let second = entry(&settings("entry-2", &platform)).await;

    assert_eq!(tiers(&second).await, tiers(&first).await);
}

#[tokio::test]
async fn a_process_that_starts_in_an_outage_takes_the_configuration_from_an_agent() {
    let platform = platform().await;
    let (agent, _engine) = target(&platform).await;
    let first = entry(&settings("entry-1", &platform)).await;
    let written = put(&first, &tier("desk", 1), 0, "&wait=in_force").await;
    platform.log.fault(|faults| faults.down = true);

    let mut starting = settings("entry-2", &platform);
    starting.platform.peers = vec![ANY, agent.address("control")];
    let second = entry(&starting).await;
    let answered = complete(&second).await;
    let same = tiers(&second).await == tiers(&first).await;
    platform.log.fault(|faults| faults.down = false);
    let after = put(&second, &tier("desk", 2), 5, "&wait=in_force").await;

    assert_eq!(written.body["reached"], "in_force");
    assert_eq!((answered, same), (StatusCode::OK, true));
    assert_eq!((after.status, &after.body["version"]), (StatusCode::OK, &json!(6)));
}

#[tokio::test]
async fn a_frozen_process_that_wakes_cut_off_from_the_log_does_not_decide_on_old_rules() {
    let platform = platform().await;
    let (agent, engine) = target(&platform).await;
    let way = way::open(&platform.log).await;
    let mut freezing = settings("entry-1", &platform);
    freezing.platform.log = way.base();
    freezing.platform.peers = vec![agent.address("control")];
    freezing.timing.poll = POLL;
    let frozen = entry(&freezing).await;
    let other = entry(&settings("entry-2", &platform)).await;
    let before = complete(&frozen).await;

    // Reads that are under way when the path is cut end without a record before the freeze.
    way.cut();
    sleep(POLL * 3).await;
    frozen.signal("STOP");
    let deleted = delete(&other, "/v1/resources/account/viewer", 2).await;
    put(&other, &tier("desk", 1), 0, "").await;
    sleep(FROZEN).await;
    frozen.signal("CONT");
    let after = complete(&frozen).await;

    assert_eq!((before, deleted.status), (StatusCode::OK, StatusCode::OK));
    assert_eq!(after, StatusCode::UNAUTHORIZED);
    assert_eq!(engine.runs().len(), 1);
}

#[tokio::test]
async fn a_process_goes_on_with_what_it_has_through_an_outage_of_the_log() {
    let platform = platform().await;
    let (_agent, _engine) = target(&platform).await;
    let entry = entry(&settings("entry-1", &platform)).await;
    platform.log.fault(|faults| faults.down = true);

    let mut answers = Vec::new();
    for _ in 0..10 {
        answers.push(complete(&entry).await);
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(answers, [StatusCode::OK; 10]);
}
