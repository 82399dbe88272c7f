//! Decides which request an answer of a target belongs to.

use crate::{AnswerInfo, Claim};

/// Classification of a target's answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The target ran the request; its answer is passed to the caller.
    Answer,
    /// The target ran the request and signed an error answer, which is passed to the caller unless the
    /// request is dispatched again.
    Failed,
    /// The target rejected the request and states that it did not run it.
    Rejected,
    /// Another target now listens at the address; it rejected the request without running it.
    Replaced,
    /// The answer was made for another request, or nothing shows that it was made for this one.
    Foreign,
    /// The answer to the request isn't proper.
    Improper,
}

/// Classifies an answer that was received where that to the request with the ID `request_id` is expected. A target may
/// answer twice, and the second answer arrives where that to a later request on the connection is expected. So an
/// answer that names another request proves nothing of this one, whatever it states. An error answer by which the caller
/// would believe that the request didn't run is passed on only if the request is repeatable.
pub fn classify(answer: &AnswerInfo, request_id: &str, is_repeatable: bool) -> Kind {
    let names_request = answer.request_id.as_deref() == Some(request_id);
    if answer.request_id.is_some() && !names_request {
        return Kind::Foreign;
    }
    match answer.claim {
        Claim::Replaced => Kind::Replaced,
        Claim::Rejected => Kind::Rejected,
        _ if !names_request => Kind::Foreign,
        Claim::Answered => Kind::Answer,
        Claim::Failed => Kind::Failed,
        Claim::FailedAmbiguously if is_repeatable => Kind::Failed,
        Claim::FailedAmbiguously | Claim::Unproven => Kind::Improper,
    }
}
