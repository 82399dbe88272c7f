//! The configuration as direct dispatch needs it: routes, pools and client accounts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::id::{AccountName, PoolName};
use serde::{Deserialize, Serialize};

/// Whether a request may be dispatched again after it may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeat {
    /// It is idempotent.
    Safe,
    /// Its answer is a stream that goes on after the last event that arrived.
    Resume,
    /// It runs at most once.
    Never,
}

/// A pool of a route, with its part of the requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// The pool.
    pub pool: PoolName,
    /// Its part, relative to the other pools of the route.
    pub weight: u32,
}

/// How the requests of one host name and path prefix are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host name that callers ask for.
    pub host: String,
    /// Begins and ends with a slash; the longest that begins a path wins.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether its answers are streams of events.
    pub stream: bool,
    /// Longest time from arrival to the end of the answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that earns the full credit.
    pub aim: Duration,
    /// Order of its tier: 0 is the highest.
    pub rank: u32,
    /// Most targets that may run one request; at least 1.
    pub attempts: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// Where its requests go; never empty.
    pub parts: Vec<Part>,
}

/// How much of an account's work may run, over all entry processes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Units a second; above 0.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Units of a request that doesn't say its tokens.
    pub plain: f64,
    /// Whether a unit is a token; else it is a request.
    pub tokens: bool,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Order among accounts, which goes before the route's; 0 is the highest.
    pub rank: u32,
    /// Its limit, if it has one.
    pub limit: Option<Limit>,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Grows with each change.
    pub version: u64,
    /// Routes by host name, each list with the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// Client accounts; where there are none, no request needs a key.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Whose each key is.
    pub keys: BTreeMap<String, AccountName>,
    /// Longest time for which a caller's connection stays open without a request.
    pub idle: Duration,
    /// Largest request body in bytes.
    pub body_max: usize,
}

impl Plan {
    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.routes.get(name).or_else(|| self.routes.get(host))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Rank of the lowest tier of a pool's streams, where it has several.
    pub fn lowest(&self, pool: &str) -> Option<u32> {
        let routes = self.routes.values().flatten().filter(|route| route.stream);
        let served = routes.filter(|route| route.parts.iter().any(|part| part.pool == pool));
        let ranks: BTreeSet<u32> = served.map(|route| route.rank).collect();
        if ranks.len() > 1 { ranks.last().copied() } else { None }
    }

    /// Adds a route in its place.
    pub fn insert(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
    }
}

impl Route {
    /// The pool of a request, by a number that is spread evenly over requests.
    pub fn pool(&self, draw: u64) -> Option<&PoolName> {
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut rest = draw.checked_rem(total)?;
        for part in &self.parts {
            match rest.checked_sub(u64::from(part.weight)) {
                Some(left) => rest = left,
                None => return Some(&part.pool),
            }
        }
        None
    }
}
