//! Arguments of the command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};

use model::resource::Kind;

use crate::client::{self, KEY, SERVER};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 faulty settings, input or arguments, \
3 conflict, 4 may be accepted or isn't in force yet, 5 not found, 6 gone, 7 a rule was violated, \
8 not all rules are provable.";

/// Describes the whole command line.
pub fn command() -> Command {
    Command::new("wagtailhill")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules language-model requests across unlike engines, with evidence")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(gateway())
        .subcommand(check())
        .subcommand(get())
        .subcommand(apply())
        .subcommand(delete())
        .subcommand(watch())
        .subcommand(status())
        .subcommand(audit())
        .subcommand(hash())
}

/// The kind that was asked for.
pub fn kind(matches: &ArgMatches) -> Kind {
    some_kind(matches).expect("clap requires it")
}

/// The kind that was asked for, if any.
pub fn some_kind(matches: &ArgMatches) -> Option<Kind> {
    match matches.get_one::<String>("kind")?.as_str() {
        "account" => Some(Kind::Account),
        "tier" => Some(Kind::Tier),
        "pool" => Some(Kind::Pool),
        _ => Some(Kind::Target),
    }
}

/// Whether the output is for scripts.
pub fn is_json(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("output").is_some_and(|output| output == "json")
}

/// What a write waits for.
pub fn wait(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("wait").map_or(client::ACCEPTED, String::as_str)
}

/// Time for a write's answer.
pub fn timeout(matches: &ArgMatches) -> Duration {
    let seconds = matches.get_one::<u64>("timeout").copied();
    Duration::from_secs(seconds.unwrap_or(10))
}

fn get() -> Command {
    remote(Command::new("get").about("Print one resource, or all of a kind"))
        .arg(kind_argument().required(true))
        .arg(Arg::new("name").help("Name of the resource; all of the kind where absent"))
}

fn apply() -> Command {
    writing(Command::new("apply").about("Create or replace the resources of a file"))
        .after_help(
            "The file holds one resource or an array, as `get --output json` prints them. A\n\
             resource with a version is written only while that version stands. Every finding is\n\
             told with its place; a resource that is refused doesn't keep the others back.",
        )
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .help("File of resources (JSON)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn delete() -> Command {
    writing(Command::new("delete").about("Delete a resource"))
        .arg(kind_argument().required(true))
        .arg(Arg::new("name").help("Name of the resource").required(true))
        .arg(
            Arg::new("version")
                .long("version")
                .help("Version that must stand; the one that stands now where absent")
                .value_parser(value_parser!(u64)),
        )
}

fn watch() -> Command {
    remote(Command::new("watch").about("Print changes as they happen"))
        .arg(kind_argument())
        .arg(
            Arg::new("from")
                .long("from")
                .help("First offset to tell; the next one where absent")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("until")
                .long("until")
                .help("Offset after which to end")
                .value_parser(value_parser!(u64)),
        )
}

fn status() -> Command {
    remote(Command::new("status").about("Print how far the configuration has come"))
}

/// Arguments of every call to an entry process.
fn remote(command: Command) -> Command {
    command
        .arg(
            Arg::new("server")
                .long("server")
                .help(format!("Operators' address of an entry process [env: {SERVER}]")),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .help(format!("File with the operator's key [env: {KEY} has the key itself]"))
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .help("Form of the output")
                .value_parser(["table", "json"])
                .default_value("table"),
        )
}

/// Arguments of every call that changes something.
fn writing(command: Command) -> Command {
    remote(command)
        .arg(
            Arg::new("wait")
                .long("wait")
                .help("What to wait for")
                .value_parser([client::ACCEPTED, client::IN_FORCE])
                .default_value(client::ACCEPTED),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .help("Seconds to wait")
                .value_parser(value_parser!(u64).range(1..=300))
                .default_value("10"),
        )
}

fn kind_argument() -> Arg {
    Arg::new("kind").help("Kind of resource").value_parser(["account", "tier", "pool", "target"])
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run an entry process")
        .after_help("SIGTERM drains: running requests finish, new ones are refused.")
        .arg(settings("Settings of the entry process (JSON)"))
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Run an entry process on the users' platform")
        .after_help("SIGTERM drains: running requests finish, new ones are refused.")
        .arg(settings("Settings that the platform wrote (JSON)"))
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
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("The file is the one that the users' platform writes for `gateway`")
                .conflicts_with("agent")
                .num_args(0),
        )
}

fn audit() -> Command {
    Command::new("audit")
        .about("Check each promise over the evidence in the platform's log")
        .after_help(
            "Each rule comes out as held, violated (with the records) or not provable (with what\n\
             is missing). Exit codes: 0 all held, 7 a rule was violated, 8 none was violated but\n\
             some aren't provable, 1 the log can't be read, 2 faulty arguments.",
        )
        .arg(
            Arg::new("log")
                .long("log")
                .help("Base URL of the platform's log, http://host:port")
                .required_unless_present("store"),
        )
        .arg(
            Arg::new("store")
                .long("store")
                .help("Address of the users' platform's store, host:port, instead of a log")
                .value_parser(value_parser!(SocketAddr))
                .conflicts_with("log"),
        )
        .arg(time("from", "Judge what ended from this time on (2026-12-02T08:00:00Z)"))
        .arg(time("to", "Judge what ended up to this time"))
        .arg(offset("from-offset", "Read the stream from this offset on"))
        .arg(offset("to-offset", "Read the stream up to this offset"))
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .help("Form of the output")
                .value_parser(["table", "json"])
                .default_value("table"),
        )
}

fn time(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_parser(humantime::parse_rfc3339_weak)
}

fn offset(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_parser(value_parser!(u64).range(1..))
}

fn hash() -> Command {
    Command::new("hash").about("Read a key from standard input and print the hash to configure")
}

fn settings(help: &'static str) -> Arg {
    Arg::new("settings").help(help).required(true).value_parser(value_parser!(PathBuf))
}
