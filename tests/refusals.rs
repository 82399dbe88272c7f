//! Refusals by the real programs: the reason, and that `not_run` is true by the engines' journal.

mod support;

use std::time::Duration;

use model::refusal::Ran;
use support::site::{self, Outcome, Plan, whole};

fn refused(reason: &str) -> Outcome {
    Outcome::Refused { reason: reason.to_owned(), ran: Ran::NotRun }
}

#[tokio::test]
async fn a_higher_tier_takes_the_place_of_a_lower_one_from_another_entry() {
    let site = site::open(Plan { entries: 2, waiting: 2, ..Plan::default() }).await;
    let _first = site.occupy().await;
    let bulk = [site.call(0, "bulk", "bulk-0"), site.call(0, "bulk", "bulk-1")];
    site.waiting(0, 2).await;

    let crew = [site.call(1, "crew", "crew-0"), site.call(1, "crew", "crew-1")];
    for call in bulk {
        assert_eq!(call.await.unwrap(), refused("overloaded"));
    }
    site.freeze_engines(false);

    for (call, prompt) in crew.into_iter().zip(["crew-0", "crew-1"]) {
        assert_eq!(call.await.unwrap(), whole(prompt));
    }
    assert_eq!(site.runs("bulk-0") + site.runs("bulk-1"), 0);
}

#[tokio::test]
async fn a_request_whose_deadline_passes_while_it_waits_never_runs() {
    let site = site::open(Plan::default()).await;
    let first = site.occupy().await;

    let late = site.call_within(0, "crew", "late", Duration::from_millis(200));
    assert_eq!(late.await.unwrap(), refused("deadline"));
    site.freeze_engines(false);
    for call in first {
        assert_eq!(call.await.unwrap(), whole("first-0"));
    }

    assert_eq!(site.call(0, "crew", "next").await.unwrap(), whole("next"));
    assert_eq!(site.runs("late"), 0);
}
