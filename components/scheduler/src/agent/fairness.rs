//! Fair shares of a target: of the reservations of the rank that goes next, which account's turn it is.
//!
//! Only reservations that can meet their target latency and state a share take part. All others keep their place in
//! the queue.

use model::{
    id::{AccountHash, Rank},
    reservation::Share,
};

use super::queue::{Queue, QueueKey, WaitingReservation};
use crate::flows::{self, Flows};

/// Accounts with waiting reservations.
pub type Fairness = Flows<Rank, QueueKey>;

/// Charge for a grant, which is returned to the account if the grant isn't started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Charge {
    rank: Rank,
    cost: u64,
    /// Account whose share the grant uses, for the log.
    pub turn: Turn,
}

/// How an account came to its turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Turn {
    /// Hash of the account's name.
    pub account: AccountHash,
    /// Weight of the account, as the reservation stated it.
    pub weight: u32,
    /// Work that the account had got beyond the virtual time of its rank, or less than that if negative, in tokens of
    /// an account with [`flows::UNIT_WEIGHT`].
    pub lead: i64,
    /// Whether another reservation would have been granted by deadline and arrival alone.
    pub is_reordered: bool,
}

/// Returns the share that a reservation takes part with; `None` where it keeps its place in the queue.
fn share_of(waiting: &WaitingReservation) -> Option<Share> {
    waiting.order.share.filter(|_| !waiting.order.is_late)
}

/// Adds a reservation to those of its account.
pub fn add(fairness: &mut Fairness, waiting: &WaitingReservation) {
    if let Some(share) = share_of(waiting) {
        let cost = flows::share_cost(share, waiting.tokens);
        fairness.push(waiting.rank, share.account, waiting.queue_key, cost);
    }
}

/// Removes a reservation from those of its account.
pub fn remove(fairness: &mut Fairness, waiting: &WaitingReservation) {
    if let Some(share) = share_of(waiting) {
        fairness.remove(waiting.rank, share.account, &waiting.queue_key);
    }
}

impl Queue {
    /// Returns the reservation whose account's turn it is, where `chosen` is the one that goes next by tier, deadline
    /// and arrival.
    pub fn in_turn<'a>(&'a self, chosen: &'a WaitingReservation) -> &'a WaitingReservation {
        let first = share_of(chosen).and_then(|_| self.fairness.first(chosen.rank));
        first.and_then(|key| self.get(&key)).unwrap_or(chosen)
    }

    /// Returns the reservation that is evicted first where `last` is the last one in the queue: the last of the account
    /// of that rank that waits for most beyond its share.
    pub fn last_in_turn<'a>(&'a self, last: &'a WaitingReservation) -> &'a WaitingReservation {
        let key = share_of(last).and_then(|_| self.fairness.last(last.rank));
        key.and_then(|key| self.get(&key)).unwrap_or(last)
    }

    /// Charges the account of a reservation that is granted, before it is removed from the queue; `chosen` is the one
    /// that would have been granted by tier, deadline and arrival alone.
    pub fn charge(&mut self, granted: &QueueKey, chosen: &QueueKey) -> Option<Charge> {
        let waiting = self.get(granted)?;
        let (rank, share) = (waiting.rank, share_of(waiting)?);
        let cost = flows::share_cost(share, waiting.tokens);
        let lead = self.fairness.charge(rank, share.account, cost);
        let is_reordered = granted != chosen;
        let Share { account, weight } = share;
        Some(Charge { rank, cost, turn: Turn { account, weight, lead, is_reordered } })
    }

    /// Returns the charge for a grant that was never started to its account.
    pub fn give_back(&mut self, charge: Option<Charge>) {
        if let Some(Charge { rank, cost, turn }) = charge {
            self.fairness.give_back(rank, turn.account, cost);
        }
    }
}
