//! Transfer of the configuration, of directory changes and of router lists between routers over
//! HTTP. `followers` decides when to fetch from which peer.

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

use crate::client::{send_and_collect, ClientConnection, MAX_BUFFER_BYTES};
use crate::ports::{LocalBoxFuture, SourceError};
use crate::router::Router;
use crate::transfer::Transfer;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Path of the documents that peers fetch, with the version of their layout: a router that reads
/// another layout gets 404 instead of data that it would misinterpret.
const PATH: &str = "/knowledge/4";

/// Path of the documents for routers of the previous release, in which directory entries are not
/// compacted.
const PATH_V3: &str = "/knowledge/3";

/// Query parameter with the version of the configuration in force at the asking router; 0 for none.
const VERSION: &str = "version";

/// Query parameter with the revision up to which the asking router knows the directory; 0 for none.
const REVISION: &str = "revision";

/// Query parameter that asks for the list of routers. Its value is a number without meaning.
const ROUTERS: &str = "routers";

/// Maximum number of routers in a list from a peer: three times the largest fleet.
const MAX_ROUTERS: usize = 3000;

/// Response of a router to a peer's [`PeerQuery`] for the configuration or the directory.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// A [`NewerConfiguration`] as JSON, if the configuration is newer than the peer's.
    pub configuration: Option<Vec<u8>>,
    /// Changes of the directory since the peer's revision, if the peer asked for them.
    pub directory: Option<DirectoryDelta>,
}

/// [`PeerUpdate`] as it is encoded in the current layout.
#[derive(Debug, Serialize, Deserialize)]
struct CompactPeerUpdate {
    configuration: Option<Vec<u8>>,
    directory: Option<CompactDelta>,
}

/// A configuration that is newer than that of the peer that asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum NewerConfiguration {
    /// Changes since the peer's version.
    Changes(ConfigurationChanges),
    /// The whole configuration, for a peer whose version is not in the history.
    Whole(TrafficDocument),
}

impl NewerConfiguration {
    /// Version of the newer configuration.
    pub(crate) fn version(&self) -> u64 {
        match self {
            NewerConfiguration::Changes(changes) => changes.version,
            NewerConfiguration::Whole(document) => document.version,
        }
    }

    /// Returns the newer configuration, for a router that has `before`; `None` if the changes
    /// apply to another version.
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

/// What a router asks a peer for, including what it has already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerQuery {
    /// The configuration, if it is newer than this version in force at the asking router; 0 if it
    /// has none.
    Configuration(u64),
    /// Changes of the directory after this revision, up to which the asking router knows it; 0 if
    /// it has none.
    Directory(u64),
    /// All routers that are live according to the peer.
    Routers,
}

impl PeerQuery {
    /// Path and query of the HTTP request.
    pub fn path_and_query(self) -> String {
        format!("{PATH}?{}", self.query())
    }

    /// Path and query of the HTTP request to a router of the previous release.
    pub fn path_and_query_v3(self) -> String {
        format!("{PATH_V3}?{}", self.query())
    }

    /// Limit that applies if the asking router has nothing yet and will get a snapshot; `None` if
    /// it asks for changes or for routers.
    fn snapshot_transfers(self, router: &Router) -> Option<&RefCell<SnapshotTransfers>> {
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

    fn parse(query: &str) -> Option<Self> {
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
    /// Decodes a peer's response in the current layout.
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

    /// Decodes the response of a router of the previous release.
    pub fn decode_v3(body: &[u8]) -> Result<Self, SourceError> {
        postcard::from_bytes(body).map_err(|_| SourceError::Malformed)
    }
}

/// Fetches updates from other routers.
pub trait PeerSource {
    /// Fetches what a peer has beyond `query` and records the progress of the response in
    /// `transfer`. There is no timeout: the caller drops the future to end the call.
    fn fetch_update(
        &self,
        peer: SocketAddr,
        query: PeerQuery,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>>;

    /// Fetches the addresses of all routers that are live according to a peer. By default the call
    /// fails like one to a peer of an earlier release, which does not serve the list.
    fn routers(
        &self,
        _peer: SocketAddr,
        _transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<SocketAddr>, SourceError>> {
        Box::pin(async { Err(SourceError::Refused(StatusCode::NOT_FOUND.as_u16())) })
    }
}

/// [`PeerSource`] over HTTP.
pub struct HttpPeers;

impl PeerSource for HttpPeers {
    fn fetch_update(
        &self,
        peer: SocketAddr,
        query: PeerQuery,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        Box::pin(async move {
            match fetch(peer, &query.path_and_query(), &transfer).await {
                Err(SourceError::Refused(status)) if status == StatusCode::NOT_FOUND.as_u16() => {
                    let body = fetch(peer, &query.path_and_query_v3(), &transfer).await?;
                    PeerUpdate::decode_v3(&body)
                }
                body => PeerUpdate::decode(&body?),
            }
        })
    }

    fn routers(
        &self,
        peer: SocketAddr,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<SocketAddr>, SourceError>> {
        Box::pin(async move {
            // The list has the same layout in both releases, and both serve this path.
            let path_and_query = PeerQuery::Routers.path_and_query_v3();
            decode_routers(&fetch(peer, &path_and_query, &transfer).await?)
        })
    }
}

/// Fetches a document from a peer and returns it undecoded.
async fn fetch(
    peer: SocketAddr,
    path_and_query: &str,
    transfer: &Transfer,
) -> Result<Bytes, SourceError> {
    let mut connection = ClientConnection::open(peer, CONNECT_TIMEOUT, MAX_BUFFER_BYTES)
        .await
        .map_err(|_| SourceError::Unreached)?;
    let mut request = Request::new(Bytes::new().into());
    *request.uri_mut() = path_and_query.parse().map_err(|_| SourceError::Malformed)?;
    let host = hyper::header::HeaderValue::from_str(&peer.to_string());
    let host = host.map_err(|_| SourceError::Malformed)?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let response = send_and_collect(&mut connection, request, transfer).await?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::SERVICE_UNAVAILABLE => Err(SourceError::NoCapacity),
        status => Err(SourceError::Refused(status.as_u16())),
    }
}

/// Decodes a list of routers; one that is longer than any fleet counts as malformed.
pub fn decode_routers(body: &[u8]) -> Result<Vec<SocketAddr>, SourceError> {
    let routers: Vec<SocketAddr> =
        postcard::from_bytes(body).map_err(|_| SourceError::Malformed)?;
    if routers.len() > MAX_ROUTERS {
        return Err(SourceError::Malformed);
    }
    Ok(routers)
}

/// Builds the response to a peer's request, with what that peer lacks. The target of the request
/// is a [`PeerQuery::path_and_query`] of this or the previous release.
pub fn respond_to_peer(router: &Router, path_and_query: &str) -> (StatusCode, Bytes) {
    let target = path_and_query.split_once('?');
    let target = target.filter(|(path, _)| [PATH, PATH_V3].contains(path));
    let Some((path, query)) =
        target.and_then(|(path, query)| Some((path, PeerQuery::parse(query)?)))
    else {
        return (StatusCode::NOT_FOUND, Bytes::new());
    };
    let update = match query {
        PeerQuery::Configuration(version) => PeerUpdate {
            configuration: newer_configuration(router, version),
            directory: None,
        },
        PeerQuery::Directory(revision) => PeerUpdate {
            configuration: None,
            directory: Some(directory_changes(router, revision)),
        },
        PeerQuery::Routers => return encoded_response(&router.peers.borrow().live_routers()),
    };
    if path == PATH_V3 {
        return encoded_response(&update);
    }
    encoded_response(&CompactPeerUpdate {
        configuration: update.configuration,
        directory: update.directory.map(CompactDelta::from),
    })
}

/// A snapshot transfer in progress to a peer that starts. It counts against the limit on such
/// transfers until it is dropped.
pub struct SnapshotTransferGuard {
    router: Rc<Router>,
    query: PeerQuery,
    number: u64,
}

impl Drop for SnapshotTransferGuard {
    fn drop(&mut self) {
        if let Some(transfers) = self.query.snapshot_transfers(&self.router) {
            transfers.borrow_mut().end(self.number);
        }
    }
}

/// Builds the response to a request of the peer at an address, like [`respond_to_peer`], within
/// the limit on snapshot transfers: a peer that asks for a snapshot above the limit gets status
/// 503, upon which it asks another router. Keep the guard for as long as the response is in
/// transit.
pub fn serve_peer(
    router: &Rc<Router>,
    peer: IpAddr,
    path_and_query: &str,
) -> (StatusCode, Bytes, Option<SnapshotTransferGuard>) {
    let query = path_and_query.split_once('?').map(|(_, query)| query);
    let query = query.and_then(PeerQuery::parse);
    let snapshot = query.and_then(|query| Some((query, query.snapshot_transfers(router)?)));
    let Some((query, transfers)) = snapshot else {
        let (status, body) = respond_to_peer(router, path_and_query);
        return (status, body, None);
    };
    let remote_zone = router.peers.borrow().remote_zone_of(peer);
    let Some(number) = transfers.borrow_mut().begin(remote_zone, router.now()) else {
        return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), None);
    };
    let guard = SnapshotTransferGuard {
        router: router.clone(),
        query,
        number,
    };
    let (status, body) = respond_to_peer(router, path_and_query);
    transfers.borrow_mut().set_snapshot_bytes(body.len());
    (status, body, Some(guard))
}

fn encoded_response<T: Serialize>(document: &T) -> (StatusCode, Bytes) {
    match postcard::to_allocvec(document) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(error) => {
            log::error!(target: "peers", "cannot encode response to peer: {error}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn newer_configuration(router: &Router, version: u64) -> Option<Vec<u8>> {
    let current = router.configuration.borrow().clone()?;
    if current.version <= version {
        return None;
    }
    let history = router.configuration_history.borrow();
    let newer = match history.changes_from(version, &current) {
        Some(changes) => NewerConfiguration::Changes(changes),
        None => NewerConfiguration::Whole(TrafficDocument::from(current.as_ref())),
    };
    serde_json::to_vec(&newer).ok()
}

fn directory_changes(router: &Router, revision: u64) -> DirectoryDelta {
    let back_ends = router.back_ends.borrow();
    back_ends.changes_after(revision, router.directory_revision(), router.now())
}
