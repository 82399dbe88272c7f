//! A request that crashes every target it runs on, sent again and again: at most two crashes, its
//! neighbours aren't blamed, and the refusal says that it did not run.

mod support;

use model::{
    refusal::Ran,
    suspect::{Action, Record},
};
use support::site::{self, Outcome, Plan, Site, whole};

const POISON: &str = "poison";
const SENT: usize = 8;

async fn open() -> Site {
    let site = site::open(Plan { targets: 3, slots: 4, ..Plan::default() }).await;
    for engine in &site.engines {
        engine.fault(|faults| faults.crash_on = Some(POISON.to_owned()));
    }
    site
}

fn quarantined() -> Outcome {
    Outcome::Refused { reason: "quarantined".to_owned(), ran: Ran::NotRun }
}

fn crashes(site: &Site) -> Vec<bool> {
    let records = site.log.records(source::CRASHES);
    let records = records.iter().map(|record| serde_json::from_str(&record.payload).unwrap());
    let crashes = records.filter_map(|record: Record| match record.action {
        Action::Crash(crash) => Some(crash.alone),
        Action::Clear(_) => None,
    });
    crashes.collect()
}

#[tokio::test]
async fn a_body_that_crashes_every_target_crashes_two() {
    let site = open().await;

    let mut outcomes = Vec::new();
    for _ in 0..SENT {
        outcomes.push(site.call(0, "crew", POISON).await.unwrap());
    }

    for lost in &outcomes[..2] {
        let may = matches!(lost, Outcome::Refused { ran: Ran::MayHaveRun, .. });
        assert!(may, "{outcomes:?}");
    }
    assert!(outcomes[2..].iter().all(|outcome| *outcome == quarantined()), "{outcomes:?}");
    assert_eq!(site.runs(POISON), 2);
    assert_eq!(crashes(&site), [false, true]);
    assert_eq!(site.call(0, "crew", "valve 7").await.unwrap(), whole("valve 7"));
}

#[tokio::test]
async fn the_neighbours_of_a_crash_run_again_and_arent_blamed() {
    let site = open().await;
    site.freeze_engines(true);
    let prompts: Vec<String> = (0..9).map(|serial| format!("drawing {serial}")).collect();
    let calls: Vec<_> = prompts.iter().map(|prompt| site.call(0, "crew", prompt)).collect();
    let running = || site.engines.iter().map(|engine| engine.running()).sum::<u32>() == 9;
    support::until(running).await;

    site.call(0, "crew", POISON).await.unwrap();
    site.freeze_engines(false);
    let mut lost = Vec::new();
    for (prompt, call) in prompts.iter().zip(calls) {
        match call.await.unwrap() {
            Outcome::Refused { ran: Ran::MayHaveRun, .. } => lost.push(prompt),
            outcome => assert_eq!(outcome, whole(prompt)),
        }
    }
    site.call(0, "crew", POISON).await.unwrap();

    assert_eq!(site.call(0, "crew", POISON).await.unwrap(), quarantined());
    assert!(!lost.is_empty());
    for prompt in lost {
        assert_eq!(site.call(0, "crew", prompt).await.unwrap(), whole(prompt));
    }
    assert_eq!(site.runs(POISON), 2);
    assert_eq!(crashes(&site), [false, true]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_body_is_refused_by_an_entry_that_only_read_of_it() {
    let mut site = open().await;
    for _ in 0..2 {
        site.call(0, "crew", POISON).await.unwrap();
    }

    let name = "entry-late";
    site.entries.push(support::serve(&standin::fixture::entry(name, &site.log, &site.hosts)));
    support::ready(&site.entries[1]).await;

    assert_eq!(site.call(1, "crew", POISON).await.unwrap(), quarantined());
    assert_eq!(site.runs(POISON), 2);
}

#[tokio::test]
async fn while_the_log_is_down_one_entry_and_the_agents_still_end_at_two_crashes() {
    let site = open().await;
    site.log.fault(|faults| faults.down = true);

    let mut outcomes = Vec::new();
    for _ in 0..SENT {
        outcomes.push(site.call(0, "crew", POISON).await.unwrap());
    }

    assert!(outcomes[2..].iter().all(|outcome| *outcome == quarantined()), "{outcomes:?}");
    assert_eq!(site.runs(POISON), 2);
}
