//! Writes through an entry process that applies the records of the log late.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use api::{Context, History, Presence};
use model::credential;
use reqwest::{Client, StatusCode};
use scheduler::config::State;
use serde_json::Value;
use standin::{
    fixture::{self, ANY},
    log,
};
use tokio::sync::watch;

const KEY: &str = "operator-key";

/// Returns the context of a server whose process applies the records that the log holds now, 200 ms
/// later, and no records after them.
fn lagging_context(log: &log::Log, state: &Arc<Mutex<State>>) -> Context {
    let (applied_writer, applied) = watch::channel(state.lock().unwrap().applied());
    let records = log.records(source::CONFIG);
    let follower = Arc::clone(state);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(200)).await;
        for record in records {
            // Records that were applied before are rejected as stale.
            let _ = follower.lock().unwrap().apply(record.offset, &record.payload);
        }
        applied_writer.send_replace(follower.lock().unwrap().applied());
        applied_writer.closed().await;
    });
    let state = Arc::clone(state);
    let key_hash = credential::hash(KEY);
    Context {
        operators: vec![settings::Operator { name: "olga".to_owned(), key_hash }],
        process: "entry-1".to_owned(),
        ready: Box::new(|| true),
        metrics: Box::new(String::new),
        inspect: Box::new(move |question| question(&state.lock().unwrap())),
        presence: Box::new(|| Box::pin(async { Presence::default() })),
        applied,
        history: Arc::new(History::default()),
        log: source::log::open(&log.base()),
    }
}

// A process that checked the change against its outdated state, in which the resource doesn't
// exist, would append it instead of reporting the conflict.
#[tokio::test]
async fn a_lagging_process_catches_up_with_the_log_before_it_reports_a_conflict() {
    let log = log::bind(ANY).await.unwrap();
    fixture::seed(&log, vec![fixture::tier("crew", 0, Duration::from_secs(1))]);
    let state = Arc::new(Mutex::new(State::default()));
    let server = api::spawn(ANY, lagging_context(&log, &state)).unwrap();
    let url = format!("http://{}/v1/resources/tier/crew?expected=0", server.local_addr());
    let conflicting = fixture::tier("crew", 1, Duration::from_secs(1));

    let answer = Client::new().put(url).bearer_auth(KEY).json(&conflicting).send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::CONFLICT);
    let conflict: Value = answer.json().await.unwrap();
    assert_eq!(conflict["error"]["version"], 1);
    assert_eq!(log.records(source::CONFIG).len(), 1);
}

// A process that checked the change against its outdated state would report a conflict with the
// version that another process wrote.
#[tokio::test]
async fn a_lagging_process_accepts_an_expected_version_that_it_has_not_applied_yet() {
    let log = log::bind(ANY).await.unwrap();
    fixture::seed(&log, vec![fixture::tier("crew", 0, Duration::from_secs(1))]);
    let state = Arc::new(Mutex::new(State::default()));
    let server = api::spawn(ANY, lagging_context(&log, &state)).unwrap();
    let url =
        format!("http://{}/v1/resources/tier/crew?expected=1&timeout_ms=500", server.local_addr());
    let update = fixture::tier("crew", 1, Duration::from_secs(1));

    let answer = Client::new().put(url).bearer_auth(KEY).json(&update).send().await.unwrap();

    // The change was appended at offset 2, but the test's process never applies that record.
    let unknown: Value = answer.json().await.unwrap();
    assert_eq!(unknown["error"]["reason"], "unknown");
    assert_eq!(unknown["error"]["offset"], 2);
}
