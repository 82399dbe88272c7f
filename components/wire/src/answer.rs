//! Reassembles the frames of one answer and checks that the answer is complete.

use std::collections::BTreeMap;

use bytes::Bytes;
use displaydoc::Display;
use model::{id::RequestId, refusal::Ran};
use thiserror::Error;

use crate::frame::{Frame, Part};

/// Largest number of frames that are buffered while an earlier one is missing.
const MAX_EARLY_FRAMES: usize = 1_024;

/// Error of an answer that is incomplete or corrupt.
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
        /// Whether the request ran on the target.
        ran: Ran,
        /// The agent's message, one sentence for a person.
        message: String,
    },
}

/// Part of an answer, given out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// Status and content type of the answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `content-type` header.
        content_type: String,
    },
    /// Next bytes of the body.
    Chunk(Bytes),
    /// End of the answer: all frames arrived and its count and digest match.
    Whole,
}

/// State of reassembling one answer.
#[derive(Debug)]
pub struct Answer {
    request: RequestId,
    /// Sequence number of the next frame to process.
    next: u64,
    /// Frames that arrived early, by sequence number; all are above `next` between
    /// two calls.
    early: BTreeMap<u64, Part>,
    /// Number of chunks processed so far.
    chunks: u64,
    /// Hash over the chunks processed so far.
    hasher: blake3::Hasher,
    is_whole: bool,
}

/// Returns the state for the answer to a request, before its first frame.
pub fn open(request: RequestId) -> Answer {
    Answer {
        request,
        next: 0,
        early: BTreeMap::new(),
        chunks: 0,
        hasher: blake3::Hasher::new(),
        is_whole: false,
    }
}

impl Answer {
    /// Returns whether the answer is complete and its chunk count and digest match.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Returns the hash over the body's chunks so far.
    pub fn hash(&self) -> blake3::Hash {
        self.hasher.finalize()
    }

    /// Adds a frame and returns the parts that are now next in order. A duplicate frame adds nothing.
    pub fn push(&mut self, frame: Frame) -> Result<Vec<Piece>, Torn> {
        if frame.request != self.request {
            return Err(Torn::Crossed(frame.request));
        }
        if frame.sequence < self.next {
            return Ok(Vec::new());
        }
        if self.is_whole {
            return Err(Torn::AfterEnd);
        }
        self.early.entry(frame.sequence).or_insert(frame.part);
        if self.early.len() > MAX_EARLY_FRAMES {
            return Err(Torn::Gap);
        }
        self.release()
    }

    /// Processes the buffered frames that are now next in order.
    fn release(&mut self) -> Result<Vec<Piece>, Torn> {
        let mut pieces = Vec::new();
        while let Some(part) = self.early.remove(&self.next) {
            pieces.push(self.process(part)?);
            self.next += 1;
        }
        if self.is_whole && !self.early.is_empty() {
            return Err(Torn::AfterEnd);
        }
        Ok(pieces)
    }

    /// Checks and processes the next part in order.
    fn process(&mut self, part: Part) -> Result<Piece, Torn> {
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
                self.is_whole = true;
                Ok(Piece::Whole)
            }
            // A head proves that the target received the request, even if the agent then reports that
            // the request did not run.
            Part::Failed { ran: Ran::NotRun, message } if self.next > 0 => {
                Err(Torn::Failed { ran: Ran::Yes, message })
            }
            Part::Failed { ran, message } => Err(Torn::Failed { ran, message }),
        }
    }
}
