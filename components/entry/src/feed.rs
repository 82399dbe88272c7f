//! Feeds the configuration and the list of hosts to the control thread, and starts the tasks that
//! report this process's configuration offset and write snapshots.

use std::{sync::Arc, time::Duration};

use follower::{
    Sink, Source, Update, report,
    writer::{self, Schedule},
};
use model::host;
use scheduler::entry::{Event, Record};
use source::{
    hosts::{self, List},
    log,
};
use tokio::{
    sync::{oneshot, watch},
    task::JoinHandle,
    time::sleep,
};
use tracing::warn;

use crate::{control, presence};

/// A handle to the running feeds; dropping it doesn't stop them.
pub struct Handle {
    follower: follower::Handle,
    tasks: Vec<JoinHandle<()>>,
    live_hosts: watch::Receiver<u32>,
}

/// Starts all feeds.
pub fn spawn(settings: &settings::Entry, control: &control::Handle) -> Handle {
    let log = log::open(&settings.platform.log);
    let source = Source {
        log: log.clone(),
        poll: settings.timing.poll,
        relays: presence::relay_choice(control, settings.host.clone()),
        peers: settings.platform.peers.clone(),
    };
    let follower = follower::spawn(source, sink(control));
    control.set_waker(follower.waker());
    let list = hosts::open(&settings.platform.hosts);
    let (live_hosts_sender, live_hosts) = watch::channel(0);
    let host_reader = read_hosts(list, settings.timing.hosts, control.clone(), live_hosts_sender);
    let reporter = report::Reporter {
        host: settings.host.clone(),
        process: settings.name.clone(),
        applied: control.applied(),
    };
    let keepers = presence::keeper_choice(control, settings.host.clone());
    let tasks = vec![
        tokio::spawn(host_reader),
        report::spawn(reporter, keepers, sink(control)),
        writer::spawn(log, snapshot_schedule(settings), snapshot_source(control)),
    ];
    Handle { follower, tasks, live_hosts }
}

impl Handle {
    /// Returns a receiver of the number of live hosts in the platform's list.
    pub fn live_hosts(&self) -> watch::Receiver<u32> {
        self.live_hosts.clone()
    }

    /// Stops all feeds.
    pub fn stop(&self) {
        self.follower.stop();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn sink(control: &control::Handle) -> Sink {
    let control = control.clone();
    Arc::new(move |update| control.send_event(event_from(update)))
}

fn event_from(update: Update) -> Event {
    let record = |record: log::Record| Record { offset: record.offset, payload: record.payload };
    match update {
        Update::Restored(snapshot) => Event::Restored(snapshot),
        Update::Records(records) => Event::Records(records.into_iter().map(record).collect()),
        Update::Confirmed { asked, highest } => Event::Confirmed { asked, highest },
        Update::CaughtUp => Event::CaughtUp,
        Update::Nothing => Event::Tick,
    }
}

fn snapshot_schedule(settings: &settings::Entry) -> Schedule {
    let hash = blake3::hash(settings.name.as_bytes());
    let share = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
    Schedule { period: settings.timing.snapshot, share }
}

fn snapshot_source(control: &control::Handle) -> writer::Take {
    let control = control.clone();
    Arc::new(move || {
        let (sender, answer) = oneshot::channel();
        control.inspect(Box::new(move |config| {
            let _ = sender.send((config.applied() > 0).then(|| config.snapshot()));
        }));
        Box::pin(async { answer.await.ok().flatten() })
    })
}

async fn read_hosts(
    client: hosts::Client,
    period: Duration,
    control: control::Handle,
    live_hosts: watch::Sender<u32>,
) {
    let mut list = List::default();
    let mut failed = false;
    loop {
        match client.refresh(&mut list).await {
            Ok(changed) => {
                if changed {
                    live_hosts.send_replace(count_live(&list));
                    control.send_event(Event::Hosts(list.hosts().cloned().collect()));
                }
                failed = false;
            }
            Err(error) if !failed => {
                warn!(%error, "the list of hosts can't be read; retrying");
                failed = true;
            }
            Err(_) => {}
        }
        sleep(period).await;
    }
}

fn count_live(list: &List) -> u32 {
    let live = list.hosts().filter(|host| host.state == host::State::Live);
    u32::try_from(live.count()).unwrap_or(u32::MAX)
}
