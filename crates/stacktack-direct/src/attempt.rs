//! One attempt at one back end: its connection and its place in the counts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::Response;
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::{InstanceId, VanishedInstance};
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::traffic::route::Route;

use crate::client::ClientConnection;
use crate::ports::BackEndResponseHead;
use crate::rollouts::VersionObserver;
use crate::router::Router;

/// A failed answer of a back end, kept in case no better one comes.
pub struct FailedResponse {
    /// Head.
    pub head: response::Parts,
    /// Body.
    pub body: Bytes,
}

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The head of an answer that can go to the caller.
    Answer(Response<Incoming>, Attempt),
    /// No such answer.
    Failure(AttemptFailure, Option<FailedResponse>),
    /// There was nobody to ask.
    NoBackEnd,
    /// All back ends that could be asked are full.
    NoRoom,
}

/// An attempt under way. Dropping it closes its connection, which cancels the
/// request at the back end, and takes it out of the counts.
pub struct Attempt {
    router: Rc<Router>,
    /// Id of the back end.
    pub back_end: String,
    /// Its address.
    pub address: SocketAddr,
    /// The connection, once the head of the answer is there.
    pub connection: Option<ClientConnection>,
    slots: u32,
    /// Pool that it was chosen from.
    pool: String,
    /// Load of the back end when it was chosen.
    load: f64,
    /// The life of the back end that it was sent to.
    pub(crate) life: InstanceId,
    /// Whether it runs on probation.
    pub(crate) on_probation: bool,
    /// On the steady clock: what it tells of the back end's speed leaves suspensions of this
    /// machine out.
    written: Instant,
    rest_seconds: Option<u64>,
    /// What it tells of its back end's version, where that is rolled out.
    version: Option<Box<VersionObserver>>,
}

impl Attempt {
    /// Counts the attempt at its back end; `None` if that is not known any more.
    pub fn begin(router: Rc<Router>, back_end: &str, pool: &str, load: f64) -> Option<Self> {
        let now = router.now();
        let (address, slots, life) = {
            let mut back_ends = router.back_ends.borrow_mut();
            let known = back_ends.get_mut(back_end)?;
            known.on_send(now);
            let life = InstanceId::of(&known.entry);
            (known.entry.address, known.entry.slots, life)
        };
        Some(Attempt {
            router,
            back_end: back_end.to_owned(),
            address,
            slots,
            pool: pool.to_owned(),
            load,
            life,
            on_probation: false,
            connection: None,
            written: Instant::now(),
            rest_seconds: None,
            version: None,
        })
    }

    /// It is for a route: its end tells of the version of its back end.
    pub(crate) fn watch_version(&mut self, route: &Arc<Route>) {
        self.version = VersionObserver::begin(&self.router, &self.back_end, route).map(Box::new);
    }

    /// Runs on probation: no other suspect goes to its back end meanwhile.
    pub(crate) fn put_on_probation(&mut self) {
        self.on_probation = true;
        self.router
            .back_ends_on_probation
            .borrow_mut()
            .insert(self.back_end.clone());
    }

    /// Changes what is believed of its back end, unless that has begun another life since.
    fn with_back_end(&self, act: impl FnOnce(&mut BackEnd)) {
        let mut back_ends = self.router.back_ends.borrow_mut();
        let known = back_ends.get_mut(&self.back_end);
        if let Some(back_end) = known.filter(|known| InstanceId::of(&known.entry) == self.life) {
            act(back_end);
        }
    }

    /// The request is about to be written.
    pub fn on_write(&mut self) {
        self.written = Instant::now();
        if let Some(version) = &self.version {
            version.on_write(&self.router);
        }
    }

    /// The head of an answer came.
    pub fn on_head(&mut self, told: &BackEndResponseHead) {
        self.rest_seconds = told.keep_alive_seconds;
        let now = self.router.now();
        let after = self.written.elapsed();
        if let Some(version) = &self.version {
            version.on_head(after);
        }
        let load = told.load.map(|load| load.running + load.waiting);
        self.with_back_end(|back_end| {
            back_end.on_bytes(now);
            back_end.on_first_byte(after);
            if let Some(load) = load {
                back_end.load.on_report(load, now);
            }
        });
    }

    /// The back end took the request, or rejected it for want of room.
    pub fn note_taken(&self, taken: bool) {
        let now = self.router.now();
        self.router
            .with_admission(&self.pool, |admission| admission.on_outcome(taken, now));
    }

    /// The whole answer came.
    pub fn on_whole(&self) {
        let after = self.written.elapsed();
        self.router.with_admission(&self.pool, |admission| {
            admission.on_complete_response(after, self.load, self.slots);
        });
    }

    /// Bytes of the answer came.
    pub fn on_bytes(&self) {
        let now = self.router.now();
        self.with_back_end(|back_end| back_end.on_bytes(now));
    }

    /// The answer began well.
    pub fn on_good_answer(&self) {
        self.note_outcome(false);
    }

    /// The back end failed the request.
    pub fn on_failure(&self) {
        self.note_outcome(true);
    }

    fn note_outcome(&self, failed: bool) {
        if let Some(version) = &self.version {
            version.on_outcome(&self.router, failed);
        }
        let now = self.router.now();
        let mut suspect = None;
        self.with_back_end(|back_end| suspect = back_end.on_outcome(failed, now));
        if let Some(suspect) = suspect {
            log::info!(
                target: "belief",
                "back_end={} suspect={suspect} cause=own_outcomes",
                self.back_end
            );
        }
    }

    /// The back end could not be reached or fell silent.
    pub fn on_unreachable(&self) {
        self.on_failure();
        let now = self.router.now();
        let mut ejected = false;
        self.with_back_end(|back_end| ejected = back_end.on_unreachable(now));
        if ejected {
            log::info!(target: "belief", "back_end={} ejected=true cause=unreachable", self.back_end);
        }
    }

    /// The address belongs to another instance: this one is gone.
    pub fn on_other_instance(&self) {
        let now = self.router.now();
        self.with_back_end(|back_end| {
            back_end.on_unreachable(now);
            back_end.on_unreachable(now);
            back_end.on_replaced();
        });
        log::info!(target: "belief", "back_end={} replaced=true cause=other_instance", self.back_end);
        let vanished = VanishedInstance {
            back_end: self.back_end.clone(),
            instance: self.life,
        };
        self.router.on_vanished(&[vanished]);
    }

    /// The answer is whole: the connection may serve another request.
    pub fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            if connection.is_open() {
                let mut resting = self.router.connections.borrow_mut();
                let now = Instant::now();
                resting.put(self.address, self.slots, connection, self.rest_seconds, now);
            }
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(version) = &self.version {
            version.on_drop(&self.router, self.written.elapsed());
        }
        let now = self.router.now();
        if self.on_probation {
            self.router
                .back_ends_on_probation
                .borrow_mut()
                .remove(&self.back_end);
        }
        self.with_back_end(|back_end| back_end.load.on_end(now));
    }
}
