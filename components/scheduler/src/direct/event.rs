//! Events that the reducer of direct dispatch processes, and effects that it returns.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    id::{AccountName, Fingerprint, PartId, PoolName, Rank, StreamKey, TargetName, ZoneName},
    promise::{self, Promise, Redemption},
    reservation::{self, Limit, Load},
};

use serde::{Deserialize, Serialize};

use super::{
    copies, late,
    parts::{LevelChange, PartReport, TrialsChange},
    peers::Row,
    plan::{Configuration, Pool},
    relay::{Era, Listing, Offer, Position, Topic, TopicData},
    returns::{Outlook, PromiseOutcome},
    rollout::{Order, Report, Step, Version},
};

/// Number that identifies a request within this process.
pub type Ticket = u64;

/// The current time, read from two monotonic clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time without the time for which the host was suspended.
    pub steady: Instant,
    /// Time since the host booted, including the time for which it was suspended.
    pub boot: Duration,
}

/// Token counts that a caller states for its request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tokens {
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens in the answer.
    pub max_output: u32,
}

/// What a caller states of a stream that it resumes after an earlier attempt received a part of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resumption {
    /// Request ID of the attempt that received the first event; `None` where the caller names none.
    pub first_attempt: Option<String>,
}

/// A request of which headers and body were received completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number that identifies the request within this process.
    pub ticket: Ticket,
    /// Request ID that the caller sent.
    pub id: String,
    /// Host name that the caller requests; selects the route together with the path.
    pub host: String,
    /// Path of the request's URL, without the query string.
    pub path: String,
    /// API key that the caller sent; `None` for a request without one.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the answer; `None` where the caller sent no deadline.
    pub timeout: Option<Duration>,
    /// Token counts that the caller states; `None` where the request has none.
    pub tokens: Option<Tokens>,
    /// Number of tokens that the caller expects in the answer; a hint that may be far off.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt that other requests may share, in order; the part that is the request's own isn't
    /// listed.
    pub shared_parts: Vec<PartId>,
    /// Stream that the request resumes; `None` where the caller received nothing of the answer yet.
    pub resumption: Option<Resumption>,
    /// Fingerprint of path, caller and body; requests with equal fingerprints are counted as the same
    /// content when they crash targets.
    pub fingerprint: Fingerprint,
    /// Number derived from the request ID, distributed evenly over requests. It replaces a random number
    /// in all choices that split requests, such as the choice of a pool by weight. For a resumed stream it is
    /// derived from the ID of the attempt that received the first event, so that the choices are the same.
    pub spread: u64,
}

/// Result of one dispatch of a request to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer was passed to the caller.
    Completed,
    /// The target rejected the request and states that it did not run it.
    Rejected,
    /// Another target now listens at the address; it rejected the request without running it.
    Replaced,
    /// No connection could be established, so the request wasn't sent.
    Unreachable,
    /// The target returned a complete answer with an error status.
    Failed,
    /// The answer ended incomplete; the request may have run.
    Incomplete {
        /// Whether the connection was closed or reset, as happens when a target crashes.
        crashed: bool,
    },
    /// The target sent nothing for too long and the dispatch was cancelled in favour of another target;
    /// the unresponsive target may still run the request.
    Unresponsive,
    /// The request's deadline passed during the dispatch; the request may have run.
    DeadlineExceeded,
}

impl Outcome {
    /// Returns whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::Replaced | Outcome::Unreachable)
    }
}

/// Time in milliseconds at which a target last started, by the target's own clock: it is comparable only
/// with other incarnations of the same target. 0 where the time isn't known.
pub type Incarnation = u64;

/// A target as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name of the target; a restarted target may keep the name.
    pub name: TargetName,
    /// Last start of the target: all state that was learnt about earlier incarnations is discarded.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Pool to which the target belongs.
    pub pool: PoolName,
    /// Address at which the target listens for requests.
    pub address: SocketAddr,
    /// Address at which an agent on the target's host may listen; `None` where there is certainly none.
    #[serde(default)]
    pub agent_address: Option<SocketAddr>,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub is_ready: bool,
    /// Version of the target's software.
    #[serde(default)]
    pub version: Version,
}

/// Address of an entry process, read from the platform's service or from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Address at which the process listens for other entry processes.
    pub address: SocketAddr,
    /// Value that changes each time the process registers with the platform's service; 0 where no
    /// registration is known.
    pub stamp: u64,
}

/// Reason why a reservation ended without a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialReason {
    /// The agent is unreachable or is draining.
    AgentUnreachable,
    /// The agent can't reach its target.
    TargetUnreachable,
    /// The reservation timed out, or the agent denied it for another reason.
    TimedOut,
}

/// An input of the reducer: something that happened outside it.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was received completely.
    RequestReceived(Request),
    /// An agent granted a slot to a request and holds it until the reservation is withdrawn.
    Granted {
        /// Request for which the slot was reserved.
        ticket: Ticket,
        /// Number of the reservation among those of the request.
        number: u32,
        /// Load that the agent reported with the grant.
        load: Load,
    },
    /// A reservation ended without a slot.
    Denied {
        /// Request for which the slot was to be reserved.
        ticket: Ticket,
        /// Number of the reservation among those of the request.
        number: u32,
        /// Reason why no slot was granted.
        reason: DenialReason,
    },
    /// The first event of a stream, or the head of another answer, was received.
    AnswerBegan {
        /// Request whose answer began.
        ticket: Ticket,
    },
    /// An answer has neither a length nor chunks: if its connection is closed, it may be complete, or its target
    /// may have crashed.
    AnswerUnframed {
        /// Request whose answer it is.
        ticket: Ticket,
    },
    /// An event of a stream was passed to the caller that has no number above that of the event before it.
    StreamUnordered {
        /// Request of the stream.
        ticket: Ticket,
    },
    /// An answer states its target's rate limit.
    RateLimitStated {
        /// Request whose answer states the limit.
        ticket: Ticket,
        /// Requests per second that the target accepts from all processes together; not negative.
        per_second: f64,
    },
    /// An answer states that its target is leaving and accepts no more requests.
    LeavingStated {
        /// Request whose answer states it.
        ticket: Ticket,
    },
    /// An answer turns its request away and asks this process to send nothing for some time.
    RestStated {
        /// Request whose answer asks for the rest.
        ticket: Ticket,
        /// Time for which the target wants no requests.
        time: Duration,
    },
    /// The target of a dispatch has sent nothing for as long as the [`Dispatch`] allows; the dispatch still
    /// waits for the answer.
    TargetUnresponsive {
        /// Request whose target is unresponsive.
        ticket: Ticket,
        /// Whether a part of the answer was passed to the caller.
        begun: bool,
    },
    /// A target that was unresponsive continues its answer.
    TargetResumed {
        /// Request whose answer continues.
        ticket: Ticket,
    },
    /// A dispatch of a request ended.
    DispatchEnded {
        /// Request that was dispatched.
        ticket: Ticket,
        /// Result of the dispatch.
        outcome: Outcome,
        /// Whether a part of the answer was passed to the caller.
        begun: bool,
        /// Number of events of a stream that were received in this dispatch.
        events: u32,
    },
    /// A lookup of the version that began a stream ended.
    OriginAnswered {
        /// Request that resumes the stream.
        ticket: Ticket,
        /// Version that an agent knows; `None` where none does.
        version: Option<Version>,
        /// Number of agents that didn't answer.
        unanswered: u32,
    },
    /// An agent couldn't record the version that began a stream.
    OriginUnrecorded {
        /// Request whose stream was to be recorded.
        ticket: Ticket,
        /// Address at which the agent listens.
        agent: SocketAddr,
    },
    /// The question whether a request returns at its time was answered.
    ReturnLookedUp {
        /// Request that may return.
        ticket: Ticket,
        /// Answer of an agent; `None` where no agent answered.
        redemption: Option<Redemption>,
    },
    /// The request for a promise was answered.
    PromiseAnswered {
        /// Request whose caller may return.
        ticket: Ticket,
        /// Answer of an agent, which is `None` where it declined; `None` where no agent answered.
        answer: Option<Option<Promise>>,
    },
    /// The caller closed its connection before the request ended.
    CallerDisconnected {
        /// Request of that caller.
        ticket: Ticket,
        /// Number of events of a stream that were received in the last dispatch.
        events: u32,
    },
    /// A configuration was read from the platform.
    ConfigurationRead(Arc<Configuration>),
    /// The operator ordered a rollout.
    RolloutOrdered(Order),
    /// The operator withdrew the rollout order for a pool.
    RolloutWithdrawn {
        /// Pool whose order is withdrawn.
        pool: PoolName,
        /// Position of the withdrawal in the platform's stream of records.
        position: Position,
    },
    /// Reports on rollouts were read from the platform's service.
    RolloutsReported(Vec<Report>),
    /// The platform answered a read of the newest configuration.
    ConfigurationConfirmed {
        /// Time by the boot clock ([`Now::boot`]) at which the platform had no newer version.
        boot: Duration,
        /// Version of the platform's newest configuration; 0 where it has none.
        version: u64,
        /// Era of the platform's service at the time of the read.
        era: Era,
    },
    /// The platform's list of targets was read.
    TargetsListed(Listing),
    /// The platform answered a read of its list of targets, whether or not the list changed.
    TargetListAnswered,
    /// A read of the platform's list of targets ended, and all that it returned was sent before.
    TargetListConfirmed {
        /// Time at which the list was complete.
        at: Instant,
    },
    /// Another entry process stated which versions of the relayed data it has.
    PeerOffered {
        /// Address at which the other process listens.
        peer: SocketAddr,
        /// Versions of the relayed data that the other process has.
        offer: Offer,
    },
    /// A fetch from another entry process ended.
    Fetched {
        /// Address at which the other process listens.
        peer: SocketAddr,
        /// Topic that was fetched.
        topic: Topic,
        /// Content that was fetched; `None` where the other process returned nothing or the fetch failed.
        data: Option<TopicData>,
    },
    /// Addresses of entry processes became known, from the platform's service or from the settings.
    PeersDiscovered(Vec<Registration>),
    /// Rows, each with the state of one entry process, were received from another entry process.
    RowsReceived(Vec<Row>),
    /// Evidence on quarantined parts of prompts was read from the platform's service.
    PartsRead(Vec<PartReport>),
    /// The evidence on a quarantined part was written to the platform's service.
    PartStored {
        /// The part.
        part: PartId,
        /// Era of the service at the time of the write.
        era: Era,
    },
    /// A probe whether a target accepts connections ended.
    Probed {
        /// Target that was probed.
        target: TargetName,
        /// Whether the target accepted a connection.
        reached: bool,
    },
    /// The process begins to drain: it accepts only requests whose deadlines are not after the time `end`.
    Drain {
        /// Time at which the process ends.
        end: Instant,
    },
    /// Time passed without another event; see [`next_wake`](super::next_wake).
    Tick,
}

/// Reason why a request is refused instead of being answered by a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No configuration is known, or the known one may be out of date.
    NotReady,
    /// No route matches the request's host name and path.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
    /// The account exceeds its limit.
    AccountLimit,
    /// No target had a free slot in time.
    NoFreeSlot,
    /// The bodies of other requests take the memory of this host.
    NoMemory,
    /// All targets asked this process for a rest that ends after the request's wait.
    TargetsResting,
    /// The process is draining.
    Draining,
    /// Requests with the same fingerprint, or with the same part of their prompts, crashed several targets.
    Quarantined,
    /// The deadline passed and the request has not run.
    DeadlineExceeded,
    /// The deadline passed and the request may have run.
    DeadlineExceededMayHaveRun,
    /// The request may have run and can't be dispatched again.
    Lost,
    /// Every dispatch failed before the request ran.
    AllDispatchesFailed,
    /// The version that began the stream isn't known, so that no target can continue it.
    VersionUnknown,
    /// No target of the version that began the stream accepts requests, and the deadline passed.
    VersionUnavailable,
}

/// Shortage of an account's limit that led to a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShortage {
    /// Units that have to be in the bucket for the request to be admitted.
    pub needed: f64,
    /// Units that were left in the bucket.
    pub left: f64,
    /// Units per second at which the bucket refills.
    pub rate: f64,
    /// Number of entry processes among which the limit is divided.
    pub processes: u32,
    /// Number of those processes, this one included, whose parts of the limit this process may use.
    pub usable: u32,
    /// What the shortage is due to; `None` unless limits are leased.
    pub cause: Option<ShortageCause>,
}

/// What a shortage of an account's limit is due to. All but the first concern units below the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShortageCause {
    /// The units are used.
    Spent,
    /// This process may use only a part of the limit, since other processes don't hear it.
    Part,
    /// Other processes are expected to use the units.
    Expected,
    /// Requests that wait for a slot hold the units.
    Held,
    /// The units are reserved for requests of higher ranks.
    Reserved,
    /// The units are kept for larger requests.
    Size,
}

/// An error answer that this process sends in place of a target's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request provably did not run and never will.
    pub not_run: bool,
    /// Time after which the caller may retry; `None` where no retry is suggested.
    pub retry_after: Option<Duration>,
    /// Shortage of the account's limit; `None` unless `reason` is [`RefusalReason::AccountLimit`].
    pub shortage: Option<LimitShortage>,
}

/// Work of a request whose account shares its pool with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedWork {
    /// Rank of the account among accounts; 0 is the highest.
    pub account_rank: u32,
    /// Weight of the account.
    pub weight: u32,
    /// Tokens of the prompt and of the answer, as the caller stated or expects them.
    pub tokens: u64,
}

/// Facts on which a refusal was based, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RefusalContext {
    /// Name of the request's route; empty where no route was found.
    pub route: String,
    /// Account of the request; `None` for a public route or before the key was checked.
    pub account: Option<AccountName>,
    /// Rank of the request's route, 0 being the highest; `None` where no route was found.
    pub tier: Option<u32>,
    /// Number of tokens that the caller expects in the answer; `None` where it gave no hint.
    pub expected_tokens: Option<u32>,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Maximum time for which the request could wait for a slot, counted from its arrival.
    pub max_wait: Duration,
    /// Targets of the pool that accept the request, and those of them at which its answer is expected to end
    /// before its deadline.
    pub fits: FittingTargets,
    /// Time that is left until the request's deadline.
    pub time_left: Duration,
    /// Whether a part of the answer was passed to the caller.
    pub has_begun: bool,
    /// Whether the request waited for late service.
    pub is_late: bool,
    /// Number of targets that may have run the request, and the maximum that the route allows.
    pub attempts: (usize, u32),
    /// Whether requests with this fingerprint or with a part of this prompt are quarantined.
    pub is_quarantined: bool,
    /// Number of requests ahead of this one in the queue of its pool.
    pub ahead: usize,
    /// Number of slots in the pool that no process uses, according to the last rows of the others.
    pub free_slots: u32,
    /// Number of slots in the pool at targets that accept requests.
    pub slots: u32,
    /// Age of the oldest row of another process that was still current; `None` where none was.
    pub oldest_row: Option<Duration>,
    /// Work of the request; `None` where accounts don't share its pool by work.
    pub shared_work: Option<SharedWork>,
}

/// Targets of a pool that accept a request, counted by whether its answer is expected to end before its
/// deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FittingTargets {
    /// Number of targets of the pool that accept such requests.
    pub available: u32,
    /// Number of those targets at which the answer is expected to end before its deadline, or that are among
    /// the fastest.
    pub fitting: u32,
    /// Number of those targets that are among the fastest, by the speeds that their agents report.
    pub fast: u32,
    /// Time per token in ms at a target that counts as the fastest; `None` where no speed is known.
    pub fastest_token_ms: Option<f64>,
}

impl FittingTargets {
    /// Returns the share of the available targets, from 0 to 1, that aren't counted as fitting.
    pub fn unfitting_share(&self) -> f64 {
        if self.available == 0 {
            0.0
        } else {
            1.0 - f64::from(self.fitting) / f64::from(self.available)
        }
    }
}

/// Parameters of the dispatch of a request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Request to dispatch.
    pub ticket: Ticket,
    /// Target to which the request is dispatched.
    pub target: TargetName,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Account of the request; `None` on a public route.
    pub account: Option<AccountName>,
    /// Rank of the request's route; 0 is the highest.
    pub tier: u32,
    /// Whether the request may be dispatched again after it may have run.
    pub is_repeatable: bool,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Time without data from the target after which [`Event::TargetUnresponsive`] is sent; `None` where the
    /// request can neither be dispatched again nor go on from a copy.
    pub unresponsive_timeout: Option<Duration>,
    /// Number of this dispatch among those of the request, from 1.
    pub attempt: u32,
    /// Where the target sends a copy of the request's memory as it grows.
    pub copy: copies::Placement,
    /// Whether the request goes on from the copy that the target holds; it counts as the same run.
    pub continues: bool,
}

/// A reservation to be made at a target's agent: a place in the queue for the target's slots.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Request for which a slot is reserved.
    pub ticket: Ticket,
    /// Number of the reservation among those of the request, from 1; a number is never used twice.
    pub number: u32,
    /// Address at which the agent listens.
    pub agent: SocketAddr,
    /// Target whose slot is reserved.
    pub target: TargetName,
    /// Last known start of the target.
    pub incarnation: Incarnation,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Number of requests that the target may have concurrently.
    pub slots: u32,
    /// Whether no other request may run at the target at the same time.
    pub is_alone: bool,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the agent runs on the target's host and can query the target; otherwise it is the agent of
    /// another target, chosen by a hash so that all entry processes choose the same one.
    pub is_local_agent: bool,
    /// Last known rate limit of the target; `None` where the target never stated one.
    pub limit: Option<Limit>,
    /// Priority among the reservations that wait at the agent; the lowest value goes first.
    pub rank: Rank,
    /// What places the reservation in the agent's queue besides its rank.
    pub order: reservation::Order,
    /// Maximum time for which the reservation waits.
    pub timeout: Duration,
    /// Time that is added to the remaining time stated to the agent: an agent that grants the newest request
    /// of a tier first then treats the request as newer than it is.
    pub recency_boost: Duration,
    /// Token counts of the request; `max_output` is the number that the caller expects, where it gave a
    /// hint.
    pub tokens: Tokens,
}

/// An output of the reducer: an action that its driver has to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reserve a slot at a target's agent. The result comes back as [`Event::Granted`] or
    /// [`Event::Denied`].
    Reserve(Reservation),
    /// Withdraw a reservation, or release the slot that it was granted.
    WithdrawReservation {
        /// Request of the reservation.
        ticket: Ticket,
        /// Number of the reservation among those of the request.
        number: u32,
    },
    /// Dispatch a request to a target.
    Dispatch(Dispatch),
    /// Cancel the dispatch of a request to an unresponsive target, since another target has a slot for it.
    CancelDispatch {
        /// Request whose dispatch is cancelled.
        ticket: Ticket,
        /// Target that has a slot for the request.
        target: TargetName,
    },
    /// End a request with an error answer, or by closing the connection where the answer has begun.
    Refuse {
        /// Request that is refused.
        ticket: Ticket,
        /// Error answer to send.
        refusal: Refusal,
        /// Facts on which the refusal was based, for the log.
        context: Box<RefusalContext>,
    },
    /// Probe whether a target accepts connections. The result comes back as [`Event::Probed`].
    Probe {
        /// Target to probe.
        target: TargetName,
        /// Address at which the target listens.
        address: SocketAddr,
    },
    /// Fetch the data of a topic that another entry process offered. The result comes back as
    /// [`Event::Fetched`].
    Fetch {
        /// Address at which the other process listens.
        peer: SocketAddr,
        /// Topic to fetch.
        topic: Topic,
    },
    /// Record at an agent which version began a stream. A failure comes back as [`Event::OriginUnrecorded`].
    RecordOrigin {
        /// Request of the stream.
        ticket: Ticket,
        /// Address at which the agent listens.
        agent: SocketAddr,
        /// Key of the stream.
        key: StreamKey,
        /// Version that began the stream.
        version: Version,
        /// Time for which the record is needed.
        lifetime: Duration,
    },
    /// Ask agents which version began a stream. The result comes back as [`Event::OriginAnswered`].
    FindOrigin {
        /// Request that resumes the stream.
        ticket: Ticket,
        /// Key of the stream.
        key: StreamKey,
        /// Addresses at which the agents listen.
        agents: Vec<SocketAddr>,
    },
    /// Ask agents, the next one where one doesn't answer, whether a request returns at its time. The result comes
    /// back as [`Event::ReturnLookedUp`].
    RedeemPromise {
        /// Request that may return.
        ticket: Ticket,
        /// Key of the promise.
        key: promise::Key,
        /// Addresses at which the agents listen, in the order in which they are asked.
        agents: Vec<SocketAddr>,
    },
    /// Ask agents, the next one where one doesn't answer, for a promise to the caller of a request. The result
    /// comes back as [`Event::PromiseAnswered`].
    AskPromise {
        /// Request whose caller may return.
        ticket: Ticket,
        /// Addresses at which the agents listen, in the order in which they are asked.
        agents: Vec<SocketAddr>,
        /// Promise to ask for.
        ask: promise::Ask,
    },
    /// End a request by passing the error answer of a target on to the caller.
    PassFailure {
        /// Request that ends.
        ticket: Ticket,
    },
    /// Record a change of the reducer's state in the log.
    Log(LogEntry),
}

/// A request of this process whose connection to its target broke off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenRequest {
    /// Request ID that the caller sent.
    pub id: String,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// Whether the target had sent an event of the answer.
    pub has_begun: bool,
}

/// A request found no slot in time for its target latency.
#[derive(Clone, Debug, PartialEq)]
pub struct LateWait {
    /// Request ID that the caller sent.
    pub request: String,
    /// Rank of the request's route.
    pub tier: u32,
    /// What decided whether the request waits for late service.
    pub outlook: late::Outlook,
    /// Whether the request waits; otherwise it is refused.
    pub is_begun: bool,
}

/// A change of the reducer's state that is worth a log entry.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEntry {
    /// Another configuration is in force.
    ConfigurationChanged {
        /// Version of the configuration.
        version: u64,
    },
    /// Another configuration calls for other rules at a pool.
    RulesChanged {
        /// Pool whose rules changed.
        pool: PoolName,
        /// Rules of the pool from now on.
        rules: Pool,
        /// Version of the configuration.
        version: u64,
    },
    /// The targets in use were replaced by those of a newer list.
    TargetsChanged {
        /// Number of targets that accept requests.
        ready: usize,
        /// Number of targets in use, including those counted by `kept`.
        listed: usize,
        /// Number of targets that the list lacks but that are still used, because an outage of the platform
        /// just ended.
        kept: usize,
        /// Number of ready targets that get no requests because of their version, mostly since no rollout to
        /// it was ordered.
        unordered: usize,
    },
    /// The configuration is known to be current (`true`), or may be out of date (`false`).
    FreshnessChanged(bool),
    /// This process may use a larger or smaller share of the accounts' limits: `usable` changed.
    PeersChanged {
        /// Number of other processes that may take requests and whose rows are current.
        known: usize,
        /// Number of other processes that may take requests.
        expected: usize,
        /// Number of processes, this one included, whose parts of limits this process may use.
        usable: u32,
    },
    /// A target restarted under its name; all state about its earlier incarnation was discarded.
    Restarted(TargetName),
    /// A target's rate limit changed.
    RateLimitChanged {
        /// Target whose limit changed.
        target: TargetName,
        /// New limit in requests per second; `None` where the target no longer states one.
        per_second: Option<f64>,
    },
    /// A target stated that it is leaving, while the list shows it as ready.
    Leaving {
        /// Target that is leaving.
        target: TargetName,
        /// Whether another entry process received the statement.
        is_relayed: bool,
        /// Time since the platform last answered a read of its list of targets.
        list_age: Option<Duration>,
    },
    /// A target turned a request away and gets no others for some time.
    Resting {
        /// Target that gets no requests.
        target: TargetName,
        /// Time for which it asked.
        asked: Duration,
        /// Time for which it gets none.
        granted: Duration,
    },
    /// A target crashed while it ran requests of this process.
    Crashed {
        /// Target that crashed.
        target: TargetName,
        /// Requests that it ran.
        requests: Vec<BrokenRequest>,
    },
    /// Requests with this fingerprint are refused from now on, since they crashed targets.
    Quarantined(Fingerprint),
    /// Requests with this part of a prompt run in another way, because of crashes or since an answer was
    /// written on the part.
    PartLevelChanged(LevelChange),
    /// Requests with suspect parts begin or cease to wait for crashed targets.
    TrialsChanged(TrialsChange),
    /// The version that began a resumed stream was looked up.
    OriginLookedUp {
        /// Request ID of the attempt that resumes the stream.
        request: String,
        /// Version that began the stream; `None` where it isn't known.
        version: Option<Version>,
        /// Number of lookups.
        lookups: u32,
        /// Number of agents that didn't answer the last one.
        unanswered: u32,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// The agents were asked for the promise of a request and know one, or didn't answer.
    ReturnLookedUp {
        /// Request ID that the caller sent.
        request: String,
        /// Answer of an agent; `None` where no agent answered.
        redemption: Option<Redemption>,
        /// Whether the request still waits for a slot.
        is_waiting: bool,
        /// Time since the request arrived.
        waited: Duration,
    },
    /// A promise to the caller of a request was asked for.
    ReturnPromised {
        /// Request ID that the caller sent.
        request: String,
        /// Rank of the request's route; 0 is the highest.
        tier: u32,
        /// Whether the promise was given.
        outcome: PromiseOutcome,
        /// Time until the caller may return; `None` without a promise.
        due: Option<Duration>,
        /// Work ahead and pace on which the promise is based.
        outlook: Outlook,
    },
    /// This process's part of an account's limit changed, for times in which other processes don't hear it.
    LeaseChanged {
        /// Account of the limit.
        account: AccountName,
        /// New weight of this process, as a fraction of the limit.
        weight: f64,
        /// Units per second of the account that this process admits.
        rate: f64,
        /// Time since all processes were last known to have rows of all others.
        mutual_age: Option<Duration>,
    },
    /// A stream lost its target, and goes on from its copy or ends.
    StreamLostTarget(Box<copies::Report>),
    /// A rollout made a step.
    Rollout(Box<Step>),
    /// A request found no slot in time for its target latency, in a pool that serves late requests.
    LateWait(LateWait),
}
