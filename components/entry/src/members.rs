//! Feeds the membership stream of the platform's log to the control thread, and removes lost agents
//! from the membership.

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

/// Upper bound of the random delay before an entry process removes a lost agent.
const MAX_REMOVAL_DELAY: Duration = Duration::from_secs(10);

/// Starts the stream's reader; each read waits up to `poll` for a new record.
pub fn spawn(log: &str, poll: Duration, control: control::Handle) -> JoinHandle<()> {
    let record = |r: log::Record| Record { offset: r.offset, payload: r.payload };
    tail::spawn(log::open(log), MEMBERSHIP, poll, move |news| match news {
        News::Records(records) => {
            control.send_event(Event::Members(records.into_iter().map(record).collect()));
        }
        News::CaughtUp { .. } => {}
    })
}

/// Waits for a random time up to `MAX_REMOVAL_DELAY`. Of many entry processes that notice a lost
/// agent, usually one then removes it, and the others see the removal before their delay ends.
pub async fn wait_random_delay() {
    let max_millis = MAX_REMOVAL_DELAY.as_millis();
    let wait = Uuid::new_v4().as_u128() % max_millis;
    sleep(Duration::from_millis(u64::try_from(wait).unwrap_or_default())).await;
}

/// Appends the record that removes a lost agent from the membership. After a failure the removal is
/// tried again when the agent is next found lost.
pub async fn remove(log: log::Client, leave: Leave) {
    let target = leave.target.clone();
    let record = membership::Record {
        schema: membership::SCHEMA,
        at: SystemTime::now(),
        action: membership::Action::Leave(leave),
    };
    let payload = serde_json::to_string(&record).expect("a record is JSON");
    match log.append(MEMBERSHIP, &payload).await {
        Ok(offset) => {
            warn!(target, offset, "removed an agent from the membership: its host is gone")
        }
        Err(error) => {
            warn!(target, %error, "can't remove an agent whose host is gone; retrying later")
        }
    }
}
