//! What back ends announce about themselves in responses to this router.
//!
//! An announcement concerns the instance that made it, and it binds this router only: whoever else
//! sends requests there gets responses of its own. It counts beside the directory: the earlier of
//! the two decides, and neither undoes the other.
//!
//! A leave is final for its instance: an entry that shows another instance of the same id ends it for
//! that one only, and it counts again if the instance is listed once more. An entry that says `ready` does not end it: entries are read late, and the store may
//! perform a write seconds after it was made, so that none can be told to be newer than a
//! response.

use std::collections::VecDeque;
use std::time::Duration;

use crate::direct::back_ends::directory::InstanceId;
use crate::time::Time;

/// Interval between trials after a pause.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the first trial after which a back end counts as taking requests although it has
/// responded to none: it turns requests away at once, while a response may take seconds.
const TRIAL_TIME: Duration = Duration::from_millis(500);

/// Maximum delay of the return after a pause, as a share of the pause.
const MAX_RETURN_DELAY_SHARE: f64 = 0.25;

/// Minimum time by which a pause has to become longer to count as a change: dozens of requests that
/// are in flight when a back end asks for a pause are turned away within milliseconds.
const MIN_REPORTED_EXTENSION: Duration = Duration::from_millis(100);

/// Maximum number of instances without a directory entry whose announcements are kept.
const MAX_UNLISTED_INSTANCES: usize = 1024;

/// Statement of a back end about itself in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It leaves and accepts no new requests, as long as this instance lives.
    Leaving,
    /// It wants no requests from this router for this time. That is not a failure: its health and
    /// what it has cached stay as they are.
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

/// Random delay of one router's return after the end of a pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnDelay {
    /// Time over which the routers of the fleet spread their returns, if the pause is long enough.
    pub spread: Duration,
    /// Position of this router within that time, uniform from 0 to 1.
    pub draw: f64,
}

impl ReturnDelay {
    fn after(self, pause: Duration) -> Duration {
        let longest = pause.mul_f64(MAX_RETURN_DELAY_SHARE);
        self.spread.min(longest).mul_f64(self.draw)
    }
}

/// Announcements of one instance that are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    leaving: bool,
    pause: Option<Pause>,
}

/// A pause that a back end asked for, and the first requests after it.
///
/// A back end that turned many routers away would get all their requests back at the same moment.
/// So each router returns a little after the end, and sends single trials until the back end has
/// responded to one, or has not turned one away for [`TRIAL_TIME`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pause {
    /// End that the back end asked for.
    asked_until: Time,
    /// From when on this router sends again.
    until: Time,
    /// When the next trial may be sent.
    next_trial: Time,
    /// End of the trials, once the first one was sent.
    trials_until: Option<Time>,
}

impl Announcements {
    /// Adds an announcement. Returns whether it changes what is known, other than by a slightly
    /// later end of a pause. Of several pauses the one that ends last counts.
    pub fn add(
        &mut self,
        announcement: Announcement,
        return_delay: ReturnDelay,
        now: Time,
    ) -> bool {
        match announcement {
            Announcement::Leaving => !std::mem::replace(&mut self.leaving, true),
            Announcement::Pause(duration) => self.add_pause(duration, return_delay, now),
        }
    }

    fn add_pause(&mut self, duration: Duration, return_delay: ReturnDelay, now: Time) -> bool {
        let asked_until = now + duration;
        let before = self.pause.map_or(now, |pause| pause.asked_until.max(now));
        if asked_until <= before {
            return false;
        }
        let until = asked_until + return_delay.after(duration);
        self.pause = Some(Pause {
            asked_until,
            until,
            next_trial: until,
            trials_until: None,
        });
        asked_until.since(before) >= MIN_REPORTED_EXTENSION
    }

    /// A request is sent to the instance.
    pub(crate) fn on_send(&mut self, now: Time) {
        if let Some(pause) = self.pause.as_mut().filter(|pause| now >= pause.until) {
            let trials_until = *pause.trials_until.get_or_insert(now + TRIAL_TIME);
            pause.next_trial = (now + TRIAL_INTERVAL).min(trials_until);
        }
    }

    /// The instance responded, without asking for a pause, to a request that was sent at `sent_at`.
    /// After a pause this ends the trials.
    pub(crate) fn on_response(&mut self, sent_at: Time) {
        self.pause = self.pause.filter(|pause| sent_at < pause.until);
    }

    /// Whether the instance announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a pause is in force.
    pub fn is_paused(&self, now: Time) -> bool {
        self.pause.is_some_and(|pause| now < pause.until)
    }

    /// When the instance may get its next request, if that is later than now because of a pause or
    /// of the trials after it.
    pub fn resumes_at(&self, now: Time) -> Option<Time> {
        let next = self.pause.map(|pause| pause.next_trial);
        next.filter(|next| now < *next)
    }

    /// What is in force; a pause counts only if the instance does not leave.
    pub fn in_force(&self, now: Time) -> Option<Announcement> {
        if self.leaving {
            return Some(Announcement::Leaving);
        }
        let pause = self.pause.filter(|pause| now < pause.until)?;
        Some(Announcement::Pause(pause.until.since(now)))
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
