//! Membership of the agent: joins at the start, follows the membership stream, and leaves at the end.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use model::{
    id::{IncarnationId, Offset, TargetName},
    membership::{Action, Join, Leave, Record, SCHEMA},
};
use scheduler::{claim::Event, entry};
use source::{
    MEMBERSHIP,
    log::{self, Client},
    tail::{self, News},
};
use tokio::{
    sync::{oneshot, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};
use tracing::{info, warn};
use uuid::Uuid;

use crate::{
    claims::{Message, Status},
    control,
};

/// Longest time that one read of the log waits for a new record.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed append or leave is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of reading back a record after it was appended.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a leaving agent stops trying to hand its claims over.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of the agent's running membership.
pub struct Handle {
    log: Client,
    target: TargetName,
    control: control::Handle,
    status: watch::Receiver<Status>,
    reader: JoinHandle<()>,
    join: JoinHandle<()>,
}

/// Starts to follow the membership stream and to join. While the log is unreachable the agent still
/// serves requests, but grants no key.
pub fn spawn(
    settings: &settings::Agent,
    incarnation: IncarnationId,
    address: SocketAddr,
    control: control::Handle,
) -> Handle {
    let log = log::open(&settings.platform.log);
    let status = control.membership_status();
    let stream_control = control.clone();
    let reader = tail::spawn(log.clone(), MEMBERSHIP, POLL_TIMEOUT, move |news| {
        let confirmed = match news {
            News::Records(_) => None,
            News::CaughtUp { asked } => Some(asked),
        };
        stream_control.send_to_claims(Message::Event(claim_event(news)));
        // The confirmation must follow the records that it covers.
        confirmed.into_iter().for_each(|asked| stream_control.confirm_membership(asked));
    });
    let join = Join {
        target: settings.target.clone(),
        host: settings.host.clone(),
        incarnation,
        control: address,
    };
    let target = settings.target.clone();
    let join = tokio::spawn(keep_joined(log.clone(), join, control.clone()));
    Handle { log, target, control, status, reader, join }
}

impl Handle {
    /// Hands all claims over and leaves. After `LEAVE_TIMEOUT` it leaves without handing them over.
    pub async fn leave(mut self) {
        self.join.abort();
        // Success shows in whether the agent is still a member. An append that the timeout cancels
        // may still take effect, but no key is granted after it in either case.
        let _ = timeout(LEAVE_TIMEOUT, self.leave_with_hand_over()).await;
        if self.is_member() {
            self.leave_without_hand_over().await;
        }
        self.reader.abort();
    }

    /// Tries to leave until the agent is no longer a member. Returns at once if there are no other
    /// members.
    async fn leave_with_hand_over(&mut self) {
        while self.is_member() && self.status.borrow().has_others {
            if self.try_leave().await.is_err() {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Hands the claims over while new ones are still granted, then stops granting and hands over the
    /// rest, then appends the record that moves the keys to the other members.
    async fn try_leave(&mut self) -> Result<(), log::Error> {
        self.hand_over().await;
        self.control.send_to_claims(Message::Event(Event::Freeze));
        self.hand_over().await;
        let Some(epoch) = self.status.borrow().handed_over else {
            self.control.send_to_claims(Message::Event(Event::Thaw));
            return Err(log::Error::Busy);
        };
        match self.append(Some(epoch)).await {
            Err(error @ (log::Error::Unreachable | log::Error::Busy)) => {
                self.control.send_to_claims(Message::Event(Event::Thaw));
                Err(error)
            }
            // The record is in the log or may be: no key is granted until a later epoch is applied
            // and shows that the record had no effect.
            _ => {
                self.wait_for(|status| status.epoch > epoch).await;
                if self.is_member() && self.status.borrow().epoch > epoch {
                    self.control.send_to_claims(Message::Event(Event::Thaw));
                }
                Ok(())
            }
        }
    }

    /// Leaves without handing claims over: stops granting keys and records the leave. The claims
    /// are lost.
    async fn leave_without_hand_over(&mut self) {
        self.control.send_to_claims(Message::Event(Event::Freeze));
        match timeout(READ_BACK_TIMEOUT, self.append(None)).await {
            Ok(Ok(offset)) => info!(offset, "left the membership without handing claims over"),
            Ok(Err(error)) => warn!(%error, "recording the leave failed; the claims are lost"),
            Err(_) => warn!("recording the leave timed out; the claims are lost"),
        }
    }

    async fn hand_over(&self) {
        let (reply, done) = oneshot::channel();
        self.control.send_to_claims(Message::HandOver { reply });
        // The status says whether all claims arrived.
        let _ = done.await;
    }

    async fn append(&self, handed_over: Option<Offset>) -> Result<Offset, log::Error> {
        let incarnation = self.status.borrow().incarnation;
        let target = self.target.clone();
        let leave = Leave { target, incarnation, handed_over, ended: true };
        append(&self.log, Action::Leave(leave)).await
    }

    async fn wait_for(&mut self, condition: impl FnMut(&Status) -> bool) {
        // After a timeout the status still lacks the change, which callers check.
        let _ = timeout(READ_BACK_TIMEOUT, self.status.wait_for(condition)).await;
    }

    fn is_member(&self) -> bool {
        self.status.borrow().joined.is_some()
    }
}

/// Joins, and joins again as a new incarnation whenever another process has declared this agent
/// lost. Doesn't join again once another agent of the same target has joined.
async fn keep_joined(log: Client, mut join: Join, control: control::Handle) {
    let mut status = control.membership_status();
    loop {
        join_members(&log, &join, &mut status).await;
        // An error means that the control thread ended.
        let Ok(lost) = status.wait_for(|s| s.joined.is_none()).await.map(|status| *status) else {
            return;
        };
        if lost.replaced {
            warn!("another agent of the same target has joined; this one grants no key any more");
            return;
        }
        warn!("another process declared this agent lost; joining again");
        join.incarnation = Uuid::new_v4();
        control.send_to_claims(Message::Event(Event::Rejoin(join.incarnation)));
    }
}

/// Appends the join record until it is read back; appending the record repeatedly has no further
/// effect.
async fn join_members(log: &Client, join: &Join, status: &mut watch::Receiver<Status>) {
    while status.borrow().joined.is_none() {
        match append(log, Action::Join(join.clone())).await {
            Ok(offset) => {
                // After a timeout the loop appends the record again.
                let _ = timeout(READ_BACK_TIMEOUT, status.wait_for(|s| s.epoch >= offset)).await;
            }
            Err(error) => {
                warn!(%error, "joining the membership failed; retrying");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    info!(joined = status.borrow().joined, "joined the membership");
}

async fn append(log: &Client, action: Action) -> Result<Offset, log::Error> {
    let record = Record { schema: SCHEMA, at: SystemTime::now(), action };
    let payload = serde_json::to_string(&record).expect("a record is JSON");
    log.append(MEMBERSHIP, &payload).await
}

/// Converts news of the membership stream to an event of the reducer of claims.
fn claim_event(news: News) -> Event {
    let record = |r: log::Record| entry::Record { offset: r.offset, payload: r.payload };
    match news {
        News::Records(records) => Event::Records(records.into_iter().map(record).collect()),
        News::CaughtUp { .. } => Event::CaughtUp,
    }
}
