//! The agent's copy of the configuration, and the reports that it keeps for other processes.

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

/// Longest wait for a record that a caller may ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Shared {
    fold: Mutex<State>,
    reports: Mutex<presence::State>,
    /// Parts of the last snapshot that was offered.
    offered: Mutex<Vec<Part>>,
    recent: Recent,
    applied: watch::Sender<Offset>,
}

/// The running copy; clones share it.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    wake: Waker,
    tasks: Arc<Vec<JoinHandle<()>>>,
}

/// Starts to follow the configuration and to report how far it has come.
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
    let wake = follower.waker();
    let reporter = report::Reporter {
        host: settings.host.clone(),
        process: settings.target.clone(),
        applied: shared.applied.subscribe(),
    };
    let waker = wake.clone();
    let heard: Sink = Arc::new(move |update| {
        if let Update::Confirmed { highest, .. } = update {
            waker.catch_up(highest);
        }
    });
    let reporting = report::spawn(reporter, keepers(&shared, settings.host.clone()), heard);
    let tasks = Arc::new(vec![reporting]);
    Handle { shared, wake, tasks }
}

impl Handle {
    /// Offset that is applied here.
    pub fn applied(&self) -> Offset {
        *self.shared.applied.borrow()
    }

    /// Reads the log at once where an offset is higher than what is applied.
    pub fn hear(&self, offset: Offset) {
        if offset > self.applied() {
            self.wake.catch_up(offset);
        }
    }

    /// Keeps a process's report; gives the highest offset that was heard of.
    pub fn report(&self, report: Report) -> Offset {
        self.hear(report.offset);
        let highest = lock(&self.shared.reports).report(Instant::now(), report);
        highest.max(self.applied())
    }

    /// What processes reported within the lease.
    pub fn presence(&self) -> Summary {
        lock(&self.shared.reports).summary(Instant::now())
    }

    /// Offers a snapshot, if one is above an offset.
    pub fn offer(&self, above: Offset) -> Option<Head> {
        if self.applied() <= above {
            return None;
        }
        let snapshot: Snapshot = lock(&self.shared.fold).snapshot();
        let parts = snapshot::split(snapshot.applied, &snapshot.render());
        let head = parts.first().map(|part| part.head.clone());
        *lock(&self.shared.offered) = parts;
        head
    }

    /// One part of the last offer.
    pub fn part(&self, head: &Head, index: u32) -> Option<Part> {
        let offered = lock(&self.shared.offered);
        offered.get(index as usize).filter(|part| part.head == *head).cloned()
    }

    /// Records from an offset on, waiting for the first; `None` where they aren't all here.
    pub async fn records(&self, from: Offset, wait: Duration) -> Option<Relayed> {
        let mut applied = self.shared.applied.subscribe();
        // Running out of time gives an answer without records.
        let waited = timeout(wait.min(WAIT_LIMIT), applied.wait_for(|applied| *applied >= from));
        drop(waited.await);
        self.shared.recent.read(from)
    }

    /// Ends the reports; the process is leaving.
    pub fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn sink(shared: &Arc<Shared>, target: TargetName, control: &control::Handle) -> Sink {
    let shared = Arc::clone(shared);
    let control = control.clone();
    Arc::new(move |update| {
        if let Update::Confirmed { asked, .. } = &update {
            return shared.recent.confirm(*asked);
        }
        let mut fold = lock(&shared.fold);
        match update {
            Update::Restored(snapshot) => {
                shared.recent.reset(snapshot.applied);
                if let Err(error) = fold.restore(*snapshot) {
                    error!(%error, "a snapshot was not applied");
                }
            }
            Update::Records(records) => {
                apply(&mut fold, &records);
                shared.recent.push(records);
            }
            Update::Confirmed { .. } | Update::CaughtUp | Update::Nothing => return,
        }
        let applied = fold.applied();
        let desired = fold.target(&target).and_then(|target| target.setup.clone());
        drop(fold);
        info!(applied, "configuration applied");
        control.event(Event::OffsetReceived(applied));
        control.orders(order::Event::DesiredSetupChanged(desired));
        shared.applied.send_replace(applied);
    })
}

fn apply(fold: &mut State, records: &[log::Record]) {
    for record in records {
        if let Err(error) = fold.apply(record.offset, &record.payload) {
            error!(%error, "a record was not applied");
        }
    }
}

fn relays(shared: &Arc<Shared>, host: HostName, own: TargetName) -> relay::Choice {
    let shared = Arc::clone(shared);
    Arc::new(move || {
        let fold = lock(&shared.fold);
        let relays = presence::relays_for(&fold, &host, Some(&own));
        let relays: Vec<SocketAddr> = relays.into_iter().map(|target| target.control).collect();
        Box::pin(async { relays })
    })
}

fn keepers(shared: &Arc<Shared>, host: HostName) -> report::Keepers {
    let shared = Arc::clone(shared);
    Arc::new(move || {
        let fold = lock(&shared.fold);
        let keepers = presence::keepers_for(&fold, &host);
        let keepers: Vec<SocketAddr> = keepers.into_iter().map(|target| target.control).collect();
        Box::pin(async { keepers })
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
