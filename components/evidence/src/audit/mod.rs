//! Checks each rule against the records of a history.
//!
//! The verdict on a rule is `Violated` if records contradict it, `Held` if all evidence that could
//! contradict it is present and none does, and `NotProvable` otherwise.

mod continuations;
mod corpus;
mod horizon;
mod leaving;
mod requests;
mod rollout;
mod shedding;

use std::time::SystemTime;

use displaydoc::Display;
use serde::Serialize;
use serde_with::{TimestampMilliSeconds, serde_as};

use crate::{
    batch::{Role, Sequence},
    history::{Flaw, Gap, History, Span},
};
use model::id::Offset;

pub use leaving::LEAVING_LIMIT;
pub use rollout::ROLLOUT_LIMIT;

/// A rule that must hold at all times.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// a request is dispatched to a target at most once
    DispatchedOnce,
    /// a higher tier is never shed before a lower one
    TierOrder,
    /// a caller receives the whole answer to its own request
    WholeAnswers,
    /// a request that was refused as not run did not run
    NotRun,
    /// a non-idempotent request runs at most once
    RunsOnce,
    /// a leaving target receives no new work after a few seconds
    LeavingTargets,
    /// a graceful shutdown cuts no request in progress
    GracefulShutdown,
    /// an accepted configuration is in force everywhere within seconds and never reverts
    Configuration,
    /// the evidence itself is whole and unchanged
    Evidence,
}

/// Result of checking a rule against the evidence.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// held
    Held,
    /// violated
    Violated,
    /// not provable
    NotProvable,
}

/// {process}, batch {sequence}, record {index} (offset {offset})
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Role, name and run id of the process that wrote the record.
    pub process: String,
    /// Offset in the stream of the log record that contains the batch.
    pub offset: Offset,
    /// Number of the batch in the chain of the process, from 1.
    pub sequence: Sequence,
    /// Position of the record in the batch, from 0.
    pub index: usize,
}

/// Records that contradict a rule.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// Explanation for a human reader.
    pub message: String,
    /// Records that contradict the rule; empty where the evidence itself is invalid.
    pub records: Vec<Place>,
}

/// Result of the audit for one rule.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Rule that was checked.
    pub rule: Rule,
    /// Verdict on the rule.
    pub verdict: Verdict,
    /// Number of cases that were checked.
    pub checked: usize,
    /// Contradictions to the rule; empty unless the verdict is `Violated`.
    pub violations: Vec<Violation>,
    /// Flaws of the evidence because of which the rule can't be proved.
    pub gaps: Vec<Flaw>,
}

/// Result of the audit for all rules.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Start of the audited time; `None` is the start of the evidence.
    #[serde(rename = "from_ms")]
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    pub from: Option<SystemTime>,
    /// End of the audited time; `None` is the end of the evidence.
    #[serde(rename = "to_ms")]
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    pub to: Option<SystemTime>,
    /// One finding for each rule.
    pub findings: Vec<Finding>,
}

/// Result of checking one rule, before gaps of the evidence that concern all rules are added.
#[derive(Debug, Default)]
struct RuleResult {
    checked: usize,
    violations: Vec<Violation>,
    gaps: Vec<Flaw>,
}

impl Report {
    /// Returns the worst verdict of all findings: `Violated`, else `NotProvable`, else `Held`.
    pub fn verdict(&self) -> Verdict {
        let has = |verdict| self.findings.iter().any(|finding| finding.verdict == verdict);
        match (has(Verdict::Violated), has(Verdict::NotProvable)) {
            (true, _) => Verdict::Violated,
            (false, true) => Verdict::NotProvable,
            (false, false) => Verdict::Held,
        }
    }

    /// Returns the finding on a rule; `None` if the report has none.
    pub fn finding(&self, rule: Rule) -> Option<&Finding> {
        self.findings.iter().find(|finding| finding.rule == rule)
    }
}

/// Checks every rule for the requests that ended within a span.
///
/// Records that a running process hasn't written yet don't count as missing: the span is shortened
/// to the time for which all running processes have written their records.
pub fn audit(history: &History, span: Span) -> Report {
    let span = horizon::clip(history, span);
    let corpus = corpus::open(history);
    let agents = Some(Role::Agent);
    let entries = Some(Role::Entry);
    let rules = [
        (Rule::DispatchedOnce, agents, requests::dispatched_once(&corpus, span)),
        (Rule::TierOrder, None, shedding::tier_order(&corpus, span)),
        (Rule::WholeAnswers, None, requests::whole_answers(&corpus, span)),
        (Rule::NotRun, None, requests::not_run(&corpus, span)),
        (Rule::RunsOnce, None, requests::runs_once(&corpus, span)),
        (Rule::LeavingTargets, None, leaving::leaving_targets(&corpus, span)),
        (Rule::GracefulShutdown, None, shedding::graceful_shutdown(&corpus, span)),
        (Rule::Configuration, entries, rollout::configuration(&corpus, span)),
    ];
    let finding =
        |(rule, role, result)| conclude(rule, result, relevant_flaws(history, role, span));
    let mut findings: Vec<Finding> = rules.into_iter().map(finding).collect();
    findings.push(evidence(history, span));
    Report { from: span.from, to: span.to, findings }
}

/// Returns the flaws that could hide a record of processes with a role (`None` for all roles)
/// within a span. A span without any evidence is itself a flaw.
fn relevant_flaws(history: &History, role: Option<Role>, span: Span) -> Vec<Flaw> {
    if !is_covered(history, span) {
        return vec![Flaw::Empty];
    }
    let concerns = |gap: &&Gap| {
        // An entry process that dispatches straight to targets writes both the records of entries
        // and of agents.
        let is_direct = gap.role == Some(Role::Direct);
        let same_role = is_direct || role.is_none() || gap.role.is_none() || gap.role == role;
        same_role && gap.span.overlaps(span)
    };
    history.gaps.iter().filter(concerns).map(|gap| gap.flaw.clone()).collect()
}

fn is_covered(history: &History, span: Span) -> bool {
    let mut batches = history.chains.iter().flat_map(|chain| &chain.batches);
    batches.any(|stored| {
        let written = Span { from: Some(stored.batch.since), to: Some(stored.batch.sealed) };
        written.overlaps(span)
    })
}

/// Derives the verdict from a rule's result and the flaws of the evidence.
fn conclude(rule: Rule, result: RuleResult, missing: Vec<Flaw>) -> Finding {
    let RuleResult { checked, violations, mut gaps } = result;
    gaps.extend(missing);
    let verdict = match (violations.is_empty(), gaps.is_empty()) {
        (false, _) => Verdict::Violated,
        (true, false) => Verdict::NotProvable,
        (true, true) => Verdict::Held,
    };
    Finding { rule, verdict, checked, violations, gaps }
}

/// Checks the evidence itself: tampering violates the rule, missing evidence makes it unprovable.
fn evidence(history: &History, span: Span) -> Finding {
    let (tampered, missing): (Vec<Flaw>, Vec<Flaw>) =
        relevant_flaws(history, None, span).into_iter().partition(Flaw::is_tampering);
    let violation = |flaw: Flaw| Violation { message: flaw.to_string(), records: Vec::new() };
    let result = RuleResult {
        checked: history.chains.iter().map(|chain| chain.batches.len()).sum(),
        violations: tampered.into_iter().map(violation).collect(),
        gaps: Vec::new(),
    };
    conclude(Rule::Evidence, result, missing)
}
