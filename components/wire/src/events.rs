//! Server-sent events: finds the ends of events and the event that marks a completion as complete.

use bytes::{Bytes, BytesMut};

/// Line that marks a completion as complete.
const DONE: &[u8] = b"data: [DONE]";

/// Splits the bytes of a stream at the ends of events.
#[derive(Debug, Default)]
pub struct Cutter {
    buffer: BytesMut,
    /// Whether the last event that was returned marks the completion as complete.
    is_done: bool,
}

impl Cutter {
    /// Adds bytes and returns all events that are now complete; `None` if there is none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        if !events.trim_ascii().is_empty() {
            self.is_done = is_done(&events);
        }
        Some(events)
    }

    /// Returns whether the stream so far is complete: the last event marks the completion as
    /// complete and no bytes follow it.
    pub fn is_whole(&self) -> bool {
        self.is_done && self.buffer.is_empty()
    }
}

/// Returns whether the last of some complete events marks the completion as complete. Text within an
/// event may contain the mark, so the mark must be a line of its own.
pub fn is_done(events: &[u8]) -> bool {
    let lines = events.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
    lines.rev().find(|line| !line.is_empty()) == Some(DONE)
}

/// Returns the index after the last blank line, which ends an event; lines end in LF or CR LF.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize| {
        let before = &bytes[..at];
        let blank = before == b"\n" || before == b"\r\n";
        blank || before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(|at| ends(*at))
}
