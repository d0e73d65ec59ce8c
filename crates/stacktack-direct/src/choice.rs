//! Choice of a back end for one attempt, and locations of cached prompt parts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use stacktack_core::configuration::selector::matches_all;
use stacktack_core::direct::admission::pool_load::PoolLoad;
use stacktack_core::direct::admission::SlotLimit;
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::outlier_detector::{Retryability, TrialTerms};
use stacktack_core::direct::back_ends::zone_share::ZonePreference;
use stacktack_core::direct::choice::engine_priority::engine_priority;
use stacktack_core::direct::choice::first_event::FirstEventChoice;
use stacktack_core::direct::choice::pool_candidates::PoolCensus;
use stacktack_core::direct::choice::select::{is_home, likely_holder, DirectCandidate, Selection};
use stacktack_core::direct::peers::peer_gossip::ShortId;

use crate::exchange::Exchange;
use crate::placement::PlacementRequest;
use crate::router::pool_name;
use crate::work::CandidateWork;

/// Minimum number of shared prompt tokens for which copying them from another back end is faster
/// than processing them again.
pub(crate) const MIN_FETCH_TOKENS: u32 = 256;

/// Time after the last use of a prompt part at a back end from which its location is announced
/// again.
const REANNOUNCE_AFTER: Duration = Duration::from_secs(8);

/// What a router knows of the load of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLoad {
    /// Requests of this router.
    pub own: u32,
    /// Requests of the other routers, as they last told.
    pub from_peers: f64,
    /// Age of the load that the back end reported; `None` if no report counts, or if the peers'
    /// counts are used instead.
    pub reported_age: Option<Duration>,
    /// Mean age of the requests that the other routers told; `None` if they told none.
    pub peer_counts_age: Option<Duration>,
    /// Whether the back end is in the router's zone.
    pub same_zone: bool,
}

fn milliseconds_text(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "-".to_owned(),
        |duration| duration.as_millis().to_string(),
    )
}

/// A chosen back end and what decided the choice.
pub struct Choice {
    /// Id of the back end.
    pub back_end: String,
    /// Loads, and rank in the rendezvous order.
    pub selection: Selection,
    /// Health of the back end.
    pub health: Health,
    /// What is known of the load of the back end.
    pub known_load: KnownLoad,
    /// How the request might prefer the router's zone; `None` where zones do not matter.
    pub zone_preference: Option<ZonePreference>,
    /// Load of the pool; `None` if not known.
    pub pool_load: Option<PoolLoad>,
    /// How the members of the pool stand to their spill bound; empty for a request on probation.
    pub census: PoolCensus,
    /// Predicted time until the back end sends the first event of the response; `None` in pools
    /// that do not count work.
    pub first_event_after: Option<Duration>,
    /// What the first event decided; `None` in pools that do not count work.
    pub by_first_event: Option<FirstEventChoice>,
    /// Work of the request at the back end; `None` in pools that do not count work.
    pub work: Option<CandidateWork>,
}

impl Choice {
    /// Choice for a request on probation, which neither load nor prompt parts decide.
    pub(crate) fn for_probation(
        candidate: &DirectCandidate,
        mean: f64,
        known_load: KnownLoad,
        back_end: String,
    ) -> Self {
        Choice {
            back_end,
            selection: Selection {
                index: candidate.index,
                load: candidate.load,
                limit: candidate.limit,
                mean,
                rank: 0,
                start_index: None,
            },
            health: candidate.health,
            known_load,
            zone_preference: None,
            pool_load: None,
            census: PoolCensus::default(),
            first_event_after: None,
            by_first_event: None,
            work: None,
        }
    }

    /// Age of the reported load in milliseconds, for logs.
    pub(crate) fn load_age_text(&self) -> String {
        milliseconds_text(self.known_load.reported_age)
    }

    /// Log fields of what is known of the load of the back end.
    pub(crate) fn known_load_fields(&self) -> String {
        let known = &self.known_load;
        let preference = self.zone_preference.map_or_else(
            || "zone_share=-".to_owned(),
            |preference| {
                format!(
                    "zone_share={:.2} zone_own_part={:.2} local_share={:.2}",
                    preference.zone_share, preference.own_part, preference.local_share
                )
            },
        );
        format!(
            "own={} from_peers={:.1} peer_counts_age_ms={} same_zone={} {preference}",
            known.own,
            known.from_peers,
            milliseconds_text(known.peer_counts_age),
            known.same_zone,
        )
    }

    /// Age of the pool's load in milliseconds, for logs.
    pub(crate) fn pool_age_text(&self) -> String {
        self.pool_load.map_or_else(
            || "-".to_owned(),
            |pool| pool.mean_age.as_millis().to_string(),
        )
    }

    /// Why the back end was chosen, for logs and metrics.
    pub(crate) fn placement_text(&self) -> &'static str {
        self.by_first_event
            .map_or("-", |choice| choice.placement.as_str())
    }

    /// Log fields of the members' loads against their bound.
    pub(crate) fn census_fields(&self) -> String {
        let census = &self.census;
        format!(
            "bound={:.1} members={} avoided={} good_below={} avoided_below={}",
            census.bound, census.members, census.avoided, census.good_below, census.avoided_below
        )
    }

    /// Predicted time until the first event in milliseconds, for logs.
    pub(crate) fn first_event_text(&self) -> String {
        self.first_event_after
            .map_or_else(|| "-".to_owned(), |after| after.as_millis().to_string())
    }

    /// Priority of the request at the back end. In pools that count work it follows from the time to
    /// read the prompt there, from the shortest objective of the pool and from the urgency of the
    /// request, else it is that urgency.
    pub(crate) fn engine_priority(&self, shortest_objective: Duration, urgency: u8) -> u8 {
        self.work.map_or(urgency, |work| {
            engine_priority(work.reading, shortest_objective, urgency)
        })
    }

    /// Log fields of the work of the request at the back end.
    pub(crate) fn work_fields(&self) -> String {
        self.work
            .map_or_else(|| "backlog_ms=-".to_owned(), |work| work.log_fields())
    }

    /// Load of the pool in multiples of its slots, for logs.
    pub(crate) fn pool_fill_text(&self) -> String {
        self.pool_load
            .map_or_else(|| "-".to_owned(), |pool| format!("{:.2}", pool.fill()))
    }
}

impl Exchange {
    /// Chooses a back end that was not tried; `None` if there is none.
    pub(crate) fn select(&self, limit: Option<SlotLimit>) -> Option<Choice> {
        self.router.place(&PlacementRequest {
            pool: self.pool(),
            caller: &self.caller,
            tried: &self.tried,
            terms: self.trial_terms(),
            limit,
            began_at: self.began_at.as_deref(),
            hold_seconds: self.hold_seconds(),
            objective_left: self.route.objective.saturating_sub(self.elapsed()),
            draw: rand::rng().next_u64(),
        })
    }

    /// What the request may be used for to find out about back ends in bad health. Only the first send
    /// of a request is a trial, so that its retry goes where it is likely to be served.
    pub(crate) fn trial_terms(&self) -> TrialTerms {
        let may_be_trial = self.tried.is_empty() && self.may_retry_after_next();
        let permits = self.router.retry_permits(self.pool());
        let retryability = if may_be_trial && permits.available > 0 {
            Retryability::Retryable
        } else {
            Retryability::NotRetryable
        };
        TrialTerms {
            retryability,
            routers: self.router.equal_senders(pool_name(self.pool())),
            may_try_at_bound: may_be_trial && permits.may_reserve,
        }
    }

    /// Address of another back end that has, or is likely to have, the shared prompt parts cached;
    /// `None` if the chosen one is known to have them, or they are too short.
    pub(crate) fn fetch_source(&self, back_end: &str) -> Option<SocketAddr> {
        let part = self.caller.prompt.affinity_part()?;
        if self.caller.prompt.shared_tokens() < MIN_FETCH_TOKENS {
            return None;
        }
        let locations = self.router.prefix_locations.borrow();
        let holders = locations.holders(part.id);
        if holders.iter().any(|holder| holder.back_end == back_end) {
            return None;
        }
        let back_ends = self.router.back_ends.borrow();
        let known = holders
            .iter()
            .find_map(|holder| back_ends.get(&holder.back_end));
        if let Some(holder) = known {
            return Some(holder.entry.address);
        }
        let pool = back_ends
            .iter()
            .filter(|member| matches_all(self.pool(), &member.entry.labels));
        likely_holder(pool, part.id, back_end).map(|holder| holder.entry.address)
    }

    /// Records where the prompt was read, and announces the location to peers if it is new or was
    /// last used [`REANNOUNCE_AFTER`] or longer ago, unless it is the home.
    pub(crate) fn record_prefix_location(&self, back_end: &str) {
        let Some(part) = self.caller.prompt.affinity_part() else {
            return;
        };
        let now = self.router.now();
        let mut locations = self.router.prefix_locations.borrow_mut();
        let is_recent = locations.holders(part.id).iter().any(|holder| {
            holder.back_end == back_end && now.since(holder.last_used) < REANNOUNCE_AFTER
        });
        locations.record(part.id, back_end, now);
        let back_ends = self.router.back_ends.borrow();
        let mut pool = back_ends
            .iter()
            .filter(|member| matches_all(self.pool(), &member.entry.labels));
        if is_recent || is_home(&mut pool, part.id, back_end) {
            return;
        }
        if let Some(known) = back_ends.get(back_end) {
            let short = ShortId::of(known.id_hash);
            let mut peers = self.router.peers.borrow_mut();
            peers.announce_prefix_location(part.id, short);
        }
    }
}
