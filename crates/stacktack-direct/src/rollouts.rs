//! Roll-outs at this router: applies orders and gossip, decides which version a request may be
//! sent to, counts responses by version, and logs the changes.

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
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_core::direct::traffic::route::Route;

use crate::ports::{RefusedOrder, RolloutOrderUpdate};
use crate::router::Router;

/// Maximum number of names whose last refused order is remembered, so that it is logged only once.
/// At that number all are forgotten with the next order, and may be logged again.
const MAX_REFUSED_ORDERS: usize = 64;

impl Router {
    /// Enables roll-outs. Orders are refused while no exposure bound is set.
    pub fn enable_rollouts(&self) -> Result<(), ChartError> {
        let incarnation = self.peers.borrow().incarnation();
        let rollouts = Rollouts::new(incarnation, self.bounds().exposure)?;
        self.rollouts.replace(Some(rollouts));
        Ok(())
    }

    /// Applies the operator's orders, read from the store.
    pub fn apply_rollout_orders(&self, update: &RolloutOrderUpdate) {
        let now = self.now();
        for order in &update.orders {
            let mut rollouts = self.rollouts.borrow_mut();
            let outcome = rollouts
                .as_mut()
                .map(|rollouts| rollouts.apply_order(order, now));
            drop(rollouts);
            if let Some(outcome) = outcome {
                self.on_order_outcome(order, &outcome, "store");
            }
        }
        for refused in &update.refused {
            self.log_refused_order(refused);
        }
    }

    /// Merges the gossip of a peer.
    pub(crate) fn merge_rollout_gossip(&self, gossip: &[RolloutGossip]) {
        if gossip.is_empty() {
            return;
        }
        let now = self.now();
        let merged = {
            let mut rollouts = self.rollouts.borrow_mut();
            let Some(rollouts) = rollouts.as_mut() else {
                return;
            };
            rollouts.merge(gossip, now)
        };
        for (order, outcome) in &merged.0 {
            self.on_order_outcome(order, outcome, "peer");
        }
        self.on_rollout_changes(&merged.1);
    }

    /// Gossip about roll-outs for peers.
    pub(crate) fn rollout_gossip(&self) -> Vec<RolloutGossip> {
        let now = self.now();
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts
            .as_mut()
            .map_or_else(Vec::new, |rollouts| rollouts.gossip(now))
    }

    /// Evaluates the response counts of new versions, and starts the status writes that are due.
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
        self.on_rollout_changes(&changes);
        if !self.due_rollout_writes().is_empty() {
            self.rollout_write_due.notify_one();
        }
    }

    /// Status writes to the store that are due.
    pub fn due_rollout_writes(&self) -> Vec<StatusWrite> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        rollouts
            .as_ref()
            .map_or_else(Vec::new, |rollouts| rollouts.due_writes(now))
    }

    /// Applies the result of a status write.
    pub fn on_rollout_write_result(&self, write: &StatusWrite, result: &StatusWriteResult) {
        let now = self.now();
        let changes = {
            let mut rollouts = self.rollouts.borrow_mut();
            let rollouts = rollouts.as_mut();
            rollouts.map_or_else(Vec::new, |rollouts| {
                rollouts.on_write_result(write, result, now)
            })
        };
        self.on_rollout_changes(&changes);
    }

    /// Service of the back ends of a pool; empty if none is known or labelled.
    pub(crate) fn service_of(&self, pool: &[Requirement]) -> String {
        let back_ends = self.back_ends.borrow();
        let mut members = back_ends
            .iter()
            .filter(|member| matches_all(pool, &member.entry.labels));
        let service = members.find_map(|member| member.entry.service());
        service.unwrap_or_default().to_owned()
    }

    /// Which back ends of a pool a request may be sent to, as far as roll-outs decide.
    pub(crate) fn version_filter(
        &self,
        pool: &[Requirement],
        is_first_attempt: bool,
    ) -> VersionFilter<'static> {
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
        if members().any(|entry| is_alternative(rollouts, service, entry)) {
            VersionFilter::Selected(rollouts.select_version(service, is_first_attempt, self.now()))
        } else {
            VersionFilter::All
        }
    }

    /// Whether a filter allows a back end: its version is selected and not blocked. A back end
    /// without a service is always allowed.
    pub(crate) fn matches_version_filter(
        &self,
        entry: &BackEndEntry,
        filter: VersionFilter<'_>,
    ) -> bool {
        let selection = match filter {
            VersionFilter::All => return true,
            VersionFilter::Selected(selection) => selection,
            VersionFilter::Began(version) if !version.is_run_by(entry) => return false,
            VersionFilter::Began(_) => VersionSelection::Any,
        };
        let rollouts = self.rollouts.borrow();
        let (Some(rollouts), Some(service)) = (rollouts.as_ref(), entry.service()) else {
            return true;
        };
        let version = entry.version();
        rollouts.may_receive_requests(service, version)
            && match selection {
                VersionSelection::Any => true,
                VersionSelection::Old => !rollouts.is_new_version(service, version),
                VersionSelection::New => rollouts.is_new_version(service, version),
            }
    }

    /// Whether the version of a back end is blocked while back ends of another version may receive
    /// requests.
    pub(crate) fn is_version_blocked(&self, entry: &BackEndEntry, back_ends: &BackEnds) -> bool {
        let rollouts = self.rollouts.borrow();
        let rollouts = rollouts.as_ref().filter(|rollouts| !rollouts.is_empty());
        let (Some(rollouts), Some(service)) = (rollouts, entry.service()) else {
            return false;
        };
        let mut others = back_ends.iter().map(|member| &member.entry);
        !rollouts.may_receive_requests(service, entry.version())
            && others.any(|other| {
                other.service() == Some(service) && is_alternative(rollouts, service, other)
            })
    }

    /// Logs the outcome of an order, and pushes an order that has started to peers.
    fn on_order_outcome(&self, order: &RolloutOrder, outcome: &OrderOutcome, source: &'static str) {
        let RolloutOrder {
            service,
            version,
            duration,
            revision,
        } = order;
        let cause = match outcome {
            OrderOutcome::AlreadyKnown => return,
            OrderOutcome::Started => None,
            OrderOutcome::Replaced { version } => {
                log::warn!(
                    target: "rollout",
                    "service={service} version={version} replaced=true by_revision={revision}: its roll-out was undecided, it gets no more requests"
                );
                None
            }
            OrderOutcome::NoExposureBound => Some("no exposure bound is set".to_owned()),
            OrderOutcome::Invalid(error) => Some(error.to_string()),
            OrderOutcome::TooManyServices => Some("too many services have roll-outs".to_owned()),
        };
        if let Some(cause) = cause {
            return self.log_refused_order(&RefusedOrder {
                name: service.clone(),
                revision: *revision,
                cause,
            });
        }
        let count = self.count_back_ends(service, version);
        log::info!(
            target: "rollout",
            "service={service} version={version} ordered=true revision={revision} duration_ms={} source={source} back_ends={count}",
            duration.as_millis(),
        );
        self.push_due.notify_one();
        if count == 0 {
            log::warn!(target: "rollout", "service={service} version={version} known=false: no back end runs this version yet");
        }
    }

    /// Number of back ends of a service that run a version.
    fn count_back_ends(&self, service: &str, version: &str) -> usize {
        let back_ends = self.back_ends.borrow();
        let entries = back_ends.iter().map(|member| &member.entry);
        let of_version =
            |entry: &&BackEndEntry| entry.service() == Some(service) && entry.version() == version;
        entries.filter(of_version).count()
    }

    /// Logs a refused order, once for each revision while it is remembered.
    fn log_refused_order(&self, refused: &RefusedOrder) {
        let mut known = self.refused_rollout_orders.borrow_mut();
        let is_known = known
            .get(&refused.name)
            .is_some_and(|revision| *revision >= refused.revision);
        if is_known {
            return;
        }
        if known.len() >= MAX_REFUSED_ORDERS {
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

    /// Logs changes of roll-outs, and pushes the urgent and the final ones to peers.
    fn on_rollout_changes(&self, changes: &[RolloutChange]) {
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

/// Which back ends of a pool a request may be sent to, as far as their versions decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionFilter<'a> {
    /// All: there is no roll-out, no back end of the pool names a service, or no back end of
    /// another version than the new one may receive requests.
    All,
    /// Those whose version is selected.
    Selected(VersionSelection),
    /// Those of the version that began the stream that goes on, unless it is blocked.
    Began(&'a SoftwareVersion),
}

/// Whether a back end runs another version than the new one and may receive requests.
fn is_alternative(rollouts: &Rollouts, service: &str, entry: &BackEndEntry) -> bool {
    let version = entry.version();
    !rollouts.is_new_version(service, version) && rollouts.may_receive_requests(service, version)
}

/// Counts one attempt in the roll-out of its back end's service.
pub(crate) struct VersionObserver {
    service: String,
    version: String,
    route: Arc<Route>,
    is_new: bool,
    /// Time to the response head, once that has arrived.
    time_to_head: Cell<Duration>,
    /// Whether the outcome is counted.
    is_counted: Cell<bool>,
}

/// Time, in latency objectives, from which an attempt that is dropped without a counted outcome
/// counts as a response; its latency is the time so far.
const MIN_DROPPED_OBJECTIVES: u32 = 2;

impl VersionObserver {
    /// Observes an attempt at a back end; `None` if its service has no roll-out. An attempt at the
    /// new version counts as sent from now on.
    pub(crate) fn begin(router: &Router, back_end: &str, route: &Arc<Route>) -> Option<Self> {
        let mut rollouts = router.rollouts.borrow_mut();
        let rollouts = rollouts.as_mut().filter(|rollouts| !rollouts.is_empty())?;
        let back_ends = router.back_ends.borrow();
        let entry = &back_ends.get(back_end)?.entry;
        let service = entry.service()?;
        rollouts.state(service)?;
        let observer = VersionObserver {
            service: service.to_owned(),
            version: entry.version().to_owned(),
            route: route.clone(),
            is_new: rollouts.is_new_version(service, entry.version()),
            time_to_head: Cell::default(),
            is_counted: Cell::new(false),
        };
        if observer.is_new {
            rollouts.on_send(&observer.service, &observer.version);
        }
        Some(observer)
    }

    /// The request is about to be written. Attempts at other versions count as sent only now.
    pub(crate) fn on_write(&self, router: &Router) {
        if !self.is_new {
            if let Some(rollouts) = router.rollouts.borrow_mut().as_mut() {
                rollouts.on_send(&self.service, &self.version);
            }
        }
    }

    /// The response head arrived; `after` is the time since the request was written.
    pub(crate) fn on_head(&self, after: Duration) {
        self.time_to_head.set(after);
    }

    /// The attempt failed, or its response began successfully.
    pub(crate) fn on_outcome(&self, router: &Router, failed: bool) {
        self.count_response(router, (!failed).then_some(self.time_to_head.get()));
    }

    /// Counts a response by its latency; `None` for a failure.
    fn count_response(&self, router: &Router, latency: Option<Duration>) {
        self.is_counted.set(true);
        let target = LatencyTarget {
            objective: self.route.objective,
            needs_prefill: self.route.kind.is_stream(),
        };
        if let Some(rollouts) = router.rollouts.borrow_mut().as_mut() {
            rollouts.on_response(
                &self.service,
                &self.version,
                &self.route.name,
                latency,
                target,
            );
        }
    }

    /// The attempt is dropped; `after` is the time since its request was written. If that is at
    /// least [`MIN_DROPPED_OBJECTIVES`] and no outcome was counted, it counts as the latency.
    pub(crate) fn on_drop(&self, router: &Router, after: Duration) {
        if !self.is_counted.get() && after >= self.route.objective * MIN_DROPPED_OBJECTIVES {
            self.count_response(router, Some(after));
        }
    }
}
