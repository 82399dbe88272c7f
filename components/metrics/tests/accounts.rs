//! Number of histograms by client account.

use std::time::Duration;

/// Guards against a histogram for each account, which would exhaust the memory of a process with tens of
/// thousands of accounts.
#[test]
fn accounts_beyond_the_first_64_share_one_histogram() {
    let metrics = metrics::gateway::open();

    for number in 0..1_000 {
        metrics.record_answer(Some(&format!("account-{number}")), Duration::from_millis(5));
    }

    let text = metrics.render();
    let counts = text.lines().filter(|line| line.starts_with("wagtailhill_answer_seconds_count"));
    let (shared, own): (Vec<&str>, Vec<&str>) =
        counts.partition(|line| line.contains("account=\"other\"}"));
    assert_eq!(own.len(), 64);
    assert_eq!(shared, ["wagtailhill_answer_seconds_count{account=\"other\"} 936"]);
}
