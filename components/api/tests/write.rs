//! Writes through a process that lags behind the log.

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

/// A server whose process applies the log's records only after a while.
fn lagging(log: &log::Log, fold: &Arc<Mutex<State>>) -> Context {
    let (applied_writer, applied) = watch::channel(fold.lock().unwrap().applied());
    let records = log.records(source::CONFIG);
    let follower = Arc::clone(fold);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(200)).await;
        for record in records {
            // Records that were applied before are stale, and stay so.
            let _ = follower.lock().unwrap().apply(record.offset, &record.payload);
        }
        applied_writer.send_replace(follower.lock().unwrap().applied());
        applied_writer.closed().await;
    });
    let fold = Arc::clone(fold);
    let key_hash = credential::hash(KEY);
    Context {
        operators: vec![settings::Operator { name: "olga".to_owned(), key_hash }],
        process: "entry-1".to_owned(),
        ready: Box::new(|| true),
        metrics: Box::new(String::new),
        inspect: Box::new(move |question| question(&fold.lock().unwrap())),
        presence: Box::new(|| Box::pin(async { Presence::default() })),
        applied,
        history: Arc::new(History::default()),
        log: source::log::open(&log.base()),
    }
}

#[tokio::test]
async fn a_process_that_lags_catches_up_before_it_speaks_of_a_conflict() {
    let log = log::bind(ANY).await.unwrap();
    fixture::seed(&log, vec![fixture::tier("crew", 0, Duration::from_secs(1))]);
    let fold = Arc::new(Mutex::new(State::default()));
    let server = api::spawn(ANY, lagging(&log, &fold)).unwrap();
    let url = format!("http://{}/v1/resources/tier/crew?expected=0", server.local_addr());
    let other = fixture::tier("crew", 1, Duration::from_secs(1));

    let answer = Client::new().put(url).bearer_auth(KEY).json(&other).send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::CONFLICT);
    let conflict: Value = answer.json().await.unwrap();
    assert_eq!(conflict["error"]["version"], 1);
    assert_eq!(log.records(source::CONFIG).len(), 1);
}

#[tokio::test]
async fn a_process_that_lags_knows_the_version_that_another_one_gave() {
    let log = log::bind(ANY).await.unwrap();
    fixture::seed(&log, vec![fixture::tier("crew", 0, Duration::from_secs(1))]);
    let fold = Arc::new(Mutex::new(State::default()));
    let server = api::spawn(ANY, lagging(&log, &fold)).unwrap();
    let url =
        format!("http://{}/v1/resources/tier/crew?expected=1&timeout_ms=500", server.local_addr());
    let update = fixture::tier("crew", 1, Duration::from_secs(1));

    let answer = Client::new().put(url).bearer_auth(KEY).json(&update).send().await.unwrap();

    // It was appended, but this process applies nothing after the first records.
    let unknown: Value = answer.json().await.unwrap();
    assert_eq!(unknown["error"]["reason"], "unknown");
    assert_eq!(unknown["error"]["offset"], 2);
}
