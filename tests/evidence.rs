//! Evidence of the real programs, judged by `wagtailhill audit`.

mod support;

use std::{
    process::{Command, Output},
    time::Duration,
};

use futures::future;
use model::resource::Backing;
use reqwest::Client;
use serde_json::Value;
use standin::{
    fixture::{self, ANY},
    hosts,
    log::{self, Log},
    service,
};
use support::site::{self, Outcome, Plan, Site};

const CROWDED: Plan = Plan {
    entries: 2,
    targets: 2,
    slots: 1,
    waiting: 1,
    step: Duration::from_millis(1),
    checks_fence: false,
};

/// Longer than any test.
const NEVER: Duration = Duration::from_secs(3_600);

async fn audit(log: &Log) -> Output {
    let mut command = Command::new(support::ENTRY);
    command.args(["audit", "--output", "json", "--log", &log.base()]);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

fn finding<'a>(report: &'a Value, rule: &str) -> &'a Value {
    let findings = report["findings"].as_array().unwrap();
    findings.iter().find(|finding| finding["rule"] == rule).unwrap()
}

/// Ends every process by SIGTERM and waits for it.
fn terminate(site: &mut Site) {
    for process in site.entries.drain(..).chain(site.agents.drain(..)) {
        process.signal("TERM");
        assert!(process.wait().success());
    }
}

/// Sends more than the targets take, lets all end, and gives what the callers got.
async fn overload(site: &Site) -> Vec<Outcome> {
    let mut calls = site.occupy().await;
    for number in 0..12 {
        let tier = if number % 3 == 0 { "crew" } else { "bulk" };
        calls.push(site.call(number % 2, tier, &format!("later-{number}")));
    }
    site.waiting(0, 1).await;
    site.waiting(1, 1).await;
    site.freeze_engines(false);
    future::join_all(calls).await.into_iter().map(|outcome| outcome.unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn traffic_under_overload_is_held_by_the_evidence() {
    let mut site = site::open(CROWDED).await;

    let outcomes = overload(&site).await;
    terminate(&mut site);
    let output = audit(&site.log).await;

    let report = report(&output);
    assert_eq!(output.status.code(), Some(0), "{report:#}");
    let whole = outcomes.iter().filter(|o| matches!(o, Outcome::Whole(_))).count();
    let refused = outcomes.len() - whole;
    assert_eq!(finding(&report, "dispatched_once")["checked"], whole);
    assert_eq!(finding(&report, "whole_answers")["checked"], whole);
    assert_eq!(finding(&report, "not_run")["checked"], refused);
    assert_eq!(finding(&report, "graceful_shutdown")["checked"], 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_log_stops_no_traffic_and_loses_no_evidence() {
    let mut site = site::open(Plan::default()).await;
    site.log.fault(|faults| faults.down = true);

    let outcome = site.call(0, "crew", "p").await.unwrap();
    site.log.fault(|faults| faults.down = false);
    terminate(&mut site);
    let output = audit(&site.log).await;

    assert_eq!(outcome, site::whole("p"));
    let report = report(&output);
    assert_eq!(output.status.code(), Some(0), "{report:#}");
    assert_eq!(finding(&report, "whole_answers")["checked"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_killed_agent_took_with_it_is_not_proved() {
    let log = log::bind(ANY).await.unwrap();
    let hosts = hosts::bind(ANY).await.unwrap();
    let service = service::bind(ANY, Duration::ZERO).await.unwrap();
    let settings = fixture::agent("t1", service.address, Backing::Service, &log, &hosts);
    let agent = support::agent(&settings::Agent { evidence: NEVER, ..settings });
    let target =
        fixture::target("t1", "status", agent.address("control"), agent.address("traffic"));
    let tier = fixture::tier("crew", 0, Duration::from_secs(20));
    let account = fixture::account("viewer", &["crew"]);
    fixture::seed(&log, vec![tier, account, fixture::service_pool("status"), target]);
    let entry = support::serve(&fixture::entry("entry-1", &log, &hosts));
    support::ready(&entry).await;
    let url = format!("http://{}/v1/services/status/huts", entry.address("callers"));
    let call = Client::new().get(url).bearer_auth(fixture::key("viewer"));
    let answer = call.send().await.unwrap().bytes().await.unwrap();

    agent.kill();
    entry.signal("TERM");
    assert!(entry.wait().success());
    let output = audit(&log).await;

    assert!(!answer.is_empty());
    let report = report(&output);
    assert_eq!(output.status.code(), Some(8), "{report:#}");
    let finding = finding(&report, "whole_answers");
    assert_eq!(finding["gaps"][0]["unwitnessed"]["target"], "t1", "{finding:#}");
}
