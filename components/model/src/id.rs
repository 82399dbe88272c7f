//! Type aliases for the ids that cross module borders.

use uuid::Uuid;

/// Name of a client account; lower-case DNS label.
pub type AccountName = String;
/// Id of one configuration change, chosen by whoever asks for it; repeats are harmless.
pub type ChangeId = Uuid;
/// A key chosen by the caller, scoped to its client account.
pub type IdempotencyKey = String;
/// Hash of a client account and an idempotency key of its own.
pub type ClaimKey = u128;
/// BLAKE3 hash of a request's path and body, cut to 16 bytes.
pub type Fingerprint = [u8; 16];

/// What names a body wherever it is sent again: a hash of its path, of what else tells it apart, and
/// of the body. None of the parts but the last holds a zero byte.
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
/// Name of a host as the platform's list gives it.
pub type HostName = String;
/// Id of one run of an agent, minted when its process starts.
pub type IncarnationId = Uuid;
/// Name of a model, as callers write it in a request.
pub type ModelName = String;
/// Position of a record in one stream of the platform's log; the first record has 1.
pub type Offset = u64;
/// Name of a target pool.
pub type PoolName = String;
/// Order of a tier: 0 is the highest and is shed last.
pub type Rank = u8;
/// Id of one request attempt, minted by the entry process that accepted it.
pub type RequestId = Uuid;
/// Name of a target.
pub type TargetName = String;
/// Name of a tier.
pub type TierName = String;
/// Name of an availability zone.
pub type ZoneName = String;
