//! Credentials of callers. Secrets are stored and compared only as hashes.

use displaydoc::Display;
use thiserror::Error;

/// Lower-case hex of the BLAKE3 hash of a secret; 64 characters.
pub type KeyHash = String;

/// Error of an `Authorization` header without a secret.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// no Authorization header was sent
    Missing,
    /// the Authorization header isn't `Bearer <key>`
    Malformed,
}

/// Hashes a secret for storage or comparison.
pub fn hash(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}

/// Extracts the secret from an `Authorization: Bearer <key>` header and hashes it.
pub fn bearer(header: Option<&str>) -> Result<KeyHash, Error> {
    let header = header.ok_or(Error::Missing)?;
    let (scheme, secret) = header.split_once(' ').ok_or(Error::Malformed)?;
    if !scheme.eq_ignore_ascii_case("bearer") || secret.trim().is_empty() {
        return Err(Error::Malformed);
    }
    Ok(hash(secret.trim()))
}
