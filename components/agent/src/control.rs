//! The control thread: owns the admission reducer's state, feeds it events and carries out the
//! effects that it returns.

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

/// Longest sleep of the control thread while no timer is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Current state of an agent, for entry processes and operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Load of the target: running and waiting reservations and what entry processes need for
    /// their choice of a target.
    pub load: Load,
    /// Whether the agent rejects new reservations because it is about to stop.
    pub draining: bool,
    /// Whether draining is complete: no reservation waits or runs, and no new one is accepted.
    pub drained: bool,
}

/// Answer to a reservation.
type ReserveAnswer = Result<Grant, Denial>;
/// Answer to a start: the run, or the state of the reservation that forbids the start.
type StartAnswer = Result<Run, Fate>;

/// Message to the control thread.
enum Message {
    Reserve { ask: Ask, reply: oneshot::Sender<ReserveAnswer> },
    Start { run: Run, reply: oneshot::Sender<StartAnswer> },
    Cancel { id: Id, reply: Option<oneshot::Sender<Fate>> },
    Settle { id: Id, reply: oneshot::Sender<Fate> },
    Event(Event),
    Claims(claims::Message),
    MembershipConfirmed { asked: Instant },
    Orders(order::Event),
    Ended { id: Id, finish: Finish },
    Close(oneshot::Sender<()>),
    TargetDied(oneshot::Sender<Crash>),
}

/// Reply channel of the message that is being reduced.
enum Reply {
    None,
    Start { run: Run, reply: oneshot::Sender<StartAnswer> },
    Fate(oneshot::Sender<Fate>),
    Crash(oneshot::Sender<Crash>),
}

/// Sends messages to the control thread; clones share the thread.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<Status>,
    members: watch::Receiver<claims::Status>,
}

/// A request that may be dispatched. Once it is dispatched, dropping this value reports to the
/// reducer that the target has finished the request. The value is sent as the reply to the start, so
/// that its slot is also released if the receiver of the reply is gone.
pub struct Run {
    id: Id,
    control: Handle,
    is_dispatched: bool,
    finish: Finish,
}

/// Cancels a waiting reservation when it is dropped.
struct CancelOnDrop {
    id: Id,
    control: Handle,
    /// Whether the reservation is still unanswered, so that dropping this value cancels it.
    is_waiting: bool,
}

/// State of the control thread.
struct Thread {
    state: State,
    recorder: Recorder,
    /// Buffer for evidence records; `None` once the chain of evidence is closed.
    evidence: Option<Buffer>,
    status: watch::Sender<Status>,
    metrics: Arc<metrics::Agent>,
    /// Reply channels of the waiting reservations.
    waiting_replies: HashMap<Id, oneshot::Sender<ReserveAnswer>>,
    claims: claims::Executor,
    members: watch::Receiver<claims::Status>,
    orders: orders::Executor,
    crashes: crashes::Executor,
    is_drained: bool,
}

/// Starts the control thread.
///
/// This function must be called on the traffic runtime, which the control thread uses for its
/// network calls.
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
        waiting_replies: HashMap::new(),
        claims,
        members: handle.members.clone(),
        orders,
        crashes: crashes::executor(settings),
        is_drained: false,
    };
    let runtime = runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(handle)
}

impl Handle {
    /// Waits until the reservation is granted or denied; dropping the future cancels it. Returns
    /// `None` if the control thread ended.
    pub async fn reserve(&self, ask: Ask) -> Option<ReserveAnswer> {
        let mut guard = CancelOnDrop { id: ask.id, control: self.clone(), is_waiting: true };
        let (reply, answer) = oneshot::channel();
        self.send(Message::Reserve { ask, reply });
        let granted = answer.await.ok();
        guard.is_waiting = false;
        granted
    }

    /// Starts a granted reservation; returns the reservation's state if it may not start.
    pub async fn start(&self, id: Id) -> Result<Run, Fate> {
        let (reply, answer) = oneshot::channel();
        let run =
            Run { id, control: self.clone(), is_dispatched: false, finish: Finish::default() };
        self.send(Message::Start { run, reply });
        answer.await.unwrap_or(Err(Fate::Unknown))
    }

    /// Cancels a reservation unless it has started; returns its state.
    pub async fn cancel(&self, id: Id) -> Fate {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Cancel { id, reply: Some(reply) });
        answer.await.unwrap_or(Fate::Unknown)
    }

    /// Returns the state of a reservation and cancels it unless it has started, so that the answer
    /// is final.
    pub async fn settle(&self, id: Id) -> Fate {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Settle { id, reply });
        answer.await.unwrap_or(Fate::Unknown)
    }

    /// Feeds an event to the admission reducer without waiting for its effects.
    pub fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Returns the agent's current load and whether it drains.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Returns a receiver for changes of the agent's membership and claims.
    pub fn membership_status(&self) -> watch::Receiver<claims::Status> {
        self.members.clone()
    }

    /// Feeds a message to the reducer of claims.
    pub fn send_to_claims(&self, message: claims::Message) {
        self.send(Message::Claims(message));
    }

    /// Reports that the membership stream was read to its end by a call that began at `asked`.
    pub fn confirm_membership(&self, asked: Instant) {
        self.send(Message::MembershipConfirmed { asked });
    }

    /// Reports that the target accepts no connections any more. Returns the crash to record; `None`
    /// if an earlier report has returned it already.
    pub async fn report_target_death(&self) -> Option<Crash> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::TargetDied(reply));
        answer.await.ok()
    }

    /// Feeds an event to the reducer of orders.
    pub fn send_to_orders(&self, event: order::Event) {
        self.send(Message::Orders(event));
    }

    /// Rejects new reservations from now on.
    pub fn start_drain(&self) {
        self.send(Message::Event(Event::Drain));
    }

    /// Closes the chain of evidence; nothing is recorded afterwards.
    pub async fn close(&self) {
        let (closed, wait) = oneshot::channel();
        self.send(Message::Close(closed));
        // An error means that the control thread ended; then nothing more is recorded either.
        let _ = wait.await;
    }

    /// Waits until draining is complete: no reservation waits or runs.
    pub async fn drained(&self) {
        let mut status = self.status.clone();
        // An error means that the control thread ended, which ends all reservations.
        let _ = status.wait_for(|status| status.drained).await;
    }

    fn send(&self, message: Message) {
        // The thread ends only with the process, so a failed send needs no handling.
        let _ = self.messages.send(message);
    }
}

impl Run {
    /// Sets the result of the run, which goes into the evidence.
    pub fn finish(&mut self, finish: Finish) {
        self.finish = finish;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.is_dispatched {
            if self.finish.digest.is_some() {
                self.control.send_event(Event::AnswerCompleted(self.id));
            }
            self.control.send(Message::Ended { id: self.id, finish: self.finish });
        }
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.is_waiting {
            self.control.send(Message::Cancel { id: self.id, reply: None });
        }
    }
}

impl Thread {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wakes = [agent::next_wake(&self.state), self.orders.next_wake()];
            let wake = wakes.into_iter().flatten().min();
            let wake = wake.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
            let message = tokio::select! {
                message = inbox.recv() => message,
                () = sleep_until(wake.into()) => Some(Message::Event(Event::Tick)),
            };
            match message {
                None => return,
                Some(message) => self.handle(message),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let message = match message {
            Message::Claims(message) => return self.claims.handle(message),
            Message::Close(closed) => return self.close(closed),
            Message::Orders(event) => return self.orders.handle(event),
            Message::MembershipConfirmed { asked } => {
                let fence = self.members.borrow().joined;
                return self
                    .orders
                    .handle(order::Event::Confirmed { read_started_at: asked, fence });
            }
            other => other,
        };
        if matches!(message, Message::Event(Event::Tick)) {
            self.orders.handle(order::Event::Tick);
        }
        let (event, mut reply) = self.split(message);
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

    /// Splits a message into the reducer's event and the reply channel, if it has one.
    fn split(&mut self, message: Message) -> (Event, Reply) {
        match message {
            Message::Reserve { ask, reply } => {
                self.waiting_replies.insert(ask.id, reply);
                (Event::Reserve(ask), Reply::None)
            }
            Message::Start { run, reply } => (Event::Start(run.id), Reply::Start { run, reply }),
            Message::Cancel { id, reply } => {
                self.waiting_replies.remove(&id);
                (Event::Cancel(id), reply.map_or(Reply::None, Reply::Fate))
            }
            Message::Settle { id, reply } => (Event::Resolve(id), Reply::Fate(reply)),
            Message::Event(event) => (event, Reply::None),
            Message::Ended { id, finish } => {
                self.recorder.finished(id, finish);
                (Event::Ended(id), Reply::None)
            }
            Message::TargetDied(reply) => (Event::TargetCrashed, Reply::Crash(reply)),
            Message::Claims(_)
            | Message::Close(_)
            | Message::MembershipConfirmed { .. }
            | Message::Orders(_) => (Event::Tick, Reply::None),
        }
    }

    /// Carries out one effect and returns the reply channel if it is still unused. A failed send is
    /// ignored because the caller is gone: its grant expires, and a question may be asked again.
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
                run.is_dispatched = true;
                let _ = reply.send(Ok(run));
                Reply::None
            }
            (Effect::DenyStart { fate, .. }, Reply::Start { reply, .. }) => {
                let _ = reply.send(Err(fate));
                Reply::None
            }
            (Effect::ReplyFate { fate, .. }, Reply::Fate(sender)) => {
                let _ = sender.send(fate);
                Reply::None
            }
            (Effect::Crash { bodies: running, ran_alone: alone }, Reply::Crash(sender)) => {
                // The caller may be gone; then the entry processes still suspect the bodies.
                let _ = sender.send(self.crashes.crash(running, alone));
                Reply::None
            }
            (Effect::ClearSuspect(body), reply) => {
                self.crashes.clear(body);
                reply
            }
            (Effect::Drained, reply) => {
                self.is_drained = true;
                reply
            }
            (_, reply) => reply,
        }
    }

    fn answer(&mut self, id: Id, granted: ReserveAnswer) {
        if let Some(reply) = self.waiting_replies.remove(&id) {
            let _ = reply.send(granted);
        }
    }

    fn publish(&self) {
        let load = self.state.load();
        self.metrics.running.set(load.running.into());
        self.metrics.waiting_reservations.set(load.waiting.into());
        let status = Status { load, draining: self.state.is_draining(), drained: self.is_drained };
        self.status.send_if_modified(|old| std::mem::replace(old, status) != status);
    }
}
