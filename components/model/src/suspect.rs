//! Bodies that may crash a target: their fingerprints, and the records of crashes.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::id::{Fingerprint, TargetName};

/// Version of the record's own form; a reader passes over one that it doesn't know.
pub const SCHEMA: u32 = 1;

/// What an agent is told of a request's body before it gets it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it is suspected: nothing else may run beside it.
    pub alone: bool,
}

/// An engine died.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The target whose engine it was.
    pub target: TargetName,
    /// Bodies that it ran.
    #[serde_as(as = "Vec<Hex>")]
    pub running: Vec<Fingerprint>,
    /// Whether the only one of them was suspected before and ran alone.
    pub alone: bool,
}

/// A suspected body ran alone to its end.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clear {
    /// The body.
    #[serde_as(as = "Hex")]
    pub fingerprint: Fingerprint,
}

/// What a record tells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An engine died.
    Crash(Crash),
    /// A suspected body ran alone to its end.
    Clear(Clear),
}

/// One record of the stream of crashes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Form of this record; see [`SCHEMA`].
    pub schema: u32,
    /// What it tells.
    pub action: Action,
}
