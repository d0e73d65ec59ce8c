//! One attempt at one back end: its connection, the counts that include it, and what the
//! router learns from it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Response, StatusCode};
use stacktack_core::direct::back_ends::announcement::Announcement;
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::{InstanceId, VanishedInstance};
use stacktack_core::direct::choice::prompt::PromptChain;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_core::direct::traffic::route::Route;
use stacktack_core::direct::work::back_end_work::{FirstEvent, SentWork};
use stacktack_core::response_framing::ResponseFraming;
use stacktack_core::time::Time;

use crate::client::ClientConnection;
use crate::memory::SentBytes;
use crate::ports::{BackEndResponseHead, PauseRequest};
use crate::rollouts::VersionObserver;
use crate::router::Router;
use crate::work::CountedSend;

/// Error response of a back end, kept in case no attempt gets a better one.
pub struct FailedResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Body.
    pub body: Bytes,
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The head of a response that can go to the caller.
    Response(Response<Incoming>, Attempt),
    /// The attempt got no such response.
    Failure(AttemptFailure, Option<FailedResponse>),
    /// No back end could be chosen.
    NoBackEnd,
    /// Admission control refused the request.
    NotAdmitted,
}

/// An attempt in flight. Dropping it closes its connection, which cancels the request at the
/// back end, and removes the attempt from the counts.
pub struct Attempt {
    router: Rc<Router>,
    /// Id of the back end.
    pub back_end: String,
    /// Address of the back end.
    pub address: SocketAddr,
    /// The connection, once the head of the response has arrived.
    pub connection: Option<Box<ClientConnection>>,
    /// How the end of the response is marked, once its head has arrived.
    pub(crate) framing: ResponseFraming,
    slots: u32,
    /// Name of the pool that the back end was chosen from.
    pool: Box<str>,
    /// Load of the back end when it was chosen.
    load: f64,
    /// Version that the back end runs.
    pub(crate) version: Rc<SoftwareVersion>,
    /// Instance of the back end that the request is sent to.
    pub(crate) instance: InstanceId,
    /// Priority of the request at the back end, where 0 is the highest.
    pub(crate) priority: u8,
    /// Whether the request runs on probation.
    pub(crate) on_probation: bool,
    /// Whether the head of a response has arrived.
    is_answered: bool,
    /// When the request was written, as an `Instant`: latencies of the back end then exclude
    /// suspensions of this machine.
    sent_at: Instant,
    /// When the request was written, on the clock of the router.
    written_at: Time,
    idle_timeout_seconds: Option<u64>,
    /// The attempt in the work of its back end, until its first event; `None` in pools that do not
    /// count work.
    counted_send: Option<Box<CountedSend>>,
    /// Counts the attempt for the version of its back end, if the service has a roll-out.
    version_observer: Option<Box<VersionObserver>>,
    /// Bytes of the request, until the back end responds.
    request_bytes: Option<Box<SentBytes>>,
}

impl Attempt {
    /// Counts the attempt at its back end; `None` if the back end is no longer known.
    pub fn begin(
        router: Rc<Router>,
        back_end: &str,
        pool: &str,
        load: f64,
        priority: u8,
    ) -> Option<Self> {
        let now = router.now();
        let (address, slots, instance, version) = {
            let mut back_ends = router.back_ends.borrow_mut();
            let known = back_ends.get_mut(back_end)?;
            known.on_send(now);
            let instance = InstanceId::of(&known.entry);
            let version = Rc::new(SoftwareVersion::of(&known.entry));
            (known.entry.address, known.entry.slots, instance, version)
        };
        Some(Attempt {
            router,
            back_end: back_end.to_owned(),
            address,
            slots,
            pool: pool.into(),
            load,
            version,
            instance,
            priority,
            on_probation: false,
            is_answered: false,
            connection: None,
            framing: ResponseFraming::Close,
            sent_at: Instant::now(),
            written_at: now,
            idle_timeout_seconds: None,
            counted_send: None,
            version_observer: None,
            request_bytes: None,
        })
    }

    /// Makes the outcome of the attempt count for the version of its back end.
    pub(crate) fn observe_version(&mut self, route: &Arc<Route>) {
        self.version_observer =
            VersionObserver::begin(&self.router, &self.back_end, route).map(Box::new);
    }

    /// Puts the attempt on probation: meanwhile its back end gets no other request on probation.
    pub(crate) fn put_on_probation(&mut self) {
        self.on_probation = true;
        self.router
            .back_ends_on_probation
            .borrow_mut()
            .insert(self.back_end.clone());
    }

    /// Counts the work of the request at its back end.
    pub fn count_work(&mut self, sent: SentWork, prompt: &PromptChain) {
        let send = self
            .router
            .begin_work(&self.back_end, &self.pool, sent, prompt);
        self.counted_send = send.map(Box::new);
    }

    /// Called when the response to the caller starts. Only the start of a successful one is a first
    /// event; before any other the back end need not have read the prompt.
    pub fn on_response_start(&mut self, status: StatusCode, response: &BackEndResponseHead) {
        if status.is_success() {
            self.on_first_event(response);
        } else {
            self.end_unread();
        }
    }

    /// Removes the attempt from the work of its back end if it had no first event.
    fn end_unread(&mut self) {
        if let Some(send) = self.counted_send.take() {
            self.with_back_end(|back_end| self.router.end_unread(back_end, &send));
        }
    }

    /// Learns about the work of the back end from the first event of the response.
    fn on_first_event(&mut self, response: &BackEndResponseHead) {
        let Some(send) = self.counted_send.take() else {
            return;
        };
        let event = FirstEvent {
            after: self.sent_at.elapsed(),
            waiting: response.load.map(|load| load.waiting),
            work_time: response.load.and_then(|load| load.work_time),
            at: self.router.now(),
        };
        self.with_back_end(|back_end| {
            self.router
                .on_first_event(back_end, &self.pool, &send, &event);
        });
    }

    /// Counts the bytes of the request at its back end until the head of the response arrives;
    /// false if too many are under way there.
    pub(crate) fn count_request_bytes(&mut self, bytes: usize) -> bool {
        let Some(memory) = self.router.memory.as_ref().filter(|_| bytes > 0) else {
            return true;
        };
        if self.request_bytes.is_none() {
            self.request_bytes = SentBytes::begin(memory, &self.back_end, bytes).map(Box::new);
        }
        self.request_bytes.is_some()
    }

    /// Updates the state of the back end, unless another instance has taken its place.
    fn with_back_end(&self, update: impl FnOnce(&mut BackEnd)) {
        let mut back_ends = self.router.back_ends.borrow_mut();
        let known = back_ends.get_mut(&self.back_end);
        if let Some(back_end) = known.filter(|known| InstanceId::of(&known.entry) == self.instance)
        {
            update(back_end);
        }
    }

    /// Called just before the request is written.
    pub fn on_write(&mut self) {
        self.sent_at = Instant::now();
        let now = self.router.now();
        self.written_at = now;
        let mut contradicted = None;
        self.with_back_end(|back_end| contradicted = back_end.announcements().in_force(now));
        if let Some(announcement) = contradicted {
            self.router.metrics.count_contradicting_send(announcement);
        }
        if let Some(version_observer) = &self.version_observer {
            version_observer.on_write(&self.router);
        }
    }

    /// Called when the head of the response has arrived.
    pub fn on_head(&mut self, response: &BackEndResponseHead) {
        self.request_bytes = None;
        self.is_answered = true;
        self.idle_timeout_seconds = response.keep_alive_seconds;
        let now = self.router.now();
        let after = self.sent_at.elapsed();
        if let Some(version_observer) = &self.version_observer {
            version_observer.on_head(after);
        }
        let is_unreadable = response.load.is_some_and(|load| load.unreadable_work_time);
        if is_unreadable && self.counted_send.is_some() {
            self.on_unreadable_work_time();
        }
        let load = response.load;
        let load = load.map(|load| load.running.saturating_add(load.waiting));
        self.with_back_end(|back_end| {
            back_end.on_answered();
            back_end.on_bytes(now);
            // In pools that count work, a long prompt is no sign of a slow back end.
            if self.counted_send.is_none() {
                back_end.on_first_byte(after);
            }
            if let Some(load) = load {
                back_end.load.on_report(load, now);
            }
        });
    }

    fn on_unreadable_work_time(&self) {
        self.router.metrics.count_unreadable_work_time();
        let mut is_first = false;
        self.with_back_end(|back_end| is_first = back_end.work.on_unreadable_work_time());
        if is_first {
            log::warn!(target: "belief", "back_end={} work_time=unreadable", self.back_end);
        }
    }

    /// Records what the back end announces about itself in the response to request `id`, which is
    /// known to be its own.
    pub(crate) fn on_announcements(
        &self,
        id: &str,
        status: StatusCode,
        response: &BackEndResponseHead,
    ) {
        if response.leaving {
            self.announce(id, status, Announcement::Leaving);
        }
        match &response.pause {
            PauseRequest::Absent => {
                self.with_back_end(|back_end| back_end.on_response_without_pause(self.written_at));
            }
            PauseRequest::For(pause) => self.announce(id, status, Announcement::Pause(*pause)),
            PauseRequest::Unreadable(cause) => log::warn!(
                target: "belief",
                "back_end={} announced=pause taken=false cause={cause:?} status={} id={id}",
                self.back_end,
                status.as_u16(),
            ),
        }
    }

    fn announce(&self, id: &str, status: StatusCode, announcement: Announcement) {
        let now = self.router.now();
        let mut back_ends = self.router.back_ends.borrow_mut();
        let changed = back_ends.announce(
            &self.back_end,
            self.instance,
            announcement,
            self.router.draw_return_delay(),
            now,
        );
        self.router.metrics.count_announcement(announcement);
        if !changed {
            return;
        }
        let pause = match announcement {
            Announcement::Leaving => Duration::ZERO,
            Announcement::Pause(pause) => pause,
        };
        log::info!(
            target: "belief",
            "back_end={} instance={} announced={} pause_ms={} status={} id={id}",
            self.back_end,
            self.instance,
            announcement.as_str(),
            pause.as_millis(),
            status.as_u16(),
        );
    }

    /// Records that the back end accepted the request, or rejected it for lack of capacity.
    pub fn record_acceptance(&self, accepted: bool) {
        let now = self.router.now();
        self.router
            .with_admission(&self.pool, |admission| admission.on_outcome(accepted, now));
    }

    /// Called when the response is complete.
    pub fn on_complete(&self) {
        let after = self.sent_at.elapsed();
        self.router.with_admission(&self.pool, |admission| {
            admission.on_complete_response(after, self.load, self.slots);
        });
    }

    /// Called when bytes of the response have arrived.
    pub fn on_bytes(&self) {
        let now = self.router.now();
        self.with_back_end(|back_end| back_end.on_bytes(now));
    }

    /// Called when the response has started without a failure.
    pub fn on_success(&self) {
        self.record_outcome(false);
    }

    /// Called when the back end has failed the request.
    pub fn on_failure(&self) {
        self.record_outcome(true);
    }

    fn record_outcome(&self, failed: bool) {
        if let Some(version_observer) = &self.version_observer {
            version_observer.on_outcome(&self.router, failed);
        }
        let now = self.router.now();
        let mut change = None;
        self.with_back_end(|back_end| {
            let suspect = back_end.on_outcome(failed, now);
            change = suspect.map(|suspect| (suspect, now.since(back_end.suspect_since())));
        });
        if let Some((suspect, after)) = change {
            log::info!(
                target: "belief",
                "back_end={} suspect={suspect} cause=own_outcomes for_ms={}",
                self.back_end,
                after.as_millis()
            );
        }
    }

    /// Called when the back end could not be reached, or sent nothing in time.
    pub fn on_unreachable(&self) {
        self.on_failure();
        let now = self.router.now();
        let mut ejected = false;
        self.with_back_end(|back_end| ejected = back_end.on_unreachable(now));
        if ejected {
            log::info!(target: "belief", "back_end={} ejected=true cause=unreachable", self.back_end);
        }
    }

    /// Called when another instance answers at the address: the instance that the request was meant
    /// for is gone.
    pub fn on_other_instance(&self) {
        let now = self.router.now();
        self.with_back_end(|back_end| {
            // Two failures in a row eject the back end.
            back_end.on_unreachable(now);
            back_end.on_unreachable(now);
            back_end.on_replaced();
        });
        log::info!(target: "belief", "back_end={} replaced=true cause=other_instance", self.back_end);
        let vanished = VanishedInstance {
            back_end: self.back_end.clone(),
            instance: self.instance,
        };
        self.router.on_vanished(&[vanished]);
    }

    /// Checks the announced length of the response once all of that length was taken. It is in doubt if
    /// the bytes that follow begin no other response, since they may belong to the same body.
    pub(crate) fn check_length(&self) -> Result<(), AttemptFailure> {
        let connection = self.connection.as_ref();
        let has_stray_bytes = connection.is_some_and(|connection| connection.has_stray_bytes());
        let Some(length) = self.framing.length().filter(|_| has_stray_bytes) else {
            return Ok(());
        };
        log::info!(
            target: "attempt",
            "back_end={} invalid_response=true cause=\"stray bytes after the announced length\" length={length}",
            self.back_end,
        );
        Err(AttemptFailure::InvalidResponse)
    }

    /// Called when the response is complete: the connection may be reused.
    pub fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            if connection.is_open() {
                let mut idle_connections = self.router.connections.borrow_mut();
                let now = Instant::now();
                idle_connections.put(
                    self.address,
                    self.slots,
                    *connection,
                    self.idle_timeout_seconds,
                    now,
                );
            }
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(version_observer) = &self.version_observer {
            version_observer.on_drop(&self.router, self.sent_at.elapsed());
        }
        self.end_unread();
        let now = self.router.now();
        if self.on_probation {
            self.router
                .back_ends_on_probation
                .borrow_mut()
                .remove(&self.back_end);
        }
        self.with_back_end(|back_end| {
            if !self.is_answered {
                back_end.on_answered();
            }
            back_end.load.on_end(now);
        });
    }
}
