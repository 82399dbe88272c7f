//! Faults in user input (settings, resources, requests), each with its place.

use displaydoc::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// {place}: {message}
#[derive(
    Clone, Debug, Deserialize, Display, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Finding {
    /// Place of the fault: a JSON path (`body.max_tokens`), a header (`header.idempotency-key`), or a
    /// file and a path in it.
    pub place: String,
    /// One sentence on what is wrong and what would be right.
    pub message: String,
}

impl Finding {
    /// Returns a finding with a place and a message.
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Finding {
        Finding { place: place.into(), message: message.into() }
    }
}

/// Joins a JSON path below a prefix: `body` and `messages[0].role` give `body.messages[0].role`.
pub fn place(prefix: &str, path: &str) -> String {
    match path {
        "" | "." => prefix.to_owned(),
        _ if path.starts_with('[') => format!("{prefix}{path}"),
        _ => format!("{prefix}.{path}"),
    }
}
