//! Backlogs and tenants' work in the datagrams between routers.
//!
//! Both are parts that follow the others in a datagram; routers of a release that does not know
//! them leave them unread.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::BackEnds;
use crate::direct::peers::peer_gossip::ShortId;
use crate::direct::work::backlog::{ObservedBacklog, MAX_OBSERVED};
use crate::time::Time;

/// Maximum number of backlogs in one datagram, the newest first: 71 bytes.
const MAX_BACKLOGS_PER_DATAGRAM: usize = 14;

/// Unit of backlogs and ages on the wire.
const UNIT: Duration = Duration::from_millis(20);

/// Time by which a relayed observation has to be newer than the known one: with less, it may be
/// the same one, whose time changes by transit and rounding on the way.
const MIN_NEWER: Duration = Duration::from_millis(40);

/// Backlog of a back end, as routers relay it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogGossip {
    /// The back end.
    pub back_end: ShortId,
    /// Work ahead of a new request, in units of [`UNIT`], at most [`MAX_OBSERVED`].
    backlog: u8,
    /// Time since the observation, in units of [`UNIT`], rounded up so that relaying makes it no
    /// younger.
    age: u8,
}

impl BacklogGossip {
    /// Encodes a backlog that was observed at `observed_at`; `None` if its age exceeds the wire
    /// format (more than 5.1 s).
    pub fn new(back_end: ShortId, backlog: Duration, observed_at: Time, now: Time) -> Option<Self> {
        let age = now.since(observed_at).as_micros();
        let age = age.div_ceil(UNIT.as_micros());
        let backlog = backlog.min(MAX_OBSERVED).as_millis() / UNIT.as_millis();
        Some(BacklogGossip {
            back_end,
            backlog: u8::try_from(backlog).unwrap_or(u8::MAX),
            age: u8::try_from(age).ok()?,
        })
    }

    /// The backlog at the time of the observation.
    pub fn backlog(&self) -> Duration {
        UNIT * u32::from(self.backlog)
    }

    /// When the backlog was observed, if the datagram arrived at `now`; the origin of time if that
    /// is later.
    pub fn observed_at(&self, now: Time) -> Time {
        now - self.age()
    }

    fn age(&self) -> Duration {
        UNIT * u32::from(self.age)
    }
}

/// Latest observed backlogs, newest first, limited to one datagram.
pub fn newest_backlogs(back_ends: &BackEnds, now: Time) -> Vec<BacklogGossip> {
    let mut newest: Vec<BacklogGossip> = back_ends
        .iter()
        .filter_map(|member| {
            let observed = member.work.backlog.observed()?;
            let back_end = ShortId::of(member.id_hash);
            BacklogGossip::new(back_end, observed.time, observed.at, now)
        })
        .collect();
    newest.sort_unstable_by_key(|backlog| (backlog.age, backlog.back_end));
    newest.truncate(MAX_BACKLOGS_PER_DATAGRAM);
    newest
}

/// Merges backlogs that a peer observed or relays. Those from before the origin of time, which is
/// the start of this router, have no time here and are left out.
pub fn merge_backlogs(back_ends: &mut BackEnds, backlogs: &[BacklogGossip], now: Time) {
    if backlogs.is_empty() {
        return;
    }
    let backlogs: HashMap<ShortId, &BacklogGossip> = backlogs
        .iter()
        .filter(|backlog| backlog.age() <= now.since(Time::default()))
        .map(|backlog| (backlog.back_end, backlog))
        .collect();
    for member in back_ends.iter_mut() {
        let Some(told) = backlogs.get(&ShortId::of(member.id_hash)) else {
            continue;
        };
        let at = told.observed_at(now);
        let known = member.work.backlog.observed();
        if known.is_none_or(|known| at > known.at + MIN_NEWER) {
            let time = told.backlog();
            member.work.backlog.observe(ObservedBacklog { time, at });
        }
    }
}

/// Work that the sender's callers of one tenant ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantWorkGossip {
    /// Low bytes of the hash of the tenant's name.
    pub tenant: [u8; 3],
    /// Milliseconds of work asked for per second, at an engine of usual speed.
    pub work_ms_per_second: u16,
}
