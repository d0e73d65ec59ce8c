//! What an adapter supplies: protocols towards callers and back ends, the
//! source of the configuration and the directory of back ends.
//!
//! Each port translates one message or makes one call. When to call again,
//! what to believe and what to do about a failure is decided by the router.

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
use stacktack_core::direct::quarantine::digest::RequestDigest;
use stacktack_core::direct::quarantine::StoredVerdict;
use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::status::{StatusWrite, StatusWriteResult};
use stacktack_core::direct::traffic::route::TrafficConfiguration;

pub use crate::source_error::SourceError;
use crate::transfer::Transfer;

/// What a caller's request says beside its method, path and body.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Id of this attempt of the caller's.
    pub id: Option<String>,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The parts of the prompt.
    pub prompt: PromptChain,
    /// Event after which a stream is to be continued.
    pub resume_after: Option<String>,
}

/// What a router tells a back end beside the caller's request.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Id of the life of the back end that is meant.
    pub instance: &'a str,
    /// Time that remains.
    pub remaining: Duration,
    /// Tenant that the caller's key belongs to.
    pub tenant: Option<&'a str>,
    /// Event after which the stream is to be continued.
    pub resume_after: Option<&'a str>,
    /// Back end from which cached prompt parts are to be copied first.
    pub fetch_from: Option<SocketAddr>,
    /// Rank among the requests at the back end; 0 is the most urgent.
    pub priority: u8,
}

/// Load that a back end reports in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there, if told.
    pub work_time: Option<WorkTimeFactor>,
}

/// What the head of a back end's answer says.
#[derive(Clone, Debug, Default)]
pub struct BackEndResponseHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// The back end says that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another instance.
    pub other_instance: bool,
    /// Load, if told.
    pub load: Option<ReportedLoad>,
    /// Seconds that the connection may rest, if told.
    pub keep_alive_seconds: Option<u64>,
}

/// Why a router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// No route serves host and path.
    NoRoute,
    /// No key, or an unknown one.
    UnknownKey,
    /// The head lacks what it must have.
    Malformed,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The router knows no configuration yet.
    NotReady,
    /// The router is about to end.
    Stopping,
    /// No back end can take the request now.
    NoBackEnd,
    /// All back ends that could take the request are in zones that are drained.
    Drained,
    /// All back ends of the pool are full.
    Busy,
    /// Back ends ended under it again and again; it goes to none any more.
    SetAside,
    /// Back ends ended under it, and none that may try it can do so now.
    OnProbation,
    /// Back ends refused it; it did not run.
    Rejected,
    /// It may have run and its answer is lost.
    Lost,
    /// The time that it had is over.
    DeadlineExceeded,
}

impl RefusalKind {
    /// Whether it is certain that the request did not run.
    pub fn proves_not_run(self) -> bool {
        !matches!(self, RefusalKind::Lost | RefusalKind::DeadlineExceeded)
    }

    /// Whether it helps to come back: not where it is uncertain whether the request ran, nor
    /// where it is not going to.
    pub fn caller_may_return(self) -> bool {
        self.proves_not_run() && self != RefusalKind::SetAside
    }

    /// Fixed word for logs and metrics.
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
            RefusalKind::SetAside => "set_aside",
            RefusalKind::OnProbation => "on_probation",
            RefusalKind::Rejected => "rejected",
            RefusalKind::Lost => "lost",
            RefusalKind::DeadlineExceeded => "time_over",
        }
    }
}

/// A router's own answer to a request.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// When to come back, for requests that did not run.
    pub retry_after: Option<Duration>,
}

/// The protocols towards callers and back ends.
pub trait Protocol {
    /// Reads a caller's request head.
    fn read_request(&self, head: &request::Parts) -> CallerRequest;

    /// Headers of the request as a back end gets it.
    fn forward_headers(&self, caller: &HeaderMap, order: &ForwardMetadata<'_>) -> HeaderMap;

    /// Reads the head of a back end's answer.
    fn read_response(&self, head: &response::Parts) -> BackEndResponseHead;

    /// Whether a status tells a caller that its request did not run and is not going to.
    fn proves_not_run(&self, status: StatusCode) -> bool;

    /// Headers of a back end's answer as the caller gets it.
    fn response_headers(&self, back_end: &HeaderMap) -> HeaderMap;

    /// A router's own answer.
    fn refuse(&self, refusal: &Refusal, id: Option<&str>) -> Response<Bytes>;
}

/// News of the configuration.
#[derive(Debug)]
pub struct ConfigurationUpdate {
    /// Revision up to which the news is complete.
    pub revision: u64,
    /// When the answer was made, in milliseconds on the clock of the source; 0 if it does not tell.
    pub answered_at_ms: u64,
    /// Versions that the answer held.
    pub version_count: usize,
    /// The newest configuration, if there is news of it.
    pub configuration: Option<TrafficConfiguration>,
    /// Whether a configuration was there that is not valid.
    pub invalid: bool,
    /// Zones whose drain the operator asked for or took back.
    pub zone_drains: ZoneDrainUpdate,
    /// Roll-outs that the operator ordered.
    pub rollouts: RolloutOrderUpdate,
}

impl ConfigurationUpdate {
    /// Whether it tells nothing: no version, and nothing of zones and roll-outs.
    pub fn is_empty(&self) -> bool {
        let zones = &self.zone_drains;
        let no_zones = zones.changes.is_empty() && zones.snapshot_revision.is_none();
        self.version_count == 0 && no_zones && self.rollouts.is_empty()
    }
}

/// News of roll-outs that the operator ordered.
#[derive(Clone, Debug, Default)]
pub struct RolloutOrderUpdate {
    /// Orders.
    pub orders: Vec<RolloutOrder>,
    /// Orders that cannot be taken.
    pub refused: Vec<RefusedOrder>,
}

impl RolloutOrderUpdate {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.refused.is_empty()
    }
}

/// An order that cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedOrder {
    /// Name that it was given under.
    pub name: String,
    /// Revision at which it was given.
    pub revision: u64,
    /// Why it cannot be taken.
    pub cause: String,
}

/// News of the directory.
#[derive(Debug, Default)]
pub struct DirectoryUpdate {
    /// Revision of the source up to which the news is complete.
    pub revision: u64,
    /// When the answer was made, in milliseconds on the clock of the source; 0 if it does not tell.
    pub answered_at_ms: u64,
    /// What changed; its revision is that of the newest change, 0 for none.
    pub delta: DirectoryDelta,
    /// Rows that do not parse; they are left out.
    pub invalid_rows: Vec<String>,
}

/// Source of the configuration.
pub trait ConfigurationSource {
    /// Everything (`after` is `None`), or news after a revision, waiting up to
    /// `wait` for some; notes in `transfer` what arrives. Whoever calls bounds
    /// the time by dropping the call.
    fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ConfigurationUpdate, SourceError>>;

    /// All zones that are drained, without the configuration. Whoever calls bounds the
    /// time by dropping the call.
    fn zone_drains(
        &self,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ZoneDrainUpdate, SourceError>>;

    /// All roll-outs that are ordered, without the configuration; none from a source that
    /// holds no orders. Whoever calls bounds the time by dropping the call.
    fn rollout_orders(
        &self,
        _transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<RolloutOrderUpdate, SourceError>> {
        Box::pin(async { Ok(RolloutOrderUpdate::default()) })
    }
}

/// Where verdicts on requests that end back ends last.
pub trait VerdictStore {
    /// All verdicts. Whoever calls bounds the time by dropping the call.
    fn verdicts(
        &self,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredVerdict>, SourceError>>;

    /// Writes verdicts and drops others; both may have been done before. Whoever calls
    /// bounds the time by dropping the call.
    fn change_verdicts(
        &self,
        stored: &[StoredVerdict],
        dropped: &[RequestDigest],
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<(), SourceError>>;
}

/// Where the outcomes of roll-outs last.
pub trait RolloutStore {
    /// Writes a status under its condition; it may have been done before. Whoever calls bounds
    /// the time by dropping the call: it may be done afterwards still, if its condition holds
    /// then.
    fn write_status(
        &self,
        write: &StatusWrite,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<StatusWriteResult, SourceError>>;
}

/// Directory of back ends.
pub trait Directory {
    /// Everything (`after` is `None`), or news after a revision, waiting up to
    /// `wait` for some; notes in `transfer` what arrives. Whoever calls bounds
    /// the time by dropping the call.
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>>;
}
