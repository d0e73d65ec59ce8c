//! Which request it is, whoever tries it and however often.
//!
//! Each try has an id of its own; what stays is who asks for what. The digest holds the
//! caller, so that nobody can make a request of its own count as another caller's, and
//! it is cryptographic, so that nobody finds two requests with one digest.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Bytes of a digest: two of 2^32 requests have the same one with a probability of
/// 1 in 2^33, and to meet a given one takes 2^96 tries.
const BYTES: usize = 12;

/// What makes two tries the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Who asks: the tenant's name, or empty where a route asks for no key.
    pub caller: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Digest of a [`RequestIdentity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; BYTES]);

/// A text that is no digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a digest of {BYTES} bytes in hexadecimal")]
pub struct DigestError;

impl RequestDigest {
    /// The digest of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let mut hash = Sha256::new();
        let parts = [
            identity.caller.as_bytes(),
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.target.as_bytes(),
            identity.body,
        ];
        for part in parts {
            // With its length, so that no byte passes from one part to the next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        RequestDigest(bytes)
    }

    /// A number of it, for rendezvous hashing.
    pub fn as_u64(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl Display for RequestDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != 2 * BYTES || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(RequestDigest(bytes))
    }
}
