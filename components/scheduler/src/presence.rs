//! Presence of processes: which of them reported within a lease, and which configuration offset
//! each has applied.
//!
//! Every process reports periodically to one of a few agents, the keepers, which are chosen from
//! the configured targets. Whoever needs to know how many processes have applied a configuration
//! change asks the keepers instead of every process.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{
    id::{HostName, Offset},
    presence::{Report, Summary},
    resource::{Kind, Target},
};

use crate::{config, placement};

/// Period in which each process reports.
pub const PERIOD: Duration = Duration::from_secs(2);
/// Time for which a report counts after a keeper received it.
pub const LEASE: Duration = Duration::from_secs(6);
/// Number of configured targets for each keeper, rounded up to whole keepers.
pub const TARGETS_PER_KEEPER: usize = 64;
/// Number of relays that each process may try; with fewer keepers than this, every process reads
/// the log itself, because a single relay would be a single point of failure between all other
/// processes and the log.
pub const RELAYS_PER_PROCESS: usize = 2;

/// Last report of one process.
#[derive(Clone, Debug)]
struct LastReport {
    offset: Offset,
    /// Time at which the report no longer counts.
    expires_at: Instant,
}

/// Reports that one keeper has received within [`LEASE`].
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Last reports by host and, within a host, by the name of the process.
    hosts: BTreeMap<HostName, BTreeMap<String, LastReport>>,
    /// Highest offset that any process has reported; never decreases.
    highest: Offset,
}

impl State {
    /// Stores a report and returns the highest offset that any process has reported.
    pub fn report(&mut self, now: Instant, report: Report) -> Offset {
        self.highest = self.highest.max(report.offset);
        let last = LastReport { offset: report.offset, expires_at: now + LEASE };
        self.hosts.entry(report.host).or_default().insert(report.process, last);
        self.highest
    }

    /// Returns a summary of the reports that were received within [`LEASE`].
    pub fn summary(&mut self, now: Instant) -> Summary {
        self.expire(now);
        let reports = self.hosts.iter().flat_map(|(host, processes)| {
            processes.iter().map(|(process, last)| Report {
                offset: last.offset,
                host: host.clone(),
                process: process.clone(),
            })
        });
        let processes: usize = self.hosts.values().map(BTreeMap::len).sum();
        Summary {
            hosts: u32::try_from(self.hosts.len()).unwrap_or(u32::MAX),
            processes: u32::try_from(processes).unwrap_or(u32::MAX),
            slowest: reports.min(),
            highest: self.highest,
        }
    }

    /// Removes the reports whose lease has ended, and hosts without reports.
    fn expire(&mut self, now: Instant) {
        for processes in self.hosts.values_mut() {
            processes.retain(|_, last| last.expires_at > now);
        }
        self.hosts.retain(|_, processes| !processes.is_empty());
    }
}

/// Returns the targets whose agents are keepers: one for every [`TARGETS_PER_KEEPER`] targets.
/// Every process with the same configuration gets the same ones.
pub fn keepers(config: &config::State) -> Vec<&Target> {
    let targets = config.list(Kind::Target);
    let targets = targets.filter_map(|versioned| match &versioned.resource {
        model::Resource::Target(target) => Some(target),
        _ => None,
    });
    let mut targets: Vec<&Target> = targets.collect();
    targets.sort_by_cached_key(|target| hash(&target.name));
    targets.truncate(targets.len().div_ceil(TARGETS_PER_KEEPER));
    targets
}

/// Returns the keepers in the order in which the processes of a host try them.
pub fn keepers_for<'a>(config: &'a config::State, host: &str) -> Vec<&'a Target> {
    let keepers = keepers(config);
    let order = placement::order(hash(host), keepers.into_iter());
    order.iter().filter_map(|scored| config.target(&scored.target)).collect()
}

/// Returns the targets whose agents relay records of the log to a process, in the order in which it
/// tries them.
///
/// The result is empty where the process reads the log itself: where it is the agent of a target
/// `own` that is a keeper, or where there are fewer than [`RELAYS_PER_PROCESS`] keepers.
pub fn relays_for<'a>(config: &'a config::State, host: &str, own: Option<&str>) -> Vec<&'a Target> {
    let keepers = keepers(config);
    let reads_log_itself = keepers.iter().any(|keeper| Some(keeper.name.as_str()) == own);
    if reads_log_itself || keepers.len() < RELAYS_PER_PROCESS {
        return Vec::new();
    }
    let mut relays = keepers_for(config, host);
    relays.truncate(RELAYS_PER_PROCESS);
    relays
}

/// Returns a hash of a name of a target or host.
fn hash(name: &str) -> u64 {
    let mut bytes = [0; size_of::<u64>()];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
