//! Fixtures for direct dispatch.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod site;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use scheduler::direct::{
    self, Effect, Event, Now, Outcome, Refusal, Request, Reservation, Settings, Start, State,
    Target, Ticket, Tokens,
    allowance::Tolerance,
    budget::Rule,
    plan::{Account, Limit, Part, Plan, Repeat, Route},
    relay::{Era, Listing, Position, Topic},
};

pub const FRESHNESS: Duration = Duration::from_secs(4);
pub const GONE: Duration = Duration::from_secs(6);
pub const WINDOW: Duration = Duration::from_secs(8);

/// A process with its clock.
pub struct Process {
    pub state: State,
    pub now: Now,
    /// Where it listens for the others.
    pub address: SocketAddr,
    /// Era of the platform that it reads.
    pub era: Era,
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub fn settings(number: u16) -> Settings {
    Settings {
        address: address(number),
        incarnation: u64::from(number),
        zone: "north".into(),
        freshness: FRESHNESS,
        gone: GONE,
        repeats: Rule { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        tolerance: Tolerance { ratio: 0.1, slack: 1_000.0, window: WINDOW },
        exposure: 0.1,
    }
}

/// A process that knows nothing.
pub fn blank(number: u16) -> Process {
    let now = Now { steady: Instant::now(), boot: Duration::from_secs(1_000) };
    let settings = settings(number);
    let address = settings.address;
    Process { state: direct::open(now.steady, settings), now, address, era: 1 }
}

/// A process that knows a plan and targets, and that its plan is current.
pub fn process(plan: Plan, targets: Vec<Target>) -> Process {
    let mut process = blank(1);
    process.send(Event::Planned(Arc::new(plan)));
    process.confirm();
    process.list(targets);
    // The first read ends an outage, after which vanished targets are still used for a while.
    process.pass(Duration::from_millis(2_500));
    process.confirm();
    process
}

impl Process {
    pub fn send(&mut self, event: Event) -> Vec<Effect> {
        direct::reduce(&mut self.state, self.now, event)
    }

    pub fn confirm(&mut self) -> Vec<Effect> {
        let (boot, version) = (self.now.boot, self.state.known().plan);
        self.send(Event::Confirmed { boot, version, era: self.era })
    }

    /// The platform lists other targets.
    pub fn list(&mut self, targets: Vec<Target>) -> Vec<Effect> {
        let known = self.state.known().targets;
        let offset = if known.era < self.era { 0 } else { known.offset + 1 };
        let position = Position { era: self.era, offset };
        self.send(Event::Listed(Listing { targets, position }))
    }

    /// Hears what another process offers; gives what is to be fetched of it.
    pub fn hear_offer(&mut self, other: &Process) -> (Vec<Topic>, Vec<Effect>) {
        let offer = other.state.offer(other.now);
        let peer = other.address;
        let effects = self.send(Event::Offered { peer, offer });
        let asked = fetches(&effects).into_iter().filter(|&(asked, _)| asked == peer);
        let topics = asked.map(|(_, topic)| topic).collect();
        (topics, effects)
    }

    /// Hears what another process offers and fetches it.
    pub fn ask(&mut self, other: &Process) -> Vec<Effect> {
        let (topics, mut effects) = self.hear_offer(other);
        effects.extend(topics.into_iter().flat_map(|topic| self.fetch(other, topic)));
        effects
    }

    /// Takes in what another process gives.
    pub fn fetch(&mut self, other: &Process, topic: Topic) -> Vec<Effect> {
        let news = other.state.news(other.now, topic);
        self.send(Event::Fetched { peer: other.address, topic, news })
    }

    /// Lets time pass by both clocks.
    pub fn pass(&mut self, time: Duration) -> Vec<Effect> {
        self.now.steady += time;
        self.now.boot += time;
        self.send(Event::Tick)
    }

    pub fn arrive(&mut self, request: Request) -> Vec<Effect> {
        self.send(Event::Arrived(request))
    }

    pub fn end(&mut self, ticket: Ticket, outcome: Outcome) -> Vec<Effect> {
        self.send(Event::Ended { ticket, outcome, begun: false, events: 0 })
    }
}

pub fn route(prefix: &str, repeat: Repeat) -> Route {
    Route {
        name: prefix.into(),
        host: "host".into(),
        prefix: prefix.into(),
        repeat,
        stream: repeat == Repeat::Resume,
        timeout: Duration::from_secs(5),
        aim: Duration::from_millis(800),
        rank: 0,
        attempts: 2,
        public: false,
        parts: vec![Part { pool: "pool".into(), weight: 1 }],
    }
}

pub fn limit(rate: f64) -> Limit {
    Limit { rate, burst: rate, plain: 200.0, tokens: true }
}

/// One account with the key `key`, and the given routes.
pub fn plan(version: u64, routes: Vec<Route>, limit: Option<Limit>) -> Plan {
    let mut plan = Plan { version, body_max: 1 << 20, ..Plan::default() };
    routes.into_iter().for_each(|route| plan.insert(route));
    plan.accounts.insert("account".into(), Account { rank: 0, limit });
    plan.keys.insert("key".into(), "account".into());
    plan
}

pub fn target(number: u16) -> Target {
    Target {
        name: format!("target-{number}"),
        incarnation: 1,
        pool: "pool".into(),
        address: address(1_000 + number),
        agent: None,
        zone: "north".into(),
        slots: 2,
        ready: true,
        version: "v1".into(),
    }
}

pub fn targets(count: u16) -> Vec<Target> {
    (0..count).map(target).collect()
}

pub fn request(ticket: Ticket, path: &str) -> Request {
    Request {
        ticket,
        id: format!("request-{ticket}"),
        host: "host".into(),
        path: path.into(),
        key: Some("key".into()),
        patience: Some(Duration::from_secs(5)),
        tokens: Some(Tokens { prompt: 100, output: 10 }),
        expected: None,
        fingerprint: [ticket as u8; 16],
        draw: ticket,
    }
}

/// One whose caller expects so many tokens, with a draw that is spread over requests.
pub fn expecting(ticket: Ticket, tokens: u32) -> Request {
    let spread = ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Request { expected: Some(tokens), draw: spread, ..request(ticket, "/a/") }
}

pub fn reservations(effects: &[Effect]) -> Vec<Reservation> {
    let reservations = effects.iter().filter_map(|effect| match effect {
        Effect::Reserve(reservation) => Some(reservation.clone()),
        _ => None,
    });
    reservations.collect()
}

pub fn starts(effects: &[Effect]) -> Vec<Start> {
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start(start) => Some(start.clone()),
        _ => None,
    });
    starts.collect()
}

/// What is to be fetched of whom.
pub fn fetches(effects: &[Effect]) -> Vec<(SocketAddr, Topic)> {
    let fetches = effects.iter().filter_map(|effect| match effect {
        Effect::Fetch { peer, topic } => Some((*peer, *topic)),
        _ => None,
    });
    fetches.collect()
}

pub fn refusals(effects: &[Effect]) -> Vec<(Ticket, Refusal)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse { ticket, refusal, .. } => Some((*ticket, *refusal)),
        _ => None,
    });
    refusals.collect()
}

/// The one refusal among the effects.
pub fn refusal(effects: &[Effect]) -> Refusal {
    let refusals = refusals(effects);
    assert_eq!(refusals.len(), 1, "{effects:?}");
    refusals[0].1
}

/// The one dispatch among the effects.
pub fn start(effects: &[Effect]) -> Start {
    let starts = starts(effects);
    assert_eq!(starts.len(), 1, "{effects:?}");
    starts[0].clone()
}
