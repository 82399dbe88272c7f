//! Clients of the platform's services, by their published protocol (docs/platform.md).

pub mod hosts;
pub mod log;

/// Name of the stream that carries operators' configuration.
pub const CONFIG: &str = "config";
