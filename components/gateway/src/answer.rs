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
    /// The answer was made for another request.
    Foreign,
    /// The answer isn't a proper answer to the request.
    Improper,
}

/// Classifies an answer that was received where the answer to the request with this ID is expected.
pub fn classify(answer: &AnswerInfo, request_id: &str) -> Kind {
    if answer.claim == Claim::Replaced {
        return Kind::Replaced;
    }
    if answer.request_id.as_ref().is_some_and(|id| id != request_id) {
        return Kind::Foreign;
    }
    match answer.claim {
        Claim::Replaced => Kind::Replaced,
        Claim::Rejected => Kind::Rejected,
        Claim::Answered if answer.request_id.is_some() => Kind::Answer,
        Claim::Failed if answer.request_id.is_some() => Kind::Failed,
        Claim::Answered | Claim::Failed | Claim::Unproven => Kind::Improper,
    }
}
