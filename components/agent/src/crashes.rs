//! Detects whether a broken connection means that the target died, and records the requests that it
//! was running.

use std::{net::SocketAddr, time::Duration};

use model::{
    id::{Fingerprint, TargetName},
    reservation::Id,
    suspect::{Action, Clear, Crash, Record, SCHEMA},
};
use scheduler::agent::Event;
use source::{
    CRASHES,
    log::{self, Client},
};
use tokio::{
    net::TcpStream,
    runtime,
    time::{sleep, timeout},
};
use tracing::{error, info, warn};

use crate::control;

/// Timeout of a connection attempt that probes the target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between the two probes of one check.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of appending a record to the log; the refusal to the caller is delayed until then.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks, after a connection to the target broke, whether the target died.
pub struct CrashDetector {
    engine: SocketAddr,
    log: Client,
    control: control::Handle,
}

/// Carries out the reducer's effects on the crash records.
pub struct Executor {
    target: TargetName,
    log: Client,
    traffic: runtime::Handle,
}

/// Returns the crash detector of an agent's target.
pub fn detector(settings: &settings::Agent, control: control::Handle) -> CrashDetector {
    let log = log::open(&settings.platform.log);
    CrashDetector { engine: settings.engine.address, log, control }
}

/// Returns the executor of a new agent; must be called on the traffic runtime.
pub fn executor(settings: &settings::Agent) -> Executor {
    let log = log::open(&settings.platform.log);
    Executor { target: settings.target.clone(), log, traffic: runtime::Handle::current() }
}

impl CrashDetector {
    /// Checks whether the target died when the connection of a run broke. Returns only after a crash
    /// is recorded or recording it timed out, so that a caller that sends the request again finds
    /// the record.
    pub async fn check(&self, id: Id) {
        self.control.send_event(Event::ConnectionBroken(id));
        if self.is_alive().await {
            return self.control.send_event(Event::TargetStillRunning);
        }
        if let Some(crash) = self.control.report_target_death().await {
            error!(bodies = crash.running.len(), alone = crash.alone, "the target died");
            append(&self.log, Action::Crash(crash)).await;
        }
    }
}

impl CrashDetector {
    /// Returns whether the target accepts connections. Probes twice, because a dying process may
    /// close its connections before its listener.
    async fn is_alive(&self) -> bool {
        let accepts_connection = async || {
            let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(self.engine)).await;
            matches!(probe, Ok(Ok(_)))
        };
        accepts_connection().await && {
            sleep(PROBE_INTERVAL).await;
            accepts_connection().await
        }
    }
}

impl Executor {
    /// Returns the record of a crash in which the target was running the given bodies.
    pub fn crash(&self, running: Vec<Fingerprint>, alone: bool) -> Crash {
        Crash { target: self.target.clone(), running, alone }
    }

    /// Records that a suspected body ran alone and got a complete answer, which clears it.
    pub fn clear(&self, fingerprint: Fingerprint) {
        info!("a suspected body ran alone and completed");
        let log = self.log.clone();
        let clear = Action::Clear(Clear { fingerprint });
        self.traffic.spawn(async move { append(&log, clear).await });
    }
}

/// Appends a record about a crash; a failure is only logged.
async fn append(log: &Client, action: Action) {
    let record = Record { schema: SCHEMA, action };
    let payload = serde_json::to_string(&record).expect("a record is JSON");
    match timeout(APPEND_TIMEOUT, log.append(CRASHES, &payload)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => warn!(%error, "appending a crash record failed; it may be lost"),
        Err(_) => warn!("appending a crash record timed out; it may be lost"),
    }
}
