//! What speaks against one request, in a form that routers can merge.
//!
//! Deaths are a set of lives and no number, so that one death that two routers saw counts
//! once, whatever is told how often and in whichever order. What speaks for a request, a run
//! that ended well, begins a new epoch with an empty set: a newer epoch replaces an older one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::directory::InstanceId;
use crate::direct::quarantine::digest::RequestDigest;
use crate::time::Time;

/// Deaths from which a request is a suspect. One death says little: an end breaks all that its
/// back end was running, 40 to 60 requests in the case that was measured.
const SUSPECT_DEATHS: usize = 2;

/// Deaths from which a request may be set aside: three ends are what the promise allows.
const VERDICT_DEATHS: usize = 3;

/// Deaths on probation that it takes besides, each under another life. A repeat of an innocent
/// request meets the next end too; that it meets two more at the back ends which its probation
/// goes to, chosen before, is left for those that cause them (`tests/quarantine.rs`).
const VERDICT_PROBATION_DEATHS: usize = 2;

/// Time after which a record is forgotten that nobody asked for: a request that comes less often than
/// each hour ends a back end each time, a suspect that comes less often than each day.
const KEEP_WATCHED: Duration = Duration::from_secs(3600);
const KEEP_SUSPECT: Duration = Duration::from_secs(24 * 3600);

/// Lives that are remembered for one request: more add nothing.
const MOST_LIVES: usize = 6;

/// How a request is to be treated, by what speaks against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Treatment {
    /// As any other.
    Usual,
    /// As on probation where that is possible, else as any other.
    Watched,
    /// It runs on probation: at one of few back ends that its digest names, beside no other suspect
    /// and once for each try of its caller.
    Probation,
    /// It is not sent to any back end.
    SetAside,
}

impl Treatment {
    /// Fixed word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Treatment::Usual => "usual",
            Treatment::Watched => "watched",
            Treatment::Probation => "probation",
            Treatment::SetAside => "set_aside",
        }
    }
}

/// A record as routers tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordGossip {
    /// Which request.
    pub digest: RequestDigest,
    /// Times that it was cleared.
    pub epoch: u32,
    /// Lives that ended under it since; none once it is set aside.
    pub crashes: Vec<InstanceId>,
    /// Those of them that ended while it was on probation.
    pub probation_crashes: Vec<InstanceId>,
    /// Whether it is set aside.
    pub set_aside: bool,
    /// Whether the store holds that.
    pub stored: bool,
}

/// What speaks against one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub epoch: u32,
    crashes: Vec<InstanceId>,
    probation_crashes: Vec<InstanceId>,
    set_aside: bool,
    /// Whether it was a suspect or set aside before its epoch began: others have to hear of that.
    was_suspect: bool,
    /// Since when the store is known to hold that it is set aside.
    pub stored_since: Option<Time>,
    /// When it is to be written there, if nobody else did.
    pub store_due: Option<Time>,
    /// When it last changed.
    pub changed: Time,
    /// When it last mattered: changed, or was asked for.
    pub used: Time,
}

impl Record {
    pub fn treatment(&self) -> Treatment {
        if self.set_aside {
            Treatment::SetAside
        } else if self.crashes.len() >= SUSPECT_DEATHS {
            Treatment::Probation
        } else if self.crashes.is_empty() {
            Treatment::Usual
        } else {
            Treatment::Watched
        }
    }

    /// Whether peers should hear of it before others: it is a suspect or set aside, or was and is
    /// cleared.
    pub fn is_grave(&self) -> bool {
        self.was_suspect || self.treatment() > Treatment::Watched
    }

    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    pub fn probation_crashes(&self) -> usize {
        self.probation_crashes.len()
    }

    /// Whether something speaks against it.
    pub fn is_marked(&self) -> bool {
        self.set_aside || !self.crashes.is_empty()
    }

    /// A life ended under it.
    pub fn add_crash(&mut self, life: InstanceId, on_probation: bool, now: Time) {
        let mut news = insert(&mut self.crashes, life);
        if on_probation {
            news |= insert(&mut self.probation_crashes, life);
        }
        if news {
            self.changed = now;
            self.used = now;
            self.judge();
        }
    }

    /// Whether it is set aside now.
    fn judge(&mut self) {
        let enough = self.crashes.len() >= VERDICT_DEATHS
            && self.probation_crashes.len() >= VERDICT_PROBATION_DEATHS;
        self.set_aside |= enough;
    }

    /// It is set aside, whatever is known of crashes.
    pub fn set_aside(&mut self, now: Time) {
        if !self.set_aside {
            self.set_aside = true;
            self.changed = now;
            self.used = now;
        }
    }

    /// Something speaks for it: what spoke against it counts no more.
    pub fn clear(&mut self, now: Time) {
        *self = Record {
            epoch: self.epoch + 1,
            was_suspect: self.is_grave(),
            changed: now,
            used: now,
            ..Record::default()
        };
    }

    /// Takes what another router knows.
    pub fn merge(&mut self, news: &RecordGossip, now: Time) {
        if news.epoch < self.epoch {
            return;
        }
        let mut changed = news.epoch > self.epoch;
        if changed {
            *self = Record {
                epoch: news.epoch,
                was_suspect: self.is_grave(),
                ..Record::default()
            };
        }
        for life in news.crashes.iter().take(MOST_LIVES) {
            changed |= insert(&mut self.crashes, *life);
        }
        for life in news.probation_crashes.iter().take(MOST_LIVES) {
            changed |= insert(&mut self.probation_crashes, *life);
        }
        changed |= news.set_aside && !self.set_aside;
        self.set_aside |= news.set_aside;
        self.judge();
        if news.stored && self.stored_since.is_none() {
            self.stored_since = Some(now);
            self.store_due = None;
        }
        if changed {
            self.changed = now;
            self.used = now;
        }
    }

    pub fn gossip(&self, digest: RequestDigest) -> RecordGossip {
        let lives = |lives: &[InstanceId]| match self.set_aside {
            true => Vec::new(),
            false => lives.to_vec(),
        };
        RecordGossip {
            digest,
            epoch: self.epoch,
            crashes: lives(&self.crashes),
            probation_crashes: lives(&self.probation_crashes),
            set_aside: self.set_aside,
            stored: self.stored_since.is_some(),
        }
    }

    /// Whether it is too old to count. A verdict never is.
    pub fn is_over(&self, now: Time) -> bool {
        let keep = match self.treatment() {
            Treatment::SetAside => return false,
            Treatment::Probation => KEEP_SUSPECT,
            Treatment::Usual | Treatment::Watched => KEEP_WATCHED,
        };
        now.since(self.used) >= keep
    }
}

fn insert(lives: &mut Vec<InstanceId>, life: InstanceId) -> bool {
    if lives.contains(&life) || lives.len() >= MOST_LIVES {
        return false;
    }
    lives.push(life);
    true
}
