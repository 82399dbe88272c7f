//! `wagtailhill audit --store` against a stand-in of the users' platform's store.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::{net::SocketAddr, process::Output};

use http::StatusCode;
use serde_json::Value;
use support::{
    runner::{self, Behavior},
    start_entry,
};
use tokio::process::Command;

const VIOLATED: i32 = 7;
const NOT_PROVABLE: i32 = 8;

async fn audit(store: SocketAddr) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailhill"));
    command.args(["audit", "--store", &store.to_string(), "--output", "json"]);
    command.output().await.expect("the command runs")
}

fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the report is JSON")
}

#[tokio::test]
async fn what_an_entry_wrote_is_judged_from_the_store() {
    let a = runner::bind("a", Behavior::Respond(StatusCode::OK)).await;
    let mut entry = start_entry(&[&a]).await;
    for number in 0..3 {
        entry.send(entry.request("/unsafe/", &format!("id-{number}")), "").await;
    }
    entry.gateway.take().expect("still running").drain().await;
    entry.evidence.take().expect("still running").flush().await;

    let output = audit(entry.store.address).await;

    let text = report(&output).to_string();
    assert_ne!(output.status.code(), Some(VIOLATED), "{text}");
    let once = finding(&report(&output), "dispatched_once");
    assert_eq!((once["verdict"].as_str(), once["checked"].as_u64()), (Some("held"), Some(3)));
}

#[tokio::test]
async fn evidence_of_one_that_still_runs_is_no_proof_of_the_rest() {
    let a = runner::bind("a", Behavior::Respond(StatusCode::OK)).await;
    let mut entry = start_entry(&[&a]).await;
    entry.send(entry.request("/unsafe/", "id"), "").await;
    entry.evidence.take().expect("still running").flush().await;

    let output = audit(entry.store.address).await;

    assert_eq!(output.status.code(), Some(NOT_PROVABLE));
}

#[tokio::test]
async fn a_store_that_does_not_answer_is_said_so() {
    let store = support::store::bind().await;
    store.set_unavailable(true);

    let output = audit(store.address).await;

    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("Nothing was judged"), "{said}");
}

fn finding(report: &Value, rule: &str) -> Value {
    let findings = report["findings"].as_array().expect("there are findings");
    findings.iter().find(|finding| finding["rule"] == rule).expect("the rule is audited").clone()
}
