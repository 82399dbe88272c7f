//! Builds resources and settings for tests, examples and the bench.

use std::{net::SocketAddr, time::Duration};

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    id::Offset,
    resource::{Account, Backing, Desired, Pool, Target, Tier},
};
use settings::{Agent, Entry, Platform, agent, entry};
use uuid::Uuid;

use crate::{hosts::Hosts, log::Log};

/// Any free port of this machine.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A client account whose key is `<name>-key`.
pub fn account(name: &str, tiers: &[&str]) -> Resource {
    Resource::Account(Account {
        name: name.to_owned(),
        key_hash: credential::hash(&key(name)),
        tiers: tiers.iter().map(|tier| (*tier).to_owned()).collect(),
        limit: None,
    })
}

/// The key of an account that [`account`] built.
pub fn key(account: &str) -> String {
    format!("{account}-key")
}

/// A tier.
pub fn tier(name: &str, rank: u8, deadline: Duration) -> Resource {
    Resource::Tier(Tier { name: name.to_owned(), rank, deadline })
}

/// A pool of model engines.
pub fn model_pool(name: &str, models: &[&str]) -> Resource {
    Resource::Pool(Pool {
        name: name.to_owned(),
        backing: Backing::Model,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        patience: Duration::from_millis(100),
        idempotent: true,
    })
}

/// A pool of plain services.
pub fn service_pool(name: &str) -> Resource {
    Resource::Pool(Pool {
        name: name.to_owned(),
        backing: Backing::Service,
        models: Vec::new(),
        patience: Duration::from_millis(100),
        idempotent: true,
    })
}

/// A target on a host of the same name in zone `a`.
pub fn target(name: &str, pool: &str, control: SocketAddr, traffic: SocketAddr) -> Resource {
    Resource::Target(Target {
        name: name.to_owned(),
        pool: pool.to_owned(),
        host: name.to_owned(),
        zone: "a".to_owned(),
        control,
        traffic,
        speed_percent: 100,
        desired: Desired::Serving,
        setup: None,
    })
}

/// The record that creates a resource, with a fresh change id.
pub fn create(resource: Resource) -> Change {
    change(Action::Put(resource), 0)
}

/// A record with a fresh change id.
pub fn change(action: Action, expected: Offset) -> Change {
    Change { schema: SCHEMA, id: Uuid::new_v4(), expected, action }
}

/// Appends the records that create resources.
pub fn seed(log: &Log, resources: Vec<Resource>) {
    for resource in resources {
        let record = serde_json::to_string(&create(resource)).expect("a change is JSON");
        log.append(source::CONFIG, record);
    }
}

/// Settings of an entry process on free ports, with short periods.
pub fn entry(name: &str, log: &Log, hosts: &Hosts) -> Entry {
    Entry {
        name: name.to_owned(),
        host: name.to_owned(),
        zone: "a".to_owned(),
        listen: entry::Listen { callers: ANY, operators: ANY },
        platform: platform(log, hosts),
        bounds: entry::Bounds::default(),
        timing: entry::Timing {
            hosts: Duration::from_millis(50),
            evidence: Duration::from_millis(50),
            lame: Duration::from_millis(10),
            ..entry::Timing::default()
        },
        operators: Vec::new(),
    }
}

/// Settings of an agent on free ports.
pub fn agent(
    target: &str,
    engine: SocketAddr,
    backing: Backing,
    log: &Log,
    hosts: &Hosts,
) -> Agent {
    Agent {
        target: target.to_owned(),
        host: target.to_owned(),
        zone: "a".to_owned(),
        listen: agent::Listen { control: ANY, traffic: ANY, operators: ANY },
        engine: agent::Engine { address: engine, backing, checks_fence: false },
        platform: platform(log, hosts),
        poll: Duration::from_secs(2),
        evidence: Duration::from_millis(50),
        room: agent::Room::default(),
    }
}

fn platform(log: &Log, hosts: &Hosts) -> Platform {
    Platform { log: log.base(), hosts: hosts.base(), peers: Vec::new() }
}
