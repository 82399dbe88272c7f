//! The control thread: owns the reducer's state, gives events to the reducer and carries out its effects.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use evidence::record::AnswerDigest;
use metrics::Gateway;
use model::id::PartId;
use rustix::time::{ClockId, clock_gettime};
use scheduler::direct::{
    self, Dispatch, Effect, Event, Now, Outcome, Refusal, Registration, Request, State, Ticket,
    parts::PartReport,
    peers::{self, Row},
    plan::Configuration,
    relay::{Era, Topic},
    rollout::Report,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::{mpsc, oneshot, watch},
    time::{sleep_until, timeout},
};
use tracing::{error, info};
use wire::admission::OriginRecord;

use crate::{
    Feed, Records, Settings,
    agents::{self, Reservations},
    dispatch,
    links::{self, CallResult, Links},
    origins::{self, Origins},
    overload::Work,
    peer::{self, ExchangeAnswer, ExchangeRequest},
    promises::{self, Promises},
    proof::{self, Recorder},
    record,
};

/// Longest time for which the control thread waits for a message while no timer is set.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Command of the control thread to the task of a request.
#[derive(Clone, Debug)]
pub enum Command {
    /// Dispatch the request to a target.
    Dispatch(Dispatch),
    /// Cancel the dispatch in flight, since another target has a slot for the request.
    CancelDispatch,
    /// End the request with an error answer of this process.
    Refuse(Refusal),
    /// End the request with the error answer of its last target.
    PassFailure,
}

/// Message to the control thread.
enum Message {
    /// An event for the reducer.
    Event(Event),
    /// A request was received completely; commands for it go to the sender. This ends the work on it.
    RequestReceived(Request, Work, mpsc::UnboundedSender<Command>),
    /// The digest of a complete answer; sent before the event that ends the dispatch.
    AnswerDigest(Ticket, AnswerDigest),
    /// Record that the process ends, then reply.
    Close(oneshot::Sender<()>),
    /// Process the rows and the offer of another entry process and reply with those of this process.
    Exchange { request: ExchangeRequest, reply: oneshot::Sender<ExchangeAnswer> },
    /// Reply with the packed data of a topic, or `None` where this process doesn't offer it.
    Pack { topic: Topic, reply: oneshot::Sender<Option<Bytes>> },
    /// A call to another entry process ended.
    CallEnded(CallResult),
    /// A reservation was granted or denied.
    ReservationEnded(Event),
}

/// Handle of the control thread; all clones belong to the same thread.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    next_ticket: Arc<AtomicU64>,
    fails_health_checks: Arc<AtomicBool>,
    status: watch::Receiver<Status>,
    /// Address at which this process listens for other entry processes.
    pub peer_address: SocketAddr,
}

/// Status that the control thread publishes to the other tasks of the process.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Whether the process accepts requests: its configuration is current and it isn't draining.
    pub is_ready: bool,
    /// Whether this process lacks a current row of any other entry process that may take requests.
    pub has_unreachable_peer: bool,
    /// Addresses of the other entry processes that may be alive, sorted.
    pub peers: Vec<SocketAddr>,
    /// The configuration in force; `None` before the first one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Reports on rollouts that have to be written to the platform's service.
    pub rollout_reports: Vec<Report>,
    /// Evidence on quarantined parts of prompts that has to be written to the platform's service.
    pub unstored_parts: Vec<PartReport>,
    /// Era of the platform's service in which that evidence isn't stored.
    pub parts_era: Era,
    /// Index of this process among the entry processes, all of which may write the same reports. A process
    /// delays its reports in proportion to its index, so that normally only one writes them.
    pub report_delay_turns: u32,
}

/// State of the control thread.
struct ControlThread {
    state: State,
    /// Senders of commands to the requests that haven't ended.
    commands: HashMap<Ticket, mpsc::UnboundedSender<Command>>,
    /// IDs that the callers sent with those requests.
    request_ids: HashMap<Ticket, String>,
    links: Links,
    reservations: Reservations,
    origins: Origins,
    promises: Promises,
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Sender<Status>,
    /// Address at which this process listens for other entry processes.
    own_address: SocketAddr,
    /// Number of rounds of exchanges that were started.
    exchange_rounds: u64,
    metrics: Arc<Gateway>,
    recorder: Recorder,
}

/// Starts the control thread, which also serves the other entry processes that connect to `peers`.
pub fn spawn(
    settings: &Settings,
    peers: TcpListener,
    feed: Feed,
    records: Records,
) -> io::Result<Handle> {
    let Records { metrics, evidence } = records;
    let (messages, inbox) = mpsc::unbounded_channel();
    let (status, status_receiver) = watch::channel(Status::default());
    let handle = Handle {
        messages: messages.clone(),
        next_ticket: Arc::default(),
        fails_health_checks: Arc::default(),
        status: status_receiver,
        peer_address: settings.direct.address,
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let sender = messages.clone();
    // Sending can't fail: the control thread ends only with the process.
    let on_call_ended: links::OnCallEnded =
        Arc::new(move |result| drop(sender.send(Message::CallEnded(result))));
    let sender = messages.clone();
    let on_reservation_ended: agents::OnReservationEnded =
        Arc::new(move |event| drop(sender.send(Message::ReservationEnded(event))));
    let sender = messages.clone();
    let on_origin_call_ended: origins::OnEnded =
        Arc::new(move |event| drop(sender.send(Message::Event(event))));
    let on_promise_call_ended: promises::OnEnded = Arc::clone(&on_origin_call_ended);
    let incarnation = settings.direct.incarnation;
    let pool = agents::open_pool();
    let thread = ControlThread {
        state: direct::open(Instant::now(), settings.direct.clone()),
        commands: HashMap::new(),
        request_ids: HashMap::new(),
        links: links::open(on_call_ended, Arc::clone(&metrics)),
        origins: origins::open(Arc::clone(&pool), on_origin_call_ended, Arc::clone(&metrics)),
        promises: promises::open(Arc::clone(&pool), on_promise_call_ended, Arc::clone(&metrics)),
        reservations: agents::open(incarnation, pool, on_reservation_ended, Arc::clone(&metrics)),
        messages,
        status,
        own_address: settings.direct.address,
        exchange_rounds: 0,
        metrics,
        recorder: proof::open(evidence),
    };
    // A listener is registered with one runtime, so it is converted here and registered again on the control
    // thread's runtime.
    let peers = peers.into_std()?;
    let (settings, thread_handle) = (settings.clone(), handle.clone());
    thread::Builder::new().name("control".into()).spawn(move || {
        runtime.block_on(async move {
            match TcpListener::from_std(peers) {
                Ok(peers) => peer::spawn(peers, thread_handle.clone()),
                Err(error) => error!(%error, "can't serve other entry processes"),
            }
            thread_handle.add_peers(&settings.seeds);
            let feed = tokio::spawn(feed(thread_handle));
            // Without its feed the process would decide by what it has read so far.
            let feed_panic = async {
                if feed.await.is_ok() {
                    std::future::pending().await
                }
            };
            tokio::select! {
                () = thread.run(inbox) => {}
                () = feed_panic => {}
            }
        });
    })?;
    Ok(handle)
}

fn part_ids(reports: &[PartReport]) -> impl Iterator<Item = PartId> {
    reports.iter().map(|report| report.part)
}

/// Returns the current time by the monotonic clock and by the boot clock.
pub fn now() -> Now {
    let boot = clock_gettime(ClockId::Boottime);
    let boot = Duration::new(
        boot.tv_sec.try_into().unwrap_or_default(),
        boot.tv_nsec.try_into().unwrap_or_default(),
    );
    Now { steady: Instant::now(), boot }
}

impl Handle {
    /// Sends an event to the reducer.
    pub fn send(&self, event: Event) {
        // Sending can't fail: the control thread ends only with the process.
        let _ = self.messages.send(Message::Event(event));
    }

    /// Informs the reducer of the addresses of other entry processes, which may have stopped.
    pub fn add_peers(&self, seeds: &[SocketAddr]) {
        let seeds = seeds.iter().map(|&address| Registration { address, stamp: 0 });
        self.send(Event::PeersDiscovered(seeds.collect()));
    }

    /// Returns an unused number for a new request.
    pub fn next_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Passes a new request to the reducer, which ends the work on it; returns the receiver of the commands for
    /// it.
    pub fn begin_request(&self, request: Request, work: Work) -> mpsc::UnboundedReceiver<Command> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let _ = self.messages.send(Message::RequestReceived(request, work, commands));
        receiver
    }

    /// Processes the rows and the offer that another entry process sent; returns the rows that it requested
    /// and the offer of this process. An offer states which versions of the relayed data a process has.
    pub async fn exchange(&self, request: ExchangeRequest) -> ExchangeAnswer {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(Message::Exchange { request, reply });
        answer.await.unwrap_or_default()
    }

    /// Packs the data of a topic for another entry process; returns `None` where this process doesn't offer
    /// it.
    pub async fn pack(&self, topic: Topic) -> Option<Bytes> {
        let (reply, packed) = oneshot::channel();
        let _ = self.messages.send(Message::Pack { topic, reply });
        packed.await.unwrap_or_default()
    }

    /// Returns a receiver of the control thread's status and its changes.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Records the digest of the complete answer to a request, before the event that ends the dispatch.
    pub fn set_answer_digest(&self, ticket: Ticket, digest: AnswerDigest) {
        let _ = self.messages.send(Message::AnswerDigest(ticket, digest));
    }

    /// Writes the last record of evidence, and returns once it is in the buffer.
    pub async fn record_close(&self) {
        let (reply, closed) = oneshot::channel();
        let _ = self.messages.send(Message::Close(reply));
        // Receiving can't fail: the control thread ends only with the process.
        let _ = closed.await;
    }

    /// Makes all health checks fail from now on.
    pub fn fail_health_checks(&self) {
        self.fails_health_checks.store(true, Ordering::Relaxed);
    }

    /// Returns whether the load balancer should send requests to this process.
    pub fn is_ready(&self) -> bool {
        let has_ended = self.status.has_changed().is_err();
        let fails_health_checks = self.fails_health_checks.load(Ordering::Relaxed);
        self.status.borrow().is_ready && !has_ended && !fails_health_checks
    }

    /// Waits until the control thread has ended. It ends before the process only if it or its feed panics, and then
    /// no request is served any more.
    pub async fn wait_for_end(&self) {
        let mut status = self.status();
        while status.changed().await.is_ok() {}
    }

    /// Returns the configuration in force; `None` before the first one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.status.borrow().configuration.clone()
    }
}

impl ControlThread {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut next_exchange = Instant::now();
        loop {
            let wake = direct::next_wake(&self.state, Instant::now());
            let wake = wake.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep_until(next_exchange.into()) => {
                    next_exchange = Instant::now() + peers::exchange_period(self.links.len());
                    self.exchange_with_peers();
                }
                () = sleep_until(wake.into()) => self.reduce(Event::Tick),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(event) => {
                if matches!(event, Event::Drain { .. }) {
                    self.recorder.record_draining();
                }
                if let Event::CallerDisconnected { ticket, events } = event {
                    self.log_caller_disconnected(ticket, events);
                    self.recorder.record_caller_disconnected(ticket);
                    self.forget(ticket);
                }
                self.reduce(event);
            }
            Message::RequestReceived(request, work, commands) => {
                self.commands.insert(request.ticket, commands);
                self.request_ids.insert(request.ticket, request.id.clone());
                self.recorder.begin_request(request.ticket, &request.id);
                self.reduce(Event::RequestReceived(request));
                work.finish(Instant::now());
            }
            Message::AnswerDigest(ticket, digest) => {
                self.recorder.set_answer_digest(ticket, digest);
            }
            Message::Close(reply) => {
                self.recorder.record_close();
                let _ = reply.send(());
            }
            Message::Exchange { request: ExchangeRequest { rows, all, offer }, reply } => {
                let peer = rows.first().and_then(|row| row.address);
                self.reduce(Event::RowsReceived(rows));
                if let Some(peer) = peer {
                    self.reduce(Event::PeerOffered { peer, offer });
                }
                let offer = self.state.offer(now());
                let _ = reply.send(ExchangeAnswer { rows: self.rows(all), offer });
            }
            Message::Pack { topic, reply } => {
                let (state, now) = (&self.state, now());
                // If this process doesn't offer the topic, `version` is the default position, which no
                // packed data has.
                let version = state.offer(now).known.version(topic);
                let packed = self.links.pack(topic, version, || state.topic_data(now, topic));
                let _ = reply.send(packed);
            }
            Message::ReservationEnded(event) => {
                if let Event::Denied { ticket, number, .. } = event {
                    self.reservations.remove_denied(ticket, number);
                }
                self.reduce(event);
            }
            Message::CallEnded(CallResult::Exchange(peer, result)) => {
                if let Some(ExchangeAnswer { rows, offer }) = self.links.end_exchange(peer, result)
                {
                    self.reduce(Event::RowsReceived(rows));
                    self.reduce(Event::PeerOffered { peer, offer });
                }
            }
            Message::CallEnded(CallResult::Fetch(peer, topic, result)) => {
                record::log_fetch(peer, topic, &result);
                let data = result.ok().map(|fetched| fetched.news);
                self.reduce(Event::Fetched { peer, topic, data });
            }
        }
    }

    /// Gives an event to the reducer and carries out the effects that it returns.
    fn reduce(&mut self, event: Event) {
        let now = now();
        self.observe(now.steady, &event);
        if let Event::DispatchEnded { ticket, outcome, .. } = event {
            self.recorder.end_dispatch(ticket, outcome);
        }
        let completed = match &event {
            Event::DispatchEnded { ticket, outcome: Outcome::Completed, .. } => Some(*ticket),
            _ => None,
        };
        for effect in direct::reduce(&mut self.state, now, event) {
            record::log_effect(&self.state, now, &effect);
            record::count_effect(&self.state, now.steady, &self.metrics, &effect);
            self.carry_out(effect);
        }
        if let Some(ticket) = completed {
            self.forget(ticket);
        }
        self.publish_status();
    }

    /// Logs that a caller disconnected before its answer was complete.
    fn log_caller_disconnected(&self, ticket: Ticket, events: u32) {
        let Some(id) = self.request_ids.get(&ticket) else {
            return;
        };
        let view = self.state.dispatch_view(ticket, Instant::now());
        let after_ms = view.map(|view| view.waited.as_millis() as u64);
        info!(
            request = id,
            dispatched = view.is_some(),
            events,
            after_ms,
            "the caller disconnected"
        );
    }

    /// Logs and counts an event of a dispatch in flight; must run before the reducer processes the event.
    fn observe(&self, now: Instant, event: &Event) {
        match event {
            Event::AnswerBegan { ticket } => {
                if let Some(view) = self.state.dispatch_view(*ticket, now) {
                    self.metrics.record_first_event(view.tier, view.running_for);
                }
            }
            Event::TargetUnresponsive { ticket, begun } => {
                if let Some(view) =
                    self.state.dispatch_view(*ticket, now).filter(|view| !view.is_seeking)
                {
                    record::log_unresponsive(&view, *begun);
                }
            }
            Event::TargetResumed { ticket } => {
                if let Some(view) =
                    self.state.dispatch_view(*ticket, now).filter(|view| view.is_seeking)
                {
                    record::log_resumed(&view);
                }
            }
            Event::StreamUnordered { ticket } => {
                if let Some(view) = self.state.dispatch_view(*ticket, now) {
                    record::log_unordered(&view);
                }
            }
            Event::DispatchEnded { ticket, outcome, begun, events } => {
                if let Some(view) = self.state.dispatch_view(*ticket, now) {
                    record::log_dispatch_ended(&view, *outcome, *begun, *events);
                    self.metrics.count_dispatch(record::outcome_name(*outcome));
                    if *outcome == Outcome::Completed {
                        self.metrics.record_answer(view.account, view.waited);
                        self.metrics.count_by_length(view.tier, view.expected_tokens, true);
                        record::count_shared_work(&self.metrics, view.shared_work, true);
                    }
                }
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => {
                self.recorder.begin_dispatch(&dispatch);
                if let Some(commands) = self.commands.get(&dispatch.ticket) {
                    let _ = commands.send(Command::Dispatch(dispatch));
                }
            }
            Effect::CancelDispatch { ticket, .. } => {
                if let Some(commands) = self.commands.get(&ticket) {
                    let _ = commands.send(Command::CancelDispatch);
                }
            }
            Effect::Refuse { ticket, refusal, context } => {
                let id = self.request_ids.get(&ticket).map(String::as_str).unwrap_or_default();
                record::log_refusal(id, &refusal, &context, self.state.open_requests());
                self.recorder.record_refusal(ticket, &refusal);
                self.end(ticket, Command::Refuse(refusal));
            }
            Effect::PassFailure { ticket } => {
                self.recorder.record_passed_failure(ticket);
                self.end(ticket, Command::PassFailure);
            }
            Effect::Probe { target, address } => {
                let messages = self.messages.clone();
                tokio::spawn(async move {
                    let connected =
                        timeout(dispatch::CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                    let reached = matches!(connected, Ok(Ok(_)));
                    let _ = messages.send(Message::Event(Event::Probed { target, reached }));
                });
            }
            Effect::Fetch { peer, topic } => self.links.fetch(peer, topic),
            Effect::Reserve(reservation) => self.reservations.reserve(reservation),
            Effect::RecordOrigin { ticket, agent, key, version, lifetime } => {
                let lifetime_ms = u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX);
                self.origins.record(ticket, agent, OriginRecord { key, version, lifetime_ms });
            }
            Effect::FindOrigin { ticket, key, agents } => self.origins.find(ticket, key, agents),
            Effect::RedeemPromise { ticket, key, agents } => {
                self.promises.redeem(ticket, key, agents);
            }
            Effect::AskPromise { ticket, agents, ask } => self.promises.ask(ticket, agents, ask),
            Effect::WithdrawReservation { ticket, number } => {
                self.reservations.withdraw(ticket, number)
            }
            Effect::Log(_) => {}
        }
    }

    /// Sends the last command to the task of a request and removes the request.
    fn end(&mut self, ticket: Ticket, command: Command) {
        if let Some(commands) = self.commands.remove(&ticket) {
            let _ = commands.send(command);
        }
        self.request_ids.remove(&ticket);
    }

    /// Removes a request that needs no more commands.
    fn forget(&mut self, ticket: Ticket) {
        self.commands.remove(&ticket);
        self.request_ids.remove(&ticket);
    }

    /// Updates the gauges, and publishes the status where it changed.
    fn publish_status(&mut self) {
        let is_ready = self.state.is_ready();
        self.metrics.open_requests.set(self.state.open_requests() as i64);
        let list_age = self.state.list_age(Instant::now());
        self.metrics.target_list_age.set(list_age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        let has_unreachable_peer = self.state.is_missing_peers(Instant::now());
        let peers = || self.state.peers();
        let configuration = self.state.configuration_in_force();
        let (rollout_reports, report_delay_turns) =
            (self.state.reports(), self.state.report_delay_turns());
        let (parts_era, unstored_parts) = self.state.unstored_parts(Instant::now());
        self.status.send_if_modified(|status| {
            let version = |known: Option<&Arc<Configuration>>| known.map(|known| known.version);
            let changed = (status.is_ready, status.has_unreachable_peer)
                != (is_ready, has_unreachable_peer)
                || version(status.configuration.as_ref()) != version(configuration)
                || (status.report_delay_turns, &status.rollout_reports)
                    != (report_delay_turns, &rollout_reports)
                || parts_era != status.parts_era
                || !part_ids(&unstored_parts).eq(part_ids(&status.unstored_parts))
                || !peers().eq(status.peers.iter().copied());
            if changed {
                let (peers, configuration) = (peers().collect(), configuration.cloned());
                *status = Status {
                    is_ready,
                    has_unreachable_peer,
                    peers,
                    configuration,
                    rollout_reports,
                    unstored_parts,
                    parts_era,
                    report_delay_turns,
                };
            }
            changed
        });
    }

    /// Returns a new row of this process; if `all` is set, the rows of other entry processes that any process
    /// lacks follow.
    fn rows(&mut self, all: bool) -> Vec<Row> {
        let mut rows = vec![self.state.next_row(Instant::now())];
        if all {
            rows.extend(self.state.peer_rows(Instant::now()));
        }
        rows
    }

    /// Measures the size of this process's row, which each exchange sends to another process.
    fn measure_row(&mut self, now: Instant) {
        match postcard::to_stdvec(&self.state.next_row(now)) {
            Ok(row) => drop(self.metrics.row_bytes.set(row.len() as i64)),
            Err(error) => error!(%error, "can't serialize this process's row"),
        }
    }

    /// Starts an exchange with each process whose address is higher than this process's, and with each
    /// process whose row isn't current. The exchanges with all other processes are started by those.
    fn exchange_with_peers(&mut self) {
        self.exchange_rounds += 1;
        let now = now();
        let peers: Vec<SocketAddr> = self.state.peers().collect();
        self.links.retain(&peers);
        self.measure_row(now.steady);
        let own_index = peers.partition_point(|&address| address < self.own_address);
        for (index, address) in peers.into_iter().enumerate() {
            if address < self.own_address && self.state.is_row_current(now.steady, address) {
                continue;
            }
            let all = peers::sends_all_rows(self.exchange_rounds, own_index, index);
            let request =
                ExchangeRequest { rows: self.rows(all), all, offer: self.state.offer(now) };
            self.links.exchange(address, request);
        }
        self.reduce(Event::Tick);
    }
}
