//! Which processes live and what they have applied, as far as they told within a lease.
//!
//! A few agents, chosen from the configured targets, keep the reports of all processes, so that
//! one who asks how far a change has come asks these few instead of every process.

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

/// Period of a process's reports.
pub const PERIOD: Duration = Duration::from_secs(2);
/// Time after which a report no longer counts.
pub const LEASE: Duration = Duration::from_secs(6);
/// Targets for each agent that keeps reports.
pub const TARGETS_PER_KEEPER: usize = 64;
/// Fewest keepers that pass records on: one alone would stand between all others and the log.
pub const RELAYS_MIN: usize = 2;

#[derive(Clone, Debug)]
struct Seen {
    offset: Offset,
    until: Instant,
}

/// Reports that one agent keeps.
#[derive(Clone, Debug, Default)]
pub struct State {
    hosts: BTreeMap<HostName, BTreeMap<String, Seen>>,
    /// Highest offset that was heard of; never falls.
    highest: Offset,
}

impl State {
    /// Takes a report and gives the highest offset that was heard of.
    pub fn report(&mut self, now: Instant, report: Report) -> Offset {
        self.highest = self.highest.max(report.offset);
        let seen = Seen { offset: report.offset, until: now + LEASE };
        self.hosts.entry(report.host).or_default().insert(report.process, seen);
        self.highest
    }

    /// What was told within the lease.
    pub fn summary(&mut self, now: Instant) -> Summary {
        self.expire(now);
        let reports = self.hosts.iter().flat_map(|(host, processes)| {
            processes.iter().map(|(process, seen)| Report {
                offset: seen.offset,
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

    fn expire(&mut self, now: Instant) {
        for processes in self.hosts.values_mut() {
            processes.retain(|_, seen| seen.until > now);
        }
        self.hosts.retain(|_, processes| !processes.is_empty());
    }
}

/// The targets whose agents keep reports: the same few for every process with this configuration.
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

/// The keepers in the order in which a host's processes try them.
pub fn keepers_for<'a>(config: &'a config::State, host: &str) -> Vec<&'a Target> {
    let keepers = keepers(config);
    let order = placement::order(hash(host), keepers.into_iter());
    order.iter().filter_map(|scored| config.target(&scored.target)).collect()
}

/// The targets whose agents pass records on to a process, in the order to try them; none where it
/// reads the log itself: because its own agent is a keeper, or because the deployment is small.
pub fn relays_for<'a>(config: &'a config::State, host: &str, own: Option<&str>) -> Vec<&'a Target> {
    let keepers = keepers(config);
    let reads_itself = keepers.iter().any(|keeper| Some(keeper.name.as_str()) == own);
    if reads_itself || keepers.len() < RELAYS_MIN {
        return Vec::new();
    }
    let mut relays = keepers_for(config, host);
    relays.truncate(RELAYS_MIN);
    relays
}

fn hash(name: &str) -> u64 {
    let mut word = [0; size_of::<u64>()];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut word);
    u64::from_le_bytes(word)
}
