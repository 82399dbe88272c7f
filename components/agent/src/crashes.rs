//! Finds out whether a broken connection means that the target died, and records what it ran.

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

/// Longest wait for the target to take a connection.
const PROBE: Duration = Duration::from_millis(200);
/// Time between two probes.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the log to take a record; the caller's refusal waits for it.
const APPEND: Duration = Duration::from_secs(1);

/// Looks after broken connections.
pub struct Watch {
    engine: SocketAddr,
    log: Client,
    control: control::Handle,
}

/// Carries out the effects of the reducer: writes the records that it asks for.
pub struct Executor {
    target: TargetName,
    log: Client,
    traffic: runtime::Handle,
}

/// Gives the watch over a target.
pub fn watch(settings: &settings::Agent, control: control::Handle) -> Watch {
    let log = log::open(&settings.platform.log);
    Watch { engine: settings.engine.address, log, control }
}

/// Gives the writer of records; must be called on the traffic runtime.
pub fn executor(settings: &settings::Agent) -> Executor {
    let log = log::open(&settings.platform.log);
    Executor { target: settings.target.clone(), log, traffic: runtime::Handle::current() }
}

impl Watch {
    /// Looks into a run whose connection broke. It returns once a crash is on record, or can't be
    /// put there in time, so that whoever sends the request again is met by the record.
    pub async fn look(&self, id: Id) {
        self.control.event(Event::ConnectionBroken(id));
        if self.lives().await {
            return self.control.event(Event::TargetStillRunning);
        }
        if let Some(crash) = self.control.died().await {
            error!(bodies = crash.running.len(), alone = crash.alone, "the target died");
            append(&self.log, Action::Crash(crash)).await;
        }
    }
}

impl Watch {
    /// A process that dies may close a connection before its listener: one answer isn't enough.
    async fn lives(&self) -> bool {
        let takes = async || {
            let probe = timeout(PROBE, TcpStream::connect(self.engine)).await;
            matches!(probe, Ok(Ok(_)))
        };
        takes().await && {
            sleep(PAUSE).await;
            takes().await
        }
    }
}

impl Executor {
    /// The record of a crash.
    pub fn crash(&self, running: Vec<Fingerprint>, alone: bool) -> Crash {
        Crash { target: self.target.clone(), running, alone }
    }

    /// Records that a suspected body ran alone to its end.
    pub fn clear(&self, fingerprint: Fingerprint) {
        info!("a suspected body ran alone to its end");
        let log = self.log.clone();
        let clear = Action::Clear(Clear { fingerprint });
        self.traffic.spawn(async move { append(&log, clear).await });
    }
}

async fn append(log: &Client, action: Action) {
    let record = Record { schema: SCHEMA, action };
    let payload = serde_json::to_string(&record).expect("a record is JSON");
    match timeout(APPEND, log.append(CRASHES, &payload)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => warn!(%error, "a record about a crash may be lost"),
        Err(_) => warn!("the log is slow; a record about a crash may be lost"),
    }
}
