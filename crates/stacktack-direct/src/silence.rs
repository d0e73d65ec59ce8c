//! Whether an attempt from which nothing comes is left for another one.
//!
//! A pause is no end: an attempt that is left although nobody may go on with the request loses an
//! answer that might have come. So the repeat is granted first.

use stacktack_core::direct::quarantine::record::Treatment;

use crate::exchange::Exchange;

impl Exchange {
    /// Whether the silent attempt whose stream is under way is left. If so, a repeat is granted, which the
    /// next attempt uses.
    pub(crate) fn leaves_silent_attempt(&mut self) -> bool {
        let may_be_repeated = self.may_repeat_next() && self.treatment() < Treatment::Probation;
        let leaves = may_be_repeated
            && self.may_go_elsewhere()
            && self.router.take_retry(&self.id, self.pool());
        self.is_repeat_granted = leaves;
        log::info!(
            target: "attempt",
            "id={} back_end={} silent=true left={leaves} repeatable={may_be_repeated} ms={}",
            self.id,
            self.tried.last().map_or("-", String::as_str),
            self.elapsed().as_millis(),
        );
        leaves
    }

    /// Whether a back end that was not tried has room.
    fn may_go_elsewhere(&self) -> bool {
        let choice = self.select(None);
        choice.is_some_and(|choice| self.lacks_room(&choice, true).is_none())
    }
}
