//! Batches: records sealed with the hash of the batch before them.

use std::time::SystemTime;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD as BASE64};
use displaydoc::Display;
use model::id::HostName;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, hex::Hex, serde_as};
use thiserror::Error;
use uuid::Uuid;

use crate::record::Record;

/// Version of the form of batches; a reader refuses one that it doesn't know.
pub const SCHEMA: u32 = 1;

/// BLAKE3 hash of a batch's content.
pub type Digest = [u8; 32];
/// Counts a chain's batches from 1.
pub type Sequence = u64;

/// What a process is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry process.
    Entry,
    /// An agent.
    Agent,
    /// An entry process that dispatches straight to targets, and writes their runs itself.
    Direct,
}

/// One run of a process; it has one chain.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// What it is.
    pub role: Role,
    /// Name of the entry, or the target that the agent stands beside.
    pub name: String,
    /// Host that it runs on.
    pub host: HostName,
    /// Names the run.
    pub run: Uuid,
}

/// Records of one process over one stretch of time.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Form of this batch; see [`SCHEMA`].
    pub schema: u32,
    /// Who wrote it.
    pub process: Process,
    /// Its place in the chain.
    pub sequence: Sequence,
    /// Digest of the batch before; zeros for the first.
    pub previous: Digest,
    /// End of the batch before, or start of the process.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub since: SystemTime,
    /// When it was sealed: it holds all records between the two that weren't lost.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub sealed: SystemTime,
    /// Records between the two that found no room in memory.
    pub lost: u64,
    /// The records, in their order.
    pub records: Vec<Record>,
}

/// A batch as it stands in the log.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// Hash of the content before its text form.
    #[serde_as(as = "Hex")]
    pub digest: Digest,
    /// The batch by `postcard`, in base64.
    pub content: String,
}

/// One record of the `evidence` stream: batches of several processes, brought by one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The batches.
    pub batches: Vec<Sealed>,
}

/// Why a sealed batch is no batch.
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

/// Seals a batch.
pub fn seal(batch: &Batch) -> Sealed {
    let content = postcard::to_stdvec(batch).expect("a batch has only plain fields");
    let digest = *blake3::hash(&content).as_bytes();
    Sealed { digest, content: BASE64.encode(content) }
}

/// Opens a sealed batch, if its content has its digest.
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
