//! Limits of client accounts that all entry processes enforce together.
//!
//! Each process learns how many units the others admitted and keeps a token bucket for the whole limit.
//! The limit is divided into equal parts, one for each active process. A process that is cut off from the
//! others uses only its own part. Any other process also uses the parts of those that receive its rows
//! and that receive rows of no active process from which it gets none itself. Every other process that
//! uses one of these parts is then known here, so the admitted units add up to the limit in any
//! partition of the network.
//!
//! What the others admitted since their last rows isn't known. Each process assumes that they go on at the
//! rates that their last rows show. Otherwise many processes would spend the same units at the same time,
//! the more of them the longer their exchanges take.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{
    event::{LimitShortage, ShortageCause},
    leases::{Fractions, Usage},
    plan::Limit,
};

/// Token buckets of one account, as one process keeps them.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// Units that this process admitted since its count began, less the units that were returned.
    admitted_units: i64,
    /// Number that identifies the count of `admitted_units`; `None` until the count is reported. The count
    /// begins again after a time without changes, in which it isn't reported.
    count: Option<u64>,
    /// Time of the last change of `admitted_units`; `None` before the first.
    last_changed: Option<Instant>,
    /// Units of requests that this process admitted and that no target got yet.
    held_units: f64,
    /// Recent use by this process.
    usage: Usage,
    /// Use by other processes.
    peers: BTreeMap<SocketAddr, PeerUse>,
    /// Units left in the bucket of the parts of all processes whose use is known: at most their burst and
    /// [`BURST_TOLERANCE`], negative after an overshoot.
    shared_units: f64,
    /// Units left in the bucket of this process's own part of the limit: at most its part of the burst,
    /// negative after an overshoot.
    own_units: f64,
    /// Units of the largest recent request with stated tokens. A smaller request with stated tokens is
    /// admitted only while the bucket has at least this many units left or is full, so that small requests
    /// don't starve large ones.
    recent_largest: f64,
    /// When the buckets were last refilled.
    refilled: Instant,
    /// Fraction of the extra units after the start that the buckets have yet to get, from 0 to 1.
    start_fraction_left: f64,
    /// Whether `shared_units` was taken over from a process that started earlier.
    has_adopted: bool,
}

/// Use of one account's limit by another process.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    /// Moving average of the units that the process admits per second; negative after units were returned.
    rate: f64,
    /// Units of requests that the process admitted and that no target got yet.
    held_units: f64,
    /// Time at which the row was made that last reported the units.
    reported_at: Instant,
}

/// Change of an account's use that a row of another process reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerCharge {
    /// Units that the process admitted since its last row; negative if it returned more.
    pub units: f64,
    /// Units of requests that the process admitted and that no target got yet.
    pub held_units: f64,
    /// Time at which the row was made.
    pub made: Instant,
    /// Time since the last row of the same incarnation; `None` if this is its first.
    pub time: Option<Duration>,
}

/// Units of an account that a process admitted by its own count, as it reports them to the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Number that identifies the count.
    pub count: u64,
    /// Units that the process admitted since the count began, less the units that were returned.
    pub admitted_units: i64,
    /// Units of admitted requests that no target got yet.
    pub held_units: i64,
    /// Units left in the shared bucket.
    pub units_left: i64,
}

/// How far a deployment lets an account's use exceed its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Excess as a fraction of the units that the limit allows over the window.
    pub ratio: f64,
    /// Excess in units on top of that.
    pub slack: f64,
    /// Time over which use is measured.
    pub window: Duration,
}

/// Fraction of the tolerance that is added to the shared bucket's capacity, so that bursts of an account
/// below its limit aren't refused. The rest is left for the units that processes admit before they
/// learn of each other's use, and for a process that is cut off and uses its own part in addition.
const BURST_TOLERANCE: f64 = 0.7;
/// Fraction of the tolerance that a process gets as extra units after its start, when its buckets are
/// empty. The units admitted before aren't known and may be all that the limit allows; this fraction may
/// be admitted in addition even then.
const START_TOLERANCE: f64 = 0.1;
/// Fraction of the tolerance that the extra units of [`START_TOLERANCE`] may use in one window, over all
/// starts of processes within it.
const STARTS_TOLERANCE: f64 = 0.3;
/// Fraction of a bucket's burst that a request leaves for each higher rank, so that requests of lower
/// ranks are refused first.
const RESERVE_PER_RANK: f64 = 0.15;
/// Number of higher ranks for which a request leaves units; all lower ranks are treated alike.
const MAX_RESERVED_RANKS: u32 = 1;
/// Time over which the rates of other processes are averaged.
const PEER_RATE_TIME: Duration = Duration::from_secs(2);
/// Fraction of the recent largest size that is kept after each request with stated tokens. While it
/// lasts, a nearly empty bucket refuses requests of all sizes alike.
const LARGEST_DECAY: f64 = 0.98;

impl Tolerance {
    /// Returns a fraction of the tolerated excess over a limit, in units.
    fn units(&self, fraction: f64, limit: &Limit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        fraction * (self.ratio * allowed + self.slack)
    }
}

/// Units that a request needs from its account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnitRequest {
    /// Number of units that the request takes.
    pub units: f64,
    /// Rank of the request, 0 for the highest: it leaves the units that are reserved for higher ranks.
    pub rank: u32,
    /// Whether the request states its tokens and so waits for as many units as the largest recent one.
    /// Requests that don't are too small to hold up large ones.
    pub is_sized: bool,
}

/// Number of processes that share a limit, and the parts of it that this process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Number of processes among which the limit is divided; at least 1.
    pub processes: u32,
    /// Number of those processes, this one included, whose use is known here.
    pub known: u32,
    /// Number of those processes, this one included, whose parts this process may use; 1 where it may use
    /// only its own.
    pub usable: u32,
    /// How far use may exceed the limit.
    pub tolerance: Tolerance,
    /// Age from which a row of another process is stale.
    pub row_lifetime: Duration,
    /// Fractions of the limit where it is leased by demand; `None` where the processes have equal parts.
    pub leased: Option<Fractions>,
}

impl LimitShare {
    /// Returns the fraction of the limit that this process may use.
    fn usable_fraction(&self) -> f64 {
        let equal = f64::from(self.usable) / f64::from(self.processes);
        self.leased.map_or(equal, |fractions| fractions.usable)
    }

    /// Returns the fraction of the processes whose use is known here.
    fn known_fraction(&self) -> f64 {
        let equal = f64::from(self.known) / f64::from(self.processes);
        self.leased.map_or(equal, |fractions| fractions.known)
    }

    /// Returns the fraction of the limit that is this process's own.
    fn own_fraction(&self) -> f64 {
        self.leased.map_or(1.0 / f64::from(self.processes), |fractions| fractions.own)
    }

    /// Returns this process's own part of a number of units.
    fn own_part(&self, units: f64) -> f64 {
        self.leased.map_or(units / f64::from(self.processes), |fractions| units * fractions.own)
    }
}

/// Returns the buckets of an account that hasn't been used since `started`, the start of this process.
/// They are empty: a process that restarted doesn't know what it admitted before.
pub fn open(started: Instant) -> Allowance {
    Allowance {
        admitted_units: 0,
        count: None,
        last_changed: None,
        held_units: 0.0,
        usage: Usage::default(),
        peers: BTreeMap::new(),
        shared_units: 0.0,
        own_units: 0.0,
        recent_largest: 0.0,
        refilled: started,
        start_fraction_left: 1.0,
        has_adopted: false,
    }
}

impl Allowance {
    /// Updates the largest recent size with a request that arrived.
    pub fn record_request(&mut self, unit_request: UnitRequest) {
        if unit_request.is_sized {
            self.recent_largest = unit_request.units.max(LARGEST_DECAY * self.recent_largest);
        }
    }

    /// Takes a request's units, or returns the units that it needs and those that are left.
    pub fn take(
        &mut self,
        now: Instant,
        limit: &Limit,
        share: LimitShare,
        unit_request: UnitRequest,
    ) -> Result<(), LimitShortage> {
        self.refill(now, limit, share);
        let shortage = self.shortage(now, limit, share, unit_request);
        if shortage.needed > shortage.left {
            return Err(shortage);
        }
        self.shared_units -= unit_request.units;
        self.own_units -= unit_request.units;
        self.admitted_units += unit_request.units as i64;
        self.held_units += unit_request.units;
        self.usage.add(now, unit_request.units);
        self.last_changed = Some(now);
        Ok(())
    }

    /// Returns the units that must be left for a request to be admitted, and those that are.
    pub fn shortage(
        &self,
        now: Instant,
        limit: &Limit,
        share: LimitShare,
        unit_request: UnitRequest,
    ) -> LimitShortage {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let (processes, usable) = (share.processes, share.usable);
        let is_shared = usable > 1 || processes == 1;
        let (unreported, peer_rate) =
            if is_shared { self.expected_of_peers(now, share.row_lifetime) } else { (0.0, 0.0) };
        let (left, fraction) = if is_shared {
            (self.shared_units - unreported, share.usable_fraction())
        } else {
            (self.own_units, share.own_fraction())
        };
        let (rate, burst) = (limit.rate * fraction, limit.burst * fraction);
        let left = left + elapsed * rate;
        // The others use a part of the refill. Their rates fall while the bucket is empty, so this process
        // gets its own part at least.
        let rate = (rate - peer_rate).max(share.own_part(limit.rate));
        let reserve =
            RESERVE_PER_RANK * f64::from(unit_request.rank.min(MAX_RESERVED_RANKS)) * burst;
        let units = if unit_request.is_sized {
            unit_request.units.max(self.recent_largest)
        } else {
            unit_request.units
        };
        // A full bucket admits a request that is larger than the burst.
        let needed = (units + reserve).min(burst);
        let cause = share.leased.map(|_| {
            let own_units = unit_request.units.min(burst);
            let held_units = self.held_units + self.peers_held(now, share.row_lifetime);
            if left >= units.min(burst) {
                ShortageCause::Reserved
            } else if left >= own_units {
                ShortageCause::Size
            } else if left + unreported >= own_units {
                ShortageCause::Expected
            } else if left + unreported + held_units >= own_units {
                ShortageCause::Held
            } else if usable < processes {
                ShortageCause::Part
            } else {
                ShortageCause::Spent
            }
        });
        LimitShortage { needed, left, rate, processes, usable, cause }
    }

    /// Returns the units per second that this process admitted recently.
    pub fn own_rate(&self, now: Instant) -> f64 {
        self.usage.rate(now)
    }

    /// Returns the units of requests that other processes admitted and that no target got yet.
    fn peers_held(&self, now: Instant, row_lifetime: Duration) -> f64 {
        let fresh =
            |peer: &&PeerUse| now.saturating_duration_since(peer.reported_at) < row_lifetime;
        self.peers.values().filter(fresh).map(|peer| peer.held_units).sum()
    }

    /// Records that a target got a request with these units for the first time.
    pub fn use_held(&mut self, now: Instant, units: f64) {
        self.held_units = (self.held_units - units).max(0.0);
        self.last_changed = Some(now);
    }

    /// Returns the units of a request that did not run to the buckets. `is_held` is `true` where no target got
    /// the request.
    pub fn refund(&mut self, now: Instant, units: f64, is_held: bool) {
        if is_held {
            self.held_units = (self.held_units - units).max(0.0);
        }
        self.shared_units += units;
        self.own_units += units;
        self.admitted_units -= units as i64;
        self.usage.add(now, -units);
        self.last_changed = Some(now);
    }

    /// Returns the report of this process's own use for its row number `sequence`; `None` if the use hasn't
    /// changed for longer than `max_idle`. By then all others have received the last report, and a new count
    /// begins with the next change.
    pub fn report(&mut self, now: Instant, sequence: u64, max_idle: Duration) -> Option<Report> {
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.reported_at) < max_idle);
        if self.last_changed.is_none_or(|at| now.saturating_duration_since(at) > max_idle) {
            self.admitted_units = 0;
            self.count = None;
            return None;
        }
        Some(Report {
            count: *self.count.get_or_insert(sequence),
            admitted_units: self.admitted_units,
            held_units: self.held_units as i64,
            units_left: self.shared_units as i64,
        })
    }

    /// Sets the shared bucket to the units left at a process that started earlier, less the units that
    /// this process admitted; of several such processes the most units left count. After that, the
    /// process gets no more extra units for its start.
    pub fn adopt(&mut self, now: Instant, left: i64) {
        let left = left as f64 - self.admitted_units as f64;
        self.shared_units = if self.has_adopted { self.shared_units.max(left) } else { left };
        self.has_adopted = true;
        self.start_fraction_left = 0.0;
        self.refilled = now;
    }

    /// Subtracts the units that another process admitted from the shared bucket, or adds those that it
    /// returned, which are negative.
    pub fn charge(&mut self, peer: SocketAddr, charge: PeerCharge) {
        let PeerCharge { units, held_units, made, time } = charge;
        self.shared_units -= units;
        let known = self.peers.get(&peer).map_or(0.0, |known| known.rate);
        let rate = match time.map(|time| time.as_secs_f64()) {
            Some(time) if time > 0.0 => {
                let weight = 1.0 - (-time / PEER_RATE_TIME.as_secs_f64()).exp();
                known + (units / time - known) * weight
            }
            _ => known,
        };
        self.peers.insert(peer, PeerUse { rate, held_units, reported_at: made });
    }

    /// Removes the use by a process that no longer reports any.
    pub fn remove_peer(&mut self, peer: &SocketAddr) {
        self.peers.remove(peer);
    }

    /// Returns the units that other processes are expected to have admitted since their last rows, and the
    /// units that they are expected to admit per second. Stale rows don't count.
    fn expected_of_peers(&self, now: Instant, row_lifetime: Duration) -> (f64, f64) {
        let expected = self.peers.values().filter_map(|peer| {
            let age = now.saturating_duration_since(peer.reported_at);
            let rate = peer.rate.max(0.0);
            (age < row_lifetime).then_some((rate * age.as_secs_f64(), rate))
        });
        expected.fold((0.0, 0.0), |(units, rate), (more_units, more_rate)| {
            (units + more_units, rate + more_rate)
        })
    }

    /// Adds the units that became available since the last refill to both buckets.
    pub fn refill(&mut self, now: Instant, limit: &Limit, share: LimitShare) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let processes = f64::from(share.processes);
        // The extra units after a start are added evenly over this time, so that all starts within a
        // window together add no more than [`STARTS_TOLERANCE`].
        let start_time = share.tolerance.window.mul_f64(START_TOLERANCE / STARTS_TOLERANCE);
        let start_fraction = elapsed.min(self.start_fraction_left * start_time.as_secs_f64())
            / start_time.as_secs_f64();
        self.start_fraction_left -= start_fraction;
        let start_units = start_fraction * share.tolerance.units(START_TOLERANCE, limit);
        self.shared_units += start_units;
        self.own_units += start_units / processes;
        // An overshoot is carried over only up to the units that may be in use at once: otherwise a lowered
        // limit would lock its account out. Less would turn units that are charged and then returned into
        // units that never were.
        let min_units = -limit.burst.max(limit.rate) - share.tolerance.units(1.0, limit);
        // While this process uses only its own part, the shared bucket gets the parts of all processes
        // whose use is charged to it.
        let fraction =
            if share.usable > 1 { share.usable_fraction() } else { share.known_fraction() };
        let peers_held = self.peers_held(now, share.row_lifetime);
        // Held units are used later or returned. Together with them the bucket holds no more than without,
        // but always enough for the next request.
        let without_held = |max_units: f64, held_units: f64, burst: f64| {
            let reserve = RESERVE_PER_RANK * f64::from(MAX_RESERVED_RANKS) * burst;
            let min_capacity = (self.recent_largest + reserve).min(burst);
            (max_units - held_units).max(min_capacity)
        };
        let burst = limit.burst * fraction;
        let max_units = without_held(
            burst + share.tolerance.units(BURST_TOLERANCE, limit) * fraction,
            self.held_units + peers_held,
            burst,
        );
        // Where limits are leased, units that others are expected to have used don't count as left, so they don't fill
        // the bucket either. Otherwise the rows of a few busy processes that don't arrive would empty it.
        let unreported = match share.leased {
            Some(_) if share.usable > 1 => self.expected_of_peers(now, share.row_lifetime).0,
            _ => 0.0,
        };
        let max_units = max_units + unreported;
        let own_burst = share.own_part(limit.burst);
        let max_own_units = without_held(own_burst, self.held_units, own_burst);
        self.shared_units =
            (self.shared_units + elapsed * limit.rate * fraction).clamp(min_units, max_units);
        self.own_units = match share.leased {
            // While this process uses the limit with others, it has its part of what all of them left, as the
            // others take its use out of theirs.
            Some(fractions) if share.usable > 1 => {
                ((self.shared_units - unreported) * fractions.own).min(max_own_units)
            }
            Some(fractions) => (self.own_units + elapsed * limit.rate * fractions.own)
                .clamp(min_units, max_own_units),
            None => {
                (self.own_units + elapsed * limit.rate / processes).clamp(min_units, max_own_units)
            }
        };
    }
}
