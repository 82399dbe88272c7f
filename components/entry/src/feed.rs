//! Reads the platform's log and list of hosts and feeds both to the control thread.

use std::time::Duration;

use model::id::Offset;
use platform::{hosts, log};
use scheduler::entry::{Event, Record};
use tokio::{task::JoinHandle, time::sleep};
use tracing::{error, warn};

use crate::control;

/// Most records of one read.
const PAGE: usize = 1_000;
/// Wait after a failed read.
const BACKOFF: Duration = Duration::from_millis(200);

/// The running readers.
pub struct Handle {
    config: JoinHandle<()>,
    hosts: JoinHandle<()>,
}

/// Starts both readers.
pub fn spawn(settings: &settings::Entry, control: control::Handle) -> Handle {
    let log = log::open(&settings.platform.log);
    let list = hosts::open(&settings.platform.hosts);
    let poll = settings.timing.poll;
    let period = settings.timing.hosts;
    let config = tokio::spawn(read_config(log, poll, control.clone()));
    let hosts = tokio::spawn(read_hosts(list, period, control));
    Handle { config, hosts }
}

impl Handle {
    /// Ends both readers.
    pub fn stop(&self) {
        self.config.abort();
        self.hosts.abort();
    }
}

async fn read_config(log: log::Client, poll: Duration, control: control::Handle) {
    let mut next: Offset = 1;
    let mut wait = Duration::ZERO;
    loop {
        match log.read(platform::CONFIG, next, PAGE, wait).await {
            Ok(page) => {
                next = feed(&control, next, page.records);
                if next >= page.next {
                    control.event(Event::CaughtUp);
                    wait = poll;
                }
            }
            Err(log::Error::Expired(first)) => {
                error!(next, first, "configuration records are gone from the log; still waiting");
                sleep(poll).await;
            }
            Err(error) => {
                warn!(%error, next, "the configuration can't be read now");
                sleep(BACKOFF).await;
            }
        }
    }
}

fn feed(control: &control::Handle, next: Offset, records: Vec<log::Record>) -> Offset {
    let Some(last) = records.last().map(|record| record.offset) else {
        return next;
    };
    let record = |record: log::Record| Record { offset: record.offset, payload: record.payload };
    control.event(Event::Records(records.into_iter().map(record).collect()));
    last + 1
}

async fn read_hosts(list: hosts::Client, period: Duration, control: control::Handle) {
    loop {
        match list.list().await {
            Ok(hosts) => control.event(Event::Hosts(hosts)),
            Err(error) => warn!(%error, "the list of hosts can't be read now"),
        }
        sleep(period).await;
    }
}
