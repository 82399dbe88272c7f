//! `wagtailhill-agent`: the process beside a target.

mod exit;

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use agent::admission;
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
};
use tracing::{error, info};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("clap requires it");
    if matches.get_flag("platform") {
        return admit(path, is_check(&matches));
    }
    let settings = match settings::load_agent(path) {
        Ok(settings) => settings,
        Err(findings) => return exit::faulty(path, &findings),
    };
    if is_check(&matches) {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    metrics::log::init();
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return exit::failed(error),
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "the agent ends");
            ExitCode::from(exit::FAILED)
        }
    }
}

/// Runs an agent on the users' platform, whose targets are called by the entry processes themselves.
fn admit(path: &Path, check: bool) -> ExitCode {
    let settings = match platform::load_agent(path) {
        Ok(settings) => settings,
        Err(findings) => return exit::faulty(path, &findings),
    };
    if check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    let _log = metrics::log::spawn();
    // The hosts have a part of one core.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit::failed(error),
    };
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "the agent ends");
            ExitCode::from(exit::FAILED)
        }
    }
}

async fn serve(settings: admission::Settings) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let agent = admission::spawn(settings, platform::report::open()).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => info!("changed settings hold from the next start"),
        }
    }
    agent.drain().await;
    Ok(())
}

fn command() -> Command {
    Command::new("wagtailhill-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands beside a target and is the only way to it")
        .after_help("SIGTERM drains: running requests finish, new ones are refused.\nExit codes: 0 done, 1 failed, 2 faulty settings or arguments.")
        .arg(
            Arg::new("settings")
                .help("Settings file (JSON); docs/operators.md lists every setting")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .help("Read the users' platform's settings file, and admit requests without carrying them")
                .num_args(0),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Only check the settings and print every finding with its place")
                .num_args(0),
        )
}

fn is_check(matches: &ArgMatches) -> bool {
    matches.get_flag("check")
}

async fn run(settings: settings::Agent) -> Result<(), agent::Error> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let agent = agent::spawn(settings).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    agent.drain().await
}
