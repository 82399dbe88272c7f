//! Reduces an event and tells the facts that its effects make: decisions and evidence can't part.

pub mod agent;
pub mod entry;
