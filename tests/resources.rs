//! The resource API and the life of the configuration, with real processes against the log.

mod support;

use std::time::Duration;

use model::{Host, Resource, host, resource::Backing};
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine, Shape},
    fixture::{self, ANY},
};
use support::{
    Process,
    operator::{self, call, delete, get, put, send},
    platform::{Platform, platform, settings},
};
use test_case::test_case;

async fn entry(name: &str, platform: &Platform) -> Process {
    let entry = support::serve(&settings(name, platform));
    support::ready(&entry).await;
    entry
}

/// An agent whose target is configured, in a pool of its own.
struct Target {
    agent: Process,
    _engine: Engine,
}

async fn target(name: &str, platform: &Platform) -> Target {
    let engine = engine::bind(ANY, Shape::default()).await.unwrap();
    let settings =
        fixture::agent(name, engine.address, Backing::Model, &platform.log, &platform.hosts);
    let agent = support::agent(&settings);
    let resources = vec![
        fixture::model_pool(name, &[name]),
        fixture::target(name, name, agent.address("control"), agent.address("traffic")),
    ];
    fixture::seed(&platform.log, resources);
    Target { agent, _engine: engine }
}

fn tier(name: &str, rank: u8) -> Resource {
    fixture::tier(name, rank, Duration::from_secs(20))
}

fn accepted(platform: &Platform) -> usize {
    platform.log.records(source::CONFIG).len()
}

#[tokio::test]
async fn a_resource_is_created_read_updated_listed_and_deleted() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;

    let created = put(&entry, &tier("crew", 0), 0, "").await;
    let updated = put(&entry, &tier("crew", 1), 1, "").await;
    let read = get(&entry, "/v1/resources/tier/crew").await;
    let listed = get(&entry, "/v1/resources/tier").await;
    let deleted = delete(&entry, "/v1/resources/tier/crew", 2).await;
    let missing = get(&entry, "/v1/resources/tier/crew").await;

    assert_eq!((created.status, &created.body["version"]), (StatusCode::OK, &json!(1)));
    assert_eq!((updated.status, &updated.body["version"]), (StatusCode::OK, &json!(2)));
    assert_eq!(read.body["resource"]["rank"], 1);
    assert_eq!(listed.body, json!({"offset": 2, "items": [read.body]}));
    assert_eq!((deleted.status, &deleted.body["version"]), (StatusCode::OK, &json!(3)));
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_list_goes_on_after_a_name() {
    let platform = platform().await;
    fixture::seed(&platform.log, vec![tier("a", 0), tier("b", 1), tier("c", 2)]);
    let entry = entry("entry-1", &platform).await;

    let first = get(&entry, "/v1/resources/tier?limit=2").await.body;
    let second = get(&entry, "/v1/resources/tier?limit=2&after=b").await.body;

    assert_eq!(first["after"], "b");
    assert_eq!(first["items"].as_array().unwrap().len(), 2);
    assert_eq!(second["items"][0]["resource"]["name"], "c");
    assert_eq!(second["after"], Value::Null);
}

#[tokio::test]
async fn a_conflict_names_the_version_and_the_resource_that_stand() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;
    put(&entry, &tier("crew", 0), 0, "").await;
    put(&entry, &tier("crew", 1), 1, "").await;

    let conflict = put(&entry, &tier("crew", 2), 1, "").await;

    let error = &conflict.body["error"];
    assert_eq!(conflict.status, StatusCode::CONFLICT);
    assert_eq!((&error["reason"], &error["version"]), (&json!("conflict"), &json!(2)));
    assert_eq!(error["stands"]["resource"]["rank"], 1);
    assert_eq!(accepted(&platform), 2);
}

#[tokio::test]
async fn of_operators_who_race_through_two_entries_one_wins() {
    let platform = platform().await;
    let entries = [entry("entry-1", &platform).await, entry("entry-2", &platform).await];
    put(&entries[0], &tier("crew", 0), 0, "").await;
    // The log's delay lets all appends be under way before any is read back.
    platform.log.fault(|faults| faults.slow = Duration::from_millis(100));

    let tiers: Vec<Resource> = (1..=6).map(|rank| tier("crew", rank)).collect();
    let racing = tiers.iter().enumerate().map(|(i, tier)| put(&entries[i % 2], tier, 1, ""));
    let answers = futures::future::join_all(racing).await;

    let won: Vec<_> = answers.iter().filter(|a| a.status == StatusCode::OK).collect();
    let lost = answers.iter().filter(|a| a.status == StatusCode::CONFLICT);
    assert_eq!((won.len(), lost.clone().count()), (1, 5), "{answers:?}");
    let version = &won[0].body["version"];
    assert!(lost.clone().all(|answer| answer.body["error"]["version"] == *version));
    for entry in &entries {
        assert_eq!(get(entry, "/v1/resources/tier/crew").await.body["version"], *version);
    }
}

#[tokio::test]
async fn a_repeat_of_a_change_id_has_no_second_effect() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;
    let id = "&change=00000000-0000-4000-8000-000000000001";
    put(&entry, &tier("crew", 0), 0, id).await;
    delete(&entry, "/v1/resources/tier/crew", 1).await;

    let repeat = put(&entry, &tier("crew", 0), 0, id).await;
    let other = put(&entry, &tier("desk", 0), 0, id).await;

    assert_eq!((repeat.status, &repeat.body["version"]), (StatusCode::OK, &json!(1)));
    assert_eq!(other.status, StatusCode::BAD_REQUEST);
    assert_eq!(other.body["error"]["findings"][0]["place"], "body.id");
    assert_eq!(get(&entry, "/v1/resources/tier/crew").await.status, StatusCode::NOT_FOUND);
    assert_eq!(accepted(&platform), 2);
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_accepted_once() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;
    platform.log.fault(|faults| faults.lose_answers = 1);

    let created = put(&entry, &tier("crew", 0), 0, "").await;

    assert_eq!((created.status, &created.body["version"]), (StatusCode::OK, &json!(1)));
    let listed = get(&entry, "/v1/resources/tier").await.body;
    assert_eq!(listed["items"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn a_write_says_at_once_that_the_log_is_out() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;
    platform.log.fault(|faults| faults.down = true);

    let refused = put(&entry, &tier("crew", 0), 0, "").await;
    platform.log.fault(|faults| faults.down = false);

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.body["error"]["reason"], "unavailable");
    assert_eq!(accepted(&platform), 0);
}

#[tokio::test]
async fn a_write_that_is_not_read_back_in_time_is_not_called_accepted() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;
    platform.log.fault(|faults| faults.slow = Duration::from_millis(400));

    let late = put(&entry, &tier("crew", 0), 0, "&timeout_ms=600").await;
    platform.log.fault(|faults| faults.slow = Duration::ZERO);
    let id = late.body["error"]["change"].as_str().unwrap();
    let repeat = put(&entry, &tier("crew", 0), 0, &format!("&change={id}")).await;

    assert_eq!(late.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(late.body["error"]["reason"], "unknown");
    assert_eq!((repeat.status, &repeat.body["version"]), (StatusCode::OK, &json!(1)));
}

#[test_case(
    "account/viewer",
    json!({"name": "viewer", "key_hash": 1, "tiers": "crew", "surprise": 1})
    => ["body", "body.key_hash", "body.tiers"]; "shape"
)]
#[test_case(
    "account/viewer",
    json!({"name": "viewer", "key_hash": "short", "tiers": ["none", "crew", "gone"]})
    => ["body.key_hash"]; "values"
)]
#[test_case(
    "account/viewer",
    json!({"name": "viewer", "key_hash": "0".repeat(64), "tiers": ["none", "crew", "gone"]})
    => ["body.tiers[0]", "body.tiers[2]"]; "references"
)]
#[test_case(
    "tier/desk", json!({"name": "desk", "rank": 0, "deadline_ms": 5}) => ["body.rank"]; "rank"
)]
#[test_case("tier/desk", json!({"name": "other", "rank": 1, "deadline_ms": 5})
    => ["body.name"]; "another name")]
#[test_case("tier/desk", json!({"kind": "pool"}) => ["body.kind"]; "another kind")]
#[tokio::test]
async fn every_finding_has_its_place(path: &str, body: Value) -> Vec<String> {
    let platform = platform().await;
    fixture::seed(&platform.log, vec![tier("crew", 0)]);
    let entry = entry("entry-1", &platform).await;

    let path = format!("/v1/resources/{path}?expected=0");
    let refused = send(call(&entry, Method::PUT, &path).json(&body)).await;

    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    assert_eq!(accepted(&platform), 1);
    let findings = refused.body["error"]["findings"].as_array().unwrap().clone();
    findings.iter().map(|finding| finding["place"].as_str().unwrap().to_owned()).collect()
}

#[test_case(Some("viewer-key"); "a caller's key")]
#[test_case(None; "no key")]
#[tokio::test]
async fn only_an_operators_key_opens_the_api(key: Option<&str>) {
    let platform = platform().await;
    fixture::seed(&platform.log, vec![tier("crew", 0), fixture::account("viewer", &["crew"])]);
    let entry = entry("entry-1", &platform).await;
    let paths = ["/v1/resources/account", "/v1/resources/account/viewer", "/v1/status"];

    let mut statuses = Vec::new();
    for path in paths.into_iter().chain(["/v1/watch?from=1"]) {
        let url = format!("http://{}{path}", entry.address("operators"));
        let request = Client::new().get(url);
        let request = key.into_iter().fold(request, |request, key| request.bearer_auth(key));
        statuses.push(request.send().await.unwrap().status());
    }
    let path = operator::path(&tier("crew", 0));
    let url = format!("http://{}{path}?expected=1", entry.address("operators"));
    let request = Client::new().delete(url);
    let request = key.into_iter().fold(request, |request, key| request.bearer_auth(key));
    statuses.push(send(request).await.status);

    assert_eq!(statuses, [StatusCode::UNAUTHORIZED; 5]);
    assert_eq!(accepted(&platform), 2);
}

#[tokio::test]
async fn in_force_waits_for_the_process_that_is_behind() {
    let platform = platform().await;
    let target = target("engine-1", &platform).await;
    let entry = entry("entry-1", &platform).await;

    let before = put(&entry, &tier("crew", 0), 0, "&wait=in_force").await;
    // Whoever holds the reports is frozen, and with it one of the processes that must follow.
    target.agent.signal("STOP");
    let during = put(&entry, &tier("desk", 1), 0, "&wait=in_force&timeout_ms=1500").await;
    target.agent.signal("CONT");
    let id = during.body["error"]["change"].as_str().unwrap();
    let more = format!("&wait=in_force&change={id}");
    let after = put(&entry, &tier("desk", 1), 0, &more).await;

    assert_eq!((before.status, &before.body["reached"]), (StatusCode::OK, &json!("in_force")));
    assert_eq!(during.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(during.body["error"]["reason"], "not_in_force");
    assert_eq!(during.body["error"]["offset"], 4);
    assert_eq!((after.status, &after.body["version"]), (StatusCode::OK, &json!(4)));
}

#[tokio::test]
async fn a_listed_host_that_tells_nothing_keeps_a_change_from_being_called_in_force() {
    let platform = platform().await;
    let listed =
        |name: &str| Host { name: name.to_owned(), zone: "a".to_owned(), state: host::State::Live };
    platform.hosts.set(["engine-1", "entry-1", "silent"].map(listed).to_vec());
    let _target = target("engine-1", &platform).await;
    let entry = entry("entry-1", &platform).await;

    let written = put(&entry, &tier("crew", 0), 0, "&wait=in_force&timeout_ms=1500").await;
    let status = get(&entry, "/v1/status").await.body;
    platform.hosts.set(["engine-1", "entry-1"].map(listed).to_vec());
    let id = written.body["error"]["change"].as_str().unwrap();
    let more = format!("&wait=in_force&change={id}");
    let after = put(&entry, &tier("crew", 0), 0, &more).await;

    assert_eq!(written.body["error"]["reason"], "not_in_force");
    assert_eq!((&status["in_force"], &status["listed"]), (&Value::Null, &json!(3)));
    assert_eq!(after.body["reached"], "in_force");
}

/// Offsets of the changes among a watch's lines.
fn offsets(lines: &[Value]) -> Vec<u64> {
    let changes = lines.iter().filter(|line| line["type"] != "bookmark");
    changes.map(|line| line["offset"].as_u64().unwrap()).collect()
}

/// The last bookmark among a watch's lines.
fn bookmark(lines: &[Value]) -> u64 {
    let last = lines.iter().rfind(|line| line["type"] == "bookmark").unwrap();
    last["offset"].as_u64().unwrap()
}

#[tokio::test]
async fn a_watch_goes_on_through_another_entry_without_loss_or_doubles() {
    let platform = platform().await;
    let entries = [entry("entry-1", &platform).await, entry("entry-2", &platform).await];
    let mut seen = Vec::new();
    let mut next = 1;

    for round in 0..6_u8 {
        let entry = &entries[usize::from(round % 2)];
        put(entry, &tier("crew", round), 0, "").await;
        // Records that aren't accepted are passed over, and covered by the bookmark.
        fixture::seed(&platform.log, vec![tier("crew", 9)]);
        platform.log.append(source::CONFIG, "no change".to_owned());
        delete(entry, "/v1/resources/tier/crew", u64::from(round) * 4 + 1).await;
        let lines = operator::watch(entry, next, u64::from(round) * 4 + 4).await;
        next = bookmark(&lines) + 1;
        seen.extend(offsets(&lines));
    }

    let expected: Vec<u64> = (0..6).flat_map(|round| [round * 4 + 1, round * 4 + 4]).collect();
    assert_eq!(seen, expected);
}

#[tokio::test]
async fn a_watch_tells_what_changed_as_it_happens() {
    let platform = platform().await;
    let entry = entry("entry-1", &platform).await;
    let watching = operator::watch(&entry, 1, 2);
    let writing = async {
        put(&entry, &tier("crew", 0), 0, "").await;
        delete(&entry, "/v1/resources/tier/crew", 1).await
    };

    let (lines, _) = tokio::join!(watching, writing);

    let changes: Vec<&Value> = lines.iter().filter(|line| line["type"] != "bookmark").collect();
    let resource = serde_json::to_value(tier("crew", 0)).unwrap();
    let key = json!({"kind": "tier", "name": "crew"});
    assert_eq!(changes[0], &json!({"type": "put", "offset": 1, "resource": resource}));
    assert_eq!(changes[1], &json!({"type": "delete", "offset": 2, "key": key}));
}

#[tokio::test]
async fn a_watch_of_one_kind_tells_no_other() {
    let platform = platform().await;
    fixture::seed(&platform.log, vec![tier("crew", 0), fixture::service_pool("status")]);
    let entry = entry("entry-1", &platform).await;

    let lines = operator::watch_with(&entry, "from=1&kind=pool", 2).await;

    assert_eq!(offsets(&lines), [2]);
}
