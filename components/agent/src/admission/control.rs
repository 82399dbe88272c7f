//! The control task: passes each call and probe result to the queue of the target concerned.

use std::{
    collections::HashMap,
    future::pending,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    id::StreamKey,
    promise::{self, Promise, Redemption},
    reservation::{Ask, Fate, Id, Limit},
};
use scheduler::{agent::Event, origins::Origins, promises::Promises};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep_until, timeout},
};
use wire::admission::{OriginRecord, Target};

use super::{
    Look, Seen,
    queue::{self, Queue, ReserveAnswer},
};

/// Longest sleep of the control task while no timer is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Interval between two probes of a target on the agent's host.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a probe; short because the probed target is on the agent's host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Message to the control task.
enum Message {
    Reserve {
        ask: Ask,
        target: Target,
        limit: Option<Limit>,
        reply: oneshot::Sender<ReserveAnswer>,
    },
    Cancel(SocketAddr, Id),
    Hold {
        id: Id,
        address: SocketAddr,
        reply: oneshot::Sender<Fate>,
    },
    Released(SocketAddr, Id),
    Probed {
        address: SocketAddr,
        result: Seen,
    },
    RecordOrigin(OriginRecord, oneshot::Sender<bool>),
    FindOrigin(StreamKey, oneshot::Sender<Option<String>>),
    Promise(promise::Ask, oneshot::Sender<Option<Promise>>),
    Redeem(promise::Key, oneshot::Sender<Redemption>),
    Drain,
}

/// Sends messages to the control task; clones share the task.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
}

/// Sends a message to the control task when it is dropped, which cancels a reservation or releases
/// a slot.
struct SendOnDrop {
    /// Message to send on drop; `None` once it is no longer needed.
    message: Option<Message>,
    control: Handle,
}

/// State of the control task.
struct Task {
    /// Queues by the address of the target: the one on this host, and those without an agent of
    /// their own.
    queues: HashMap<SocketAddr, Queue>,
    /// Versions that began streams, as entry processes recorded them.
    origins: Origins,
    /// Promises to callers that entry processes refused.
    promises: Promises,
    is_draining: bool,
    control: Handle,
    look: Look,
}

/// Starts the control task; it probes the targets on this host with `look`.
pub fn spawn(look: Look) -> Handle {
    let (messages, inbox) = mpsc::unbounded_channel();
    let handle = Handle { messages };
    let task = Task {
        queues: HashMap::new(),
        origins: Origins::default(),
        promises: Promises::default(),
        is_draining: false,
        control: handle.clone(),
        look,
    };
    tokio::spawn(task.run(inbox));
    handle
}

impl Handle {
    /// Waits until the reservation is granted or denied; dropping the future cancels it. Returns
    /// `None` if the control task ended.
    pub async fn reserve(
        &self,
        ask: Ask,
        target: Target,
        limit: Option<Limit>,
    ) -> Option<ReserveAnswer> {
        let mut guard = self.send_on_drop(Message::Cancel(target.address, ask.id));
        let (reply, answer) = oneshot::channel();
        self.send(Message::Reserve { ask, target, limit, reply });
        let granted = answer.await.ok();
        // An answered reservation needs no cancel: a grant that isn't held expires.
        guard.message = None;
        granted
    }

    /// Holds a granted slot until the future is dropped. Returns early only if the reservation
    /// has no grant.
    pub async fn hold(&self, id: Id, address: SocketAddr) -> Fate {
        let _guard = self.send_on_drop(Message::Released(address, id));
        let (reply, answer) = oneshot::channel();
        self.send(Message::Hold { id, address, reply });
        match answer.await {
            Ok(fate) => fate,
            Err(_) => pending().await,
        }
    }

    /// Records the version that began a stream. Returns whether it was recorded.
    pub async fn record_origin(&self, record: OriginRecord) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(Message::RecordOrigin(record, reply));
        answer.await.unwrap_or_default()
    }

    /// Returns the version that began a stream; `None` where it isn't recorded.
    pub async fn find_origin(&self, key: StreamKey) -> Option<String> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::FindOrigin(key, reply));
        answer.await.unwrap_or_default()
    }

    /// Makes a promise to a refused caller; `None` where it is declined.
    pub async fn promise(&self, ask: promise::Ask) -> Option<Promise> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Promise(ask, reply));
        answer.await.unwrap_or_default()
    }

    /// Redeems the promise to a caller that returned.
    pub async fn redeem(&self, key: promise::Key) -> Redemption {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Redeem(key, reply));
        answer.await.unwrap_or(Redemption::Unknown)
    }

    /// Denies all waiting and all future reservations.
    pub fn drain(&self) {
        self.send(Message::Drain);
    }

    fn send_on_drop(&self, message: Message) -> SendOnDrop {
        SendOnDrop { message: Some(message), control: self.clone() }
    }

    fn send(&self, message: Message) {
        // The task ends only with the process, so a failed send needs no handling.
        let _ = self.messages.send(message);
    }
}

impl Drop for SendOnDrop {
    fn drop(&mut self) {
        if let Some(message) = self.message.take() {
            self.control.send(message);
        }
    }
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut probe_timer = interval(PROBE_INTERVAL);
        probe_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake = self.queues.values().filter_map(Queue::next_wake).min();
            let wake = wake.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => self.reduce_all(&Event::Tick),
                _ = probe_timer.tick() => self.probe_all(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Reserve { ask, target, limit, reply } => {
                let is_known = self.queues.contains_key(&target.address);
                let queue =
                    self.queues.entry(target.address).or_insert_with(|| queue::open(target));
                if !is_known && self.is_draining {
                    queue.reduce(Event::Drain);
                }
                if queue.update_target(target) {
                    limit.into_iter().for_each(|limit| queue.limit(limit));
                }
                queue.reserve(ask, reply);
                if !is_known && target.beside {
                    self.probe(target.address);
                }
            }
            Message::Cancel(address, id) => self.with_queue(address, |queue| queue.cancel(id)),
            Message::Hold { id, address, reply } => {
                // A queue is removed only once it has no reservations.
                match self.queues.get_mut(&address) {
                    Some(queue) => queue.hold(id, reply),
                    None => drop(reply.send(Fate::Unknown)),
                }
            }
            Message::Released(address, id) => {
                self.with_queue(address, |queue| queue.reduce(Event::Ended(id)));
            }
            Message::Probed { address, result } => {
                self.with_queue(address, |queue| queue.apply_probe(result));
            }
            Message::RecordOrigin(record, reply) => {
                let OriginRecord { key, version, lifetime_ms } = record;
                let lifetime = Duration::from_millis(lifetime_ms.into());
                // The caller may have disconnected.
                let _ = reply.send(self.origins.record(Instant::now(), key, version, lifetime));
            }
            Message::FindOrigin(key, reply) => {
                let _ = reply.send(self.origins.find(Instant::now(), &key).cloned());
            }
            Message::Promise(ask, reply) => {
                let _ = reply.send(self.promises.promise(Instant::now(), ask));
            }
            Message::Redeem(key, reply) => {
                let _ = reply.send(self.promises.redeem(Instant::now(), &key));
            }
            Message::Drain => {
                self.is_draining = true;
                self.reduce_all(&Event::Drain);
            }
        }
    }

    fn with_queue(&mut self, address: SocketAddr, change: impl FnOnce(&mut Queue)) {
        if let Some(queue) = self.queues.get_mut(&address) {
            change(queue);
        }
    }

    fn reduce_all(&mut self, event: &Event) {
        self.queues.values_mut().for_each(|queue| queue.reduce(event.clone()));
    }

    /// Removes idle queues and probes every target on this host.
    fn probe_all(&mut self) {
        let now = Instant::now();
        self.origins.remove_expired(now);
        self.promises.remove_lapsed(now);
        self.queues.retain(|_, queue| !queue.is_idle(now));
        let local = self.queues.values().map(Queue::target).filter(|target| target.beside);
        local.for_each(|target| self.probe(target.address));
    }

    /// Probes a target and reports the result to the control task.
    fn probe(&self, address: SocketAddr) {
        let (probe, control) = ((self.look)(address), self.control.clone());
        tokio::spawn(async move {
            let result = timeout(PROBE_TIMEOUT, probe).await.unwrap_or_default();
            control.send(Message::Probed { address, result });
        });
    }
}
