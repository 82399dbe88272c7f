//! Roll-outs: a pool's requests move to targets of another version, a few of them first.
//!
//! Each process bounds its own part of what the ordered version gets by what it dispatches itself, so
//! that the sum holds over all of them, whoever is cut off from whom. What its answers were worth is
//! told in rows, as counts that only grow within a start of a process. Any process that finds the
//! version worse than the one before it rolls back at once, and so do all that hear of it. It is
//! completed only once all that may take requests are heard and none has anything at the old targets.

mod evidence;
mod message;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::id::PoolName;

pub use evidence::{Answer, Tally};
use evidence::{Evidence, Judgement};
pub use message::{Action, Lane, Order, Progress, Report, Share, Step, Version};

use super::relay::{Era, Position};

/// Part of the allowed share that the ordered version gets while it is on trial. The rest is for the
/// move, in which a version that turns bad is seen only after it got requests.
const TRIAL_PART: f64 = 0.6;
/// Part of the time at whose end all requests move, if the version is found good.
const MOVE_PART: f64 = 0.35;
/// Part of the move over which its share of requests grows to all.
const RAMP_PART: f64 = 0.3;
/// Share of the requests with which the move begins.
const RAMP_FROM: f64 = 0.1;
/// Time before the end at which a version that isn't found good is rolled back.
const DOUBT: Duration = Duration::from_secs(1);
/// Part of the ready targets that requests on trial go to: few targets are as loaded as after the move,
/// so that what fails under load shows.
const TRIAL_TARGETS: f64 = 0.05;

#[derive(Clone, Debug)]
struct Rollout {
    order: Order,
    /// When the operator gave it, as far as is known.
    since: Instant,
    /// As this process holds; never `Running` again once it is decided.
    progress: Progress,
    /// Since when requests move.
    moving: Option<Instant>,
    /// What the platform's service is known to say in this era.
    reported: Option<Progress>,
    /// Whether the report that stands is of an earlier order.
    renews: bool,
    /// Whether the operator took the order back; nothing is reported then.
    withdrawn: bool,
    /// Dispatches of this process by route, so that the ordered version gets its share of each.
    counts: BTreeMap<String, Count>,
    evidence: Evidence,
}

/// Dispatches of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// All of them.
    dispatched: u64,
    /// Those to the ordered version.
    exposed: u64,
    /// Requests that are chosen for it and wait.
    pledged: u64,
}

/// All roll-outs that are known, and the versions that are in use.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    rollouts: BTreeMap<PoolName, Rollout>,
    /// Versions that are served without an order.
    base: BTreeMap<PoolName, BTreeSet<Version>>,
    /// The platform's era.
    era: Era,
}

/// What the other processes that may take requests tell of an order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Others {
    /// Whether at least half of them are heard.
    pub most: bool,
    /// Whether all of them are heard, and have moved.
    pub moved: bool,
}

impl Rollout {
    fn is_active(&self) -> bool {
        self.progress == Progress::Running
    }

    fn lead(&self) -> Duration {
        self.order.duration.mul_f64(MOVE_PART)
    }

    /// Share of the requests that goes to the ordered version.
    fn share(&self, now: Instant, allowed: f64) -> f64 {
        let Some(moving) = self.moving else {
            return allowed * TRIAL_PART;
        };
        let ramp = self.lead().mul_f64(RAMP_PART).as_secs_f64();
        let passed = now.saturating_duration_since(moving).as_secs_f64();
        (RAMP_FROM + (1.0 - RAMP_FROM) * passed / ramp.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn has_moved(&self, now: Instant) -> bool {
        self.moving.is_some() && self.share(now, 1.0) >= 1.0
    }

    fn step(&self, now: Instant, action: Action) -> Step {
        let (before, after) = self.evidence.totals();
        Step {
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            action,
            age: now.saturating_duration_since(self.since),
            dispatched: self.dispatched(),
            before,
            after,
        }
    }

    /// Dispatches of this process, and those of them to the ordered version.
    fn dispatched(&self) -> (u64, u64) {
        let counts = self.counts.values();
        counts
            .fold((0, 0), |(all, exposed), count| (all + count.dispatched, exposed + count.exposed))
    }

    /// What there is to do now.
    fn decide(&self, now: Instant, others: Others, idle: bool) -> Option<Action> {
        if !self.is_active() {
            return None;
        }
        let judgement = self.evidence.judge();
        if judgement == Judgement::Bad {
            return Some(Action::RollBack);
        }
        if self.moving.is_some() {
            let done = self.has_moved(now) && idle && others.moved;
            return done.then_some(Action::Complete);
        }
        let left = (self.since + self.order.duration).saturating_duration_since(now);
        if left <= self.lead() && judgement == Judgement::Good && others.most {
            return Some(Action::Move);
        }
        (left <= DOUBT).then_some(Action::GiveUp)
    }
}

impl Rollouts {
    /// Takes an order in that was given some time ago; gives what follows for the log.
    pub fn order(&mut self, now: Instant, order: Order, age: Duration) -> Option<Step> {
        let since = now.checked_sub(age).unwrap_or(now);
        if let Some(known) = self.rollouts.get_mut(&order.pool) {
            let same =
                (&known.order.target, known.order.duration) == (&order.target, order.duration);
            if known.order.position >= order.position {
                if known.order == order {
                    known.since = known.since.min(since);
                }
                return None;
            }
            // Written again to a service that came back from an older copy.
            if same && known.order.position.era < order.position.era {
                known.order = order;
                return None;
            }
        }
        let pool = order.pool.clone();
        let base = self.base.entry(pool.clone()).or_default();
        base.remove(&order.target);
        let before = self.rollouts.get(&pool);
        let renews = before.is_some_and(|before| {
            before.order.target == order.target && before.progress != Progress::Running
        });
        let rollout = Rollout {
            order,
            since,
            progress: Progress::Running,
            moving: None,
            reported: None,
            renews,
            withdrawn: false,
            counts: BTreeMap::new(),
            evidence: Evidence::default(),
        };
        let step = rollout.step(now, Action::Try);
        self.rollouts.insert(pool, rollout);
        Some(step)
    }

    /// The operator takes an order back: its version gets nothing, and nothing is reported.
    pub fn withdraw(&mut self, now: Instant, pool: &PoolName, position: Position) -> Option<Step> {
        let rollout = self.rollouts.get_mut(pool)?;
        if rollout.order.position >= position || !rollout.is_active() {
            return None;
        }
        rollout.progress = Progress::RolledBack;
        rollout.withdrawn = true;
        Some(rollout.step(now, Action::Withdraw))
    }

    /// The platform's service came back from an older copy, which may lack what was reported.
    pub fn enter(&mut self, era: Era) {
        self.era = era;
        for rollout in self.rollouts.values_mut() {
            rollout.reported = None;
        }
    }

    /// Takes in what the platform's service says; a final report there decides.
    pub fn report(&mut self, now: Instant, report: &Report) -> Option<Step> {
        let rollout = self.rollouts.get_mut(&report.pool)?;
        if rollout.order.target != report.target {
            return None;
        }
        if rollout.renews && report.progress != Progress::Running {
            return None;
        }
        rollout.renews = false;
        rollout.reported = Some(report.progress);
        follow(rollout, now, report.progress, &mut self.base)
    }

    /// Takes in what another process tells; gives what follows for the log.
    pub fn hear(&mut self, now: Instant, age: Duration, share: &Share) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend(self.order(now, share.order.clone(), share.age + age));
        let Some(rollout) = self.rollouts.get_mut(&share.order.pool) else {
            return steps;
        };
        if rollout.order.position != share.order.position {
            return steps;
        }
        // What stood in an older era may be gone.
        let current = share.era >= self.era;
        if current && rollout.reported.is_none_or(|known| known == Progress::Running) {
            rollout.reported = share.reported.or(rollout.reported);
        }
        // Only the platform's service says that it is completed: another may have rolled back.
        let decided = match share.progress {
            Progress::RolledBack => Some(Progress::RolledBack),
            _ => share.reported,
        };
        steps.extend(decided.and_then(|told| follow(rollout, now, told, &mut self.base)));
        steps
    }

    /// Sums up what all processes tell of their answers.
    pub fn weigh<'a>(&mut self, shares: impl Iterator<Item = &'a Share>) {
        for rollout in self.rollouts.values_mut() {
            rollout.evidence.begin();
        }
        for share in shares {
            if let Some(rollout) = self.rollouts.get_mut(&share.order.pool)
                && rollout.order.position == share.order.position
            {
                rollout.evidence.add(&share.tallies);
            }
        }
        for rollout in self.rollouts.values_mut() {
            rollout.evidence.finish();
        }
    }

    /// Decides what there is to decide; `others` and `idle` tell of a pool what the other processes
    /// say, and whether this one has nothing at old targets.
    pub fn decide(
        &mut self,
        now: Instant,
        others: impl Fn(&Order) -> Others,
        idle: impl Fn(&Order) -> bool,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        for rollout in self.rollouts.values_mut() {
            let (others, idle) = (others(&rollout.order), idle(&rollout.order));
            let Some(action) = rollout.decide(now, others, idle) else {
                continue;
            };
            match action {
                Action::Move => rollout.moving = Some(now),
                Action::Complete => {
                    let base = self.base.entry(rollout.order.pool.clone()).or_default();
                    *base = BTreeSet::from([rollout.order.target.clone()]);
                    rollout.progress = Progress::Completed;
                }
                _ => rollout.progress = Progress::RolledBack,
            }
            steps.push(rollout.step(now, action));
        }
        steps
    }

    /// What the platform's service isn't known to say yet.
    pub fn reports(&self) -> Vec<Report> {
        let ordered = self.rollouts.values().filter(|rollout| !rollout.withdrawn);
        let open = ordered.filter(|rollout| {
            rollout.reported.is_none()
                || (rollout.reported == Some(Progress::Running) && !rollout.is_active())
        });
        let reports = open.map(|rollout| Report {
            pool: rollout.order.pool.clone(),
            target: rollout.order.target.clone(),
            progress: rollout.progress,
            renews: rollout.renews,
        });
        reports.collect()
    }

    /// What this process tells the others; `idle` as in [`Rollouts::decide`].
    pub fn shares(&self, now: Instant, idle: impl Fn(&Order) -> bool) -> Vec<Share> {
        let shares = self.rollouts.values().map(|rollout| Share {
            order: rollout.order.clone(),
            age: now.saturating_duration_since(rollout.since),
            progress: rollout.progress,
            reported: rollout.reported,
            era: self.era,
            moved: rollout.has_moved(now) && idle(&rollout.order),
            tallies: if rollout.is_active() { rollout.evidence.own() } else { Vec::new() },
        });
        shares.collect()
    }

    /// Whether a request that begins to wait goes to the ordered version; `alone` where most of the other
    /// processes aren't heard: they may know of bad answers. `draw` is spread evenly from 0 to 1.
    pub fn choose(
        &mut self,
        now: Instant,
        (pool, route): (&PoolName, &str),
        draw: f64,
        allowed: f64,
        alone: bool,
    ) -> bool {
        let Some(rollout) = self.rollouts.get_mut(pool) else {
            return false;
        };
        // Before it is known what was reported, an earlier process may have rolled back.
        if !rollout.is_active() || rollout.reported.is_none() || alone {
            return false;
        }
        let share = rollout.share(now, allowed);
        let count = rollout.counts.entry(route.to_owned()).or_default();
        let chosen = if rollout.moving.is_some() {
            draw < share
        } else {
            (count.exposed + count.pledged + 1) as f64 <= share * (count.dispatched + 1) as f64
        };
        count.pledged += u64::from(chosen);
        chosen
    }

    /// A request that was chosen doesn't wait for the ordered version any more.
    pub fn release(&mut self, pool: &PoolName, route: &str) {
        let rollout = self.rollouts.get_mut(pool);
        if let Some(count) = rollout.and_then(|rollout| rollout.counts.get_mut(route)) {
            count.pledged = count.pledged.saturating_sub(1);
        }
    }

    /// Which targets a request may go to.
    pub fn lane(&self, now: Instant, pool: &PoolName, chosen: bool) -> Lane {
        match self.rollouts.get(pool) {
            Some(rollout) if rollout.is_active() && (chosen || rollout.has_moved(now)) => {
                Lane::Ordered
            }
            _ => Lane::Base,
        }
    }

    /// Counts a dispatch.
    pub fn dispatched(&mut self, pool: &PoolName, route: &str, ordered: bool) {
        if let Some(rollout) = self.rollouts.get_mut(pool).filter(|rollout| rollout.is_active()) {
            let count = rollout.counts.entry(route.to_owned()).or_default();
            count.dispatched += 1;
            count.exposed += u64::from(ordered);
        }
    }

    /// Learns from an answer.
    pub fn answered(&mut self, pool: &PoolName, route: &str, ordered: bool, answer: Answer) {
        if let Some(rollout) = self.rollouts.get_mut(pool).filter(|rollout| rollout.is_active()) {
            rollout.evidence.learn(route, ordered, answer);
        }
    }

    /// Dispatches of this process to the version that is ordered for a pool.
    pub fn exposed(&self, pool: &str) -> u64 {
        self.rollouts.get(pool).map_or(0, |rollout| rollout.dispatched().1)
    }

    /// Whether any roll-out isn't decided.
    pub fn any_active(&self) -> bool {
        self.rollouts.values().any(Rollout::is_active)
    }

    /// Which requests the listed targets of a pool take, by their versions and whether they are ready.
    /// Versions are in use that the pool had first, and those that were completed. Where none of them
    /// is left, those are taken into use that are not on trial and were not rolled back.
    pub fn lanes(
        &mut self,
        now: Instant,
        pool: &PoolName,
        targets: &[(&Version, bool)],
    ) -> Vec<Lane> {
        let rollout = self.rollouts.get(pool);
        let ordered = rollout.map(|rollout| &rollout.order.target);
        let base = self.base.entry(pool.clone()).or_default();
        let versions = targets.iter().map(|&(version, _)| version);
        if !versions.clone().any(|version| base.contains(version)) {
            base.extend(versions.filter(|&version| ordered != Some(version)).cloned());
        }
        let active = rollout.filter(|rollout| rollout.is_active());
        let moving = active.is_some_and(|rollout| rollout.moving.is_some());
        let moved = active.is_some_and(|rollout| rollout.has_moved(now));
        let old = targets.iter().filter(|(version, ready)| *ready && base.contains(*version));
        let mut trial = (old.count() as f64 * TRIAL_TARGETS).ceil().max(1.0) as usize;
        let lane = |&(version, ready): &(&Version, bool)| {
            if base.contains(version) {
                return if moved { Lane::Shut } else { Lane::Base };
            }
            let is_ordered = active.is_some_and(|rollout| rollout.order.target == *version);
            if !is_ordered || (!moving && trial == 0) {
                return Lane::Shut;
            }
            trial = trial.saturating_sub(usize::from(ready));
            Lane::Ordered
        };
        targets.iter().map(lane).collect()
    }
}

/// Follows what was decided elsewhere.
fn follow(
    rollout: &mut Rollout,
    now: Instant,
    told: Progress,
    base: &mut BTreeMap<PoolName, BTreeSet<Version>>,
) -> Option<Step> {
    if told == Progress::Running || rollout.progress == told {
        return None;
    }
    let Order { pool, target, .. } = &rollout.order;
    let base = base.entry(pool.clone()).or_default();
    match told {
        Progress::Completed => *base = BTreeSet::from([target.clone()]),
        _ => drop(base.remove(target)),
    }
    rollout.progress = told;
    Some(rollout.step(now, Action::Follow(told)))
}
