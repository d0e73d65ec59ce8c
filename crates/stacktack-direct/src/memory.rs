//! Accounts for the memory that slow readers take, and carries out what
//! [`stacktack_core::direct::memory`] decides.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use bytes::{Buf, Bytes};
use stacktack_core::direct::memory::bodies::{BodyDecision, KeptBodies};
use stacktack_core::direct::memory::responses::{KeptResponses, ResponseAdmission, ResponseId};
use stacktack_core::direct::memory::under_way::BytesUnderWay;
use stacktack_core::direct::memory::MemoryBudget;
use stacktack_core::time::Time;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use crate::ports::RefusalKind;
use crate::router::Router;

/// Time between two checks from which the process counts as stalled: checks are made once a second.
const STALLED_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Connection that a response goes to.
struct CallerConnection {
    /// Id of the request.
    request: String,
    /// Notified when the connection has to be closed.
    close: Rc<Notify>,
}

/// What a router keeps for slow readers.
pub struct RouterMemory {
    responses: RefCell<KeptResponses>,
    connections: RefCell<HashMap<ResponseId, CallerConnection>>,
    /// Tasks of responses that are not read ahead, since memory is short.
    held_back: RefCell<HashMap<ResponseId, Waker>>,
    bodies: RefCell<KeptBodies>,
    body_released: Notify,
    under_way: RefCell<BytesUnderWay>,
    /// When unread responses were last checked; `None` before the first time.
    last_check: Cell<Option<Time>>,
}

impl RouterMemory {
    /// Nothing kept yet, within a budget.
    pub fn new(budget: MemoryBudget) -> Self {
        RouterMemory {
            responses: RefCell::new(KeptResponses::new(budget.responses)),
            connections: RefCell::default(),
            held_back: RefCell::default(),
            bodies: RefCell::new(KeptBodies::new(budget.bodies)),
            body_released: Notify::new(),
            under_way: RefCell::new(BytesUnderWay::new(budget.bodies)),
            last_check: Cell::default(),
        }
    }

    /// Bytes that are charged for responses, and bytes of request bodies that are kept.
    pub fn kept(&self) -> (usize, usize) {
        (
            self.responses.borrow().charged(),
            self.bodies.borrow().kept(),
        )
    }

    /// Most bytes of requests that are under way to one back end.
    pub fn most_under_way(&self) -> usize {
        self.under_way.borrow().most()
    }

    /// Ends responses that their callers do not read while memory is short, longest first.
    pub(crate) fn end_unread(&self, router: &Router) {
        let now = router.now();
        self.restart_after_stall(now);
        self.last_check.set(Some(now));
        loop {
            let longest = self.responses.borrow_mut().end_longest_unread(router.now());
            let Some((id, unread)) = longest else {
                return;
            };
            self.close(router, id, unread);
        }
    }

    /// Lets responses be read ahead again if memory is no longer short.
    pub(crate) fn resume_reading_ahead(&self) {
        if !self.responses.borrow().is_under_pressure() {
            for waker in self.held_back.take().into_values() {
                waker.wake();
            }
        }
    }

    /// Counts unread time anew if the checks are overdue: the process did not run, and what its
    /// callers read meanwhile does not show yet.
    fn restart_after_stall(&self, now: Time) {
        let last = self.last_check.get();
        if last.is_some_and(|last| now.since(last) > STALLED_CHECK_INTERVAL) {
            self.restart_unread(now);
            self.last_check.set(Some(now));
        }
    }

    /// Counts unread time from now on.
    pub(crate) fn restart_unread(&self, now: Time) {
        self.responses.borrow_mut().restart_unread(now);
    }

    fn close(&self, router: &Router, id: ResponseId, unread: Duration) {
        router.metrics.count_ended_unread();
        let connection = self.connections.borrow_mut().remove(&id);
        let (charged, _) = self.kept();
        log::info!(
            target: "memory",
            "id={} ended=unread unread_ms={} left_bytes={charged}",
            connection.as_ref().map_or("-", |connection| &connection.request),
            unread.as_millis(),
        );
        if let Some(connection) = connection {
            connection.close.notify_one();
        }
    }

    /// Whether request bodies that are unlikely to be needed again should be released.
    pub fn should_release_bodies_early(&self) -> bool {
        self.bodies.borrow().should_release_early()
    }
}

/// Account of one response, which ends when nothing of it is kept any more.
pub struct ResponseAccount {
    router: Rc<Router>,
    memory: Rc<RouterMemory>,
    id: ResponseId,
    /// Task that waits until bytes are released.
    waiting: RefCell<Option<Waker>>,
}

impl ResponseAccount {
    /// Opens the account of the response to a request on a connection, which `close` closes; an
    /// error has the time after which the caller may come back.
    pub(crate) fn open(
        router: &Rc<Router>,
        memory: &Rc<RouterMemory>,
        request: &str,
        close: &Rc<Notify>,
    ) -> Result<Rc<Self>, Duration> {
        let now = router.now();
        memory.restart_after_stall(now);
        let decision = memory.responses.borrow_mut().admit(now);
        let id = match decision {
            ResponseAdmission::Admitted(id) => id,
            ResponseAdmission::InPlaceOf {
                admitted,
                ended,
                unread,
            } => {
                memory.close(router, ended, unread);
                admitted
            }
            ResponseAdmission::Refused { retry_after } => return Err(retry_after),
        };
        let connection = CallerConnection {
            request: request.to_owned(),
            close: close.clone(),
        };
        memory.connections.borrow_mut().insert(id, connection);
        Ok(Rc::new(ResponseAccount {
            router: router.clone(),
            memory: memory.clone(),
            id,
            waiting: RefCell::default(),
        }))
    }

    /// Charges bytes until the result is dropped.
    pub(crate) fn charge(self: &Rc<Self>, bytes: usize) -> Charge {
        let mut charge = Charge {
            account: self.clone(),
            bytes: 0,
        };
        charge.resize(bytes);
        charge
    }

    /// The caller can read from now on, or has just read.
    pub(crate) fn on_progress(&self) {
        let mut responses = self.memory.responses.borrow_mut();
        responses.on_progress(self.id, self.router.now());
    }

    /// Whether more of a stream may be read than its caller takes.
    pub(crate) fn may_read_ahead(&self) -> bool {
        self.memory.responses.borrow().may_read_ahead(self.id)
    }

    /// Wakes a task once memory is no longer short, if it is.
    pub(crate) fn wake_when_relieved(&self, waker: &Waker) {
        if self.memory.responses.borrow().is_under_pressure() {
            let mut held_back = self.memory.held_back.borrow_mut();
            held_back.insert(self.id, waker.clone());
        }
    }

    /// Whether more bytes of the response may be kept.
    pub(crate) fn may_keep_more(&self) -> bool {
        self.memory.responses.borrow().may_keep_more(self.id)
    }

    /// Wakes a task once bytes of the response are released.
    pub(crate) fn wake_on_release(&self, waker: &Waker) {
        self.waiting.replace(Some(waker.clone()));
    }
}

impl Drop for ResponseAccount {
    fn drop(&mut self) {
        self.memory.responses.borrow_mut().end(self.id);
        self.memory.connections.borrow_mut().remove(&self.id);
        self.memory.held_back.borrow_mut().remove(&self.id);
    }
}

/// Bytes that are charged to the account of a response until this is dropped.
pub(crate) struct Charge {
    account: Rc<ResponseAccount>,
    bytes: usize,
}

impl Charge {
    /// Changes the number of bytes.
    pub(crate) fn resize(&mut self, bytes: usize) {
        let released = std::mem::replace(&mut self.bytes, bytes);
        if bytes == released {
            return;
        }
        let account = &self.account;
        let now = account.router.now();
        let mut responses = account.memory.responses.borrow_mut();
        responses.change(account.id, bytes, released, now);
        drop(responses);
        if bytes < released {
            if let Some(waiting) = account.waiting.take() {
                waiting.wake();
            }
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Bytes of a response that are charged until the kernel has taken all of them.
pub struct KeptBytes {
    bytes: Bytes,
    charge: Option<Charge>,
}

impl KeptBytes {
    /// Bytes that are charged for as many as they are, if there is an account.
    pub(crate) fn new(bytes: Bytes, account: Option<&Rc<ResponseAccount>>) -> Self {
        let charge = account.map(|account| account.charge(bytes.len()));
        KeptBytes { bytes, charge }
    }

    /// Bytes that are charged already.
    pub(crate) fn charged(bytes: Bytes, charge: Option<Charge>) -> Self {
        KeptBytes { bytes, charge }
    }

    /// Number of bytes that are left.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no bytes are left.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The bytes, without their charge.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes
    }
}

impl Buf for KeptBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        if let Some(charge) = &self.charge {
            charge.account.on_progress();
        }
    }
}

/// Bytes of a request body that are counted as kept until this is dropped.
pub(crate) struct BodyReservation {
    memory: Rc<RouterMemory>,
    bytes: usize,
    /// Time that is left for waits.
    patience: Duration,
}

impl BodyReservation {
    /// Nothing yet; all waits together take up to `patience`.
    pub(crate) fn new(memory: Rc<RouterMemory>, patience: Duration) -> Self {
        BodyReservation {
            memory,
            bytes: 0,
            patience,
        }
    }

    /// Whether a body of this many bytes can be kept at all.
    pub(crate) fn can_fit(&self, bytes: usize) -> bool {
        self.memory.bodies.borrow().can_fit(bytes)
    }

    /// Reserves further bytes, and waits for them if need be.
    pub(crate) async fn extend(&mut self, bytes: usize) -> Result<(), RefusalKind> {
        let started = Instant::now();
        let deadline = started + self.patience;
        loop {
            let released = self.memory.body_released.notified();
            let decision = self.memory.bodies.borrow_mut().reserve(bytes, self.bytes);
            match decision {
                BodyDecision::Kept => {
                    self.bytes += bytes;
                    self.patience = self.patience.saturating_sub(started.elapsed());
                    return Ok(());
                }
                BodyDecision::TooLarge => return Err(RefusalKind::BodyTooLarge),
                BodyDecision::Wait => {}
            }
            tokio::select! {
                () = released => {}
                () = sleep_until(deadline) => return Err(RefusalKind::MemorySpent),
            }
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.bodies.borrow_mut().release(self.bytes);
        self.memory.body_released.notify_waiters();
    }
}

/// Bytes of a request that count as under way to a back end until this is dropped.
pub(crate) struct SentBytes {
    memory: Rc<RouterMemory>,
    back_end: String,
    bytes: usize,
}

impl SentBytes {
    /// Counts bytes; `None` if too many are under way to the back end.
    pub(crate) fn begin(memory: &Rc<RouterMemory>, back_end: &str, bytes: usize) -> Option<Self> {
        let may_send = memory.under_way.borrow_mut().begin(back_end, bytes);
        may_send.then(|| SentBytes {
            memory: memory.clone(),
            back_end: back_end.to_owned(),
            bytes,
        })
    }
}

impl Drop for SentBytes {
    fn drop(&mut self) {
        let mut under_way = self.memory.under_way.borrow_mut();
        under_way.end(&self.back_end, self.bytes);
    }
}
