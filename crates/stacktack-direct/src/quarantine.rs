//! Requests that end back ends: how this router treats them, and what it says of that.

use bytes::Bytes;
use hyper::http::request;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::quarantine::digest::{RequestDigest, RequestIdentity};
use stacktack_core::direct::quarantine::probation::select_for_probation;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::TreatmentChange;
use stacktack_core::direct::traffic::route::Tenant;

use crate::candidates::Candidates;
use crate::choice::Choice;
use crate::exchange::Exchange;
use crate::router::Router;

/// A back end whose load is above this multiple of the mean, and this many requests, gets
/// nobody who is only watched: below the load bound with room for what is on its way.
const WATCHED_LOAD_FACTOR: f64 = 1.2;
const WATCHED_LOAD_SLACK: f64 = 2.0;

/// Which request a head, a body and a caller make.
pub(crate) fn digest_of(
    head: &request::Parts,
    body: &Bytes,
    tenant: Option<&Tenant>,
) -> RequestDigest {
    let host = head.headers.get(hyper::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let target = head.uri.path_and_query();
    RequestDigest::of(&RequestIdentity {
        caller: tenant.map_or("", |tenant| tenant.name.as_str()),
        method: head.method.as_str(),
        host: &host.to_ascii_lowercase(),
        target: target.map_or("/", |target| target.as_str()),
        body,
    })
}

impl Router {
    /// How a request is to be treated. It is not even told apart from others while nothing
    /// speaks against any: a digest of 100 kB takes 0.08 ms (release build, mean of 200).
    pub(crate) fn treatment(&self, digest: impl FnOnce() -> RequestDigest) -> Treatment {
        if self.quarantine.borrow().is_empty() {
            return Treatment::Usual;
        }
        let digest = digest();
        let now = self.now();
        self.quarantine.borrow_mut().treatment(digest, now)
    }

    /// Says that a request is treated otherwise from now on, and by whose word.
    pub(crate) fn note_treatment(&self, change: Option<TreatmentChange>, source: &'static str) {
        let Some(change) = change else {
            return;
        };
        // That others watch a request changes little here, and there may be dozens for each end.
        let matters = change.after.max(change.before) > Treatment::Watched;
        let level = match source == "peer" && !matters {
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
        if matters {
            let quarantine = self.quarantine.borrow();
            self.metrics.record_quarantine(
                quarantine.on_probation_count(),
                quarantine.set_aside_count(),
            );
        }
        if change.after == Treatment::SetAside {
            self.verdicts.send_modify(|verdicts| *verdicts += 1);
        }
    }

    /// Waits until a request is set aside.
    pub(crate) async fn until_set_aside(&self, digest: RequestDigest) {
        let mut verdicts = self.verdicts.subscribe();
        while self.treatment(|| digest) != Treatment::SetAside {
            if verdicts.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

impl Exchange {
    /// Which request it is, whatever id this try of it has.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self
            .digest
            .get_or_init(|| digest_of(&self.head, &self.body, self.tenant.as_deref()))
    }

    /// How it is to be treated now.
    pub(crate) fn treatment(&self) -> Treatment {
        self.router.treatment(|| self.digest())
    }

    /// A back end ran it to an end and lives: whatever ended under it was not its doing.
    pub(crate) fn note_good_run(&self) {
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
        self.router.note_treatment(change, "good_run");
    }

    /// The back end for a request on probation; `None` while none that may take it can.
    pub(crate) fn select_for_probation(&self, treatment: Treatment) -> Option<Choice> {
        let router = &self.router;
        // With those that were tried: the digest names its back ends among all of the pool.
        let candidates = router.candidates(self.pool(), &[], self.retryability(), None);
        let mean = candidates.mean_load();
        let most = WATCHED_LOAD_FACTOR * mean + WATCHED_LOAD_SLACK;
        let chosen = select_for_probation(&candidates.list, self.digest(), |candidate| {
            let id = &candidates.ids[candidate.index];
            self.is_free_for_probation(id)
                && (treatment == Treatment::Probation || candidate.load <= most)
        })?;
        Some(self.probation_choice(&candidates, chosen.index, mean))
    }

    /// Whether a back end was not tried yet, runs no other suspect and did not end just now.
    fn is_free_for_probation(&self, back_end: &str) -> bool {
        let router = &self.router;
        let back_ends = router.back_ends.borrow();
        let life = back_ends
            .get(back_end)
            .map(|known| InstanceId::of(&known.entry));
        let has_ended = life.is_some_and(|life| router.broken_runs.borrow().has_ended(life));
        let is_tried = self.tried.iter().any(|tried| tried == back_end);
        !has_ended && !is_tried && !router.probations.borrow().contains(back_end)
    }

    fn probation_choice(&self, candidates: &Candidates, index: usize, mean: f64) -> Choice {
        let candidate = &candidates.list[index];
        let back_end = candidates.ids[index].clone();
        Choice::for_probation(candidate, mean, self.router.load_age(&back_end), back_end)
    }
}
