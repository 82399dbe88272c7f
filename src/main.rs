//! `wagtailhill`: the entry process and the operators' command line.

mod cli;
mod client;
mod cmd;
mod exit;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match matches.subcommand() {
        Some(("serve", matches)) => cmd::serve::run(matches),
        Some(("gateway", matches)) => cmd::gateway::run(matches),
        Some(("check", matches)) => cmd::check::run(matches),
        Some(("get", matches)) => cmd::get::run(matches),
        Some(("apply", matches)) => cmd::apply::run(matches),
        Some(("delete", matches)) => cmd::delete::run(matches),
        Some(("watch", matches)) => cmd::watch::run(matches),
        Some(("status", matches)) => cmd::status::run(matches),
        Some(("audit", matches)) => cmd::audit::run(matches),
        Some(("hash", _)) => cmd::hash::run(),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
