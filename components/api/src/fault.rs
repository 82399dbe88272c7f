//! Error responses of the operators' API, and the authentication of operators.

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

/// Reason of a failed call, for programs that read the response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The input is invalid; `findings` lists its faults and their places.
    BadInput,
    /// The request has no key, or its key belongs to no operator.
    Unauthorized,
    /// The resource doesn't exist.
    NotFound,
    /// The current version of the resource isn't the expected one; nothing was changed.
    Conflict,
    /// The server no longer keeps the changes from the requested offset on: list the resources
    /// again.
    Gone,
    /// The process is stopping, or the platform's log is unreachable or rejects appends; nothing
    /// was changed.
    Unavailable,
    /// It isn't known whether the change was accepted: repeat it with the same change id.
    Unknown,
    /// The change was accepted, but it isn't known yet whether all processes have applied it.
    NotInForce,
}

/// Error response to a failed call.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Failure {
    /// Reason of the failure.
    pub reason: Reason,
    /// Explanation for a human reader.
    pub message: String,
    /// Faults of the input with their places; empty unless the reason is `bad_input`.
    #[serde(default)]
    pub findings: Vec<Finding>,
    /// Current version of the resource; present on a conflict only. 0 means that the resource
    /// doesn't exist.
    #[serde(default)]
    pub version: Option<Offset>,
    /// Current state of the resource; present on a conflict only, if the resource exists.
    #[serde(default)]
    pub stands: Option<Item>,
    /// Id of the requested change, if the request made one. Where the change may have been
    /// accepted, a repeat must use this id.
    #[serde(default)]
    pub change: Option<ChangeId>,
    /// Offset of the change, if it is known; for a watch, the first offset that a watch can start
    /// from.
    #[serde(default)]
    pub offset: Option<Offset>,
}

impl Failure {
    /// Returns a failure that has a reason and a message, and no other details.
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

    /// Returns a failure for invalid input.
    pub fn bad_input(findings: Vec<Finding>) -> Failure {
        let message = format!("{} finding(s)", findings.len());
        Failure { findings, ..Failure::new(Reason::BadInput, message) }
    }

    /// Returns the failure of a call to a process that is stopping.
    pub fn stopping() -> Failure {
        Failure::new(Reason::Unavailable, "this process is stopping; ask another one")
    }
}

/// HTTP error response with a failure as its JSON body.
#[derive(Debug, JsonSchema, Serialize)]
pub struct Fault {
    /// The failure.
    pub error: Box<Failure>,
    /// Status of an error that the HTTP library detected; `None` where the reason determines the
    /// status.
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
        let from_reason = || ErrorStatusCode::from_status(status_of(self.error.reason));
        self.status.or_else(|| from_reason().ok()).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Returns the name of the operator whose key a request carries, or an error if there is none.
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

fn status_of(reason: Reason) -> StatusCode {
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
