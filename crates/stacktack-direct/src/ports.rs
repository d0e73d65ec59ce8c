//! Interfaces that a platform adapter implements: protocols to callers and back ends, the source of
//! the configuration, the directory of back ends, and the stores of verdicts and roll-outs.
//!
//! Each method translates one message or makes one call. The router decides when to call again, how
//! far to trust a response, and how to handle a failure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
pub use futures_util::future::LocalBoxFuture;
use hyper::http::{request, response};
use hyper::{HeaderMap, Response, StatusCode};
use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::back_ends::work_time::WorkTimeFactor;
use stacktack_core::direct::back_ends::zone_drain::ZoneDrainUpdate;
use stacktack_core::direct::choice::prompt::PromptChain;
use stacktack_core::direct::quarantine::digest::SuspectDigest;
use stacktack_core::direct::quarantine::stored_verdicts::StoredVerdict;
use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::status::{StatusWrite, StatusWriteResult};
use stacktack_core::direct::traffic::route::TrafficConfiguration;
use thiserror::Error;

pub use crate::source_error::SourceError;
use crate::transfer::Transfer;

/// Metadata of a caller's request, beside its method, path and body.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Id of the caller's attempt.
    pub id: Option<String>,
    /// Time for which the caller waits for its response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Parts of the prompt.
    pub prompt: PromptChain,
    /// Expected number of tokens of the response, if the caller announces one.
    pub output_tokens: Option<u32>,
    /// Id of the event after which a stream is to be resumed.
    pub resume_after: Option<String>,
    /// Id of the caller's attempt that brought the first event of the stream to be resumed.
    pub resumes: Option<String>,
}

/// Metadata that a router adds to a request for a back end.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Id of the back-end instance that is meant.
    pub instance: &'a str,
    /// Time that remains until the request's deadline.
    pub remaining: Duration,
    /// Tenant of the caller's API key.
    pub tenant: Option<&'a str>,
    /// Id of the event after which the stream is to be resumed.
    pub resume_after: Option<&'a str>,
    /// Back end from which cached prompt parts are to be copied first.
    pub fetch_from: Option<SocketAddr>,
    /// Priority among the requests at the back end; 0 is the highest.
    pub priority: u8,
}

/// Load that a back end reports in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Time that work takes there relative to the usual time, if reported.
    pub work_time: Option<WorkTimeFactor>,
    /// Whether a relative time is reported that cannot be read.
    pub unreadable_work_time: bool,
}

/// Pause that a back end asks for when it turns a request away.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PauseRequest {
    /// It asks for none.
    #[default]
    Absent,
    /// It wants no requests from this router for this time.
    For(Duration),
    /// It names a time that cannot be read; why.
    Unreadable(String),
}

impl PauseRequest {
    /// Whether the back end wants no requests for some time.
    pub fn is_pause(&self) -> bool {
        matches!(self, PauseRequest::For(time) if !time.is_zero())
    }
}

/// Why a response cannot be given to a caller, by the protocol of the back ends.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidResponse {
    /// A success lacks the signature of its back end.
    #[error("a success without the signature of its back end")]
    Unsigned,
    /// The body of a success is encoded, though nobody asked for that.
    #[error("a success whose body is encoded")]
    Encoded,
}

/// Metadata of a back end's response head.
#[derive(Clone, Debug, Default)]
pub struct BackEndResponseHead {
    /// Why the response cannot be given to a caller; nothing else in it counts then.
    pub invalid: Option<InvalidResponse>,
    /// Id of the attempt that the response belongs to.
    pub id: Option<String>,
    /// Whether the back end says that it did not run the request.
    pub not_run: bool,
    /// Whether the address belongs to another instance.
    pub other_instance: bool,
    /// Load, if reported.
    pub load: Option<ReportedLoad>,
    /// Whether the back end says that it leaves.
    pub leaving: bool,
    /// Pause that the back end asks for.
    pub pause: PauseRequest,
    /// Keep-alive timeout of the connection, if reported.
    pub keep_alive_seconds: Option<u64>,
}

/// Why a router refuses a request or answers it with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// No route matches the request's host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request head lacks a required part.
    Malformed,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The router has no configuration yet.
    NotReady,
    /// The router is stopping.
    Stopping,
    /// No back end can accept the request now.
    NoBackEnd,
    /// All back ends that could accept the request are in drained zones.
    Drained,
    /// All back ends of the pool are full.
    Busy,
    /// The version that began the stream that the request resumes is not known.
    UnknownStream,
    /// The memory for slow readers is spent.
    MemorySpent,
    /// All back ends of the pool want a pause.
    Paused,
    /// Back ends crashed repeatedly while they ran the request; it is set aside and sent to none any
    /// more.
    SetAside,
    /// Back ends crashed while they ran the request; it is on probation, and no back end that may
    /// try it can do so now.
    OnProbation,
    /// Back ends rejected the request; it did not run.
    Rejected,
    /// The request may have run, and its response is lost.
    Lost,
    /// The request's deadline has passed; it may have run.
    DeadlineExceeded,
}

impl RefusalKind {
    /// Whether it is certain that the request did not run.
    pub fn proves_not_run(self) -> bool {
        !matches!(self, RefusalKind::Lost | RefusalKind::DeadlineExceeded)
    }

    /// Whether the caller may come back with the request: false if it is uncertain whether the
    /// request ran, and if it is set aside.
    pub fn caller_may_return(self) -> bool {
        self.proves_not_run() && self != RefusalKind::SetAside
    }

    /// Fixed text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalKind::NoRoute => "no_route",
            RefusalKind::UnknownKey => "unknown_key",
            RefusalKind::Malformed => "malformed",
            RefusalKind::BodyTooLarge => "body_too_large",
            RefusalKind::BodyTimeout => "body_timeout",
            RefusalKind::NotReady => "not_ready",
            RefusalKind::Stopping => "stopping",
            RefusalKind::NoBackEnd => "no_back_end",
            RefusalKind::Drained => "drained",
            RefusalKind::Busy => "busy",
            RefusalKind::UnknownStream => "unknown_stream",
            RefusalKind::MemorySpent => "memory_spent",
            RefusalKind::Paused => "paused",
            RefusalKind::SetAside => "set_aside",
            RefusalKind::OnProbation => "on_probation",
            RefusalKind::Rejected => "rejected",
            RefusalKind::Lost => "lost",
            RefusalKind::DeadlineExceeded => "time_over",
        }
    }
}

/// A router's own response to a request that it does not serve.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Time after which the caller may come back, for a request that did not run.
    pub retry_after: Option<Duration>,
}

/// Protocols to callers and back ends.
pub trait Protocol {
    /// Reads a caller's request head.
    fn read_request(&self, head: &request::Parts) -> CallerRequest;

    /// Headers of the request that a back end receives.
    fn forward_headers(&self, caller: &HeaderMap, metadata: &ForwardMetadata<'_>) -> HeaderMap;

    /// Time without an event after which callers give up a stream of this latency objective and
    /// longest pause; `None` if they wait until their timeout.
    fn stream_patience(&self, _objective: Duration, _event_gap: Duration) -> Option<Duration> {
        None
    }

    /// Longest time for which a caller with this time left waits before its next try, if it is
    /// told to; as long as it has time, unless the protocol sets a bound.
    fn max_retry_after(&self, remaining: Duration) -> Duration {
        remaining
    }

    /// Reads the head of a back end's response.
    fn read_response(&self, head: &response::Parts) -> BackEndResponseHead;

    /// Whether a status tells a caller that its request did not run and will not run.
    fn proves_not_run(&self, status: StatusCode) -> bool;

    /// Headers of a back end's response that the caller receives.
    fn response_headers(&self, back_end: &HeaderMap) -> HeaderMap;

    /// The response for a refusal, with the id of the caller's attempt.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> Response<Bytes>;
}

/// Response to one read of the configuration.
#[derive(Debug)]
pub struct ConfigurationUpdate {
    /// Revision up to which the update is complete.
    pub revision: u64,
    /// When the response was made, in milliseconds on the clock of the source; 0 if it does not
    /// report a time.
    pub answered_at_ms: u64,
    /// Number of versions in the response.
    pub version_count: usize,
    /// The newest configuration, if the response holds one that is valid.
    pub configuration: Option<TrafficConfiguration>,
    /// Whether the newest configuration in the response is invalid.
    pub invalid: bool,
    /// Zone drains that the operator requested or withdrew.
    pub zone_drains: ZoneDrainUpdate,
    /// Roll-out orders of the operator.
    pub rollouts: RolloutOrderUpdate,
}

impl ConfigurationUpdate {
    /// Whether the update holds no version, no change of zone drains and no roll-out order.
    pub fn is_empty(&self) -> bool {
        let zones = &self.zone_drains;
        let no_zones = zones.changes.is_empty() && zones.snapshot_revision.is_none();
        self.version_count == 0 && no_zones && self.rollouts.is_empty()
    }
}

/// Roll-out orders in one response.
#[derive(Clone, Debug, Default)]
pub struct RolloutOrderUpdate {
    /// Valid orders.
    pub orders: Vec<RolloutOrder>,
    /// Invalid orders.
    pub refused: Vec<RefusedOrder>,
}

impl RolloutOrderUpdate {
    /// Whether the update holds no orders.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.refused.is_empty()
    }
}

/// An invalid roll-out order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedOrder {
    /// Name under which the order was given.
    pub name: String,
    /// Revision at which the order was given.
    pub revision: u64,
    /// Why the order is invalid.
    pub cause: String,
}

/// Response to one read of the directory.
#[derive(Debug, Default)]
pub struct DirectoryUpdate {
    /// Revision of the source up to which the update is complete.
    pub revision: u64,
    /// When the response was made, in milliseconds on the clock of the source; 0 if it does not
    /// report a time.
    pub answered_at_ms: u64,
    /// The changes. Their revision is that of the newest change; 0 if there is none.
    pub delta: DirectoryDelta,
    /// Rows that cannot be parsed and are left out.
    pub invalid_rows: Vec<InvalidRow>,
}

/// A row that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRow {
    /// Key of the row.
    pub key: String,
    /// Why it cannot be parsed.
    pub cause: String,
}

/// Source of the configuration.
pub trait ConfigurationSource {
    /// Reads a snapshot (`after` is `None`), or the changes after a revision, with a long-poll wait
    /// of up to `wait`; records progress in `transfer`. The caller limits the time by dropping the
    /// future.
    fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ConfigurationUpdate, SourceError>>;

    /// All drained zones, without the configuration. The caller limits the time by dropping the
    /// future.
    fn zone_drains(
        &self,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ZoneDrainUpdate, SourceError>>;

    /// All roll-out orders, without the configuration; none from a source that holds no orders. The
    /// caller limits the time by dropping the future.
    fn rollout_orders(
        &self,
        _transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<RolloutOrderUpdate, SourceError>> {
        Box::pin(async { Ok(RolloutOrderUpdate::default()) })
    }
}

/// Persistent store of verdicts on requests that crash back ends.
pub trait VerdictStore {
    /// All verdicts. The caller limits the time by dropping the future.
    fn verdicts(
        &self,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredVerdict>, SourceError>>;

    /// Writes verdicts and deletes others. The operation is idempotent: both may have been done
    /// before. The caller limits the time by dropping the future.
    fn change_verdicts(
        &self,
        stored: &[StoredVerdict],
        dropped: &[SuspectDigest],
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<(), SourceError>>;
}

/// Persistent store of the outcomes of roll-outs.
pub trait RolloutStore {
    /// Writes a status if its condition holds; the status may have been written before. The caller
    /// limits the time by dropping the future. The write may still happen afterwards if its
    /// condition holds then.
    fn write_status(
        &self,
        write: &StatusWrite,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<StatusWriteResult, SourceError>>;
}

/// Directory of back ends.
pub trait Directory {
    /// Reads a snapshot (`after` is `None`), or the changes after a revision, with a long-poll wait
    /// of up to `wait`; records progress in `transfer`. The caller limits the time by dropping the
    /// future.
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>>;
}
