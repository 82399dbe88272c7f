//! Typed refusals, which callers receive in place of an answer.

use std::time::Duration;

use displaydoc::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;

use crate::Finding;

/// Whether the request ran on a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// This attempt provably did not run and never will. For a request with an idempotency key, this
    /// holds for every attempt so far.
    NotRun,
    /// The request may have run: the process that has the answer is unreachable.
    MayHaveRun,
    /// The request ran, at least in part.
    #[serde(rename = "ran")]
    Yes,
}

/// Reason why a request got no complete answer.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is invalid; the findings name the places.
    BadInput,
    /// The credential belongs to no client account.
    Unauthorized,
    /// The client account exceeded one of its own limits.
    AccountLimit,
    /// There is no capacity: requests of this tier are shed.
    Overloaded,
    /// The deadline passed or could no longer be met.
    Deadline,
    /// No target of the pool is available now.
    NoTarget,
    /// The process is draining and accepts no new requests.
    Draining,
    /// The process hasn't read the configuration yet.
    NotReady,
    /// The target or its agent became unreachable after the request started.
    TargetLost,
    /// The target's answer is incomplete.
    TornAnswer,
    /// The same idempotency key was used before.
    Duplicate,
    /// It can't be determined now whether the idempotency key was used before.
    Unclaimed,
    /// The request's body has crashed targets before.
    Quarantined,
}

/// {reason:?} ({ran:?}): {message}
#[serde_as]
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, JsonSchema, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request ran on a target.
    pub ran: Ran,
    /// Explanation in one sentence, for a person.
    pub message: String,
    /// Time to wait before a retry; `None` if a retry can't succeed.
    #[serde(rename = "retry_after_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
    /// Faults of the input with their places; empty unless the reason is `BadInput`.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

impl Refusal {
    /// Returns a refusal which states that the request did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal::new(reason, Ran::NotRun, message)
    }

    /// Returns a refusal without findings and without a time to retry after.
    pub fn new(reason: Reason, ran: Ran, message: impl Into<String>) -> Refusal {
        Refusal { reason, ran, message: message.into(), retry_after: None, findings: Vec::new() }
    }

    /// Returns a refusal of invalid input, which did not run.
    pub fn bad_input(findings: Vec<Finding>) -> Refusal {
        let message = match findings.as_slice() {
            [only] => only.to_string(),
            _ => format!("the request has {} faults", findings.len()),
        };
        Refusal { findings, ..Refusal::not_run(Reason::BadInput, message) }
    }

    /// Returns the same refusal with a time to retry after.
    pub fn retry_after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }
}
