//! Converts refusals to HTTP responses.

use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::{Response, StatusCode, header};
use model::{
    Finding, Refusal,
    id::RequestId,
    refusal::{Ran, Reason},
};
use schemars::JsonSchema;
use serde::Serialize;

/// Response header that carries the request's ID.
pub const REQUEST_ID: &str = "x-request-id";

/// Part of the message of `dropshot` for a body over the size limit, for which it has no error
/// code.
const TOO_LARGE_TEXT: &str = "exceeded maximum size";

/// The response body of a refusal: an object with an `error`.
#[derive(Debug, JsonSchema, Serialize)]
pub struct Fault {
    /// The refusal, as the caller gets it.
    pub error: Refusal,
    /// HTTP status of a fault that the HTTP library detected; `None` for refusals, whose reason
    /// sets the status.
    #[serde(skip)]
    status: Option<ErrorStatusCode>,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.error.fmt(f)
    }
}

impl From<HttpError> for Fault {
    fn from(error: HttpError) -> Fault {
        let status = match error.external_message.contains(TOO_LARGE_TEXT) {
            true => ErrorStatusCode::PAYLOAD_TOO_LARGE,
            false => error.status_code,
        };
        let finding = Finding::new(input_place(&error), error.external_message);
        Fault { error: Refusal::bad_input(vec![finding]), status: Some(status) }
    }
}

impl Fault {
    /// Returns the same fault, saying that the request may have run.
    pub fn may_have_run(self) -> Fault {
        Fault { error: Refusal { ran: Ran::MayHaveRun, ..self.error }, ..self }
    }
}

impl HttpResponseError for Fault {
    fn status_code(&self) -> ErrorStatusCode {
        let from_refusal = || ErrorStatusCode::from_status(status(&self.error));
        self.status
            .or_else(|| from_refusal().ok())
            .unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Returns the HTTP response for a refusal.
pub fn answer(request: RequestId, refusal: Refusal) -> Response<Body> {
    let mut answer = Response::builder()
        .status(status(&refusal))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, request.to_string());
    if let Some(wait) = refusal.retry_after {
        answer = answer.header(header::RETRY_AFTER, wait.as_secs_f64().ceil().to_string());
    }
    let body = render(refusal);
    answer.body(body.into()).expect("a refusal's headers are valid")
}

/// Returns the JSON body of a refusal.
pub fn render(refusal: Refusal) -> String {
    let fault = Fault { error: refusal, status: None };
    serde_json::to_string(&fault).expect("a refusal is JSON")
}

/// Returns the refusal of a request whose control thread has ended, so that no decision follows.
pub fn stopping() -> Refusal {
    Refusal::new(Reason::Draining, Ran::MayHaveRun, "this process is stopping")
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::BadInput => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Overloaded
        | Reason::NoTarget
        | Reason::Draining
        | Reason::NotReady
        | Reason::Unclaimed => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetLost | Reason::TornAnswer => StatusCode::BAD_GATEWAY,
        Reason::Duplicate => StatusCode::CONFLICT,
        Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn input_place(error: &HttpError) -> &'static str {
    match error.status_code.as_status() {
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => "path",
        _ => "body",
    }
}
