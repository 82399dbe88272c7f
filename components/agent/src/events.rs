//! Cuts a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

const END: &[u8] = b"\n\n";
const DONE: &[u8] = b"data: [DONE]";

/// Collects bytes and gives them out in whole events.
#[derive(Debug, Default)]
pub struct Cutter {
    buffer: BytesMut,
    /// Whether the event that says `whole` came.
    done: bool,
}

impl Cutter {
    /// Adds bytes and takes out all events that are whole by now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let last = self.buffer.windows(END.len()).rposition(|window| window == END)?;
        let events = self.buffer.split_to(last + END.len()).freeze();
        let mut each = events.split(|byte| *byte == b'\n');
        self.done |= each.any(|line| line == DONE);
        Some(events)
    }

    /// Whether the stream ended where it should: after the last event, with nothing behind.
    pub fn is_whole(&self) -> bool {
        self.done && self.buffer.is_empty()
    }
}
