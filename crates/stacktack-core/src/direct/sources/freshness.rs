//! How new what is known of a source is.

use std::time::Duration;

use crate::time::Time;

/// Until when what is known of a source was all that it held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    as_of: Option<Time>,
}

impl Freshness {
    /// At a time the source held nothing that is not known.
    pub fn note(&mut self, as_of: Time) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Time since then; `None` while nothing is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
