//! Clients of the platform's services, by their published protocol (docs/platform.md).

pub mod hosts;
pub mod log;
pub mod tail;

use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest silence before the answer to a read, beyond the wait that was asked for, and within it. What
/// a read brings must still be in time after one that hangs: a configuration that must be in force, or a
/// host that must get no more work.
const SILENCE: Duration = Duration::from_secs(2);

/// Name of the stream that carries operators' configuration.
pub const CONFIG: &str = "config";
/// Name of the stream that carries evidence of decisions.
pub const EVIDENCE: &str = "evidence";
/// Name of the stream that carries the joins and leaves of agents.
pub const MEMBERSHIP: &str = "membership";
/// Name of the stream that carries records of crashed targets.
pub const CRASHES: &str = "crashes";
/// Name of the stream that carries snapshots of the configuration, in parts.
pub const SNAPSHOTS: &str = "config-snapshots";
