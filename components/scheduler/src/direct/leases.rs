//! Parts of accounts' limits by demand, for entry processes that are cut off from each other.
//!
//! Each process claims a weight in every limit that it uses: the fraction of the limit that it recently used, or an
//! equal part of [`BASE_TOTAL`] if that is more. Rows carry the weights with their recent changes. Processes that
//! hear each other use the limit together, whatever their weights are. A group of processes that is cut off from the
//! rest uses the fraction `x / (x + y)` of it, where `x` is the sum of the group's weights and `y` that of the rest:
//! what each process had used before the cut, as far as the limit allows.
//!
//! # Why the fractions of all groups add up to at most 1
//!
//! Processes know of changes at different times, so each of them uses a range instead of a weight: the lowest weight
//! for a process of its own group, and the highest for any other, between a time `S` and the time of the newest row
//! that it has. `S` is the latest time for which it knows that all active processes have rows of all others that were
//! made at `S` or later ([`Peers::mutual_since`](super::peers::Peers::mutual_since)); it stands still while any
//! process doesn't hear another one.
//!
//! Take the ranges of one process's weight at two others, with the times `S1` and `S2` and rows made at `r1` and
//! `r2`. By definition of `S`, both `S1` and `S2` are at most `r1` and at most `r2`. So both ranges contain the
//! weight at the later one of `S1` and `S2`, and the lowest weight of either is at most the highest of the other.
//! Hence weights `w` exist such that each group uses at most `x / (x + y)` computed with `w`, as the fraction grows
//! with `x` and falls with `y`. Over groups without a common process, these add up to 1.
//!
//! A process that has no row of another one yet knows only that all weights together are at most [`MAX_TOTAL`], since
//! no more than the limit is used. A process that restarts claims a base weight; its earlier claim counts for others
//! until rows with it are stale everywhere.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use model::id::AccountName;
use serde::{Deserialize, Serialize};

use super::{
    State,
    event::{Effect, LogEntry},
    peers::PeerView,
};

/// Weight of a whole limit.
pub const WHOLE: u16 = 10_000;
/// Sum of the base weights of all processes.
const BASE_TOTAL: f64 = 0.25 * WHOLE as f64;
/// Maximum sum of the weights of all processes in one limit.
const MAX_TOTAL: f64 = BASE_TOTAL + WHOLE as f64;
/// Maximum number of accounts in whose limits a process claims a weight. An account beyond it keeps equal parts.
pub const MAX_CLAIMS: usize = 64;
/// Maximum number of changes that a claim lists.
const MAX_CHANGES: usize = 4;
/// Minimum time between two computations of the fractions unless the number of usable parts changes.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Time by which the age of a row may be too low, since it doesn't include the row's time in transit.
const TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Time over which a rise of an account's use is averaged.
const RISE_TIME: Duration = Duration::from_secs(2);
/// Time over which a fall of an account's use is averaged. Its length keeps the weights of processes with few
/// requests close to each other.
const FALL_TIME: Duration = Duration::from_secs(8);
/// Ratio of the use to the claimed weight above which the weight is raised.
const RAISE_RATIO: f64 = 1.1;
/// Ratio of the use to the claimed weight below which the weight is lowered.
const LOWER_RATIO: f64 = 0.7;

/// Use of an account's limit by this process, averaged over two times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Units per second, averaged over [`RISE_TIME`] and [`FALL_TIME`].
    rates: [f64; 2],
    /// Times of the first and of the last change; `None` before the first.
    changed: Option<(Instant, Instant)>,
}

/// Change of a process's weight in a limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Time in milliseconds from the change to the row that lists it.
    pub age_ms: u32,
    /// Weight from then on; at most [`WHOLE`].
    pub weight: u16,
}

/// Weight of a process in the limit of one account, as its row states it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Name of the account.
    pub account: AccountName,
    /// Latest changes, the newest first, at most [`MAX_CHANGES`]. Fewer than that are all there were; before them the
    /// process had its base weight.
    pub changes: Vec<Change>,
}

/// Range of a weight over the time in which other processes may use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Lowest weight.
    pub low: f64,
    /// Highest weight; not below `low`.
    pub high: f64,
}

/// How the processes that share a limit are related to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// This process may use the other one's part.
    Usable,
    /// The use by the other process is charged here, but its part may not be used.
    Known,
    /// The last row of the other process is stale.
    Stale,
}

/// Fractions of a limit, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fractions {
    /// Fraction of this process alone.
    pub own: f64,
    /// Fraction of all processes whose parts this one may use, itself included.
    pub usable: f64,
    /// Fraction of all processes whose use is charged here, this one included.
    pub known: f64,
}

/// Weights of this process in the accounts' limits.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    /// Changes of each weight, the newest first, at most [`MAX_CHANGES`].
    changes: BTreeMap<AccountName, VecDeque<(Instant, u16)>>,
}

/// State of the parts by demand.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// Weights of this process.
    pub holdings: Holdings,
    /// Latest time for which all active processes are known to have rows of all others that were made then or later;
    /// `None` before there was one.
    pub mutual_since: Option<Instant>,
    /// Fractions of the limits in which some process claims a weight.
    fractions: BTreeMap<AccountName, Fractions>,
    /// Fractions of all other limits; `None` while limits aren't leased.
    unclaimed: Option<Fractions>,
    /// When the fractions were last computed, and the number of usable parts then.
    computed: Option<(Instant, u32)>,
}

/// Facts on which a change of this process's weight is decided.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Latest time for which all processes are known to have rows of all others; `None` where there was none.
    pub mutual_since: Option<Instant>,
    /// Age from which rows are stale.
    pub row_lifetime: Duration,
    /// Number of processes among which the limit is divided; at least 1.
    pub processes: u32,
}

impl Usage {
    /// Adds units that the process admitted, or subtracts returned ones, which are negative.
    pub fn add(&mut self, now: Instant, units: f64) {
        let rates = self.rates(now);
        let times = [RISE_TIME, FALL_TIME];
        self.rates = std::array::from_fn(|index| rates[index] + units / times[index].as_secs_f64());
        self.changed = Some((self.changed.map_or(now, |(first, _)| first), now));
    }

    /// Returns the units per second that the process uses: a rise shows sooner than a fall.
    pub fn rate(&self, now: Instant) -> f64 {
        let [rise, fall] = self.rates(now);
        // An average over a longer time than the account was used lacks the share of the time before.
        let used = self.changed.map_or(0.0, |(first, _)| {
            now.saturating_duration_since(first).max(RISE_TIME).as_secs_f64()
        });
        let fall = fall / (1.0 - (-used / FALL_TIME.as_secs_f64()).exp());
        if used > 0.0 { rise.max(fall).max(0.0) } else { 0.0 }
    }

    fn rates(&self, now: Instant) -> [f64; 2] {
        let elapsed =
            self.changed.map_or(0.0, |(_, last)| now.saturating_duration_since(last).as_secs_f64());
        let times = [RISE_TIME, FALL_TIME];
        std::array::from_fn(|index| {
            self.rates[index] * (-elapsed / times[index].as_secs_f64()).exp()
        })
    }
}

/// Returns the base weight of each of `processes` processes.
pub fn base_weight(processes: u32) -> f64 {
    BASE_TOTAL / f64::from(processes.max(1))
}

/// Removes what exceeds the bounds of a row's claims.
pub fn limit_claims(claims: &mut Vec<Claim>) {
    claims.truncate(MAX_CLAIMS);
    claims.iter_mut().for_each(|claim| claim.changes.truncate(MAX_CHANGES));
}

impl Claim {
    /// Returns the range of the weight from the time `since` to the row, which was made at `made`. Where `since` is
    /// `None` or before all listed changes, the weight before these counts too.
    pub fn range(&self, made: Instant, since: Option<Instant>, base: f64) -> Range {
        let changes = self.changes.iter().take(MAX_CHANGES).map(|change| {
            let at = made.checked_sub(Duration::from_millis(change.age_ms.into()));
            (at, f64::from(change.weight.min(WHOLE)))
        });
        range(changes, since, base)
    }
}

impl Range {
    /// Returns the range of a process without a claim.
    pub fn base(base: f64) -> Range {
        Range { low: base, high: base }
    }
}

impl Holdings {
    /// Changes this process's weight in an account's limit where its use calls for it, `use_fraction` being the
    /// fraction of the limit that it uses. The weight stays while another process may not know the last change, or
    /// while a process may still use a row from before the oldest listed change. Returns the new weight.
    pub fn update(
        &mut self,
        now: Instant,
        account: &AccountName,
        use_fraction: f64,
        setting: Setting,
    ) -> Option<u16> {
        let base = base_weight(setting.processes);
        let used = use_fraction.clamp(0.0, 1.0) * f64::from(WHOLE);
        let Some(changes) = self.changes.get_mut(account) else {
            let is_allowed = self.changes.len() < MAX_CLAIMS && setting.mutual_since.is_some();
            if !is_allowed || used <= base * RAISE_RATIO {
                return None;
            }
            let weight = used.ceil() as u16;
            self.changes.insert(account.clone(), VecDeque::from([(now, weight)]));
            return Some(weight);
        };
        let &(changed_at, weight) = changes.front()?;
        let held = now.saturating_duration_since(changed_at);
        let is_known = setting.mutual_since.is_some_and(|since| since >= changed_at);
        if !is_known || held < setting.row_lifetime / (MAX_CHANGES as u32 - 1) {
            return None;
        }
        let target = used.max(base);
        let current = f64::from(weight);
        if target <= current * RAISE_RATIO && target >= current * LOWER_RATIO {
            return None;
        }
        let weight = target.ceil() as u16;
        changes.push_front((now, weight));
        changes.truncate(MAX_CHANGES);
        Some(weight)
    }

    /// Removes the claim of an account that has the base weight everywhere.
    pub fn remove_unused(&mut self, now: Instant, setting: Setting, max_idle: Duration) {
        let base = base_weight(setting.processes).ceil();
        self.changes.retain(|_, changes| {
            let is_unused = changes.front().is_some_and(|&(at, weight)| {
                f64::from(weight) <= base
                    && setting.mutual_since.is_some_and(|since| since >= at)
                    && now.saturating_duration_since(at) > max_idle
            });
            !is_unused
        });
    }

    /// Returns the range of this process's weight since a time.
    pub fn range(&self, account: &AccountName, since: Option<Instant>, base: f64) -> Range {
        let changes = self.changes.get(account).into_iter().flatten();
        range(changes.map(|&(at, weight)| (Some(at), f64::from(weight))), since, base)
    }

    /// Returns the claims for a row that is made at `now`.
    pub fn claims(&self, now: Instant) -> Vec<Claim> {
        let claims = self.changes.iter().map(|(account, changes)| {
            let change = |&(at, weight): &(Instant, u16)| {
                let age = now.saturating_duration_since(at).as_millis();
                Change { age_ms: u32::try_from(age).unwrap_or(u32::MAX), weight }
            };
            Claim { account: account.clone(), changes: changes.iter().map(change).collect() }
        });
        claims.collect()
    }

    /// Returns the accounts in whose limits this process claims a weight.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.changes.keys()
    }
}

/// Returns the fractions of a limit. `peers` holds the range of each other active process of which a row is known,
/// `unknown` is the number of the others.
pub fn fractions(
    own: Range,
    peers: impl Iterator<Item = (Range, Relation)>,
    unknown: usize,
    base: f64,
) -> Fractions {
    let (mut usable, mut known, mut lows) = (own.low, own.low, own.low);
    let (mut not_usable, mut not_known, mut others) = (0.0, 0.0, 0.0);
    for (range, relation) in peers {
        lows += range.low;
        others += range.high;
        match relation {
            Relation::Usable => {
                usable += range.low;
                known += range.low;
            }
            Relation::Known => {
                known += range.low;
                not_usable += range.high;
            }
            Relation::Stale => {
                not_usable += range.high;
                not_known += range.high;
            }
        }
    }
    let unknown = if unknown == 0 { 0.0 } else { (MAX_TOTAL - lows).max(base * unknown as f64) };
    let fraction = |group: f64, rest: f64| group / (group + rest + unknown);
    Fractions {
        own: fraction(own.low, others),
        usable: fraction(usable, not_usable),
        known: fraction(known, not_known),
    }
}

/// Returns the range of a weight by its changes, the newest first, at most [`MAX_CHANGES`].
fn range(
    changes: impl Iterator<Item = (Option<Instant>, f64)>,
    since: Option<Instant>,
    base: f64,
) -> Range {
    let mut range = Range { low: f64::INFINITY, high: 0.0 };
    let mut count = 0;
    for (at, weight) in changes {
        range = Range { low: range.low.min(weight), high: range.high.max(weight) };
        // A change whose time is before the clock's start precedes any other time.
        if since.is_some_and(|since| at.is_none_or(|at| at <= since)) {
            return range;
        }
        count += 1;
    }
    let earlier_high = if count < MAX_CHANGES { base } else { f64::from(WHOLE) };
    Range { low: range.low.min(base), high: range.high.max(earlier_high) }
}

impl State {
    /// Returns the age of the oldest row that this process has of the others, for its own row.
    pub(super) fn own_oldest_row_age(&self, now: Instant) -> Option<Duration> {
        self.leases.unclaimed?;
        self.peers.oldest_row_age(now, self.settings.peer_timeout)
    }

    /// Returns the fractions of an account's limit; `None` where limits aren't leased.
    pub(super) fn leased_fractions(&self, account: &AccountName) -> Option<Fractions> {
        self.leases.fractions.get(account).copied().or(self.leases.unclaimed)
    }

    /// Changes the claims of this process by its use, and the fractions by the claims of all processes.
    pub(super) fn update_leases(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.configuration.as_ref().is_some_and(|configuration| configuration.leases_limits) {
            if self.leases.unclaimed.is_some() {
                self.leases = Leases::default();
            }
            return;
        }
        let is_recent = self.leases.computed.is_some_and(|(at, usable)| {
            now.saturating_duration_since(at) < MIN_UPDATE_INTERVAL && usable == self.usable_parts
        });
        if is_recent {
            return;
        }
        self.leases.computed = Some((now, self.usable_parts));
        let peer_timeout = self.settings.peer_timeout;
        let views = self.peers.views(now, peer_timeout, self.settings.address);
        let own_age = self.peers.oldest_row_age(now, peer_timeout);
        let mutual_since = mutual_since(now, &views, own_age);
        self.leases.mutual_since = self.leases.mutual_since.max(mutual_since);
        let since = self.leases.mutual_since;
        let processes = self.process_index.count;
        let row_lifetime = self.peers.row_lifetime();
        let setting = Setting { mutual_since: since, row_lifetime, processes };
        for (account, allowance) in &self.accounts {
            let Some(limit) = self
                .configuration
                .as_ref()
                .and_then(|configuration| configuration.accounts.get(account)?.limit)
            else {
                continue;
            };
            let rate = allowance.own_rate(now);
            let weight = self.leases.holdings.update(now, account, rate / limit.rate, setting);
            if let Some(weight) = weight {
                effects.push(Effect::Log(LogEntry::LeaseChanged {
                    account: account.clone(),
                    weight: f64::from(weight) / f64::from(WHOLE),
                    rate,
                    mutual_age: since.map(|since| now.saturating_duration_since(since)),
                }));
            }
        }
        self.leases.holdings.remove_unused(now, setting, peer_timeout + row_lifetime);
        let base = base_weight(processes);
        let unknown = views.iter().filter(|view| view.made.is_none()).count();
        let of_account = |account: Option<&AccountName>| {
            let own = account.map_or(Range::base(base), |account| {
                self.leases.holdings.range(account, since, base)
            });
            let peers = views.iter().filter_map(|view| {
                let range = peer_range(now, view, account, (since, row_lifetime), base)?;
                Some((range, view.relation))
            });
            fractions(own, peers, unknown, base)
        };
        let claims = views.iter().flat_map(|view| {
            let earlier = view.earlier_claims.map(|earlier| &earlier.claims);
            view.row.claims.iter().chain(earlier.into_iter().flatten())
        });
        let accounts: BTreeSet<&AccountName> =
            claims.map(|claim| &claim.account).chain(self.leases.holdings.accounts()).collect();
        let fractions = accounts
            .into_iter()
            .map(|account| (account.clone(), of_account(Some(account))))
            .collect();
        let unclaimed = of_account(None);
        (self.leases.fractions, self.leases.unclaimed) = (fractions, Some(unclaimed));
    }
}

/// Returns the latest time for which all active processes have rows of all others that were made then or later;
/// `None` where one doesn't hear another. `own_age` is the age of the oldest row that this process has.
fn mutual_since(
    now: Instant,
    views: &[PeerView<'_>],
    own_age: Option<Duration>,
) -> Option<Instant> {
    let mut since = now.checked_sub(own_age?)?;
    for view in views {
        // Each list of current processes has this process in place of its own.
        if view.relation != Relation::Usable || view.row.current_peers.len() < views.len() {
            return None;
        }
        since = since.min(view.made?.checked_sub(view.row.oldest_row_age?)?);
    }
    since.checked_sub(TRANSIT_TIME)
}

/// Returns the range of the weight that another process has in an account's limit; `None` where none of its rows is
/// known. Without an account it is the base weight.
fn peer_range(
    now: Instant,
    view: &PeerView<'_>,
    account: Option<&AccountName>,
    (since, row_lifetime): (Option<Instant>, Duration),
    base: f64,
) -> Option<Range> {
    let made = view.made?;
    let range_of = |claims: &[Claim], made: Instant| {
        let claim = claims.iter().find(|claim| Some(&claim.account) == account);
        claim.map_or(Range::base(base), |claim| claim.range(made, since, base))
    };
    let range = range_of(&view.row.claims, made);
    let earlier = view
        .earlier_claims
        .filter(|earlier| now.saturating_duration_since(earlier.replaced) < row_lifetime);
    Some(earlier.map_or(range, |earlier| {
        let earlier = range_of(&earlier.claims, earlier.made);
        Range { low: range.low.min(earlier.low), high: range.high.max(earlier.high) }
    }))
}
