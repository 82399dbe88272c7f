//! Refusals as HTTP answers.

use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::{Response, StatusCode, header};
use model::{
    Finding, Refusal,
    id::RequestId,
    refusal::{Ran, Reason},
};
use schemars::JsonSchema;
use serde::Serialize;

/// Header that carries the request's id.
pub const REQUEST_ID: &str = "x-request-id";

/// What `dropshot` says of a body over the limit; it has no code of its own for that.
const TOO_LARGE: &str = "exceeded maximum size";

/// The body of a refusal, in the usual shape of an error.
#[derive(Debug, JsonSchema, Serialize)]
pub struct Fault {
    /// What the caller is told.
    pub error: Refusal,
    /// Status of faults that the HTTP library finds itself.
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
        let status = match error.external_message.contains(TOO_LARGE) {
            true => ErrorStatusCode::PAYLOAD_TOO_LARGE,
            false => error.status_code,
        };
        let finding = Finding::new(place(&error), error.external_message);
        Fault { error: Refusal::bad_input(vec![finding]), status: Some(status) }
    }
}

impl Fault {
    /// The same, without the promise that nothing ran.
    pub fn may_have_run(self) -> Fault {
        Fault { error: Refusal { ran: Ran::MayHaveRun, ..self.error }, ..self }
    }
}

impl HttpResponseError for Fault {
    fn status_code(&self) -> ErrorStatusCode {
        let own = || ErrorStatusCode::from_status(status(&self.error));
        self.status.or_else(|| own().ok()).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Builds the HTTP answer that carries a refusal.
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

/// Writes a refusal as JSON.
pub fn render(refusal: Refusal) -> String {
    let fault = Fault { error: refusal, status: None };
    serde_json::to_string(&fault).expect("a refusal is JSON")
}

/// The refusal that stands for a control thread that ended.
pub fn stopped() -> Refusal {
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

fn place(error: &HttpError) -> &'static str {
    match error.status_code.as_status() {
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => "path",
        _ => "body",
    }
}
