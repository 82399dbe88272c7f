//! Feeds the crashes stream of the platform's log to the control thread.

use std::time::Duration;

use scheduler::entry::{Event, Record};
use source::{
    CRASHES, log,
    tail::{self, News},
};
use tokio::task::JoinHandle;

use crate::control;

/// Starts the stream's reader; each read waits up to `poll` for a new record.
pub fn spawn(log: &str, poll: Duration, control: control::Handle) -> JoinHandle<()> {
    let record = |r: log::Record| Record { offset: r.offset, payload: r.payload };
    tail::spawn(log::open(log), CRASHES, poll, move |news| match news {
        News::Records(records) => {
            control.send_event(Event::Crashes(records.into_iter().map(record).collect()));
        }
        News::CaughtUp { .. } => {}
    })
}
