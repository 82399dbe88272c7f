//! The control task: hands what comes to the queue of its target.

use std::{
    collections::HashMap,
    future::pending,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::reservation::{Ask, Fate, Id, Limit};
use scheduler::agent::Event;
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep_until, timeout},
};
use wire::admission::Target;

use super::{
    Look, Seen,
    queue::{self, Granted, Queue},
};

/// Longest sleep, in case no timer is due.
const IDLE: Duration = Duration::from_secs(60);
/// Period in which the target beside is asked what it has.
const LOOK: Duration = Duration::from_millis(200);
/// Longest wait for its answer: it is on the same host.
const LOOK_WAIT: Duration = Duration::from_millis(300);

enum Message {
    Reserve { ask: Ask, target: Target, limit: Option<Limit>, reply: oneshot::Sender<Granted> },
    Cancel(SocketAddr, Id),
    Hold { id: Id, address: SocketAddr, reply: oneshot::Sender<Fate> },
    Ended(SocketAddr, Id),
    Seen { address: SocketAddr, seen: Seen },
    Drain,
}

/// Speaks to the control task; clones speak to the same one.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
}

/// A reservation or the room that it got; dropping it gives that up.
struct Guard {
    /// What is told then.
    message: Option<Message>,
    control: Handle,
}

struct Task {
    /// By where the target listens: the one beside, and those that have no agent of their own.
    queues: HashMap<SocketAddr, Queue>,
    draining: bool,
    control: Handle,
    look: Look,
}

/// Starts the control task.
pub fn spawn(look: Look) -> Handle {
    let (messages, inbox) = mpsc::unbounded_channel();
    let handle = Handle { messages };
    let task = Task { queues: HashMap::new(), draining: false, control: handle.clone(), look };
    tokio::spawn(task.run(inbox));
    handle
}

impl Handle {
    /// Waits for room; dropping the future cancels the reservation. `None` where the task ended.
    pub async fn reserve(&self, ask: Ask, target: Target, limit: Option<Limit>) -> Option<Granted> {
        let mut guard = self.guard(Message::Cancel(target.address, ask.id));
        let (reply, answer) = oneshot::channel();
        self.send(Message::Reserve { ask, target, limit, reply });
        let granted = answer.await.ok();
        // Granted room lapses unless it is held.
        guard.message = None;
        granted
    }

    /// Keeps granted room until the future is dropped; ends only where there is none.
    pub async fn hold(&self, id: Id, address: SocketAddr) -> Fate {
        let _guard = self.guard(Message::Ended(address, id));
        let (reply, answer) = oneshot::channel();
        self.send(Message::Hold { id, address, reply });
        match answer.await {
            Ok(fate) => fate,
            Err(_) => pending().await,
        }
    }

    /// Denies whoever waits or comes.
    pub fn drain(&self) {
        self.send(Message::Drain);
    }

    fn guard(&self, message: Message) -> Guard {
        Guard { message: Some(message), control: self.clone() }
    }

    fn send(&self, message: Message) {
        // The task ends only with the process.
        let _ = self.messages.send(message);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(message) = self.message.take() {
            self.control.send(message);
        }
    }
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake = self.queues.values().filter_map(Queue::next_wake).min();
            let wake = wake.unwrap_or_else(|| Instant::now() + IDLE);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => self.reduce_all(&Event::Tick),
                _ = look.tick() => self.look_round(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Reserve { ask, target, limit, reply } => {
                let (known, draining) = (self.queues.contains_key(&target.address), self.draining);
                let queue =
                    self.queues.entry(target.address).or_insert_with(|| queue::open(target));
                if !known && draining {
                    queue.reduce(Event::Drain);
                }
                limit.into_iter().for_each(|limit| queue.limit(limit));
                queue.reserve(ask, target, reply);
                if !known && target.beside {
                    self.look(target.address);
                }
            }
            Message::Cancel(address, id) => self.with(address, |queue| queue.cancel(id)),
            Message::Hold { id, address, reply } => {
                // A queue is forgotten only once nobody has room there.
                match self.queues.get_mut(&address) {
                    Some(queue) => queue.hold(id, reply),
                    None => drop(reply.send(Fate::Unknown)),
                }
            }
            Message::Ended(address, id) => {
                self.with(address, |queue| queue.reduce(Event::Ended(id)));
            }
            Message::Seen { address, seen } => self.with(address, |queue| queue.see(seen)),
            Message::Drain => {
                self.draining = true;
                self.reduce_all(&Event::Drain);
            }
        }
    }

    fn with(&mut self, address: SocketAddr, change: impl FnOnce(&mut Queue)) {
        if let Some(queue) = self.queues.get_mut(&address) {
            change(queue);
        }
    }

    fn reduce_all(&mut self, event: &Event) {
        self.queues.values_mut().for_each(|queue| queue.reduce(event.clone()));
    }

    fn look_round(&mut self) {
        let now = Instant::now();
        self.queues.retain(|_, queue| !queue.is_idle(now));
        let beside = self.queues.values().map(Queue::target).filter(|target| target.beside);
        beside.for_each(|target| self.look(target.address));
    }

    /// Asks a target what it has.
    fn look(&self, address: SocketAddr) {
        let (seen, control) = ((self.look)(address), self.control.clone());
        tokio::spawn(async move {
            let seen = timeout(LOOK_WAIT, seen).await.unwrap_or_default();
            control.send(Message::Seen { address, seen });
        });
    }
}
