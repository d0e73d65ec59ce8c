//! How old what a router knows of its sources is, as it tells its peers.
//!
//! A peer that knows the same and says how lately that was all there was spares the others a
//! look of their own: a source with nothing to say and a connection that says nothing look alike
//! to whoever waits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Unit of an age on the wire.
const UNIT: Duration = Duration::from_millis(20);

/// An age, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedAge(u8);

impl EncodedAge {
    /// An age to tell; `None` where it is too great to matter.
    pub fn new(age: Duration) -> Option<Self> {
        let units = age.as_millis().div_ceil(UNIT.as_millis());
        u8::try_from(units).ok().map(EncodedAge)
    }

    /// The age when it was told.
    pub fn age(self) -> Duration {
        UNIT * u32::from(self.0)
    }
}

/// Ages of what the sender of a datagram knows up to the revisions that it tells beside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceAges {
    /// Of the directory.
    pub directory: Option<EncodedAge>,
    /// Of the configuration, drains of zones included.
    pub configuration: Option<EncodedAge>,
}

/// The last answer of a source that somebody got, as the sender of a datagram knows it.
///
/// Its time is that of the source's own clock: it tells answers apart and orders them, however long each
/// was under way. By ages alone what is handed on seems newer with every step, by the time that the
/// step took; 357 routers told each other for 7 s that a directory was 3 s old, and nobody asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceRead {
    /// Revision of the source up to which it told; whoever knows as much goes on from there. 0 for none.
    pub revision: u64,
    /// When it was made, in milliseconds on the clock of the source; 0 for none.
    pub answered_at_ms: u64,
}

/// The last answers of the sources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceReads {
    /// Of the directory.
    pub directory: SourceRead,
    /// Of the configuration, drains of zones included.
    pub configuration: SourceRead,
}
