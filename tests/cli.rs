//! The command line: help, checks, exit codes.

mod support;

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use serde_json::{Value, json};
use test_case::test_case;

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

fn entry() -> Value {
    json!({
        "name": "entry-1", "host": "h1", "zone": "a",
        "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
        "platform": {"log": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:2"}
    })
}

#[test]
fn sound_settings_have_no_findings() {
    let file = support::write(&entry());

    let output = run(support::ENTRY, &["check", file.path().to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(0));
}

#[test_case(support::ENTRY, "check"; "check")]
#[test_case(support::ENTRY, "serve"; "serve")]
fn faulty_settings_exit_with_two_and_name_every_place(program: &str, subcommand: &str) {
    let mut faulty = entry();
    faulty["bounds"] = json!({"waiting": "many"});
    faulty["surprise"] = json!(true);
    let file = support::write(&faulty);

    let output = run(program, &[subcommand, file.path().to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(2));
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(printed.contains("$.bounds.waiting: "), "{printed}");
    assert!(printed.contains("unknown setting: surprise"), "{printed}");
}

#[test]
fn an_agent_checks_its_settings() {
    let file = support::write(&json!({"target": "t"}));

    let output = run(support::AGENT, &["--check", file.path().to_str().unwrap()]);

    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn a_key_is_hashed_from_standard_input() {
    let mut child = Command::new(support::ENTRY)
        .arg("hash")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"secret\n").unwrap();

    let output = child.wait_with_output().unwrap();

    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(printed.trim(), model::credential::hash("secret"));
}
