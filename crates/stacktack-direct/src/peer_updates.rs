//! What routers hand to each other: the configuration, and what changed in the
//! directory. `followers` decides when to ask whom.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use stacktack_core::direct::back_ends::compact_delta::CompactDelta;
use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::peers::snapshot_transfers::SnapshotTransfers;
use stacktack_core::direct::traffic::configuration_changes::ConfigurationChanges;
use stacktack_core::direct::traffic::route::{TrafficConfiguration, TrafficDocument};

use crate::client::{send_and_collect, ClientConnection};
use crate::ports::{LocalBoxFuture, SourceError};
use crate::router::Router;
use crate::transfer::Transfer;

/// Longest time for a connection to a peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Path of the documents that peers fetch, with the version of their layout: a router that
/// reads another layout gets 404 and not rows that mean something else to it.
const PATH: &str = "/knowledge/4";

/// The same with entries of the directory in full, for routers of the release before.
const FULL_PATH: &str = "/knowledge/3";

/// Names in its query.
const VERSION: &str = "version";
const REVISION: &str = "revision";
const ROUTERS: &str = "routers";

/// Routers that are taken from one list: three times the largest fleet.
const MOST_ROUTERS: usize = 3000;

/// What a router hands to a peer that asks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// A [`NewerConfiguration`] as JSON, if it is newer than the peer's.
    pub configuration: Option<Vec<u8>>,
    /// What changed in the directory since the peer's revision, if it was asked for.
    pub directory: Option<DirectoryDelta>,
}

/// [`PeerUpdate`] on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct CompactPeerUpdate {
    configuration: Option<Vec<u8>>,
    directory: Option<CompactDelta>,
}

/// A configuration that is newer than what a peer has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum NewerConfiguration {
    /// What changed since the peer's version.
    Changes(ConfigurationChanges),
    /// All of it, for a peer whose version is not remembered.
    Whole(TrafficDocument),
}

impl NewerConfiguration {
    /// The version that it leads to.
    pub(crate) fn version(&self) -> u64 {
        match self {
            NewerConfiguration::Changes(changes) => changes.version,
            NewerConfiguration::Whole(document) => document.version,
        }
    }

    /// The configuration itself, for a router that has `before`; `None` if the changes
    /// are from another version.
    pub(crate) fn apply_to(
        self,
        before: Option<&TrafficConfiguration>,
    ) -> Option<TrafficConfiguration> {
        match self {
            NewerConfiguration::Changes(changes) => changes.apply_to(before?),
            NewerConfiguration::Whole(document) => Some(TrafficConfiguration::from(document)),
        }
    }
}

/// What a router asks a peer for, by what it has itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerQuery {
    /// The configuration beyond the version in force; 0 for none.
    Configuration(u64),
    /// The directory beyond the newest change that was heard.
    Directory(u64),
    /// All routers that were heard lately.
    Routers,
}

impl PeerQuery {
    /// Path and query that ask for more.
    pub fn path_and_query(self) -> String {
        format!("{PATH}?{}", self.query())
    }

    /// The same for a router of the release before.
    pub fn path_and_query_v3(self) -> String {
        format!("{FULL_PATH}?{}", self.query())
    }

    /// Whole documents of the kind that a router which starts asks for; `None` for one that asks for changes.
    fn hand_overs(self, router: &Router) -> Option<&RefCell<SnapshotTransfers>> {
        match self {
            PeerQuery::Configuration(0) => Some(&router.configuration_transfers),
            PeerQuery::Directory(0) => Some(&router.directory_transfers),
            _ => None,
        }
    }

    fn query(self) -> String {
        match self {
            PeerQuery::Configuration(version) => format!("{VERSION}={version}"),
            PeerQuery::Directory(revision) => format!("{REVISION}={revision}"),
            PeerQuery::Routers => format!("{ROUTERS}=0"),
        }
    }

    fn read(query: &str) -> Option<Self> {
        let (name, number) = query.split_once('=')?;
        let number = number.parse().ok()?;
        match name {
            VERSION => Some(PeerQuery::Configuration(number)),
            REVISION => Some(PeerQuery::Directory(number)),
            ROUTERS => Some(PeerQuery::Routers),
            _ => None,
        }
    }
}

impl PeerUpdate {
    /// Reads a peer's answer.
    pub fn decode(body: &[u8]) -> Result<Self, SourceError> {
        let compact: CompactPeerUpdate =
            postcard::from_bytes(body).map_err(|_| SourceError::Malformed)?;
        let directory = compact.directory.map(CompactDelta::into_delta);
        if directory == Some(None) {
            return Err(SourceError::Malformed);
        }
        Ok(PeerUpdate {
            configuration: compact.configuration,
            directory: directory.flatten(),
        })
    }

    /// Reads the answer of a router of the release before.
    pub fn decode_v3(body: &[u8]) -> Result<Self, SourceError> {
        postcard::from_bytes(body).map_err(|_| SourceError::Malformed)
    }
}

/// How routers ask each other.
pub trait PeerSource {
    /// What a peer knows beyond `known`; notes in `transfer` what arrives. Whoever
    /// calls bounds the time by dropping the call.
    fn fetch_update(
        &self,
        peer: SocketAddr,
        known: PeerQuery,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>>;

    /// All routers that a peer has heard lately. A peer of an earlier release tells none.
    fn routers(
        &self,
        _peer: SocketAddr,
        _transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<SocketAddr>, SourceError>> {
        Box::pin(async { Err(SourceError::Refused(StatusCode::NOT_FOUND.as_u16())) })
    }
}

/// Peers that are asked over HTTP.
pub struct HttpPeers;

impl PeerSource for HttpPeers {
    fn fetch_update(
        &self,
        peer: SocketAddr,
        known: PeerQuery,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        Box::pin(async move {
            match ask(peer, &known.path_and_query(), &transfer).await {
                Err(SourceError::Refused(status)) if status == StatusCode::NOT_FOUND.as_u16() => {
                    let body = ask(peer, &known.path_and_query_v3(), &transfer).await?;
                    PeerUpdate::decode_v3(&body)
                }
                answer => PeerUpdate::decode(&answer?),
            }
        })
    }

    fn routers(
        &self,
        peer: SocketAddr,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<SocketAddr>, SourceError>> {
        Box::pin(async move {
            // Of one layout in both releases.
            let path_and_query = PeerQuery::Routers.path_and_query_v3();
            decode_routers(&ask(peer, &path_and_query, &transfer).await?)
        })
    }
}

/// Asks a peer; its answer as it is.
async fn ask(
    peer: SocketAddr,
    path_and_query: &str,
    transfer: &Transfer,
) -> Result<Bytes, SourceError> {
    let mut connection = ClientConnection::open(peer, CONNECT_LIMIT)
        .await
        .map_err(|_| SourceError::Unreached)?;
    let mut request = Request::new(Bytes::new().into());
    *request.uri_mut() = path_and_query.parse().map_err(|_| SourceError::Malformed)?;
    let host = hyper::header::HeaderValue::from_str(&peer.to_string());
    let host = host.map_err(|_| SourceError::Malformed)?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let answer = send_and_collect(&mut connection, request, transfer).await?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        StatusCode::SERVICE_UNAVAILABLE => Err(SourceError::NoCapacity),
        status => Err(SourceError::Refused(status.as_u16())),
    }
}

/// Reads a list of routers; one that is longer than any fleet is none.
pub fn decode_routers(body: &[u8]) -> Result<Vec<SocketAddr>, SourceError> {
    let routers: Vec<SocketAddr> =
        postcard::from_bytes(body).map_err(|_| SourceError::Malformed)?;
    if routers.len() > MOST_ROUTERS {
        return Err(SourceError::Malformed);
    }
    Ok(routers)
}

/// Answers a peer with what it lacks; the query says what it has
/// ([`PeerQuery::path_and_query`]).
pub fn respond_to_peer(router: &Router, path_and_query: &str) -> (StatusCode, Bytes) {
    let asked = path_and_query.split_once('?');
    let asked = asked.filter(|(path, _)| [PATH, FULL_PATH].contains(path));
    let Some((path, known)) = asked.and_then(|(path, query)| Some((path, PeerQuery::read(query)?)))
    else {
        return (StatusCode::NOT_FOUND, Bytes::new());
    };
    let knowledge = match known {
        PeerQuery::Configuration(version) => PeerUpdate {
            configuration: newer_configuration(router, version),
            directory: None,
        },
        PeerQuery::Directory(revision) => PeerUpdate {
            configuration: None,
            directory: Some(changed_directory(router, revision)),
        },
        PeerQuery::Routers => return written(&router.peers.borrow().live_routers()),
    };
    if path == FULL_PATH {
        return written(&knowledge);
    }
    written(&CompactPeerUpdate {
        configuration: knowledge.configuration,
        directory: knowledge.directory.map(CompactDelta::from),
    })
}

/// A whole document on its way to a peer that starts; over when it is dropped.
pub struct SnapshotTransferGuard {
    router: Rc<Router>,
    known: PeerQuery,
    number: u64,
}

impl Drop for SnapshotTransferGuard {
    fn drop(&mut self) {
        if let Some(handed) = self.known.hand_overs(&self.router) {
            handed.borrow_mut().end(self.number);
        }
    }
}

/// Answers a peer at an address as [`respond_to_peer`] does; one that starts and finds no room is to ask
/// another one. The answer is on its way for as long as the last part is kept.
pub fn serve_peer(
    router: &Rc<Router>,
    peer: IpAddr,
    path_and_query: &str,
) -> (StatusCode, Bytes, Option<SnapshotTransferGuard>) {
    let query = path_and_query.split_once('?').map(|(_, query)| query);
    let known = query.and_then(PeerQuery::read);
    let handed = known.and_then(|known| Some((known, known.hand_overs(router)?)));
    let Some((known, handed)) = handed else {
        let (status, body) = respond_to_peer(router, path_and_query);
        return (status, body, None);
    };
    let far = router.peers.borrow().remote_zone_of(peer);
    let Some(number) = handed.borrow_mut().begin(far, router.now()) else {
        return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), None);
    };
    let under_way = SnapshotTransferGuard {
        router: router.clone(),
        known,
        number,
    };
    let (status, body) = respond_to_peer(router, path_and_query);
    handed.borrow_mut().set_snapshot_bytes(body.len());
    (status, body, Some(under_way))
}

fn written<T: Serialize>(answer: &T) -> (StatusCode, Bytes) {
    match postcard::to_allocvec(answer) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(error) => {
            log::error!(target: "peers", "an answer cannot be written: {error}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn newer_configuration(router: &Router, version: u64) -> Option<Vec<u8>> {
    let known = router.configuration.borrow().clone()?;
    if known.version <= version {
        return None;
    }
    let history = router.configuration_history.borrow();
    let newer = match history.changes_from(version, &known) {
        Some(changes) => NewerConfiguration::Changes(changes),
        None => NewerConfiguration::Whole(TrafficDocument::from(known.as_ref())),
    };
    serde_json::to_vec(&newer).ok()
}

fn changed_directory(router: &Router, revision: u64) -> DirectoryDelta {
    let back_ends = router.back_ends.borrow();
    back_ends.changes_after(revision, router.directory_revision(), router.now())
}
