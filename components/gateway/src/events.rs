//! Cuts a stream of server-sent events into whole ones.

use bytes::{Bytes, BytesMut};

/// Bytes of a stream that don't make a whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
}

/// One event, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id.
    pub id: Option<String>,
}

impl Splitter {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next(&mut self) -> Option<Piece> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end).freeze();
        self.searched = 0;
        let id = id(&bytes);
        Some(Piece { bytes, id })
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Where the first blank line ends.
fn end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n\r\n") {
            return Some(at + 4);
        }
        at += 1;
    }
    None
}

fn id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(value).trim().to_owned())
}
