//! All back ends that a router knows, and what changed among them of late.
//!
//! - [`directory`]: the entries of the directory.
//! - [`back_end`]: what the router believes of one back end.
//! - [`compact_delta`]: a short form of directory news, for the wire.
//! - [`load`]: requests in flight at a back end.
//! - [`slow_start`]: what the fleet sends a back end that is cold.
//! - [`health`]: outlier-detection state of a back end against its pool.
//! - [`outlier_detector`]: whether a back end fails more often than its pool.
//! - [`work_time`]: how long work takes at a back end, beside what is usual.
//! - [`zone_drain`]: zones whose back ends get no requests.

pub mod back_end;
pub mod compact_delta;
pub mod directory;
pub mod health;
pub mod load;
pub mod outlier_detector;
pub mod slow_start;
pub mod work_time;
pub mod zone_drain;

use std::collections::{HashMap, HashSet, VecDeque};

use crate::direct::back_ends::back_end::BackEnd;
use crate::direct::back_ends::directory::{
    BackEndEntry, DirectoryChange, DirectoryDelta, RemovedEntry, VanishedInstance,
};
use crate::direct::back_ends::health::{Health, PoolMedians};
use crate::direct::back_ends::outlier_detector::Retryability;
use crate::direct::back_ends::slow_start::{KnownFleet, SlowStart};
use crate::direct::peers::peer_gossip::{LoadGossip, ShortId, MAX_REPORTED_LOADS_PER_DATAGRAM};
use crate::time::Time;

/// Departures that are remembered, to tell peers what changed.
const MAXIMUM_DEPARTURES: usize = 1024;

/// All back ends that a router knows.
#[derive(Clone, Debug, Default)]
pub struct BackEnds {
    members: HashMap<String, BackEnd>,
    /// Departures after [`BackEnds::known_from`], the oldest first.
    departures: VecDeque<RemovedEntry>,
    /// Revision from which on every departure is remembered; `None` while no
    /// whole directory was taken.
    known_from: Option<u64>,
}

impl BackEnds {
    /// Takes one entry of the directory, unless something newer is known of it.
    pub fn upsert(&mut self, entry: BackEndEntry, now: Time, change: &mut DirectoryChange) {
        match self.members.get_mut(&entry.id) {
            Some(known) if known.entry.revision > entry.revision => {}
            Some(known) if entry.born != 0 && known.entry.is_newer_instance_than(&entry) => {}
            Some(known) if entry.is_newer_instance_than(&known.entry) => {
                // Nothing that was believed of the life before holds for this one.
                change.restarted.push(entry.id.clone());
                change.vanished.extend(VanishedInstance::of(&known.entry));
                *known = BackEnd::new(entry, now);
            }
            Some(known) => {
                if entry.leaving && !known.entry.leaving {
                    change.leaving.push(entry.id.clone());
                }
                known.take_entry(entry, now);
            }
            None => self.join(entry, now, change),
        }
    }

    fn join(&mut self, entry: BackEndEntry, now: Time, change: &mut DirectoryChange) {
        if self.left_after(&entry) {
            return;
        }
        change.joined.push(entry.id.clone());
        self.members
            .insert(entry.id.clone(), BackEnd::new(entry, now));
    }

    fn left_after(&self, entry: &BackEndEntry) -> bool {
        self.departures
            .iter()
            .any(|departure| departure.id == entry.id && departure.revision >= entry.revision)
    }

    /// The directory no longer lists a back end, unless something newer is known
    /// of it.
    pub fn remove(&mut self, departure: RemovedEntry, change: &mut DirectoryChange) {
        let known = self.members.get(&departure.id);
        if known.is_none_or(|known| known.entry.revision > departure.revision) {
            return;
        }
        if let Some(known) = self.members.remove(&departure.id) {
            change.vanished.extend(VanishedInstance::of(&known.entry));
        }
        change.gone.push(departure.id.clone());
        self.departures.push_back(departure);
        if self.departures.len() > MAXIMUM_DEPARTURES {
            let oldest = self.departures.pop_front();
            let forgotten = oldest.map(|departure| departure.revision);
            self.known_from = self.known_from.max(forgotten);
        }
    }

    /// Members that a whole directory as of a revision does not list.
    pub fn missing_from(&self, listed: &[BackEndEntry], revision: u64) -> Vec<RemovedEntry> {
        let listed: HashSet<&str> = listed.iter().map(|entry| entry.id.as_str()).collect();
        self.members
            .keys()
            .filter(|id| !listed.contains(id.as_str()))
            .map(|id| RemovedEntry {
                id: id.clone(),
                revision,
            })
            .collect()
    }

    /// A whole directory as of a revision was taken.
    pub fn on_snapshot(&mut self, revision: u64) {
        self.known_from.get_or_insert(revision);
    }

    /// What changed after a revision, as of `revision`; everything if not every
    /// departure since then is remembered.
    pub fn changes_after(&self, after: u64, revision: u64, now: Time) -> DirectoryDelta {
        let whole = self.known_from.is_none_or(|known_from| after < known_from);
        let changed = |at: u64| whole || at > after;
        DirectoryDelta {
            revision,
            whole,
            present: self
                .members
                .values()
                .filter(|member| changed(member.entry.revision))
                .map(|member| member.entry_at(now))
                .collect(),
            gone: self
                .departures
                .iter()
                .filter(|departure| changed(departure.revision))
                .cloned()
                .collect(),
        }
    }

    /// A back end.
    pub fn get(&self, id: &str) -> Option<&BackEnd> {
        self.members.get(id)
    }

    /// A back end, to change what is believed of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut BackEnd> {
        self.members.get_mut(id)
    }

    /// The back end that a short id stands for.
    pub fn resolve_short_id(&self, short: ShortId) -> Option<&str> {
        self.members
            .values()
            .find(|member| ShortId::of(member.id_hash) == short)
            .map(|member| member.entry.id.as_str())
    }

    /// All back ends.
    pub fn iter(&self) -> impl Iterator<Item = &BackEnd> {
        self.members.values()
    }

    /// All back ends, to change what is believed of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackEnd> {
        self.members.values_mut()
    }

    /// Number of back ends that take new work.
    pub fn count_accepting_work(&self) -> usize {
        self.members
            .values()
            .filter(|member| !member.entry.leaving)
            .count()
    }

    /// Sets what this router may send to members that are cold. Returns the ids of those
    /// that are cold no longer.
    pub fn update_slow_start(
        &mut self,
        slow_starts: &[SlowStart],
        fleet: &KnownFleet<'_>,
        now: Time,
    ) -> Vec<String> {
        let mut warm = Vec::new();
        let gated = self
            .members
            .values_mut()
            .filter(|member| member.is_rate_limited());
        for member in gated {
            let rate = SlowStart::for_labels(slow_starts, &member.entry.labels)
                .map(|slow_start| slow_start.router_rate(fleet, member.id_hash));
            if member.update_slow_start(rate, now) {
                warm.push(member.entry.id.clone());
            }
        }
        warm
    }

    /// A zone's drain has ended: its members may have turned cold meanwhile, and their
    /// entries say so later than the drain ends. Returns the number of those that are
    /// taken to be cold.
    pub fn assume_cold(&mut self, zone: &str, slow_starts: &[SlowStart], now: Time) -> usize {
        let mut count = 0;
        for member in self.members.values_mut() {
            if member.entry.zone() != Some(zone) {
                continue;
            }
            if let Some(slow_start) = SlowStart::for_labels(slow_starts, &member.entry.labels) {
                member.assume_cold(now + slow_start.duration, now);
                count += 1;
            }
        }
        count
    }

    /// Members that take new work and meet the test, each with its standing for
    /// a request.
    pub fn pool(
        &mut self,
        now: Time,
        request: Retryability,
        meets: impl Fn(&BackEndEntry) -> bool,
    ) -> Vec<(&BackEnd, Health)> {
        let members = self
            .members
            .values_mut()
            .filter(|member| !member.entry.leaving && meets(&member.entry))
            .collect();
        standings(members, now, request)
    }

    /// Loads that members told of late, the newest first.
    pub fn reported_loads(&self, now: Time) -> Vec<LoadGossip> {
        let mut told: Vec<LoadGossip> = self
            .members
            .values()
            .filter_map(|member| {
                let load = member.load.reported(now)?;
                LoadGossip::new(ShortId::of(member.id_hash), load.requests, load.at, now)
            })
            .collect();
        told.sort_unstable_by_key(|news| (news.age(), news.back_end));
        told.truncate(MAX_REPORTED_LOADS_PER_DATAGRAM);
        told
    }

    /// What this router has in flight at members, the largest first; without `all`
    /// only at those that told no load of late.
    pub fn own_loads(&self, all: bool, now: Time) -> Vec<(ShortId, u16)> {
        let mut loads: Vec<(ShortId, u16)> = self
            .members
            .values()
            .filter(|member| member.load.in_flight > 0)
            .filter(|member| all || member.load.reported(now).is_none())
            .map(|member| {
                let load = u16::try_from(member.load.in_flight).unwrap_or(u16::MAX);
                (ShortId::of(member.id_hash), load)
            })
            .collect();
        loads.sort_unstable_by_key(|(back_end, load)| (std::cmp::Reverse(*load), *back_end));
        loads
    }

    /// Takes loads that back ends told another router.
    pub fn merge_reported_loads(&mut self, news: &[LoadGossip], now: Time) {
        if news.is_empty() {
            return;
        }
        let news: HashMap<ShortId, &LoadGossip> =
            news.iter().map(|load| (load.back_end, load)).collect();
        for member in self.members.values_mut() {
            if let Some(load) = news.get(&ShortId::of(member.id_hash)) {
                member
                    .load
                    .on_report(u32::from(load.requests), load.reported_at(now));
            }
        }
    }

    /// The machine was suspended until now: that nothing came meanwhile says nothing of members.
    pub fn on_suspended(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.restart_silence(now);
        }
    }

    /// Short ids of members that this router suspects, at most `most`. Silence is
    /// not told: where many requests wait it comes and goes, and a fleet that
    /// passes by a back end all at once overloads the next ones.
    pub fn suspects(&self, most: usize) -> Vec<ShortId> {
        self.members
            .values()
            .filter(|member| member.is_suspect())
            .map(|member| ShortId::of(member.id_hash))
            .take(most)
            .collect()
    }
}

/// The members of a pool, each with its standing for a request.
fn standings(
    mut members: Vec<&mut BackEnd>,
    now: Time,
    request: Retryability,
) -> Vec<(&BackEnd, Health)> {
    let means = PoolMedians::of(members.iter().map(|member| member.record(now)));
    for member in &mut members {
        member.usual_failure_share = means.failure_share;
    }
    members
        .into_iter()
        .map(|member| {
            let standing = member.standing(now, &means, request);
            (&*member, standing)
        })
        .collect()
}
