//! Configuration of direct dispatch: routes, pools and client accounts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::id::{AccountName, PoolName};
use serde::{Deserialize, Serialize};

/// Whether a request may be dispatched again after it may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// The request is idempotent and may be dispatched again until a part of its answer was passed on.
    Idempotent,
    /// The answer is a stream that another target can resume after the last event that was received.
    Resumable,
    /// The request must run at most once.
    Never,
}

/// A pool of a route, with its share of the route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolShare {
    /// Pool to which the share of requests goes.
    pub pool: PoolName,
    /// Weight of the pool, relative to the other pools of the route.
    pub weight: u32,
}

/// Rules by which the requests of one host name and path prefix are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route, in logs and in the evidence of rollouts.
    pub name: String,
    /// Host name that callers request.
    pub host: String,
    /// Path prefix that begins and ends with a slash; of several that match a path, the longest wins.
    pub prefix: String,
    /// Whether requests may be dispatched again after they may have run.
    pub repeat: Repeat,
    /// Whether the answers are streams of events.
    pub is_stream: bool,
    /// Maximum time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Target latency: time to the answer, or to a stream's first event, within which the answer has its
    /// full worth.
    pub target_latency: Duration,
    /// Longest pause between the events of a stream that callers accept as on time; zero where none is stated.
    #[serde(default)]
    pub max_gap: Duration,
    /// Time without an event after which callers abandon a stream, also before its first event; zero where they wait
    /// until their deadline.
    pub abandoned_after: Duration,
    /// Rank of the route's tier; 0 is the highest.
    pub rank: u32,
    /// Maximum number of targets that may run one request; at least 1.
    pub max_attempts: u32,
    /// Whether requests are served without an API key.
    pub is_public: bool,
    /// Pools among which the requests are split; never empty.
    pub pools: Vec<PoolShare>,
}

/// Rate limit of an account over all entry processes: a token bucket of units.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Units per second at which the bucket refills; greater than 0.
    pub rate: f64,
    /// Capacity of the bucket in units, which may be used at once.
    pub burst: f64,
    /// Units of a request that states no token counts, where a unit is a token.
    pub default_units: f64,
    /// Whether a unit is a token; otherwise a unit is a request.
    pub counts_tokens: bool,
}

/// Settings of a client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Rank among accounts, which takes precedence over the rank of the route; 0 is the highest.
    pub rank: u32,
    /// Rate limit of the account; `None` where it has none.
    pub limit: Option<Limit>,
}

/// Rules of a pool that are off unless its configuration calls for them.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Pool {
    /// Whether accounts of equal rank share the pool's slots by the work of their requests.
    pub shares_fairly: bool,
    /// Whether callers that are refused for want of a slot are told a time at which they go before newcomers of
    /// their tier.
    pub orders_returns: bool,
    /// Whether requests that can no longer meet their target latency wait for a slot behind all that can.
    pub serves_late: bool,
    /// Copies of the memory of running streams that the pool's targets keep for each other; `None` where streams
    /// have no copies.
    pub stream_copies: Option<StreamCopies>,
}

/// Copies of the memory of running streams.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamCopies {
    /// Size of a token's memory in bytes.
    pub token_bytes: u64,
    /// Time for which a target keeps a copy after its last part arrived.
    pub lifetime: Duration,
    /// Number of tokens that a target's memory holds.
    pub memory_tokens: u64,
    /// Bandwidth of a target's link in bytes per second.
    pub link_bytes_per_second: f64,
}

/// A complete configuration of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes by host name; each list is sorted with the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// Client accounts by name; where there are none, no request needs an API key.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Whether processes lease parts of the accounts' limits by their demand instead of using equal parts.
    pub leases_limits: bool,
    /// Accounts by API key.
    pub keys: BTreeMap<String, AccountName>,
    /// Rules by pool; a pool without an entry has the default ones.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Maximum time for which a caller's connection stays open without a request.
    pub idle_timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
}

impl Configuration {
    /// Returns the route of a request; `None` where no route matches. A port in `host` is ignored unless a
    /// route names it.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host_name = host.split(':').next().unwrap_or_default();
        let routes = self.routes.get(host_name).or_else(|| self.routes.get(host))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the rules of a pool.
    pub fn pool_rules(&self, pool: &str) -> Pool {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// Returns the rank of the lowest tier among a pool's streams; `None` unless these have several tiers.
    pub fn lowest_stream_rank(&self, pool: &str) -> Option<u32> {
        let routes = self.routes.values().flatten().filter(|route| route.is_stream);
        let served = routes.filter(|route| route.pools.iter().any(|share| share.pool == pool));
        let ranks: BTreeSet<u32> = served.map(|route| route.rank).collect();
        if ranks.len() > 1 { ranks.last().copied() } else { None }
    }

    /// Adds a route, keeping the list of its host name sorted by the length of the prefix.
    pub fn insert_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
    }
}

impl Route {
    /// Returns the pool of a request, chosen by weight. `spread` is distributed evenly over requests. `None`
    /// where the weights of all pools are 0.
    pub fn pool(&self, spread: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        let mut remainder = spread.checked_rem(total)?;
        for share in &self.pools {
            match remainder.checked_sub(u64::from(share.weight)) {
                Some(left) => remainder = left,
                None => return Some(&share.pool),
            }
        }
        None
    }
}
