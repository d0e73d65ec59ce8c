//! Identifiers shared by every process.
//!
//! Configured names are hashed to fixed-size identifiers so that a gossip entry
//! takes a few bytes; configuration validation rejects documents in which the
//! identifiers of two names collide.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifier of one request of a caller, generated at random by the router
/// that received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// The text is not a request identifier of 32 hexadecimal digits, or not an
/// attempt identifier that begins with one.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidRequestId;

impl FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 {
            return Err(InvalidRequestId);
        }
        u128::from_str_radix(text, 16)
            .map(RequestId)
            .map_err(|_| InvalidRequestId)
    }
}

/// Identifier of one attempt to run a request on one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that the attempt runs.
    pub request: RequestId,
    /// Rises by one with each attempt of the request, from 1.
    pub number: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (request, number) = text.split_once('-').ok_or(InvalidRequestId)?;
        Ok(AttemptId {
            request: request.parse()?,
            number: number.parse().map_err(|_| InvalidRequestId)?,
        })
    }
}

macro_rules! hashed_name {
    ($(#[$doc:meta])* $name:ident, $width:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub $width);

        impl $name {
            /// Hashes a configured name to its identifier.
            pub fn of(name: &str) -> Self {
                $name(xxh3_64(name.as_bytes()) as $width)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:x}", self.0)
            }
        }
    };
}

hashed_name!(
    /// Identifier of a router, or of an agent and its back end, by the configured name.
    NodeId,
    u32
);
hashed_name!(
    /// Identifier of a tenant, by its configured name.
    TenantId,
    u32
);
hashed_name!(
    /// Identifier of a chat with possible further requests, by its tenant and
    /// the caller's chat id.
    ChatId,
    u64
);

/// One run of a process, numbered by the wall clock at its start; a larger
/// number is a later run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Number of an accepted configuration; 0 is the empty configuration before the
/// first accepted one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigurationVersion(pub u64);

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
