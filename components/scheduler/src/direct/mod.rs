//! The reducer of direct dispatch: requests go from the entry process straight to targets that
//! have no agent beside them.
//!
//! A request waits here until a target has room, highest tier first, and is dispatched once. What
//! may be repeated is dispatched again within the route's attempts and the pool's budget.

mod admit;
pub mod allowance;
pub mod budget;
pub mod capacity;
pub mod crashes;
mod era;
pub mod event;
mod holds;
mod limits;
pub mod peers;
mod pending;
pub mod plan;
mod queue;
mod rates;
pub mod relay;
mod reserve;
pub mod rollout;
mod seek;
mod settle;
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
    id::{AccountName, Fingerprint, PoolName, TargetName, ZoneName},
    reservation::Limit,
};

use allowance::Allowance;
use budget::Budget;
use capacity::{Capacity, Place, TargetState};
use crashes::Crashes;
pub use event::{
    Effect, Event, Fits, Grounds, Incarnation, Introduction, Lack, Lapse, Note, Now, Outcome,
    Reason, Refusal, Request, Reservation, Start, Target, Ticket, Tokens,
};
use holds::Holds;
use peers::{Limited, Peers, Row, Use};
use pending::{Order, Pending, Stage};
use plan::Plan;
use relay::{Era, Known, Listing, Topic};
use rollout::Rollouts;

/// Gives the same in all processes.
const HASHER: BuildHasherDefault<DefaultHasher> = BuildHasherDefault::new();
/// Time for which a target that vanished from the platform's list in an outage is still used:
/// living ones are listed again within two seconds of the outage's end.
const RETURN: Duration = Duration::from_millis(2_200);
/// Longest time between two answers of the platform that isn't an outage.
const SILENCE: Duration = Duration::from_millis(2_800);
/// Crashes after which a body is refused.
const CRASHES: u32 = 2;
/// Time within which a target that takes no connection is blamed on what it ran before.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Part of a request's wait for which it may wait for units of its account's limit: whoever is refused
/// then still comes back in time to be served.
const LIMIT_WAIT_PART: f64 = 0.4;
/// Longest time to come back in, where an account is beyond its limit, in seconds.
const LIMIT_RETRY_MAX: f64 = 30.0;
/// Longest time to come back in, where no target has room.
const RETRY_MAX: Duration = Duration::from_secs(4);
/// Time to come back in, where no target has room.
const RETRY: Duration = Duration::from_millis(400);
/// Part of the aim after which a request that still waits is refused: what is left is about the time
/// to the first event. Later work earns a third at most and takes as much from what can be on time.
const WAIT_PART: f64 = 0.75;
/// Part of its wait from which on a request's account decides over its place.
const PROMOTE_PART: f64 = 0.75;
/// Shortest time for which a request waits for room.
const WAIT_MIN: Duration = Duration::from_millis(250);
/// Part of the time that is left in which a refused caller is told to come back: late enough for a
/// burst to pass, early enough to be served then.
const RETRY_PART: f64 = 0.25;
/// Shortest silence of a target after which a request that may be repeated waits for room at another.
const SILENT: Duration = Duration::from_millis(500);
/// The same in multiples of the time to the first event that was expected.
const SILENT_TIMES: u32 = 4;
/// Time for which a request that may have run waits for another target while nothing of its answer went to
/// its caller, who may ask again itself after that.
const REPEAT_WAIT: Duration = Duration::from_millis(1_500);
/// Time that is assumed where a caller doesn't say how long it waits.
const PATIENCE: Duration = Duration::from_secs(30);

/// What the reducer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this process listens for other entry processes.
    pub address: SocketAddr,
    /// Differs with each start of the process.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Longest time since the configuration was known to be current for which keys count.
    pub freshness: Duration,
    /// Time after which a process that is silent can't take requests with a key any more.
    pub gone: Duration,
    /// What may be repeated.
    pub repeats: budget::Rule,
    /// How far accounts may pass their limits.
    pub tolerance: allowance::Tolerance,
    /// Share of a pool's requests, from 0 to 1, that a version may get before it is found good.
    pub exposure: f64,
}

/// How old what is known of the platform is; `None` where nothing is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ages {
    /// Age of the last proof of this process that the configuration is current.
    pub proof: Option<Duration>,
    /// Time since the platform last answered this process or one that it hears.
    pub answered: Option<Duration>,
}

/// Everything that direct dispatch decides from.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    /// When the process started.
    opened: Instant,
    plan: Option<Arc<Plan>>,
    /// Rank of the lowest tier of each pool that has several.
    lowest: BTreeMap<PoolName, u32>,
    /// The lowest rank that an account has.
    lowest_account: u32,
    /// When the plan was last known to be current, by the boot clock.
    confirmed: Option<Duration>,
    fresh: bool,
    /// When the platform last answered this process or one that it relies on, by the boot clock.
    answered: Option<Duration>,
    /// When the platform's last outage ended.
    outage: Option<Instant>,
    /// The last list that was read or relayed.
    listing: Listing,
    /// When the platform last answered a read of its list.
    list_answered: Option<Instant>,
    /// What others have; of those only that are ahead of this process in something.
    offers: BTreeMap<SocketAddr, Known>,
    /// What is being fetched from one of them.
    fetching: BTreeSet<Topic>,
    /// Whether targets that vanished from it may still be used.
    keeps_vanished: bool,
    /// The platform's era.
    era: Option<Era>,
    /// When this process saw it begin; `None` for the first that it saw.
    era_began: Option<Instant>,
    /// Targets that are listed no more, their starts, and when they went.
    left: BTreeMap<TargetName, (Incarnation, Instant)>,
    /// Whether another process told what it has.
    heard_offer: bool,
    capacity: Capacity,
    requests: HashMap<Ticket, Pending>,
    waiting: BTreeMap<PoolName, BTreeSet<Order>>,
    /// When requests that wait may be reserved at one more agent.
    reserve_at: BTreeSet<Instant>,
    /// Requests that wait for their account's limit.
    limited: BTreeMap<AccountName, BTreeSet<Order>>,
    /// When the first of them may go on, as far as that is known: `None` where they have to be looked
    /// through.
    next_grant: Option<Instant>,
    timers: BTreeSet<(Instant, Ticket)>,
    accounts: BTreeMap<AccountName, Allowance>,
    budgets: BTreeMap<PoolName, Budget>,
    holds: Holds,
    rollouts: Rollouts,
    peers: Peers,
    place: Place,
    /// Entry processes, this one included, whose rows are current.
    heard: u32,
    /// Entry processes, this one included, whose parts of limits this one may use.
    together: u32,
    sequence: u64,
    crashes: Crashes,
    /// When counts of crashes may be fetched again.
    crashes_at: Option<Instant>,
    /// Bodies whose connection broke off, by target, until it is known whether that died.
    lost: Vec<Loss>,
    /// Targets that are asked whether they take connections, and their starts.
    probing: BTreeMap<TargetName, Incarnation>,
    /// When the process ends, once it leaves.
    draining: Option<Instant>,
}

/// What a dispatch was decided from.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Id that the caller gave.
    pub id: &'a str,
    /// Its route.
    pub route: &'a str,
    /// Time since it arrived.
    pub waited: Duration,
    /// Requests of this process that the target has, this one included.
    pub running: u32,
    /// Requests of the others that it has, by their last rows.
    pub elsewhere: u32,
    /// Requests a second that the target was last heard to take, and the age of that; `None` where it
    /// names no limit.
    pub limit: Option<(f64, Duration)>,
    /// Version of the configuration.
    pub plan: u64,
    /// Time since the platform last answered a read of its list of targets; `None` where it never did.
    pub list_age: Option<Duration>,
    /// Units that it took of its account's limit.
    pub units: f64,
    /// Tokens of the answer that its caller expects.
    pub expected: Option<u32>,
    /// Whose it is.
    pub account: Option<&'a str>,
    /// Rank of its route.
    pub tier: u32,
    /// Time for each token of an answer at the target, in ms, as its agent last said.
    pub pace: Option<f64>,
    /// Time since its dispatch.
    pub running_for: Duration,
    /// Time from its dispatch to the first event, once that came.
    pub first: Option<Duration>,
    /// Time that its caller gave.
    pub patience: Duration,
    /// Which dispatch it is, from 1.
    pub attempt: u32,
    /// Whether it waits for room at another target, since its own is silent.
    pub seeks: bool,
}

#[derive(Clone, Debug)]
struct Loss {
    at: Instant,
    target: String,
    body: Fingerprint,
    /// Whether the target took a connection after that: then only another start of it shows that it died.
    reached: bool,
}

/// Gives the state of a process that knows nothing yet.
pub fn open(now: Instant, settings: Settings) -> State {
    State {
        settings,
        opened: now,
        plan: None,
        lowest: BTreeMap::new(),
        lowest_account: 0,
        confirmed: None,
        fresh: false,
        answered: None,
        outage: None,
        listing: Listing::default(),
        list_answered: None,
        offers: BTreeMap::new(),
        fetching: BTreeSet::new(),
        keeps_vanished: false,
        era: None,
        era_began: None,
        left: BTreeMap::new(),
        heard_offer: false,
        capacity: Capacity::default(),
        requests: HashMap::new(),
        waiting: BTreeMap::new(),
        reserve_at: BTreeSet::new(),
        limited: BTreeMap::new(),
        next_grant: None,
        timers: BTreeSet::new(),
        accounts: BTreeMap::new(),
        budgets: BTreeMap::new(),
        holds: Holds::default(),
        rollouts: Rollouts::default(),
        peers: Peers::default(),
        place: Place { index: 0, among: 1 },
        heard: 1,
        together: 1,
        sequence: 0,
        crashes: Crashes::default(),
        crashes_at: None,
        lost: Vec::new(),
        probing: BTreeMap::new(),
        draining: None,
    }
}

/// Takes one event in and gives what has to be done about it.
pub fn reduce(state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    // What happens after a suspension mustn't be decided by what was true before it.
    state.freshen(now, &mut effects);
    match event {
        Event::Arrived(request) => state.arrive(now, request, &mut effects),
        Event::Granted { ticket, number, load } => {
            state.granted(now.steady, ticket, number, load, &mut effects);
        }
        Event::Denied { ticket, number, lapse } => state.denied(now.steady, ticket, number, lapse),
        Event::Began { ticket } => state.began(now.steady, ticket, &mut effects),
        Event::Limited { ticket, per_second } => {
            state.limited(now.steady, ticket, per_second, &mut effects);
        }
        Event::Quiet { ticket, begun } => state.quiet(now.steady, ticket, begun),
        Event::Spoke { ticket } => {
            state.stay(ticket, &mut effects);
        }
        Event::Ended { ticket, outcome, begun, events } => {
            state.ended(now, ticket, outcome, (begun, events), &mut effects);
        }
        Event::Left { ticket, .. } => {
            state.remove(ticket, &mut effects);
        }
        Event::Planned(plan) => state.plan(plan, &mut effects),
        Event::Ordered(order) => {
            let step = state.rollouts.order(now.steady, order, Duration::ZERO);
            state.step(now.steady, step.into_iter().collect(), &mut effects);
        }
        Event::Withdrawn { pool, position } => {
            let step = state.rollouts.withdraw(now.steady, &pool, position);
            state.step(now.steady, step.into_iter().collect(), &mut effects);
        }
        Event::Reported(reports) => {
            for report in reports {
                let step = state.rollouts.report(now.steady, &report);
                state.step(now.steady, step.into_iter().collect(), &mut effects);
            }
        }
        Event::Confirmed { boot, version, era } => state.confirm(now, boot, version, era),
        Event::Listed(listing) => state.take_over(now.steady, listing, &mut effects),
        Event::ListAnswered => state.list_answered(now),
        Event::Offered { peer, offer } => state.offered(now, peer, offer),
        Event::Fetched { peer, topic, news } => {
            state.fetched(now.steady, (peer, topic), news, &mut effects);
        }
        Event::Introduced(processes) => {
            let own = state.settings.address;
            for process in processes.into_iter().filter(|process| process.address != own) {
                state.peers.introduce(now.steady, process);
            }
            state.look_round(now.steady, &mut effects);
        }
        Event::Heard(rows) => state.hear(now.steady, rows, &mut effects),
        Event::Probed { target, reached } => {
            state.probed(now.steady, &target, reached, &mut effects);
        }
        Event::Drain { end } => state.draining = Some(end),
        Event::Tick => state.look_round(now.steady, &mut effects),
    }
    state.freshen(now, &mut effects);
    state.relist(now.steady, &mut effects);
    state.fetch(now.steady, &mut effects);
    state.grant(now.steady);
    state.expire(now.steady, &mut effects);
    state.place(now, &mut effects);
    effects
}

/// When the next `Event::Tick` is due, if nothing else happens before.
pub fn next_wake(state: &State, now: Instant) -> Option<Instant> {
    let timer = state.timers.first().map(|&(at, _)| at);
    let waits = state.waiting.values().any(|queue| !queue.is_empty());
    let up = if waits { state.capacity.next_up(now) } else { None };
    let reserve = state.reserve_at.first().copied();
    timer.into_iter().chain(up).chain(state.next_grant).chain(reserve).min()
}

impl State {
    /// Targets that name a rate limit.
    pub fn limited_targets(&self) -> usize {
        self.capacity.limited()
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.plan.is_some() && self.fresh && self.draining.is_none()
    }

    /// Requests that haven't ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether another process's row is current.
    pub fn hears(&self, now: Instant, address: SocketAddr) -> bool {
        self.peers.hears(now, address)
    }

    /// What a dispatch was decided from.
    pub fn view(&self, ticket: Ticket, now: Instant) -> Option<View<'_>> {
        let pending = self.requests.get(&ticket)?;
        let running = pending.running()?;
        let since = running.since;
        let state = self.capacity.state(&running.slot.target);
        Some(View {
            id: &pending.request.id,
            route: &pending.route,
            waited: now.saturating_duration_since(pending.arrived),
            running: state.map_or(0, |state| state.own),
            elsewhere: state.map_or(0, |state| state.others),
            limit: state.and_then(|state| state.limit(now)),
            plan: self.plan.as_ref().map_or(0, |plan| plan.version),
            list_age: self.list_age(now),
            units: pending.units,
            expected: pending.request.expected,
            account: pending.account.as_deref(),
            tier: pending.tier,
            pace: state.and_then(|state| state.pace()),
            running_for: now.saturating_duration_since(since),
            first: running.first,
            patience: pending.until.saturating_duration_since(pending.arrived),
            attempt: pending.dispatches,
            seeks: matches!(pending.stage, Stage::Seeking(_)),
        })
    }

    /// What a refusal of a request is decided from.
    fn grounds(&self, now: Instant, ticket: Ticket) -> Grounds {
        let Some(pending) = self.requests.get(&ticket) else {
            return Grounds::default();
        };
        let queue = self.waiting.get(&pending.pool);
        let (free, slots) = self.capacity.slots(now, &pending.pool);
        let demand = pending.demand(now, &pending.pool, &self.settings.zone, (&[], &[]));
        Grounds {
            route: pending.route.clone(),
            account: pending.account.clone(),
            tier: Some(pending.tier),
            expected: pending.request.expected,
            waited: now.saturating_duration_since(pending.arrived),
            wait: pending.give_up.saturating_duration_since(pending.arrived),
            fits: self.capacity.fits(now, &demand),
            left: pending.until.saturating_duration_since(now),
            begun: pending.begun,
            ran: (pending.tried.len(), pending.attempts),
            quarantined: self.is_quarantined(&pending.request.fingerprint),
            ahead: queue.map_or(0, |queue| queue.range(..pending.order()).count()),
            free,
            slots,
            rows: self.peers.oldest(now),
        }
    }

    /// Time since the platform last answered a read of its list of targets; `None` where it never did.
    pub fn list_age(&self, now: Instant) -> Option<Duration> {
        self.list_answered.map(|at| now.saturating_duration_since(at))
    }

    /// How old what is known of the platform is.
    pub fn ages(&self, now: Now) -> Ages {
        let age = |at: Duration| now.boot.saturating_sub(at);
        Ages { proof: self.confirmed.map(age), answered: self.answered.map(age) }
    }

    /// Whether another process that may take requests isn't heard.
    pub fn is_lonely(&self, now: Instant) -> bool {
        let gone = self.settings.gone;
        self.peers.heard(now, gone) < self.peers.expected(now, gone)
    }

    /// The configuration in force.
    pub fn plan_in_force(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Other entry processes that may be alive.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.addresses()
    }

    /// What this process says of itself.
    pub fn row(&mut self, now: Instant) -> Row {
        self.sequence += 1;
        Row {
            address: Some(self.settings.address),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            age: Duration::ZERO,
            leaving: self.draining.is_some() && self.requests.is_empty(),
            hears: self.peers.heard_addresses(now),
            uptime: now.saturating_duration_since(self.opened),
            accounts: self.accounts.iter().map(used).collect(),
            running: self.capacity.running(now),
            limits: self.capacity.limits(now).map(limited).collect(),
            rollouts: self.shares(now),
        }
    }

    /// What this process knows of the others.
    pub fn rows(&self, now: Instant) -> Vec<Row> {
        self.peers.rows(now).collect()
    }
}

fn used((account, usage): (&AccountName, &Allowance)) -> Use {
    Use { account: account.clone(), spent: usage.spent, left: usage.left() }
}

fn limited((state, limit): (&TargetState, Limit)) -> Limited {
    let Target { name, incarnation, .. } = &state.target;
    Limited { target: name.clone(), incarnation: *incarnation, limit }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal { reason, not_run: true, retry_after: None, lack: None }
}

impl Refusal {
    fn after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }
}
