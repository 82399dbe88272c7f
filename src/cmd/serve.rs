//! `wagtailhill serve`.

use std::{path::PathBuf, process::ExitCode};

use clap::ArgMatches;
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
};
use tracing::error;

use crate::exit;

/// Runs an entry process until SIGTERM or SIGINT, then drains it.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path: &PathBuf = matches.get_one("settings").expect("clap requires it");
    let settings = match settings::load_entry(path) {
        Ok(settings) => settings,
        Err(findings) => return exit::faulty(path, &findings),
    };
    metrics::log::init();
    let runtime = match Runtime::new() {
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

async fn serve(settings: settings::Entry) -> Result<(), entry::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let entry = entry::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    entry.drain().await
}
