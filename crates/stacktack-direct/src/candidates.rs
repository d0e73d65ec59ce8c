//! Members of a pool at the time of a request: loads, limits and health.

use std::time::Duration;

use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::admission::SlotLimit;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::back_ends::outlier_detector::TrialTerms;
use stacktack_core::direct::choice::pool_candidates::{MemberPlace, PoolCandidates, PoolMember};
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::rollout::VersionSelection;
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_core::time::Time;

use crate::rollouts::VersionFilter;
use crate::router::{pool_name, Router};
use crate::work::CandidateWork;

impl Router {
    /// Why a request may no longer be sent to the instance of a back end that was chosen; `None`
    /// while the directory still lists that instance, it is not leaving and wants no pause, as far
    /// as directory and responses tell, its zone is not drained, and its version is not blocked.
    pub fn send_obstacle(&self, back_end: &str, instance: InstanceId) -> Option<AttemptFailure> {
        let back_ends = self.back_ends.borrow();
        let Some(known) = back_ends.get(back_end) else {
            return Some(AttemptFailure::BackEndLeft);
        };
        let is_drained = self.zone_drains.borrow().covers(&known.entry);
        let is_blocked = self.is_version_blocked(&known.entry, &back_ends);
        let has_left = known.is_leaving()
            || is_drained
            || is_blocked
            || InstanceId::of(&known.entry) != instance;
        if has_left {
            return Some(AttemptFailure::BackEndLeft);
        }
        let is_paused = known.announcements().is_paused(self.now());
        is_paused.then_some(AttemptFailure::BackEndPaused)
    }

    /// Time until the first member of a pool that a request may go to takes requests again, if all
    /// of them want a pause. Members that the request tried, that leave or whose zone is drained
    /// are left out.
    pub(crate) fn pool_pause(&self, pool: &[Requirement], tried: &[String]) -> Option<Duration> {
        let now = self.now();
        let zone_drains = self.zone_drains.borrow();
        let back_ends = self.back_ends.borrow();
        let members = back_ends.iter().filter(|member| {
            matches_all(pool, &member.entry.labels)
                && !member.is_leaving()
                && !zone_drains.covers(&member.entry)
                && !tried.contains(&member.entry.id)
        });
        let ends: Option<Vec<Time>> = members
            .map(|member| member.announcements().resumes_at(now))
            .collect();
        let first = ends?.into_iter().min()?;
        Some(first.since(now))
    }

    /// Candidates of a pool for a request. Without a limit none counts as full. Where the new
    /// version of a roll-out is selected and has no capacity, they are those of the old version. A
    /// stream that goes on has candidates only of the version that it `began_at`.
    pub fn candidates(
        &self,
        pool: &[Requirement],
        excluded: &[String],
        terms: impl Into<TrialTerms>,
        limit: Option<SlotLimit>,
        began_at: Option<&SoftwareVersion>,
    ) -> Candidates {
        let terms = terms.into();
        if let Some(version) = began_at {
            let filter = VersionFilter::Began(version);
            return self.candidates_for_version(filter, pool, excluded, terms, limit);
        }
        let filter = self.version_filter(pool, excluded.is_empty());
        let candidates = self.candidates_for_version(filter, pool, excluded, terms, limit);
        if filter == VersionFilter::Selected(VersionSelection::New)
            && !candidates.pool.any_has_capacity()
        {
            let old = VersionFilter::Selected(VersionSelection::Old);
            return self.candidates_for_version(old, pool, excluded, terms, limit);
        }
        candidates
    }

    fn candidates_for_version(
        &self,
        filter: VersionFilter<'_>,
        pool: &[Requirement],
        excluded: &[String],
        terms: TrialTerms,
        limit: Option<SlotLimit>,
    ) -> Candidates {
        let now = self.now();
        let zone_drains = self.zone_drains.borrow();
        let mut back_ends = self.back_ends.borrow_mut();
        let members = back_ends.assess_candidates(now, terms, |entry| {
            matches_all(pool, &entry.labels)
                && !excluded.contains(&entry.id)
                && self.matches_version_filter(entry, filter)
        });
        let members: Vec<PoolMember<'_>> = members
            .into_iter()
            .map(|(back_end, health)| PoolMember {
                back_end,
                health,
                place: MemberPlace {
                    same_zone: back_end.entry.zone() == Some(&self.settings.zone),
                    is_drained: zone_drains.covers(&back_end.entry),
                },
            })
            .collect();
        let survival = self.with_admission(pool_name(pool), |admission| *admission.survival());
        let ids = members
            .iter()
            .map(|member| member.back_end.entry.id.clone());
        Candidates {
            pool: PoolCandidates::new(&members, limit, &survival, now),
            ids: ids.collect(),
            work: Vec::new(),
        }
    }
}

/// Members of a pool at the time of a request.
#[derive(Debug, Default)]
pub struct Candidates {
    /// The members as candidates of the choice, with their loads.
    pub pool: PoolCandidates,
    /// Their ids, in the same order.
    pub ids: Vec<String>,
    /// Work of the request at them, in the same order; empty in pools that do not count work.
    pub work: Vec<CandidateWork>,
}
