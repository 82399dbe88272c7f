//! Rollouts: shift a pool's requests to targets of another version, after a canary phase that exposes
//! a small share of them.
//!
//! The version that the rollout order names is the ordered version; the versions that serve the pool without
//! an order, side by side, are its base versions.
//!
//! Each entry process limits the share of its own dispatches that go to the ordered version. The limit
//! therefore holds for the sum over all processes, also while some of them can't reach each other. The
//! processes exchange counts of good and bad answers in the rows that they send to their peers; the counts
//! only grow within an incarnation of a process. A process that judges the ordered version to be worse than
//! the base rolls back at once, and so does each process that receives its row. A rollout completes only
//! when the rows of all processes that may take requests are fresh and none of them has a request in flight
//! at a target of a base version.

mod evidence;
mod message;
mod versions;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::id::PoolName;

pub use evidence::{Answer, Tally};
use evidence::{Evidence, Judgement};
pub use message::{Action, Lane, Order, PeerRollout, Progress, Report, Step, Version};

use super::relay::{Era, Position};
use versions::PoolVersions;

/// Fraction of the allowed share of requests that the ordered version gets in the canary phase. The
/// rest is kept for the traffic shift, where a version that turns bad is detected only after it got
/// requests.
const CANARY_FRACTION: f64 = 0.6;
/// Fraction of the rollout's duration, at its end, for the traffic shift of a version judged good.
const SHIFT_FRACTION: f64 = 0.35;
/// Fraction of the traffic shift's duration over which the ordered version's share grows to 1.
const RAMP_FRACTION: f64 = 0.3;
/// Share of the requests, from 0 to 1, that the ordered version gets when the traffic shift begins.
const RAMP_START_SHARE: f64 = 0.1;
/// Time before the rollout's deadline at which a version that hasn't been judged good is rolled back.
const ROLLBACK_MARGIN: Duration = Duration::from_secs(1);
/// Number of targets that serve the canary phase, as a fraction of the ready targets of base versions.
/// With so few, each is loaded as after the traffic shift, which exposes failures under load.
const CANARY_TARGET_FRACTION: f64 = 0.05;

/// State of a pool's latest rollout at this process.
#[derive(Clone, Debug)]
struct Rollout {
    order: Order,
    /// When the operator gave the order: the earliest time that this process or a peer's row states.
    ordered_at: Instant,
    /// Progress as this process has decided or learnt it; never `Running` again after a final state.
    progress: Progress,
    /// When this process began the traffic shift; `None` in the canary phase.
    shift_started: Option<Instant>,
    /// Progress that the platform service is known to store in the current era; `None` if unknown.
    reported: Option<Progress>,
    /// Whether the final report that the platform service stores belongs to an earlier order.
    replaces_report: bool,
    /// Whether the operator withdrew the order; a withdrawn rollout isn't reported.
    is_withdrawn: bool,
    /// Dispatches of this process by route: the share of the ordered version is limited on each route.
    route_counts: BTreeMap<String, RouteCounts>,
    evidence: Evidence,
}

/// Requests of one route, counted by this process since the order.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCounts {
    /// Dispatches to any version.
    dispatched: u64,
    /// Dispatches to the ordered version.
    to_ordered: u64,
    /// Requests chosen for the ordered version that haven't been dispatched yet.
    pending: u64,
}

/// The latest rollout of each pool, and the versions that pools use without an order.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    rollouts: BTreeMap<PoolName, Rollout>,
    /// Versions by pool that need no running rollout.
    versions: BTreeMap<PoolName, PoolVersions>,
    /// Time up to which this process knows all orders of the operator; `None` before the first read.
    orders_confirmed: Option<Instant>,
    /// Current era of the platform service.
    era: Era,
}

/// State of the peers that may take requests, with respect to one order.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerStates {
    /// Whether the rows of at least half of the peers are fresh.
    pub is_half_fresh: bool,
    /// Whether the rows of all peers are fresh and state that the traffic shift is finished.
    pub are_all_shifted: bool,
}

impl Rollout {
    fn is_active(&self) -> bool {
        self.progress == Progress::Running
    }

    /// Returns the time before the deadline at which the traffic shift may begin.
    fn shift_duration(&self) -> Duration {
        self.order.duration.mul_f64(SHIFT_FRACTION)
    }

    /// Returns the share of the requests, from 0 to 1, that goes to the ordered version now.
    /// `canary_limit` is the share that a version may get before it is judged good.
    fn ordered_share(&self, now: Instant, canary_limit: f64) -> f64 {
        let Some(shift_started) = self.shift_started else {
            return canary_limit * CANARY_FRACTION;
        };
        let ramp = self.shift_duration().mul_f64(RAMP_FRACTION).as_secs_f64();
        let passed = now.saturating_duration_since(shift_started).as_secs_f64();
        (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * passed / ramp.max(f64::MIN_POSITIVE))
            .min(1.0)
    }

    /// Returns whether the traffic shift has reached all requests of this process.
    fn is_shift_complete(&self, now: Instant) -> bool {
        self.shift_started.is_some() && self.ordered_share(now, 1.0) >= 1.0
    }

    /// Returns the log entry of an action that is taken now.
    fn step(&self, now: Instant, action: Action) -> Step {
        let (base, ordered) = self.evidence.totals();
        Step {
            pool: self.order.pool.clone(),
            version: self.order.version.clone(),
            action,
            age: now.saturating_duration_since(self.ordered_at),
            dispatch_totals: self.dispatch_totals(),
            base,
            ordered,
        }
    }

    /// Returns this process's dispatches over all routes: to any version, and to the ordered version.
    fn dispatch_totals(&self) -> (u64, u64) {
        let counts = self.route_counts.values();
        counts.fold((0, 0), |(all, ordered), count| {
            (all + count.dispatched, ordered + count.to_ordered)
        })
    }

    /// Returns the action that is due now; `None` if there is none or the rollout has ended. `is_idle`
    /// states whether this process has no request in flight at targets of other versions.
    fn next_action(&self, now: Instant, peers: PeerStates, is_idle: bool) -> Option<Action> {
        if !self.is_active() {
            return None;
        }
        let judgement = self.evidence.judge();
        if judgement == Judgement::Bad {
            return Some(Action::RollBack);
        }
        if self.shift_started.is_some() {
            let is_done = self.is_shift_complete(now) && is_idle && peers.are_all_shifted;
            return is_done.then_some(Action::Complete);
        }
        let passed = now.saturating_duration_since(self.ordered_at);
        let left = self.order.duration.saturating_sub(passed);
        if left <= self.shift_duration() && judgement == Judgement::Good && peers.is_half_fresh {
            return Some(Action::StartShift);
        }
        (left <= ROLLBACK_MARGIN).then_some(Action::TimeOut)
    }
}

impl Rollouts {
    /// Records an order that the operator gave `age` ago, and starts its rollout. Returns the step to
    /// log; `None` if the order is already known or older than the known one.
    pub fn start(&mut self, now: Instant, order: Order, age: Duration) -> Option<Step> {
        let ordered_at = now.checked_sub(age).unwrap_or(now);
        if let Some(known) = self.rollouts.get_mut(&order.pool) {
            let is_same =
                (&known.order.version, known.order.duration) == (&order.version, order.duration);
            if known.order.position >= order.position {
                if known.order == order {
                    known.ordered_at = known.ordered_at.min(ordered_at);
                }
                return None;
            }
            // The operator wrote the same order again after the platform service was restored from an
            // older copy: the rollout continues under the new position.
            if is_same && known.order.position.era < order.position.era {
                known.order = order;
                return None;
            }
        }
        let pool = order.pool.clone();
        let previous = self.rollouts.get(&pool);
        let replaced = previous.filter(|previous| previous.progress != Progress::Completed);
        let replaced = replaced.map(|previous| previous.order.version.clone());
        self.versions.entry(pool.clone()).or_default().order(&order.version, replaced);
        let replaces_report = previous.is_some_and(|previous| {
            previous.order.version == order.version && previous.progress != Progress::Running
        });
        let rollout = Rollout {
            order,
            ordered_at,
            progress: Progress::Running,
            shift_started: None,
            reported: None,
            replaces_report,
            is_withdrawn: false,
            route_counts: BTreeMap::new(),
            evidence: Evidence::default(),
        };
        let step = rollout.step(now, Action::StartCanary);
        self.rollouts.insert(pool, rollout);
        Some(step)
    }

    /// Ends a pool's rollout whose order the operator withdrew at `position`: the ordered version gets no
    /// more requests, and nothing is reported. Returns the step to log; `None` if the rollout isn't
    /// running or its order is newer than the withdrawal.
    pub fn withdraw(&mut self, now: Instant, pool: &PoolName, position: Position) -> Option<Step> {
        let rollout = self.rollouts.get_mut(pool)?;
        if rollout.order.position >= position || !rollout.is_active() {
            return None;
        }
        rollout.progress = Progress::RolledBack;
        rollout.is_withdrawn = true;
        Some(rollout.step(now, Action::Withdraw))
    }

    /// Enters a new era: the platform service was restored from an older copy, which may lack reports.
    pub fn enter_era(&mut self, era: Era) {
        self.era = era;
        for rollout in self.rollouts.values_mut() {
            rollout.reported = None;
        }
    }

    /// Applies a report that the platform service stores; a final one overrides this process's own
    /// decision. Returns the step to log, if the progress changes.
    pub fn apply_report(&mut self, now: Instant, report: &Report) -> Option<Step> {
        let rollout = self.rollouts.get_mut(&report.pool)?;
        if rollout.order.version != report.version {
            return None;
        }
        if rollout.replaces_report && report.progress != Progress::Running {
            return None;
        }
        rollout.replaces_report = false;
        rollout.reported = Some(report.progress);
        adopt_decision(rollout, now, report.progress, &mut self.versions)
    }

    /// Records that this process knows all orders that the operator gave up to a time.
    pub fn confirm_orders(&mut self, at: Instant) {
        self.orders_confirmed = self.orders_confirmed.max(Some(at));
    }

    /// Returns whether any version waits until it is certain that no order for it was written.
    pub fn has_candidates(&self) -> bool {
        self.versions.values().any(PoolVersions::has_candidates)
    }

    /// Merges the state of a rollout that a peer sent `age` ago. Returns the steps to log.
    pub fn merge_peer(&mut self, now: Instant, age: Duration, peer: &PeerRollout) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend(self.start(now, peer.order.clone(), peer.age + age));
        let Some(rollout) = self.rollouts.get_mut(&peer.order.pool) else {
            return steps;
        };
        if rollout.order.position != peer.order.position {
            return steps;
        }
        // The platform service may have lost a report of an older era.
        let is_current = peer.era >= self.era;
        if is_current && rollout.reported.is_none_or(|known| known == Progress::Running) {
            rollout.reported = peer.reported.or(rollout.reported);
        }
        // A completion counts only if the platform service stores it: another process may have rolled back.
        let decision = match peer.progress {
            Progress::RolledBack => Some(Progress::RolledBack),
            _ => peer.reported,
        };
        steps.extend(
            decision
                .and_then(|decision| adopt_decision(rollout, now, decision, &mut self.versions)),
        );
        steps
    }

    /// Recomputes the evidence of each rollout from this process's tallies and those in the peers' rows.
    pub fn update_evidence<'a>(&mut self, peers: impl Iterator<Item = &'a PeerRollout>) {
        for rollout in self.rollouts.values_mut() {
            rollout.evidence.reset_totals();
        }
        for peer in peers {
            if let Some(rollout) = self.rollouts.get_mut(&peer.order.pool)
                && rollout.order.position == peer.order.position
            {
                rollout.evidence.add_peer(&peer.tallies);
            }
        }
        for rollout in self.rollouts.values_mut() {
            rollout.evidence.update_cusums();
        }
    }

    /// Takes the actions that are due, and returns their steps for the log. For an order, `peers`
    /// returns the state of the peers, and `is_idle` whether this process has no request in flight at
    /// targets of other versions.
    pub fn decide(
        &mut self,
        now: Instant,
        peers: impl Fn(&Order) -> PeerStates,
        is_idle: impl Fn(&Order) -> bool,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        for rollout in self.rollouts.values_mut() {
            let (peers, is_idle) = (peers(&rollout.order), is_idle(&rollout.order));
            let Some(action) = rollout.next_action(now, peers, is_idle) else {
                continue;
            };
            match action {
                Action::StartShift => rollout.shift_started = Some(now),
                Action::Complete => {
                    let pool = rollout.order.pool.clone();
                    let versions = self.versions.entry(pool).or_default();
                    versions.complete(&rollout.order.version);
                    rollout.progress = Progress::Completed;
                }
                _ => rollout.progress = Progress::RolledBack,
            }
            steps.push(rollout.step(now, action));
        }
        steps
    }

    /// Returns the reports that the platform service isn't known to store yet.
    pub fn reports(&self) -> Vec<Report> {
        let ordered = self.rollouts.values().filter(|rollout| !rollout.is_withdrawn);
        let unreported = ordered.filter(|rollout| {
            rollout.reported.is_none()
                || (rollout.reported == Some(Progress::Running) && !rollout.is_active())
        });
        let reports = unreported.map(|rollout| Report {
            pool: rollout.order.pool.clone(),
            version: rollout.order.version.clone(),
            progress: rollout.progress,
            replaces_report: rollout.replaces_report,
        });
        reports.collect()
    }

    /// Returns the state of each rollout, for the row that this process sends to its peers. `is_idle`
    /// takes a rollout order and returns whether this process has no request in flight at targets of
    /// versions other than the one that the order names.
    pub fn own_rollouts(&self, now: Instant, is_idle: impl Fn(&Order) -> bool) -> Vec<PeerRollout> {
        let rollouts = self.rollouts.values().map(|rollout| PeerRollout {
            order: rollout.order.clone(),
            age: now.saturating_duration_since(rollout.ordered_at),
            progress: rollout.progress,
            reported: rollout.reported,
            era: self.era,
            is_shifted: rollout.is_shift_complete(now) && is_idle(&rollout.order),
            tallies: if rollout.is_active() { rollout.evidence.own_tallies() } else { Vec::new() },
        });
        rollouts.collect()
    }

    /// Decides whether a request that enters the queue goes to the ordered version, and counts it as
    /// pending there if so. `spread` is distributed evenly from 0 to 1; `canary_limit` is the share of requests
    /// that a version may get before it is judged good. A process is isolated if the rows of most peers
    /// are stale: since those may have got bad answers, it chooses no request.
    pub fn choose_ordered(
        &mut self,
        now: Instant,
        (pool, route): (&PoolName, &str),
        spread: f64,
        canary_limit: f64,
        is_isolated: bool,
    ) -> bool {
        let Some(rollout) = self.rollouts.get_mut(pool) else {
            return false;
        };
        // Until the stored report is known, an earlier incarnation or a peer may already have rolled back.
        if !rollout.is_active() || rollout.reported.is_none() || is_isolated {
            return false;
        }
        let share = rollout.ordered_share(now, canary_limit);
        let count = rollout.route_counts.entry(route.to_owned()).or_default();
        let is_chosen = if rollout.shift_started.is_some() {
            spread < share
        } else {
            (count.to_ordered + count.pending + 1) as f64 <= share * (count.dispatched + 1) as f64
        };
        count.pending += u64::from(is_chosen);
        is_chosen
    }

    /// Removes a request from the pending ones of the ordered version, once it is dispatched, ends or goes to
    /// the base version instead.
    pub fn release_choice(&mut self, pool: &PoolName, route: &str) {
        let rollout = self.rollouts.get_mut(pool);
        if let Some(count) = rollout.and_then(|rollout| rollout.route_counts.get_mut(route)) {
            count.pending = count.pending.saturating_sub(1);
        }
    }

    /// Returns the lane of the targets that a request of a pool may go to; `is_chosen` is the result of
    /// [`Rollouts::choose_ordered`] for the request.
    pub fn request_lane(&self, now: Instant, pool: &PoolName, is_chosen: bool) -> Lane {
        match self.rollouts.get(pool) {
            Some(rollout)
                if rollout.is_active() && (is_chosen || rollout.is_shift_complete(now)) =>
            {
                Lane::Ordered
            }
            _ => Lane::Base,
        }
    }

    /// Counts a dispatch to a target of a pool; `is_ordered` if the target runs the ordered version.
    pub fn count_dispatch(&mut self, pool: &PoolName, route: &str, is_ordered: bool) {
        if let Some(rollout) = self.rollouts.get_mut(pool).filter(|rollout| rollout.is_active()) {
            let count = rollout.route_counts.entry(route.to_owned()).or_default();
            count.dispatched += 1;
            count.to_ordered += u64::from(is_ordered);
        }
    }

    /// Counts the answer to a dispatch; `is_ordered` if the target runs the ordered version.
    pub fn count_answer(&mut self, pool: &PoolName, route: &str, is_ordered: bool, answer: Answer) {
        if let Some(rollout) = self.rollouts.get_mut(pool).filter(|rollout| rollout.is_active()) {
            rollout.evidence.record(route, is_ordered, answer);
        }
    }

    /// Returns the number of this process's dispatches to the version that the rollout order of a pool
    /// names; 0 without a rollout.
    pub fn dispatched_to_ordered(&self, pool: &str) -> u64 {
        self.rollouts.get(pool).map_or(0, |rollout| rollout.dispatch_totals().1)
    }

    /// Returns whether any rollout is still running.
    pub fn has_running(&self) -> bool {
        self.rollouts.values().any(Rollout::is_active)
    }

    /// Returns the lane of each listed target of a pool; `targets` holds the version of each target and
    /// whether the target is ready.
    pub fn target_lanes(
        &mut self,
        now: Instant,
        pool: &PoolName,
        targets: &[(&Version, bool)],
    ) -> Vec<Lane> {
        let rollout = self.rollouts.get(pool);
        let ordered_version = rollout.map(|rollout| &rollout.order.version);
        let active = rollout.filter(|rollout| rollout.is_active());
        let versions = self.versions.entry(pool.clone()).or_default();
        let listed: BTreeSet<&Version> = targets.iter().map(|&(version, _)| version).collect();
        let (is_running, confirmed) = (active.is_some(), self.orders_confirmed);
        versions.update(now, &listed, ordered_version, is_running, confirmed);
        let is_shifting = active.is_some_and(|rollout| rollout.shift_started.is_some());
        let is_shifted = active.is_some_and(|rollout| rollout.is_shift_complete(now));
        let old =
            targets.iter().filter(|(version, is_ready)| *is_ready && versions.is_base(version));
        let mut canaries_left =
            (old.count() as f64 * CANARY_TARGET_FRACTION).ceil().max(1.0) as usize;
        let lane = |&(version, is_ready): &(&Version, bool)| {
            if versions.is_base(version) {
                return if is_shifted { Lane::Retiring } else { Lane::Base };
            }
            let is_ordered = active.is_some_and(|rollout| rollout.order.version == *version);
            if !is_ordered || (!is_shifting && canaries_left == 0) {
                return Lane::Closed;
            }
            canaries_left = canaries_left.saturating_sub(usize::from(is_ready));
            Lane::Ordered
        };
        targets.iter().map(lane).collect()
    }
}

/// Adopts the decision on a rollout that a peer or the platform service stated. Returns the step to log;
/// `None` if the decision isn't final or is known already.
fn adopt_decision(
    rollout: &mut Rollout,
    now: Instant,
    decision: Progress,
    versions: &mut BTreeMap<PoolName, PoolVersions>,
) -> Option<Step> {
    if decision == Progress::Running || rollout.progress == decision {
        return None;
    }
    let Order { pool, version, .. } = &rollout.order;
    let versions = versions.entry(pool.clone()).or_default();
    match decision {
        Progress::Completed => versions.complete(version),
        _ => versions.roll_back(version),
    }
    rollout.progress = decision;
    Some(rollout.step(now, Action::AdoptDecision(decision)))
}
