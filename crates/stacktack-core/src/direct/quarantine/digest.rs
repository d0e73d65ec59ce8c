//! Digests of what may crash a back end: a request across all its tries, or a part of a prompt.
//!
//! Each try of a request has an id of its own, while the caller and the content stay the same. The
//! digest covers the caller, so that a caller's requests cannot count as those of another one. It
//! is cryptographic, so that no two requests, and no request and part, with the same digest can be
//! found.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a digest in bytes. Two of 2^32 requests share a digest with a probability of 1 in
/// 2^33, and matching a given digest takes 2^96 tries.
const DIGEST_BYTES: usize = 12;

/// Caller and content of a request; tries for which these are equal are the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Name of the tenant; empty if the route requires no key.
    pub caller: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is for.
    pub host: &'a str,
    /// Path and query of the URI.
    pub target: &'a str,
    /// Whole body of the request.
    pub body: &'a [u8],
}

/// Distinguishes the digests of prompt parts from those of requests.
const PART_DOMAIN: &[u8] = b"prompt part";

/// Digest of a [`RequestIdentity`] or of a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SuspectDigest([u8; DIGEST_BYTES]);

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a digest of {DIGEST_BYTES} bytes in hexadecimal")]
pub struct DigestError;

impl SuspectDigest {
    /// The digest of a request.
    pub fn of_request(identity: &RequestIdentity<'_>) -> Self {
        SuspectDigest::of_fields(&[
            identity.caller.as_bytes(),
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.target.as_bytes(),
            identity.body,
        ])
    }

    /// The digest of a prompt part at the back ends of a pool.
    pub fn of_part(pool: &str, part_id: u64) -> Self {
        SuspectDigest::of_fields(&[PART_DOMAIN, pool.as_bytes(), &part_id.to_le_bytes()])
    }

    fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            // The length separates the fields: bytes cannot move from one to the next.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let whole = hash.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&whole[..DIGEST_BYTES]);
        SuspectDigest(bytes)
    }

    /// First eight bytes as a number, for rendezvous hashing.
    pub fn as_u64(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl Display for SuspectDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for SuspectDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(SuspectDigest(bytes))
    }
}
