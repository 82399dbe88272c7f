//! Appends sealed batches to the platform's log, several to a record.

use source::log;

use crate::batch::{Envelope, Sealed};

/// Most bytes of batches in one record of the stream.
const ENVELOPE_LIMIT: usize = 256 << 10;

/// Appends batches in their order. After a failure the caller appends all of them again: a batch
/// that stands twice is no flaw.
pub async fn append(log: &log::Client, batches: &[Sealed]) -> Result<(), log::Error> {
    let mut envelope = Envelope::default();
    let mut bytes = 0;
    for sealed in batches {
        if bytes > 0 && bytes + sealed.content.len() > ENVELOPE_LIMIT {
            send(log, &std::mem::take(&mut envelope)).await?;
            bytes = 0;
        }
        bytes += sealed.content.len();
        envelope.batches.push(sealed.clone());
    }
    match envelope.batches.is_empty() {
        true => Ok(()),
        false => send(log, &envelope).await,
    }
}

async fn send(log: &log::Client, envelope: &Envelope) -> Result<(), log::Error> {
    let payload = serde_json::to_string(envelope).expect("an envelope is JSON");
    log.append(source::EVIDENCE, &payload).await?;
    Ok(())
}
