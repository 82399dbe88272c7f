//! All decisions, as reducers without I/O, clock or randomness of their own.
//!
//! A reducer takes its state, the time and one event, and gives effects as data. Whoever drives
//! it carries the effects out and feeds their results back as events.

pub mod agent;
pub mod claim;
pub mod config;
pub mod direct;
pub mod entry;
pub mod limit;
pub mod membership;
pub mod order;
pub mod placement;
pub mod presence;
pub mod rate;
pub mod suspect;
