//! Settings that entry processes and agents have in common.

use std::net::SocketAddr;

use garde::Validate;
use model::credential::KeyHash;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the append-only log service.
    #[garde(custom(base_url))]
    pub log: String,
    /// Base URL of the service that lists the hosts.
    #[garde(custom(base_url))]
    pub hosts: String,
    /// Control addresses of some agents. A process that starts while the log is unreachable loads
    /// the configuration from the agent that has the highest offset.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
}

/// An operator who may use the resource API.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator in logs and evidence.
    #[garde(length(min = 1))]
    pub name: String,
    /// BLAKE3 hash of the operator's key, as 64 hex digits.
    #[garde(length(equal = 64), ascii)]
    pub key_hash: KeyHash,
}

/// Checks that a text is an `http` or `https` URL with no slash at the end.
fn base_url(url: &str, (): &()) -> garde::Result {
    let rest = url.strip_prefix("http://").or_else(|| url.strip_prefix("https://"));
    match rest {
        Some(rest) if !rest.is_empty() && !rest.ends_with('/') => Ok(()),
        _ => Err(garde::Error::new("write http://host:port, with no '/' at the end")),
    }
}

/// Checks that a duration isn't zero.
pub(crate) fn positive(time: &std::time::Duration, (): &()) -> garde::Result {
    if time.is_zero() {
        return Err(garde::Error::new("must be at least 1 ms"));
    }
    Ok(())
}
