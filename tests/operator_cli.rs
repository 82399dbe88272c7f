//! The operators' command line against an entry process.

mod support;

use std::{
    io::{BufRead, BufReader},
    process::{Command, Output, Stdio},
    time::Duration,
};

use model::{Host, Resource, host, resource::Backing};
use serde_json::{Value, json};
use standin::{
    fixture::{self, ANY},
    hosts, log,
};
use support::{Process, operator};
use tempfile::NamedTempFile;
use test_case::test_case;

struct Site {
    entry: Process,
    log: log::Log,
    hosts: hosts::Hosts,
}

async fn open() -> Site {
    let log = log::bind(ANY).await.unwrap();
    let hosts = hosts::bind(ANY).await.unwrap();
    let mut settings = fixture::entry("entry-1", &log, &hosts);
    settings.operators = vec![operator::setting()];
    let entry = support::serve(&settings);
    support::ready(&entry).await;
    Site { entry, log, hosts }
}

impl Site {
    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(support::ENTRY);
        command.args(arguments).args(["--server", &self.entry.address("operators").to_string()]);
        command.env("WAGTAILHILL_KEY", operator::KEY);
        command
    }

    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = self.command(arguments);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    }

    async fn apply(&self, content: &Value) -> Output {
        let file = support::write(content);
        self.run(&["apply", "-f", name(&file)]).await
    }
}

fn name(file: &NamedTempFile) -> &str {
    file.path().to_str().unwrap()
}

fn tier(name: &str, rank: u8) -> Resource {
    fixture::tier(name, rank, Duration::from_secs(2))
}

fn live(name: &str) -> Host {
    Host { name: name.to_owned(), zone: "a".to_owned(), state: host::State::Live }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[tokio::test]
async fn what_refers_to_another_may_stand_before_it_in_the_file() {
    let site = open().await;
    let address = ANY;
    let file = json!([
        fixture::target("engine-1", "drawings", address, address),
        fixture::account("viewer", &["crew"]),
        fixture::model_pool("drawings", &["drawing-7b"]),
        tier("crew", 0),
    ]);

    let applied = site.apply(&file).await;
    let again = site.apply(&file).await;

    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    assert!(text(&applied.stdout).contains("target `engine-1` accepted at 4"));
    assert_eq!(again.status.code(), Some(0));
    assert!(text(&again.stdout).contains("tier `crew` unchanged at 1"));
    assert_eq!(site.log.records(source::CONFIG).len(), 4);
}

#[test_case(&["engine-1"]; "one target")]
#[test_case(&["drawing-1", "drawing-2", "status-1"]; "another keeper of reports with each target")]
#[tokio::test]
async fn the_first_apply_of_a_deployment_can_wait_until_all_is_in_force(targets: &[&str]) {
    let site = open().await;
    let settings = |name: &&str| fixture::agent(name, ANY, Backing::Model, &site.log, &site.hosts);
    let agents: Vec<Process> = targets.iter().map(|name| support::agent(&settings(name))).collect();
    site.hosts.set(targets.iter().copied().chain(["entry-1"]).map(live).collect());
    while operator::get(&site.entry, "/v1/status").await.body["listed"] != targets.len() + 1 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut file = vec![tier("crew", 0), fixture::model_pool("drawings", &["drawing-7b"])];
    file.extend(targets.iter().zip(&agents).map(|(name, agent)| {
        fixture::target(name, "drawings", agent.address("control"), agent.address("traffic"))
    }));
    let file = support::write(&file);

    let arguments = ["apply", "-f", name(&file), "--wait", "in_force", "--timeout", "8"];
    let applied = site.run(&arguments).await;

    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
}

#[tokio::test]
async fn a_table_is_for_people_and_json_can_be_applied_again() {
    let site = open().await;
    site.apply(&json!(tier("crew", 0))).await;

    let table = site.run(&["get", "tier"]).await;
    let json = site.run(&["get", "tier", "crew", "--output", "json"]).await;
    let mut items: Value = serde_json::from_slice(&json.stdout).unwrap();
    items[0]["resource"]["rank"] = json!(3);
    let updated = site.apply(&items).await;
    let stale = site.apply(&items).await;
    items[0]["resource"]["rank"] = json!(4);
    let conflict = site.apply(&items).await;

    let lines: Vec<String> = text(&table.stdout).lines().map(str::to_owned).collect();
    let cells = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    assert_eq!(cells(&lines[0]), ["TIER", "VERSION", "RANK", "DEADLINE"]);
    assert_eq!(cells(&lines[1]), ["crew", "1", "0", "2s"]);
    assert_eq!(updated.status.code(), Some(0), "{}", text(&updated.stderr));
    assert_eq!(stale.status.code(), Some(0), "the file's state stands already");
    assert_eq!(conflict.status.code(), Some(3));
    assert!(text(&conflict.stderr).contains("version 2 stands"), "{}", text(&conflict.stderr));
}

#[tokio::test]
async fn every_finding_of_a_file_is_told_with_its_place() {
    let site = open().await;
    let file = json!([
        {"kind": "tier", "name": "crew", "rank": "high"},
        {"kind": "castle"},
        {"kind": "account", "name": "Viewer", "key_hash": "0".repeat(64), "tiers": []},
    ]);

    let refused = site.apply(&file).await;

    assert_eq!(refused.status.code(), Some(2));
    let told = text(&refused.stderr);
    for place in ["[0].rank: ", "[0]: ", "[1].kind: ", "[2].name: ", "[2].tiers: "] {
        assert!(told.contains(place), "{place} in {told}");
    }
    assert!(site.log.records(source::CONFIG).is_empty());
}

#[tokio::test]
async fn findings_of_the_server_have_their_place_in_the_file_too() {
    let site = open().await;
    let file = json!([
        fixture::account("viewer", &["none"]),
        fixture::target("engine-1", "none", ANY, ANY),
        tier("crew", 0),
    ]);

    let refused = site.apply(&file).await;

    assert_eq!(refused.status.code(), Some(2));
    let told = text(&refused.stderr);
    assert!(told.contains("[0].tiers[0]: there is no tier `none`"), "{told}");
    assert!(told.contains("[1].pool: there is no pool `none`"), "{told}");
    assert!(text(&refused.stdout).contains("tier `crew` accepted"));
}

#[test_case(&["get", "tier", "none"] => Some(5); "nothing there")]
#[test_case(&["delete", "tier", "crew", "--version", "7"] => Some(3); "another version")]
#[test_case(&["delete", "tier", "crew", "--wait", "in_force"] => Some(0); "deleted")]
#[test_case(&["get", "castle"] => Some(2); "no such kind")]
#[test_case(&["get", "tier", "--key-file", "/nowhere/key"] => Some(2); "no key file")]
#[test_case(&["status"] => Some(0); "status")]
#[tokio::test]
async fn exit_codes_tell_scripts_what_happened(arguments: &[&str]) -> Option<i32> {
    let site = open().await;
    fixture::seed(&site.log, vec![tier("crew", 0)]);
    // Reading the end of the log is part of a write, so this waits for the record.
    site.apply(&json!(tier("desk", 1))).await;

    site.run(arguments).await.status.code()
}

#[tokio::test]
async fn a_log_that_is_out_fails_an_apply() {
    let site = open().await;
    site.log.fault(|faults| faults.down = true);

    let failed = site.apply(&json!(tier("crew", 0))).await;

    assert_eq!(failed.status.code(), Some(1));
    assert!(text(&failed.stderr).contains("nothing was changed"), "{}", text(&failed.stderr));
}

#[tokio::test]
async fn lost_answers_do_not_fail_an_apply() {
    let site = open().await;
    site.log.fault(|faults| faults.lose_answers = 2);

    let applied = site.apply(&json!([tier("crew", 0), tier("desk", 1)])).await;

    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    let table = text(&site.run(&["get", "tier"]).await.stdout);
    assert_eq!(table.lines().count(), 3, "{table}");
}

#[tokio::test]
async fn a_watch_prints_each_change_once() {
    let site = open().await;
    site.apply(&json!([tier("crew", 0), tier("desk", 1)])).await;
    let mut command = site.command(&["watch", "--from", "1", "--until", "3"]);
    let watch = command.stdout(Stdio::piped()).spawn().unwrap();

    site.run(&["delete", "tier", "crew"]).await;
    let watched = tokio::task::spawn_blocking(|| watch.wait_with_output().unwrap()).await.unwrap();

    assert_eq!(watched.status.code(), Some(0));
    let expected = "1 put tier `crew`\n2 put tier `desk`\n3 delete tier `crew`\n";
    assert_eq!(text(&watched.stdout), expected);
}

#[tokio::test]
async fn status_tells_what_is_in_force() {
    let site = open().await;
    site.apply(&json!([tier("crew", 0), tier("desk", 1)])).await;

    let status = site.run(&["status", "-o", "json"]).await;

    let status: Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!((&status["process"], &status["applied"]), (&json!("entry-1"), &json!(2)));
    assert_eq!(status["in_force"], 2);
}

#[tokio::test]
async fn a_slow_log_makes_an_apply_repeat_its_change_and_not_double_it() {
    let site = open().await;
    let file = support::write(&tier("crew", 0));
    // The first try runs out of time after its append was sent.
    site.log.fault(|faults| faults.slow = Duration::from_millis(700));

    let applied = site.run(&["apply", "-f", name(&file), "--timeout", "1"]).await;

    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    assert_eq!(text(&applied.stdout), "tier `crew` accepted at 1\n");
}

#[tokio::test]
async fn a_watch_goes_on_after_its_entry_was_replaced() {
    let Site { entry, log, hosts } = open().await;
    let operators = entry.address("operators");
    let site = Site { entry, log, hosts };
    site.apply(&json!([tier("crew", 0), tier("desk", 1)])).await;
    let mut command = site.command(&["watch", "--from", "1", "--until", "3"]);
    let mut watch = command.stdout(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(watch.stdout.take().unwrap()).lines();
    let mut lines = lines.map(Result::unwrap);

    let before: Vec<String> = lines.by_ref().take(2).collect();
    let Site { entry, log, hosts } = site;
    entry.kill();
    let mut settings = fixture::entry("entry-2", &log, &hosts);
    settings.operators = vec![operator::setting()];
    settings.listen.operators = operators;
    let site = Site { entry: support::serve(&settings), log, hosts };
    support::ready(&site.entry).await;
    site.run(&["delete", "tier", "crew"]).await;
    let after = tokio::task::spawn_blocking(|| lines.collect::<Vec<String>>()).await.unwrap();

    assert!(watch.wait().unwrap().success());
    assert_eq!(before, ["1 put tier `crew`", "2 put tier `desk`"]);
    assert_eq!(after, ["3 delete tier `crew`"]);
}
