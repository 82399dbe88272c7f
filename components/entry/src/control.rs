//! The control thread: owns the reducer's state, takes events in and carries effects out.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, OnceLock},
    thread,
    time::{Duration, Instant, SystemTime},
};

use api::{History, Question};
use evidence::{
    Buffer,
    record::{AnswerDigest, Outcome},
    recorder::entry::{self as recorder, Recorder},
};
use follower::Waker;
use model::{Refusal, id::Offset, id::RequestId, refusal::Reason, reservation::Id};
use scheduler::entry::{self, Effect, Event, Owner, Request, Start, State};
use tokio::{
    runtime,
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time::sleep_until,
};

use tracing::{debug, error};

use crate::{agents::Agents, members};

/// Longest sleep of the control thread, in case no timer is due.
const IDLE: Duration = Duration::from_secs(60);

/// What the control thread decided for one request.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send the body there.
    Start(Start),
    /// Answer with a refusal.
    Refuse {
        /// Whose request it was.
        owner: Owner,
        /// What the caller is told.
        refusal: Refusal,
    },
}

/// What a process says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Whether the balancer should send requests here.
    pub ready: bool,
    /// Configuration offset in force here.
    pub offset: Offset,
    /// Requests that haven't ended.
    pub open: usize,
    /// Whether it was asked to leave and nothing is left to do.
    pub drained: bool,
}

enum Message {
    Arrive { request: Box<Request>, verdicts: mpsc::UnboundedSender<Verdict> },
    Event(Event),
    Outcome { request: RequestId, outcome: Outcome },
    Close(oneshot::Sender<()>),
    Inspect(Question),
}

/// Speaks to the control thread; clones speak to the same one.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<Status>,
    applied: watch::Receiver<Offset>,
    history: Arc<History>,
    wake: Arc<OnceLock<Waker>>,
}

/// One request's place at the control thread; dropping it ends the request.
pub struct Ticket {
    request: RequestId,
    control: Handle,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
}

struct Thread {
    state: State,
    recorder: Recorder,
    /// Where evidence goes; `None` once the chain is closed.
    evidence: Option<Buffer>,
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Sender<Status>,
    applied: watch::Sender<Offset>,
    history: Arc<History>,
    wake: Arc<OnceLock<Waker>>,
    metrics: Arc<metrics::Entry>,
    agents: Arc<Agents>,
    log: source::log::Client,
    traffic: runtime::Handle,
    verdicts: HashMap<RequestId, mpsc::UnboundedSender<Verdict>>,
    reserving: HashMap<Id, AbortHandle>,
    drained: bool,
}

/// Starts the control thread; must be called on the traffic runtime.
pub fn spawn(
    settings: &settings::Entry,
    metrics: Arc<metrics::Entry>,
    agents: Arc<Agents>,
    evidence: Buffer,
) -> io::Result<Handle> {
    let (messages, inbox) = mpsc::unbounded_channel();
    let (status, status_reader) = watch::channel(Status::default());
    let (applied, applied_reader) = watch::channel(0);
    let history = Arc::new(History::default());
    let wake = Arc::new(OnceLock::new());
    let reducer = entry::Settings { waiting: settings.bounds.waiting, zone: settings.zone.clone() };
    let thread = Thread {
        state: entry::open(reducer),
        recorder: Recorder::default(),
        evidence: Some(evidence),
        messages: messages.clone(),
        status,
        applied,
        history: Arc::clone(&history),
        wake: Arc::clone(&wake),
        metrics,
        agents,
        log: source::log::open(&settings.platform.log),
        traffic: runtime::Handle::current(),
        verdicts: HashMap::new(),
        reserving: HashMap::new(),
        drained: false,
    };
    let runtime = runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(Handle { messages, status: status_reader, applied: applied_reader, history, wake })
}

impl Handle {
    /// Brings a request before the reducer.
    pub fn arrive(&self, request: Request) -> Ticket {
        let (sender, verdicts) = mpsc::unbounded_channel();
        let id = request.id;
        self.send(Message::Arrive { request: Box::new(request), verdicts: sender });
        Ticket { request: id, control: self.clone(), verdicts }
    }

    /// Feeds an event to the reducer.
    pub fn event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Runs a question on the configuration in force.
    pub fn inspect(&self, question: Question) {
        self.send(Message::Inspect(question));
    }

    /// The configuration offset in force here.
    pub fn applied(&self) -> watch::Receiver<Offset> {
        self.applied.clone()
    }

    /// Recent changes of the configuration.
    pub fn history(&self) -> Arc<History> {
        Arc::clone(&self.history)
    }

    /// Tells what to wake when a higher offset is heard of.
    pub fn set_waker(&self, wake: Waker) {
        // The feed is started once; a second waker would wake the same.
        let _ = self.wake.set(wake);
    }

    /// What the process says of itself.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Lets the health check fail; requests that still come are taken.
    pub fn leave(&self) {
        self.event(Event::Leave);
    }

    /// Asks the reducer to take no new request.
    pub fn start_drain(&self) {
        self.event(Event::Drain);
    }

    /// Closes the chain of evidence: nothing is recorded after this.
    pub async fn close(&self) {
        let (closed, wait) = oneshot::channel();
        self.send(Message::Close(closed));
        // An error means that the control thread ended, which records nothing more either.
        let _ = wait.await;
    }

    /// Waits until no request is left.
    pub async fn drained(&self) {
        let mut status = self.status.clone();
        // An error means that the control thread ended, and with it all requests.
        let _ = status.wait_for(|status| status.drained).await;
    }

    fn send(&self, message: Message) {
        // The thread ends only with the process; a message after that has no reader to reach.
        let _ = self.messages.send(message);
    }
}

impl Ticket {
    /// Waits for the next verdict; `None` where the control thread ended.
    pub async fn verdict(&mut self) -> Option<Verdict> {
        self.verdicts.recv().await
    }

    /// Tells that the caller got the whole answer.
    pub fn whole(&self, digest: AnswerDigest) {
        self.end(Outcome::Whole { digest });
    }

    /// Tells that the caller was refused after a start, or got a torn answer.
    pub fn torn(&self, refusal: &Refusal) {
        if matches!(refusal.reason, Reason::TargetLost | Reason::TornAnswer) {
            self.control.event(Event::Lost { request: self.request });
        }
        let (reason, ran) = (refusal.reason, refusal.ran);
        self.end(Outcome::Refused { reason, ran, left_waiting: None });
    }

    fn end(&self, outcome: Outcome) {
        self.control.send(Message::Outcome { request: self.request, outcome });
    }

    /// Tells that a start provably had no effect; another verdict follows.
    pub fn not_started(&self, id: Id, unreachable: bool) {
        self.control.event(Event::NotStarted { id, unreachable });
    }

    /// Tells that the request surely ran.
    pub fn ran(&self) {
        self.control.event(Event::Ran { request: self.request });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.control.event(Event::Ended { request: self.request });
    }
}

impl Thread {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wake = entry::next_wake(&self.state).unwrap_or_else(|| Instant::now() + IDLE);
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
        let event = match message {
            Message::Event(event) => event,
            Message::Outcome { request, outcome } => {
                return self.recorder.ended(request, outcome);
            }
            Message::Close(closed) => return self.close(closed),
            Message::Inspect(question) => return question(self.state.config()),
            Message::Arrive { request, verdicts } => {
                self.verdicts.insert(request.id, verdicts);
                Event::Arrived(*request)
            }
        };
        self.note(&event);
        let (now, at) = (Instant::now(), SystemTime::now());
        let step = recorder::reduce(&mut self.recorder, &mut self.state, now, at, event);
        if let Some(evidence) = &self.evidence {
            step.facts.into_iter().for_each(|fact| evidence.push(at, fact));
        }
        for effect in step.effects {
            self.carry_out(effect);
        }
        self.publish();
    }

    fn close(&mut self, closed: oneshot::Sender<()>) {
        if let Some(evidence) = self.evidence.take() {
            evidence.push(SystemTime::now(), self.recorder.close(&self.state));
        }
        let _ = closed.send(());
    }

    /// Forgets what belongs to something that ended.
    fn note(&mut self, event: &Event) {
        match event {
            Event::Ended { request } => {
                self.verdicts.remove(request);
            }
            Event::Granted { id, .. } | Event::Denied { id, .. } | Event::Unreachable { id } => {
                self.reserving.remove(id);
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Reserve { address, ask, .. } => {
                let id = ask.id;
                let agents = Arc::clone(&self.agents);
                let messages = self.messages.clone();
                let task = self.traffic.spawn(async move {
                    let event = agents.reserve(address, ask).await;
                    let _ = messages.send(Message::Event(event));
                });
                self.reserving.insert(id, task.abort_handle());
            }
            Effect::Cancel { id, address } => {
                if let Some(task) = self.reserving.remove(&id) {
                    task.abort();
                }
                let agents = Arc::clone(&self.agents);
                self.traffic.spawn(async move { agents.cancel(address, id).await });
            }
            Effect::Claim { request, address, ask } => {
                let agents = Arc::clone(&self.agents);
                let messages = self.messages.clone();
                self.traffic.spawn(async move {
                    let event = agents.claim(address, request, ask).await;
                    let _ = messages.send(Message::Event(event));
                });
            }
            Effect::Settle { address, settle, tries } => {
                let agents = Arc::clone(&self.agents);
                let messages = self.messages.clone();
                self.traffic.spawn(async move {
                    if let Some(event) = agents.settle_claim(address, settle, tries).await {
                        let _ = messages.send(Message::Event(event));
                    }
                });
            }
            Effect::Lost(leave) => {
                let messages = self.messages.clone();
                self.traffic.spawn(async move {
                    members::wait_in_turn().await;
                    let _ = messages.send(Message::Event(Event::Remove(leave)));
                });
            }
            Effect::Remove(leave) => {
                self.traffic.spawn(members::remove(self.log.clone(), leave));
            }
            Effect::Start(start) => self.tell(start.id.request, Verdict::Start(start)),
            Effect::Refuse { request, owner, refusal } => {
                self.tell(request, Verdict::Refuse { owner, refusal });
            }
            Effect::CatchUp(offset) => {
                debug!(offset, applied = self.state.config().applied(), "behind");
                if let Some(wake) = self.wake.get() {
                    wake.catch_up(offset);
                }
            }
            Effect::Applied(step) => self.history.push(step),
            Effect::Restored(applied) => self.history.reset(applied),
            Effect::NotApplied(error) => error!(%error, "the configuration was not applied"),
            Effect::Drained => self.drained = true,
        }
    }

    fn tell(&self, request: RequestId, verdict: Verdict) {
        if let Some(verdicts) = self.verdicts.get(&request) {
            // The caller may have gone; its ticket's drop tells the reducer.
            let _ = verdicts.send(verdict);
        }
    }

    fn publish(&self) {
        let status = Status {
            ready: self.state.is_ready(),
            offset: self.state.config().applied(),
            open: self.state.len(),
            drained: self.drained,
        };
        self.metrics.open_requests.set(i64::try_from(status.open).unwrap_or(i64::MAX));
        self.metrics.configuration_offset.set(i64::try_from(status.offset).unwrap_or(i64::MAX));
        self.applied.send_if_modified(|old| std::mem::replace(old, status.offset) != status.offset);
        self.status.send_if_modified(|old| std::mem::replace(old, status) != status);
    }
}
