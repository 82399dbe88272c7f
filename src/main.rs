//! `wagtailhill`: the entry process and the operators' command line.

mod cli;
mod cmd;
mod exit;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match matches.subcommand() {
        Some(("serve", matches)) => cmd::serve::run(matches),
        Some(("check", matches)) => cmd::check::run(matches),
        Some(("hash", _)) => cmd::hash::run(),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
