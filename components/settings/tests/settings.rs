//! Checks that the defaults of settings apply and that all faults of a settings file are reported
//! together.

use std::time::Duration;

use model::Finding;
use serde_json::{Value, json};
use test_case::test_case;

fn entry_settings() -> Value {
    json!({
        "name": "entry-1", "host": "h1", "zone": "a",
        "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
        "platform": {"log": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:2"}
    })
}

fn agent_settings() -> Value {
    json!({
        "target": "t1", "host": "h1", "zone": "a",
        "listen": {"control": "127.0.0.1:0", "traffic": "127.0.0.1:0", "operators": "127.0.0.1:0"},
        "engine": {"address": "127.0.0.1:9", "backing": "model"},
        "platform": {"log": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:2"}
    })
}

fn places(findings: Vec<Finding>) -> Vec<String> {
    findings.into_iter().map(|finding| finding.place).collect()
}

#[test]
fn absent_settings_have_their_defaults() {
    let parsed = settings::parse_entry(&entry_settings().to_string()).unwrap();

    assert_eq!(parsed.bounds.waiting, 4_096);
    assert_eq!(parsed.timing.poll, Duration::from_secs(2));
}

#[test]
fn all_structural_faults_are_reported_together() {
    let mut faulty = entry_settings();
    faulty["listen"]["callers"] = json!(80);
    faulty["bounds"] = json!({"body_bytes": "big", "surprise": 1});
    faulty["operators"] = json!([{"name": "o"}]);
    faulty.as_object_mut().unwrap().remove("zone");

    let findings = settings::parse_entry(&faulty.to_string()).unwrap_err();

    let expected = ["$", "$.bounds", "$.bounds.body_bytes", "$.listen.callers", "$.operators[0]"];
    assert_eq!(places(findings), expected);
}

#[test]
fn all_faulty_values_are_reported_together() {
    let mut faulty = entry_settings();
    faulty["name"] = json!("Entry 1");
    faulty["platform"]["log"] = json!("ftp://log");
    faulty["timing"] = json!({"poll_ms": 0});
    faulty["operators"] = json!([{"name": "", "key_hash": "short"}]);

    let findings = settings::parse_entry(&faulty.to_string()).unwrap_err();

    let expected = [
        "$.name",
        "$.operators[0].key_hash",
        "$.operators[0].name",
        "$.platform.log",
        "$.timing.poll",
    ];
    assert_eq!(places(findings), expected);
}

#[test_case("{\"name\": }" => "line 1, column 10"; "broken JSON")]
#[test_case("" => "line 1, column 0"; "empty file")]
fn a_syntax_error_is_reported_with_its_line_and_column(text: &str) -> String {
    settings::parse_agent(text).unwrap_err().remove(0).place
}

#[test]
fn an_unknown_backing_of_an_agent_is_a_finding() {
    let mut faulty = agent_settings();
    faulty["engine"]["backing"] = json!("toaster");

    let findings = settings::parse_agent(&faulty.to_string()).unwrap_err();

    assert_eq!(places(findings), ["$.engine.backing"]);
}

#[test]
fn a_missing_file_is_a_finding() {
    let findings = settings::load_agent(std::path::Path::new("/nowhere/agent.json")).unwrap_err();

    assert_eq!(places(findings), ["file"]);
}
