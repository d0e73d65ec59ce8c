//! Age of a router's knowledge of its sources, as it gossips it to its peers.
//!
//! A peer that knows the same revision and reports how recently that was the newest one saves the
//! other routers a poll of their own: a router that only waits cannot tell a source without changes
//! from a connection that delivers nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Unit of an age on the wire.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// An age as it is sent in a datagram, rounded up to a multiple of 20 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedAge(u8);

impl EncodedAge {
    /// Encodes an age; `None` if it exceeds the wire format (more than 5.1 s) and is too great to
    /// matter.
    pub fn new(age: Duration) -> Option<Self> {
        let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
        u8::try_from(units).ok().map(EncodedAge)
    }

    /// Age as of the sending of the datagram.
    pub fn age(self) -> Duration {
        AGE_UNIT * u32::from(self.0)
    }
}

/// Ages of the sender's knowledge of its sources, up to the revisions in the same datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceAges {
    /// Age of the directory; `None` if it is too old or unknown.
    pub directory: Option<EncodedAge>,
    /// Age of the configuration, including zone drains; `None` if it is too old or unknown.
    pub configuration: Option<EncodedAge>,
}

/// The latest answer of a source to any router, as far as the sender of a datagram knows.
///
/// Its time is on the clock of the source, which identifies and orders answers however long each
/// was in flight. With ages alone, relayed knowledge appears newer with every hop, by the time that
/// the hop took: 357 routers reported to each other for 7 s that a directory was 3 s old, and none
/// of them polled the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceRead {
    /// Revision of the source that the answer reaches up to; 0 for none. A router with the same
    /// knowledge continues reading from there.
    pub revision: u64,
    /// Time of the answer in milliseconds on the clock of the source; 0 for none.
    pub answered_at_ms: u64,
}

/// The latest answers of the sources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceReads {
    /// Latest answer of the directory.
    pub directory: SourceRead,
    /// Latest answer for the configuration, including zone drains.
    pub configuration: SourceRead,
}
