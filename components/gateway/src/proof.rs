//! Evidence of each request and each of its dispatches.

use std::{collections::HashMap, time::SystemTime};

use evidence::{
    Buffer, Fact,
    record::{AnswerDigest, Continuation, Loss, Outcome, Request, Run, Start},
};
use model::{
    id::RequestId,
    refusal::{Ran, Reason},
    reservation::Id,
};
use scheduler::direct::{self, Refusal, Ticket};
use uuid::Uuid;

/// Writes records of evidence: one at the end of each request and of each dispatch, and one each time the
/// process is ordered to drain or ends.
#[derive(Debug)]
pub struct Recorder {
    buffer: Buffer,
    open_requests: HashMap<Ticket, OpenRequest>,
}

/// Evidence of a request that hasn't ended.
#[derive(Debug)]
struct OpenRequest {
    /// Record to be written at the end of the request, as far as it is known.
    request: Request,
    /// Start of the dispatch in flight; `None` between dispatches.
    started: Option<SystemTime>,
    /// Digest of the complete answer; `None` before it is known.
    digest: Option<AnswerDigest>,
    /// The last dispatch that ended; `None` before the first has ended.
    ended: Option<Ended>,
    /// Continuation that the dispatch in flight is; `None` for a run of its own.
    continuation: Option<(Start, Loss)>,
}

/// A dispatch that ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    at: SystemTime,
    /// Why its target counts as lost if the run goes on elsewhere.
    loss: Loss,
}

/// Returns the ID of a request in the evidence, derived from the ID that the caller sent.
pub fn request_id(id: &str) -> RequestId {
    Uuid::new_v5(&Uuid::NAMESPACE_OID, id.as_bytes())
}

/// Builds a recorder that writes to a buffer.
pub fn open(buffer: Buffer) -> Recorder {
    Recorder { buffer, open_requests: HashMap::new() }
}

impl Recorder {
    /// Starts the record of a request that was received.
    pub fn begin_request(&mut self, ticket: Ticket, id: &str) {
        let request = Request {
            request: request_id(id),
            account: String::new(),
            rank: None,
            claim: None,
            idempotent: false,
            arrived: SystemTime::now(),
            starts: Vec::new(),
            outcome: Outcome::Abandoned,
        };
        let open =
            OpenRequest { request, started: None, digest: None, ended: None, continuation: None };
        self.open_requests.insert(ticket, open);
    }

    /// Adds the start of a dispatch to the record of its request.
    pub fn begin_dispatch(&mut self, dispatch: &direct::Dispatch) {
        let Some(open) = self.open_requests.get_mut(&dispatch.ticket) else {
            return;
        };
        // The clock may be set back between two dispatches, which never overlap.
        let now = SystemTime::now();
        open.started = Some(open.ended.map_or(now, |ended| now.max(ended.at)));
        let before = open.request.starts.last().cloned().zip(open.ended);
        open.continuation =
            before.filter(|_| dispatch.continues).map(|(start, ended)| (start, ended.loss));
        open.request.account = dispatch.account.clone().unwrap_or_default();
        open.request.rank = u8::try_from(dispatch.tier).ok();
        open.request.idempotent = dispatch.is_repeatable;
        open.request
            .starts
            .push(Start { attempt: dispatch.attempt, target: dispatch.target.clone() });
    }

    /// Stores the digest of the complete answer to a request.
    pub fn set_answer_digest(&mut self, ticket: Ticket, digest: AnswerDigest) {
        if let Some(open) = self.open_requests.get_mut(&ticket) {
            open.digest = Some(digest);
        }
    }

    /// Writes the record of a dispatch that ended, and that of the request where its answer is complete.
    pub fn end_dispatch(&mut self, ticket: Ticket, outcome: direct::Outcome) {
        let Some(open) = self.open_requests.get_mut(&ticket) else {
            return;
        };
        let ran = match outcome {
            direct::Outcome::Completed | direct::Outcome::Failed => Ran::Yes,
            outcome if outcome.may_have_run() => Ran::MayHaveRun,
            _ => Ran::NotRun,
        };
        let digest = open.digest.filter(|_| outcome == direct::Outcome::Completed);
        let run = open.end_run(ran, digest);
        let loss = match outcome {
            direct::Outcome::Unresponsive => Loss::Silent,
            _ => Loss::BrokenOff,
        };
        let at = SystemTime::now();
        open.ended = Some(Ended { at, loss });
        self.buffer.push(at, run);
        if outcome == direct::Outcome::Completed {
            let digest = open.digest.unwrap_or_default();
            self.end(ticket, Outcome::Whole { digest });
        }
    }

    /// Writes the record of a request that was refused.
    pub fn record_refusal(&mut self, ticket: Ticket, refusal: &Refusal) {
        let ran = if refusal.not_run { Ran::NotRun } else { Ran::MayHaveRun };
        let reason = reason(refusal.reason);
        self.end(ticket, Outcome::Refused { reason, ran, left_waiting: None });
    }

    /// Writes the record of a request whose caller got the error answer of a target.
    pub fn record_passed_failure(&mut self, ticket: Ticket) {
        let reason = Reason::TargetLost;
        self.end(ticket, Outcome::Refused { reason, ran: Ran::Yes, left_waiting: None });
    }

    /// Writes the records of a request whose caller disconnected and of the dispatch in flight.
    pub fn record_caller_disconnected(&mut self, ticket: Ticket) {
        if let Some(open) = self.open_requests.get_mut(&ticket)
            && open.started.is_some()
        {
            let run = open.end_run(Ran::MayHaveRun, None);
            self.buffer.push(SystemTime::now(), run);
        }
        self.end(ticket, Outcome::Abandoned);
    }

    /// Writes the record that the process begins to drain.
    pub fn record_draining(&self) {
        self.buffer.push(SystemTime::now(), Fact::Draining);
    }

    /// Writes the record that the process ends, with the number of requests that haven't ended.
    pub fn record_close(&self) {
        let open = u32::try_from(self.open_requests.len()).unwrap_or(u32::MAX);
        self.buffer.push(SystemTime::now(), Fact::Closed { open });
    }

    /// Writes the record of a request with its outcome.
    fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(open) = self.open_requests.remove(&ticket) {
            let request = Request { outcome, ..open.request };
            self.buffer.push(SystemTime::now(), Fact::Request(request));
        }
    }
}

impl OpenRequest {
    /// Ends the dispatch in flight and returns its record.
    fn end_run(&mut self, ran: Ran, digest: Option<AnswerDigest>) -> Fact {
        let attempt = self.request.starts.last().map_or(0, |start| start.attempt);
        let started = self.started.take().unwrap_or(self.request.arrived);
        let id = Id { request: self.request.request, attempt };
        let run = Run { id, started, ran, digest };
        match (self.continuation.take(), self.request.starts.last()) {
            (Some((before, loss)), Some(start)) => Fact::Continuation(Continuation {
                run,
                attempt: before.attempt,
                from: before.target,
                to: start.target.clone(),
                loss,
            }),
            _ => Fact::Run(run),
        }
    }
}

/// Returns the reason of a refusal as it is written to the evidence.
fn reason(reason: direct::RefusalReason) -> Reason {
    match reason {
        direct::RefusalReason::NotReady => Reason::NotReady,
        direct::RefusalReason::NoRoute => Reason::BadInput,
        direct::RefusalReason::BadKey => Reason::Unauthorized,
        direct::RefusalReason::AccountLimit => Reason::AccountLimit,
        direct::RefusalReason::NoFreeSlot | direct::RefusalReason::NoMemory => Reason::Overloaded,
        direct::RefusalReason::Draining => Reason::Draining,
        direct::RefusalReason::Quarantined => Reason::Quarantined,
        direct::RefusalReason::DeadlineExceeded
        | direct::RefusalReason::DeadlineExceededMayHaveRun => Reason::Deadline,
        direct::RefusalReason::Lost => Reason::TargetLost,
        direct::RefusalReason::AllDispatchesFailed
        | direct::RefusalReason::TargetsResting
        | direct::RefusalReason::VersionUnavailable
        | direct::RefusalReason::VersionUnknown => Reason::NoTarget,
    }
}
