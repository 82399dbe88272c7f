//! Drives the reducers in virtual time and measures goodput by tier and wasted prefill.

pub mod aim;
pub mod arrival;
pub mod cache;
mod carry;
pub mod engine;
pub mod plan;
pub mod plot;
pub mod policy;
mod push;
pub mod queue;
pub mod report;
pub mod scenario;
pub mod site;
pub mod tally;
pub mod workload;
pub mod world;

pub use policy::Policy;
pub use scenario::Scenario;
