//! Metrics and log of a process, for operators.

pub mod accounts;
pub mod agent;
mod bridge;
mod buckets;
pub mod entry;
pub mod gateway;
pub mod log;

pub use agent::Agent;
pub use entry::Entry;
pub use gateway::Gateway;
