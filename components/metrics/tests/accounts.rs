//! Histograms by client account stay bounded.

use std::time::Duration;

#[test]
fn an_entry_of_the_platform_tells_a_bounded_number_of_accounts_apart() {
    let metrics = metrics::gateway::open();

    for number in 0..1_000 {
        metrics.whole(Some(&format!("account-{number}")), Duration::from_millis(5));
    }

    let text = metrics.render();
    let counts = text.lines().filter(|line| line.starts_with("wagtailhill_answer_seconds_count"));
    let (other, own): (Vec<&str>, Vec<&str>) =
        counts.partition(|line| line.contains("account=\"other\"}"));
    assert_eq!(own.len(), 64);
    assert_eq!(other, ["wagtailhill_answer_seconds_count{account=\"other\"} 936"]);
}
