//! Feeds the membership stream of the platform's log to the control thread, and removes members
//! that are lost.

use std::time::{Duration, SystemTime};

use model::membership::{self, Leave};
use scheduler::entry::{Event, Record};
use source::{
    MEMBERSHIP, log,
    tail::{self, News},
};
use tokio::{task::JoinHandle, time::sleep};
use tracing::warn;
use uuid::Uuid;

use crate::control;

/// Time over which the entries spread the removal of a lost member.
const SPREAD: Duration = Duration::from_secs(10);

/// Starts the reader; each read waits up to `poll` for a new record.
pub fn spawn(log: &str, poll: Duration, control: control::Handle) -> JoinHandle<()> {
    let record = |r: log::Record| Record { offset: r.offset, payload: r.payload };
    tail::spawn(log::open(log), MEMBERSHIP, poll, move |news| match news {
        News::Records(records) => {
            control.event(Event::Members(records.into_iter().map(record).collect()));
        }
        News::CaughtUp { .. } => {}
    })
}

/// Waits for a random time, so that of many entries one removes a lost member and the others see
/// it done.
pub async fn wait_in_turn() {
    let spread = SPREAD.as_millis();
    let wait = Uuid::new_v4().as_u128() % spread;
    sleep(Duration::from_millis(u64::try_from(wait).unwrap_or_default())).await;
}

/// Appends the record that removes a lost member; a failure is made good by the next report.
pub async fn remove(log: log::Client, leave: Leave) {
    let target = leave.target.clone();
    let record = membership::Record {
        schema: membership::SCHEMA,
        at: SystemTime::now(),
        action: membership::Action::Leave(leave),
    };
    let payload = serde_json::to_string(&record).expect("a record is JSON");
    match log.append(MEMBERSHIP, &payload).await {
        Ok(offset) => warn!(target, offset, "took an agent whose host is gone for lost"),
        Err(error) => warn!(target, %error, "can't remove an agent whose host is gone now"),
    }
}
