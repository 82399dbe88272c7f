//! Typed refusals: what a caller is told when it gets no answer.

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
    /// It did not run and this attempt never will: said only where it is provable. Of a request
    /// with an idempotency key it says so of every attempt so far.
    NotRun,
    /// It may have run: whoever could tell can't be asked.
    MayHaveRun,
    /// It ran, at least in part.
    #[serde(rename = "ran")]
    Yes,
}

/// Why a request got no whole answer.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request itself is wrong; the findings say where.
    BadInput,
    /// The key opens no client account.
    Unauthorized,
    /// The client account passed a limit of its own.
    AccountLimit,
    /// No room: the tier was shed.
    Overloaded,
    /// The deadline passed, or could no longer be met.
    Deadline,
    /// No target serves this pool now.
    NoTarget,
    /// The process is leaving and takes no new work.
    Draining,
    /// The process hasn't read the configuration yet.
    NotReady,
    /// The target or its agent was lost after the start.
    TargetLost,
    /// The target answered, but the answer is torn.
    TornAnswer,
    /// The same idempotency key was used before.
    Duplicate,
    /// Whether the idempotency key was used before can't be told now.
    Unclaimed,
    /// The body crashed targets before.
    Quarantined,
}

/// {reason:?} ({ran:?}): {message}
#[serde_as]
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, JsonSchema, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// One sentence for a person.
    pub message: String,
    /// How long to wait before asking again; `None` where asking again can't help.
    #[serde(rename = "retry_after_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
    /// Faults with their places; empty unless the input is at fault.
    #[serde(default)]
    pub findings: Vec<Finding>,
}

impl Refusal {
    /// A refusal that promises that nothing ran.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal::new(reason, Ran::NotRun, message)
    }

    /// A refusal without findings or a time to come back.
    pub fn new(reason: Reason, ran: Ran, message: impl Into<String>) -> Refusal {
        Refusal { reason, ran, message: message.into(), retry_after: None, findings: Vec::new() }
    }

    /// A refusal of faulty input, which never runs.
    pub fn bad_input(findings: Vec<Finding>) -> Refusal {
        let message = match findings.as_slice() {
            [only] => only.to_string(),
            _ => format!("the request has {} faults", findings.len()),
        };
        Refusal { findings, ..Refusal::not_run(Reason::BadInput, message) }
    }

    /// The same refusal, with a time to come back.
    pub fn retry_after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }
}
