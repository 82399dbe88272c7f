//! What an operator is told when a call fails.

use std::{fmt, sync::Arc};

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError, RequestContext};
use http::{StatusCode, header};
use model::{
    Finding, credential,
    id::{ChangeId, Offset},
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Context, view::Item};

/// Why a call failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The input is at fault; the findings say where.
    BadInput,
    /// The key isn't an operator's.
    Unauthorized,
    /// There is no such resource.
    NotFound,
    /// Another version stands than was expected; nothing was changed.
    Conflict,
    /// The offset is too old for a watch: list again.
    Gone,
    /// The platform's log can't be reached or takes nothing; nothing was changed.
    Unavailable,
    /// The change may have been accepted: repeat it with the same change id.
    Unknown,
    /// The change is accepted, but not known to be in force everywhere yet.
    NotInForce,
}

/// Everything that an operator is told about a failed call.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// One sentence for a person.
    pub message: String,
    /// Faults with their places; empty unless the input is at fault.
    #[serde(default)]
    pub findings: Vec<Finding>,
    /// The version that stands, where there is a conflict; 0 means that none does.
    #[serde(default)]
    pub version: Option<Offset>,
    /// The resource that stands, where there is a conflict and one does.
    #[serde(default)]
    pub stands: Option<Item>,
    /// The change id to repeat, or that was accepted.
    #[serde(default)]
    pub change: Option<ChangeId>,
    /// The change's offset where it is known, or the first that a watch can start from.
    #[serde(default)]
    pub offset: Option<Offset>,
}

impl Failure {
    /// A failure with a reason and a sentence only.
    pub fn new(reason: Reason, message: impl Into<String>) -> Failure {
        Failure {
            reason,
            message: message.into(),
            findings: Vec::new(),
            version: None,
            stands: None,
            change: None,
            offset: None,
        }
    }

    /// A failure by faulty input.
    pub fn bad_input(findings: Vec<Finding>) -> Failure {
        let message = format!("{} finding(s)", findings.len());
        Failure { findings, ..Failure::new(Reason::BadInput, message) }
    }

    /// A failure of a process that is stopping.
    pub fn stopping() -> Failure {
        Failure::new(Reason::Unavailable, "this process is stopping; ask another one")
    }
}

/// A failure as an HTTP answer.
#[derive(Debug, JsonSchema, Serialize)]
pub struct Fault {
    /// What the operator is told.
    pub error: Box<Failure>,
    /// Status of faults that the HTTP library finds itself.
    #[serde(skip)]
    status: Option<ErrorStatusCode>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.error.message)
    }
}

impl From<Failure> for Fault {
    fn from(error: Failure) -> Fault {
        Fault { error: Box::new(error), status: None }
    }
}

impl From<HttpError> for Fault {
    fn from(error: HttpError) -> Fault {
        let findings = vec![Finding::new("request", error.external_message)];
        Fault { error: Box::new(Failure::bad_input(findings)), status: Some(error.status_code) }
    }
}

impl HttpResponseError for Fault {
    fn status_code(&self) -> ErrorStatusCode {
        let own = || ErrorStatusCode::from_status(status(self.error.reason));
        self.status.or_else(|| own().ok()).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Gives the operator whose key a request carries.
pub fn authenticate(context: &RequestContext<Arc<Context>>) -> Result<String, Fault> {
    let header = context.request.headers().get(header::AUTHORIZATION);
    let hash = credential::bearer(header.and_then(|value| value.to_str().ok()));
    let operators = &context.context().operators;
    let found = hash.ok().and_then(|hash| operators.iter().find(|o| o.key_hash == hash));
    let message = "send `authorization: Bearer KEY` with the key of an operator in the settings";
    match found {
        Some(operator) => Ok(operator.name.clone()),
        None => Err(Failure::new(Reason::Unauthorized, message).into()),
    }
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadInput => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::Conflict => StatusCode::CONFLICT,
        Reason::Gone => StatusCode::GONE,
        Reason::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Unknown | Reason::NotInForce => StatusCode::GATEWAY_TIMEOUT,
    }
}
