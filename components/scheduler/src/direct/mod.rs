//! The reducer of direct dispatch: entry processes send requests directly to targets. Where an agent admits
//! requests to a target, a slot is reserved at the agent first (see [`capacity`]). The configuration and the
//! list of targets come from the platform: the environment in which the entry processes and the targets run.
//!
//! A request waits in a queue until a target has a free slot, highest tier first, and is dispatched once.
//! Requests that may be repeated are dispatched again if a dispatch fails, within the attempts that their
//! route allows and the retry budget of their pool.
//!
//! Entry processes regularly exchange rows ([`peers::Row`]): each row holds what the other processes have to
//! know about one process.

mod admit;
pub mod allowance;
pub mod budget;
pub mod capacity;
pub mod copies;
pub mod crashes;
mod era;
pub mod event;
mod holds;
pub mod homes;
pub mod late;
pub mod leases;
mod limits;
mod listed;
mod notices;
pub mod origin;
pub mod outage;
pub mod parts;
pub mod peers;
mod pending;
pub mod plan;
mod queue;
mod rates;
pub mod relay;
mod reserve;
pub mod returns;
pub mod rollout;
mod screen;
mod seek;
mod settle;
mod shares;
mod versions;
mod world;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{BuildHasherDefault, DefaultHasher},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    id::{AccountName, Fingerprint, PartId, PoolName, TargetName, ZoneName},
    reservation::Limit,
};

use allowance::Allowance;
use budget::RetryBudget;
use capacity::{Capacity, ProcessIndex, TargetState};
use crashes::CrashCounts;
pub use event::{
    BrokenRequest, DenialReason, Dispatch, Effect, Event, FittingTargets, Incarnation, LateWait,
    LimitShortage, LogEntry, Now, Outcome, Refusal, RefusalContext, RefusalReason, Registration,
    Request, Reservation, Resumption, SharedWork, ShortageCause, Target, Ticket, Tokens,
};
use holds::SlotTimes;
use homes::Homes;
use parts::Parts;
use parts::VersionId;
use peers::{Peers, Row, TargetLimit};
use pending::{PendingRequest, QueueKey, Stage};
use plan::Configuration;
use relay::{Era, Known, Listing, Topic};
use returns::Returns;
use rollout::Rollouts;
use shares::{PoolFlows, Weights};

/// Hasher with a fixed seed: all entry processes compute the same hashes.
const HASHER: BuildHasherDefault<DefaultHasher> = BuildHasherDefault::new();
/// Weight of a target's crash against the body of a request whose answer it hadn't begun to write.
const SILENT_CRASH_WEIGHT: u32 = 2;
/// Weight of a target's crash against the body of a request whose answer it was writing: another request that it
/// ran is more likely at fault.
const WRITTEN_CRASH_WEIGHT: u32 = 1;
/// Weight of crashes from which on requests with the same fingerprint are refused.
const QUARANTINE_WEIGHT: u32 = 4;
/// Time after a connection broke off in which a failed connection to the same target, or its restart, is
/// counted as a crash caused by the request on that connection.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// The same time after an answer without a length that ended with its connection: the target was probed at once.
const ANSWERED_CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Share of a request's maximum wait that it may spend waiting for units of its account's limit: a caller
/// that is refused after that wait can still retry before its deadline.
const LIMIT_WAIT_SHARE: f64 = 0.4;
/// Maximum retry time in seconds that is suggested to a caller whose account exceeds its limit.
const LIMIT_RETRY_MAX_S: f64 = 30.0;
/// Maximum retry time that is suggested to a caller whose queued request is refused.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(4);
/// Retry time that is suggested to a caller where the configuration is missing or may be out of date.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Share of the target latency ([`Route::target_latency`](plan::Route::target_latency)) after which a request
/// that still waits is refused. The remaining share is about the time to the first event. An answer after the
/// target latency is worth at most a third of one on time, and takes as much capacity from requests that can
/// still be on time.
const MAX_WAIT_SHARE: f64 = 0.75;
/// Share of a request's maximum wait after which the request is promoted: from then on the rank of its
/// account takes precedence over its tier in the queue.
const PROMOTION_SHARE: f64 = 0.75;
/// Lower bound of the maximum wait for a slot, for routes with a small target latency.
const MAX_WAIT_FLOOR: Duration = Duration::from_millis(250);
/// Share of the time to the request's deadline that is suggested to a refused caller as its retry time:
/// late enough for a burst to pass, early enough for the retry to be served.
const RETRY_AFTER_SHARE: f64 = 0.25;
/// Minimum time without data from a target after which a request that may be repeated waits for a slot at
/// another target.
const UNRESPONSIVE_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// Multiple of the expected time to the first event: after this time without data from a target, but no
/// earlier than after [`UNRESPONSIVE_TIMEOUT_MIN`], a request that may be repeated waits for a slot at
/// another target.
const UNRESPONSIVE_TIMEOUT_FACTOR: u32 = 4;
/// Time for which a request that is dispatched again waits for another target where its caller can be told
/// more than that the request was lost: the failure that a target answered, or that the request did not run.
const RETRY_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Time to the deadline of a request whose caller doesn't state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of the reducer, fixed for the lifetime of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address at which this process listens for other entry processes.
    pub address: SocketAddr,
    /// Number that differs with each start of the process.
    pub incarnation: u64,
    /// Availability zone of the process.
    pub zone: ZoneName,
    /// Maximum time since the configuration was last known to be current for which API keys are accepted.
    pub max_configuration_age: Duration,
    /// Time without a row or a new registration of another process after which that process certainly accepts
    /// no requests with an API key: it has stopped, or it is cut off and its configuration is older than
    /// `max_configuration_age`.
    pub peer_timeout: Duration,
    /// Limits of the retry budget of each pool.
    pub retry_budget: budget::RetryBudgetRule,
    /// How far accounts may exceed their limits.
    pub tolerance: allowance::Tolerance,
    /// Share of a pool's requests, from 0 to 1, that the version of a rollout may get before it is judged
    /// good.
    pub trial_share: f64,
}

/// Ages of the information that this process has about the platform; `None` where it has none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ages {
    /// Time since this process last confirmed that its configuration is current.
    pub confirmed: Option<Duration>,
    /// Time since the platform last answered this process or another one that reported it.
    pub answered: Option<Duration>,
}

/// State of the reducer.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    /// Time at which the process started.
    started: Instant,
    /// Configuration in force; `None` before the first one was read.
    configuration: Option<Arc<Configuration>>,
    /// Rank of the lowest tier among the routes of each pool that answer with streams; only of pools where
    /// such routes have several tiers.
    lowest_tiers: BTreeMap<PoolName, u32>,
    /// Lowest rank that any account has, which is the highest number.
    lowest_account_rank: u32,
    /// Medians to which the weights of accounts are relative.
    weights: Weights,
    /// Time by the boot clock at which the configuration was last confirmed to be current.
    confirmed: Option<Duration>,
    /// Whether the configuration counts as current, so that API keys are accepted.
    is_fresh: bool,
    /// Time by the boot clock at which the platform last answered this process or another one that
    /// reported it.
    platform_answered: Option<Duration>,
    /// Time until which the platform's list may lack running targets, after its last outage; `None` where
    /// there was none, or where another process reported that the platform answered it meanwhile.
    relisting_until: Option<Instant>,
    /// Last list of targets that was read from the platform or fetched from another process.
    target_list: Listing,
    /// Time at which the platform last answered a read of its list of targets.
    list_answered: Option<Instant>,
    /// Versions of the relayed data that other processes offer, by their addresses; only of processes with
    /// data that this one lacks.
    offers: BTreeMap<SocketAddr, Known>,
    /// Topics for which a fetch from another process is in flight.
    fetching: BTreeSet<Topic>,
    /// Whether targets that the platform's list lacks are still used, because an outage of the platform just
    /// ended.
    keeps_vanished: bool,
    /// Number of ready targets that get no requests because of their version, when it was last logged.
    unordered: usize,
    /// Era of the platform's service, which changes when the service is restored from a backup; `None` before
    /// the first answer of the service.
    era: Option<Era>,
    /// Time at which this process saw the current era begin; `None` in the first era that it saw.
    era_began: Option<Instant>,
    /// Targets that were removed from the platform's list, with their incarnations and the times of their
    /// removal.
    departed: BTreeMap<TargetName, (Incarnation, Instant)>,
    /// Whether any other process has sent an offer.
    has_received_offer: bool,
    capacity: Capacity,
    /// Requests that haven't ended.
    requests: HashMap<Ticket, PendingRequest>,
    /// Requests that wait for a slot, by pool, in the order in which they are dispatched.
    waiting: BTreeMap<PoolName, BTreeSet<QueueKey>>,
    /// Accounts of those requests, by pool; only of pools that accounts share by their work.
    shares: BTreeMap<PoolName, PoolFlows>,
    /// Times at which waiting requests may make one more reservation at an agent.
    reserve_at: BTreeSet<Instant>,
    /// Requests that wait for units of their account's limit.
    waiting_for_units: BTreeMap<AccountName, BTreeSet<QueueKey>>,
    /// Earliest time at which a request that waits for units of its account's limit gets them; `None` where
    /// it has to be computed again.
    next_grant: Option<Instant>,
    /// Timers of requests: the promotion, the end of the wait for a slot, or the deadline. Timers of requests
    /// that have ended are ignored.
    timers: BTreeSet<(Instant, Ticket)>,
    /// Token buckets of the limit of each account.
    accounts: BTreeMap<AccountName, Allowance>,
    /// Retry budgets by pool.
    budgets: BTreeMap<PoolName, RetryBudget>,
    /// Mean times for which requests hold their slots, by pool and tier.
    slot_times: SlotTimes,
    /// Recent starts of late requests, by pool.
    late_starts: BTreeMap<PoolName, late::Starts>,
    /// Agents at which the versions of begun streams are recorded.
    homes: Homes,
    /// Requests that lost their target and wait to go on from a copy.
    continuing: BTreeSet<Ticket>,
    /// Versions that are listed, and those that were lately.
    listed_versions: listed::History,
    /// Times at which the versions of resumed streams are looked up again.
    lookups: BTreeSet<(Instant, Ticket)>,
    /// Pace of the pools whose callers return in an order, and the steps that are due for them.
    returns: Returns,
    rollouts: Rollouts,
    peers: Peers,
    /// Index of this process among the entry processes that may take requests, and their number.
    process_index: ProcessIndex,
    /// Number of entry processes, this one included, whose rows are current.
    current_processes: u32,
    /// Number of entry processes, this one included, whose parts of accounts' limits this process may use
    /// (see [`Peers::usable_parts`]).
    usable_parts: u32,
    /// Parts of accounts' limits by demand; empty unless limits are leased.
    leases: leases::Leases,
    /// Sequence number of the last row that this process made about itself.
    sequence: u64,
    crashes: CrashCounts,
    /// Earliest time at which crash counts may be fetched from another process again.
    next_crash_fetch: Option<Instant>,
    /// Evidence on parts of prompts that crash targets.
    parts: Parts,
    /// Times at which answers on suspect parts will have been written for [`screen::PROOF_TIME`].
    proofs: BTreeSet<(Instant, Ticket)>,
    /// Dispatches whose connection broke off, until it is known whether their target crashed.
    broken_dispatches: Vec<BrokenDispatch>,
    /// Targets for which a probe is in flight, with their incarnations.
    probing: BTreeMap<TargetName, Incarnation>,
    /// Time at which the process ends; `None` unless it is draining.
    drain_end: Option<Instant>,
}

/// Facts about a dispatch in flight, for the log and the metrics.
#[derive(Clone, Copy, Debug)]
pub struct DispatchView<'a> {
    /// Request ID that the caller sent.
    pub id: &'a str,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: &'a [PartId],
    /// Name of the request's route.
    pub route: &'a str,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Number of requests of this process that are in flight at the target, this one included.
    pub running: u32,
    /// Number of requests of other processes that are in flight at the target, by their last rows or the
    /// last report of the target's agent.
    pub running_of_others: u32,
    /// Rate limit of the target in requests per second, and the time since it was stated; `None` where the
    /// target states no limit.
    pub limit: Option<(f64, Duration)>,
    /// Version of the configuration in force.
    pub configuration_version: u64,
    /// Time since the platform last answered a read of its list of targets; `None` where it never did.
    pub list_age: Option<Duration>,
    /// Units of the account's limit that the request took.
    pub units: f64,
    /// Number of tokens that the caller expects in the answer; `None` where it gave no hint.
    pub expected_tokens: Option<u32>,
    /// Account of the request; `None` on a public route.
    pub account: Option<&'a str>,
    /// Rank of the request's route; 0 is the highest.
    pub tier: u32,
    /// Time per token of an answer at the target in ms, as the target's agent last reported it; `None` where
    /// no agent reported it.
    pub token_ms: Option<f64>,
    /// Time since the dispatch.
    pub running_for: Duration,
    /// Version of the target's software.
    pub version: &'a str,
    /// Stream of an earlier attempt that the request resumes; `None` where the caller received nothing yet.
    pub resumption: Option<&'a Resumption>,
    /// Time from the dispatch to the first event of the answer; `None` before that.
    pub time_to_first_event: Option<Duration>,
    /// Time from the request's arrival to its deadline.
    pub timeout: Duration,
    /// Number of the dispatch among those of the request, from 1.
    pub attempt: u32,
    /// Whether the request waits for a slot at another target, since its own is unresponsive.
    pub is_seeking: bool,
    /// Whether the request waited for late service.
    pub is_late: bool,
    /// Work of the request; `None` where accounts don't share its pool by work.
    pub shared_work: Option<SharedWork>,
}

/// A dispatch whose connection broke off, possibly because its target crashed.
#[derive(Clone, Debug)]
struct BrokenDispatch {
    /// Time at which the connection broke off.
    at: Instant,
    target: String,
    /// Incarnation of the target.
    incarnation: Incarnation,
    /// Version of the target's software.
    version: VersionId,
    /// Time of the dispatch.
    dispatched_at: Instant,
    /// Fingerprint of the request.
    fingerprint: Fingerprint,
    request: BrokenRequest,
    /// Whether the answer was being written for [`screen::PROOF_TIME`], which clears the request's parts.
    has_proof: bool,
    /// Whether the answer ended with its connection, and is complete unless the target crashed.
    is_answered: bool,
    /// Whether the target accepted a connection afterwards: then only its restart proves that it crashed.
    is_target_reached: bool,
}

/// Returns the state of a process that just started, which knows no configuration, targets or other
/// processes.
pub fn open(now: Instant, settings: Settings) -> State {
    State {
        settings,
        started: now,
        configuration: None,
        lowest_tiers: BTreeMap::new(),
        lowest_account_rank: 0,
        weights: Weights::default(),
        confirmed: None,
        is_fresh: false,
        platform_answered: None,
        relisting_until: None,
        target_list: Listing::default(),
        list_answered: None,
        offers: BTreeMap::new(),
        fetching: BTreeSet::new(),
        keeps_vanished: false,
        unordered: 0,
        era: None,
        era_began: None,
        departed: BTreeMap::new(),
        has_received_offer: false,
        capacity: Capacity::default(),
        requests: HashMap::new(),
        waiting: BTreeMap::new(),
        shares: BTreeMap::new(),
        reserve_at: BTreeSet::new(),
        waiting_for_units: BTreeMap::new(),
        next_grant: None,
        timers: BTreeSet::new(),
        accounts: BTreeMap::new(),
        budgets: BTreeMap::new(),
        slot_times: SlotTimes::default(),
        late_starts: BTreeMap::new(),
        homes: Homes::default(),
        continuing: BTreeSet::new(),
        listed_versions: listed::History::default(),
        lookups: BTreeSet::new(),
        returns: Returns::default(),
        rollouts: Rollouts::default(),
        peers: Peers::default(),
        process_index: ProcessIndex { index: 0, count: 1 },
        current_processes: 1,
        usable_parts: 1,
        leases: leases::Leases::default(),
        sequence: 0,
        crashes: CrashCounts::default(),
        next_crash_fetch: None,
        parts: Parts::default(),
        proofs: BTreeSet::new(),
        broken_dispatches: Vec::new(),
        probing: BTreeMap::new(),
        drain_end: None,
    }
}

/// Applies one event to the state and returns the resulting effects.
pub fn reduce(state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    // The host may have been suspended since the last event, so the age of the configuration is checked
    // first.
    state.update_freshness(now, &mut effects);
    match event {
        Event::RequestReceived(request) => state.handle_arrival(now, request, &mut effects),
        Event::Granted { ticket, number, load } => {
            state.handle_grant(now.steady, ticket, number, load, &mut effects);
        }
        Event::Denied { ticket, number, reason } => {
            state.handle_denial(now.steady, ticket, number, reason, &mut effects)
        }
        Event::PartsRead(reports) => state.parts.merge(now.steady, &reports),
        Event::PartStored { part, era } => state.parts.mark_stored(part, era),
        Event::AnswerBegan { ticket } => {
            state.handle_answer_began(now.steady, ticket, &mut effects)
        }
        Event::AnswerUnframed { ticket } => {
            if let Some(in_flight) = state.in_flight(ticket) {
                in_flight.is_unframed = true;
            }
        }
        Event::RateLimitStated { ticket, per_second } => {
            state.handle_rate_limit(now.steady, ticket, per_second, &mut effects);
        }
        Event::LeavingStated { ticket } => {
            state.handle_leaving(now.steady, ticket, &mut effects);
        }
        Event::RestStated { ticket, time } => {
            state.handle_rest(now.steady, ticket, time, &mut effects);
        }
        Event::TargetUnresponsive { ticket, begun } => {
            state.handle_unresponsive_target(now.steady, ticket, begun);
            state.probe_silent_target(now.steady, ticket, &mut effects);
        }
        Event::StreamUnordered { ticket } => state.handle_unordered_stream(ticket),
        Event::TargetResumed { ticket } => {
            state.cancel_search(ticket, &mut effects);
        }
        Event::DispatchEnded { ticket, outcome, begun, events } => {
            state.handle_dispatch_ended(now, ticket, outcome, (begun, events), &mut effects);
        }
        Event::OriginAnswered { ticket, version, unanswered } => {
            state.handle_origin_answer(now.steady, ticket, version, unanswered, &mut effects);
        }
        Event::ReturnLookedUp { ticket, redemption } => {
            state.handle_redemption(now.steady, ticket, redemption, &mut effects);
        }
        Event::PromiseAnswered { ticket, answer } => {
            state.handle_promise(now.steady, ticket, answer, &mut effects);
        }
        Event::OriginUnrecorded { ticket, agent } => {
            state.replace_home(now.steady, ticket, agent, &mut effects);
        }
        Event::CallerDisconnected { ticket, .. } => {
            state.end_request(now.steady, ticket, &mut effects);
        }
        Event::ConfigurationRead(configuration) => {
            state.apply_configuration(configuration, &mut effects)
        }
        Event::RolloutOrdered(order) => {
            let step = state.rollouts.start(now.steady, order, Duration::ZERO);
            state.apply_steps(now.steady, step.into_iter().collect(), &mut effects);
        }
        Event::RolloutWithdrawn { pool, position } => {
            let step = state.rollouts.withdraw(now.steady, &pool, position);
            state.apply_steps(now.steady, step.into_iter().collect(), &mut effects);
        }
        Event::RolloutsReported(reports) => {
            for report in reports {
                let step = state.rollouts.apply_report(now.steady, &report);
                state.apply_steps(now.steady, step.into_iter().collect(), &mut effects);
            }
        }
        Event::ConfigurationConfirmed { boot, version, era } => {
            state.confirm(now, boot, version, era, &mut effects)
        }
        Event::TargetsListed(listing) => state.apply_read_list(now.steady, listing, &mut effects),
        Event::TargetListAnswered => state.record_list_answer(now),
        Event::TargetListConfirmed { at } => state.confirm_list(now.steady, at, &mut effects),
        Event::PeerOffered { peer, offer } => state.receive_offer(now, peer, offer),
        Event::Fetched { peer, topic, data } => {
            state.apply_fetched(now.steady, (peer, topic), data, &mut effects);
        }
        Event::PeersDiscovered(processes) => {
            let own = state.settings.address;
            for process in processes.into_iter().filter(|process| process.address != own) {
                state.peers.register(now.steady, process);
            }
            state.update_peers(now.steady, &mut effects);
        }
        Event::RowsReceived(rows) => state.receive_rows(now.steady, rows, &mut effects),
        Event::Probed { target, reached } => {
            state.handle_probe_result(now.steady, &target, reached, &mut effects);
            state.resolve_lost_target(now.steady, &target, reached, &mut effects);
        }
        Event::Drain { end } => state.drain_end = Some(end),
        Event::Tick => state.update_peers(now.steady, &mut effects),
    }
    state.update_freshness(now, &mut effects);
    state.drop_vanished_targets(now.steady, &mut effects);
    state.start_fetches(now.steady, &mut effects);
    state.repeat_lookups(now.steady, &mut effects);
    state.admit_limited(now.steady);
    state.take_return_steps(now.steady, &mut effects);
    state.handle_due_timers(now.steady, &mut effects);
    state.update_parts(now.steady, &mut effects);
    state.dispatch_waiting(now, &mut effects);
    state.continue_streams(now.steady, &mut effects);
    state.place_copies(now.steady, &mut effects);
    state.record_late_starts(now.steady, &effects);
    state.report_continuations(now.steady, &mut effects);
    state.use_held_units(now.steady, &effects);
    effects
}

/// Returns the time at which the next [`Event::Tick`] is due unless another event comes first; `None` where
/// none is due.
pub fn next_wake(state: &State, now: Instant) -> Option<Instant> {
    let next_timer = state.timers.first().map(|&(at, _)| at);
    let has_waiting = state.waiting.values().any(|queue| !queue.is_empty());
    let next_up = if has_waiting { state.capacity.next_available(now) } else { None };
    let next_reservation = state.reserve_at.first().copied();
    let next_lookup = state.lookups.first().map(|&(at, _)| at);
    let next_proof = state.proofs.first().map(|&(at, _)| at);
    let others = state.next_grant.into_iter().chain(next_reservation).chain(next_lookup);
    let others = others.chain(next_proof).chain(state.returns.next_step_at());
    next_timer.into_iter().chain(next_up).chain(others).min()
}

impl State {
    /// Returns the number of targets that state a rate limit.
    pub fn limited_targets(&self) -> usize {
        self.capacity.limited_count()
    }

    /// Returns whether a load balancer should send requests to this process.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.is_fresh && self.drain_end.is_none()
    }

    /// Returns the number of requests that haven't ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the last row of the process at this address is current.
    pub fn is_row_current(&self, now: Instant, address: SocketAddr) -> bool {
        self.peers.has_current_row_of(now, address)
    }

    /// Returns facts about the dispatch of a request; `None` where the request isn't in flight at a target.
    pub fn dispatch_view(&self, ticket: Ticket, now: Instant) -> Option<DispatchView<'_>> {
        let pending = self.requests.get(&ticket)?;
        let in_flight = pending.in_flight()?;
        let state = self.capacity.state(&in_flight.slot.target);
        Some(DispatchView {
            id: &pending.request.id,
            shared_parts: &pending.request.shared_parts,
            route: &pending.route,
            waited: now.saturating_duration_since(pending.arrived),
            running: state.map_or(0, |state| state.own_requests),
            running_of_others: state.map_or(0, |state| state.other_requests),
            limit: state.and_then(|state| state.limit_per_second(now)),
            configuration_version: self
                .configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version),
            list_age: self.list_age(now),
            units: pending.units,
            expected_tokens: pending.request.expected_tokens,
            account: pending.account.as_deref(),
            tier: pending.tier,
            token_ms: state.and_then(|state| state.ms_per_token()),
            running_for: now.saturating_duration_since(in_flight.dispatched_at),
            version: &in_flight.slot.version,
            resumption: pending.request.resumption.as_ref(),
            time_to_first_event: in_flight.time_to_first_event,
            timeout: pending.deadline.saturating_duration_since(pending.arrived),
            attempt: pending.dispatches,
            is_seeking: matches!(pending.stage, Stage::SeekingOtherTarget(_)),
            is_late: pending.is_late,
            shared_work: pending.shared_work(),
        })
    }

    /// Returns the facts on which a refusal of this request would be based, for the log.
    fn refusal_context(&self, now: Instant, ticket: Ticket) -> RefusalContext {
        let Some(pending) = self.requests.get(&ticket) else {
            return RefusalContext::default();
        };
        let queue = self.waiting.get(&pending.pool);
        let (free, slots) = self.capacity.free_and_total_slots(now, &pending.pool);
        let demand = pending.demand(now, &pending.pool, &self.settings.zone, (&[], &[]));
        RefusalContext {
            route: pending.route.clone(),
            account: pending.account.clone(),
            tier: Some(pending.tier),
            expected_tokens: pending.request.expected_tokens,
            waited: now.saturating_duration_since(pending.arrived),
            max_wait: pending.wait_deadline.saturating_duration_since(pending.arrived),
            fits: self.capacity.count_fitting(now, &demand),
            time_left: pending.deadline.saturating_duration_since(now),
            has_begun: pending.has_begun,
            is_late: pending.is_late,
            attempts: (pending.possibly_ran_at.len(), pending.max_attempts),
            is_quarantined: self.is_refused(now, pending),
            ahead: queue.map_or(0, |queue| queue.range(..pending.queue_key()).count()),
            free_slots: free,
            slots,
            oldest_row: self.peers.oldest_current_row_age(now),
            shared_work: pending.shared_work(),
        }
    }

    /// Returns the time since the platform last answered a read of its list of targets; `None` where it never
    /// did.
    pub fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_answered.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the ages of the information that this process has about the platform.
    pub fn ages(&self, now: Now) -> Ages {
        let age = |at: Duration| now.boot.saturating_sub(at);
        Ages { confirmed: self.confirmed.map(age), answered: self.platform_answered.map(age) }
    }

    /// Returns whether the row of any other process that may take requests is missing or out of date.
    pub fn is_missing_peers(&self, now: Instant) -> bool {
        let peer_timeout = self.settings.peer_timeout;
        self.peers.current_count(now, peer_timeout) < self.peers.active_count(now, peer_timeout)
    }

    /// Returns the configuration in force; `None` where none was read yet.
    pub fn configuration_in_force(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the addresses of the other entry processes that may be alive.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.addresses()
    }

    /// Builds a new row about this process, with the next sequence number, to send to the others.
    pub fn next_row(&mut self, now: Instant) -> Row {
        self.sequence += 1;
        let account_usages = self.own_usages(now);
        Row {
            address: Some(self.settings.address),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            age: Duration::ZERO,
            has_drained: self.drain_end.is_some() && self.requests.is_empty(),
            current_peers: self.peers.current_addresses(now),
            unheard_peers: self.peers.unheard_addresses(now, self.settings.peer_timeout),
            uptime: now.saturating_duration_since(self.started),
            account_usages,
            claims: self.leases.holdings.claims(now),
            oldest_row_age: self.own_oldest_row_age(now),
            target_loads: self.capacity.own_load(now),
            target_limits: self.capacity.limit_reports(now).map(target_limit).collect(),
            leaving_targets: self.capacity.unlisted_leaving(),
            rollouts: self.own_rollouts(now),
        }
    }

    /// Returns the rows of other processes that are relayed, since some process can't get them directly.
    pub fn peer_rows(&self, now: Instant) -> Vec<Row> {
        self.peers.lacked_rows(now, self.settings.peer_timeout)
    }
}

fn target_limit((state, limit): (&TargetState, Limit)) -> TargetLimit {
    let Target { name, incarnation, .. } = &state.target;
    TargetLimit { target: name.clone(), incarnation: *incarnation, limit }
}

fn refusal(reason: RefusalReason) -> Refusal {
    Refusal { reason, not_run: true, retry_after: None, shortage: None }
}

impl Refusal {
    fn with_retry_after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }
}
