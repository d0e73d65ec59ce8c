//! Placement: the choice of a back end from what this router knows at the moment.

use std::time::Duration;

use stacktack_core::configuration::selector::Requirement;
use stacktack_core::direct::admission::SlotLimit;
use stacktack_core::direct::back_ends::outlier_detector::TrialTerms;
use stacktack_core::direct::back_ends::zone_share::ZonePreference;
use stacktack_core::direct::choice::first_event::{
    select_by_first_event, Copying, EngineWork, FirstEventChoice, Wanted,
};
use stacktack_core::direct::choice::part_shares::{PartWork, PoolStats};
use stacktack_core::direct::choice::select::{select_by_affinity, select_by_load, SelectBounds};
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;

use crate::candidates::Candidates;
use crate::choice::{Choice, MIN_FETCH_TOKENS};
use crate::ports::CallerRequest;
use crate::router::{pool_name, Router};

/// Time to copy prompt parts from another back end, as a share of the time to read them.
const COPY_SHARE_OF_READING: f64 = 0.4;

/// A request for a back end.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Conditions that the back end must meet.
    pub pool: &'a [Requirement],
    /// Metadata of the caller's request.
    pub caller: &'a CallerRequest,
    /// Ids of the back ends that the request tried.
    pub tried: &'a [String],
    /// What the request may be used for to find out about back ends in bad health.
    pub terms: TrialTerms,
    /// Limit on the load of the back end; `None` if none counts as full.
    pub limit: Option<SlotLimit>,
    /// Version that the back end must run; `None` if any will do.
    pub began_at: Option<&'a SoftwareVersion>,
    /// Mean time for which a request occupies a slot of its pool, in seconds; `None` if unknown.
    pub hold_seconds: Option<f64>,
    /// What is left of the latency objective, within which the first event is wanted.
    pub objective_left: Duration,
    /// Random number that breaks ties, draws engines and selects the replica of a part.
    pub draw: u64,
}

impl PlacementRequest<'_> {
    /// Tokens of the prompt that no other request has.
    fn own_tokens(&self) -> u32 {
        self.caller.prompt.tokens() - self.caller.prompt.shared_tokens()
    }
}

impl Router {
    /// Chooses a back end for a request; `None` if there is none.
    pub fn place(&self, request: &PlacementRequest<'_>) -> Option<Choice> {
        let mut candidates = self.candidates(
            request.pool,
            request.tried,
            request.terms,
            request.limit,
            request.began_at,
        );
        self.observe_traffic(pool_name(request.pool), candidates.pool.in_flight());
        candidates.work = self.estimate_work(request.pool, request.caller, &candidates.ids);
        let pool_load = candidates.pool.pool_load();
        if let (Some(pool), Some(hold)) = (pool_load, request.hold_seconds) {
            candidates.pool.apply_pool_load(&pool, hold);
        }
        let mut bounds = SelectBounds::for_load_cap(self.bounds().load_cap);
        if pool_load.is_some_and(|pool| pool.is_full()) {
            bounds = bounds.for_full_pool();
        }
        let by_first_event = if candidates.work.is_empty() {
            None
        } else {
            self.select_engine(request, &candidates, bounds)
        };
        let mut zone_preference = None;
        let selection = match (by_first_event, request.caller.prompt.affinity_part()) {
            (Some(choice), _) => Some(choice.selection),
            (None, Some(part)) => {
                let bounds = self.spread_bounds(request, part.id, &candidates, bounds);
                select_by_affinity(&candidates.pool.list, part.id, &bounds)
            }
            (None, None) => {
                let preference = self.zone_preference(pool_name(request.pool), &candidates.pool);
                zone_preference = Some(preference);
                let bounds = zone_bounds(request.draw, &preference, bounds);
                select_by_load(&candidates.pool.list, request.draw, &bounds)
            }
        }?;
        let health = candidates.pool.list[selection.index].health;
        let back_end = candidates.ids[selection.index].clone();
        let known_load = self.known_load(&back_end);
        let work = candidates.work.get(selection.index).copied();
        Some(Choice {
            back_end,
            selection,
            health,
            known_load,
            zone_preference,
            pool_load,
            census: candidates.pool.census(&bounds),
            first_event_after: by_first_event
                .zip(work)
                .map(|(choice, work)| choice.first_event_after + work.fixed),
            by_first_event,
            work,
        })
    }

    /// Chooses among the engines of a pool that counts work.
    fn select_engine(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &Candidates,
        bounds: SelectBounds,
    ) -> Option<FirstEventChoice> {
        let (part, bounds) = match request.caller.prompt.affinity_part() {
            Some(part) => {
                let bounds = self.spread_bounds(request, part.id, candidates, bounds);
                (part.id, bounds)
            }
            None => (request.draw, bounds),
        };
        let wanted = Wanted {
            part,
            draw: request.draw,
            objective_left: request.objective_left,
        };
        let engines = self.engine_work(request, candidates);
        select_by_first_event(&candidates.pool.list, &engines, &wanted, &bounds)
    }

    /// Work of the request at each candidate, and what a copy of the shared parts would save.
    fn engine_work(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &Candidates,
    ) -> Vec<EngineWork> {
        let prompt = &request.caller.prompt;
        let own_tokens = request.own_tokens();
        let reading_time = |tokens| self.reading_time(request.pool, tokens);
        let locations = self.prefix_locations.borrow();
        let holders = match prompt.affinity_part() {
            Some(part) if prompt.shared_tokens() >= MIN_FETCH_TOKENS => locations.holders(part.id),
            _ => &[],
        };
        let pairs = candidates.ids.iter().zip(&candidates.work);
        pairs
            .map(|(id, work)| {
                let is_holder = work.work.unread_tokens <= own_tokens;
                let can_copy = !is_holder && holders.iter().any(|holder| holder.back_end != *id);
                let missing = work.work.unread_tokens.saturating_sub(own_tokens);
                EngineWork {
                    backlog: work.backlog.time,
                    reading: work.reading,
                    copying: can_copy.then(|| Copying {
                        transfer: reading_time(missing).mul_f64(COPY_SHARE_OF_READING),
                        reading: work.speed.apply(reading_time(own_tokens)),
                    }),
                    is_holder,
                }
            })
            .collect()
    }

    /// Time that an engine of usual speed takes to read prompt tokens; zero in pools that do not
    /// count work.
    fn reading_time(&self, pool: &[Requirement], tokens: u32) -> Duration {
        let pools = self.pool_work.borrow();
        let pool = pools.get(pool_name(pool));
        pool.map_or(Duration::ZERO, |pool| pool.rates.reading_time(tokens))
    }

    /// Bounds for a request whose prompt part is spread over as many replicas as its share of this
    /// router's requests requires; the request starts at a random one of them.
    fn spread_bounds(
        &self,
        request: &PlacementRequest<'_>,
        part: u64,
        candidates: &Candidates,
        bounds: SelectBounds,
    ) -> SelectBounds {
        let is_first_attempt = request.tried.is_empty();
        let now = self.now();
        let mean_load = candidates.pool.mean_load();
        let pool = PoolStats {
            members: candidates.pool.list.len(),
            mean_load,
            spill_headroom: bounds.spill_headroom(mean_load),
        };
        let work = (!candidates.work.is_empty()).then(|| PartWork {
            own_share: self.own_share(pool_name(request.pool)),
            reading: self.reading_time(request.pool, request.own_tokens()),
        });
        let name = pool_name(request.pool);
        let replicas = self.with_part_shares(name, |shares| {
            if is_first_attempt {
                shares.record(part, now);
            }
            match &work {
                Some(work) => shares.replicas_by_work(part, &pool, work),
                None => shares.replicas(part, &pool),
            }
        });
        bounds.spread_over(replicas, (request.draw % replicas as u64) as usize)
    }
}

/// Bounds for a request that any member may get.
fn zone_bounds(draw: u64, preference: &ZonePreference, bounds: SelectBounds) -> SelectBounds {
    let uniform = (draw >> 11) as f64 / (1_u64 << 53) as f64;
    let is_local = uniform < preference.local_share;
    bounds.with_zone_preference(if is_local { preference.own_part } else { 0.0 })
}
