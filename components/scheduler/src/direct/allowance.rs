//! Limits of client accounts that all entry processes keep together.
//!
//! Each process knows what the others let through and keeps the whole limit's bucket. A process that
//! may take requests but is silent keeps to an equal part. A process uses, besides its own, the parts
//! of those that hear it and none that is silent here: whoever else uses these parts is heard here, so
//! that what is let through adds up to the limit whoever is cut off from whom.

use std::time::{Duration, Instant};

use super::{event::Lack, plan::Limit};

/// What one process knows of an account's use.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// Units let through by this process since its start; only grows, but for what is given back.
    pub spent: u64,
    /// Units left of the parts of all processes whose use is known; at most their burst, negative after
    /// an overshoot.
    whole: f64,
    /// Units left of an equal part of the limit.
    part: f64,
    /// Units of the largest request of late; small ones wait for as much as it does.
    largest: f64,
    refilled: Instant,
    /// Part of what a process gets besides after its start that is still to come, from 0 to 1.
    stock: f64,
    /// Whether it has taken over what another process has left.
    adopted: bool,
}

/// How far a deployment lets an account's use lie above its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Part of what the limit allows over the window.
    pub ratio: f64,
    /// Units besides.
    pub slack: f64,
    /// Time over which use is counted.
    pub window: Duration,
}

/// Part of the tolerance that is given out, so that nothing below the limit is refused where
/// requests come in clumps. The rest is left for what processes let through before they hear of
/// each other, and for the parts that come on top when one is cut off.
const GIVEN: f64 = 0.7;
/// Part of the tolerance that a process gets besides after its start. What was let through before isn't
/// known, and may have been all that the limit allows; this much may come on top all the same.
const STOCK: f64 = 0.1;
/// Part of the tolerance that comes so over a window, to all starts in it together.
const STOCKS: f64 = 0.3;
/// Part of the bucket that is kept for each higher rank, so that lower ones are refused before them.
const RESERVE: f64 = 0.15;
/// Ranks that are told apart.
const RANKS: u32 = 1;
/// Part of the largest request's units that is remembered after the next one: a bucket that is
/// nearly empty refuses all sizes alike.
const REMEMBERED: f64 = 0.98;

impl Tolerance {
    fn part(&self, part: f64, limit: &Limit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        part * (self.ratio * allowed + self.slack)
    }
}

/// What a request asks of its account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that it takes.
    pub units: f64,
    /// Its rank: what is kept for higher ones it leaves.
    pub rank: u32,
    /// Whether it says its size, and so waits for as much as the largest of late does. Others are too
    /// small to take from those.
    pub sized: bool,
}

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Processes among which the limit is parted; at least 1.
    pub among: u32,
    /// Those of them, this one included, whose use is known here.
    pub heard: u32,
    /// Those of them, this one included, whose parts this one may use; 1 where it keeps to its part.
    pub together: u32,
    /// How far the limit may be passed.
    pub tolerance: Tolerance,
}

/// An account that hasn't been used. Its buckets are empty: a process that was started again doesn't know
/// what it let through before.
pub fn open(started: Instant) -> Allowance {
    Allowance {
        spent: 0,
        whole: 0.0,
        part: 0.0,
        largest: 0.0,
        refilled: started,
        stock: 1.0,
        adopted: false,
    }
}

impl Allowance {
    /// Hears that units are asked for.
    pub fn ask(&mut self, claim: Claim) {
        if claim.sized {
            self.largest = claim.units.max(REMEMBERED * self.largest);
        }
    }

    /// Takes units, or says what is lacking.
    pub fn take(
        &mut self,
        now: Instant,
        limit: &Limit,
        share: Share,
        claim: Claim,
    ) -> Result<(), Lack> {
        self.refill(now, limit, share);
        let lack = self.lack(now, limit, share, claim);
        if lack.units > lack.left {
            return Err(lack);
        }
        self.whole -= claim.units;
        self.part -= claim.units;
        self.spent += claim.units as u64;
        Ok(())
    }

    /// What has to be there for units to be taken, and what is.
    pub fn lack(&self, now: Instant, limit: &Limit, share: Share, claim: Claim) -> Lack {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let (among, together) = (share.among, share.together);
        let (left, part) = if together > 1 || among == 1 {
            (self.whole, f64::from(together) / f64::from(among))
        } else {
            (self.part, 1.0 / f64::from(among))
        };
        let (rate, burst) = (limit.rate * part, limit.burst * part);
        let reserve = RESERVE * f64::from(claim.rank.min(RANKS)) * burst;
        let units = if claim.sized { claim.units.max(self.largest) } else { claim.units };
        // A request larger than the burst is let through by a full bucket.
        let needed = (units + reserve).min(burst);
        Lack { units: needed, left: left + passed * rate, rate, among, together }
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.whole += units;
        self.part += units;
        self.spent = self.spent.saturating_sub(units as u64);
    }

    /// Units left, for a process that was started after this one.
    pub fn left(&self) -> i64 {
        self.whole as i64
    }

    /// Takes over what a process that started earlier has left, in place of what this one started with.
    pub fn adopt(&mut self, now: Instant, left: i64) {
        let left = left as f64 - self.spent as f64;
        self.whole = if self.adopted { self.whole.max(left) } else { left };
        self.adopted = true;
        self.stock = 0.0;
        self.refilled = now;
    }

    /// Counts what another process let through.
    pub fn charge(&mut self, units: f64) {
        self.whole -= units;
    }

    fn refill(&mut self, now: Instant, limit: &Limit, share: Share) {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let among = f64::from(share.among);
        let time = share.tolerance.window.mul_f64(STOCK / STOCKS);
        let comes = passed.min(self.stock * time.as_secs_f64()) / time.as_secs_f64();
        self.stock -= comes;
        let stock = comes * share.tolerance.part(STOCK, limit);
        self.whole += stock;
        self.part += stock / among;
        // What was taken beyond the limit is owed for a burst at most, else a lowered limit would
        // lock its account out.
        let floor = -limit.burst.max(limit.rate);
        // All whose use is charged to it count while this process keeps to its part.
        let known = if share.together > 1 { share.together } else { share.heard };
        let known = f64::from(known) / among;
        let most = (limit.burst + share.tolerance.part(GIVEN, limit)) * known;
        self.whole = (self.whole + passed * limit.rate * known).clamp(floor, most);
        self.part = (self.part + passed * limit.rate / among).clamp(floor, limit.burst / among);
    }
}
