//! Events that the reducer of claims takes and effects that it gives.

use std::{
    net::SocketAddr,
    time::{Instant, SystemTime},
};

use model::{
    claim::{Answer, Ask, Question, Settle, Transfer, Verdict},
    id::{ClaimKey, IncarnationId, RequestId},
};

use crate::entry::Record;

/// Both clocks of the process at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clock {
    /// The monotonic clock, for periods.
    pub now: Instant,
    /// The wall clock, for comparison with other processes and with keys that carry a time.
    pub wall: SystemTime,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An entry asks for a key.
    Claim(Ask),
    /// A later home of a key asks what is remembered of it.
    Asked(Question),
    /// An earlier home answered.
    Answered {
        /// The key.
        key: ClaimKey,
        /// The run that was asked.
        incarnation: IncarnationId,
        /// Its answer; `None` where it can't be reached.
        answer: Option<Answer>,
    },
    /// An entry tells what became of an attempt.
    Settle(Settle),
    /// An agent that leaves hands claims over.
    Received(Vec<Transfer>),
    /// Records of the membership stream were read, in order.
    Records(Vec<Record>),
    /// All membership records that stood at the log's last answer are applied.
    CaughtUp,
    /// Give everything that isn't handed over yet to the members that stay.
    HandOver,
    /// A hand-over didn't arrive: all of it has to be given again.
    HandOverFailed,
    /// Grant nothing more, so that nothing is left to hand over.
    Freeze,
    /// Another process took this run for lost: go on as a new run, with all that is remembered.
    Rejoin(IncarnationId),
    /// Go on granting: this agent stays after all.
    Thaw,
}

/// What has to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Answer everybody who asked for this attempt.
    Reply {
        /// The attempt.
        attempt: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Ask an earlier home; the answer comes back as an event.
    Ask {
        /// Its control address.
        address: SocketAddr,
        /// What to ask.
        question: Question,
    },
    /// Answer a question.
    Tell(Answer),
    /// Answer a settlement.
    Settled {
        /// Whether this agent is the key's home, so that nobody else need be told.
        taken: bool,
    },
    /// Give claims to a member that stays.
    HandOver {
        /// Its control address.
        address: SocketAddr,
        /// The claims.
        claims: Vec<Transfer>,
    },
}
