//! Counters of requests by the answer length that their callers expect.

/// Guards against a label for each length, with which callers could exhaust the memory of a process, and
/// against wrong bounds between classes.
#[test]
fn requests_are_counted_in_a_fixed_number_of_length_classes() {
    let metrics = metrics::gateway::open();
    let classes = [
        (Some(0), "64"),
        (Some(64), "64"),
        (Some(65), "256"),
        (Some(1_024), "1024"),
        (Some(1_025), "more"),
        (Some(u32::MAX), "more"),
        (None, "unknown"),
    ];

    for (expected, _) in classes {
        metrics.count_by_length(2, expected, true);
        metrics.count_by_length(2, expected, false);
    }

    let text = metrics.render();
    for end in ["served", "refused"] {
        for class in ["64", "256", "1024", "more", "unknown"] {
            let count = classes.iter().filter(|(_, label)| *label == class).count();
            let labels = format!("{{tier=\"2\",expected=\"{class}\",end=\"{end}\"}}");
            let line = format!("wagtailhill_requests_by_length_total{labels} {count}");
            assert!(text.lines().any(|rendered| rendered == line), "{line} in {text}");
        }
    }
}
