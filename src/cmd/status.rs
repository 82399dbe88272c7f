//! `wagtailhill status`.

use std::process::ExitCode;

use api::Status;
use clap::ArgMatches;

use crate::{cli, cmd, table};

/// Prints how far the configuration has come.
pub fn run(matches: &ArgMatches) -> ExitCode {
    cmd::call(matches, async |client| {
        let status: Status = client.get("/v1/status").await?;
        match cli::is_json(matches) {
            true => println!("{}", serde_json::to_string_pretty(&status).expect("status is JSON")),
            false => println!("{}", table::pairs(&rows(&status))),
        }
        Ok(())
    })
}

fn rows(status: &Status) -> Vec<(&'static str, String)> {
    let in_force = status.in_force.map_or("not known".to_owned(), |offset| offset.to_string());
    let slowest = status.slowest.as_ref();
    let slowest = slowest.map(|r| format!("{} on {} at {}", r.process, r.host, r.offset));
    vec![
        ("Asked", status.process.clone()),
        ("Applied there", status.applied.to_string()),
        ("In force everywhere", in_force),
        ("Highest heard of", status.highest.to_string()),
        ("Processes that reported", status.processes.to_string()),
        ("Hosts that reported", format!("{} of {} listed", status.hosts, status.listed)),
        ("Furthest behind", slowest.unwrap_or_else(|| "-".to_owned())),
    ]
}
