//! Snapshots of the configuration, cut into parts that fit a record of the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// Largest text of one part, in bytes.
pub const PART_BYTES: usize = 256 << 10;

/// What all parts of one snapshot share.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Head {
    /// Highest offset that is applied in it.
    pub as_of: Offset,
    /// Number of its parts.
    pub count: u32,
    /// BLAKE3 hash of the whole text, in hex.
    pub digest: String,
}

/// One part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// The snapshot that it belongs to.
    pub head: Head,
    /// Its place, from 0.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// A snapshot with all its parts, and the digest checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Whole {
    /// Highest offset that is applied in it.
    pub as_of: Offset,
    /// Its text.
    pub text: String,
}

/// Collects parts in any order, also of several snapshots at once.
#[derive(Debug, Default)]
pub struct Assembly {
    open: BTreeMap<Head, BTreeMap<u32, String>>,
}

impl Assembly {
    /// Adds a part; gives the snapshot that it makes whole, if its digest is right.
    pub fn add(&mut self, part: Part) -> Option<Whole> {
        let count = part.head.count as usize;
        let texts = self.open.entry(part.head.clone()).or_default();
        texts.insert(part.index, part.text);
        if texts.len() < count {
            return None;
        }
        let texts = self.open.remove(&part.head)?;
        let text: String = texts.into_values().collect();
        (digest(&text) == part.head.digest).then_some(Whole { as_of: part.head.as_of, text })
    }
}

/// Cuts a snapshot's text into parts.
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
