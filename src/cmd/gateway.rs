//! `wagtailhill gateway`.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use clap::ArgMatches;
use gateway::Records;
use metrics::log::ErrorCounter;
use platform::settings::Settings;
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
    time::interval,
};
use tracing::{error, info, warn};

use crate::exit;

/// Period in which the settings file is looked at: it may change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// Runs an entry process on the users' platform until SIGTERM or SIGINT, then drains it.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path: &PathBuf = matches.get_one("settings").expect("clap requires it");
    let log = metrics::log::spawn();
    let settings = match platform::load_entry(path) {
        Ok(settings) => settings,
        Err(findings) => return exit::faulty(path, &findings),
    };
    // The hosts have a part of one core: a single thread carries all traffic.
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit::failed(error),
    };
    match runtime.block_on(serve(path, settings, log.counter())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "the entry process ends");
            ExitCode::from(exit::FAILED)
        }
    }
}

async fn serve(
    path: &Path,
    settings: Settings,
    left_out: ErrorCounter,
) -> Result<(), gateway::Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(gateway::Error::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(gateway::Error::Start)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(gateway::Error::Start)?;
    let mut look = interval(LOOK);
    let metrics = Arc::new(metrics::gateway::open());
    let feed = platform::feed::open(&settings);
    let outbox = platform::proof::open(&settings);
    let records = Records { metrics: Arc::clone(&metrics), evidence: outbox.buffer() };
    let evidence = platform::proof::spawn(&settings, outbox);
    let dialect = platform::dialect::open();
    let gateway = gateway::spawn(settings.gateway.clone(), dialect, feed, records).await?;
    let mut known = settings;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = gateway.wait_for_end() => return Err(gateway::Error::ControlEnded),
            _ = hangup.recv() => known = reload(path, known, &gateway),
            _ = look.tick() => {
                known = reload(path, known, &gateway);
                metrics.dropped_log_lines.set(left_out.dropped_lines().try_into().unwrap_or(i64::MAX));
            }
        }
    }
    gateway.drain().await;
    evidence.flush().await;
    Ok(())
}

/// Reads the settings again. New entry processes are heard of at once; all else that changed holds
/// from the next start, and a file that is faulty changes nothing.
fn reload(path: &Path, known: Settings, gateway: &gateway::Handle) -> Settings {
    let mut read = match platform::load_entry(path) {
        Ok(read) => read,
        Err(findings) => {
            for finding in findings {
                warn!(%finding, "the settings are faulty; those of before stay");
            }
            return known;
        }
    };
    read.gateway.direct.incarnation = known.gateway.direct.incarnation;
    if read != known {
        info!(seeds = ?read.gateway.seeds, "the settings changed");
        gateway.add_peers(&read.gateway.seeds);
    }
    read
}
