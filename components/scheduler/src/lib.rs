//! All decisions of the system, written as reducers that do no I/O and read no clock or random numbers.
//!
//! A reducer takes its state, the current time and one event, and returns the effects as data. The calling
//! process executes the effects and passes their results back to the reducer as events.

pub mod agent;
pub mod claim;
pub mod config;
pub mod direct;
pub mod entry;
pub mod flows;
pub mod limit;
pub mod membership;
pub mod order;
pub mod origins;
pub mod placement;
pub mod presence;
pub mod promises;
pub mod rate;
pub mod suspect;
