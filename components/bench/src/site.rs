//! Targets of a workload and the configuration that describes them to the reducers.

use std::{
    net::{Ipv4Addr, SocketAddr},
    ops::Range,
    time::Duration,
};

use model::{
    Change, Host, Resource,
    change::{Action, SCHEMA},
    credential, host,
    id::{Rank, TargetName},
    resource::{self, Backing, Desired, Limit},
};
use scheduler::entry::Record;
use uuid::Uuid;

use crate::workload::{Pool, Workload};

/// By how much an account may pass its share of the capacity.
const ALLOWANCE: f64 = 2.5;

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: TargetName,
    /// Its pool's place in the workload.
    pub pool: usize,
    /// Its zone's place in the workload.
    pub zone: usize,
    /// Its speed in percent.
    pub speed_percent: u32,
}

/// All targets and the records that configure them.
#[derive(Clone, Debug)]
pub struct Site {
    /// Targets, those of one pool next to each other.
    pub targets: Vec<Target>,
    /// Targets of each pool.
    pools: Vec<Range<usize>>,
    /// The configuration stream.
    pub records: Vec<Record>,
    /// The platform's list of hosts.
    pub hosts: Vec<Host>,
}

/// Describes a workload's deployment.
pub fn open(workload: &Workload) -> Site {
    let mut targets = Vec::new();
    let mut pools = Vec::new();
    for (index, pool) in workload.pools.iter().enumerate() {
        let first = targets.len();
        let zones = workload.zones.len();
        targets.extend((0..pool.targets).map(|target| Target {
            name: format!("{}-{target}", pool.name),
            pool: index,
            zone: target % zones,
            speed_percent: pool.speed_percent(target),
        }));
        pools.push(first..targets.len());
    }
    let hosts = hosts(workload, &targets);
    let records = records(resources(workload, &targets));
    Site { targets, pools, records, hosts }
}

impl Site {
    /// Targets of a pool.
    pub fn pool(&self, pool: usize) -> Range<usize> {
        self.pools[pool].clone()
    }

    /// The target whose agent has a control address.
    pub fn at(&self, address: SocketAddr) -> usize {
        usize::from(address.port() - 1)
    }
}

/// Secret that an account's callers send.
pub fn key(account: &str) -> String {
    format!("{account}-key")
}

/// Model that a pool serves.
pub fn model(pool: &Pool) -> String {
    format!("{}-model", pool.name)
}

/// One host for each target and one for each zone's entry process.
fn hosts(workload: &Workload, targets: &[Target]) -> Vec<Host> {
    let host = |name: String, zone: usize| Host {
        name,
        zone: workload.zones[zone].clone(),
        state: host::State::Live,
    };
    let entries = (0..workload.zones.len()).map(|zone| host(format!("entry-{zone}"), zone));
    let targets = targets.iter().map(|target| host(target.name.clone(), target.zone));
    entries.chain(targets).collect()
}

fn resources(workload: &Workload, targets: &[Target]) -> Vec<Resource> {
    let tiers = workload.tiers.iter().enumerate().map(|(rank, tier)| {
        Resource::Tier(resource::Tier {
            name: tier.name.clone(),
            rank: rank as Rank,
            deadline: Duration::from_millis(tier.deadline_ms),
        })
    });
    let accounts = accounts(workload);
    let pools = workload.pools.iter().map(|pool| {
        Resource::Pool(resource::Pool {
            name: pool.name.clone(),
            backing: pool.backing,
            models: match pool.backing {
                Backing::Model => vec![model(pool)],
                Backing::Service => Vec::new(),
            },
            patience: Duration::from_millis(pool.patience_ms),
            idempotent: true,
        })
    });
    let targets = targets.iter().enumerate().map(|(index, item)| target(workload, index, item));
    tiers.chain(accounts).chain(pools).chain(targets).collect()
}

fn accounts(workload: &Workload) -> Vec<Resource> {
    let capacity: f64 = workload.pools.iter().map(|pool| pool.capacity(workload)).sum();
    let account = |account: &crate::workload::Account| {
        let rate = (capacity * account.share * ALLOWANCE).ceil() as u32;
        Resource::Account(resource::Account {
            name: account.name.clone(),
            key_hash: credential::hash(&key(&account.name)),
            tiers: workload.tiers.iter().map(|tier| tier.name.clone()).collect(),
            limit: Some(Limit { concurrency: u32::MAX, requests_per_second: rate }),
        })
    };
    workload.accounts.iter().map(account).collect()
}

fn target(workload: &Workload, index: usize, target: &Target) -> Resource {
    let port = index as u16 + 1;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Resource::Target(resource::Target {
        name: target.name.clone(),
        pool: workload.pools[target.pool].name.clone(),
        host: target.name.clone(),
        zone: workload.zones[target.zone].clone(),
        control: address,
        traffic: address,
        speed_percent: target.speed_percent,
        desired: Desired::Serving,
        setup: None,
    })
}

fn records(resources: Vec<Resource>) -> Vec<Record> {
    let record = |(index, resource): (usize, Resource)| {
        let offset = index as u64 + 1;
        let id = Uuid::from_u128(u128::from(offset));
        let change = Change { schema: SCHEMA, id, expected: 0, action: Action::Put(resource) };
        Record { offset, payload: serde_json::to_string(&change).expect("a change is JSON") }
    };
    resources.into_iter().enumerate().map(record).collect()
}
