//! Request bodies that are suspected of crashing targets, and the records of the crash stream.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::id::{Fingerprint, TargetName};

/// Version of the record format; readers skip records of other versions.
pub const SCHEMA: u32 = 1;

/// Description of a request's body, which an agent receives with the reservation, before the body.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Body {
    /// Fingerprint of the body.
    pub fingerprint: Fingerprint,
    /// Whether the body is suspected of crashing targets, so that no other request may run on the target
    /// at the same time.
    pub alone: bool,
}

/// Record of an engine that died.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Name of the engine's target.
    pub target: TargetName,
    /// Fingerprints of the bodies that the engine was running and that no earlier record names.
    #[serde_as(as = "Vec<Hex>")]
    pub running: Vec<Fingerprint>,
    /// Whether the engine was running only one body, which was suspected before and ran alone.
    pub alone: bool,
}

/// Record of a suspected body that ran alone and got a complete answer, which clears it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clear {
    /// Fingerprint of the body.
    #[serde_as(as = "Hex")]
    pub fingerprint: Fingerprint,
}

/// Event that a record of the crash stream reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An engine died.
    Crash(Crash),
    /// A suspected body ran alone and got a complete answer.
    Clear(Clear),
}

/// One record of the crash stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Version of the record format; see [`SCHEMA`].
    pub schema: u32,
    /// Event that the record reports.
    pub action: Action,
}
