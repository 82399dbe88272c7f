//! Feeds the configuration, the list of hosts and reports of other processes to the control
//! thread.

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

/// The running feeds.
pub struct Handle {
    config: follower::Handle,
    others: Vec<JoinHandle<()>>,
    listed: watch::Receiver<u32>,
}

/// Starts all feeds.
pub fn spawn(settings: &settings::Entry, control: &control::Handle) -> Handle {
    let log = log::open(&settings.platform.log);
    let source = Source {
        log: log.clone(),
        poll: settings.timing.poll,
        relays: presence::relays(control, settings.host.clone()),
        peers: settings.platform.peers.clone(),
    };
    let config = follower::spawn(source, sink(control));
    control.set_waker(config.waker());
    let list = hosts::open(&settings.platform.hosts);
    let (listed_writer, listed) = watch::channel(0);
    let reading = read_hosts(list, settings.timing.hosts, control.clone(), listed_writer);
    let reporter = report::Reporter {
        host: settings.host.clone(),
        process: settings.name.clone(),
        applied: control.applied(),
    };
    let keepers = presence::keepers(control, settings.host.clone());
    let others = vec![
        tokio::spawn(reading),
        report::spawn(reporter, keepers, sink(control)),
        writer::spawn(log, schedule(settings), snapshots(control)),
    ];
    Handle { config, others, listed }
}

impl Handle {
    /// Live hosts that the platform's list shows.
    pub fn hosts(&self) -> watch::Receiver<u32> {
        self.listed.clone()
    }

    /// Ends all feeds.
    pub fn stop(&self) {
        self.config.stop();
        self.others.iter().for_each(JoinHandle::abort);
    }
}

fn sink(control: &control::Handle) -> Sink {
    let control = control.clone();
    Arc::new(move |update| control.event(event(update)))
}

fn event(update: Update) -> Event {
    let record = |record: log::Record| Record { offset: record.offset, payload: record.payload };
    match update {
        Update::Restored(snapshot) => Event::Restored(snapshot),
        Update::Records(records) => Event::Records(records.into_iter().map(record).collect()),
        Update::Confirmed { asked, highest } => Event::Confirmed { asked, highest },
        Update::CaughtUp => Event::CaughtUp,
        Update::Nothing => Event::Tick,
    }
}

fn schedule(settings: &settings::Entry) -> Schedule {
    let hash = blake3::hash(settings.name.as_bytes());
    let share = f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX);
    Schedule { period: settings.timing.snapshot, share }
}

fn snapshots(control: &control::Handle) -> writer::Take {
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
    listed: watch::Sender<u32>,
) {
    let mut list = List::default();
    let mut failed = false;
    loop {
        match client.refresh(&mut list).await {
            Ok(changed) => {
                if changed {
                    listed.send_replace(count_live(&list));
                    control.event(Event::Hosts(list.hosts().cloned().collect()));
                }
                failed = false;
            }
            Err(error) if !failed => {
                warn!(%error, "the list of hosts can't be read now");
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
