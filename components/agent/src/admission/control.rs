//! The control task: owns the reducer's state, takes events in and carries effects out.

use std::{
    collections::HashMap,
    future::pending,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::reservation::{Ask, Denial, Fate, Grant, Id, Load};
use scheduler::agent::{self, Effect, Event, Policy, Room, State};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep_until, timeout},
};
use tracing::info;
use wire::admission::Target;

use super::{Look, Seen};

/// Life of a grant whose reservation isn't held: it may have crossed the word that gave it up.
const GRANT: Duration = Duration::from_millis(200);
/// Slots that are assumed before a process says how many the target has.
const SLOTS: usize = 1;
/// Most reservations that wait; each is under a kilobyte.
const WAITING: usize = 10_000;
/// Part of the work that each tier may have whatever waits above it.
const FLOOR: f64 = 0.05;
/// Longest sleep, in case no timer is due.
const IDLE: Duration = Duration::from_secs(60);
/// Period in which the target is asked what it has.
const LOOK: Duration = Duration::from_millis(200);
/// Longest wait for its answer: it is on the same host.
const LOOK_WAIT: Duration = Duration::from_millis(300);

/// What becomes of a reservation.
pub type Granted = Result<Grant, Denial>;

enum Message {
    Reserve { ask: Ask, target: Target, reply: oneshot::Sender<Granted> },
    Cancel(Id),
    Hold { id: Id, reply: oneshot::Sender<Fate> },
    Ended(Id),
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
    state: State,
    granting: HashMap<Id, oneshot::Sender<Granted>>,
    target: Option<Target>,
    /// What the target had beyond what is held here, when it was last asked.
    unreserved: usize,
    reached: bool,
    control: Handle,
    look: Look,
}

/// Starts the control task.
pub fn spawn(look: Look) -> Handle {
    let (messages, inbox) = mpsc::unbounded_channel();
    let handle = Handle { messages };
    let room = Room { slots: SLOTS, tokens: u64::MAX, waiting: WAITING, grant: GRANT };
    let task = Task {
        // Entry processes refuse what comes too late, by what they know of all targets.
        state: agent::open_with(room, Policy { floor: FLOOR, newest: true, ..Policy::first() }),
        granting: HashMap::new(),
        target: None,
        unreserved: 0,
        reached: true,
        control: handle.clone(),
        look,
    };
    tokio::spawn(task.run(inbox));
    handle
}

impl Handle {
    /// Waits for room; dropping the future cancels the reservation. `None` where the task ended.
    pub async fn reserve(&self, ask: Ask, target: Target) -> Option<Granted> {
        let mut guard = self.guard(Message::Cancel(ask.id));
        let (reply, answer) = oneshot::channel();
        self.send(Message::Reserve { ask, target, reply });
        let granted = answer.await.ok();
        // Granted room lapses unless it is held.
        guard.message = None;
        granted
    }

    /// Keeps granted room until the future is dropped; ends only where there is none.
    pub async fn hold(&self, id: Id) -> Fate {
        let _guard = self.guard(Message::Ended(id));
        let (reply, answer) = oneshot::channel();
        self.send(Message::Hold { id, reply });
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
            let wake = agent::next_wake(&self.state).unwrap_or_else(|| Instant::now() + IDLE);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => self.reduce(Event::Tick),
                _ = look.tick() => self.look(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Reserve { ask, target, reply } => {
                self.meet(target);
                self.granting.insert(ask.id, reply);
                self.reduce(Event::Reserve(ask));
            }
            Message::Cancel(id) => {
                self.granting.remove(&id);
                self.reduce(Event::Cancel(id));
            }
            Message::Hold { id, reply } => self.hold(id, reply),
            Message::Ended(id) => self.reduce(Event::Ended(id)),
            Message::Seen { address, seen } => self.seen(address, seen),
            Message::Drain => self.reduce(Event::Drain),
        }
    }

    fn hold(&mut self, id: Id, reply: oneshot::Sender<Fate>) {
        let denied = self.effects(Event::Start(id)).into_iter().find_map(|effect| match effect {
            Effect::DenyStart { fate, .. } => Some(fate),
            _ => None,
        });
        if let Some(fate) = denied {
            // Whoever asked may have gone.
            let _ = reply.send(fate);
        }
    }

    /// Learns of the target from an entry process that reserves.
    fn meet(&mut self, target: Target) {
        if self.target == Some(target) {
            return;
        }
        let moved = self.target.map(|known| known.address) != Some(target.address);
        self.target = Some(target);
        info!(address = %target.address, slots = target.slots, "the target is known");
        self.reduce(Event::Sized(target.slots as usize));
        if moved {
            self.reach(true);
            self.look();
        }
    }

    fn look(&self) {
        let Some(Target { address, .. }) = self.target else {
            return;
        };
        let (seen, control) = ((self.look)(address), self.control.clone());
        tokio::spawn(async move {
            let seen = timeout(LOOK_WAIT, seen).await.unwrap_or_default();
            control.send(Message::Seen { address, seen });
        });
    }

    fn seen(&mut self, address: SocketAddr, seen: Seen) {
        if self.target.is_none_or(|target| target.address != address) {
            return;
        }
        self.reach(seen.is_some());
        let running = self.state.load().running as usize;
        let unreserved = seen.unwrap_or_default().saturating_sub(running);
        // What has just been given up here may still be there: it counts once it stays.
        let lasting = unreserved.min(self.unreserved);
        self.unreserved = unreserved;
        self.reduce(Event::Unreserved(lasting));
    }

    fn reach(&mut self, reached: bool) {
        if std::mem::replace(&mut self.reached, reached) != reached {
            info!(reached, "the target takes requests, or none");
            self.reduce(Event::Reached(reached));
        }
    }

    fn reduce(&mut self, event: Event) {
        self.effects(event);
    }

    fn effects(&mut self, event: Event) -> Vec<Effect> {
        let effects = agent::reduce(&mut self.state, Instant::now(), event);
        for effect in &effects {
            match effect {
                Effect::Grant { id, grant } => self.answer(*id, Ok(*grant)),
                Effect::Deny { id, denial } => self.answer(*id, Err(*denial)),
                _ => {}
            }
        }
        effects
    }

    fn answer(&mut self, id: Id, granted: Granted) {
        let Load { running, waiting, .. } = self.state.load();
        let reason = granted.as_ref().err().map(|denial| format!("{:?}", denial.reason));
        let (request, number) = (id.request, id.attempt);
        info!(%request, number, reason, running, waiting, granted = granted.is_ok(), "answered");
        if let Some(reply) = self.granting.remove(&id) {
            // Whoever waited may have gone; what was granted lapses.
            let _ = reply.send(granted);
        }
    }
}
