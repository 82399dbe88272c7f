//! The control thread: owns the reducer's state, takes events in and carries effects out.

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
use rustix::time::{ClockId, clock_gettime};
use scheduler::direct::{
    self, Dispatch, Effect, Event, Now, Outcome, Refusal, Registration, Request, State, Ticket,
    peers::{self, Row},
    plan::Configuration,
    relay::Topic,
    rollout::Report,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::{mpsc, oneshot, watch},
    time::{sleep_until, timeout},
};
use tracing::{error, info};

use crate::{
    Feed, Records, Settings,
    agents::{self, Agents},
    dispatch,
    links::{self, Done, Links},
    peer::{self, Answer, Told},
    proof::{self, Recorder},
    record,
};

/// Longest sleep of the control thread, in case no timer is due.
const IDLE: Duration = Duration::from_secs(60);

/// What a request is told to do next.
#[derive(Clone, Debug)]
pub enum Order {
    /// Dispatch it.
    Start(Dispatch),
    /// Close its dispatch, so that another target gets it.
    Leave,
    /// End it with an answer of our own.
    Refuse(Refusal),
    /// End it with the failure that its target answered with.
    Pass,
}

enum Message {
    Event(Event),
    Arrived(Request, mpsc::UnboundedSender<Order>),
    Answered(Ticket, AnswerDigest),
    Close(oneshot::Sender<()>),
    Exchange { told: Told, reply: oneshot::Sender<Answer> },
    Give { topic: Topic, reply: oneshot::Sender<Option<Bytes>> },
    Done(Done),
    Reserved(Event),
}

/// Speaks to the control thread; clones speak to the same one.
#[derive(Clone)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    tickets: Arc<AtomicU64>,
    lame: Arc<AtomicBool>,
    status: watch::Receiver<Status>,
    /// Where this process listens for the others.
    pub address: SocketAddr,
}

/// What the control thread says of itself.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Whether the balancer should send requests here.
    pub ready: bool,
    /// Whether another entry process isn't heard that may take requests.
    pub lonely: bool,
    /// Other entry processes that may be alive.
    pub peers: Vec<SocketAddr>,
    /// The configuration in force.
    pub plan: Option<Arc<Configuration>>,
    /// What the platform's service is to be told of roll-outs.
    pub reports: Vec<Report>,
    /// Number of this process among those that may tell it.
    pub turn: u32,
}

struct Thread {
    state: State,
    orders: HashMap<Ticket, mpsc::UnboundedSender<Order>>,
    ids: HashMap<Ticket, String>,
    links: Links,
    agents: Agents,
    messages: mpsc::UnboundedSender<Message>,
    status: watch::Sender<Status>,
    own: SocketAddr,
    exchanges: u64,
    metrics: Arc<Gateway>,
    recorder: Recorder,
}

/// Starts the control thread.
pub fn spawn(
    settings: &Settings,
    peers: TcpListener,
    feed: Feed,
    records: Records,
) -> io::Result<Handle> {
    let Records { metrics, evidence } = records;
    let (messages, inbox) = mpsc::unbounded_channel();
    let (status, reader) = watch::channel(Status::default());
    let handle = Handle {
        messages: messages.clone(),
        tickets: Arc::default(),
        lame: Arc::default(),
        status: reader,
        address: settings.direct.address,
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let reports = messages.clone();
    // The thread ends only with the process.
    let report: links::Report = Arc::new(move |done| drop(reports.send(Message::Done(done))));
    let reports = messages.clone();
    let reserved: agents::Report =
        Arc::new(move |event| drop(reports.send(Message::Reserved(event))));
    let incarnation = settings.direct.incarnation;
    let thread = Thread {
        state: direct::open(Instant::now(), settings.direct.clone()),
        orders: HashMap::new(),
        ids: HashMap::new(),
        links: links::open(report, Arc::clone(&metrics)),
        agents: agents::open(incarnation, reserved, Arc::clone(&metrics)),
        messages,
        status,
        own: settings.direct.address,
        exchanges: 0,
        metrics,
        recorder: proof::open(evidence),
    };
    // A listener belongs to the runtime that polls it.
    let peers = peers.into_std()?;
    let (settings, given) = (settings.clone(), handle.clone());
    thread::Builder::new().name("control".into()).spawn(move || {
        runtime.block_on(async move {
            match TcpListener::from_std(peers) {
                Ok(peers) => peer::spawn(peers, given.clone()),
                Err(error) => error!(%error, "can't serve other entry processes"),
            }
            given.introduce(&settings.seeds);
            tokio::spawn(feed(given));
            thread.run(inbox).await;
        });
    })?;
    Ok(handle)
}

/// The time now.
pub fn now() -> Now {
    let boot = clock_gettime(ClockId::Boottime);
    let boot = Duration::new(
        boot.tv_sec.try_into().unwrap_or_default(),
        boot.tv_nsec.try_into().unwrap_or_default(),
    );
    Now { steady: Instant::now(), boot }
}

impl Handle {
    /// Gives an event to the reducer.
    pub fn send(&self, event: Event) {
        // The thread ends only with the process.
        let _ = self.messages.send(Message::Event(event));
    }

    /// Hears of entry processes that may be alive.
    pub fn introduce(&self, seeds: &[SocketAddr]) {
        let seeds = seeds.iter().map(|&address| Registration { address, stamp: 0 });
        self.send(Event::PeersDiscovered(seeds.collect()));
    }

    /// A number for a new request.
    pub fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes a request in; what it is told comes through the receiver.
    pub fn arrive(&self, request: Request) -> mpsc::UnboundedReceiver<Order> {
        let (orders, receiver) = mpsc::unbounded_channel();
        let _ = self.messages.send(Message::Arrived(request, orders));
        receiver
    }

    /// Takes in what another process tells and gives what it asks for.
    pub async fn exchange(&self, told: Told) -> Answer {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(Message::Exchange { told, reply });
        answer.await.unwrap_or_default()
    }

    /// Packs a topic for another process that lacks it; nothing where it isn't offered.
    pub async fn give(&self, topic: Topic) -> Option<Bytes> {
        let (reply, given) = oneshot::channel();
        let _ = self.messages.send(Message::Give { topic, reply });
        given.await.unwrap_or_default()
    }

    /// What the control thread says of itself, as it changes.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// What goes to a request's caller has this digest.
    pub fn answered(&self, ticket: Ticket, digest: AnswerDigest) {
        let _ = self.messages.send(Message::Answered(ticket, digest));
    }

    /// Writes the last record of evidence.
    pub async fn close(&self) {
        let (done, closed) = oneshot::channel();
        let _ = self.messages.send(Message::Close(done));
        // The thread ends only with the process.
        let _ = closed.await;
    }

    /// Lets the health check fail from now on.
    pub fn lame(&self) {
        self.lame.store(true, Ordering::Relaxed);
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.status.borrow().ready && !self.lame.load(Ordering::Relaxed)
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Arc<Configuration>> {
        self.status.borrow().plan.clone()
    }
}

impl Thread {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut exchange = Instant::now();
        loop {
            let wake = direct::next_wake(&self.state, Instant::now());
            let wake = wake.unwrap_or_else(|| Instant::now() + IDLE);
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(exchange.into()) => {
                    exchange = Instant::now() + peers::exchange_period(self.links.len());
                    self.exchange();
                }
                () = sleep_until(wake.into()) => self.reduce(Event::Tick),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Event(event) => {
                if matches!(event, Event::Drain { .. }) {
                    self.recorder.draining();
                }
                if let Event::CallerDisconnected { ticket, events } = event {
                    self.left(ticket, events);
                    self.recorder.left(ticket);
                    self.forget(ticket);
                }
                self.reduce(event);
            }
            Message::Arrived(request, orders) => {
                self.orders.insert(request.ticket, orders);
                self.ids.insert(request.ticket, request.id.clone());
                self.recorder.arrived(request.ticket, &request.id);
                self.reduce(Event::RequestReceived(request));
            }
            Message::Answered(ticket, digest) => self.recorder.answered(ticket, digest),
            Message::Close(done) => {
                self.recorder.closed();
                let _ = done.send(());
            }
            Message::Exchange { told: Told { rows, all, offer }, reply } => {
                let peer = rows.first().and_then(|row| row.address);
                self.reduce(Event::RowsReceived(rows));
                if let Some(peer) = peer {
                    self.reduce(Event::PeerOffered { peer, offer });
                }
                let offer = self.state.offer(now());
                let _ = reply.send(Answer { rows: self.rows(all), offer });
            }
            Message::Give { topic, reply } => {
                let (state, now) = (&self.state, now());
                // The default where it isn't offered, which is the version of nothing that was packed.
                let version = state.offer(now).known.version(topic);
                let given = self.links.give(topic, version, || state.topic_data(now, topic));
                let _ = reply.send(given);
            }
            Message::Reserved(event) => {
                if let Event::Denied { ticket, number, .. } = event {
                    self.agents.denied(ticket, number);
                }
                self.reduce(event);
            }
            Message::Done(Done::Exchanged(peer, answer)) => {
                if let Some(Answer { rows, offer }) = self.links.exchanged(peer, answer) {
                    self.reduce(Event::RowsReceived(rows));
                    self.reduce(Event::PeerOffered { peer, offer });
                }
            }
            Message::Done(Done::Fetched(peer, topic, fetched)) => {
                record::fetched(peer, topic, &fetched);
                let data = fetched.ok().map(|fetched| fetched.news);
                self.reduce(Event::Fetched { peer, topic, data });
            }
        }
    }

    fn reduce(&mut self, event: Event) {
        let now = now();
        self.observe(now.steady, &event);
        if let Event::DispatchEnded { ticket, outcome, .. } = event {
            self.recorder.ran(ticket, outcome);
        }
        let ended = match &event {
            Event::DispatchEnded { ticket, outcome: Outcome::Completed, .. } => Some(*ticket),
            _ => None,
        };
        for effect in direct::reduce(&mut self.state, now, event) {
            record::decided(&self.state, now, &effect);
            record::count(&self.state, now.steady, &self.metrics, &effect);
            self.carry_out(effect);
        }
        if let Some(ticket) = ended {
            self.forget(ticket);
        }
        self.tell();
    }

    /// Logs that a caller left before its answer was whole.
    fn left(&self, ticket: Ticket, events: u32) {
        let Some(id) = self.ids.get(&ticket) else {
            return;
        };
        let view = self.state.dispatch_view(ticket, Instant::now());
        let after_ms = view.map(|view| view.waited.as_millis() as u64);
        info!(request = id, dispatched = view.is_some(), events, after_ms, "its caller left");
    }

    /// Logs and counts what happened to a dispatch.
    fn observe(&self, now: Instant, event: &Event) {
        match event {
            Event::AnswerBegan { ticket } => {
                if let Some(view) = self.state.dispatch_view(*ticket, now) {
                    self.metrics.first(view.tier, view.running_for);
                }
            }
            Event::TargetUnresponsive { ticket, begun } => {
                if let Some(view) =
                    self.state.dispatch_view(*ticket, now).filter(|view| !view.is_seeking)
                {
                    record::quiet(&view, *begun);
                }
            }
            Event::TargetResumed { ticket } => {
                if let Some(view) =
                    self.state.dispatch_view(*ticket, now).filter(|view| view.is_seeking)
                {
                    record::spoke(&view);
                }
            }
            Event::DispatchEnded { ticket, outcome, begun, events } => {
                if let Some(view) = self.state.dispatch_view(*ticket, now) {
                    record::ended(&view, *outcome, *begun, *events);
                    self.metrics.ended(record::name(*outcome));
                    if *outcome == Outcome::Completed {
                        self.metrics.whole(view.account, view.waited);
                        self.metrics.sized(view.tier, view.expected_tokens, true);
                    }
                }
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => {
                self.recorder.started(&dispatch);
                if let Some(orders) = self.orders.get(&dispatch.ticket) {
                    let _ = orders.send(Order::Start(dispatch));
                }
            }
            Effect::CancelDispatch { ticket, .. } => {
                if let Some(orders) = self.orders.get(&ticket) {
                    let _ = orders.send(Order::Leave);
                }
            }
            Effect::Refuse { ticket, refusal, context } => {
                let id = self.ids.get(&ticket).map(String::as_str).unwrap_or_default();
                record::refused(id, &refusal, &context, self.state.open_requests());
                self.recorder.refused(ticket, &refusal);
                self.end(ticket, Order::Refuse(refusal));
            }
            Effect::PassFailure { ticket } => {
                self.recorder.passed(ticket);
                self.end(ticket, Order::Pass);
            }
            Effect::Probe { target, address } => {
                let messages = self.messages.clone();
                tokio::spawn(async move {
                    let connected = timeout(dispatch::CONNECT, TcpStream::connect(address)).await;
                    let reached = matches!(connected, Ok(Ok(_)));
                    let _ = messages.send(Message::Event(Event::Probed { target, reached }));
                });
            }
            Effect::Fetch { peer, topic } => self.links.fetch(peer, topic),
            Effect::Reserve(reservation) => self.agents.reserve(reservation),
            Effect::WithdrawReservation { ticket, number } => self.agents.withdraw(ticket, number),
            Effect::Log(_) => {}
        }
    }

    fn end(&mut self, ticket: Ticket, order: Order) {
        if let Some(orders) = self.orders.remove(&ticket) {
            let _ = orders.send(order);
        }
        self.ids.remove(&ticket);
    }

    fn forget(&mut self, ticket: Ticket) {
        self.orders.remove(&ticket);
        self.ids.remove(&ticket);
    }

    fn tell(&mut self) {
        let ready = self.state.is_ready();
        self.metrics.open.set(self.state.open_requests() as i64);
        let list_age = self.state.list_age(Instant::now());
        self.metrics.list_age.set(list_age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
        let lonely = self.state.is_missing_peers(Instant::now());
        let peers = || self.state.peers();
        let plan = self.state.configuration_in_force();
        let (reports, turn) = (self.state.reports(), self.state.report_delay_turns());
        self.status.send_if_modified(|status| {
            let version = |plan: Option<&Arc<Configuration>>| plan.map(|plan| plan.version);
            let changed = (status.ready, status.lonely) != (ready, lonely)
                || version(status.plan.as_ref()) != version(plan)
                || (status.turn, &status.reports) != (turn, &reports)
                || !peers().eq(status.peers.iter().copied());
            if changed {
                let (peers, plan) = (peers().collect(), plan.cloned());
                *status = Status { ready, lonely, peers, plan, reports, turn };
            }
            changed
        });
    }

    fn rows(&mut self, all: bool) -> Vec<Row> {
        let mut rows = vec![self.state.next_row(Instant::now())];
        if all {
            rows.extend(self.state.peer_rows(Instant::now()));
        }
        rows
    }

    /// Measures what every other process is told with each exchange.
    fn measure(&mut self, now: Instant) {
        match postcard::to_stdvec(&self.state.next_row(now)) {
            Ok(row) => drop(self.metrics.row_bytes.set(row.len() as i64)),
            Err(error) => error!(%error, "the own row can't be packed"),
        }
    }

    /// Exchanges rows and offers with those whose address is higher, and with all that aren't heard.
    fn exchange(&mut self) {
        self.exchanges += 1;
        let now = now();
        let peers: Vec<SocketAddr> = self.state.peers().collect();
        self.links.retain(&peers);
        self.measure(now.steady);
        let teller = peers.partition_point(|&address| address < self.own);
        for (place, address) in peers.into_iter().enumerate() {
            if address < self.own && self.state.is_row_current(now.steady, address) {
                continue;
            }
            let all = peers::sends_all_rows(self.exchanges, teller, place);
            let told = Told { rows: self.rows(all), all, offer: self.state.offer(now) };
            self.links.exchange(address, told);
        }
        self.reduce(Event::Tick);
    }
}
