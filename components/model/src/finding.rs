//! A fault in something that a person or a caller wrote, with its place.

use displaydoc::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// {place}: {message}
#[derive(
    Clone, Debug, Deserialize, Display, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Finding {
    /// JSON path (`body.max_tokens`), header (`header.idempotency-key`) or file and path.
    pub place: String,
    /// What is wrong and what would be right, in one sentence.
    pub message: String,
}

impl Finding {
    /// Builds a finding from its two parts.
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
