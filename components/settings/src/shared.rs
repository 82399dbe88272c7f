//! Parts that both files have.

use std::net::SocketAddr;

use garde::Validate;
use model::credential::KeyHash;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where the platform's services are.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the append-only log service.
    #[garde(custom(base))]
    pub log: String,
    /// Base URL of the list of hosts.
    #[garde(custom(base))]
    pub hosts: String,
    /// Control addresses of some agents. A process that starts while the log is out takes the
    /// configuration from the one that is furthest.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
}

/// Somebody who may use the resource API.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name that logs and evidence show.
    #[garde(length(min = 1))]
    pub name: String,
    /// BLAKE3 hash of the operator's key, in hex.
    #[garde(length(equal = 64), ascii)]
    pub key_hash: KeyHash,
}

fn base(url: &str, (): &()) -> garde::Result {
    let rest = url.strip_prefix("http://").or_else(|| url.strip_prefix("https://"));
    match rest {
        Some(rest) if !rest.is_empty() && !rest.ends_with('/') => Ok(()),
        _ => Err(garde::Error::new("write http://host:port, with no '/' at the end")),
    }
}

/// Checks that a time isn't zero.
pub(crate) fn positive(time: &std::time::Duration, (): &()) -> garde::Result {
    if time.is_zero() {
        return Err(garde::Error::new("must be at least 1 ms"));
    }
    Ok(())
}
