//! `wagtailhill audit`.

use std::{error::Error, net::SocketAddr, process::ExitCode, time::SystemTime};

use clap::ArgMatches;
use comfy_table::{Table, presets::NOTHING};
use evidence::{
    Report,
    audit::{Finding, Verdict, audit},
    history::Span,
    read::{self, Range, Scope},
};
use tokio::runtime::Runtime;

use crate::exit;

/// Exit code: a rule was violated.
const VIOLATED: u8 = 7;
/// Exit code: no rule was violated, but not all are provable.
const NOT_PROVABLE: u8 = 8;
/// Most violations and gaps that are printed for one rule; JSON has all.
const PRINTED: usize = 5;

/// Reads the evidence and prints what it says of each rule.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let range = range(matches);
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return exit::failed(error),
    };
    let scope = match runtime.block_on(scope(matches, range)) {
        Ok(scope) => scope,
        Err(error) => {
            return exit::failed(format!("{error}. Nothing was judged; ask again later."));
        }
    };
    let report = audit(&scope.history, scope.span);
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => println!("{}", serde_json::json!(report)),
        _ => print(&report),
    }
    match report.verdict() {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Violated => ExitCode::from(VIOLATED),
        Verdict::NotProvable => ExitCode::from(NOT_PROVABLE),
    }
}

async fn scope(matches: &ArgMatches, range: Range) -> Result<Scope, Box<dyn Error>> {
    if let Some(store) = matches.get_one::<SocketAddr>("store") {
        return Ok(platform::proof::read(*store, range).await?);
    }
    let log: &String = matches.get_one("log").expect("clap requires one of the two");
    Ok(read::read(&source::log::open(log), range).await?)
}

fn range(matches: &ArgMatches) -> Range {
    let time = |name| matches.get_one::<SystemTime>(name).copied();
    let offset = |name| matches.get_one::<u64>(name).copied();
    Range {
        first: offset("from-offset"),
        last: offset("to-offset"),
        span: Span { from: time("from"), to: time("to") },
    }
}

fn print(report: &Report) {
    let from = report.from.map_or("the first evidence".to_owned(), time);
    let to = report.to.map_or("the last".to_owned(), time);
    println!("Judged from {from} to {to}.\n");
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["RULE", "VERDICT", "CASES"]);
    for finding in &report.findings {
        table.add_row([
            finding.rule.to_string(),
            finding.verdict.to_string(),
            finding.checked.to_string(),
        ]);
    }
    println!("{table}");
    for finding in report.findings.iter().filter(|f| f.verdict != Verdict::Held) {
        explain(finding);
    }
}

fn explain(finding: &Finding) {
    println!("\n{}: {}", finding.verdict, finding.rule);
    for violation in finding.violations.iter().take(PRINTED) {
        println!("  {}", violation.message);
        for place in &violation.records {
            println!("    {place}");
        }
    }
    for gap in finding.gaps.iter().take(PRINTED) {
        println!("  missing: {gap}");
    }
    let all = finding.violations.len().max(finding.gaps.len());
    if all > PRINTED {
        println!(
            "  ... `--output json` prints all {}",
            finding.violations.len() + finding.gaps.len()
        );
    }
}

fn time(time: SystemTime) -> String {
    humantime::format_rfc3339_millis(time).to_string()
}
