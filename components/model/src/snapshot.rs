//! Snapshots of the configuration, split into parts that each fit into a record of the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// Maximum size of the text of one part, in bytes.
pub const PART_BYTES: usize = 256 << 10;

/// Header that all parts of a snapshot share.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Head {
    /// Highest configuration offset that the snapshot includes.
    pub as_of: Offset,
    /// Number of the snapshot's parts.
    pub count: u32,
    /// BLAKE3 hash of the snapshot's complete text, in hex.
    pub digest: String,
}

/// One part of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Header of the snapshot that the part belongs to.
    pub head: Head,
    /// Position of the part in the snapshot, from 0.
    pub index: u32,
    /// Text of the part.
    pub text: String,
}

/// A complete snapshot whose digest was checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Whole {
    /// Highest configuration offset that the snapshot includes.
    pub as_of: Offset,
    /// Complete text of the snapshot.
    pub text: String,
}

/// Reassembles snapshots from parts, which may arrive in any order and belong to several snapshots.
#[derive(Debug, Default)]
pub struct Assembly {
    /// Texts of the parts received so far, by snapshot and index.
    incomplete: BTreeMap<Head, BTreeMap<u32, String>>,
}

impl Assembly {
    /// Adds a part. Returns the snapshot if this part completes it and its digest matches; a complete
    /// snapshot with a wrong digest is dropped.
    pub fn add(&mut self, part: Part) -> Option<Whole> {
        let count = part.head.count as usize;
        let texts = self.incomplete.entry(part.head.clone()).or_default();
        texts.insert(part.index, part.text);
        if texts.len() < count {
            return None;
        }
        let texts = self.incomplete.remove(&part.head)?;
        let text: String = texts.into_values().collect();
        (digest(&text) == part.head.digest).then_some(Whole { as_of: part.head.as_of, text })
    }
}

/// Splits a snapshot's text into parts of at most [`PART_BYTES`].
pub fn split(as_of: Offset, text: &str) -> Vec<Part> {
    let mut texts = Vec::new();
    let mut rest = text;
    while rest.len() > PART_BYTES {
        let (part, after) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        texts.push(part.to_owned());
        rest = after;
    }
    texts.push(rest.to_owned());
    let count = u32::try_from(texts.len()).expect("a snapshot has less than 2^32 parts");
    let head = Head { as_of, count, digest: digest(text) };
    let part = |(index, text)| Part { head: head.clone(), index, text };
    (0..).zip(texts).map(part).collect()
}

fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
