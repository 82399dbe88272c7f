//! Resources that operators declare in the configuration.

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

/// Maximum length of a resource's name, in bytes.
pub const NAME_LIMIT: usize = 63;
/// Highest rank number of a tier.
pub const RANK_LIMIT: Rank = 15;

/// Kind of a resource.
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

/// Identifies a resource.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Key {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource, unique within its kind.
    pub name: String,
}

/// Limits of a client account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Maximum number of requests that run or wait at a time, over all entry hosts.
    #[garde(range(min = 1))]
    pub concurrency: u32,
    /// Maximum number of requests per second, over all entry hosts.
    #[garde(range(min = 1))]
    pub requests_per_second: u32,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the client account.
    #[garde(custom(label))]
    pub name: AccountName,
    /// Hash of the secret that the account's callers send.
    #[garde(length(equal = 64), ascii)]
    pub key_hash: KeyHash,
    /// Tiers that the account's requests may use; the first is the default.
    #[garde(length(min = 1))]
    pub tiers: Vec<TierName>,
    /// Limits of the account; `None` means that it has no limits of its own.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
}

/// A tier of requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name of the tier.
    #[garde(custom(label))]
    pub name: TierName,
    /// Rank of the tier: 0 is the highest. No two tiers share a rank.
    #[garde(range(max = RANK_LIMIT))]
    pub rank: Rank,
    /// Time for a complete answer if the caller gives no deadline.
    #[garde(custom(positive))]
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub deadline: Duration,
}

/// Type of the targets of a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backing {
    /// Model engines, which batch requests and cache prompt prefixes.
    Model,
    /// Plain services.
    Service,
}

/// A target pool.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    #[garde(custom(label))]
    pub name: PoolName,
    /// Type of the pool's targets.
    #[garde(skip)]
    pub backing: Backing,
    /// Models that the pool's targets serve; empty for a plain service.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelName>,
    /// Time that a request waits at its first target before it reserves at a second one too.
    #[garde(skip)]
    #[serde(rename = "patience_ms", default = "default_patience")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub patience: Duration,
    /// Whether requests may be retried if the caller doesn't say so itself.
    #[garde(skip)]
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
}

/// State that an operator wants a target to be in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Desired {
    /// The target accepts requests.
    #[default]
    Serving,
    /// The target accepts no new requests and completes the running ones.
    Leaving,
}

/// A target and its agent.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    #[garde(custom(label))]
    pub name: TargetName,
    /// Pool that the target belongs to.
    #[garde(custom(label))]
    pub pool: PoolName,
    /// Host that the target runs on.
    #[garde(length(min = 1))]
    pub host: HostName,
    /// Availability zone of the target.
    #[garde(length(min = 1))]
    pub zone: ZoneName,
    /// Address on which the target's agent serves control calls (`tarpc`).
    #[garde(skip)]
    pub control: SocketAddr,
    /// Address on which the target's agent receives request bodies and streams answers (HTTP).
    #[garde(skip)]
    pub traffic: SocketAddr,
    /// Speed relative to the slowest hardware generation, in percent.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "default_speed_percent")]
    pub speed_percent: u32,
    /// State that the operator wants the target to be in.
    #[garde(skip)]
    #[serde(default)]
    pub desired: Desired,
    /// Setup that the target's engine should have; `None` leaves the engine's setup unchanged.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub setup: Option<Setup>,
}

/// A resource of any kind.
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
    /// Returns the key of this resource.
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

fn default_patience() -> Duration {
    Duration::from_millis(100)
}

fn default_idempotent() -> bool {
    true
}

fn default_speed_percent() -> u32 {
    100
}

/// Checks that a name is a lower-case DNS label.
pub fn label(name: &str, (): &()) -> garde::Result {
    let has_valid_length = !name.is_empty() && name.len() <= NAME_LIMIT;
    let has_valid_chars =
        name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if has_valid_length && has_valid_chars && !name.starts_with('-') && !name.ends_with('-') {
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
