//! A caller gets the whole answer to its own request, or none: across the real processes.

mod support;

use std::time::Duration;

use bytes::Bytes;
use model::refusal::Ran;
use support::{
    crossing::{self, Fault},
    site::{self, Outcome, Plan, whole},
};
use test_case::test_case;
use uuid::Uuid;
use wire::frame::Part;

const CONTENT: &str = r#"{"choices":[{"text":"valve 7"}]}"#;

fn torn(ran: Ran) -> Outcome {
    Outcome::Refused { reason: "torn_answer".to_owned(), ran }
}

fn answered() -> Outcome {
    Outcome::Whole("valve 7".to_owned())
}

#[test_case(|_| {} => answered(); "as sent")]
#[test_case(|f| f.reverse() => answered(); "last first")]
#[test_case(|f| { let twice = f.clone(); f.splice(3..3, twice); } => answered(); "doubled, partly early")]
#[test_case(|f| f.truncate(5) => torn(Ran::MayHaveRun); "cut off")]
#[test_case(|f| { f.remove(5); } => torn(Ran::MayHaveRun); "one lost")]
#[test_case(|f| f[5].request = Uuid::nil() => torn(Ran::MayHaveRun); "one of another request")]
#[test_case(|f| f.iter_mut().for_each(|f| f.request = Uuid::nil()) => torn(Ran::MayHaveRun); "all of another request")]
#[test_case(|f| f[21].part = Part::Chunk(Bytes::from_static(b"V")) => torn(Ran::Yes); "a byte changed")]
#[test_case(|f| { let end = f.len() - 1; f.remove(end - 1); f[end - 1].sequence -= 1 } => torn(Ran::Yes); "one chunk fewer, end moved up")]
#[tokio::test]
async fn frames_make_the_whole_answer_or_none(fault: Fault) -> Outcome {
    let mut site = site::open(Plan::default()).await;
    let traffic = crossing::bind(CONTENT, fault).await;
    site.declare(0, |target| target.traffic = traffic.address).await;

    site.call(0, "crew", "p").await.unwrap()
}

#[tokio::test]
async fn each_of_many_callers_gets_its_own_answer_while_connections_are_cut() {
    const CALLS: usize = 120;
    let step = Duration::from_millis(2);
    let site = site::open(Plan {
        entries: 2,
        targets: 2,
        slots: 16,
        waiting: 256,
        step,
        ..Plan::default()
    })
    .await;
    let prompt = |serial| format!("revision {serial}");
    let calls: Vec<_> =
        (0..CALLS).map(|serial| site.call(serial % 2, "crew", &prompt(serial))).collect();

    for target in 0..2 {
        support::until(|| site.engines[target].runs().len() > 20).await;
        site.traffic[target].cut();
    }

    let mut answers = 0;
    for (serial, call) in calls.into_iter().enumerate() {
        let prompt = prompt(serial);
        match call.await.unwrap() {
            Outcome::Refused { ran, .. } if ran != Ran::NotRun => {}
            outcome => {
                assert_eq!(outcome, whole(&prompt));
                answers += 1;
            }
        }
        assert!(site.runs(&prompt) <= 1);
    }
    assert!(answers > 0 && answers < CALLS, "{answers} answers: nothing was cut, or all");
}
