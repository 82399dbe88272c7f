//! `wagtailhill gateway`.

use std::{path::PathBuf, process::ExitCode};

use clap::ArgMatches;
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
};
use tracing::{error, info};

use crate::exit;

/// Runs an entry process on the users' platform until SIGTERM or SIGINT, then drains it.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path: &PathBuf = matches.get_one("settings").expect("clap requires it");
    metrics::log::init();
    let settings = match platform::load(path) {
        Ok(settings) => settings,
        Err(error) => return exit::failed(error),
    };
    // The hosts have a part of one core: a single thread carries all traffic.
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit::failed(error),
    };
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "the entry process ends");
            ExitCode::from(exit::FAILED)
        }
    }
}

async fn serve(settings: platform::settings::Settings) -> Result<(), gateway::Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(gateway::Error::Thread)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(gateway::Error::Thread)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(gateway::Error::Thread)?;
    let feed = platform::feed::open(&settings);
    let gateway = gateway::spawn(settings.gateway, platform::dialect::open(), feed).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => info!("told to reload: the settings are read at the next start"),
        }
    }
    gateway.drain().await;
    Ok(())
}
