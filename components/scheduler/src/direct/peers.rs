//! State that entry processes exchange about themselves, one row for each process.
//!
//! A row is *current* while it is younger than ten exchange periods. A process is *active* while it
//! hasn't drained and its newest row, or the last change of its stamp at the platform's service, is
//! younger than the setting [`peer_timeout`](super::Settings::peer_timeout).
//!
//! All pairs of processes exchange their own rows. A process also relays the rows of others, but only those
//! that some process can't get directly: all rows of all processes would fill the links of small hosts.

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
    event::{Incarnation, Registration},
    leases::{self, Claim, Relation},
    relay::Position,
    rollout::PeerRollout,
};

/// Shortest time between two exchanges of rows with the same process.
const MIN_EXCHANGE_PERIOD: Duration = Duration::from_millis(50);
/// Part of the exchange period for each other process: it limits a process to 100 exchanges a second,
/// which take under a hundredth of a core.
const EXCHANGE_PERIOD_PER_PEER: Duration = Duration::from_millis(10);
/// One in so many exchanges with the same process sends all rows that any process lacks; the others send only
/// the sender's own row.
const EXCHANGES_PER_FULL_EXCHANGE: u64 = 20;
/// Number of exchange periods after which a row is stale.
const STALE_ROW_PERIODS: u32 = 10;
/// Number of exchange periods without a row from a process itself after which others relay its rows.
const RELAY_PERIODS: u32 = 3;

/// Returns the time between two exchanges of rows with the same process, where `others` processes are
/// known besides this one.
pub fn exchange_period(others: usize) -> Duration {
    MIN_EXCHANGE_PERIOD.max(EXCHANGE_PERIOD_PER_PEER * u32::try_from(others).unwrap_or(u32::MAX))
}

/// Returns whether a process sends all rows, not just its own, in the exchange with this number.
///
/// `own` and `other` are the indexes of the sender and of the receiver in the sender's sorted list of the
/// other processes' addresses; `own` is the index at which its own address would stand. In one exchange
/// a process sends all rows to at most one in 20 of the others, rounded up, and receives all rows from
/// at most as many. Processes that start together number their exchanges alike: if all of them sent all
/// rows to one process, they would fill its link for longer than the timeout of an exchange.
pub fn sends_all_rows(exchange: u64, own: usize, other: usize) -> bool {
    (exchange + own as u64 + other as u64).is_multiple_of(EXCHANGES_PER_FULL_EXCHANGE)
}

/// Load that one entry process puts on a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of the target to which the requests were dispatched.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Requests of the process that are in flight at the target.
    pub requests: u32,
    /// Prompt tokens of those requests whose answers haven't begun.
    pub pending_prompt_tokens: u32,
}

/// Rate limit of a target, as one entry process last learnt it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLimit {
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of the target that stated the limit.
    pub incarnation: Incarnation,
    /// The limit, with its age at the time when the row was made.
    pub limit: Limit,
}

/// Use of an account's limit, by the count of one entry process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountUsage {
    /// Name of the account.
    pub account: AccountName,
    /// Number that identifies the count of `admitted_units` in an incarnation of the process.
    pub count: u64,
    /// Units that the process admitted since its count began, less the units that were returned.
    pub admitted_units: i64,
    /// Units of admitted requests that no target got yet.
    pub held_units: i64,
    /// Units that are left for all processes together, by the process's own count; negative where the
    /// limit was exceeded.
    pub units_left: i64,
}

/// State that one entry process publishes about itself; other processes pass it on unchanged but for
/// its age.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Address on which the process listens for other entry processes; a row without one is ignored.
    pub address: Option<SocketAddr>,
    /// Number that differs with each start of the process.
    pub incarnation: u64,
    /// Number that grows with each row of an incarnation.
    pub sequence: u64,
    /// Time since the row was made, without the time that it spent in transit.
    pub age: Duration,
    /// Whether the process is draining and its last request has ended.
    pub has_drained: bool,
    /// Addresses of the processes whose rows are current at this process and that haven't drained,
    /// sorted.
    #[serde(with = "packed_addresses")]
    pub current_peers: Vec<SocketAddr>,
    /// Addresses of the active processes from which this process got no row directly for
    /// [`RELAY_PERIODS`]; others relay the rows of these.
    #[serde(default)]
    pub unheard_peers: Vec<SocketAddr>,
    /// Time since the process started.
    pub uptime: Duration,
    /// Use of the accounts' limits that the process's own count changed recently, sorted by account.
    pub account_usages: Vec<AccountUsage>,
    /// Weights of the process in accounts' limits, where it claims any.
    #[serde(default)]
    pub claims: Vec<Claim>,
    /// Age of the oldest row that the process has of any other active process; `None` where it lacks the row of one,
    /// or needs no ages since limits aren't leased.
    #[serde(default)]
    pub oldest_row_age: Option<Duration>,
    /// Load that the process puts on each target.
    pub target_loads: Vec<TargetLoad>,
    /// Rate limits, as the process last learnt them, of the targets that ever stated one.
    #[serde(default)]
    pub target_limits: Vec<TargetLimit>,
    /// Targets, with their incarnations, that stated that they are leaving, while the list shows them as ready.
    #[serde(default)]
    pub leaving_targets: Vec<(TargetName, Incarnation)>,
    /// State of each rollout at the process.
    pub rollouts: Vec<PeerRollout>,
}

/// What this process knows of another entry process.
#[derive(Clone, Debug)]
struct Peer {
    /// The newest row of the process; empty but for the address before the first one is received.
    row: Row,
    /// When the row was made, by the clock of this process; `None` before the first row is received.
    row_made: Option<Instant>,
    /// Claims of the process's previous incarnation; `None` where none is known.
    earlier_claims: Option<EarlierClaims>,
    /// When a row last came from the process itself, or when the process became known if none did.
    heard: Instant,
    /// Last known stamp of the process at the platform's service, which changes each time the process
    /// registers there; 0 where no registration is known.
    stamp: u64,
    /// When this process first learnt of the peer or last saw its stamp change.
    stamp_seen: Instant,
}

/// Claims of a process's previous incarnation.
#[derive(Clone, Debug)]
pub struct EarlierClaims {
    /// Claims of its last row.
    pub claims: Vec<Claim>,
    /// Time at which that row was made.
    pub made: Instant,
    /// Time at which the next incarnation's first row was made.
    pub replaced: Instant,
}

/// What the parts of accounts' limits depend on at another active process.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// Newest row of the process.
    pub row: &'a Row,
    /// Time at which the row was made; `None` where no row is known.
    pub made: Option<Instant>,
    /// Claims of the previous incarnation of the process.
    pub earlier_claims: Option<&'a EarlierClaims>,
    /// Whether this process may use the other one's part.
    pub relation: Relation,
}

/// All other known entry processes, by address.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddr, Peer>,
}

/// Changes of accounts' use that follow from a row of another process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageChanges {
    /// Address of the other process.
    pub peer: SocketAddr,
    /// Time at which the row was made.
    pub made: Instant,
    /// Time since the last row of the same incarnation; `None` if this is its first.
    pub time: Option<Duration>,
    /// The changes.
    pub changes: Vec<UsageChange>,
}

/// Change of an account's use that follows from a row of another process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UsageChange {
    /// Units that the other process admitted since its last row, negative if it returned more, and units of
    /// its admitted requests that no target got yet.
    Admitted(AccountName, i64, i64),
    /// Units that are left by the count of the other process, which started earlier than this one and
    /// whose first row this is.
    Remaining(AccountName, i64),
    /// The other process no longer reports any use.
    Ended(AccountName),
}

impl Peers {
    /// Adds a process that the platform's service lists, or updates its stamp. A process whose stamp
    /// changes is alive and may take requests, even if none of its rows arrive here.
    pub fn register(&mut self, now: Instant, registration: Registration) {
        let Registration { address, stamp } = registration;
        let peer = self.peers.entry(address).or_insert_with(|| Peer {
            row: Row { address: Some(address), ..Row::default() },
            row_made: None,
            earlier_claims: None,
            heard: now,
            stamp,
            stamp_seen: now,
        });
        if stamp != 0 && peer.stamp != stamp {
            peer.stamp = stamp;
            peer.stamp_seen = now;
        }
    }

    /// Records that the process at this address sent a row itself.
    pub fn record_heard(&mut self, now: Instant, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.heard = now;
        }
    }

    /// Stores a row and returns the changes of accounts' use that follow from it; returns `None` where the
    /// row is not newer than the known one of its process. `uptime` is the time since this process started.
    pub fn record_row(
        &mut self,
        now: Instant,
        uptime: Duration,
        mut row: Row,
    ) -> Option<UsageChanges> {
        row.current_peers.sort_unstable();
        leases::limit_claims(&mut row.claims);
        let address = row.address?;
        self.register(now, Registration { address, stamp: 0 });
        let peer = self.peers.get_mut(&address)?;
        let made = now.checked_sub(row.age).unwrap_or(now);
        let known = &peer.row;
        let is_same_incarnation = known.incarnation == row.incarnation;
        if is_same_incarnation && known.sequence >= row.sequence {
            return None;
        }
        // A row of an older incarnation can arrive late by way of a third process.
        if !is_same_incarnation && peer.row_made.is_some_and(|at| at > made) {
            return None;
        }
        let is_first_of_older_process = peer.row_made.is_none() && row.uptime > uptime;
        let changes = if is_first_of_older_process {
            remaining_units(&row)
        } else {
            usage_changes(known, &row, is_same_incarnation)
        };
        let last_made = peer.row_made.filter(|_| is_same_incarnation);
        let time = last_made.map(|last| made.saturating_duration_since(last));
        let previous = std::mem::replace(&mut peer.row, row);
        if let Some(last_made) = peer.row_made.filter(|_| !is_same_incarnation) {
            let claims = previous.claims;
            peer.earlier_claims = Some(EarlierClaims { claims, made: last_made, replaced: made });
        }
        peer.row_made = Some(made);
        Some(UsageChanges { peer: address, made, time, changes })
    }

    /// Returns the addresses of all known processes.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns whether the row of the process at this address is current.
    pub fn has_current_row_of(&self, now: Instant, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| self.has_current_row(peer, now))
    }

    /// Returns the number of active processes. A process that wasn't seen for `peer_timeout` accepts no
    /// requests with an API key (see [`Settings::peer_timeout`](super::Settings::peer_timeout)).
    pub fn active_count(&self, now: Instant, peer_timeout: Duration) -> usize {
        self.active(now, peer_timeout).count()
    }

    /// Returns the number of active processes whose rows are current.
    pub fn current_count(&self, now: Instant, peer_timeout: Duration) -> usize {
        self.active(now, peer_timeout).filter(|peer| self.has_current_row(peer, now)).count()
    }

    /// Returns the number of processes, this one included, whose parts of accounts' limits this process
    /// may use.
    ///
    /// Besides this process, these are the active processes with a current row whose [`Row::current_peers`]
    /// contains `own`, the address of this process, and contains no active process whose row is stale
    /// here. So two processes never use the same part unless one of them receives the other's rows.
    pub fn usable_parts(&self, now: Instant, peer_timeout: Duration, own: SocketAddr) -> u32 {
        let usable = self.views(now, peer_timeout, own).into_iter();
        usable.filter(|view| view.relation == Relation::Usable).count() as u32 + 1
    }

    /// Returns the active processes with their relation to this one, whose address is `own`.
    pub fn views(
        &self,
        now: Instant,
        peer_timeout: Duration,
        own: SocketAddr,
    ) -> Vec<PeerView<'_>> {
        let active: Vec<(&Peer, bool)> = self
            .active(now, peer_timeout)
            .map(|peer| (peer, self.has_current_row(peer, now)))
            .collect();
        let stale = active.iter().filter(|(_, is_current)| !is_current);
        let stale: BTreeSet<SocketAddr> = stale.filter_map(|(peer, _)| peer.row.address).collect();
        let relation = |peer: &Peer, is_current: bool| {
            let current_peers = &peer.row.current_peers;
            let is_usable = || {
                current_peers.contains(&own)
                    && current_peers.iter().all(|address| !stale.contains(address))
            };
            match is_current {
                true if is_usable() => Relation::Usable,
                true => Relation::Known,
                false => Relation::Stale,
            }
        };
        let views = active.iter().map(|&(peer, is_current)| PeerView {
            row: &peer.row,
            made: peer.row_made,
            earlier_claims: peer.earlier_claims.as_ref(),
            relation: relation(peer, is_current),
        });
        views.collect()
    }

    /// Returns the age of the oldest row of any other active process; `None` where one has none.
    pub fn oldest_row_age(&self, now: Instant, peer_timeout: Duration) -> Option<Duration> {
        let mut ages = self
            .active(now, peer_timeout)
            .map(|peer| peer.row_made.map(|made| now.saturating_duration_since(made)));
        ages.try_fold(Duration::ZERO, |oldest, age| Some(oldest.max(age?)))
    }

    /// Returns the addresses of the processes whose rows are current and that haven't drained, for
    /// [`Row::current_peers`].
    pub fn current_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let current = self.current(now).filter(|peer| !peer.row.has_drained);
        current.filter_map(|peer| peer.row.address).collect()
    }

    /// Returns the age from which a row is stale.
    pub fn row_lifetime(&self) -> Duration {
        exchange_period(self.peers.len()) * STALE_ROW_PERIODS
    }

    fn has_current_row(&self, peer: &Peer, now: Instant) -> bool {
        let lifetime = self.row_lifetime();
        peer.row_made.is_some_and(|made| now.saturating_duration_since(made) < lifetime)
    }

    /// Returns the addresses of the active processes.
    pub fn active_addresses(&self, now: Instant, peer_timeout: Duration) -> Vec<SocketAddr> {
        self.active(now, peer_timeout).filter_map(|peer| peer.row.address).collect()
    }

    /// Returns the addresses of the active processes that sent no row themselves for [`RELAY_PERIODS`], for
    /// [`Row::unheard_peers`].
    pub fn unheard_addresses(&self, now: Instant, peer_timeout: Duration) -> Vec<SocketAddr> {
        let max_silence = exchange_period(self.peers.len()) * RELAY_PERIODS;
        let unheard = self
            .active(now, peer_timeout)
            .filter(|peer| now.saturating_duration_since(peer.heard) > max_silence);
        unheard.filter_map(|peer| peer.row.address).collect()
    }

    /// Returns the current rows that some active process lacks or doesn't get directly, as its own row
    /// reports, with their present ages.
    pub fn lacked_rows(&self, now: Instant, peer_timeout: Duration) -> Vec<Row> {
        let current: BTreeSet<SocketAddr> =
            self.current(now).filter_map(|peer| peer.row.address).collect();
        let mut lacked = BTreeSet::new();
        for Peer { row, .. } in self.active(now, peer_timeout) {
            lacked.extend(row.unheard_peers.iter().copied());
            // Skips processes that lack nothing: their lists are as long as `current`, since each list has
            // this process in place of its own.
            if row.current_peers.len() < current.len() {
                lacked.extend(current.iter().filter(|address| {
                    Some(**address) != row.address
                        && row.current_peers.binary_search(address).is_err()
                }));
            }
        }
        let rows = lacked.iter().filter_map(|address| self.peers.get(address));
        let rows = rows.filter(|peer| self.has_current_row(peer, now)).filter_map(|peer| {
            let age = now.saturating_duration_since(peer.row_made?);
            Some(Row { age, ..peer.row.clone() })
        });
        rows.collect()
    }

    /// Returns the age of the oldest current row; `None` where no row is current.
    pub fn oldest_current_row_age(&self, now: Instant) -> Option<Duration> {
        let current = self.current(now);
        current.filter_map(|peer| Some(now.saturating_duration_since(peer.row_made?))).max()
    }

    /// Returns the load that other processes put on targets, as stated in their rows (the state that each
    /// last sent), if these are current.
    pub fn target_loads(&self, now: Instant) -> impl Iterator<Item = &TargetLoad> {
        self.current(now).flat_map(|peer| &peer.row.target_loads)
    }

    /// Returns the states of rollouts from the newest rows of all other processes, stale rows included.
    pub fn peer_rollouts(&self) -> impl Iterator<Item = &PeerRollout> {
        self.peers.values().flat_map(|peer| &peer.row.rollouts)
    }

    /// Returns whether every active process reports that it has finished the traffic shift to the version
    /// that is ordered at this position.
    pub fn are_all_shifted(&self, now: Instant, peer_timeout: Duration, order: Position) -> bool {
        self.active(now, peer_timeout).all(|peer| {
            peer.row
                .rollouts
                .iter()
                .any(|rollout| rollout.order.position == order && rollout.is_shifted)
        })
    }

    /// Removes processes that weren't seen for ten times as long as `peer_timeout`.
    pub fn remove_expired(&mut self, now: Instant, peer_timeout: Duration) {
        self.peers.retain(|_, peer| now.duration_since(peer.last_seen()) < peer_timeout * 10);
    }

    /// Returns the processes whose rows are current.
    fn current(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| self.has_current_row(peer, now))
    }

    fn active(&self, now: Instant, peer_timeout: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_active(now, peer_timeout))
    }
}

impl Peer {
    /// Returns when this process last had evidence that the peer was alive.
    fn last_seen(&self) -> Instant {
        self.row_made.map_or(self.stamp_seen, |made| made.max(self.stamp_seen))
    }

    fn is_active(&self, now: Instant, peer_timeout: Duration) -> bool {
        !self.row.has_drained && now.saturating_duration_since(self.last_seen()) < peer_timeout
    }
}

/// Returns the units that are left of each account by the first row of an older process.
fn remaining_units(row: &Row) -> Vec<UsageChange> {
    let remaining =
        |usage: &AccountUsage| UsageChange::Remaining(usage.account.clone(), usage.units_left);
    row.account_usages.iter().map(remaining).collect()
}

/// Returns the changes of accounts' use between two rows of a process. If the rows are of different
/// incarnations, all units of the new row were admitted since the last one.
fn usage_changes(last: &Row, new: &Row, is_same_incarnation: bool) -> Vec<UsageChange> {
    let last: BTreeMap<&AccountName, &AccountUsage> =
        last.account_usages.iter().map(|usage| (&usage.account, usage)).collect();
    let mut ended: BTreeSet<&AccountName> = last.keys().copied().collect();
    let mut changes = Vec::with_capacity(new.account_usages.len());
    for usage in &new.account_usages {
        ended.remove(&usage.account);
        let known = last
            .get(&usage.account)
            .filter(|known| is_same_incarnation && known.count == usage.count)
            .map_or(0, |known| known.admitted_units);
        let units = usage.admitted_units - known;
        changes.push(UsageChange::Admitted(usage.account.clone(), units, usage.held_units));
    }
    changes.extend(ended.into_iter().map(|account| UsageChange::Ended(account.clone())));
    changes
}

/// Serialization of addresses, six bytes for each IPv4 address.
mod packed_addresses {
    use std::net::{SocketAddr, SocketAddrV4};

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Serialized form of addresses.
    #[derive(Deserialize, Serialize)]
    struct Packed {
        /// IP number and port of each IPv4 address, in network byte order.
        v4: Vec<[u8; 6]>,
        /// All other addresses.
        others: Vec<SocketAddr>,
    }

    pub fn serialize<S: Serializer>(
        addresses: &[SocketAddr],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut packed = Packed { v4: Vec::new(), others: Vec::new() };
        for address in addresses {
            match address {
                SocketAddr::V4(address) => {
                    let ([a, b, c, d], [high, low]) =
                        (address.ip().octets(), address.port().to_be_bytes());
                    packed.v4.push([a, b, c, d, high, low]);
                }
                other => packed.others.push(*other),
            }
        }
        packed.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<SocketAddr>, D::Error> {
        let Packed { v4, others } = Packed::deserialize(deserializer)?;
        let unpack = |[a, b, c, d, high, low]: [u8; 6]| {
            let port = u16::from_be_bytes([high, low]);
            SocketAddr::V4(SocketAddrV4::new([a, b, c, d].into(), port))
        };
        Ok(v4.into_iter().map(unpack).chain(others).collect())
    }
}
