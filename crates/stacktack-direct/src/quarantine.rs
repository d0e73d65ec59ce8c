//! Quarantine at this router: how requests are treated that back ends crashed under, or whose parts
//! they crashed under.

use bytes::Bytes;
use hyper::http::request;
use hyper::StatusCode;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::quarantine::digest::{RequestIdentity, SuspectDigest};
use stacktack_core::direct::quarantine::probation::select_for_probation;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::suspects::{suspect_parts, CallerHash, Suspects};
use stacktack_core::direct::quarantine::{Assessment, TreatmentChange};
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::stream_versions::software_version::VersionHash;
use stacktack_core::direct::traffic::route::Tenant;
use stacktack_core::response_framing::ResponseFraming;

use crate::attempt::Attempt;
use crate::candidates::Candidates;
use crate::choice::Choice;
use crate::crash_detection::ProbeResult;
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

/// Short form of the caller's name.
pub(crate) fn caller_hash(tenant: Option<&Tenant>) -> CallerHash {
    CallerHash::of(tenant.map_or("", |tenant| tenant.name.as_str()))
}

impl Router {
    /// How a request is to be treated. Its suspects are not computed while the quarantine is empty:
    /// the digest of a request of 100 kB takes 0.08 ms.
    pub(crate) fn assess(&self, suspects: impl FnOnce() -> Suspects) -> Assessment {
        if self.quarantine.borrow().is_empty() {
            return Assessment::USUAL;
        }
        let suspects = suspects();
        let now = self.now();
        self.quarantine.borrow_mut().assess(&suspects, now)
    }

    /// Logs changes of treatment and updates the metrics; `source` is a fixed word for what caused
    /// the changes. Wakes requests in flight if a verdict changed.
    pub(crate) fn on_treatment_changes(&self, changes: &[TreatmentChange], source: &'static str) {
        for change in changes {
            self.on_treatment_change(change, source);
        }
        let verdict_changes = self.quarantine.borrow().verdict_changes();
        self.verdict_changes.send_if_modified(|known| {
            let is_new = *known != verdict_changes;
            *known = verdict_changes;
            is_new
        });
    }

    fn on_treatment_change(&self, change: &TreatmentChange, source: &'static str) {
        // Requests that a peer only watches change little here, and one crash may add dozens.
        let is_serious = change.after.max(change.before) > Treatment::Watched;
        let level = match source == "peer" && !is_serious {
            true => log::Level::Debug,
            false => log::Level::Info,
        };
        log::log!(
            target: "quarantine",
            level,
            "{}={} treatment={} before={} deaths={} on_probation={} source={source}",
            if change.is_part { "part" } else { "request" },
            change.digest,
            change.after.as_str(),
            change.before.as_str(),
            change.crashes,
            change.probation_crashes,
        );
        if is_serious {
            self.metrics.record_quarantine(&self.quarantine.borrow());
        }
        if change.is_part && source != "peer" {
            // The part may be on many requests at all routers at this moment.
            self.push_due.notify_one();
        }
    }

    /// Waits until a request with these suspects is set aside.
    pub(crate) async fn until_set_aside(&self, suspects: Suspects) {
        let mut verdict_changes = self.verdict_changes.subscribe();
        let is_set_aside = || {
            let now = self.now();
            let assessment = self.quarantine.borrow_mut().assess(&suspects, now);
            assessment.treatment == Treatment::SetAside
        };
        while !is_set_aside() {
            if verdict_changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// A run that a back end completed.
struct CompleteRun {
    suspects: Suspects,
    version: VersionHash,
    /// Whether the back end generated a response.
    is_success: bool,
}

impl Router {
    /// Clears the suspects of a complete run.
    fn on_complete_run(&self, run: &CompleteRun) {
        let now = self.now();
        let mut changes = Vec::new();
        let mut quarantine = self.quarantine.borrow_mut();
        if run.is_success {
            changes = quarantine.on_complete_response(&run.suspects.parts, run.version, now);
        }
        if let Some(request) = run.suspects.request {
            changes.extend(quarantine.on_successful_run(request, now));
        }
        drop(quarantine);
        self.on_treatment_changes(&changes, "good_run");
    }
}

impl Exchange {
    /// What may be blamed if a back end crashes while it runs the request.
    pub(crate) fn suspects(&self) -> Suspects {
        Suspects {
            request: Some(self.digest()),
            ..self.prompt_suspects()
        }
    }

    /// What may be blamed of the request's prompt.
    pub(crate) fn prompt_suspects(&self) -> Suspects {
        let parts = &self.suspect_parts;
        let parts =
            parts.get_or_init(|| suspect_parts(&self.caller.prompt, pool_name(self.pool())));
        Suspects {
            request: None,
            parts: parts.clone(),
            caller: caller_hash(self.tenant.as_deref()),
        }
    }

    /// Digest that identifies the request, whatever id this try of it has.
    pub(crate) fn digest(&self) -> SuspectDigest {
        *self
            .digest
            .get_or_init(|| request_digest(&self.head, self.body.bytes(), self.tenant.as_deref()))
    }

    /// How the request is to be treated now, and why.
    pub(crate) fn assess(&self) -> Assessment {
        self.router.assess(|| self.suspects())
    }

    /// How the request is to be treated now.
    pub(crate) fn treatment(&self) -> Treatment {
        self.assess().treatment
    }

    /// A back end completed the request, with a status, without crashing: neither the request nor, if
    /// the back end generated a response, its prompt parts caused the crashes that are recorded
    /// against them. A server error proves neither: it may mean that the deadline passed in the back
    /// end's queue. Where only the end of the connection marks the end of the response, the back end
    /// may have crashed, which is checked if anything is still to be proven.
    pub(crate) fn on_successful_run(&self, attempt: &Attempt, status: StatusCode) {
        if status.is_server_error() {
            return;
        }
        let suspects = match self.router.quarantine.borrow().is_empty() {
            true => self.prompt_suspects(),
            false => self.suspects(),
        };
        let run = CompleteRun {
            suspects,
            version: attempt.version.hash(),
            is_success: status.is_success(),
        };
        let is_conclusive = attempt.framing != ResponseFraming::Close;
        if is_conclusive
            || !self
                .router
                .quarantine
                .borrow()
                .needs_proof(&run.suspects, run.version)
        {
            self.router.on_complete_run(&run);
            return;
        }
        let Some(probe) = self.record_interrupted_run(attempt, AttemptFailure::Broken) else {
            return;
        };
        let (router, instance, id) = (self.router.clone(), attempt.instance, self.id.clone());
        actix_rt::spawn(async move {
            if probe.await == ProbeResult::Accepts {
                router.interrupted_runs.borrow_mut().remove(instance, &id);
                router.on_complete_run(&run);
            }
        });
    }

    /// The back end for a request on probation, or for a watched one; `None` while no back end that
    /// the digest of its suspect selects can take it.
    pub(crate) fn select_for_probation(&self, assessment: Assessment) -> Option<Choice> {
        let suspect = assessment.suspect?;
        let router = &self.router;
        // Includes back ends that were tried: the digest selects among all of the pool.
        let began_at = self.began_at.as_deref();
        let candidates = router.candidates(self.pool(), &[], self.trial_terms(), None, began_at);
        let mean = candidates.pool.mean_load();
        let max_watched_load = WATCHED_LOAD_FACTOR * mean + WATCHED_SLACK_REQUESTS;
        let chosen = select_for_probation(&candidates.pool.list, suspect, |candidate| {
            let id = &candidates.ids[candidate.index];
            self.is_free_for_probation(id)
                && (assessment.treatment == Treatment::Probation
                    || candidate.load <= max_watched_load)
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
        let candidate = &candidates.pool.list[index];
        let back_end = candidates.ids[index].clone();
        let work = self
            .router
            .estimate_work(self.pool(), &self.caller, &candidates.ids);
        Choice {
            work: work.get(index).copied(),
            ..Choice::for_probation(candidate, mean, self.router.known_load(&back_end), back_end)
        }
    }
}
