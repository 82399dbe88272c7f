//! Resources that operators declare.

use std::{net::SocketAddr, time::Duration};

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    credential::KeyHash,
    id::{AccountName, HostName, ModelName, PoolName, Rank, TargetName, TierName, ZoneName},
    setup::Setup,
};

/// Longest name of a resource, in bytes.
pub const NAME_LIMIT: usize = 63;
/// Highest number that a tier's rank may have.
pub const RANK_LIMIT: Rank = 15;

/// The kinds of resource.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A client account.
    Account,
    /// A tier of requests.
    Tier,
    /// A target pool.
    Pool,
    /// A target.
    Target,
}

/// What names a resource.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: String,
}

/// What a client account may use at once and over time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests in progress or waiting, over all entry hosts.
    #[garde(range(min = 1))]
    pub concurrency: u32,
    /// Requests a second, over all entry hosts.
    #[garde(range(min = 1))]
    pub requests_per_second: u32,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    #[garde(custom(label))]
    pub name: AccountName,
    /// Hash of the secret that its callers send.
    #[garde(length(equal = 64), ascii)]
    pub key_hash: KeyHash,
    /// Tiers that it may ask for; the first is the default.
    #[garde(length(min = 1))]
    pub tiers: Vec<TierName>,
    /// Its limits; `None` is no limit of its own.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
}

/// A tier of requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    #[garde(custom(label))]
    pub name: TierName,
    /// Its order: 0 is the highest. No two tiers share a rank.
    #[garde(range(max = RANK_LIMIT))]
    pub rank: Rank,
    /// Time for a whole answer, where the caller gives no deadline of its own.
    #[garde(custom(positive))]
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub deadline: Duration,
}

/// What stands behind a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backing {
    /// Model engines, which batch and keep prefixes.
    Model,
    /// Plain services.
    Service,
}

/// A target pool.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    #[garde(custom(label))]
    pub name: PoolName,
    /// What stands behind it.
    #[garde(skip)]
    pub backing: Backing,
    /// Models that its targets serve; empty for a plain service.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelName>,
    /// Wait at the first target before a second reservation is made elsewhere.
    #[garde(skip)]
    #[serde(rename = "patience_ms", default = "patience")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub patience: Duration,
    /// Whether calls may be repeated where the caller says nothing.
    #[garde(skip)]
    #[serde(default = "idempotent")]
    pub idempotent: bool,
}

/// What an operator wants of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Desired {
    /// It takes work.
    #[default]
    Serving,
    /// It takes no new work and finishes what runs.
    Leaving,
}

/// A target and the agent beside it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name.
    #[garde(custom(label))]
    pub name: TargetName,
    /// The pool that it serves.
    #[garde(custom(label))]
    pub pool: PoolName,
    /// The host that it runs on.
    #[garde(length(min = 1))]
    pub host: HostName,
    /// Its availability zone.
    #[garde(length(min = 1))]
    pub zone: ZoneName,
    /// Where its agent answers control calls (`tarpc`).
    #[garde(skip)]
    pub control: SocketAddr,
    /// Where its agent takes bodies and streams answers (HTTP).
    #[garde(skip)]
    pub traffic: SocketAddr,
    /// Speed against the slowest hardware generation, in percent.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "speed")]
    pub speed_percent: u32,
    /// What the operator wants of it.
    #[garde(skip)]
    #[serde(default)]
    pub desired: Desired,
    /// What its engine shall have loaded; `None` leaves the engine alone.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub setup: Option<Setup>,
}

/// Any resource.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Resource {
    /// A client account.
    Account(#[garde(dive)] Account),
    /// A tier.
    Tier(#[garde(dive)] Tier),
    /// A target pool.
    Pool(#[garde(dive)] Pool),
    /// A target.
    Target(#[garde(dive)] Target),
}

impl Resource {
    /// What names this resource.
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Resource::Account(account) => (Kind::Account, &account.name),
            Resource::Tier(tier) => (Kind::Tier, &tier.name),
            Resource::Pool(pool) => (Kind::Pool, &pool.name),
            Resource::Target(target) => (Kind::Target, &target.name),
        };
        Key { kind, name: name.clone() }
    }
}

fn patience() -> Duration {
    Duration::from_millis(100)
}

fn idempotent() -> bool {
    true
}

fn speed() -> u32 {
    100
}

/// Checks that a name is a lower-case DNS label.
pub fn label(name: &str, (): &()) -> garde::Result {
    let fits = !name.is_empty() && name.len() <= NAME_LIMIT;
    let plain = name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if fits && plain && !name.starts_with('-') && !name.ends_with('-') {
        return Ok(());
    }
    let rule = format!("use 1 to {NAME_LIMIT} of a-z, 0-9 and '-', with no '-' at the ends");
    Err(garde::Error::new(rule))
}

fn positive(time: &Duration, (): &()) -> garde::Result {
    if time.is_zero() {
        return Err(garde::Error::new("must be at least 1 ms"));
    }
    Ok(())
}
