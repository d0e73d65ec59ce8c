//! Request bodies that are kept for sending and for retries.

use super::pressure_mark;

/// Whether bytes of a body may be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecision {
    /// They are kept and counted.
    Kept,
    /// Not yet: the caller is not read meanwhile.
    Wait,
    /// They exceed the whole share.
    TooLarge,
}

/// Bytes of request bodies that are kept.
#[derive(Clone, Debug)]
pub struct KeptBodies {
    share: usize,
    kept: usize,
}

impl KeptBodies {
    /// Nothing kept yet, within a share of this many bytes.
    pub fn new(share: usize) -> Self {
        KeptBodies { share, kept: 0 }
    }

    /// Decides on further bytes of a body of which `body_kept` bytes are kept already. From the
    /// pressure mark on, bodies that have begun take precedence over new ones.
    pub fn reserve(&mut self, bytes: usize, body_kept: usize) -> BodyDecision {
        if !self.can_fit(body_kept.saturating_add(bytes)) {
            return BodyDecision::TooLarge;
        }
        let limit = if body_kept > 0 {
            self.share
        } else {
            pressure_mark(self.share)
        };
        // A body on its own is read however large it is within the share.
        if self.kept > 0 && self.kept + bytes > limit {
            return BodyDecision::Wait;
        }
        self.kept += bytes;
        BodyDecision::Kept
    }

    /// Whether a body of this many bytes can be kept at all.
    pub fn can_fit(&self, bytes: usize) -> bool {
        bytes <= self.share
    }

    /// Releases bytes that were kept.
    pub fn release(&mut self, bytes: usize) {
        self.kept = self.kept.saturating_sub(bytes);
    }

    /// Bytes that are kept.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Whether bodies that are unlikely to be needed again should be released.
    pub fn should_release_early(&self) -> bool {
        self.kept > self.share / 4
    }
}
