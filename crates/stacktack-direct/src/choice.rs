//! The choice for one attempt, and where prompt parts are.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use stacktack_core::configuration::selector::matches_all;
use stacktack_core::direct::admission::pool_load::PoolLoad;
use stacktack_core::direct::admission::SlotLimit;
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::choice::part_shares::PoolStats;
use stacktack_core::direct::choice::select::{
    is_home, likely_holder, select_by_affinity, select_by_load, DirectCandidate, SelectBounds,
    Selection,
};
use stacktack_core::direct::peers::peer_gossip::ShortId;

use crate::candidates::Candidates;
use crate::exchange::Exchange;
use crate::router::pool_name;

/// Shared prompt tokens from which copying beats reading again.
const FETCH_TOKENS: u32 = 256;

/// Age at which the place of a prompt part is told to peers again.
const TELL_AGAIN: Duration = Duration::from_secs(8);

/// A chosen back end and what decided it.
pub(crate) struct Choice {
    /// Id of the back end.
    pub back_end: String,
    /// Loads and place in the order.
    pub selection: Selection,
    /// How well it stands.
    pub standing: Health,
    /// Age of the load that it told; `None` when the peers' counts are believed.
    pub load_age: Option<Duration>,
    /// Load of its pool; `None` where it is not known.
    pub pool_load: Option<PoolLoad>,
}

impl Choice {
    /// The choice for a request on probation: no load and no prompt part decided it.
    pub(crate) fn for_probation(
        candidate: &DirectCandidate,
        mean: f64,
        load_age: Option<Duration>,
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
            standing: candidate.standing,
            load_age,
            pool_load: None,
        }
    }

    /// Age of the load for logs, in milliseconds.
    pub(crate) fn load_age_text(&self) -> String {
        self.load_age
            .map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
    }

    /// Age of the pool's load for logs, in milliseconds.
    pub(crate) fn pool_age_text(&self) -> String {
        self.pool_load.map_or_else(
            || "-".to_owned(),
            |pool| pool.mean_age.as_millis().to_string(),
        )
    }

    /// Load of the pool for logs, in multiples of its slots.
    pub(crate) fn pool_fill_text(&self) -> String {
        self.pool_load
            .map_or_else(|| "-".to_owned(), |pool| format!("{:.2}", pool.fill()))
    }
}

impl Exchange {
    /// Chooses a back end that was not tried; `None` when there is none.
    pub(crate) fn select(&self, limit: Option<SlotLimit>) -> Option<Choice> {
        let mut candidates =
            self.router
                .candidates(self.pool(), &self.tried, self.retryability(), limit);
        let pool_load = candidates.pool_load();
        if let (Some(pool), Some(hold)) = (pool_load, self.hold_seconds()) {
            candidates.apply_pool_load(&pool, hold);
        }
        let mut bounds = SelectBounds::for_load_cap(self.router.bounds().load_cap);
        if pool_load.is_some_and(|pool| pool.is_full()) {
            bounds = bounds.for_full_pool();
        }
        let selection = match self.caller.prompt.affinity_part() {
            Some(part) => {
                let bounds = self.spread(part.id, &candidates, bounds);
                select_by_affinity(&candidates.list, part.id, &bounds)
            }
            None => select_by_load(&candidates.list, rand::rng().next_u64(), &bounds),
        }?;
        let standing = candidates.list[selection.index].standing;
        let back_end = candidates.ids[selection.index].clone();
        let load_age = self.router.load_age(&back_end);
        Some(Choice {
            back_end,
            selection,
            standing,
            load_age,
            pool_load,
        })
    }

    /// Bounds for a request whose part is spread over as many places as its share of this router's requests
    /// asks for; it begins at any of them.
    fn spread(&self, part: u64, candidates: &Candidates, bounds: SelectBounds) -> SelectBounds {
        let is_first_try = self.tried.is_empty();
        let now = self.router.now();
        let mean_load = candidates.mean_load();
        let pool = PoolStats {
            members: candidates.list.len(),
            mean_load,
            spill_headroom: bounds.spill_headroom(mean_load),
        };
        let name = pool_name(self.pool());
        let places = self.router.with_part_shares(name, |shares| {
            if is_first_try {
                shares.record(part, now);
            }
            shares.replicas(part, &pool)
        });
        bounds.spread_over(places, rand::rng().random_range(0..places))
    }

    /// What a failure of the next attempt costs.
    pub(crate) fn retryability(&self) -> Retryability {
        if self.may_repeat_next() {
            Retryability::Retryable
        } else {
            Retryability::NotRetryable
        }
    }

    /// Another back end that keeps, or is likely to keep, the shared parts of
    /// the prompt; `None` when the chosen one is known to keep them.
    pub(crate) fn fetch_source(&self, back_end: &str) -> Option<SocketAddr> {
        let part = self.caller.prompt.affinity_part()?;
        if self.caller.prompt.shared_tokens() < FETCH_TOKENS {
            return None;
        }
        let places = self.router.prefix_locations.borrow();
        let holders = places.holders(part.id);
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

    /// Remembers where the prompt was read, and tells peers of a new place that is not its home.
    pub(crate) fn record_place(&self, back_end: &str) {
        let Some(part) = self.caller.prompt.affinity_part() else {
            return;
        };
        let now = self.router.now();
        let mut places = self.router.prefix_locations.borrow_mut();
        let told = places
            .holders(part.id)
            .iter()
            .any(|holder| holder.back_end == back_end && now.since(holder.last_used) < TELL_AGAIN);
        places.record(part.id, back_end, now);
        let back_ends = self.router.back_ends.borrow();
        let mut pool = back_ends
            .iter()
            .filter(|member| matches_all(self.pool(), &member.entry.labels));
        if told || is_home(&mut pool, part.id, back_end) {
            return;
        }
        if let Some(known) = back_ends.get(back_end) {
            let short = ShortId::of(known.id_hash);
            let mut peers = self.router.peers.borrow_mut();
            peers.announce_prefix_location(part.id, short);
        }
    }
}
