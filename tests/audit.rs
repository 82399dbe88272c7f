//! `wagtailhill audit` against a log.

mod support;

use std::{
    process::{Command, Output},
    time::{Duration, SystemTime},
};

use evidence::{
    Batch, Fact, Record,
    batch::{self, Digest, Envelope, Process, Role, SCHEMA},
};
use model::refusal::{Ran, Reason};
use serde_json::Value;
use standin::{fixture::ANY, log};
use test_case::test_case;
use uuid::Uuid;

/// Evidence of one entry that refused a request, shedding past a lower tier where asked.
fn chain(left_waiting: Option<u8>) -> Vec<batch::Sealed> {
    let request = evidence::record::Request {
        request: Uuid::from_u128(1),
        account: "viewer".to_owned(),
        rank: Some(1),
        claim: None,
        idempotent: true,
        arrived: time(1),
        starts: Vec::new(),
        outcome: evidence::record::Outcome::Refused {
            reason: Reason::Overloaded,
            ran: Ran::NotRun,
            left_waiting,
        },
    };
    let first = seal(1, Digest::default(), vec![Fact::Request(request)]);
    let last = seal(2, first.digest, vec![Fact::Closed { open: 0 }]);
    vec![first, last]
}

fn seal(sequence: u64, previous: Digest, facts: Vec<Fact>) -> batch::Sealed {
    let process = Process {
        role: Role::Entry,
        name: "entry-1".to_owned(),
        host: "h1".to_owned(),
        run: Uuid::from_u128(7),
    };
    let record = |fact| Record { at: time(sequence * 10), fact };
    batch::seal(&Batch {
        schema: SCHEMA,
        process,
        sequence,
        previous,
        since: time(sequence * 10 - 10),
        sealed: time(sequence * 10),
        lost: 0,
        records: facts.into_iter().map(record).collect(),
    })
}

fn time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

async fn audit(batches: Vec<batch::Sealed>, arguments: &[&str]) -> Output {
    let log = log::bind(ANY).await.unwrap();
    for sealed in batches {
        let envelope = Envelope { batches: vec![sealed] };
        log.append(source::EVIDENCE, serde_json::to_string(&envelope).unwrap());
    }
    let mut command = Command::new(support::ENTRY);
    command.args(["audit", "--log", &log.base()]).args(arguments);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

#[test_case(chain(None), 0, "held"; "held")]
#[test_case(chain(Some(2)), 7, "rank 1 was shed while rank 2 went on waiting"; "violated")]
#[test_case(chain(None).split_off(1), 8, "batches 1 to 1 are missing"; "not provable")]
#[test_case(Vec::new(), 8, "there is no evidence in the range"; "empty")]
#[tokio::test(flavor = "multi_thread")]
async fn each_verdict_has_its_exit_code(batches: Vec<batch::Sealed>, code: i32, said: &str) {
    let output = audit(batches, &[]).await;

    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(code), "{printed}");
    assert!(printed.contains(said), "{printed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn scripts_get_the_whole_report() {
    let output = audit(chain(Some(2)), &["--output", "json"]).await;

    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let rule = report["findings"].as_array().unwrap().iter().find(|f| f["rule"] == "tier_order");
    assert_eq!(rule.unwrap()["verdict"], "violated");
    assert_eq!(rule.unwrap()["violations"][0]["records"][0]["offset"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_range_of_offsets_is_judged_from_where_every_chain_has_begun() {
    let output = audit(chain(Some(2)), &["--from-offset", "2"]).await;

    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{printed}");
    assert!(printed.contains("1970-01-12T13:46:50.001Z"), "{printed}");
}

#[test]
fn a_log_that_cannot_be_read_judges_nothing() {
    let mut command = Command::new(support::ENTRY);

    let output = command.args(["audit", "--log", "http://127.0.0.1:1"]).output().unwrap();

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("Nothing was judged"));
}

#[test]
fn a_time_that_is_none_is_a_faulty_argument() {
    let mut command = Command::new(support::ENTRY);

    let output =
        command.args(["audit", "--log", "http://127.0.0.1:1", "--from", "noon"]).output().unwrap();

    assert_eq!(output.status.code(), Some(2));
}
