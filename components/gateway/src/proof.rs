//! Evidence of each request and each of its dispatches.

use std::{collections::HashMap, time::SystemTime};

use evidence::{
    Buffer, Fact,
    record::{AnswerDigest, Outcome, Request, Run, Start},
};
use model::{
    id::RequestId,
    refusal::{Ran, Reason},
    reservation::Id,
};
use scheduler::direct::{self, Refusal, Ticket};
use uuid::Uuid;

/// Writes records; a request has one at its end, and so has each dispatch.
#[derive(Debug)]
pub struct Recorder {
    buffer: Buffer,
    open: HashMap<Ticket, Open>,
}

#[derive(Debug)]
struct Open {
    request: Request,
    /// When the dispatch began that hasn't ended.
    started: Option<SystemTime>,
    digest: Option<AnswerDigest>,
}

/// The id under which a caller's request stands in the evidence.
pub fn request_id(id: &str) -> RequestId {
    Uuid::new_v5(&Uuid::NAMESPACE_OID, id.as_bytes())
}

/// Gives a recorder that writes to a buffer.
pub fn open(buffer: Buffer) -> Recorder {
    Recorder { buffer, open: HashMap::new() }
}

impl Recorder {
    /// A request arrived.
    pub fn arrived(&mut self, ticket: Ticket, id: &str) {
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
        self.open.insert(ticket, Open { request, started: None, digest: None });
    }

    /// It was dispatched.
    pub fn started(&mut self, dispatch: &direct::Dispatch) {
        let Some(open) = self.open.get_mut(&dispatch.ticket) else {
            return;
        };
        open.started = Some(SystemTime::now());
        open.request.account = dispatch.account.clone().unwrap_or_default();
        open.request.rank = u8::try_from(dispatch.tier).ok();
        open.request.idempotent = dispatch.is_repeatable;
        open.request
            .starts
            .push(Start { attempt: dispatch.attempt, target: dispatch.target.clone() });
    }

    /// What went to its caller has this digest.
    pub fn answered(&mut self, ticket: Ticket, digest: AnswerDigest) {
        if let Some(open) = self.open.get_mut(&ticket) {
            open.digest = Some(digest);
        }
    }

    /// A dispatch ended.
    pub fn ran(&mut self, ticket: Ticket, outcome: direct::Outcome) {
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        let ran = match outcome {
            direct::Outcome::Completed | direct::Outcome::Failed => Ran::Yes,
            outcome if outcome.may_have_run() => Ran::MayHaveRun,
            _ => Ran::NotRun,
        };
        let digest = open.digest.filter(|_| outcome == direct::Outcome::Completed);
        let run = open.run(ran, digest);
        self.buffer.push(SystemTime::now(), run);
        if outcome == direct::Outcome::Completed {
            let digest = open.digest.unwrap_or_default();
            self.end(ticket, Outcome::Whole { digest });
        }
    }

    /// It was refused.
    pub fn refused(&mut self, ticket: Ticket, refusal: &Refusal) {
        let ran = if refusal.not_run { Ran::NotRun } else { Ran::MayHaveRun };
        let reason = reason(refusal.reason);
        self.end(ticket, Outcome::Refused { reason, ran, left_waiting: None });
    }

    /// Its caller got the failure that a target answered with.
    pub fn passed(&mut self, ticket: Ticket) {
        let reason = Reason::TargetLost;
        self.end(ticket, Outcome::Refused { reason, ran: Ran::Yes, left_waiting: None });
    }

    /// Its caller left.
    pub fn left(&mut self, ticket: Ticket) {
        if let Some(open) = self.open.get_mut(&ticket)
            && open.started.is_some()
        {
            let run = open.run(Ran::MayHaveRun, None);
            self.buffer.push(SystemTime::now(), run);
        }
        self.end(ticket, Outcome::Abandoned);
    }

    /// The process takes no new work.
    pub fn draining(&self) {
        self.buffer.push(SystemTime::now(), Fact::Draining);
    }

    /// The process ends.
    pub fn closed(&self) {
        let open = u32::try_from(self.open.len()).unwrap_or(u32::MAX);
        self.buffer.push(SystemTime::now(), Fact::Closed { open });
    }

    fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(open) = self.open.remove(&ticket) {
            let request = Request { outcome, ..open.request };
            self.buffer.push(SystemTime::now(), Fact::Request(request));
        }
    }
}

impl Open {
    fn run(&mut self, ran: Ran, digest: Option<AnswerDigest>) -> Fact {
        let attempt = self.request.starts.last().map_or(0, |start| start.attempt);
        let started = self.started.take().unwrap_or(self.request.arrived);
        Fact::Run(Run { id: Id { request: self.request.request, attempt }, started, ran, digest })
    }
}

fn reason(reason: direct::RefusalReason) -> Reason {
    match reason {
        direct::RefusalReason::NotReady => Reason::NotReady,
        direct::RefusalReason::NoRoute => Reason::BadInput,
        direct::RefusalReason::BadKey => Reason::Unauthorized,
        direct::RefusalReason::AccountLimit => Reason::AccountLimit,
        direct::RefusalReason::NoFreeSlot => Reason::Overloaded,
        direct::RefusalReason::Draining => Reason::Draining,
        direct::RefusalReason::Quarantined => Reason::Quarantined,
        direct::RefusalReason::DeadlineExceeded
        | direct::RefusalReason::DeadlineExceededMayHaveRun => Reason::Deadline,
        direct::RefusalReason::Lost => Reason::TargetLost,
        direct::RefusalReason::AllDispatchesFailed => Reason::NoTarget,
    }
}
