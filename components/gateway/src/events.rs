//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Splits the bytes of a stream into events, and buffers the beginning of an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the beginning of the buffer in which no event ends.
    searched: usize,
}

/// A complete event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes of the event, with the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the event's `id` field; `None` where the event has none.
    pub id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer; returns `None` where the buffer has none.
    pub fn next(&mut self) -> Option<StreamEvent> {
        // The first three bytes of a blank line may be at the end of the bytes that were searched.
        let from = self.searched.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether the buffer is empty, so that the last event was complete.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the position after the first blank line, or `None` where there is no blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut position = 0;
    while position < bytes.len() {
        let rest = &bytes[position..];
        if rest.starts_with(b"\n\n") {
            return Some(position + 2);
        }
        if rest.starts_with(b"\r\n\r\n") {
            return Some(position + 4);
        }
        position += 1;
    }
    None
}

/// Returns the value of an event's first `id` field, without surrounding whitespace.
fn event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
