//! The control thread: owns the reducer's state, takes events in and carries effects out.

use std::{
    collections::HashMap,
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime},
};

use evidence::{
    Buffer,
    recorder::agent::{self as recorder, Finish, Recorder},
};
use model::{
    id::IncarnationId,
    reservation::{Ask, Denial, Fate, Grant, Id, Load},
    suspect::Crash,
};
use scheduler::{
    agent::{self, Capacity, Effect, Event, State},
    order,
};
use tokio::{
    runtime,
    sync::{mpsc, oneshot, watch},
    time::sleep_until,
};

use crate::{claims, crashes, orders};

/// Longest sleep of the control thread, in case no timer is due.
const IDLE: Duration = Duration::from_secs(60);

/// What an agent says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Its load.
    pub load: Load,
    /// Whether it takes no new reservations.
    pub draining: bool,
    /// Whether nothing waits or runs any more, and nothing will.
    pub drained: bool,
}

type Granted = Result<Grant, Denial>;
type Started = Result<Run, Fate>;

enum Message {
    Reserve { ask: Ask, reply: oneshot::Sender<Granted> },
    Start { run: Run, reply: oneshot::Sender<Started> },
    Cancel { id: Id, reply: Option<oneshot::Sender<Fate>> },
    Settle { id: Id, reply: oneshot::Sender<Fate> },
    Event(Event),
    Claims(claims::Message),
    Confirmed { asked: Instant },
    Orders(order::Event),
    Ended { id: Id, finish: Finish },
    Close(oneshot::Sender<()>),
    Died(oneshot::Sender<Crash>),
}

/// Who waits for the answer to the message that is being reduced.
enum Reply {
    Nobody,
    Start { run: Run, reply: oneshot::Sender<Started> },
    Fate(oneshot::Sender<Fate>),
    Crash(oneshot::Sender<Crash>),
}

/// Speaks to the control thread; clones speak to the same one.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<Status>,
    members: watch::Receiver<claims::Status>,
}

/// A request that may be dispatched; once it is, dropping it tells the reducer that the target is
/// done with it. It travels in its own reply, so that a reader who went away frees the room too.
pub struct Run {
    id: Id,
    control: Handle,
    dispatched: bool,
    finish: Finish,
}

/// A reservation that is waited for; dropping it cancels the reservation.
struct Wait {
    id: Id,
    control: Handle,
    armed: bool,
}

struct Thread {
    state: State,
    recorder: Recorder,
    /// Where evidence goes; `None` once the chain is closed.
    evidence: Option<Buffer>,
    status: watch::Sender<Status>,
    metrics: Arc<metrics::Agent>,
    granting: HashMap<Id, oneshot::Sender<Granted>>,
    claims: claims::Executor,
    members: watch::Receiver<claims::Status>,
    orders: orders::Executor,
    crashes: crashes::Executor,
    drained: bool,
}

/// Starts the control thread.
///
/// Must be called on the traffic runtime.
pub fn spawn(
    settings: &settings::Agent,
    incarnation: IncarnationId,
    metrics: Arc<metrics::Agent>,
    evidence: Buffer,
) -> io::Result<Handle> {
    let (messages, inbox) = mpsc::unbounded_channel();
    let (status, status_reader) = watch::channel(Status::default());
    let (members, members_reader) = watch::channel(claims::Status::default());
    let handle = Handle { messages, status: status_reader, members: members_reader };
    let claims = claims::open(
        settings.target.clone(),
        incarnation,
        handle.clone(),
        members,
        Arc::clone(&metrics),
    );
    let orders = orders::open(settings.engine, handle.clone());
    let room = Capacity {
        slots: settings.room.slots,
        max_tokens: settings.room.tokens,
        max_waiting: settings.room.waiting,
        grant_lifetime: settings.room.grant,
    };
    let thread = Thread {
        state: agent::open(room),
        recorder: Recorder::default(),
        evidence: Some(evidence),
        status,
        metrics,
        granting: HashMap::new(),
        claims,
        members: handle.members.clone(),
        orders,
        crashes: crashes::executor(settings),
        drained: false,
    };
    let runtime = runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(handle)
}

impl Handle {
    /// Waits for room; dropping the future cancels the reservation. `None` where the control
    /// thread ended.
    pub async fn reserve(&self, ask: Ask) -> Option<Granted> {
        let mut wait = Wait { id: ask.id, control: self.clone(), armed: true };
        let (reply, answer) = oneshot::channel();
        self.send(Message::Reserve { ask, reply });
        let granted = answer.await.ok();
        wait.armed = false;
        granted
    }

    /// Takes a granted reservation to its start, or tells why it may not start.
    pub async fn start(&self, id: Id) -> Result<Run, Fate> {
        let (reply, answer) = oneshot::channel();
        let run = Run { id, control: self.clone(), dispatched: false, finish: Finish::default() };
        self.send(Message::Start { run, reply });
        answer.await.unwrap_or(Err(Fate::Unknown))
    }

    /// Gives a reservation up.
    pub async fn cancel(&self, id: Id) -> Fate {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Cancel { id, reply: Some(reply) });
        answer.await.unwrap_or(Fate::Unknown)
    }

    /// Tells what became of a reservation; one that hasn't started never will.
    pub async fn settle(&self, id: Id) -> Fate {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Settle { id, reply });
        answer.await.unwrap_or(Fate::Unknown)
    }

    /// Feeds an event to the reducer that nobody waits for.
    pub fn event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// What the agent says of itself.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// What the agent says of its membership and its claims.
    pub fn members(&self) -> watch::Receiver<claims::Status> {
        self.members.clone()
    }

    /// Brings a message before the reducer of claims.
    pub fn claims(&self, message: claims::Message) {
        self.send(Message::Claims(message));
    }

    /// Tells that the membership stream was read to its end, by a call that began at `asked`.
    pub fn confirm_membership(&self, asked: Instant) {
        self.send(Message::Confirmed { asked });
    }

    /// Tells that the target takes no connection any more; gives what has to be recorded, if
    /// that isn't told already.
    pub async fn died(&self) -> Option<Crash> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Died(reply));
        answer.await.ok()
    }

    /// Brings an event before the reducer of orders.
    pub fn orders(&self, event: order::Event) {
        self.send(Message::Orders(event));
    }

    /// Asks the reducer to take no new reservation.
    pub fn start_drain(&self) {
        self.send(Message::Event(Event::Drain));
    }

    /// Closes the chain of evidence: nothing is recorded after this.
    pub async fn close(&self) {
        let (closed, wait) = oneshot::channel();
        self.send(Message::Close(closed));
        // An error means that the control thread ended, which records nothing more either.
        let _ = wait.await;
    }

    /// Waits until nothing waits or runs.
    pub async fn drained(&self) {
        let mut status = self.status.clone();
        // An error means that the control thread ended, and with it all reservations.
        let _ = status.wait_for(|status| status.drained).await;
    }

    fn send(&self, message: Message) {
        // The thread ends only with the process; a message after that has no reader to reach.
        let _ = self.messages.send(message);
    }
}

impl Run {
    /// Tells what came of it, for the evidence.
    pub fn finish(&mut self, finish: Finish) {
        self.finish = finish;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.dispatched {
            if self.finish.digest.is_some() {
                self.control.event(Event::AnswerCompleted(self.id));
            }
            self.control.send(Message::Ended { id: self.id, finish: self.finish });
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.armed {
            self.control.send(Message::Cancel { id: self.id, reply: None });
        }
    }
}

impl Thread {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wakes = [agent::next_wake(&self.state), self.orders.next_wake()];
            let wake = wakes.into_iter().flatten().min();
            let wake = wake.unwrap_or_else(|| Instant::now() + IDLE);
            let message = tokio::select! {
                message = inbox.recv() => message,
                () = sleep_until(wake.into()) => Some(Message::Event(Event::Tick)),
            };
            match message {
                None => return,
                Some(message) => self.take(message),
            }
        }
    }

    fn take(&mut self, message: Message) {
        let message = match message {
            Message::Claims(message) => return self.claims.take(message),
            Message::Close(closed) => return self.close(closed),
            Message::Orders(event) => return self.orders.take(event),
            Message::Confirmed { asked } => {
                let fence = self.members.borrow().joined;
                return self.orders.take(order::Event::Confirmed { read_started_at: asked, fence });
            }
            other => other,
        };
        if matches!(message, Message::Event(Event::Tick)) {
            self.orders.take(order::Event::Tick);
        }
        let (event, mut reply) = self.open(message);
        let (now, at) = (Instant::now(), SystemTime::now());
        let step = recorder::reduce(&mut self.recorder, &mut self.state, now, at, event);
        if let Some(evidence) = &self.evidence {
            step.facts.into_iter().for_each(|fact| evidence.push(at, fact));
        }
        for effect in step.effects {
            reply = self.carry_out(effect, reply);
        }
        self.publish();
    }

    fn close(&mut self, closed: oneshot::Sender<()>) {
        if let Some(evidence) = self.evidence.take() {
            evidence.push(SystemTime::now(), self.recorder.close());
        }
        let _ = closed.send(());
    }

    fn open(&mut self, message: Message) -> (Event, Reply) {
        match message {
            Message::Reserve { ask, reply } => {
                self.granting.insert(ask.id, reply);
                (Event::Reserve(ask), Reply::Nobody)
            }
            Message::Start { run, reply } => (Event::Start(run.id), Reply::Start { run, reply }),
            Message::Cancel { id, reply } => {
                self.granting.remove(&id);
                (Event::Cancel(id), reply.map_or(Reply::Nobody, Reply::Fate))
            }
            Message::Settle { id, reply } => (Event::Resolve(id), Reply::Fate(reply)),
            Message::Event(event) => (event, Reply::Nobody),
            Message::Ended { id, finish } => {
                self.recorder.finished(id, finish);
                (Event::Ended(id), Reply::Nobody)
            }
            Message::Died(reply) => (Event::TargetCrashed, Reply::Crash(reply)),
            Message::Claims(_)
            | Message::Close(_)
            | Message::Confirmed { .. }
            | Message::Orders(_) => (Event::Tick, Reply::Nobody),
        }
    }

    /// Carries one effect out; gives back who still waits for an answer. A reader that went
    /// away needs none: its grant lapses, and its question may be asked again.
    fn carry_out(&mut self, effect: Effect, reply: Reply) -> Reply {
        match (effect, reply) {
            (Effect::Grant { id, grant }, reply) => {
                self.answer(id, Ok(grant));
                reply
            }
            (Effect::Deny { id, denial }, reply) => {
                self.answer(id, Err(denial));
                reply
            }
            (Effect::Dispatch(_), Reply::Start { mut run, reply }) => {
                self.metrics.dispatched.inc();
                run.dispatched = true;
                let _ = reply.send(Ok(run));
                Reply::Nobody
            }
            (Effect::DenyStart { fate, .. }, Reply::Start { reply, .. }) => {
                let _ = reply.send(Err(fate));
                Reply::Nobody
            }
            (Effect::ReplyFate { fate, .. }, Reply::Fate(sender)) => {
                let _ = sender.send(fate);
                Reply::Nobody
            }
            (Effect::Crash { bodies: running, ran_alone: alone }, Reply::Crash(sender)) => {
                // Whoever asked may have gone; the bodies stay suspected at the entries.
                let _ = sender.send(self.crashes.crash(running, alone));
                Reply::Nobody
            }
            (Effect::ClearSuspect(body), reply) => {
                self.crashes.clear(body);
                reply
            }
            (Effect::Drained, reply) => {
                self.drained = true;
                reply
            }
            (_, reply) => reply,
        }
    }

    fn answer(&mut self, id: Id, granted: Granted) {
        if let Some(reply) = self.granting.remove(&id) {
            let _ = reply.send(granted);
        }
    }

    fn publish(&self) {
        let load = self.state.load();
        self.metrics.running.set(load.running.into());
        self.metrics.waiting_reservations.set(load.waiting.into());
        let status = Status { load, draining: self.state.is_draining(), drained: self.drained };
        self.status.send_if_modified(|old| std::mem::replace(old, status) != status);
    }
}
