//! One file for each subcommand.

pub mod check;
pub mod hash;
pub mod serve;
