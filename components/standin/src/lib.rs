//! Small stand-ins for the systems that wagtailhill meets, each with faults to switch on.
//!
//! They speak the published protocols of docs/platform.md and serve tests, examples and the
//! bench; the product never links them.

pub mod engine;
pub mod fixture;
pub mod hosts;
pub mod log;
pub mod relay;
pub mod server;
pub mod service;
pub mod setup;
