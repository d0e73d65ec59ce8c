//! What back ends announce about themselves in responses to this router.
//!
//! An announcement concerns the instance that made it, and it binds this router only: whoever else
//! sends requests there gets responses of its own. It counts beside the directory: the earlier of
//! the two decides, and neither undoes the other.
//!
//! A leave is final for its instance and ends with it, when an entry shows a later instance of the
//! same id. An entry that says `ready` does not end it: entries are read late, and the store may
//! perform a write seconds after it was made, so that none can be told to be newer than a
//! response.

use std::collections::VecDeque;
use std::time::Duration;

use crate::direct::back_ends::directory::InstanceId;
use crate::time::Time;

/// Maximum number of instances without a directory entry whose announcements are kept.
const MAX_UNLISTED_INSTANCES: usize = 1024;

/// Statement of a back end about itself in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It leaves and accepts no new requests, as long as this instance lives.
    Leaving,
    /// It wants no requests from this router for this time.
    Pause(Duration),
}

impl Announcement {
    /// Fixed word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Announcement::Leaving => "leaving",
            Announcement::Pause(_) => "pause",
        }
    }
}

/// Announcements of one instance that are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    leaving: bool,
    paused_until: Option<Time>,
}

impl Announcements {
    /// Adds an announcement. Returns whether it changes what is known. Of several pauses the one
    /// that ends last counts.
    pub fn add(&mut self, announcement: Announcement, now: Time) -> bool {
        let before = *self;
        match announcement {
            Announcement::Leaving => self.leaving = true,
            Announcement::Pause(duration) => {
                self.paused_until = self.paused_until.max(Some(now + duration));
            }
        }
        *self != before
    }

    /// Whether the instance announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a pause is in force.
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// What is in force; a pause counts only if the instance does not leave.
    pub fn in_force(&self, now: Time) -> Option<Announcement> {
        if self.leaving {
            return Some(Announcement::Leaving);
        }
        let left = self.paused_until?.since(now);
        (!left.is_zero()).then_some(Announcement::Pause(left))
    }
}

/// Announcements of instances that the directory does not list. An entry that expired during an
/// outage of the store may come back, for the same instance.
#[derive(Clone, Debug, Default)]
pub struct UnlistedAnnouncements(VecDeque<UnlistedInstance>);

#[derive(Clone, Debug)]
struct UnlistedInstance {
    back_end: String,
    instance: InstanceId,
    announcements: Announcements,
}

impl UnlistedAnnouncements {
    /// Announcements of an instance, to which others may be added. The oldest instance is dropped
    /// if there are too many.
    pub fn entry(&mut self, back_end: &str, instance: InstanceId) -> &mut Announcements {
        let known = self.position(back_end, instance);
        let index = known.unwrap_or_else(|| {
            if self.0.len() >= MAX_UNLISTED_INSTANCES {
                self.0.pop_front();
            }
            self.0.push_back(UnlistedInstance {
                back_end: back_end.to_owned(),
                instance,
                announcements: Announcements::default(),
            });
            self.0.len() - 1
        });
        &mut self.0[index].announcements
    }

    /// Removes and returns the announcements of an instance that the directory lists again.
    pub fn take(&mut self, back_end: &str, instance: InstanceId) -> Option<Announcements> {
        let index = self.position(back_end, instance)?;
        self.0.remove(index).map(|unlisted| unlisted.announcements)
    }

    fn position(&self, back_end: &str, instance: InstanceId) -> Option<usize> {
        self.0
            .iter()
            .position(|unlisted| unlisted.instance == instance && unlisted.back_end == back_end)
    }
}
