//! Server-sent events: where one ends, and which one says that a completion is whole.

use bytes::{Bytes, BytesMut};

const DONE: &[u8] = b"data: [DONE]";

/// Collects bytes of a stream and gives them out in whole events.
#[derive(Debug, Default)]
pub struct Cutter {
    buffer: BytesMut,
    /// Whether the last event that was given out says that the completion is whole.
    done: bool,
}

impl Cutter {
    /// Adds bytes and takes out all events that are whole by now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = last_end(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        if !events.trim_ascii().is_empty() {
            self.done = is_done(&events);
        }
        Some(events)
    }

    /// Whether the stream ended where it should: after the last event, with nothing behind.
    pub fn is_whole(&self) -> bool {
        self.done && self.buffer.is_empty()
    }
}

/// Whether the last of some whole events says that the completion is whole. Text within an event
/// may look like that, so a whole line has to say it.
pub fn is_done(events: &[u8]) -> bool {
    let lines = events.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
    lines.rev().find(|line| !line.is_empty()) == Some(DONE)
}

/// The place behind the last blank line; lines end in LF or CR LF.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let ends = |at: usize| {
        let before = &bytes[..at];
        let blank = before == b"\n" || before == b"\r\n";
        blank || before.ends_with(b"\n\n") || before.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(|at| ends(*at))
}
