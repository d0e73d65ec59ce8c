//! Zone drains at this router: back ends in a zone that the operator drains get no requests.

use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::back_ends::zone_drain::{ZoneDrain, ZoneDrainUpdate};

use crate::router::Router;

impl Router {
    /// Applies an update from the operator's store.
    pub fn apply_zone_drain_update(&self, update: &ZoneDrainUpdate) {
        let ended = self.zone_drains.borrow().ended_drains(update);
        for change in update.changes.iter().chain(&ended) {
            self.merge_zone_drain(change, "store");
        }
    }

    /// Merges what the operator last asked for one zone; `source` is a fixed word for where this
    /// was learned.
    pub fn merge_zone_drain(&self, drain: &ZoneDrain, source: &'static str) {
        if !self.zone_drains.borrow_mut().merge(drain) {
            return;
        }
        let now = self.now();
        let mut back_ends = self.back_ends.borrow_mut();
        let members = back_ends.iter();
        let in_zone = members.filter(|member| member.entry.zone() == Some(&drain.zone));
        let count = in_zone.count();
        let mut assumed_cold = 0;
        if !drain.drained {
            let configuration = self.configuration.borrow();
            let slow_starts = configuration
                .as_ref()
                .map_or(&[][..], |known| &known.slow_starts);
            assumed_cold = back_ends.assume_cold(&drain.zone, slow_starts, now);
        }
        self.metrics
            .record_drained_zones(self.zone_drains.borrow().drained_count());
        log::info!(
            target: "zone_drain",
            "zone={} drained={} revision={} source={source} back_ends={count} assumed_cold={assumed_cold}",
            drain.zone,
            drain.drained,
            drain.revision,
        );
        if count == 0 {
            log::warn!(target: "zone_drain", "zone={} known=false: no back end is in this zone", drain.zone);
        }
    }

    /// Whether all back ends of a pool that accept work are in drained zones; false if there are
    /// none.
    pub fn is_pool_drained(&self, pool: &[Requirement]) -> bool {
        let zone_drains = self.zone_drains.borrow();
        if zone_drains.drained_count() == 0 {
            return false;
        }
        let back_ends = self.back_ends.borrow();
        let mut members = back_ends
            .iter()
            .filter(|member| !member.is_leaving() && matches_all(pool, &member.entry.labels))
            .peekable();
        members.peek().is_some() && members.all(|member| zone_drains.covers(&member.entry))
    }
}
