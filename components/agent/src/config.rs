//! The agent's copy of the configuration, and the presence reports that it stores for other
//! processes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use follower::{Sink, Source, Update, Waker, relay, report};
use model::{
    id::{HostName, Offset, TargetName},
    presence::{Report, Summary},
    snapshot::{self, Head, Part},
};
use scheduler::{
    agent::Event,
    config::{Snapshot, State},
    order, presence,
};
use source::log;
use tokio::{sync::watch, task::JoinHandle, time::timeout};
use tracing::{error, info};
use wire::control::Relayed;

use crate::{control, recent::Recent};

/// Longest time that a caller of [`Handle::records`] may wait for a record.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Shared {
    /// Configuration as of the `applied` offset.
    state: Mutex<State>,
    /// Presence reports of other processes.
    reports: Mutex<presence::State>,
    /// Parts of the snapshot that was offered last.
    offered_parts: Mutex<Vec<Part>>,
    recent: Recent,
    applied: watch::Sender<Offset>,
}

/// Handle of the running copy; clones share the copy.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    waker: Waker,
    tasks: Arc<Vec<JoinHandle<()>>>,
}

/// Starts to follow the configuration stream and to report the applied offset to the agents that
/// store this process's reports.
pub fn spawn(settings: &settings::Agent, control: &control::Handle) -> Handle {
    let shared = Arc::new(Shared::default());
    let own = settings.target.clone();
    let source = Source {
        log: log::open(&settings.platform.log),
        poll: settings.poll,
        relays: relays(&shared, settings.host.clone(), own),
        peers: settings.platform.peers.clone(),
    };
    let follower = follower::spawn(source, sink(&shared, settings.target.clone(), control));
    let waker = follower.waker();
    let reporter = report::Reporter {
        host: settings.host.clone(),
        process: settings.target.clone(),
        applied: shared.applied.subscribe(),
    };
    let report_waker = waker.clone();
    let on_report: Sink = Arc::new(move |update| {
        if let Update::Confirmed { highest, .. } = update {
            report_waker.catch_up(highest);
        }
    });
    let reporting = report::spawn(reporter, keepers(&shared, settings.host.clone()), on_report);
    let tasks = Arc::new(vec![reporting]);
    Handle { shared, waker, tasks }
}

impl Handle {
    /// Returns the highest offset of the configuration stream that is applied.
    pub fn applied(&self) -> Offset {
        *self.shared.applied.borrow()
    }

    /// Reads the log at once if an offset is higher than the applied one.
    pub fn catch_up(&self, offset: Offset) {
        if offset > self.applied() {
            self.waker.catch_up(offset);
        }
    }

    /// Stores a process's report; returns the highest offset that was reported or applied so far.
    pub fn report(&self, report: Report) -> Offset {
        self.catch_up(report.offset);
        let highest = lock(&self.shared.reports).report(Instant::now(), report);
        highest.max(self.applied())
    }

    /// Returns a summary of the reports whose lease hasn't expired.
    pub fn presence(&self) -> Summary {
        lock(&self.shared.reports).summary(Instant::now())
    }

    /// Offers a snapshot of the configuration; returns `None` if the applied offset isn't above the
    /// given one.
    pub fn offer(&self, above: Offset) -> Option<Head> {
        if self.applied() <= above {
            return None;
        }
        let snapshot: Snapshot = lock(&self.shared.state).snapshot();
        let parts = snapshot::split(snapshot.applied, &snapshot.render());
        let head = parts.first().map(|part| part.head.clone());
        *lock(&self.shared.offered_parts) = parts;
        head
    }

    /// Returns one part of the snapshot that was offered last; `None` if `head` belongs to another
    /// snapshot or `index` is out of range.
    pub fn part(&self, head: &Head, index: u32) -> Option<Part> {
        let offered = lock(&self.shared.offered_parts);
        offered.get(index as usize).filter(|part| part.head == *head).cloned()
    }

    /// Returns the records from an offset on and waits for the first of them if there is none yet.
    /// Returns `None` if some of these records are no longer kept.
    pub async fn records(&self, from: Offset, wait: Duration) -> Option<Relayed> {
        let mut applied = self.shared.applied.subscribe();
        // A timeout leads to an answer without records.
        let waited =
            timeout(wait.min(MAX_RECORD_WAIT), applied.wait_for(|applied| *applied >= from));
        drop(waited.await);
        self.shared.recent.read(from)
    }

    /// Stops sending reports, because the process is about to end.
    pub fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns the callback that applies updates of the configuration.
fn sink(shared: &Arc<Shared>, target: TargetName, control: &control::Handle) -> Sink {
    let shared = Arc::clone(shared);
    let control = control.clone();
    Arc::new(move |update| {
        if let Update::Confirmed { asked, .. } = &update {
            return shared.recent.confirm(*asked);
        }
        let mut state = lock(&shared.state);
        match update {
            Update::Restored(snapshot) => {
                shared.recent.reset(snapshot.applied);
                if let Err(error) = state.restore(*snapshot) {
                    error!(%error, "applying a snapshot failed");
                }
            }
            Update::Records(records) => {
                apply(&mut state, &records);
                shared.recent.push(records);
            }
            Update::Confirmed { .. } | Update::CaughtUp | Update::Nothing => return,
        }
        let applied = state.applied();
        let desired = state.target(&target).and_then(|target| target.setup.clone());
        drop(state);
        info!(applied, "configuration applied");
        control.send_event(Event::OffsetReceived(applied));
        control.send_to_orders(order::Event::DesiredSetupChanged(desired));
        shared.applied.send_replace(applied);
    })
}

fn apply(state: &mut State, records: &[log::Record]) {
    for record in records {
        if let Err(error) = state.apply(record.offset, &record.payload) {
            error!(%error, "applying a record failed");
        }
    }
}

/// Returns the choice of the agents that this process reads configuration records from.
fn relays(shared: &Arc<Shared>, host: HostName, own: TargetName) -> relay::Choice {
    let shared = Arc::clone(shared);
    Arc::new(move || {
        let state = lock(&shared.state);
        let relays = presence::relays_for(&state, &host, Some(&own));
        let relays: Vec<SocketAddr> = relays.into_iter().map(|target| target.control).collect();
        Box::pin(async { relays })
    })
}

/// Returns the choice of the agents that store this process's reports.
fn keepers(shared: &Arc<Shared>, host: HostName) -> report::Keepers {
    let shared = Arc::clone(shared);
    Arc::new(move || {
        let state = lock(&shared.state);
        let keepers = presence::keepers_for(&state, &host);
        let keepers: Vec<SocketAddr> = keepers.into_iter().map(|target| target.control).collect();
        Box::pin(async { keepers })
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
