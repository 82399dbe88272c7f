//! Appends sealed batches to the platform's log, with several batches in one record.

use source::log;

use crate::batch::{Envelope, Sealed};

/// Limit on the bytes of batches in one record of the stream; a record with a single batch may
/// exceed it.
const ENVELOPE_BYTES_LIMIT: usize = 256 << 10;

/// Appends batches in their order. After an error the caller appends all of them again: the audit
/// accepts a batch that the stream contains twice.
pub async fn append(log: &log::Client, batches: &[Sealed]) -> Result<(), log::Error> {
    let mut envelope = Envelope::default();
    let mut bytes = 0;
    for sealed in batches {
        if bytes > 0 && bytes + sealed.content.len() > ENVELOPE_BYTES_LIMIT {
            append_envelope(log, &std::mem::take(&mut envelope)).await?;
            bytes = 0;
        }
        bytes += sealed.content.len();
        envelope.batches.push(sealed.clone());
    }
    match envelope.batches.is_empty() {
        true => Ok(()),
        false => append_envelope(log, &envelope).await,
    }
}

async fn append_envelope(log: &log::Client, envelope: &Envelope) -> Result<(), log::Error> {
    let payload = serde_json::to_string(envelope).expect("an envelope is JSON");
    log.append(source::EVIDENCE, &payload).await?;
    Ok(())
}
