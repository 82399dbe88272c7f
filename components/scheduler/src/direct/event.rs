//! Events that the reducer of direct dispatch takes and effects that it gives.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    id::{AccountName, Fingerprint, PoolName, Rank, TargetName, ZoneName},
    reservation::{Limit, Load},
};

use serde::{Deserialize, Serialize};

use super::{
    peers::Row,
    plan::Plan,
    relay::{Era, Listing, News, Offer, Position, Topic},
    rollout::{Order, Report, Step, Version},
};

/// Number of a request in this process.
pub type Ticket = u64;

/// The time, by two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Doesn't count the time for which the host was suspended.
    pub steady: Instant,
    /// Time since the host started, suspensions included.
    pub boot: Duration,
}

/// Tokens of a request, as its caller states them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub output: u32,
}

/// A request that arrived whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number here.
    pub ticket: Ticket,
    /// Its id, as its caller gave it.
    pub id: String,
    /// Host name that it asks for.
    pub host: String,
    /// Its path, without the query.
    pub path: String,
    /// The key that it bears.
    pub key: Option<String>,
    /// Time for which its caller waits.
    pub patience: Option<Duration>,
    /// Its tokens, where it says them.
    pub tokens: Option<Tokens>,
    /// Tokens of the answer that its caller expects, which may be far off.
    pub expected: Option<u32>,
    /// Fingerprint of its path, caller and body.
    pub fingerprint: Fingerprint,
    /// Spread evenly over requests.
    pub draw: u64,
}

/// What became of one dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer went to the caller.
    Done,
    /// The target says that it did not run the request.
    Rejected,
    /// Another target has the address, which says that it did not run the request.
    Replaced,
    /// No connection: the request wasn't sent.
    Unreached,
    /// The target answered whole with a failure.
    Failed,
    /// No whole answer; it may have run. `crashed` where the connection broke off.
    Lost {
        /// Whether the connection broke off, as it does when a target dies.
        crashed: bool,
    },
    /// Nothing came for long, and it was left for another target; it may run.
    Silent,
    /// The time was over; it may have run.
    Expired,
}

impl Outcome {
    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::Replaced | Outcome::Unreached)
    }
}

/// Start of a target in milliseconds, by its own clock, so that it compares with other starts of the
/// same target only; 0 where it isn't known.
pub type Incarnation = u64;

/// A target, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Its name, which it may keep when it starts again.
    pub name: TargetName,
    /// Its last start: nothing that was known of it before holds after that.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Its pool.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where an agent beside it may listen; `None` where there is surely none.
    #[serde(default)]
    pub agent: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Version of its software.
    #[serde(default)]
    pub version: Version,
}

/// An entry process that the platform's service names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Introduction {
    /// Where it listens for the others.
    pub address: SocketAddr,
    /// Changes each time it makes itself known there; 0 where it isn't known to have done so.
    pub stamp: u64,
}

/// Why a reservation ended without room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lapse {
    /// The agent isn't reached, or is leaving.
    Away,
    /// The agent doesn't reach its target.
    Unreached,
    /// The request waited for too long.
    Late,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived whole.
    Arrived(Request),
    /// An agent has room for a request, and keeps it until the reservation is withdrawn.
    Granted {
        /// The request.
        ticket: Ticket,
        /// Which of its reservations.
        number: u32,
        /// What the agent says of its load.
        load: Load,
    },
    /// A reservation ended without room.
    Denied {
        /// The request.
        ticket: Ticket,
        /// Which of its reservations.
        number: u32,
        /// Why.
        lapse: Lapse,
    },
    /// The first event or the head of an answer came.
    Began {
        /// The request.
        ticket: Ticket,
    },
    /// An answer names its target's rate limit.
    Limited {
        /// The request.
        ticket: Ticket,
        /// Requests a second that the target takes from all processes together; not negative.
        per_second: f64,
    },
    /// The target of a dispatch has been silent for as long as its [`Start`] says; its answer is still
    /// waited for.
    Quiet {
        /// The request.
        ticket: Ticket,
        /// Whether a part of the answer went to the caller.
        begun: bool,
    },
    /// A target that was silent goes on with its answer.
    Spoke {
        /// The request.
        ticket: Ticket,
    },
    /// A dispatch ended.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How.
        outcome: Outcome,
        /// Whether a part of the answer went to the caller.
        begun: bool,
        /// Events of a stream that came in this dispatch.
        events: u32,
    },
    /// The caller left.
    Left {
        /// The request.
        ticket: Ticket,
        /// Events of a stream that came in its last dispatch.
        events: u32,
    },
    /// A configuration was read.
    Planned(Arc<Plan>),
    /// A roll-out that the operator orders.
    Ordered(Order),
    /// The operator took the order for a pool back.
    Withdrawn {
        /// The pool.
        pool: PoolName,
        /// Where that stands.
        position: Position,
    },
    /// What the platform's service says of roll-outs.
    Reported(Vec<Report>),
    /// The platform was asked for the newest configuration.
    Confirmed {
        /// Time of the boot clock at which it had nothing newer.
        boot: Duration,
        /// Version of the newest that it had; 0 where it had none.
        version: u64,
        /// The platform's era.
        era: Era,
    },
    /// The targets that the platform lists were read.
    Listed(Listing),
    /// The platform answered a read of its list, whether or not that changed.
    ListAnswered,
    /// Another process told what it has.
    Offered {
        /// Where it listens.
        peer: SocketAddr,
        /// What it offers.
        offer: Offer,
    },
    /// A fetch from another process ended.
    Fetched {
        /// Where that listens.
        peer: SocketAddr,
        /// What was asked for.
        topic: Topic,
        /// What it gave; `None` where it gave nothing or the fetch failed.
        news: Option<News>,
    },
    /// Entry processes that the platform's service names.
    Introduced(Vec<Introduction>),
    /// What another entry process says of itself and of others.
    Heard(Vec<Row>),
    /// A target was asked whether it takes connections.
    Probed {
        /// The target.
        target: TargetName,
        /// Whether it does.
        reached: bool,
    },
    /// The process leaves: it takes only what surely ends before.
    Drain {
        /// When it ends.
        end: Instant,
    },
    /// Time has passed.
    Tick,
}

/// Why a request gets no answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No configuration is known, or it may be out of date.
    NotReady,
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The account is beyond its limit.
    Limit,
    /// No target had room in time.
    NoRoom,
    /// The process is leaving.
    Draining,
    /// Its body crashed targets.
    Quarantined,
    /// The time was over and it has not run.
    Late,
    /// The time was over and it may have run.
    Expired,
    /// It may have run and can't be repeated.
    Lost,
    /// Every dispatch failed before it ran.
    Unserved,
}

/// What an account's limit lacked for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lack {
    /// Units that the request counts for.
    pub units: f64,
    /// Units that were left.
    pub left: f64,
    /// Units a second that come back.
    pub rate: f64,
    /// Processes among which the limit was parted.
    pub among: u32,
    /// Those of them whose parts this one may use, this one included.
    pub together: u32,
}

/// An answer of our own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request provably did not run and never will.
    pub not_run: bool,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What the account's limit lacked, where that is the reason.
    pub lack: Option<Lack>,
}

/// What a refusal was decided from, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grounds {
    /// Route of the request; empty where none was found.
    pub route: String,
    /// Whose it is.
    pub account: Option<AccountName>,
    /// Rank of its route.
    pub tier: Option<u32>,
    /// Tokens of the answer that its caller expects.
    pub expected: Option<u32>,
    /// Time since it arrived.
    pub waited: Duration,
    /// Time for which it might wait for room.
    pub wait: Duration,
    /// Targets of its pool that take requests, and those of them where its answer ends in time.
    pub fits: Fits,
    /// Time that its caller still waits.
    pub left: Duration,
    /// Whether a part of the answer went to the caller.
    pub begun: bool,
    /// Targets that may have run it, and most that may.
    pub ran: (usize, u32),
    /// Whether its body is refused.
    pub quarantined: bool,
    /// Requests that stood before it.
    pub ahead: usize,
    /// Slots of its pool that no process uses, by the last rows.
    pub free: u32,
    /// Slots of its pool at targets that take requests.
    pub slots: u32,
    /// Age of the oldest row that counted.
    pub rows: Option<Duration>,
}

/// At how many targets an answer of some length ends in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fits {
    /// Targets of the pool that take such requests.
    pub up: u32,
    /// Those of them where the answer ends in time, or that are among the fastest.
    pub fitting: u32,
    /// Those of them that are among the fastest, by what their agents say.
    pub fast: u32,
    /// Time for a token at a target that counts as the fastest, in ms.
    pub fastest: Option<f64>,
}

impl Fits {
    /// Part of the targets, from 0 to 1, where the answer doesn't end in time.
    pub fn closed(&self) -> f64 {
        if self.up == 0 { 0.0 } else { 1.0 - f64::from(self.fitting) / f64::from(self.up) }
    }
}

/// Everything that is needed to dispatch a request.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request.
    pub ticket: Ticket,
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whose the request is.
    pub account: Option<AccountName>,
    /// Rank of its route.
    pub tier: u32,
    /// Whether it may be dispatched again after it may have run.
    pub repeatable: bool,
    /// When its time is over.
    pub until: Instant,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Silence of the target after which another is looked for, where the request may be dispatched
    /// elsewhere.
    pub silence: Option<Duration>,
    /// Which dispatch of the request this is, from 1.
    pub attempt: u32,
}

/// A place at a target's agent.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The request.
    pub ticket: Ticket,
    /// Which of its reservations, from 1; a number is never used twice.
    pub number: u32,
    /// Where the agent listens.
    pub agent: SocketAddr,
    /// The target.
    pub target: TargetName,
    /// Where that listens.
    pub address: SocketAddr,
    /// Requests that it may have at once.
    pub slots: u32,
    /// Whether the agent stands beside it.
    pub beside: bool,
    /// What was last heard of its rate limit; `None` where it never named one.
    pub limit: Option<Limit>,
    /// Its place among those that wait there, lowest first.
    pub rank: Rank,
    /// Time for which it waits at most.
    pub wait: Duration,
    /// How much newer it counts than it is, where the newest of a tier goes first.
    pub boost: Duration,
    /// Tokens of the request.
    pub tokens: Tokens,
}

/// What has to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reserve room at a target's agent; what becomes of it comes back as an event.
    Reserve(Reservation),
    /// Give a reservation up, or the room that it got.
    Withdraw {
        /// The request.
        ticket: Ticket,
        /// Which of its reservations.
        number: u32,
    },
    /// Dispatch a request.
    Start(Start),
    /// End the dispatch of a request to a target that is silent: another has room for it.
    Leave {
        /// The request.
        ticket: Ticket,
        /// The target that has room.
        target: TargetName,
    },
    /// End a request with an answer of our own, or by breaking its answer off where that began.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// What to answer.
        refusal: Refusal,
        /// What it was decided from.
        grounds: Box<Grounds>,
    },
    /// Ask whether a target takes connections; the answer comes back as an event.
    Probe {
        /// The target.
        target: TargetName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask another process for what it offered; what it gives comes back as an event.
    Fetch {
        /// Where it listens.
        peer: SocketAddr,
        /// What to ask for.
        topic: Topic,
    },
    /// Give the caller the failure that the target answered with.
    Pass {
        /// The request.
        ticket: Ticket,
    },
    /// A change of what is believed, for the log.
    Note(Note),
}

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A configuration is in force.
    Planned {
        /// Its version.
        version: u64,
    },
    /// The targets in use changed.
    Targets {
        /// Targets that take requests.
        ready: usize,
        /// Targets that are listed.
        listed: usize,
        /// Those of them that vanished from the list and are still used, since an outage just ended.
        kept: usize,
        /// Ready targets that take none since nobody ordered their version.
        unordered: usize,
    },
    /// The configuration is known to be current again, or no longer.
    Fresh(bool),
    /// All entry processes that may take requests are heard, or not all.
    Peers {
        /// Those that are heard.
        heard: usize,
        /// Those that may take requests.
        expected: usize,
        /// Those, with this one, whose parts of limits this one may use.
        together: u32,
    },
    /// A target started again under its name: what was known of it is forgotten.
    Restarted(TargetName),
    /// A target names another rate limit than before.
    Limited {
        /// The target.
        target: TargetName,
        /// Requests a second; `None` where it names none any more.
        per_second: Option<f64>,
    },
    /// A target died while it ran requests of this process.
    Crashed {
        /// The target.
        target: TargetName,
        /// The requests.
        bodies: u32,
    },
    /// A body is refused from now on.
    Quarantined(Fingerprint),
    /// A roll-out goes on.
    Rollout(Box<Step>),
}
