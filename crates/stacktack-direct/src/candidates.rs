//! Members of a pool as a request finds them: loads, limits and how well they stand.

use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::admission::pool_load::{LoadReport, PoolLoad};
use stacktack_core::direct::admission::SlotLimit;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::choice::select::DirectCandidate;
use stacktack_core::direct::rollout::VersionSelection;

use crate::rollouts::VersionFilter;
use crate::router::Router;

impl Router {
    /// Whether a life of a back end that was chosen takes new work still.
    pub fn may_send(&self, back_end: &str, life: InstanceId) -> bool {
        let back_ends = self.back_ends.borrow();
        let Some(known) = back_ends.get(back_end) else {
            return false;
        };
        let drained = self.zone_drains.borrow().covers(&known.entry);
        let is_withheld = self.is_version_blocked(&known.entry, &back_ends);
        !known.entry.leaving && !drained && !is_withheld && InstanceId::of(&known.entry) == life
    }

    /// Candidates of a pool for a request. Without a limit all have room.
    pub fn candidates(
        &self,
        pool: &[Requirement],
        excluded: &[String],
        request: Retryability,
        limit: Option<SlotLimit>,
    ) -> Candidates {
        let choice = self.version_filter(pool, excluded.is_empty());
        let candidates = self.candidates_of(choice, pool, excluded, request, limit);
        if choice == VersionFilter::Selected(VersionSelection::New) && !candidates.any_has_room() {
            let old = VersionFilter::Selected(VersionSelection::Old);
            return self.candidates_of(old, pool, excluded, request, limit);
        }
        candidates
    }

    fn candidates_of(
        &self,
        choice: VersionFilter,
        pool: &[Requirement],
        excluded: &[String],
        request: Retryability,
        limit: Option<SlotLimit>,
    ) -> Candidates {
        let now = self.now();
        let zone_drains = self.zone_drains.borrow();
        let mut back_ends = self.back_ends.borrow_mut();
        let members = back_ends.pool(now, request, |entry| {
            matches_all(pool, &entry.labels)
                && !excluded.contains(&entry.id)
                && self.matches_version_filter(entry, choice)
        });
        let mut candidates = Candidates::default();
        for (index, (member, standing)) in members.into_iter().enumerate() {
            let zone = member.entry.zone();
            let drained = zone_drains.covers(&member.entry);
            let load = member.load.estimate(now);
            let age = member.load.estimate_age(now);
            let slots = member.entry.slots;
            // Where nothing is known of others' requests, the own ones have to stay
            // within the limit.
            let not_counted = match age {
                Some(_) => 0.0,
                None => load - f64::from(member.load.in_flight),
            };
            candidates.list.push(DirectCandidate {
                index,
                id_hash: member.id_hash,
                load,
                limit: limit.map_or(f64::INFINITY, |limit| limit.requests(slots) + not_counted),
                same_zone: zone == Some(&self.settings.zone),
                standing,
                eligible: !drained && member.may_get_requests(now),
            });
            candidates.reports.push(LoadReport { load, slots, age });
            candidates.ids.push(member.entry.id.clone());
        }
        candidates
    }
}

/// Members of a pool as a request finds them.
#[derive(Debug, Default)]
pub struct Candidates {
    /// What decides the choice.
    pub list: Vec<DirectCandidate>,
    /// What is known of their loads, in the same order.
    reports: Vec<LoadReport>,
    /// Their ids, in the same order.
    pub ids: Vec<String>,
}

impl Candidates {
    /// Whether some may get the request and is not full.
    fn any_has_room(&self) -> bool {
        let mut open = self.list.iter().filter(|candidate| candidate.eligible);
        open.any(|candidate| candidate.load < candidate.limit)
    }

    /// Load of the pool, over those that may get requests and stand best; `None` where it
    /// is not known.
    pub fn pool_load(&self) -> Option<PoolLoad> {
        let open = self.list.iter().filter(|candidate| candidate.eligible);
        let best = open.map(|candidate| candidate.standing).min()?;
        let stands_best = |(candidate, _): &(&DirectCandidate, _)| {
            candidate.eligible && candidate.standing == best
        };
        let pairs = self.list.iter().zip(&self.reports).filter(stands_best);
        let reports: Vec<LoadReport> = pairs.map(|(_, report)| *report).collect();
        PoolLoad::from_reports(&reports)
    }

    /// Mean of the loads, 0 for no member.
    pub fn mean_load(&self) -> f64 {
        let sum: f64 = self.list.iter().map(|candidate| candidate.load).sum();
        sum / self.list.len().max(1) as f64
    }

    /// Takes for each member the load that is to be expected from the age of its news,
    /// and the limit that follows from the load of the pool.
    pub fn apply_pool_load(&mut self, pool: &PoolLoad, hold_seconds: f64) {
        for (candidate, report) in self.list.iter_mut().zip(&self.reports) {
            candidate.load = if candidate.eligible {
                pool.expected_load(report, hold_seconds)
            } else {
                report.residual_load(hold_seconds)
            };
            candidate.limit = pool.back_end_limit(candidate.limit);
        }
    }
}
