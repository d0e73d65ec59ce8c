//! All back ends that a router knows, and the entries recently removed from their directory.
//!
//! - [`announcement`]: what back ends announce about themselves in responses.
//! - [`directory`]: entries, deltas and changes of the directory.
//! - [`back_end`]: the state that the router keeps for one back end.
//! - [`compact_delta`]: compact wire encoding of a directory delta.
//! - [`load`]: estimate of the requests in flight at a back end.
//! - [`peer_counts`]: requests of other routers at a back end, by their own counts.
//! - [`slow_start`]: rate limit for the requests that the fleet sends to a cold back end.
//! - [`health`]: outlier-detection state of a back end against its pool.
//! - [`outlier_detector`]: sequential test whether a back end fails more often than its pool.
//! - [`survival`]: how long requests that are in flight stay in flight.
//! - [`traffic_share`]: this router's share of the requests to a pool.
//! - [`work_time`]: current duration of work at a back end, relative to its usual duration.
//! - [`zone_drain`]: zones whose back ends get no requests.
//! - [`zone_share`]: share of a pool's requests that the routers of one zone send.

pub mod announcement;
pub mod back_end;
pub mod compact_delta;
pub mod directory;
pub mod health;
pub mod load;
pub mod outlier_detector;
pub mod peer_counts;
pub mod slow_start;
pub mod survival;
pub mod traffic_share;
pub mod work_time;
pub mod zone_drain;
pub mod zone_share;

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet, VecDeque};

use crate::direct::back_ends::announcement::{
    Announcement, Announcements, ReturnDelay, UnlistedAnnouncements,
};
use crate::direct::back_ends::back_end::BackEnd;
use crate::direct::back_ends::directory::{
    BackEndEntry, DirectoryChange, DirectoryDelta, IgnoreCause, InstanceId, RemovedEntry,
};
use crate::direct::back_ends::health::{Health, PoolMedians};
use crate::direct::back_ends::outlier_detector::TrialTerms;
use crate::direct::back_ends::slow_start::{KnownFleet, SlowStart};
use crate::direct::peers::peer_gossip::{
    LoadGossip, RecoveryGossip, ShortId, MAX_REPORTED_LOADS_PER_DATAGRAM,
};
use crate::time::Time;

/// Maximum number of removed entries that are kept, to answer peers that ask for the changes since
/// a revision and to keep stale entries from joining again.
const MAX_REMEMBERED_REMOVALS: usize = 1024;

/// All back ends that a router knows.
#[derive(Clone, Debug, Default)]
pub struct BackEnds {
    members: HashMap<String, BackEnd>,
    /// Latest removed entries, in the order in which this router removed them.
    removals: VecDeque<RemovedEntry>,
    /// Revision after which every removal is remembered; `None` until the first snapshot of the
    /// directory, or until more than [`MAX_REMEMBERED_REMOVALS`] entries were removed.
    removals_known_after: Option<u64>,
    /// Announcements of instances that have no entry at the moment.
    unlisted: UnlistedAnnouncements,
}

impl BackEnds {
    /// Inserts or updates one directory entry. The revision alone orders the entries of an id: an
    /// entry is ignored if a newer one is known, or if a remembered removal has the same or a newer
    /// revision. A newer entry with another start time describes another instance.
    pub fn upsert(&mut self, entry: BackEndEntry, now: Time, change: &mut DirectoryChange) {
        let Some(known) = self.members.get_mut(&entry.id) else {
            self.insert_unless_removed(entry, now, change);
            return;
        };
        let is_same_instance = known.entry.is_same_instance_as(&entry);
        match known.entry.revision.cmp(&entry.revision) {
            Ordering::Greater => change.ignore(&entry, IgnoreCause::NotNewer),
            Ordering::Equal if !is_same_instance => change.ignore(&entry, IgnoreCause::NotNewer),
            _ if is_same_instance => {
                if entry.leaving && !known.is_leaving() {
                    change.leaving.push(entry.id.clone());
                }
                known.update_entry(entry, now);
            }
            _ => self.replace_instance(entry, now, change),
        }
    }

    /// Lists another instance of a known id. The state kept for the previous instance does not apply
    /// to it.
    fn replace_instance(&mut self, entry: BackEndEntry, now: Time, change: &mut DirectoryChange) {
        change.restarted.push(entry.id.clone());
        if let Some(previous) = self.members.remove(&entry.id) {
            self.on_unlisted(previous, change);
        }
        self.insert(entry, now, change);
    }

    fn insert_unless_removed(
        &mut self,
        entry: BackEndEntry,
        now: Time,
        change: &mut DirectoryChange,
    ) {
        if self.has_later_removal(&entry) {
            change.ignore(&entry, IgnoreCause::Removed);
            return;
        }
        change.joined.push(entry.id.clone());
        self.insert(entry, now, change);
    }

    /// Lists an instance, with what it has announced.
    fn insert(&mut self, entry: BackEndEntry, now: Time, change: &mut DirectoryChange) {
        let announcements = self.unlisted.take(&entry.id, InstanceId::of(&entry));
        let mut member = BackEnd::new(entry, now);
        member.announcements = announcements.unwrap_or_default();
        if member.announcements.is_leaving() && !member.entry.leaving {
            change.leaving.push(member.entry.id.clone());
        }
        self.members.insert(member.entry.id.clone(), member);
    }

    /// Whether a remembered removal of the id has the revision of this entry or a newer one.
    fn has_later_removal(&self, entry: &BackEndEntry) -> bool {
        self.removals
            .iter()
            .any(|removed| removed.id == entry.id && removed.revision >= entry.revision)
    }

    /// Removes a back end that the directory no longer lists, unless a newer entry of it is
    /// known.
    pub fn remove(&mut self, removed: RemovedEntry, change: &mut DirectoryChange) {
        let known = self.members.get(&removed.id);
        if known.is_none_or(|known| known.entry.revision > removed.revision) {
            return;
        }
        if let Some(known) = self.members.remove(&removed.id) {
            self.on_unlisted(known, change);
        }
        change.gone.push(removed.id.clone());
        self.removals.push_back(removed);
        if self.removals.len() > MAX_REMEMBERED_REMOVALS {
            let oldest = self.removals.pop_front();
            let forgotten = oldest.map(|removed| removed.revision);
            self.removals_known_after = self.removals_known_after.max(forgotten);
        }
    }

    /// Keeps what an instance announced that is no longer listed: a write that the store performs
    /// late may list it again.
    fn on_unlisted(&mut self, known: BackEnd, change: &mut DirectoryChange) {
        if known.announcements != Announcements::default() {
            let instance = InstanceId::of(&known.entry);
            *self.unlisted.entry(&known.entry.id, instance) = known.announcements;
        }
        change.vanished.extend(known.vanished());
    }

    /// Known back ends that a directory snapshot of `revision` does not list.
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

    /// Records that a directory snapshot of `revision` is being applied. The first
    /// one sets the revision after which every removal is remembered; later ones leave it.
    pub fn on_snapshot(&mut self, revision: u64) {
        self.removals_known_after.get_or_insert(revision);
    }

    /// Changes after revision `after` up to `revision`; a snapshot, with all remembered removals,
    /// if not every removal since `after` is remembered.
    pub fn changes_after(&self, after: u64, revision: u64, now: Time) -> DirectoryDelta {
        let is_snapshot = self
            .removals_known_after
            .is_none_or(|known_after| after < known_after);
        let is_included = |at: u64| is_snapshot || at > after;
        DirectoryDelta {
            revision,
            whole: is_snapshot,
            present: self
                .members
                .values()
                .filter(|member| is_included(member.entry.revision))
                .map(|member| member.entry_at(now))
                .collect(),
            gone: self
                .removals
                .iter()
                .filter(|removed| is_included(removed.revision))
                .cloned()
                .collect(),
        }
    }

    /// Records what an instance of a back end announced in a response, whether or not the directory
    /// lists it. See [`Announcements::add`] for the result.
    pub fn announce(
        &mut self,
        back_end: &str,
        instance: InstanceId,
        announcement: Announcement,
        return_delay: ReturnDelay,
        now: Time,
    ) -> bool {
        let listed = self.members.get_mut(back_end);
        let announcements = match listed.filter(|known| InstanceId::of(&known.entry) == instance) {
            Some(known) => &mut known.announcements,
            None => self.unlisted.entry(back_end, instance),
        };
        announcements.add(announcement, return_delay, now)
    }

    /// Returns the back end with this id.
    pub fn get(&self, id: &str) -> Option<&BackEnd> {
        self.members.get(id)
    }

    /// Returns the back end with this id, for changes to its state.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut BackEnd> {
        self.members.get_mut(id)
    }

    /// Returns the id of the back end that a short id stands for.
    pub fn resolve_short_id(&self, short: ShortId) -> Option<&str> {
        self.members
            .values()
            .find(|member| ShortId::of(member.id_hash) == short)
            .map(|member| member.entry.id.as_str())
    }

    /// Iterates over all back ends.
    pub fn iter(&self) -> impl Iterator<Item = &BackEnd> {
        self.members.values()
    }

    /// Iterates over all back ends, for changes to their state.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackEnd> {
        self.members.values_mut()
    }

    /// Number of back ends that are not leaving, whether or not they are cold, replaced, in a
    /// drained zone or in bad health.
    pub fn count_accepting_work(&self) -> usize {
        self.members
            .values()
            .filter(|member| !member.is_leaving())
            .count()
    }

    /// Sets the rate at which this router may send to each cold back end. Returns the ids of the
    /// back ends that are no longer rate-limited, because their slow start has ended or their pool
    /// has none any more.
    pub fn update_slow_start(
        &mut self,
        slow_starts: &[SlowStart],
        fleet: &KnownFleet<'_>,
        now: Time,
    ) -> Vec<String> {
        let mut warm = Vec::new();
        let limited = self
            .members
            .values_mut()
            .filter(|member| member.is_rate_limited());
        for member in limited {
            let rate = SlowStart::for_labels(slow_starts, &member.entry.labels)
                .map(|slow_start| slow_start.router_rate(fleet, member.id_hash));
            if member.update_slow_start(rate, now) {
                warm.push(member.entry.id.clone());
            }
        }
        warm
    }

    /// Assumes that the back ends of a zone are cold, once the zone's drain has ended. This
    /// affects only back ends of pools with a slow start. A back end may have become cold during
    /// the drain, and its directory entry shows this only after the drain has ended. Returns the
    /// number of back ends that are assumed to be cold.
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

    /// Candidates of one request: the back ends that are not leaving and for which `matches`
    /// holds, each with its health for the request, compared with the other candidates. Stores the
    /// median failure share of the candidates in each of them, for the test of its next outcomes.
    pub fn assess_candidates(
        &mut self,
        now: Time,
        terms: impl Into<TrialTerms>,
        matches: impl Fn(&BackEndEntry) -> bool,
    ) -> Vec<(&BackEnd, Health)> {
        let members = self
            .members
            .values_mut()
            .filter(|member| !member.is_leaving() && matches(&member.entry))
            .collect();
        assess(members, now, terms.into())
    }

    /// Recently reported loads of back ends, newest first, limited to one datagram.
    pub fn reported_loads(&self, now: Time) -> Vec<LoadGossip> {
        let mut reported: Vec<LoadGossip> = self
            .members
            .values()
            .filter_map(|member| {
                let load = member.load.reported(now)?;
                LoadGossip::new(ShortId::of(member.id_hash), load.requests, load.at, now)
            })
            .collect();
        reported.sort_unstable_by_key(|load| (load.age(), load.back_end));
        reported.truncate(MAX_REPORTED_LOADS_PER_DATAGRAM);
        reported
    }

    /// Requests of this router in flight at each back end, largest number first. Back ends that
    /// recently reported their load are listed only if `include_reported` is true.
    pub fn own_loads(&self, include_reported: bool, now: Time) -> Vec<(ShortId, u16)> {
        let mut loads: Vec<(ShortId, u16)> = self
            .members
            .values()
            .filter(|member| member.load.in_flight > 0)
            .filter(|member| include_reported || member.load.reported(now).is_none())
            .map(|member| {
                let load = u16::try_from(member.load.in_flight).unwrap_or(u16::MAX);
                (ShortId::of(member.id_hash), load)
            })
            .collect();
        loads.sort_unstable_by_key(|(back_end, load)| (std::cmp::Reverse(*load), *back_end));
        loads
    }

    /// Merges loads that back ends reported to another router.
    pub fn merge_reported_loads(&mut self, reported: &[LoadGossip], now: Time) {
        if reported.is_empty() {
            return;
        }
        let reported: HashMap<ShortId, &LoadGossip> =
            reported.iter().map(|load| (load.back_end, load)).collect();
        for member in self.members.values_mut() {
            if let Some(load) = reported.get(&ShortId::of(member.id_hash)) {
                member
                    .load
                    .on_relayed_report(u32::from(load.requests), load.reported_at(now));
            }
        }
    }

    /// Restarts all silence timers after the machine was suspended until `now`: nothing could
    /// arrive meanwhile, so that silence does not count against a back end.
    pub fn on_suspended(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.restart_silence_timer(now);
        }
    }

    /// Latest successes at back ends that routers suspected until then, at most `limit`, newest first.
    pub fn recoveries(&self, limit: usize, now: Time) -> Vec<RecoveryGossip> {
        let recovered = self.members.values().filter_map(|member| {
            let at = member.recovery(now)?;
            Some((at, ShortId::of(member.id_hash)))
        });
        let mut newest: Vec<(Time, ShortId)> = recovered.collect();
        newest.sort_unstable_by_key(|(at, back_end)| (std::cmp::Reverse(*at), *back_end));
        newest.truncate(limit);
        let gossip = newest.into_iter();
        gossip
            .filter_map(|(at, back_end)| RecoveryGossip::new(back_end, at, now))
            .collect()
    }

    /// Merges successes that a peer tells. Returns the ids of the back ends that are not suspect any
    /// more because of them.
    pub fn merge_recoveries(&mut self, recoveries: &[RecoveryGossip], now: Time) -> Vec<String> {
        let mut cleared = Vec::new();
        for member in self.members.values_mut() {
            let short = ShortId::of(member.id_hash);
            let told = recoveries.iter().find(|told| told.back_end == short);
            let change = told.and_then(|told| member.on_peer_success(told.served_at(now), now));
            if change == Some(false) {
                cleared.push(member.entry.id.clone());
            }
        }
        cleared
    }

    /// Short ids of at most `limit` back ends that this router suspects, for gossip, those that failed
    /// last first. Silent back ends are not included: where many requests wait, a back end is silent
    /// only at times, and a fleet that avoids it all at once overloads the back ends that get its
    /// requests instead.
    pub fn suspects(&self, limit: usize, now: Time) -> Vec<ShortId> {
        let suspects = self.members.values().filter_map(|member| {
            let failed_at = member.recent_failure(now)?;
            Some((std::cmp::Reverse(failed_at), ShortId::of(member.id_hash)))
        });
        let mut newest: Vec<_> = suspects.collect();
        newest.sort_unstable();
        newest.truncate(limit);
        newest.into_iter().map(|(_, back_end)| back_end).collect()
    }
}

/// Returns the candidates of a request, each with its health for it, and stores their median
/// failure share in each.
fn assess(mut members: Vec<&mut BackEnd>, now: Time, terms: TrialTerms) -> Vec<(&BackEnd, Health)> {
    let medians = PoolMedians::of(members.iter().map(|member| member.stats(now)));
    for member in &mut members {
        member.pool_failure_share = medians.failure_share;
    }
    members
        .into_iter()
        .map(|member| {
            let health = member.health(now, &medians, &terms);
            (&*member, health)
        })
        .collect()
}
