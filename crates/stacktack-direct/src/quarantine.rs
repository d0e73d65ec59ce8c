//! Quarantine at this router: how requests are treated under which back ends crashed.

use std::rc::Rc;

use bytes::Bytes;
use hyper::http::request;
use hyper::StatusCode;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::quarantine::digest::{RequestIdentity, SuspectDigest};
use stacktack_core::direct::quarantine::probation::select_for_probation;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::suspects::{suspect_parts, SuspectPart};
use stacktack_core::direct::quarantine::TreatmentChange;
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_core::direct::traffic::route::Tenant;

use crate::candidates::Candidates;
use crate::choice::Choice;
use crate::exchange::Exchange;
use crate::router::{pool_name, Router};

/// Multiple of the mean load which, with [`WATCHED_SLACK_REQUESTS`] added, bounds the load up to
/// which a back end gets watched requests. This stays below the load bound, with room for requests
/// that are on their way.
const WATCHED_LOAD_FACTOR: f64 = 1.2;

/// Requests that are added to the multiple of the mean load.
const WATCHED_SLACK_REQUESTS: f64 = 2.0;

/// Digest that identifies a request by its head, its body and its caller.
pub(crate) fn request_digest(
    head: &request::Parts,
    body: &Bytes,
    tenant: Option<&Tenant>,
) -> SuspectDigest {
    let host = head.headers.get(hyper::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let target = head.uri.path_and_query();
    SuspectDigest::of_request(&RequestIdentity {
        caller: tenant.map_or("", |tenant| tenant.name.as_str()),
        method: head.method.as_str(),
        host: &host.to_ascii_lowercase(),
        target: target.map_or("/", |target| target.as_str()),
        body,
    })
}

impl Router {
    /// How a request is to be treated. Its digest is not computed while the quarantine is empty: a
    /// digest of 100 kB takes 0.08 ms.
    pub(crate) fn treatment(&self, digest: impl FnOnce() -> SuspectDigest) -> Treatment {
        if self.quarantine.borrow().is_empty() {
            return Treatment::Usual;
        }
        let digest = digest();
        let now = self.now();
        self.quarantine.borrow_mut().treatment(digest, now)
    }

    /// Logs a change of treatment and updates the metrics; `source` is a fixed word for what caused
    /// the change. Wakes requests in flight when one is set aside.
    pub(crate) fn on_treatment_change(
        &self,
        change: Option<TreatmentChange>,
        source: &'static str,
    ) {
        let Some(change) = change else {
            return;
        };
        // Requests that a peer only watches change little here, and one crash may add dozens.
        let is_serious = change.after.max(change.before) > Treatment::Watched;
        let level = match source == "peer" && !is_serious {
            true => log::Level::Debug,
            false => log::Level::Info,
        };
        log::log!(
            target: "quarantine",
            level,
            "request={} treatment={} before={} deaths={} on_probation={} source={source}",
            change.digest,
            change.after.as_str(),
            change.before.as_str(),
            change.crashes,
            change.probation_crashes,
        );
        if is_serious {
            let quarantine = self.quarantine.borrow();
            self.metrics.record_quarantine(
                quarantine.on_probation_count(),
                quarantine.set_aside_count(),
            );
        }
        if change.after == Treatment::SetAside {
            self.verdict_count.send_modify(|count| *count += 1);
        }
    }

    /// Waits until a request is set aside.
    pub(crate) async fn until_set_aside(&self, digest: SuspectDigest) {
        let mut verdict_count = self.verdict_count.subscribe();
        while self.treatment(|| digest) != Treatment::SetAside {
            if verdict_count.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

impl Exchange {
    /// Digest that identifies the request, whatever id this try of it has.
    pub(crate) fn digest(&self) -> SuspectDigest {
        *self
            .digest
            .get_or_init(|| request_digest(&self.head, self.body.bytes(), self.tenant.as_deref()))
    }

    /// How the request is to be treated now.
    pub(crate) fn treatment(&self) -> Treatment {
        self.router.treatment(|| self.digest())
    }

    /// Parts of the prompt that may be blamed for a crash.
    pub(crate) fn suspect_parts(&self) -> Rc<[SuspectPart]> {
        let parts = &self.suspect_parts;
        parts
            .get_or_init(|| suspect_parts(&self.caller.prompt, pool_name(self.pool())))
            .clone()
    }

    /// A back end of a version completed the request, with a status, without crashing: the request
    /// did not cause the crashes that are recorded against it.
    pub(crate) fn on_successful_run(&self, version: &SoftwareVersion, status: StatusCode) {
        if status.is_success() {
            let parts = self.suspect_parts();
            let mut quarantine = self.router.quarantine.borrow_mut();
            quarantine.on_complete_response(&parts, version.hash());
        }
        if self.router.quarantine.borrow().is_empty() {
            return;
        }
        let now = self.router.now();
        let digest = self.digest();
        let change = self
            .router
            .quarantine
            .borrow_mut()
            .on_successful_run(digest, now);
        self.router.on_treatment_change(change, "good_run");
    }

    /// The back end for a request on probation, or for a watched one; `None` while no back end that
    /// its digest selects can take it.
    pub(crate) fn select_for_probation(&self, treatment: Treatment) -> Option<Choice> {
        let router = &self.router;
        // Includes back ends that were tried: the digest selects among all of the pool.
        let began_at = self.began_at.as_deref();
        let candidates = router.candidates(self.pool(), &[], self.retryability(), None, began_at);
        let mean = candidates.mean_load();
        let max_watched_load = WATCHED_LOAD_FACTOR * mean + WATCHED_SLACK_REQUESTS;
        let chosen = select_for_probation(&candidates.list, self.digest(), |candidate| {
            let id = &candidates.ids[candidate.index];
            self.is_free_for_probation(id)
                && (treatment == Treatment::Probation || candidate.load <= max_watched_load)
        })?;
        Some(self.probation_choice(&candidates, chosen.index, mean))
    }

    /// Whether a back end was not tried yet, runs no other request on probation and has not just
    /// crashed.
    fn is_free_for_probation(&self, back_end: &str) -> bool {
        let router = &self.router;
        let back_ends = router.back_ends.borrow();
        let instance = back_ends
            .get(back_end)
            .map(|known| InstanceId::of(&known.entry));
        let has_crashed =
            instance.is_some_and(|instance| router.interrupted_runs.borrow().has_ended(instance));
        let is_tried = self.tried.iter().any(|tried| tried == back_end);
        !has_crashed && !is_tried && !router.back_ends_on_probation.borrow().contains(back_end)
    }

    fn probation_choice(&self, candidates: &Candidates, index: usize, mean: f64) -> Choice {
        let candidate = &candidates.list[index];
        let back_end = candidates.ids[index].clone();
        let work = self
            .router
            .estimate_work(self.pool(), &self.caller, &candidates.ids);
        Choice {
            work: work.get(index).copied(),
            ..Choice::for_probation(candidate, mean, self.router.load_age(&back_end), back_end)
        }
    }
}
