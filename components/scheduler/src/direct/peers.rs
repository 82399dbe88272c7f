//! What entry processes tell each other of themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    id::{AccountName, TargetName},
    reservation::Limit,
};
use serde::{Deserialize, Serialize};

use super::{
    event::{Incarnation, Introduction},
    relay::Position,
    rollout::Share,
};

/// Shortest period of the exchange of rows.
const PERIOD: Duration = Duration::from_millis(50);
/// Time of the period for each other process: a process takes part in 100 exchanges a second at most,
/// which cost it under a hundredth of a core.
const PERIOD_EACH: Duration = Duration::from_millis(10);
/// Exchanges between two after which all rows are told, not just the own one.
const FULL: u64 = 20;
/// Periods after which a row doesn't count as known any more.
const KNOWN: u32 = 10;

/// Period of the exchange of rows with so many other processes.
pub fn period(others: usize) -> Duration {
    PERIOD.max(PERIOD_EACH * u32::try_from(others).unwrap_or(u32::MAX))
}

/// Whether the process in place `own` tells all rows in an exchange to the one in place `other` among
/// those it knows. No more than one in 20 is told, and tells the same one, in the same exchange, rounded up:
/// processes that start together count their exchanges alike, and all rows of all to one process would
/// fill its link for longer than an exchange may take.
pub fn tells_all(exchange: u64, own: usize, other: usize) -> bool {
    (exchange + own as u64 + other as u64).is_multiple_of(FULL)
}

/// What one entry process has at a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Busy {
    /// The target.
    pub target: TargetName,
    /// Its start, as the process knows it.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Requests.
    pub requests: u32,
    /// Tokens of the prompts whose answers haven't begun.
    pub unread: u32,
}

/// What one entry process last heard of a target's rate limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limited {
    /// The target.
    pub target: TargetName,
    /// Its start, as the process knows it.
    pub incarnation: Incarnation,
    /// What it named, and how long before the row was made.
    pub limit: Limit,
}

/// What one entry process knows of an account's use.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Use {
    /// The account.
    pub account: AccountName,
    /// Units that the process let through since its start.
    pub spent: u64,
    /// Units that it holds to be left for all processes.
    pub left: i64,
}

/// What one entry process says of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Where it listens for the others.
    pub address: Option<SocketAddr>,
    /// Differs with each start of the process.
    pub incarnation: u64,
    /// Grows with each row of an incarnation.
    pub sequence: u64,
    /// Time since it was made, as far as it was seen to pass.
    pub age: Duration,
    /// Whether it takes no more requests.
    pub leaving: bool,
    /// Processes that it hears, in the order of their addresses.
    pub hears: Vec<SocketAddr>,
    /// Time since its process started.
    pub uptime: Duration,
    /// What it knows of each account's use.
    pub accounts: Vec<Use>,
    /// What it has at each target.
    pub running: Vec<Busy>,
    /// What it last heard of the limits of targets that ever named one.
    #[serde(default)]
    pub limits: Vec<Limited>,
    /// What it knows of each roll-out.
    pub rollouts: Vec<Share>,
}

#[derive(Clone, Debug)]
struct Peer {
    row: Row,
    /// When the row was made, by the clock of this process; `None` where it was only heard of.
    made: Option<Instant>,
    /// What it last wrote to the platform's service.
    stamp: u64,
    /// When this process saw that change.
    introduced: Instant,
}

/// All other entry processes that are known.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddr, Peer>,
}

/// What a row tells of an account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// Units that another process let through since its last row.
    Spent(AccountName, u64),
    /// Units that a process has left which started earlier and is heard for the first time.
    Left(AccountName, i64),
}

impl Peers {
    /// Hears that there may be a process at an address. One whose stamp changes is alive, and may
    /// take requests even if it isn't heard.
    pub fn introduce(&mut self, now: Instant, introduction: Introduction) {
        let Introduction { address, stamp } = introduction;
        let peer = self.peers.entry(address).or_insert_with(|| Peer {
            row: Row { address: Some(address), ..Row::default() },
            made: None,
            stamp,
            introduced: now,
        });
        if stamp != 0 && peer.stamp != stamp {
            peer.stamp = stamp;
            peer.introduced = now;
        }
    }

    /// Takes a row in; gives what it tells of accounts to a process that runs for `uptime`.
    pub fn hear(&mut self, now: Instant, uptime: Duration, mut row: Row) -> Vec<Told> {
        row.hears.sort_unstable();
        let Some(address) = row.address else {
            return Vec::new();
        };
        self.introduce(now, Introduction { address, stamp: 0 });
        let Some(peer) = self.peers.get_mut(&address) else {
            return Vec::new();
        };
        let made = now.checked_sub(row.age).unwrap_or(now);
        let known = &peer.row;
        let same = known.incarnation == row.incarnation;
        if same && known.sequence >= row.sequence {
            return Vec::new();
        }
        // A row of an older incarnation that comes late by way of a third process.
        if !same && peer.made.is_some_and(|at| at > made) {
            return Vec::new();
        }
        let earlier = peer.made.is_none() && row.uptime > uptime;
        let told = row.accounts.iter().map(|use_| {
            let account = use_.account.clone();
            if earlier {
                return Told::Left(account, use_.left);
            }
            let before = known.accounts.iter().find(|known| same && known.account == account);
            let before = before.map_or(0, |before| before.spent);
            Told::Spent(account, use_.spent.saturating_sub(before))
        });
        let told = told.collect();
        peer.row = row;
        peer.made = Some(made);
        told
    }

    /// Addresses of all that may be alive.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Whether a process's row is current.
    pub fn hears(&self, now: Instant, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| self.is_known(peer, now))
    }

    /// Processes that may take requests: those not heard for longer than `gone` can't.
    pub fn expected(&self, now: Instant, gone: Duration) -> usize {
        self.active(now, gone).count()
    }

    /// Those of them whose rows are current.
    pub fn heard(&self, now: Instant, gone: Duration) -> usize {
        self.active(now, gone).filter(|peer| self.is_known(peer, now)).count()
    }

    /// Processes, this one included, whose parts of limits this one may use: those that hear it, and
    /// whom none hears that is silent here. So no two processes use the same part without one of them
    /// hearing what the other uses.
    pub fn together(&self, now: Instant, gone: Duration, own: SocketAddr) -> u32 {
        let (heard, silent): (Vec<&Peer>, Vec<&Peer>) =
            self.active(now, gone).partition(|peer| self.is_known(peer, now));
        let silent: BTreeSet<SocketAddr> =
            silent.into_iter().filter_map(|peer| peer.row.address).collect();
        let shares = |peer: &&Peer| {
            let hears = &peer.row.hears;
            hears.contains(&own) && hears.iter().all(|address| !silent.contains(address))
        };
        heard.into_iter().filter(shares).count() as u32 + 1
    }

    /// Processes that are heard.
    pub fn heard_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let known =
            self.peers.values().filter(|peer| self.is_known(peer, now) && !peer.row.leaving);
        known.filter_map(|peer| peer.row.address).collect()
    }

    fn is_known(&self, peer: &Peer, now: Instant) -> bool {
        let known = period(self.peers.len()) * KNOWN;
        peer.made.is_some_and(|made| now.saturating_duration_since(made) < known)
    }

    /// Addresses of those that may take requests.
    pub fn active_addresses(&self, now: Instant, gone: Duration) -> Vec<SocketAddr> {
        self.active(now, gone).filter_map(|peer| peer.row.address).collect()
    }

    /// Current rows, and for each how old it is.
    pub fn rows(&self, now: Instant) -> impl Iterator<Item = Row> {
        self.peers.values().filter_map(move |peer| {
            let age = now.saturating_duration_since(peer.made?);
            Some(Row { age, ..peer.row.clone() })
        })
    }

    /// Age of the oldest row that is current.
    pub fn oldest(&self, now: Instant) -> Option<Duration> {
        let known = self.peers.values().filter(|peer| self.is_known(peer, now));
        known.filter_map(|peer| Some(now.saturating_duration_since(peer.made?))).max()
    }

    /// What others have at their targets, as far as that is known.
    pub fn running(&self, now: Instant) -> impl Iterator<Item = &Busy> {
        let known = self.peers.values().filter(move |peer| self.is_known(peer, now));
        known.flat_map(|peer| &peer.row.running)
    }

    /// What all others last told of roll-outs.
    pub fn shares(&self) -> impl Iterator<Item = &Share> {
        self.peers.values().flat_map(|peer| &peer.row.rollouts)
    }

    /// Whether all that may take requests tell that an order's requests have moved.
    pub fn all_moved(&self, now: Instant, gone: Duration, order: Position) -> bool {
        self.active(now, gone).all(|peer| {
            peer.row.rollouts.iter().any(|share| share.order.position == order && share.moved)
        })
    }

    /// Forgets processes that have been silent for longer than `gone`, many times over.
    pub fn forget(&mut self, now: Instant, gone: Duration) {
        self.peers.retain(|_, peer| now.duration_since(peer.last()) < gone * 10);
    }

    fn active(&self, now: Instant, gone: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_active(now, gone))
    }
}

impl Peer {
    fn last(&self) -> Instant {
        self.made.map_or(self.introduced, |made| made.max(self.introduced))
    }

    fn is_active(&self, now: Instant, gone: Duration) -> bool {
        !self.row.leaving && now.saturating_duration_since(self.last()) < gone
    }
}
