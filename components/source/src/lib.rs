//! Clients of the platform's services: the list of hosts and the log. docs/platform.md describes
//! their protocol.

pub mod hosts;
pub mod log;
pub mod tail;

use std::time::Duration;

/// Timeout for connecting to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a read while no byte of its answer arrives. Before the first byte, the timeout is added
/// to the wait that the read asked for. It is short so that the read after one that hangs is still in
/// time for a configuration that must be in force, or a leaving host that must get no more work.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

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
