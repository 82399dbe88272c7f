//! The control thread: owns the reducer's state, feeds events to the reducer and carries out the
//! effects that the reducer returns.

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

/// Longest sleep of the control thread when the reducer has no timer pending.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// A decision of the control thread on one request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The request's body is sent to the agent that granted a reservation.
    Start(Start),
    /// The request is answered with a refusal.
    Refuse {
        /// Client account and tier of the request.
        owner: Owner,
        /// The refusal that is sent to the caller.
        refusal: Refusal,
    },
}

/// Status of an entry process, for health checks, metrics and the graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Whether the load balancer should send requests to this process.
    pub ready: bool,
    /// Offset of the last configuration record that this process applied; 0 before the first.
    pub offset: Offset,
    /// Number of requests in progress.
    pub open: usize,
    /// Whether the process was told to drain and has no request in progress.
    pub drained: bool,
}

/// A message to the control thread. `Close` closes the evidence chain and then signals the sender.
enum Message {
    Arrive { request: Box<Request>, decisions: mpsc::UnboundedSender<Decision> },
    Event(Event),
    Outcome { request: RequestId, outcome: Outcome },
    Close(oneshot::Sender<()>),
    Inspect(Question),
}

/// A handle to the control thread; clones refer to the same thread.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<Status>,
    applied: watch::Receiver<Offset>,
    history: Arc<History>,
    waker: Arc<OnceLock<Waker>>,
}

/// One request's handle to the control thread: receives the decisions on the request and reports
/// what became of its starts. Dropping the handle ends the request.
pub struct RequestHandle {
    request: RequestId,
    control: Handle,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

/// State of the control thread.
struct Thread {
    state: State,
    recorder: Recorder,
    /// Buffer that evidence is written to; `None` once the evidence chain is closed.
    evidence: Option<Buffer>,
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Sender<Status>,
    applied: watch::Sender<Offset>,
    history: Arc<History>,
    waker: Arc<OnceLock<Waker>>,
    metrics: Arc<metrics::Entry>,
    agents: Arc<Agents>,
    log: source::log::Client,
    traffic_runtime: runtime::Handle,
    /// Senders of decisions to the handles of open requests.
    decisions: HashMap<RequestId, mpsc::UnboundedSender<Decision>>,
    /// Reserve calls in flight, to abort them when the reservation is cancelled.
    reservation_calls: HashMap<Id, AbortHandle>,
    is_drained: bool,
}

/// Starts the control thread. Must be called on the traffic runtime, which carries the control
/// thread's calls to agents and to the log.
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
    let waker = Arc::new(OnceLock::new());
    let reducer = entry::Settings { waiting: settings.bounds.waiting, zone: settings.zone.clone() };
    let thread = Thread {
        state: entry::open(reducer),
        recorder: Recorder::default(),
        evidence: Some(evidence),
        messages: messages.clone(),
        status,
        applied,
        history: Arc::clone(&history),
        waker: Arc::clone(&waker),
        metrics,
        agents,
        log: source::log::open(&settings.platform.log),
        traffic_runtime: runtime::Handle::current(),
        decisions: HashMap::new(),
        reservation_calls: HashMap::new(),
        is_drained: false,
    };
    let runtime = runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(Handle { messages, status: status_reader, applied: applied_reader, history, waker })
}

impl Handle {
    /// Submits a request to the reducer; the decisions on it arrive at the returned handle.
    pub fn submit(&self, request: Request) -> RequestHandle {
        let (sender, decisions) = mpsc::unbounded_channel();
        let id = request.id;
        self.send(Message::Arrive { request: Box::new(request), decisions: sender });
        RequestHandle { request: id, control: self.clone(), decisions }
    }

    /// Sends an event to the reducer.
    pub fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Runs a query against the configuration in force, on the control thread.
    pub fn inspect(&self, question: Question) {
        self.send(Message::Inspect(question));
    }

    /// Returns a receiver of the offset of the last configuration record that was applied.
    pub fn applied(&self) -> watch::Receiver<Offset> {
        self.applied.clone()
    }

    /// Returns the recent changes of the configuration.
    pub fn history(&self) -> Arc<History> {
        Arc::clone(&self.history)
    }

    /// Sets the waker of the configuration's follower, which is used when another process reports
    /// a higher offset than the one applied. Only the first call has an effect.
    pub fn set_waker(&self, waker: Waker) {
        // The process has one follower, so a second waker would wake the same one.
        let _ = self.waker.set(waker);
    }

    /// Returns the current status of the process.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Makes the health check fail; requests that still arrive are accepted.
    pub fn leave(&self) {
        self.send_event(Event::Leave);
    }

    /// Makes the reducer refuse new requests.
    pub fn start_drain(&self) {
        self.send_event(Event::Drain);
    }

    /// Closes the evidence chain: nothing is recorded after this.
    pub async fn close_evidence(&self) {
        let (closed, closed_receiver) = oneshot::channel();
        self.send(Message::Close(closed));
        // An error means that the control thread ended, which records nothing afterwards either.
        let _ = closed_receiver.await;
    }

    /// Waits until the process has drained, that is until no request is in progress after
    /// `start_drain`.
    pub async fn wait_until_drained(&self) {
        let mut status = self.status.clone();
        // An error means that the control thread ended, which ends all requests.
        let _ = status.wait_for(|status| status.drained).await;
    }

    fn send(&self, message: Message) {
        // Sending fails only after the control thread ended. It ends with the process, so that
        // the message isn't needed then.
        let _ = self.messages.send(message);
    }
}

impl RequestHandle {
    /// Waits for the next decision; `None` if the control thread ended.
    pub async fn next_decision(&mut self) -> Option<Decision> {
        self.decisions.recv().await
    }

    /// Reports that the answer is complete, with the digest of its content.
    pub fn complete(&self, digest: AnswerDigest) {
        self.record_outcome(Outcome::Whole { digest });
    }

    /// Reports that the request failed after a start: the caller gets a refusal or an incomplete
    /// answer.
    pub fn fail(&self, refusal: &Refusal) {
        if matches!(refusal.reason, Reason::TargetLost | Reason::TornAnswer) {
            self.control.send_event(Event::Lost { request: self.request });
        }
        let (reason, ran) = (refusal.reason, refusal.ran);
        self.record_outcome(Outcome::Refused { reason, ran, left_waiting: None });
    }

    fn record_outcome(&self, outcome: Outcome) {
        self.control.send(Message::Outcome { request: self.request, outcome });
    }

    /// Reports that a start provably had no effect; another decision follows. `unreachable` says
    /// whether the agent or its target accepted no connection.
    pub fn mark_not_started(&self, id: Id, unreachable: bool) {
        self.control.send_event(Event::NotStarted { id, unreachable });
    }

    /// Reports that the request certainly ran.
    pub fn mark_ran(&self) {
        self.control.send_event(Event::Ran { request: self.request });
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.control.send_event(Event::Ended { request: self.request });
    }
}

impl Thread {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wake_at =
                entry::next_wake(&self.state).unwrap_or_else(|| Instant::now() + MAX_SLEEP);
            let message = tokio::select! {
                message = inbox.recv() => message,
                () = sleep_until(wake_at.into()) => Some(Message::Event(Event::Tick)),
            };
            match message {
                None => return,
                Some(message) => self.handle_message(message),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let event = match message {
            Message::Event(event) => event,
            Message::Outcome { request, outcome } => {
                return self.recorder.ended(request, outcome);
            }
            Message::Close(closed) => return self.close_evidence(closed),
            Message::Inspect(question) => return question(self.state.config()),
            Message::Arrive { request, decisions } => {
                self.decisions.insert(request.id, decisions);
                Event::Arrived(*request)
            }
        };
        self.forget_ended(&event);
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

    fn close_evidence(&mut self, closed: oneshot::Sender<()>) {
        if let Some(evidence) = self.evidence.take() {
            evidence.push(SystemTime::now(), self.recorder.close(&self.state));
        }
        let _ = closed.send(());
    }

    /// Removes the decision sender of a request that ended and the reserve call that was answered.
    fn forget_ended(&mut self, event: &Event) {
        match event {
            Event::Ended { request } => {
                self.decisions.remove(request);
            }
            Event::Granted { id, .. } | Event::Denied { id, .. } | Event::Unreachable { id } => {
                self.reservation_calls.remove(id);
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
                let task = self.traffic_runtime.spawn(async move {
                    let event = agents.reserve(address, ask).await;
                    let _ = messages.send(Message::Event(event));
                });
                self.reservation_calls.insert(id, task.abort_handle());
            }
            Effect::Cancel { id, address } => {
                if let Some(task) = self.reservation_calls.remove(&id) {
                    task.abort();
                }
                let agents = Arc::clone(&self.agents);
                self.traffic_runtime.spawn(async move { agents.cancel(address, id).await });
            }
            Effect::Claim { request, address, ask } => {
                let agents = Arc::clone(&self.agents);
                let messages = self.messages.clone();
                self.traffic_runtime.spawn(async move {
                    let event = agents.claim(address, request, ask).await;
                    let _ = messages.send(Message::Event(event));
                });
            }
            Effect::Settle { address, settle, tries } => {
                let agents = Arc::clone(&self.agents);
                let messages = self.messages.clone();
                self.traffic_runtime.spawn(async move {
                    if let Some(event) = agents.settle_claim(address, settle, tries).await {
                        let _ = messages.send(Message::Event(event));
                    }
                });
            }
            Effect::Lost(leave) => {
                let messages = self.messages.clone();
                self.traffic_runtime.spawn(async move {
                    members::wait_random_delay().await;
                    let _ = messages.send(Message::Event(Event::Remove(leave)));
                });
            }
            Effect::Remove(leave) => {
                self.traffic_runtime.spawn(members::remove(self.log.clone(), leave));
            }
            Effect::Start(start) => self.send_decision(start.id.request, Decision::Start(start)),
            Effect::Refuse { request, owner, refusal } => {
                self.send_decision(request, Decision::Refuse { owner, refusal });
            }
            Effect::CatchUp(offset) => {
                debug!(
                    offset,
                    applied = self.state.config().applied(),
                    "the configuration is behind; catching up"
                );
                if let Some(waker) = self.waker.get() {
                    waker.catch_up(offset);
                }
            }
            Effect::Applied(step) => self.history.push(step),
            Effect::Restored(applied) => self.history.reset(applied),
            Effect::NotApplied(error) => error!(%error, "the configuration was not applied"),
            Effect::Drained => self.is_drained = true,
        }
    }

    fn send_decision(&self, request: RequestId, decision: Decision) {
        if let Some(decisions) = self.decisions.get(&request) {
            // Sending fails if the caller disconnected. Dropping the request's handle ends the
            // request at the reducer.
            let _ = decisions.send(decision);
        }
    }

    fn publish(&self) {
        let status = Status {
            ready: self.state.is_ready(),
            offset: self.state.config().applied(),
            open: self.state.len(),
            drained: self.is_drained,
        };
        self.metrics.open_requests.set(i64::try_from(status.open).unwrap_or(i64::MAX));
        self.metrics.configuration_offset.set(i64::try_from(status.offset).unwrap_or(i64::MAX));
        self.applied.send_if_modified(|old| std::mem::replace(old, status.offset) != status.offset);
        self.status.send_if_modified(|old| std::mem::replace(old, status) != status);
    }
}
