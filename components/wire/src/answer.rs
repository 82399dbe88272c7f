//! Puts the frames of one answer together again.

use std::collections::BTreeMap;

use bytes::Bytes;
use displaydoc::Display;
use model::{id::RequestId, refusal::Ran};
use thiserror::Error;

use crate::frame::{Frame, Part};

/// Most frames that are kept ahead of a missing one.
const AHEAD_LIMIT: usize = 1_024;

/// Why an answer is torn.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Torn {
    /// a frame of request {0} came in the answer to another
    Crossed(RequestId),
    /// the answer doesn't begin with its head
    Headless,
    /// too many frames came ahead of a missing one
    Gap,
    /// the chunk count doesn't match
    Count,
    /// the digest doesn't match
    Digest,
    /// a frame came after the end
    AfterEnd,
    /// the target failed ({ran:?}): {message}
    Failed {
        /// Whether the request ran.
        ran: Ran,
        /// What the agent said.
        message: String,
    },
}

/// What a frame adds to the answer, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// Status and content type.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of `content-type`.
        content_type: String,
    },
    /// Bytes of the body.
    Chunk(Bytes),
    /// The answer is whole.
    Whole,
}

/// The state of one answer.
#[derive(Debug)]
pub struct Answer {
    request: RequestId,
    /// Sequence number of the next frame to give out.
    next: u64,
    /// Frames that came early, by sequence number; all are above `next`.
    ahead: BTreeMap<u64, Part>,
    chunks: u64,
    hasher: blake3::Hasher,
    whole: bool,
}

/// Gives the empty answer to a request.
pub fn open(request: RequestId) -> Answer {
    Answer {
        request,
        next: 0,
        ahead: BTreeMap::new(),
        chunks: 0,
        hasher: blake3::Hasher::new(),
        whole: false,
    }
}

impl Answer {
    /// Whether everything arrived and matched.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Hash over the body as far as it came.
    pub fn hash(&self) -> blake3::Hash {
        self.hasher.finalize()
    }

    /// Takes a frame in; gives what can be passed on now. A doubled frame gives nothing.
    pub fn push(&mut self, frame: Frame) -> Result<Vec<Piece>, Torn> {
        if frame.request != self.request {
            return Err(Torn::Crossed(frame.request));
        }
        if frame.sequence < self.next {
            return Ok(Vec::new());
        }
        if self.whole {
            return Err(Torn::AfterEnd);
        }
        self.ahead.entry(frame.sequence).or_insert(frame.part);
        if self.ahead.len() > AHEAD_LIMIT {
            return Err(Torn::Gap);
        }
        self.release()
    }

    fn release(&mut self) -> Result<Vec<Piece>, Torn> {
        let mut pieces = Vec::new();
        while let Some(part) = self.ahead.remove(&self.next) {
            pieces.push(self.take(part)?);
            self.next += 1;
        }
        if self.whole && !self.ahead.is_empty() {
            return Err(Torn::AfterEnd);
        }
        Ok(pieces)
    }

    fn take(&mut self, part: Part) -> Result<Piece, Torn> {
        let is_head = matches!(part, Part::Head { .. });
        let is_failure = matches!(part, Part::Failed { .. });
        if (self.next == 0) != is_head && !is_failure {
            return Err(Torn::Headless);
        }
        match part {
            Part::Head { status, content_type } => Ok(Piece::Head { status, content_type }),
            Part::Chunk(bytes) => {
                self.chunks += 1;
                self.hasher.update(&bytes);
                Ok(Piece::Chunk(bytes))
            }
            Part::End { chunks, .. } if chunks != self.chunks => Err(Torn::Count),
            Part::End { digest, .. } if digest != *self.hasher.finalize().as_bytes() => {
                Err(Torn::Digest)
            }
            Part::End { .. } => {
                self.whole = true;
                Ok(Piece::Whole)
            }
            // The head shows that the target had the request, whatever the agent says after it.
            Part::Failed { ran: Ran::NotRun, message } if self.next > 0 => {
                Err(Torn::Failed { ran: Ran::Yes, message })
            }
            Part::Failed { ran, message } => Err(Torn::Failed { ran, message }),
        }
    }
}
