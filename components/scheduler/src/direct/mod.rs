//! The reducer of direct dispatch: requests go from the entry process straight to targets that
//! have no agent beside them.
//!
//! A request waits here until a target has room, highest tier first, and is dispatched once. What
//! may be repeated is dispatched again within the route's attempts and the pool's budget.

pub mod allowance;
pub mod budget;
pub mod event;
pub mod peers;
mod pending;
pub mod plan;
pub mod room;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::id::{AccountName, Fingerprint, PoolName, TargetName, ZoneName};

use allowance::{Allowance, Share};
use budget::Budget;
pub use event::{
    Effect, Event, Introduction, Lack, Note, Now, Outcome, Reason, Refusal, Request, Start, Target,
    Ticket, Tokens,
};
use peers::{Peers, Row, Told, Use};
use pending::{Order, Pending, Running, Stage};
use plan::{Plan, Repeat};
use room::{Place, Room, Taken, Wish};

/// Time for which a target that vanished from the platform's list in an outage is still used:
/// living ones are listed again within two seconds of the outage's end.
const RETURN: Duration = Duration::from_millis(2_200);
/// Longest time between two answers of the platform that isn't an outage.
const SILENCE: Duration = Duration::from_millis(2_800);
/// Crashes after which a body is refused.
const CRASHES: u32 = 2;
/// Time within which a target that takes no connection is blamed on what it ran before.
const BLAME: Duration = Duration::from_secs(2);
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
const PRESS_PART: f64 = 0.75;
/// Shortest time for which a request waits for room.
const WAIT_MIN: Duration = Duration::from_millis(250);
/// Part of the time that is left in which a refused caller is told to come back: late enough for a
/// burst to pass, early enough to be served then.
const RETRY_PART: f64 = 0.25;
/// Shortest silence of a target after which a request that may be repeated is dispatched elsewhere.
const SILENT: Duration = Duration::from_millis(500);
/// The same in multiples of the time to the first event that was expected.
const SILENT_TIMES: u32 = 4;
/// Time for which a stream that broke off waits for another target.
const RESUME_WAIT: Duration = Duration::from_millis(1_500);
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
    /// When the platform was silent for the last time.
    outage: Option<Instant>,
    /// The last list, while vanished targets are still used.
    listed: Option<Vec<Target>>,
    room: Room,
    requests: HashMap<Ticket, Pending>,
    waiting: BTreeMap<PoolName, BTreeSet<Order>>,
    timers: BTreeSet<(Instant, Ticket)>,
    accounts: BTreeMap<AccountName, Allowance>,
    budgets: BTreeMap<PoolName, Budget>,
    peers: Peers,
    place: Place,
    /// Entry processes, this one included, that share what is left of limits.
    together: u32,
    sequence: u64,
    crashes: BTreeMap<Fingerprint, u32>,
    /// Bodies whose connection broke off, by target, until it is known whether that died.
    lost: Vec<Loss>,
    /// Targets that are asked whether they take connections.
    probing: BTreeSet<TargetName>,
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
    /// Version of the configuration.
    pub plan: u64,
    /// Units that it took of its account's limit.
    pub units: f64,
    /// Whose it is.
    pub account: Option<&'a str>,
    /// Rank of its route.
    pub tier: u32,
    /// Time since its dispatch.
    pub running_for: Duration,
    /// Which dispatch it is, from 1.
    pub attempt: u32,
}

#[derive(Clone, Debug)]
struct Loss {
    at: Instant,
    target: String,
    body: Fingerprint,
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
        outage: None,
        listed: None,
        room: Room::default(),
        requests: HashMap::new(),
        waiting: BTreeMap::new(),
        timers: BTreeSet::new(),
        accounts: BTreeMap::new(),
        budgets: BTreeMap::new(),
        peers: Peers::default(),
        place: Place { index: 0, among: 1 },
        together: 1,
        sequence: 0,
        crashes: BTreeMap::new(),
        lost: Vec::new(),
        probing: BTreeSet::new(),
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
        Event::Began { ticket } => state.began(now.steady, ticket),
        Event::Ended { ticket, outcome, begun, events } => {
            state.ended(now, ticket, outcome, begun || events > 0, &mut effects);
        }
        Event::Left { ticket } => {
            state.remove(ticket);
        }
        Event::Planned(plan) => state.plan(plan, &mut effects),
        Event::Confirmed { boot } => state.confirm(now, boot),
        Event::Targets(targets) => state.list(now.steady, targets, &mut effects),
        Event::Introduced(processes) => {
            let own = state.settings.address;
            for process in processes.into_iter().filter(|process| process.address != own) {
                state.peers.introduce(now.steady, process);
            }
            state.look_round(now.steady, &mut effects);
        }
        Event::Heard(rows) => state.hear(now.steady, rows, &mut effects),
        Event::Probed { target, reached } => {
            state.probing.remove(&target);
            if !reached {
                state.room.mark_down(now.steady, &target);
                state.blame(now.steady, &target, &mut effects);
            }
        }
        Event::Drain { end } => state.draining = Some(end),
        Event::Tick => state.look_round(now.steady, &mut effects),
    }
    state.freshen(now, &mut effects);
    state.relist(now.steady, &mut effects);
    state.expire(now.steady, &mut effects);
    state.place(now, &mut effects);
    effects
}

/// When the next `Event::Tick` is due, if nothing else happens before.
pub fn next_wake(state: &State, now: Instant) -> Option<Instant> {
    let timer = state.timers.first().map(|&(at, _)| at);
    let waits = state.waiting.values().any(|queue| !queue.is_empty());
    let up = if waits { state.room.next_up(now) } else { None };
    timer.into_iter().chain(up).min()
}

impl State {
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
        let Stage::Running(running) = &pending.stage else {
            return None;
        };
        let since = running.since;
        let seat = self.room.seat(&running.taken.target);
        Some(View {
            id: &pending.request.id,
            route: &pending.route,
            waited: now.saturating_duration_since(pending.arrived),
            running: seat.map_or(0, |seat| seat.own),
            elsewhere: seat.map_or(0, |seat| seat.others),
            plan: self.plan.as_ref().map_or(0, |plan| plan.version),
            units: pending.units,
            account: pending.account.as_deref(),
            tier: pending.tier,
            running_for: now.saturating_duration_since(since),
            attempt: pending.dispatches,
        })
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
            running: self.room.running(),
            crashes: self.crashes.iter().map(|(body, times)| (*body, *times)).collect(),
        }
    }

    /// What this process knows of the others.
    pub fn rows(&self, now: Instant) -> Vec<Row> {
        self.peers.rows(now).collect()
    }

    fn arrive(&mut self, now: Now, request: Request, effects: &mut Vec<Effect>) {
        let ticket = request.ticket;
        match self.admit(now, request) {
            Ok(pending) => {
                self.requests.insert(ticket, pending);
                self.enqueue(ticket);
            }
            Err(refusal) => effects.push(Effect::Refuse { ticket, refusal }),
        }
    }

    fn admit(&mut self, now: Now, request: Request) -> Result<Pending, Refusal> {
        let plan = self.plan.clone().ok_or(refuse(Reason::NotReady).after(RETRY))?;
        // A configuration that may be out of date may lack the route or the key.
        let no_route = if self.fresh { Reason::NoRoute } else { Reason::NotReady };
        let route = plan.route(&request.host, &request.path).ok_or(refuse(no_route))?;
        let account = self.authenticate(&plan, route.public, request.key.as_deref())?;
        let patience = request.patience.unwrap_or(PATIENCE).min(route.timeout);
        if self.draining.is_some_and(|end| now.steady + patience > end) {
            return Err(refuse(Reason::Draining).after(Duration::ZERO));
        }
        let pool = route.pool(request.draw).ok_or(refuse(Reason::NoRoute))?.clone();
        if self.is_quarantined(&request.fingerprint) {
            return Err(refuse(Reason::Quarantined));
        }
        let held = account.as_ref().and_then(|name| plan.accounts.get(name));
        let units = match (&account, held.and_then(|account| account.limit)) {
            (Some(name), Some(limit)) => {
                self.spend(now.steady, name, &limit, route.rank, &request)?
            }
            _ => 0.0,
        };
        self.budgets.entry(pool.clone()).or_default().asked(now.steady, &self.settings.repeats);
        let wait = patience.min(WAIT_MIN.max(route.aim.mul_f64(WAIT_PART)));
        Ok(Pending {
            account_rank: held.map_or(0, |account| account.rank),
            lowest_account: self.lowest_account,
            tier: route.rank,
            press: now.steady + wait.mul_f64(PRESS_PART),
            pressed: false,
            arrived: now.steady,
            until: now.steady + patience,
            give_up: now.steady + wait,
            units,
            route: route.name.clone(),
            account,
            pool,
            repeat: route.repeat,
            stream: route.stream,
            attempts: route.attempts,
            dispatches: 0,
            ran: false,
            begun: false,
            tried: Vec::new(),
            stage: Stage::Waiting,
            request,
        })
    }

    fn authenticate(
        &self,
        plan: &Plan,
        public: bool,
        key: Option<&str>,
    ) -> Result<Option<AccountName>, Refusal> {
        if public || plan.accounts.is_empty() {
            return Ok(None);
        }
        if !self.fresh {
            return Err(refuse(Reason::NotReady).after(RETRY));
        }
        let account = key.and_then(|key| plan.keys.get(key));
        account.cloned().map(Some).ok_or(refuse(Reason::BadKey))
    }

    fn spend(
        &mut self,
        now: Instant,
        name: &AccountName,
        limit: &plan::Limit,
        rank: u32,
        request: &Request,
    ) -> Result<f64, Refusal> {
        let tokens =
            request.tokens.map(|tokens| f64::from(tokens.prompt) + f64::from(tokens.output));
        let units = if limit.tokens { tokens.unwrap_or(limit.plain) } else { 1.0 };
        // Calls of plain services are too small to make room for others.
        let rank = if tokens.is_some() { rank } else { 0 };
        let tolerance = self.settings.tolerance;
        let share = Share { among: self.place.among, together: self.together, tolerance };
        let opened = self.opened;
        let usage = self.accounts.entry(name.clone()).or_insert_with(|| allowance::open(opened));
        match usage.take(now, limit, share, rank, units) {
            Ok(()) => Ok(units),
            Err(lack) => {
                let wait = ((lack.units - lack.left) / lack.rate).clamp(0.0, LIMIT_RETRY_MAX);
                let refusal = refuse(Reason::Limit).after(Duration::from_secs_f64(wait));
                Err(Refusal { lack: Some(lack), ..refusal })
            }
        }
    }

    fn began(&mut self, now: Instant, ticket: Ticket) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        if let Stage::Running(running) = &mut pending.stage {
            let first = now.saturating_duration_since(running.since);
            self.room.learn(&mut running.taken, first);
        }
    }

    fn ended(
        &mut self,
        now: Now,
        ticket: Ticket,
        outcome: Outcome,
        begun: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Stage::Running(Running { taken, .. }) =
            std::mem::replace(&mut pending.stage, Stage::Waiting)
        else {
            return;
        };
        let target = taken.target.clone();
        pending.begun |= begun;
        pending.ran |= outcome.may_have_run();
        let body = pending.request.fingerprint;
        self.room.release(&taken);
        let failed = matches!(outcome, Outcome::Failed | Outcome::Lost { .. } | Outcome::Silent);
        if failed || outcome == Outcome::Done {
            self.room.judge(&target, failed);
        }
        match outcome {
            Outcome::Done => {
                self.remove(ticket);
            }
            Outcome::Rejected => {
                self.room.mark_full(now.steady, &target);
                self.again(now, ticket, true, effects);
            }
            Outcome::Replaced => {
                self.room.mark_gone(&target);
                self.again(now, ticket, true, effects);
            }
            Outcome::Unreached => {
                self.room.mark_down(now.steady, &target);
                self.blame(now.steady, &target, effects);
                self.again(now, ticket, false, effects);
            }
            Outcome::Failed => self.repeat(now, ticket, target, Outcome::Failed, effects),
            Outcome::Silent => {
                self.room.mark_down(now.steady, &target);
                self.repeat(now, ticket, target, outcome, effects);
            }
            Outcome::Lost { crashed } => {
                if crashed {
                    let loss = Loss { at: now.steady, target: target.clone(), body };
                    self.lost.push(loss);
                    self.probe(&target, effects);
                }
                self.repeat(now, ticket, target, outcome, effects);
            }
            Outcome::Expired => self.refuse(now.steady, ticket, Reason::Expired, true, effects),
        }
    }

    /// Puts a request back that this target did not run.
    fn again(&mut self, now: Now, ticket: Ticket, arrived: bool, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        if arrived && !self.pay(now.steady, &pending.pool.clone()) {
            return self.refuse(now.steady, ticket, Reason::Unserved, false, effects);
        }
        self.enqueue(ticket);
    }

    /// Dispatches a request again that may have run, where that is allowed.
    fn repeat(
        &mut self,
        now: Now,
        ticket: Ticket,
        target: String,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        pending.tried.push(target);
        let allowed = pending.may_repeat(pending.tried.len());
        let (pool, body) = (pending.pool.clone(), pending.request.fingerprint);
        let harmless = !self.is_quarantined(&body);
        if allowed && harmless && self.pay(now.steady, &pool) {
            if let Some(pending) = self.requests.get_mut(&ticket) {
                pending.give_up = pending.until.min(now.steady + RESUME_WAIT);
            }
            return self.enqueue(ticket);
        }
        if outcome == Outcome::Failed {
            self.remove(ticket);
            return effects.push(Effect::Pass { ticket });
        }
        self.refuse(now.steady, ticket, Reason::Lost, true, effects);
    }

    fn pay(&mut self, now: Instant, pool: &PoolName) -> bool {
        let budget = self.budgets.entry(pool.clone()).or_default();
        budget.repeat(now, &self.settings.repeats, self.place.among)
    }

    /// Asks whether a target still takes connections, one question at a time.
    fn probe(&mut self, target: &TargetName, effects: &mut Vec<Effect>) {
        if let Some(seat) = self.room.seat(target)
            && self.probing.insert(target.clone())
        {
            let address = seat.target.address;
            effects.push(Effect::Probe { target: target.clone(), address });
        }
    }

    /// A target takes no connection: what broke off there just before ran when it died.
    fn blame(&mut self, now: Instant, target: &str, effects: &mut Vec<Effect>) {
        self.lost.retain(|loss| now.duration_since(loss.at) < BLAME);
        let (died, rest) =
            std::mem::take(&mut self.lost).into_iter().partition(|loss| loss.target == target);
        self.lost = rest;
        let died: Vec<Loss> = died;
        for loss in died {
            let times = self.crashes.entry(loss.body).or_default();
            *times += 1;
            if *times == CRASHES {
                effects.push(Effect::Note(Note::Quarantined(loss.body)));
            }
        }
    }

    fn is_quarantined(&self, body: &Fingerprint) -> bool {
        let own = self.crashes.get(body).copied().unwrap_or_default();
        own + self.peers.crashes(body) >= CRASHES
    }

    fn refuse(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reason: Reason,
        ran: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.remove(ticket) else {
            return;
        };
        let not_run = !ran && !pending.ran;
        let reason = match (reason, not_run) {
            (Reason::Late | Reason::NoRoom | Reason::Unserved, false) => Reason::Lost,
            _ => reason,
        };
        let left = pending.until.saturating_duration_since(now);
        let wait = left.mul_f64(RETRY_PART).min(RETRY_MAX);
        let refusal = Refusal { reason, not_run, retry_after: not_run.then_some(wait), lack: None };
        effects.push(Effect::Refuse { ticket, refusal });
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Pending> {
        self.dequeue(ticket);
        let pending = self.requests.remove(&ticket)?;
        if let Stage::Running(running) = &pending.stage {
            self.room.release(&running.taken);
        }
        if !pending.ran && matches!(pending.stage, Stage::Waiting) {
            self.give_back(&pending);
        }
        Some(pending)
    }

    fn give_back(&mut self, pending: &Pending) {
        let usage = pending.account.as_ref().and_then(|name| self.accounts.get_mut(name));
        if let Some(usage) = usage {
            usage.give_back(pending.units);
        }
    }

    fn enqueue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket) {
            self.waiting.entry(pending.pool.clone()).or_default().insert(pending.order());
            self.timers.insert((pending.wake(), ticket));
        }
    }

    /// Lets a request's account decide over its place; `false` where it is to be refused.
    fn press(&mut self, now: Instant, ticket: Ticket) -> bool {
        self.dequeue(ticket);
        match self.requests.get_mut(&ticket) {
            Some(pending) if pending.give_up > now => pending.pressed = true,
            _ => return false,
        }
        self.enqueue(ticket);
        true
    }

    fn dequeue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket) {
            if let Some(queue) = self.waiting.get_mut(&pending.pool) {
                queue.remove(&pending.order());
            }
            self.timers.remove(&(pending.wake(), ticket));
        }
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, ticket));
            if self.press(now, ticket) {
                continue;
            }
            let reason = match self.requests.get(&ticket) {
                Some(pending) if pending.until <= now => Reason::Late,
                _ => Reason::NoRoom,
            };
            self.refuse(now, ticket, reason, false, effects);
        }
    }

    /// Dispatches what waits, as far as there is room.
    fn place(&mut self, now: Now, effects: &mut Vec<Effect>) {
        for queue in self.waiting.values_mut() {
            let mut placed = Vec::new();
            let mut lowest_fits = true;
            for order in queue.iter() {
                let Some(pending) = self.requests.get_mut(&order.ticket) else {
                    placed.push(*order);
                    continue;
                };
                let lowest = self.lowest.get(&pending.pool) == Some(&pending.tier);
                if lowest && !lowest_fits {
                    continue;
                }
                let wish = Wish { tokens: pending.prompt(), tried: &pending.tried, lowest };
                let (place, zone) = (self.place, &self.settings.zone);
                let taken = self.room.take(now.steady, &pending.pool, place, zone, &wish);
                if let Some(taken) = taken {
                    placed.push(*order);
                    self.timers.remove(&(pending.wake(), order.ticket));
                    effects.push(Effect::Start(start(now.steady, pending, taken)));
                    continue;
                }
                // One that may not go everywhere doesn't hold up those that may.
                if lowest {
                    lowest_fits = false;
                } else if pending.tried.is_empty() {
                    break;
                }
            }
            for order in placed {
                queue.remove(&order);
            }
        }
    }

    fn plan(&mut self, plan: Arc<Plan>, effects: &mut Vec<Effect>) {
        // A configuration never steps back within the life of a process.
        if self.plan.as_ref().is_some_and(|known| known.version >= plan.version) {
            return;
        }
        effects.push(Effect::Note(Note::Planned { version: plan.version }));
        let routes = plan.routes.values().flatten();
        let pools: BTreeSet<&PoolName> =
            routes.flat_map(|route| &route.parts).map(|part| &part.pool).collect();
        let lowest = |pool: &PoolName| Some((pool.clone(), plan.lowest(pool)?));
        let ranks = plan.accounts.values().map(|account| account.rank);
        self.lowest_account = ranks.max().unwrap_or_default();
        self.lowest = pools.into_iter().filter_map(lowest).collect();
        self.plan = Some(plan);
    }

    fn confirm(&mut self, now: Now, boot: Duration) {
        let silent = self.confirmed.is_none_or(|last| now.boot.saturating_sub(last) > SILENCE);
        if silent {
            self.outage = Some(now.steady);
        }
        self.confirmed = self.confirmed.max(Some(boot));
    }

    fn freshen(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let age = self.confirmed.map(|at| now.boot.saturating_sub(at));
        let fresh = age.is_some_and(|age| age < self.settings.freshness);
        if fresh != self.fresh {
            self.fresh = fresh;
            effects.push(Effect::Note(Note::Fresh(fresh)));
        }
    }

    fn list(&mut self, now: Instant, targets: Vec<Target>, effects: &mut Vec<Effect>) {
        let returning = self.outage.is_some_and(|at| now.duration_since(at) < RETURN);
        let mut used = targets.clone();
        if returning {
            let names: BTreeSet<&str> = targets.iter().map(|target| target.name.as_str()).collect();
            let vanished =
                self.room.listed().filter(|target| !names.contains(target.name.as_str()));
            used.extend(vanished.cloned());
            self.listed = Some(targets);
        } else {
            self.listed = None;
        }
        let ready = used.iter().filter(|target| target.ready).count();
        effects.push(Effect::Note(Note::Targets { ready, listed: used.len() }));
        self.room.list(used);
        self.look_round(now, effects);
    }

    /// Gives vanished targets up once the time in which living ones come back is over.
    fn relist(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.listed.is_some() && self.outage.is_none_or(|at| now.duration_since(at) >= RETURN) {
            let targets = self.listed.take().unwrap_or_default();
            self.list(now, targets, effects);
        }
    }

    fn hear(&mut self, now: Instant, rows: Vec<Row>, effects: &mut Vec<Effect>) {
        let (own, opened) = (self.settings.address, self.opened);
        for row in rows.into_iter().filter(|row| row.address != Some(own)) {
            for told in self.peers.hear(now, now.saturating_duration_since(opened), row) {
                let (Told::Spent(account, _) | Told::Left(account, _)) = &told;
                let usage = self.accounts.entry(account.clone());
                let usage = usage.or_insert_with(|| allowance::open(opened));
                match told {
                    Told::Spent(_, units) => usage.charge(units as f64),
                    Told::Left(_, left) => usage.adopt(left),
                }
            }
        }
        self.look_round(now, effects);
    }

    /// Takes stock of the other processes.
    fn look_round(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let gone = self.settings.gone;
        self.peers.forget(now, gone);
        let mut addresses = self.peers.active_addresses(now, gone);
        let own = self.settings.address;
        addresses.push(own);
        addresses.sort_unstable();
        let index = addresses.iter().position(|&address| address == own).unwrap_or_default();
        self.place = Place { index: index as u32, among: addresses.len() as u32 };
        let together = self.peers.together(now, gone);
        if together != self.together {
            self.together = together;
            let (heard, expected) = (self.peers.heard(now, gone), self.peers.expected(now, gone));
            effects.push(Effect::Note(Note::Peers { heard, expected, together }));
        }
        self.room.count_others(self.peers.running(now));
    }
}

fn start(now: Instant, pending: &mut Pending, taken: Taken) -> Start {
    pending.dispatches += 1;
    let silence = SILENT.max(taken.first * SILENT_TIMES);
    let start = Start {
        ticket: pending.request.ticket,
        target: taken.target.clone(),
        address: taken.address,
        silence: pending.may_repeat(pending.tried.len() + 1).then_some(silence),
        account: pending.account.clone(),
        tier: pending.tier,
        repeatable: pending.repeat != Repeat::Never,
        until: pending.until,
        stream: pending.stream,
        attempt: pending.dispatches,
    };
    pending.stage = Stage::Running(Running { taken, since: now });
    start
}

fn used((account, usage): (&AccountName, &Allowance)) -> Use {
    Use { account: account.clone(), spent: usage.spent, left: usage.left() }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal { reason, not_run: true, retry_after: None, lack: None }
}

impl Refusal {
    fn after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }
}
