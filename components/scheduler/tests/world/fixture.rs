//! Resources and requests of the simulated platform.

use std::time::Duration;

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    id::{Rank, RequestId},
    resource::{Account, Backing, Desired, Pool, Target, Tier},
};
use scheduler::entry::{Call, Request};
use uuid::Uuid;

use super::{CONTROL_PORT, TARGETS, TIERS, TRAFFIC_PORT, target_name};

/// Returns a configuration record that creates a resource.
pub fn create_record(resource: Resource) -> String {
    let action = Action::Put(resource);
    let change = Change { schema: SCHEMA, id: Uuid::new_v4(), expected: 0, action };
    serde_json::to_string(&change).unwrap()
}

/// Returns all resources: the tiers, an account that may use each of them, a pool and its targets.
pub fn resources() -> Vec<Resource> {
    let tier = |(rank, name): (Rank, &&str)| {
        Resource::Tier(Tier { name: (*name).to_owned(), rank, deadline: Duration::from_secs(10) })
    };
    let account = Resource::Account(Account {
        name: "viewer".to_owned(),
        key_hash: credential::hash("key"),
        tiers: TIERS.iter().map(|tier| (*tier).to_owned()).collect(),
        limit: None,
    });
    let pool = Resource::Pool(Pool {
        name: "drawings".to_owned(),
        backing: Backing::Model,
        models: vec!["m".to_owned()],
        patience: Duration::from_millis(100),
        idempotent: true,
    });
    let tiers = (0..).zip(TIERS.iter()).map(tier);
    tiers.chain([account, pool]).chain((0..TARGETS).map(target)).collect()
}

/// Returns the target with this index; its control and traffic ports are offset by the index.
fn target(index: usize) -> Resource {
    let offset = u16::try_from(index).unwrap();
    Resource::Target(Target {
        name: target_name(index),
        pool: "drawings".to_owned(),
        host: target_name(index),
        zone: "a".to_owned(),
        control: ([127, 0, 0, 1], CONTROL_PORT + offset).into(),
        traffic: ([127, 0, 0, 1], TRAFFIC_PORT + offset).into(),
        speed_percent: 100,
        desired: Desired::Serving,
        setup: None,
    })
}

/// Returns a completion request of the account, in the tier of this rank, that must be answered within
/// `deadline`.
pub fn request(id: RequestId, rank: Rank, deadline: Duration) -> Request {
    Request {
        id,
        credential: Some(credential::hash("key")),
        tier: Some(TIERS[usize::from(rank)].to_owned()),
        call: Some(Call::Completion("m".to_owned())),
        deadline: Some(deadline),
        idempotent: None,
        key: None,
        prefill: 10,
        decode: 10,
        prefix: Vec::new(),
        fingerprint: Default::default(),
        findings: Vec::new(),
    }
}
