//! Versions at which streams began: records those of this router, tells peers, and finds out the
//! version of a stream that a caller takes up.
//!
//! The router where a stream begins tells a few routers that its id selects. A router that does not
//! know a stream asks these. Nothing is told where the service has had one version for as long as
//! callers take streams up, and this router has known the directory for as long.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::stream_versions::message::{
    StreamVersionMessage, VersionAnswer, MAX_TOLD_STREAMS,
};
use stacktack_core::direct::stream_versions::records::{RecordSource, StreamId};
use stacktack_core::direct::stream_versions::software_version::{SoftwareVersion, VersionHash};
use stacktack_core::direct::traffic::route::RouteKind;
use tokio::net::UdpSocket;
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

use crate::exchange::Exchange;
use crate::router::Router;

/// First byte of a datagram with a [`StreamVersionMessage`]: gossip begins with a smaller one.
const DATAGRAM_TAG: u8 = 0x56;

/// Number of routers that keep the version of a stream, besides the one where it began.
const KEEPERS: usize = 2;

/// Number of routers that are asked about a stream in a large fleet. Two more than keep it: the router
/// where it began may be one of the first itself, and routers may differ in who lives.
const PEERS_TO_ASK: usize = KEEPERS + 2;

/// Number of live peers up to which all of them are asked about a stream.
const MAX_PEERS_TO_ASK_ALL: usize = 8;

/// Time in which versions of streams are collected before peers are told.
const TELL_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes a second in which peers are told of streams, including headers; at most those of one second
/// are saved up.
const MAX_TOLD_BYTES_PER_SECOND: f64 = 2000.0;

/// Bytes of a datagram besides the streams that it tells of: IPv4 and UDP headers, tag, kind, length.
const DATAGRAM_OVERHEAD_BYTES: f64 = 32.0;

/// Bytes of one stream in a datagram.
const TOLD_STREAM_BYTES: f64 = 9.0;

/// Maximum number of streams that wait until peers are told of them.
const MAX_UNTOLD_STREAMS: usize = 2048;

/// Time between two questions about the same stream: a datagram may be lost.
const QUESTION_INTERVAL: Duration = Duration::from_millis(20);

/// Number of times that a question is sent.
const MAX_QUESTIONS: u32 = 3;

/// Age of the directory up to which a version that appeared is taken to be known.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(1);

/// Minimum time for which callers are taken to take a stream up: the timeout of a route may be
/// shortened while they do.
const MIN_RETENTION: Duration = Duration::from_secs(15);

/// How the version of a stream that a caller takes up is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeganAt {
    /// At this version; from where that is known, and its age.
    Known(Rc<SoftwareVersion>, &'static str, Duration),
    /// At a version that the directory does not list.
    Unlisted(&'static str),
    /// Nobody who could be asked knows it.
    Unknown,
}

impl Router {
    /// Time for which callers take a stream up: as long as a request to any route of such streams
    /// may last.
    pub fn stream_retention(&self) -> Duration {
        let configuration = self.configuration.borrow();
        let routes = configuration.iter().flat_map(|known| known.routes.iter());
        let resumable = routes.filter(|route| route.kind == RouteKind::ResumableStream);
        let longest = resumable.map(|route| route.timeout).max();
        longest.unwrap_or_default().max(MIN_RETENTION)
    }

    /// Applies the directory as it is now. At the first sight of another version of a service, peers
    /// are told of the streams that began here.
    pub(crate) fn update_version_history(&self) {
        let now = self.now();
        let new_several = {
            let back_ends = self.back_ends.borrow();
            let entries = back_ends.iter().map(|member| &member.entry);
            let mut history = self.version_history.borrow_mut();
            history.update(entries, self.stream_retention(), now)
        };
        for service in new_several {
            let history = self.version_history.borrow();
            let records = self.stream_records.borrow();
            let of_service = records.own().filter(|(_, version)| {
                history
                    .resolve(*version)
                    .is_some_and(|version| version.service == service)
            });
            let mut count = 0;
            for (stream, version) in of_service {
                self.queue_untold(stream, version);
                count += 1;
            }
            log::info!(target: "versions", "service={service} several=true streams_to_tell={count}");
        }
    }

    /// Records the version at which a stream began here, or goes on.
    pub fn on_stream_begun(&self, stream: StreamId, version: &SoftwareVersion) {
        let now = self.now();
        let hash = version.hash();
        let mut records = self.stream_records.borrow_mut();
        let forgot_early = records.record(stream, hash, RecordSource::Own, now);
        if forgot_early {
            self.metrics.count_forgotten_stream();
        }
        let history = self.version_history.borrow();
        let only = history.only_version(&version.service, self.stream_retention(), now);
        if only.is_none() {
            self.queue_untold(stream, hash);
        }
    }

    /// Forgets streams that no caller takes up any more.
    pub fn expire_stream_records(&self) {
        let now = self.now();
        let retention = self.stream_retention();
        self.stream_records.borrow_mut().expire(retention, now);
        self.update_version_history();
    }

    /// Datagrams that tell peers of streams that began here, the latest first, as far as the byte
    /// budget goes; `elapsed` is the time since the last call.
    pub fn take_told_streams(&self, elapsed: Duration) -> Vec<(SocketAddr, Vec<u8>)> {
        let untold = &mut *self.untold_streams.borrow_mut();
        let earned = MAX_TOLD_BYTES_PER_SECOND * elapsed.as_secs_f64();
        let mut bytes = (self.saved_told_bytes.get() + earned).min(MAX_TOLD_BYTES_PER_SECOND);
        let mut by_keeper: HashMap<SocketAddr, Vec<(StreamId, VersionHash)>> = HashMap::new();
        while bytes > 0.0 {
            let Some((stream, version)) = untold.pop() else {
                break;
            };
            for keeper in self.stream_keepers(stream) {
                let streams = by_keeper.entry(keeper).or_default();
                if streams.len().is_multiple_of(MAX_TOLD_STREAMS) {
                    bytes -= DATAGRAM_OVERHEAD_BYTES;
                }
                bytes -= TOLD_STREAM_BYTES;
                streams.push((stream, version));
            }
        }
        self.saved_told_bytes.set(bytes);
        let parts = by_keeper.iter().flat_map(|(keeper, streams)| {
            let parts = streams.chunks(MAX_TOLD_STREAMS);
            parts.map(|part| (*keeper, encode(&StreamVersionMessage::Began(part.to_vec()))))
        });
        parts.collect()
    }

    /// Queues a stream that peers are to be told of. Where the queue is full, the oldest ones are
    /// told to nobody.
    fn queue_untold(&self, stream: StreamId, version: VersionHash) {
        let mut untold = self.untold_streams.borrow_mut();
        untold.push((stream, version));
        if untold.len() > MAX_UNTOLD_STREAMS {
            untold.drain(..MAX_UNTOLD_STREAMS / 2);
            log::warn!(target: "versions", "untold_streams={} cause=byte_budget", MAX_UNTOLD_STREAMS / 2);
        }
    }

    fn stream_keepers(&self, stream: StreamId) -> Vec<SocketAddr> {
        self.peers
            .borrow()
            .keepers(stream.rendezvous_key(), KEEPERS)
    }

    /// Peers to ask about a stream.
    fn peers_to_ask(&self, stream: StreamId) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let count = if peers.live_count() <= MAX_PEERS_TO_ASK_ALL {
            MAX_PEERS_TO_ASK_ALL
        } else {
            PEERS_TO_ASK
        };
        peers.keepers(stream.rendezvous_key(), count)
    }

    /// Applies a datagram of a peer about streams. Returns the response to a question; `None` if the datagram is
    /// malformed or needs no response.
    pub fn on_stream_datagram(&self, from: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
        let (_, message) = bytes.split_first()?;
        match postcard::from_bytes(message) {
            Ok(StreamVersionMessage::Began(streams)) => {
                let now = self.now();
                let mut records = self.stream_records.borrow_mut();
                for (stream, version) in streams {
                    if records.record(stream, version, RecordSource::Told, now) {
                        self.metrics.count_forgotten_stream();
                    }
                }
                None
            }
            Ok(StreamVersionMessage::Question { stream, service }) => {
                let version = self.stream_version_answer(stream, &service);
                Some(encode(&StreamVersionMessage::Answer { stream, version }))
            }
            Ok(StreamVersionMessage::Answer { stream, version }) => {
                self.stream_questions
                    .borrow_mut()
                    .on_answer(from, stream, version);
                self.stream_answered.notify_waiters();
                None
            }
            Err(error) => {
                log::debug!(target: "versions", "cannot decode datagram: {error}");
                None
            }
        }
    }

    fn stream_version_answer(&self, stream: StreamId, service: &str) -> VersionAnswer {
        if let Some(record) = self.stream_records.borrow().get(stream) {
            return VersionAnswer::Began(record.version);
        }
        let history = self.version_history.borrow();
        let only = history.only_version(service, self.stream_retention(), self.now());
        match only {
            Some(only) => VersionAnswer::Only(only.hash()),
            None if history.has_several(service) => VersionAnswer::Several,
            None => VersionAnswer::Unknown,
        }
    }

    /// Finds out the version at which a stream began: from what this router knows, else from peers.
    pub async fn find_stream_version(&self, stream: StreamId, service: &str) -> BeganAt {
        if let Some(record) = self.stream_records.borrow().get(stream) {
            let age = self.now().since(record.at);
            return self.began_at(record.version, record.source.as_str(), age);
        }
        let retention = self.stream_retention();
        let age = self.directory_age();
        let is_fresh = age.is_some_and(|age| age <= MAX_DIRECTORY_AGE);
        let is_alone = self.peers.borrow().addresses().is_empty();
        if is_fresh || is_alone {
            let history = self.version_history.borrow();
            if let Some(only) = history.only_version(service, retention, self.now()) {
                return BeganAt::Known(only, "only", age.unwrap_or_default());
            }
        }
        self.ask_for_stream_version(stream, service).await
    }

    /// The version of a stream that its caller does not name: the only one that the directory has
    /// listed, as far as this router knows it.
    fn listed_version(&self, service: &str) -> BeganAt {
        let history = self.version_history.borrow();
        match history.only_version(service, Duration::ZERO, self.now()) {
            Some(only) => BeganAt::Known(only, "listed", Duration::ZERO),
            None => BeganAt::Unknown,
        }
    }

    fn began_at(&self, version: VersionHash, known: &'static str, age: Duration) -> BeganAt {
        let history = self.version_history.borrow();
        match history.resolve(version) {
            Some(version) => BeganAt::Known(version, known, age),
            None => BeganAt::Unlisted(known),
        }
    }

    async fn ask_for_stream_version(&self, stream: StreamId, service: &str) -> BeganAt {
        let to = self.peers_to_ask(stream);
        if to.is_empty() {
            return BeganAt::Unknown;
        }
        let Some(_waiting) = OpenQuestion::begin(self, stream) else {
            log::warn!(target: "versions", "asked=false cause=too_many_questions");
            return BeganAt::Unknown;
        };
        let question = encode(&StreamVersionMessage::Question {
            stream,
            service: service.to_owned(),
        });
        let asked_at = Instant::now();
        for _ in 0..MAX_QUESTIONS {
            let datagrams = to.iter().map(|peer| (*peer, question.clone()));
            self.stream_datagrams.borrow_mut().extend(datagrams);
            self.stream_datagram_due.notify_one();
            let answered = self.until_answered(stream, to.len());
            if timeout(QUESTION_INTERVAL, answered).await.is_ok() {
                break;
            }
        }
        let questions = self.stream_questions.borrow();
        let began = questions.began(stream);
        let has_several = self.version_history.borrow().has_several(service);
        let only = questions.only(stream).filter(|_| !has_several);
        drop(questions);
        let age = asked_at.elapsed();
        match (began, only) {
            (Some(version), _) => self.began_at(version, "asked", age),
            (None, Some(version)) => self.began_at(version, "asked_only", age),
            (None, None) => BeganAt::Unknown,
        }
    }

    /// Resolves when a peer has named the version of a stream, or all have answered.
    async fn until_answered(&self, stream: StreamId, asked: usize) {
        loop {
            let answered = self.stream_answered.notified();
            {
                let questions = self.stream_questions.borrow();
                if questions.began(stream).is_some() || questions.is_answered(stream, asked) {
                    return;
                }
            }
            answered.await;
        }
    }
}

/// A question that waits for answers; it ends when dropped, also if its caller leaves.
struct OpenQuestion<'a> {
    router: &'a Router,
    stream: StreamId,
}

impl<'a> OpenQuestion<'a> {
    /// Begins to wait for answers; `None` if there are too many questions.
    fn begin(router: &'a Router, stream: StreamId) -> Option<Self> {
        let begins = router.stream_questions.borrow_mut().begin(stream);
        begins.then_some(OpenQuestion { router, stream })
    }
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.router.stream_questions.borrow_mut().end(self.stream);
    }
}

impl Exchange {
    /// Whether the caller takes up a stream that broke off.
    fn takes_up_stream(&self) -> bool {
        self.route.kind == RouteKind::ResumableStream
            && (self.caller.resume_after.is_some() || self.caller.resumes.is_some())
    }

    /// Id by which routers know the stream: that of the attempt that brought its first event.
    pub(crate) fn stream_id(&self) -> StreamId {
        let tenant = self.tenant.as_deref().map_or("", |tenant| &tenant.name);
        let attempt = self.caller.resumes.as_deref().unwrap_or(&self.id);
        StreamId::of(tenant, attempt)
    }

    /// Finds out the version of a stream that the caller takes up. Returns false if it is not known,
    /// so that the request may go to no back end.
    pub(crate) async fn find_version(&mut self) -> bool {
        if !self.takes_up_stream() {
            return true;
        }
        let service = self.router.service_of(self.pool());
        let router = self.router.clone();
        let began_at = match self.caller.resumes {
            Some(_) => router.find_stream_version(self.stream_id(), &service).await,
            None => router.listed_version(&service),
        };
        let (version, known, age) = match &began_at {
            BeganAt::Known(version, known, age) => (version.to_string(), *known, age.as_millis()),
            BeganAt::Unlisted(known) => ("unlisted".to_owned(), *known, 0),
            BeganAt::Unknown => ("-".to_owned(), "-", 0),
        };
        log::info!(
            target: "resume",
            "id={} resumes={} began_at={version} known={known} age_ms={age}",
            self.id,
            self.caller.resumes.as_deref().unwrap_or("-"),
        );
        self.router.metrics.count_resumption(known);
        if let BeganAt::Known(version, ..) = began_at {
            self.began_at = Some(version);
        }
        self.began_at.is_some()
    }
}

/// Whether a datagram is about streams.
pub fn is_stream_datagram(bytes: &[u8]) -> bool {
    bytes.first() == Some(&DATAGRAM_TAG)
}

fn encode(message: &StreamVersionMessage) -> Vec<u8> {
    let mut bytes = vec![DATAGRAM_TAG];
    match postcard::to_allocvec(message) {
        Ok(encoded) => bytes.extend(encoded),
        Err(error) => log::error!(target: "versions", "cannot encode message: {error}"),
    }
    bytes
}

/// Sends questions to peers at once, and tells them of streams in intervals; never returns.
pub async fn send_stream_versions(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut told_at = Instant::now();
    let mut tell_due = interval(TELL_INTERVAL);
    tell_due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let datagrams = tokio::select! {
            () = router.stream_datagram_due.notified() => {
                std::mem::take(&mut *router.stream_datagrams.borrow_mut())
            }
            _ = tell_due.tick() => {
                let elapsed = told_at.elapsed();
                told_at = Instant::now();
                router.take_told_streams(elapsed)
            }
        };
        for (to, bytes) in datagrams {
            // A datagram that cannot be sent counts as lost, like any other lost datagram.
            let _ = socket.send_to(&bytes, to).await;
        }
    }
}
