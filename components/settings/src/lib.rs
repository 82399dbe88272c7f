//! Settings files of entry processes and agents. The files are JSON; a check reports all findings
//! of a file together, each with its place in the file.

pub mod agent;
pub mod entry;
mod parse;
mod shared;

use std::path::Path;

use model::Finding;

pub use agent::Agent;
pub use entry::Entry;
pub use parse::check_value;
pub use shared::{Operator, Platform};

/// Reads and checks the settings of an entry process.
pub fn load_entry(path: &Path) -> Result<Entry, Vec<Finding>> {
    parse_entry(&parse::read(path)?)
}

/// Reads and checks the settings of an agent.
pub fn load_agent(path: &Path) -> Result<Agent, Vec<Finding>> {
    parse_agent(&parse::read(path)?)
}

/// Parses and checks the settings of an entry process.
pub fn parse_entry(text: &str) -> Result<Entry, Vec<Finding>> {
    parse::check(text)
}

/// Parses and checks the settings of an agent.
pub fn parse_agent(text: &str) -> Result<Agent, Vec<Finding>> {
    parse::check(text)
}
