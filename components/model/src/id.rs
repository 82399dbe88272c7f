//! Type aliases for ids and names, and the fingerprint of a request.

use uuid::Uuid;

/// Hash of a client account's name, the same in all processes.
pub type AccountHash = u64;
/// Name of a client account; a lower-case DNS label.
pub type AccountName = String;
/// Id of one configuration change, chosen by the client that requests it. A repeated change has no
/// further effect.
pub type ChangeId = Uuid;
/// Idempotency key chosen by the caller, unique only within its client account.
pub type IdempotencyKey = String;
/// Hash of a client account's name and one of its idempotency keys.
pub type ClaimKey = u128;
/// BLAKE3 hash of a request's path and body, cut to 16 bytes.
pub type Fingerprint = [u8; 16];

/// Returns the fingerprint that identifies a body each time it is sent. It is a hash of the parts: the
/// request's path, other properties that distinguish requests, and the body, in this order. Only the
/// last part may contain zero bytes, because a zero byte separates the parts.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for (number, part) in parts.iter().enumerate() {
        if number > 0 {
            hasher.update(&[0]);
        }
        hasher.update(part);
    }
    let mut fingerprint = Fingerprint::default();
    hasher.finalize_xof().fill(&mut fingerprint);
    fingerprint
}
/// Name of a host in the platform's list.
pub type HostName = String;
/// Id of one incarnation of an agent: a new one is created when its process starts, and when it joins
/// again after it was declared lost.
pub type IncarnationId = Uuid;
/// Name of a model, as callers write it in a request.
pub type ModelName = String;
/// Position of a record in a stream of the platform's log; the first record has offset 1.
pub type Offset = u64;
/// Hash of a client account's name, a pool's name and the ID of the attempt that received the first event of a
/// stream.
pub type StreamKey = Fingerprint;
/// Number of a part of a prompt, the same in all requests whose prompts share the part.
pub type PartId = u64;
/// Name of a target pool; a lower-case DNS label.
pub type PoolName = String;
/// Rank of a tier: 0 is the highest, whose requests are shed last.
pub type Rank = u8;
/// Id of one request attempt, created by the entry process that accepted it.
pub type RequestId = Uuid;
/// Name of a target; a lower-case DNS label.
pub type TargetName = String;
/// Name of a tier; a lower-case DNS label.
pub type TierName = String;
/// Name of an availability zone.
pub type ZoneName = String;
