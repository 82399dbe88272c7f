//! Rules about single requests: compare the outcomes that entry processes recorded with the runs
//! that agents recorded.

use std::collections::BTreeSet;

use model::{id::RequestId, refusal};

use super::{
    RuleResult, Violation,
    continuations::{self, Parts},
    corpus::{Corpus, EndedRequest, RecordedRun},
    horizon::CLOCK_MARGIN,
};
use crate::{
    history::{Flaw, Span},
    record::{Outcome, Start},
};

/// Checks that a request is dispatched to a target at most once. A run that goes on at another target after its own was
/// lost is one dispatch.
pub fn dispatched_once(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let mut result = RuleResult::default();
    for (request, runs) in &corpus.runs {
        if !runs.iter().any(|recorded| recorded.located.is_in(span)) {
            continue;
        }
        result.checked += 1;
        let dispatched: Vec<&RecordedRun<'_>> = corpus.dispatched(*request).collect();
        let parts = continuations::parts(corpus, *request);
        if dispatched.len() > max_dispatches(corpus, *request, &parts) {
            let message = format!("request {request} was dispatched {} times", dispatched.len());
            let records = dispatched.iter().map(|recorded| recorded.located.place()).collect();
            result.violations.push(Violation { message, records });
        }
        result.violations.extend(parts.faulty.iter().map(|(recorded, fault)| {
            let attempt = recorded.run.id.attempt;
            let message =
                format!("run {attempt} of request {request} doesn't continue another: {fault}");
            Violation { message, records: vec![recorded.located.place()] }
        }));
        let flaw = |target| Flaw::Unwitnessed { request: *request, target };
        result.gaps.extend(parts.unwitnessed.into_iter().map(flaw));
    }
    for ended in in_span(corpus, span) {
        result.gaps.extend(unwitnessed_run(corpus, ended));
    }
    result
}

/// Checks that each complete answer is the one that the agent read from the target for this
/// request.
pub fn whole_answers(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let mut result = RuleResult::default();
    for ended in in_span(corpus, span) {
        let Outcome::Whole { digest } = ended.request.outcome else {
            continue;
        };
        result.checked += 1;
        let runs: Vec<&RecordedRun<'_>> = corpus.dispatched(ended.request.request).collect();
        if runs.iter().any(|recorded| recorded.run.digest == Some(digest)) {
            continue;
        }
        let missing = unwitnessed_run(corpus, ended);
        if runs.is_empty() && missing.is_some() {
            result.gaps.extend(missing);
            continue;
        }
        let request = ended.request.request;
        let message = format!("the answer to request {request} isn't the one that its run gave");
        result.violations.push(violation(message, ended, &runs));
    }
    result
}

/// Checks that no target ran a request that was refused as `not run`. If the request has an
/// idempotency key, no other request with this key may have run either, if its run started before
/// the refusal by more than the margin of the clocks.
pub fn not_run(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let mut result = RuleResult::default();
    for ended in in_span(corpus, span) {
        let Outcome::Refused { ran: refusal::Ran::NotRun, .. } = ended.request.outcome else {
            continue;
        };
        result.checked += 1;
        let request = ended.request.request;
        let mut runs: Vec<&RecordedRun<'_>> = corpus.dispatched(request).collect();
        runs.extend(earlier_copies(corpus, ended));
        if runs.is_empty() {
            result.gaps.extend(uncovered_start(corpus, ended));
            continue;
        }
        let message = format!("request {request} was refused as not run, but it or a copy ran");
        result.violations.push(violation(message, ended, &runs));
    }
    result
}

/// Checks that all requests under one claim together run at most once, if any of them isn't
/// idempotent.
pub fn runs_once(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let mut result = RuleResult::default();
    for (claim, requests) in &corpus.claims {
        let is_at_most_once = requests.iter().any(|ended| !ended.request.idempotent);
        if !is_at_most_once || !requests.iter().any(|ended| ended.located.is_in(span)) {
            continue;
        }
        result.checked += 1;
        let runs = corpus.dispatched_under(*claim);
        let ids: BTreeSet<RequestId> =
            runs.iter().map(|recorded| recorded.run.id.request).collect();
        let parts = ids.into_iter().map(|request| continuations::parts(corpus, request));
        let continued: usize = parts.map(|parts| parts.continued).sum();
        if runs.len() - continued > 1 {
            let account = &requests[0].request.account;
            let message =
                format!("a non-idempotent request of account `{account}` ran {} times", runs.len());
            result.violations.push(violation(message, &requests[0], &runs));
        }
        result.gaps.extend(requests.iter().flat_map(|ended| unwitnessed_run(corpus, ended)));
    }
    result
}

/// Returns how often a request may be dispatched. The limit is one and its continuations, except for
/// an idempotent request that its entry process dispatches straight to targets: such a process
/// records a start for each dispatch.
fn max_dispatches(corpus: &Corpus<'_>, request: RequestId, parts: &Parts<'_>) -> usize {
    let requests = corpus.requests.get(&request).into_iter().flatten();
    let mut repeatable = requests.filter(|ended| ended.is_direct() && ended.request.idempotent);
    repeatable.next().map_or(1 + parts.continued, |ended| ended.request.starts.len())
}

fn in_span<'a>(corpus: &'a Corpus<'_>, span: Span) -> impl Iterator<Item = &'a EndedRequest<'a>> {
    corpus.requests.values().flatten().filter(move |ended| ended.located.is_in(span))
}

/// Returns the runs of other requests with the same idempotency key that started before this one
/// was refused, by more than the margin of the clocks.
fn earlier_copies<'a>(
    corpus: &'a Corpus<'_>,
    ended: &'a EndedRequest<'_>,
) -> impl Iterator<Item = &'a RecordedRun<'a>> {
    let runs = ended.request.claim.map(|claim| corpus.dispatched_under(claim));
    runs.into_iter().flatten().filter(|recorded| {
        let is_other = recorded.run.id.request != ended.request.request;
        is_other && recorded.run.started + CLOCK_MARGIN < ended.located.record.at
    })
}

/// Returns a flaw if the entry process recorded that a request ran, but no agent recorded a run, or
/// if an agent's evidence is missing for a start.
fn unwitnessed_run(corpus: &Corpus<'_>, ended: &EndedRequest<'_>) -> Option<Flaw> {
    let says_it_ran = match ended.request.outcome {
        Outcome::Whole { .. } => true,
        Outcome::Refused { ran, .. } => ran == refusal::Ran::Yes,
        Outcome::Abandoned => false,
    };
    if !says_it_ran || corpus.dispatched(ended.request.request).next().is_some() {
        return uncovered_start(corpus, ended);
    }
    ended.request.starts.last().map(|start| unwitnessed_flaw(ended, start))
}

/// Returns a flaw for the first start at a target whose agent has neither a record of the run nor
/// any evidence of that time.
fn uncovered_start(corpus: &Corpus<'_>, ended: &EndedRequest<'_>) -> Option<Flaw> {
    let is_covered = |start: &Start| {
        let runs = corpus.runs.get(&ended.request.request).into_iter().flatten();
        let mut of_attempt = runs.filter(|recorded| recorded.run.id.attempt == start.attempt);
        ended.is_direct()
            || of_attempt.next().is_some()
            || corpus.witnesses(&start.target, ended.located.record.at)
    };
    ended
        .request
        .starts
        .iter()
        .find(|start| !is_covered(start))
        .map(|start| unwitnessed_flaw(ended, start))
}

fn unwitnessed_flaw(ended: &EndedRequest<'_>, start: &Start) -> Flaw {
    Flaw::Unwitnessed { request: ended.request.request, target: start.target.clone() }
}

fn violation(message: String, ended: &EndedRequest<'_>, runs: &[&RecordedRun<'_>]) -> Violation {
    let places = runs.iter().map(|recorded| recorded.located.place());
    Violation { message, records: [ended.located.place()].into_iter().chain(places).collect() }
}
