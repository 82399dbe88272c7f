//! Events that the reducer of claims applies and effects that it returns.

use std::{
    net::SocketAddr,
    time::{Instant, SystemTime},
};

use model::{
    claim::{Answer, Ask, Question, Settle, Transfer, Verdict},
    id::{ClaimKey, IncarnationId, RequestId},
};

use crate::entry::Record;

/// Readings of both clocks of the process, taken at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clock {
    /// Monotonic clock, for durations and timeouts.
    pub now: Instant,
    /// Wall clock, for comparison with times of other processes and times carried by keys.
    pub wall: SystemTime,
}

/// Event that the reducer applies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An entry asks that an attempt be granted its key.
    Claim(Ask),
    /// A later home of a key asks for the claim that this agent stores of it.
    Asked(Question),
    /// A question to an earlier home was answered or failed.
    Answered {
        /// Key of the question.
        key: ClaimKey,
        /// Incarnation that was asked.
        incarnation: IncarnationId,
        /// Answer of that incarnation; `None` where it was unreachable.
        answer: Option<Answer>,
    },
    /// An entry reports whether a granted attempt ran.
    Settle(Settle),
    /// A leaving agent hands over claims of keys whose next home is this agent.
    Received(Vec<Transfer>),
    /// Records of the membership stream were read, in the order of their offsets.
    Records(Vec<Record>),
    /// All membership records that existed at the log's last answer are applied; this confirms the
    /// epoch.
    CaughtUp,
    /// The agent is leaving: hand over all claims that haven't been sent yet.
    HandOver,
    /// A message of the hand-over may not have arrived: the next hand-over sends all claims again.
    HandOverFailed,
    /// Grant no more keys, so that the next hand-over is the last.
    Freeze,
    /// Another process removed this incarnation as lost: continue as a new one with all stored
    /// claims.
    Rejoin(IncarnationId),
    /// The agent remains a member after all: grant keys again and discard the hand-over's progress.
    Thaw,
}

/// Effect that the reducer asks its caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Reply to every pending ask of an attempt.
    Reply {
        /// Attempt that asked for its key.
        attempt: RequestId,
        /// Verdict on the attempt.
        verdict: Verdict,
    },
    /// Ask an earlier home of a key; [`Event::Answered`] returns the answer.
    Ask {
        /// Control address of the earlier home.
        address: SocketAddr,
        /// Question to send.
        question: Question,
    },
    /// Answer the question of [`Event::Asked`].
    Tell(Answer),
    /// Answer the report of [`Event::Settle`].
    Settled {
        /// Whether this agent is the key's home and not frozen, so that the entry need report to no
        /// other agent.
        taken: bool,
    },
    /// Send claims to the agent that becomes the home of their keys.
    HandOver {
        /// Control address of the receiving agent.
        address: SocketAddr,
        /// Claims to hand over.
        claims: Vec<Transfer>,
    },
}
