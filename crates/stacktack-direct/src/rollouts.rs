//! Roll-outs at this router: what it takes and tells, which version a request may go to, how
//! answers are counted, and what it says of all that.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::chart::ChartError;
use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::back_ends::directory::BackEndEntry;
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::rollout::gossip::RolloutGossip;
use stacktack_core::direct::rollout::latency::LatencyTarget;
use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::status::{write_rank, StatusWrite, StatusWriteResult};
use stacktack_core::direct::rollout::{OrderOutcome, RolloutChange, Rollouts, VersionSelection};
use stacktack_core::direct::traffic::route::Route;

use crate::ports::{RefusedOrder, RolloutOrderUpdate};
use crate::router::Router;

/// Names of refused orders that are remembered, so that each is logged once.
const MOST_REFUSED: usize = 64;

impl Router {
    /// Serves roll-outs from now on, where a bound is set.
    pub fn enable_rollouts(&self) -> Result<(), ChartError> {
        let incarnation = self.peers.borrow().incarnation();
        let rollouts = Rollouts::new(incarnation, self.bounds().exposure)?;
        self.rollouts.replace(Some(rollouts));
        Ok(())
    }

    /// Takes what the operator ordered.
    pub fn apply_rollout_orders(&self, news: &RolloutOrderUpdate) {
        let now = self.now();
        for order in &news.orders {
            let mut rollouts = self.rollouts.borrow_mut();
            let end = rollouts
                .as_mut()
                .map(|rollouts| rollouts.apply_order(order, now));
            drop(rollouts);
            if let Some(end) = end {
                self.note_order(order, &end, "store");
            }
        }
        for refused in &news.refused {
            self.note_refused(refused);
        }
    }

    /// Takes what a peer tells.
    pub(crate) fn merge_rollout_gossip(&self, news: &[RolloutGossip]) {
        if news.is_empty() {
            return;
        }
        let now = self.now();
        let taken = {
            let mut rollouts = self.rollouts.borrow_mut();
            let Some(rollouts) = rollouts.as_mut() else {
                return;
            };
            rollouts.merge(news, now)
        };
        for (order, end) in &taken.0 {
            self.note_order(order, end, "peer");
        }
        self.note_rollout_changes(&taken.1);
    }

    /// What to tell peers.
    pub(crate) fn rollout_gossip(&self) -> Vec<RolloutGossip> {
        let now = self.now();
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts
            .as_mut()
            .map_or_else(Vec::new, |rollouts| rollouts.gossip(now))
    }

    /// Judges what is known of versions that are rolled out.
    pub fn evaluate_rollouts(&self) {
        let now = self.now();
        let changes = {
            let mut rollouts = self.rollouts.borrow_mut();
            let Some(rollouts) = rollouts.as_mut() else {
                return;
            };
            let rank = match rollouts.is_empty() {
                true => 0,
                false => write_rank(self.settings.peers.listen, self.peers.borrow().addresses()),
            };
            rollouts.configure(self.bounds().exposure, rank);
            rollouts.tick(now)
        };
        self.note_rollout_changes(&changes);
        if !self.due_rollout_writes().is_empty() {
            self.rollout_write_due.notify_one();
        }
    }

    /// Writes to the store that are due.
    pub fn due_rollout_writes(&self) -> Vec<StatusWrite> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        rollouts
            .as_ref()
            .map_or_else(Vec::new, |rollouts| rollouts.due_writes(now))
    }

    /// A write to the store ended.
    pub fn on_rollout_write_result(&self, write: &StatusWrite, end: &StatusWriteResult) {
        let now = self.now();
        let changes = {
            let mut rollouts = self.rollouts.borrow_mut();
            let rollouts = rollouts.as_mut();
            rollouts.map_or_else(Vec::new, |rollouts| {
                rollouts.on_write_result(write, end, now)
            })
        };
        self.note_rollout_changes(&changes);
    }

    /// Which back ends of a pool a request may go to.
    pub(crate) fn version_filter(&self, pool: &[Requirement], is_first_try: bool) -> VersionFilter {
        let rollouts = self.rollouts.borrow();
        let Some(rollouts) = rollouts.as_ref().filter(|rollouts| !rollouts.is_empty()) else {
            return VersionFilter::All;
        };
        let back_ends = self.back_ends.borrow();
        let members = || {
            let all = back_ends.iter().map(|member| &member.entry);
            all.filter(|entry| matches_all(pool, &entry.labels))
        };
        let Some(service) = members().find_map(BackEndEntry::service) else {
            return VersionFilter::All;
        };
        if members().any(|entry| is_other(rollouts, service, entry)) {
            VersionFilter::Selected(rollouts.select_version(service, is_first_try, self.now()))
        } else {
            VersionFilter::All
        }
    }

    /// Whether a back end may get a request that makes such a choice.
    pub(crate) fn matches_version_filter(
        &self,
        entry: &BackEndEntry,
        choice: VersionFilter,
    ) -> bool {
        let VersionFilter::Selected(side) = choice else {
            return true;
        };
        let rollouts = self.rollouts.borrow();
        let (Some(rollouts), Some(service)) = (rollouts.as_ref(), entry.service()) else {
            return true;
        };
        let version = entry.version();
        rollouts.may_receive_requests(service, version)
            && match side {
                VersionSelection::Any => true,
                VersionSelection::Old => !rollouts.is_new_version(service, version),
                VersionSelection::New => rollouts.is_new_version(service, version),
            }
    }

    /// Whether the version of a back end is to get nothing, while another one is there.
    pub(crate) fn is_version_blocked(&self, entry: &BackEndEntry, back_ends: &BackEnds) -> bool {
        let rollouts = self.rollouts.borrow();
        let rollouts = rollouts.as_ref().filter(|rollouts| !rollouts.is_empty());
        let (Some(rollouts), Some(service)) = (rollouts, entry.service()) else {
            return false;
        };
        let mut others = back_ends.iter().map(|member| &member.entry);
        !rollouts.may_receive_requests(service, entry.version())
            && others
                .any(|other| other.service() == Some(service) && is_other(rollouts, service, other))
    }

    fn note_order(&self, order: &RolloutOrder, end: &OrderOutcome, source: &'static str) {
        let RolloutOrder {
            service,
            version,
            duration,
            revision,
        } = order;
        let cause = match end {
            OrderOutcome::AlreadyKnown => return,
            OrderOutcome::Started => None,
            OrderOutcome::Replaced { version } => {
                log::warn!(
                    target: "rollout",
                    "service={service} version={version} replaced=true by_revision={revision}: its outcome was open, it gets nothing"
                );
                None
            }
            OrderOutcome::NoExposureBound => Some("no bound of exposure is set".to_owned()),
            OrderOutcome::Invalid(error) => Some(error.to_string()),
            OrderOutcome::TooManyServices => Some("too many services have roll-outs".to_owned()),
        };
        if let Some(cause) = cause {
            return self.note_refused(&RefusedOrder {
                name: service.clone(),
                revision: *revision,
                cause,
            });
        }
        let count = self.running_version(service, version);
        log::info!(
            target: "rollout",
            "service={service} version={version} ordered=true revision={revision} duration_ms={} source={source} back_ends={count}",
            duration.as_millis(),
        );
        self.push_due.notify_one();
        if count == 0 {
            log::warn!(target: "rollout", "service={service} version={version} known=false: no back end runs it yet");
        }
    }

    /// Back ends of a service that run a version.
    fn running_version(&self, service: &str, version: &str) -> usize {
        let back_ends = self.back_ends.borrow();
        let entries = back_ends.iter().map(|member| &member.entry);
        let of_version =
            |entry: &&BackEndEntry| entry.service() == Some(service) && entry.version() == version;
        entries.filter(of_version).count()
    }

    /// Says once that an order cannot be taken.
    fn note_refused(&self, refused: &RefusedOrder) {
        let mut known = self.refused_rollout_orders.borrow_mut();
        let is_known = known
            .get(&refused.name)
            .is_some_and(|revision| *revision >= refused.revision);
        if is_known {
            return;
        }
        if known.len() >= MOST_REFUSED {
            known.clear();
        }
        known.insert(refused.name.clone(), refused.revision);
        log::warn!(
            target: "rollout",
            "service={} ordered=false revision={} cause=\"{}\"",
            refused.name,
            refused.revision,
            refused.cause,
        );
    }

    fn note_rollout_changes(&self, changes: &[RolloutChange]) {
        for change in changes {
            log::info!(
                target: "rollout",
                "service={} version={} state={} before={} cause={} answers={} failed={} slow={} own_requests={} own_exposed={}",
                change.service,
                change.version,
                change.current.as_str(),
                change.previous.as_str(),
                change.cause.as_str(),
                change.counts.responses,
                change.counts.failed,
                change.counts.slow,
                change.requests,
                change.exposed,
            );
            if change.is_urgent || change.current.is_decided() {
                self.push_due.notify_one();
            }
        }
    }
}

/// Which back ends of a pool a request may go to, as far as versions decide that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionFilter {
    /// All: there is no roll-out, or no other version to go to.
    All,
    /// Those of one side of a roll-out.
    Selected(VersionSelection),
}

/// Whether a back end is of another version than the one that is rolled out, and may get
/// requests.
fn is_other(rollouts: &Rollouts, service: &str, entry: &BackEndEntry) -> bool {
    let version = entry.version();
    !rollouts.is_new_version(service, version) && rollouts.may_receive_requests(service, version)
}

/// What one attempt tells of the version of its back end.
pub(crate) struct VersionObserver {
    service: String,
    version: String,
    route: Arc<Route>,
    is_new: bool,
    /// Time to the head of the answer, once that is there.
    head_after: Cell<Duration>,
    is_counted: Cell<bool>,
}

/// Objectives after which an attempt that was dropped without an answer counts as slow.
const DROPPED_OBJECTIVES: u32 = 2;

impl VersionObserver {
    /// For an attempt at a back end; `None` where its service has no roll-out.
    pub(crate) fn begin(router: &Router, back_end: &str, route: &Arc<Route>) -> Option<Self> {
        let mut rollouts = router.rollouts.borrow_mut();
        let rollouts = rollouts.as_mut().filter(|rollouts| !rollouts.is_empty())?;
        let back_ends = router.back_ends.borrow();
        let entry = &back_ends.get(back_end)?.entry;
        let service = entry.service()?;
        rollouts.state(service)?;
        let watch = VersionObserver {
            service: service.to_owned(),
            version: entry.version().to_owned(),
            route: route.clone(),
            is_new: rollouts.is_new_version(service, entry.version()),
            head_after: Cell::default(),
            is_counted: Cell::new(false),
        };
        if watch.is_new {
            rollouts.on_send(&watch.service, &watch.version);
        }
        Some(watch)
    }

    /// The request is about to be written: requests to other versions count only then.
    pub(crate) fn on_write(&self, router: &Router) {
        if !self.is_new {
            if let Some(rollouts) = router.rollouts.borrow_mut().as_mut() {
                rollouts.on_send(&self.service, &self.version);
            }
        }
    }

    /// The head of an answer came after a time.
    pub(crate) fn on_head(&self, after: Duration) {
        self.head_after.set(after);
    }

    /// It failed, or its answer began well.
    pub(crate) fn on_outcome(&self, router: &Router, failed: bool) {
        self.on_answer(router, (!failed).then_some(self.head_after.get()));
    }

    fn on_answer(&self, router: &Router, took: Option<Duration>) {
        self.is_counted.set(true);
        let wanted = LatencyTarget {
            objective: self.route.objective,
            needs_prefill: self.route.kind.is_stream(),
        };
        if let Some(rollouts) = router.rollouts.borrow_mut().as_mut() {
            rollouts.on_response(&self.service, &self.version, &self.route.name, took, wanted);
        }
    }

    /// It is dropped so long after it was written: without an answer it was slow.
    pub(crate) fn on_drop(&self, router: &Router, after: Duration) {
        if !self.is_counted.get() && after >= self.route.objective * DROPPED_OBJECTIVES {
            self.on_answer(router, Some(after));
        }
    }
}
