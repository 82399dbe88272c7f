//! Batches of records; each batch contains the digest of the previous one, which makes a hash
//! chain.

use std::time::SystemTime;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD as BASE64};
use displaydoc::Display;
use model::id::HostName;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, hex::Hex, serde_as};
use thiserror::Error;
use uuid::Uuid;

use crate::record::Record;

/// Version of the batch format; a reader rejects batches of other versions.
pub const SCHEMA: u32 = 1;

/// BLAKE3 hash of a batch's content.
pub type Digest = [u8; 32];
/// Number of a batch in its chain, from 1.
pub type Sequence = u64;

/// Kind of process that writes evidence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry process that forwards requests to agents.
    Entry,
    /// Agent of a target.
    Agent,
    /// Entry process that dispatches straight to targets and records the runs itself.
    Direct,
}

/// One run of a process, from start to exit. Each run writes one chain.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// Kind of the process.
    pub role: Role,
    /// Name of the entry process, or of the agent's target.
    pub name: String,
    /// Host that the process runs on.
    pub host: HostName,
    /// Unique id of the run.
    pub run: Uuid,
}

/// Records of one process from one period of time.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Version of the batch format; see [`SCHEMA`].
    pub schema: u32,
    /// Process that wrote the batch.
    pub process: Process,
    /// Number of the batch in the chain, from 1.
    pub sequence: Sequence,
    /// Digest of the previous batch; all zeros in the first batch.
    pub previous: Digest,
    /// Start of the period: when the previous batch was sealed, or, for the first batch, when the
    /// process started.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub since: SystemTime,
    /// End of the period: when this batch was sealed. The batch contains all records from `since`
    /// to `sealed`, except for the lost ones. A period with too many records for one batch has
    /// several batches, which have the same `since` and `sealed`.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub sealed: SystemTime,
    /// Number of records that were dropped before this batch because the buffer was full.
    pub lost: u64,
    /// Records in the order in which they were written.
    pub records: Vec<Record>,
}

/// An encoded batch and its digest, as stored in the log.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// Hash of the content before base64 encoding.
    #[serde_as(as = "Hex")]
    pub digest: Digest,
    /// The batch, serialized with `postcard` and encoded in base64.
    pub content: String,
}

/// One record of the `evidence` stream. It contains batches of several processes, appended by one
/// of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Batches in the order in which they are appended.
    pub batches: Vec<Sealed>,
}

/// Reason for which a sealed batch can't be opened.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// its content isn't base64: {0}
    Text(#[from] base64::DecodeError),
    /// its content doesn't have its digest
    Digest,
    /// its content is no batch: {0}
    Content(#[from] postcard::Error),
    /// its form {0} isn't known
    Schema(u32),
}

/// Encodes a batch and computes its digest.
pub fn seal(batch: &Batch) -> Sealed {
    let content = postcard::to_stdvec(batch).expect("a batch has only plain fields");
    let digest = *blake3::hash(&content).as_bytes();
    Sealed { digest, content: BASE64.encode(content) }
}

/// Decodes a sealed batch after checking its digest.
pub fn unseal(sealed: &Sealed) -> Result<Batch, Error> {
    let content = BASE64.decode(&sealed.content)?;
    if *blake3::hash(&content).as_bytes() != sealed.digest {
        return Err(Error::Digest);
    }
    let batch: Batch = postcard::from_bytes(&content)?;
    match batch.schema {
        SCHEMA => Ok(batch),
        other => Err(Error::Schema(other)),
    }
}
