//! Arguments of the command line.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 faulty settings, input or arguments.";

/// Describes the whole command line.
pub fn command() -> Command {
    Command::new("wagtailhill")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules language-model requests across unlike engines, with evidence")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(check())
        .subcommand(hash())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run an entry process")
        .after_help("SIGTERM drains: running requests finish, new ones are refused.")
        .arg(settings("Settings of the entry process (JSON)"))
}

fn check() -> Command {
    Command::new("check")
        .about("Check a settings file and print every finding with its place")
        .arg(settings("Settings file (JSON)"))
        .arg(
            Arg::new("agent")
                .long("agent")
                .help("The file holds settings of an agent, not of an entry process")
                .num_args(0),
        )
}

fn hash() -> Command {
    Command::new("hash").about("Read a key from standard input and print the hash to configure")
}

fn settings(help: &'static str) -> Arg {
    Arg::new("settings").help(help).required(true).value_parser(value_parser!(PathBuf))
}
