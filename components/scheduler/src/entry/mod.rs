//! The reducer of an entry process, which accepts requests from callers.
//!
//! It admits or refuses each request, reserves capacity for it at the agents of one or more
//! targets, and decides under which granted reservation the request starts.

mod admit;
mod claiming;
pub mod event;
mod feed;
pub mod freshness;
mod leave;
mod lost;
mod pending;
mod seek;
mod shed;
mod suspects;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    Refusal,
    id::{AccountName, Fingerprint, HostName, Offset, Rank, RequestId, TargetName, ZoneName},
    refusal::Reason,
    reservation::{Denial, Id},
};

pub use admit::{DEADLINE_LIMIT, MAX_KEY_BYTES};
use claiming::Claim;
pub use event::{Call, Effect, Event, Owner, Record, Request, Start};
use freshness::Freshness;
pub use lost::HOST_ABSENCE_TIMEOUT;
use pending::{Pending, ShedOrder, Stage, Timer};
pub use seek::Policy;
use seek::PoolIndices;

use crate::{config, limit, membership, suspect};

/// Backoff of a target whose agent was unreachable or draining. Until it ends, requests are
/// reserved at other targets of the pool, and at this one only if all of them are backed off.
const DOWN_BACKOFF: Duration = Duration::from_secs(2);
/// Backoff of a target that shed a tier. Until it ends, requests of that tier and lower ones are
/// reserved there only if no other target is left to try.
const SHED_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a denial by a target's agent stays valid. A request isn't refused on the basis
/// of older denials, so that a lower tier can't have been waiting at a target that denied a
/// higher one for longer than this time plus one network delay.
pub const DENIAL_TTL: Duration = Duration::from_millis(20);
/// Maximum number of rounds in which a request asks targets again whose denials have expired.
/// Without it, targets with a round trip above `DENIAL_TTL` would postpone a refusal until the
/// deadline.
const MAX_RETRY_ROUNDS: u32 = 8;
/// Retry delay sent to callers with a refusal when no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of the reducer, fixed when it is created.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum number of requests that wait for a target, and of those that are held until the
    /// configuration is up to date.
    pub waiting: usize,
    /// Availability zone of this process.
    pub zone: ZoneName,
}

/// Latest observations about a target. They may be out of date and affect only which targets are
/// asked, and when.
#[derive(Clone, Copy, Debug, Default)]
struct TargetHints {
    /// Tiers that the target's agent sheds; `None` if its last reply named none.
    shed: Option<ShedHint>,
    /// End of the target's backoff after its agent was unreachable or draining.
    down_until: Option<Instant>,
    /// Time of the last reply from the target's agent; `None` before the first one.
    last_reply: Option<Instant>,
}

/// Ranks that a target's agent sheds, and for how long this observation is used.
#[derive(Clone, Copy, Debug)]
struct ShedHint {
    /// Smallest rank number that is shed; greater numbers, which are lower tiers, are shed too.
    rank: Rank,
    until: Instant,
}

/// State of an entry process's reducer.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    policy: Policy,
    config: config::State,
    membership: membership::State,
    missing_hosts: lost::MissingHosts,
    /// Hosts that are marked as leaving in the platform's list of hosts.
    leaving_hosts: BTreeSet<HostName>,
    /// Admitted requests that haven't ended, by their ids.
    requests: BTreeMap<RequestId, Pending>,
    /// Requests of `requests` that haven't started, in shedding order: the last is shed first.
    waiting: BTreeSet<ShedOrder>,
    /// One timer for each request that hasn't started, earliest first.
    timers: BTreeSet<Timer>,
    target_hints: BTreeMap<TargetName, TargetHints>,
    pool_indices: PoolIndices,
    usage: BTreeMap<AccountName, limit::Usage>,
    suspects: suspect::State,
    /// Bodies that this process suspects of crashing targets before a crash is recorded, each with
    /// the end of its suspicion.
    local_suspects: BTreeMap<Fingerprint, Instant>,
    freshness: Freshness,
    /// Estimated number of hosts that run entry processes, including this one; at least 1.
    entry_hosts: u32,
    /// Whether the configuration stream has been read to its end at least once.
    has_read_config: bool,
    /// Whether readiness is reported as false so that the load balancer sends no more requests.
    /// Requests that still arrive are admitted.
    is_unlisted: bool,
    /// Whether new requests are refused because the process is shutting down.
    is_draining: bool,
}

/// Returns the state of a process that hasn't read any stream yet.
pub fn open(settings: Settings) -> State {
    open_with(settings, Policy::default())
}

/// Returns the same state as [`open`], but with the given policy; used to compare policies.
pub fn open_with(settings: Settings, policy: Policy) -> State {
    State {
        settings,
        policy,
        config: config::State::default(),
        membership: membership::State::default(),
        missing_hosts: lost::MissingHosts::default(),
        leaving_hosts: BTreeSet::new(),
        requests: BTreeMap::new(),
        waiting: BTreeSet::new(),
        timers: BTreeSet::new(),
        target_hints: BTreeMap::new(),
        pool_indices: PoolIndices::default(),
        usage: BTreeMap::new(),
        suspects: suspect::State::default(),
        local_suspects: BTreeMap::new(),
        freshness: Freshness::default(),
        entry_hosts: 1,
        has_read_config: false,
        is_unlisted: false,
        is_draining: false,
    }
}

/// Applies one event to the state and returns the effects that the caller has to carry out.
pub fn reduce(state: &mut State, now: Instant, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    state.record_event_time(now, &mut effects);
    if let Some((id, load)) = event::load(&event) {
        state.record_load(now, id, load, &mut effects);
    }
    match event {
        Event::Arrived(request) if state.must_hold_requests() => {
            state.hold_request(now, request, &mut effects)
        }
        Event::Arrived(request) => state.handle_arrival(now, request, &mut effects),
        Event::Granted { id, .. } => state.handle_grant(now, id, &mut effects),
        Event::Denied { id, denial } => state.handle_denial(now, id, Some(denial), &mut effects),
        Event::Unreachable { id } => {
            state.mark_down(now, id);
            state.handle_denial(now, id, None, &mut effects);
        }
        Event::NotStarted { id, unreachable } => {
            state.handle_not_started(now, id, unreachable, &mut effects);
        }
        Event::Claimed { request, verdict } => {
            state.handle_verdict(now, request, verdict, &mut effects);
        }
        Event::Unsettled { settle, tries } => state.report_key_outcome(settle, tries, &mut effects),
        Event::Ran { request } => state.report_ran(request, &mut effects),
        Event::Members(records) => state.apply_membership_records(records),
        Event::Remove(leave) => state.remove_lost_member(leave, &mut effects),
        Event::Ended { request } => {
            state.freshness.remove(request);
            state.remove_request(request, &mut effects);
        }
        Event::Records(records) => {
            state.apply_config_records(records, &mut effects);
            state.withdraw_from_leaving_targets(now, &mut effects);
        }
        Event::Restored(snapshot) => {
            state.restore_snapshot(*snapshot, &mut effects);
            state.withdraw_from_leaving_targets(now, &mut effects);
        }
        Event::Confirmed { asked, highest } => {
            state.confirm_highest_offset(now, asked, highest, &mut effects)
        }
        Event::CaughtUp => state.has_read_config = true,
        Event::Lost { request } => state.suspect_body(now, request),
        Event::Crashes(records) => state.apply_crash_records(now, records, &mut effects),
        Event::Hosts(hosts) => state.update_hosts(now, hosts, &mut effects),
        Event::Leave => state.is_unlisted = true,
        Event::Drain => state.is_draining = true,
        Event::Tick => {}
    }
    state.settle_held_requests(now, &mut effects);
    state.process_due_timers(now, &mut effects);
    if state.is_draining && state.is_empty() {
        effects.push(Effect::Drained);
    }
    effects
}

/// Returns when the next `Event::Tick` is due unless another event comes first; `None` if no timer
/// is running.
pub fn next_wake(state: &State) -> Option<Instant> {
    let timer = state.timers.first().map(|timer| timer.at);
    timer.into_iter().chain(state.freshness.next_wake()).min()
}

impl State {
    /// Returns the configuration that this process has applied.
    pub fn config(&self) -> &config::State {
        &self.config
    }

    /// Returns whether the load balancer should send requests to this process.
    pub fn is_ready(&self) -> bool {
        self.has_read_config && !self.is_unlisted && !self.is_draining
    }

    /// Returns the rank of the lowest tier among the requests that haven't started; `None` if
    /// there are none.
    pub fn lowest_waiting(&self) -> Option<Rank> {
        self.waiting.last().map(|order| order.rank)
    }

    /// Returns the rank of the lowest tier among the requests to a pool that haven't started;
    /// `None` if there are none.
    pub fn lowest_waiting_for(&self, pool: &str) -> Option<Rank> {
        let waiting = self.waiting.iter().rev();
        let mut waiting = waiting.filter_map(|order| self.requests.get(&order.request));
        waiting.find(|pending| pending.pool == pool).map(|pending| pending.rank)
    }

    /// Returns the number of requests that haven't ended, including those that are held until the
    /// configuration is up to date.
    pub fn len(&self) -> usize {
        self.requests.len() + self.freshness.held_count()
    }

    /// Returns whether all requests have ended.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn handle_arrival(&mut self, now: Instant, request: Request, effects: &mut Vec<Effect>) {
        let id = request.id;
        let key = request.key.clone();
        if let Err((owner, refusal)) = self.admit(now, request) {
            let refusal = claiming::qualify_for_key(key.as_ref(), Claim::None, refusal);
            return effects.push(Effect::Refuse { request: id, owner, refusal });
        }
        if self.waiting.len() > self.settings.waiting {
            self.shed_lowest_tier(effects);
        }
        match self.requests.get(&id).map(|pending| pending.stage) {
            Some(Stage::Claiming) => self.claim_key(now, id, effects),
            Some(_) => self.reserve_next(now, id, effects),
            None => {}
        }
    }

    fn admit(&mut self, now: Instant, request: Request) -> Result<(), (Owner, Refusal)> {
        let without_owner = |refusal| (Owner::default(), refusal);
        self.check_accepts_requests().map_err(without_owner)?;
        let account = admit::authenticate(&self.config, &request).map_err(without_owner)?;
        let owner =
            Owner { account: account.name.clone(), tier: request.tier.clone().unwrap_or_default() };
        let pending = admit::admit(&self.config, now, account, request)
            .map_err(|refusal| (owner, refusal))?;
        let share = account.limit.map(|limit| limit::share(limit, self.entry_hosts));
        let usage = self.usage.entry(account.name.clone()).or_insert_with(|| limit::open(now));
        if let Err(wait) = usage.admit(now, share) {
            let refusal = Refusal::not_run(
                Reason::AccountLimit,
                "the client account has reached a limit of its own",
            );
            return Err((pending.owner, refusal.retry_after(wait)));
        }
        self.insert_request(pending);
        Ok(())
    }

    fn check_accepts_requests(&self) -> Result<(), Refusal> {
        if self.is_draining {
            let message = "this process is leaving; send the request again";
            return Err(Refusal::not_run(Reason::Draining, message).retry_after(Duration::ZERO));
        }
        if !self.has_read_config {
            let message = "this process hasn't read the configuration yet";
            return Err(
                Refusal::not_run(Reason::NotReady, message).retry_after(DEFAULT_RETRY_AFTER)
            );
        }
        Ok(())
    }

    fn handle_grant(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(start) = self.prepare_start(now, id) else {
            return;
        };
        self.unschedule(id.request);
        let pending = self.requests.get_mut(&id.request).expect("a started request is pending");
        pending.stage = Stage::Started(id);
        let mut other_reservations = std::mem::take(&mut pending.reservations);
        pending.reservations.extend(other_reservations.remove_entry(&id));
        // If this start has no effect, the other targets may be asked again, because none of them
        // denied the request.
        pending
            .tried_targets
            .retain(|target, _| !other_reservations.values().any(|other| other == target));
        self.cancel_reservations(other_reservations, effects);
        effects.push(Effect::Start(start));
    }

    /// Returns what is needed to start a granted request. Returns `None` if the request has ended
    /// or already started (also under this reservation), or if the target is no longer
    /// configured. A grant that isn't used expires at its agent.
    fn prepare_start(&self, now: Instant, id: Id) -> Option<Start> {
        let pending = self.requests.get(&id.request).filter(|pending| pending.is_waiting())?;
        let target = self.config.target(pending.reservations.get(&id)?)?;
        Some(Start {
            id,
            owner: pending.owner.clone(),
            target: target.name.clone(),
            control: target.control,
            traffic: target.traffic,
            remaining: pending.deadline.saturating_duration_since(now),
        })
    }

    fn handle_denial(
        &mut self,
        now: Instant,
        id: Id,
        denial: Option<Denial>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id.request) else {
            return;
        };
        // A duplicate or late denial that arrives after the start doesn't prove that the start
        // failed.
        if !pending.is_waiting() {
            return;
        }
        let Some(target) = pending.reservations.remove(&id) else {
            return;
        };
        pending.tried_targets.insert(target.clone(), now);
        pending.record_denial(denial);
        if let Some(denial) = denial.filter(|denial| denial.reason == Reason::Quarantined) {
            return self.refuse_quarantined(id.request, Some(denial.retry_after), effects);
        }
        if denial.is_some_and(|denial| denial.reason == Reason::Draining) {
            self.target_hints.entry(target).or_default().down_until = Some(now + DOWN_BACKOFF);
        }
        self.reserve_next(now, id.request, effects);
    }

    fn handle_not_started(
        &mut self,
        now: Instant,
        id: Id,
        unreachable: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&id.request) else {
            return;
        };
        if pending.stage != Stage::Started(id) {
            return;
        }
        pending.stage = Stage::Waiting;
        let target = pending.reservations.remove(&id);
        if let Some(target) = target {
            if unreachable {
                self.target_hints.entry(target).or_default().down_until = Some(now + DOWN_BACKOFF);
            } else {
                // The grant expired because of network delay, so the target may be asked again.
                pending.tried_targets.remove(&target);
            }
        }
        self.schedule(id.request);
        self.reserve_next(now, id.request, effects);
    }

    /// Handles all timers that are due: refuses requests past their deadline, retries claims of
    /// idempotency keys, and lets requests that have waited long enough reserve at another target.
    fn process_due_timers(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            let Some(pending) = self.requests.get_mut(&timer.request) else {
                self.timers.pop_first();
                continue;
            };
            if pending.deadline <= now {
                self.refuse_past_deadline(timer.request, effects);
                continue;
            }
            self.timers.pop_first();
            if pending.stage == Stage::Claiming {
                self.claim_key(now, timer.request, effects);
                continue;
            }
            pending.widen_at = None;
            self.schedule(timer.request);
            self.reserve_additional(now, timer.request, effects);
        }
    }

    fn refuse_past_deadline(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let wait = self.requests.get(&id).and_then(|pending| pending.last_denial);
        let wait = wait.map_or(DEFAULT_RETRY_AFTER, |denial| denial.retry_after);
        let refusal = Refusal::not_run(Reason::Deadline, "the deadline passed while it waited");
        self.refuse(id, refusal.retry_after(wait), effects);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, effects: &mut Vec<Effect>) {
        let Some(pending) = self.remove_request(id, effects) else {
            return;
        };
        let refusal =
            claiming::qualify_for_key(pending.request.key.as_ref(), pending.claim, refusal);
        effects.push(Effect::Refuse { request: id, owner: pending.owner, refusal });
    }

    /// Removes a request and gives back everything that it holds: its idempotency key unless it
    /// started, its open reservations and its share of the account's limit.
    fn remove_request(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Pending> {
        self.unschedule(id);
        let mut pending = self.requests.remove(&id)?;
        self.release_key(&pending, effects);
        if pending.is_waiting() {
            self.cancel_reservations(std::mem::take(&mut pending.reservations), effects);
        }
        if let Some(usage) = self.usage.get_mut(&pending.owner.account) {
            usage.release();
        }
        Some(pending)
    }

    fn cancel_reservations(
        &self,
        reservations: BTreeMap<Id, TargetName>,
        effects: &mut Vec<Effect>,
    ) {
        for (id, target) in reservations {
            if let Some(address) = self.control_address(&target) {
                effects.push(Effect::Cancel { id, address });
            }
        }
    }

    fn control_address(&self, target: &str) -> Option<SocketAddr> {
        self.config.target(target).map(|target| target.control)
    }

    fn insert_request(&mut self, pending: Pending) {
        let id = pending.request.id;
        self.requests.insert(id, pending);
        self.schedule(id);
    }

    /// Adds a request to the shedding order and sets its timer.
    fn schedule(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        self.waiting.insert(pending.shed_order());
        if let Some(at) = pending.next_wake() {
            self.timers.insert(Timer { at, request: id });
        }
    }

    /// Removes a request from the shedding order and stops its timer. Has to be called before a
    /// change of any field that the order or the timer depends on.
    fn unschedule(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        self.waiting.remove(&pending.shed_order());
        if let Some(at) = pending.next_wake() {
            self.timers.remove(&Timer { at, request: id });
        }
    }
}

/// Returns the highest offset that the [`Effect::CatchUp`] items among the effects ask for; `None`
/// if there are none.
pub fn catch_up_offset(effects: &[Effect]) -> Option<Offset> {
    let offsets = effects.iter().filter_map(|effect| match effect {
        Effect::CatchUp(offset) => Some(*offset),
        _ => None,
    });
    offsets.max()
}
