//! Joins the members at the start, follows them, and leaves them at the end.

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

/// Longest wait of one read of the log for a new record.
const POLL: Duration = Duration::from_secs(2);
/// Wait before an append is tried again.
const BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait for an appended record to be read back.
const READ_BACK: Duration = Duration::from_secs(2);
/// Longest time that an agent tries to leave with its claims handed over.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A running membership.
pub struct Handle {
    log: Client,
    target: TargetName,
    control: control::Handle,
    status: watch::Receiver<Status>,
    reader: JoinHandle<()>,
    join: JoinHandle<()>,
}

/// Starts to follow the members and to join them. Without the log the agent serves on, but grants
/// no key.
pub fn spawn(
    settings: &settings::Agent,
    incarnation: IncarnationId,
    address: SocketAddr,
    control: control::Handle,
) -> Handle {
    let log = log::open(&settings.platform.log);
    let status = control.members();
    let feed = control.clone();
    let reader = tail::spawn(log.clone(), MEMBERSHIP, POLL, move |news| {
        let confirmed = match news {
            News::Records(_) => None,
            News::CaughtUp { asked } => Some(asked),
        };
        feed.claims(Message::Event(event(news)));
        // After the records that it speaks of.
        confirmed.into_iter().for_each(|asked| feed.confirm_membership(asked));
    });
    let join = Join {
        target: settings.target.clone(),
        host: settings.host.clone(),
        incarnation,
        control: address,
    };
    let target = settings.target.clone();
    let join = tokio::spawn(stay(log.clone(), join, control.clone()));
    Handle { log, target, control, status, reader, join }
}

impl Handle {
    /// Hands all claims over and leaves, or gives up on that after a time.
    pub async fn leave(mut self) {
        self.join.abort();
        // Whether it is still a member afterwards tells what came of it; an append that is cut
        // off here may take effect, and nothing is granted after it either way.
        let _ = timeout(LEAVE_TIMEOUT, self.leave_in_order()).await;
        if self.is_member() {
            self.leave_alone().await;
        }
        self.reader.abort();
    }

    async fn leave_in_order(&mut self) {
        while self.is_member() && self.status.borrow().has_others {
            if self.try_leave().await.is_err() {
                sleep(BACKOFF).await;
            }
        }
    }

    /// The snapshot while claims are still granted, then the tail once they aren't, then the
    /// record that moves the keys.
    async fn try_leave(&mut self) -> Result<(), log::Error> {
        self.hand_over().await;
        self.control.claims(Message::Event(Event::Freeze));
        self.hand_over().await;
        let Some(epoch) = self.status.borrow().handed_over else {
            self.control.claims(Message::Event(Event::Thaw));
            return Err(log::Error::Busy);
        };
        match self.append(Some(epoch)).await {
            Err(error @ (log::Error::Unreachable | log::Error::Busy)) => {
                self.control.claims(Message::Event(Event::Thaw));
                Err(error)
            }
            // The record stands, or may stand: nothing is granted until another record has
            // taken its place and it is known to have had no effect.
            _ => {
                self.wait_for(|status| status.epoch > epoch).await;
                if self.is_member() && self.status.borrow().epoch > epoch {
                    self.control.claims(Message::Event(Event::Thaw));
                }
                Ok(())
            }
        }
    }

    /// Says only that nothing is granted any more; the claims are lost.
    async fn leave_alone(&mut self) {
        self.control.claims(Message::Event(Event::Freeze));
        match timeout(READ_BACK, self.append(None)).await {
            Ok(Ok(offset)) => info!(offset, "left without a hand-over"),
            Ok(Err(error)) => warn!(%error, "can't leave the members; the claims are lost"),
            Err(_) => warn!("the log is too slow to leave the members; the claims are lost"),
        }
    }

    async fn hand_over(&self) {
        let (reply, done) = oneshot::channel();
        self.control.claims(Message::HandOver { reply });
        // Whether all arrived shows in the status.
        let _ = done.await;
    }

    async fn append(&self, handed_over: Option<Offset>) -> Result<Offset, log::Error> {
        let incarnation = self.status.borrow().incarnation;
        let target = self.target.clone();
        let leave = Leave { target, incarnation, handed_over, ended: true };
        append(&self.log, Action::Leave(leave)).await
    }

    async fn wait_for(&mut self, done: impl FnMut(&Status) -> bool) {
        // Running out of time shows in the status.
        let _ = timeout(READ_BACK, self.status.wait_for(done)).await;
    }

    fn is_member(&self) -> bool {
        self.status.borrow().joined.is_some()
    }
}

/// Joins, and joins again as a new run whenever another process took this one for lost. A run
/// whose successor has joined stays out.
async fn stay(log: Client, mut join: Join, control: control::Handle) {
    let mut status = control.members();
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
        warn!("another process took this agent for lost; joining again");
        join.incarnation = Uuid::new_v4();
        control.claims(Message::Event(Event::Rejoin(join.incarnation)));
    }
}

/// Appends the join until it is read back; a repeat has no second effect.
async fn join_members(log: &Client, join: &Join, status: &mut watch::Receiver<Status>) {
    while status.borrow().joined.is_none() {
        match append(log, Action::Join(join.clone())).await {
            Ok(offset) => {
                // Running out of time means another try.
                let _ = timeout(READ_BACK, status.wait_for(|s| s.epoch >= offset)).await;
            }
            Err(error) => {
                warn!(%error, "can't join the members now");
                sleep(BACKOFF).await;
            }
        }
    }
    info!(joined = status.borrow().joined, "joined the members");
}

async fn append(log: &Client, action: Action) -> Result<Offset, log::Error> {
    let record = Record { schema: SCHEMA, at: SystemTime::now(), action };
    let payload = serde_json::to_string(&record).expect("a record is JSON");
    log.append(MEMBERSHIP, &payload).await
}

fn event(news: News) -> Event {
    let record = |r: log::Record| entry::Record { offset: r.offset, payload: r.payload };
    match news {
        News::Records(records) => Event::Records(records.into_iter().map(record).collect()),
        News::CaughtUp { .. } => Event::CaughtUp,
    }
}
