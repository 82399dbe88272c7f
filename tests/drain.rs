//! A target that is leaving gets no new work, whoever said it, and a graceful shutdown of an entry
//! or an agent under load cuts nothing in progress.

mod support;

use std::time::Duration;

use model::resource::Desired;
use support::{
    Process,
    site::{self, Plan, Site, whole},
};

const PROMPT: &str = "revision 12";
const CALLS: usize = 40;

fn prompt(serial: usize) -> String {
    format!("{PROMPT} {serial}")
}

/// Two targets whose one slot is taken, and a request that waits at both.
async fn waiting_at_both() -> (Site, Vec<site::Call>) {
    let site = site::open(Plan { targets: 2, ..Plan::default() }).await;
    let mut calls = site.occupy().await;
    calls.push(site.call(0, "crew", PROMPT));
    site.waiting(0, 1).await;
    site.waiting(1, 1).await;
    (site, calls)
}

/// Lets everything run on: only the other target gets what waited and what comes.
async fn check_left(site: Site, calls: Vec<site::Call>) {
    let before = site.engines[0].runs().len();
    site.freeze_engines(false);

    for (call, prompt) in calls.into_iter().zip(["first-0", "first-1", PROMPT]) {
        assert_eq!(call.await.unwrap(), whole(prompt));
    }
    for serial in 0..10 {
        let prompt = prompt(serial);
        assert_eq!(site.call(0, "crew", &prompt).await.unwrap(), whole(&prompt));
    }
    assert_eq!(site.engines[0].runs().len(), before);
}

#[tokio::test]
async fn a_target_that_the_list_shows_as_leaving_gets_no_new_work() {
    let (site, calls) = waiting_at_both().await;

    site.list_leaving(0);
    // The entry hands one reading on before it asks for the next.
    let shown = site.hosts.reads();
    support::until(|| site.hosts.reads() >= shown + 2).await;
    site.waiting(0, 0).await;

    check_left(site, calls).await;
}

#[tokio::test]
async fn a_target_that_the_operator_takes_away_gets_no_new_work() {
    let (mut site, calls) = waiting_at_both().await;

    site.declare(0, |target| target.desired = Desired::Leaving).await;
    site.waiting(0, 0).await;

    check_left(site, calls).await;
}

#[tokio::test]
async fn a_target_whose_agent_drains_gets_no_new_work() {
    let (site, calls) = waiting_at_both().await;

    site.agents[0].signal("TERM");
    site.waiting(0, 0).await;

    check_left(site, calls).await;
}

#[tokio::test]
async fn an_agent_that_drains_under_load_cuts_nothing_and_sends_what_waits_elsewhere() {
    let step = Duration::from_millis(4);
    let mut site =
        site::open(Plan { entries: 2, targets: 2, slots: 4, waiting: 64, step, ..Plan::default() })
            .await;
    let calls: Vec<_> =
        (0..CALLS).map(|serial| site.call(serial % 2, "crew", &prompt(serial))).collect();
    support::until(|| site.engines[0].running() == 4).await;

    let agent = site.agents.remove(0);
    agent.signal("TERM");
    for (serial, call) in calls.into_iter().enumerate() {
        let prompt = prompt(serial);
        assert_eq!(call.await.unwrap(), whole(&prompt));
        assert_eq!(site.runs(&prompt), 1);
    }

    assert!(agent.wait().success());
    assert!(site.engines.iter().all(|engine| engine.runs().iter().all(|run| run.whole)));
}

#[tokio::test]
async fn an_entry_that_drains_under_load_cuts_nothing() {
    let step = Duration::from_millis(2);
    let mut site =
        site::open(Plan { entries: 2, targets: 2, slots: 4, waiting: 64, step, ..Plan::default() })
            .await;
    site.freeze_engines(true);
    let calls: Vec<_> = (0..CALLS).map(|serial| site.call(0, "crew", &prompt(serial))).collect();
    site.taken(0, CALLS).await;

    let entry: Process = site.entries.remove(0);
    entry.signal("TERM");
    site.freeze_engines(false);
    for (serial, call) in calls.into_iter().enumerate() {
        let prompt = prompt(serial);
        assert_eq!(call.await.unwrap(), whole(&prompt));
        assert_eq!(site.runs(&prompt), 1);
    }

    assert!(entry.wait().success());
}
