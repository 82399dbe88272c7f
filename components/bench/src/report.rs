//! The rows of a comparison as JSON lines and as a table.

use std::{collections::BTreeMap, fmt::Write};

use model::refusal::Reason;
use serde::Serialize;

use crate::{Policy, Scenario, plan::Row, tally::Ends, workload::Workload};

/// One row as a JSON line.
#[derive(Debug, Serialize)]
struct Line<'a> {
    workload: &'a str,
    scenario: Scenario,
    load_percent: u32,
    policy: Policy,
    tiers: Vec<TierLine<'a>>,
    good_per_second: f64,
    good_tokens_per_second: f64,
    prefilled_tokens: u64,
    recomputed_tokens: u64,
    late_prefill_tokens: u64,
    refusals: &'a BTreeMap<Reason, u64>,
    refusal_p50_ms: f64,
    refusal_p99_ms: f64,
    inversions_agent: u64,
    inversions_entry: u64,
    hopeless_over_lower: u64,
    attempts: u64,
    messages: u64,
    control_bytes: u64,
}

#[derive(Debug, Serialize)]
struct TierLine<'a> {
    tier: &'a str,
    offered: u64,
    good: u64,
    late: u64,
    refused: u64,
    lost: u64,
    p50_ms: f64,
    p99_ms: f64,
}

/// All rows, one JSON object a line.
pub fn json_lines(workloads: &[Workload], rows: &[Row]) -> String {
    let mut text = String::new();
    for (workload, row) in paired(workloads, rows) {
        let line = line(workload, row);
        text += &serde_json::to_string(&line).expect("a line is JSON");
        text.push('\n');
    }
    text
}

/// All rows as a table of fixed width.
pub fn table(workloads: &[Workload], rows: &[Row]) -> String {
    let mut text = String::new();
    let mut heading = String::new();
    for (workload, row) in paired(workloads, rows) {
        let wanted = format!("{}, {}, load {}%", row.workload, row.scenario.name(), row.load);
        if wanted != heading {
            heading = wanted;
            head(&mut text, &heading, workload);
        }
        body(&mut text, row);
    }
    text
}

/// Wall time in the reducers for each attempt; differs from run to run.
pub fn reducer_times(rows: &[Row]) -> String {
    let mut sums: BTreeMap<(&str, Policy), (f64, u64)> = BTreeMap::new();
    for row in rows.iter().filter(|row| !row.policy.pushes()) {
        let sum = sums.entry((&row.workload, row.policy)).or_default();
        sum.0 += row.tally.reducer.as_secs_f64() * 1e6;
        sum.1 += row.tally.attempts;
    }
    let mut text = String::new();
    for ((workload, policy), (time, attempts)) in sums {
        let mean = time / attempts as f64;
        let _ = writeln!(text, "{workload}, {}: {mean:.1} us of reducers a request", policy.name());
    }
    text
}

/// Goodput of each tier's requests, in percent with two places.
pub fn percent(ends: &Ends) -> f64 {
    100.0 * ends.goodput()
}

fn paired<'a>(
    workloads: &'a [Workload],
    rows: &'a [Row],
) -> impl Iterator<Item = (&'a Workload, &'a Row)> {
    let find = |row: &'a Row| workloads.iter().find(|workload| workload.name == row.workload);
    rows.iter().filter_map(move |row| Some((find(row)?, row)))
}

fn head(text: &mut String, heading: &str, workload: &Workload) {
    let _ = write!(text, "\n{heading}\n{:<14}", "policy");
    for tier in &workload.tiers {
        let _ = write!(text, "{:>10}", tier.name);
    }
    let _ = writeln!(
        text,
        "{:>9}{:>10}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>8}{:>10}{:>10}{:>8}",
        "good/s",
        "ktok/s",
        "prefill",
        "recomp",
        "late",
        "lost",
        "inv a",
        "inv e",
        "h>low",
        "refused",
        "ref p99",
        "B/req"
    );
}

fn body(text: &mut String, row: &Row) {
    let tally = &row.tally;
    let seconds = row.measured.as_secs_f64();
    let total = tally.total();
    let _ = write!(text, "{:<14}", row.policy.name());
    for tier in &tally.tiers {
        let _ = write!(text, "{:>9.2}%", percent(tier));
    }
    let kilo = |tokens: u64| tokens as f64 / 1e3 / seconds;
    let _ = writeln!(
        text,
        "{:>9.1}{:>10.1}{:>9.1}{:>9.2}{:>9.2}{:>9}{:>7}{:>7}{:>8}{:>10}{:>10.1}{:>8.0}",
        total.good as f64 / seconds,
        kilo(tally.good_tokens),
        kilo(tally.prefilled),
        kilo(tally.recomputed),
        kilo(tally.late_prefill),
        total.lost,
        tally.inversions.agent,
        tally.inversions.entry,
        tally.hopeless_over_lower,
        tally.refusals.values().sum::<u64>(),
        tally.refusal_us.value_at_quantile(0.99) as f64 / 1e3,
        tally.control_bytes as f64 / (tally.attempts as f64).max(1.0),
    );
}

fn line<'a>(workload: &'a Workload, row: &'a Row) -> Line<'a> {
    let tally = &row.tally;
    let seconds = row.measured.as_secs_f64();
    let refusal = |quantile| tally.refusal_us.value_at_quantile(quantile) as f64 / 1e3;
    Line {
        workload: &row.workload,
        scenario: row.scenario,
        load_percent: row.load,
        policy: row.policy,
        tiers: (0..workload.tiers.len()).map(|rank| tier(workload, row, rank)).collect(),
        good_per_second: tally.total().good as f64 / seconds,
        good_tokens_per_second: tally.good_tokens as f64 / seconds,
        prefilled_tokens: tally.prefilled,
        recomputed_tokens: tally.recomputed,
        late_prefill_tokens: tally.late_prefill,
        refusals: &tally.refusals,
        refusal_p50_ms: refusal(0.5),
        refusal_p99_ms: refusal(0.99),
        inversions_agent: tally.inversions.agent,
        inversions_entry: tally.inversions.entry,
        hopeless_over_lower: tally.hopeless_over_lower,
        attempts: tally.attempts,
        messages: tally.messages,
        control_bytes: tally.control_bytes,
    }
}

fn tier<'a>(workload: &'a Workload, row: &Row, rank: usize) -> TierLine<'a> {
    let ends = row.tally.tiers[rank];
    let answer = |quantile| row.tally.answer_us[rank].value_at_quantile(quantile) as f64 / 1e3;
    TierLine {
        tier: &workload.tiers[rank].name,
        offered: ends.offered,
        good: ends.good,
        late: ends.late,
        refused: ends.refused,
        lost: ends.lost,
        p50_ms: answer(0.5),
        p99_ms: answer(0.99),
    }
}
