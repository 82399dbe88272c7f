//! Which request an answer of a target belongs to.

use gateway::{
    AnswerInfo, Claim,
    answer::{Kind, classify},
};
use test_case::test_case;

const OWN: Option<&str> = Some("own");
const OTHER: Option<&str> = Some("other");

/// Guards against answers to other requests, late ones among them, that decide whether this one has run.
#[test_case(OWN, None, Claim::Answered => Kind::Answer; "an answer")]
#[test_case(OWN, None, Claim::Failed => Kind::Failed; "an error answer")]
#[test_case(OWN, None, Claim::Unproven => Kind::Improper; "an answer that is not proper")]
#[test_case(OWN, None, Claim::Rejected => Kind::Rejected; "a rejection")]
#[test_case(None, None, Claim::Rejected => Kind::Rejected; "a rejection without an id")]
#[test_case(OWN, OTHER, Claim::Replaced => Kind::Replaced; "another target")]
#[test_case(None, OTHER, Claim::Replaced => Kind::Replaced; "another target without an id")]
#[test_case(None, None, Claim::Replaced => Kind::Replaced; "another target without a name")]
#[test_case(OWN, OWN, Claim::Replaced => Kind::Replaced; "the target of the dispatch in another version")]
#[test_case(None, OWN, Claim::Replaced => Kind::Replaced; "the target of the dispatch in another version, without an id")]
#[test_case(OTHER, OTHER, Claim::Replaced => Kind::Foreign; "another target to another request")]
#[test_case(OTHER, None, Claim::Rejected => Kind::Foreign; "a rejection of another request")]
#[test_case(OTHER, None, Claim::Answered => Kind::Foreign; "an answer to another request")]
#[test_case(OTHER, None, Claim::Failed => Kind::Foreign; "an error answer to another request")]
#[test_case(OTHER, None, Claim::Unproven => Kind::Foreign; "an improper answer to another request")]
#[test_case(None, None, Claim::Answered => Kind::Foreign; "an answer without an id")]
#[test_case(None, None, Claim::Failed => Kind::Foreign; "an error answer without an id")]
#[test_case(None, None, Claim::Unproven => Kind::Foreign; "an improper answer without an id")]
fn an_answer_is_used_only_if_it_belongs_to_the_request(
    request: Option<&str>,
    target: Option<&str>,
    claim: Claim,
) -> Kind {
    let answer = AnswerInfo {
        request_id: request.map(str::to_owned),
        target: target.map(str::to_owned),
        claim,
    };

    classify(&answer, "own", false)
}

/// Guards against requests that their callers send again although they may have run.
#[test_case(OWN, false => Kind::Improper; "a request that may run once")]
#[test_case(OWN, true => Kind::Failed; "a request that may be repeated")]
#[test_case(OTHER, true => Kind::Foreign; "another request")]
fn an_error_answer_that_leaves_open_whether_the_request_ran_is_passed_on_only_if_it_may_be_repeated(
    request: Option<&str>,
    is_repeatable: bool,
) -> Kind {
    let request_id = request.map(str::to_owned);
    let answer = AnswerInfo { request_id, target: None, claim: Claim::FailedAmbiguously };

    classify(&answer, "own", is_repeatable)
}
