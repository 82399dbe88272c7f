//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Splits the bytes of a stream into events, and buffers the beginning of an incomplete event. Comments belong to the
/// event that follows them: a stream that consists of comments has no event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the beginning of the buffer that hold complete comments and blank lines only.
    comments: usize,
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
        loop {
            // The first three bytes of a blank line may be at the end of the bytes that were searched.
            let from = self.searched.saturating_sub(3).max(self.comments);
            let Some(end) = event_end(&self.buffer[from..]) else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = from + end;
            if is_comment(&self.buffer[self.comments..end]) {
                self.comments = end;
                self.searched = end;
                continue;
            }
            return Some(self.take(end));
        }
    }

    /// Removes the comments after the last event at the end of a stream; returns `None` where there are none, or where
    /// an incomplete event follows them.
    pub fn take_trailing_comments(&mut self) -> Option<StreamEvent> {
        let is_whole = self.comments > 0 && self.comments == self.buffer.len();
        is_whole.then(|| self.take(self.comments))
    }

    fn take(&mut self, end: usize) -> StreamEvent {
        let bytes = self.buffer.split_to(end).freeze();
        (self.searched, self.comments) = (0, 0);
        let id = event_id(&bytes);
        StreamEvent { bytes, id }
    }

    /// Returns the number of bytes that the buffer holds.
    pub fn len(&self) -> usize {
        self.buffer.len()
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

/// Returns whether all lines are comments or blank.
fn is_comment(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the value of an event's first `id` field, without surrounding whitespace.
fn event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
