//! News between routers: datagrams both ways, and whole documents from a peer
//! that knows more.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use stacktack_core::direct::back_end::BackEndEntry;
use stacktack_core::direct::peers::{OwnNews, PeerNews, ShortId, MAXIMUM_DATAGRAM};
use stacktack_core::direct::route::{TrafficConfiguration, TrafficDocument};
use stacktack_core::time::Time;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::client::{whole_answer, ClientConnection};
use crate::followers::{Dependency, DirectoryFollower};
use crate::ports::DirectoryNews;
use crate::router::Router;

/// Time between rounds of news.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a configuration that a peer knows is awaited from the store.
const CONFIGURATION_GRACE: Duration = Duration::from_millis(300);

/// Time between fetches of the directory while the store does not answer.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(700);

/// Longest time for a connection to a peer, and for its answer.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// Path of the documents that peers fetch.
const PATH: &str = "/knowledge";

/// What a router hands to a peer that asks.
#[derive(Debug, Serialize, Deserialize)]
struct Knowledge {
    configuration: Option<TrafficDocument>,
    directory_revision: u64,
    directory: Vec<BackEndEntry>,
}

/// Answers a peer: the configuration if it is newer than the one asked with,
/// and the directory. The query is the version that the peer has.
pub fn answer_peer(router: &Router, path_and_query: &str) -> (StatusCode, Bytes) {
    let Some(version) = path_and_query
        .strip_prefix(PATH)
        .and_then(|rest| rest.strip_prefix('?'))
        .and_then(|version| version.parse::<u64>().ok())
    else {
        return (StatusCode::NOT_FOUND, Bytes::new());
    };
    let configuration = router.configuration.borrow().clone();
    let knowledge = Knowledge {
        configuration: configuration
            .filter(|known| known.version > version)
            .map(|known| TrafficDocument::from(known.as_ref())),
        directory_revision: router.directory_revision.get(),
        directory: router
            .back_ends
            .borrow()
            .iter()
            .map(|back_end| back_end.entry.clone())
            .collect(),
    };
    match serde_json::to_vec(&knowledge) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

/// Takes datagrams of peers for ever.
pub async fn receive(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAXIMUM_DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(INTERVAL).await;
            continue;
        };
        match postcard::from_bytes::<PeerNews>(&buffer[..length]) {
            Ok(news) => take(&router, &news),
            Err(_) => log::debug!(target: "peers", "a datagram does not parse"),
        }
    }
}

fn take(router: &Router, news: &PeerNews) {
    let now = router.now();
    let joined = router.peers.borrow_mut().receive(news, now);
    if joined {
        log::info!(
            target: "peers",
            "peer={} joined=true incarnation={} configuration={} directory={}",
            news.from,
            news.incarnation,
            news.configuration,
            news.directory,
        );
    }
    if news.places.is_empty() {
        return;
    }
    let back_ends = router.back_ends.borrow();
    let mut places = router.places.borrow_mut();
    for (part, short) in &news.places {
        if let Some(id) = back_ends.id_of(*short) {
            places.record(*part, id, now);
        }
    }
}

/// Tells peers and learns from them for ever.
pub async fn exchange(router: Rc<Router>, socket: Rc<UdpSocket>, store: Rc<Dependency>) {
    let mut random = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut behind_since: Option<Time> = None;
    let mut directory_fetched = Time(0);
    loop {
        sleep(INTERVAL).await;
        tell(&router, &socket, &mut random).await;
        let now = router.now();
        router.take_peer_loads();
        let version = router.version();
        let newer = router.peers.borrow().newest_configuration();
        let newer = newer.filter(|(_, theirs)| *theirs > version);
        behind_since = newer.and(behind_since.or(Some(now)));
        let patience = if store.is_lost() {
            Duration::ZERO
        } else {
            CONFIGURATION_GRACE
        };
        if let (Some((peer, _)), Some(since)) = (newer, behind_since) {
            if now.since(since) >= patience {
                fetch(&router, peer, store.is_lost()).await;
                continue;
            }
        }
        let revision = router.directory_revision.get();
        let newest = router.peers.borrow().newest_directory();
        if let Some((peer, _)) = newest.filter(|(_, theirs)| *theirs > revision) {
            if store.is_lost() && now.since(directory_fetched) >= DIRECTORY_INTERVAL {
                directory_fetched = now;
                fetch(&router, peer, true).await;
            }
        }
    }
}

async fn tell(router: &Router, socket: &UdpSocket, random: &mut ChaCha8Rng) {
    let own = OwnNews {
        configuration: router.version(),
        directory: router.directory_revision.get(),
        loads: router
            .back_ends
            .borrow()
            .iter()
            .filter(|back_end| back_end.in_flight > 0)
            .map(|back_end| {
                let load = u16::try_from(back_end.in_flight).unwrap_or(u16::MAX);
                (ShortId::of(back_end.id_hash), load)
            })
            .collect(),
    };
    let now = router.now();
    let outgoing = router.peers.borrow_mut().tick(&own, now, random);
    for datagram in outgoing {
        let Ok(bytes) = postcard::to_allocvec(&datagram.news) else {
            continue;
        };
        router.peers.borrow_mut().on_sent(bytes.len());
        // A datagram that cannot be sent is one that is lost.
        let _ = socket.send_to(&bytes, datagram.to).await;
    }
}

/// Fetches what a peer knows beyond this router.
async fn fetch(router: &Rc<Router>, peer: std::net::SocketAddr, with_directory: bool) {
    let Some(knowledge) = ask(router.version(), peer).await else {
        log::info!(target: "peers", "peer={peer} fetched=false");
        return;
    };
    log::info!(
        target: "peers",
        "peer={peer} fetched=true configuration={} directory={}",
        knowledge.configuration.as_ref().map_or(0, |known| known.version),
        knowledge.directory_revision,
    );
    if let Some(document) = knowledge.configuration {
        router.adopt(Arc::new(TrafficConfiguration::from(document)));
    }
    let fresh = knowledge.directory_revision > router.directory_revision.get();
    if with_directory && fresh {
        let news = DirectoryNews {
            revision: knowledge.directory_revision,
            whole: true,
            present: knowledge.directory,
            ..DirectoryNews::default()
        };
        DirectoryFollower::take_settled(router, news);
    }
}

async fn ask(version: u64, peer: std::net::SocketAddr) -> Option<Knowledge> {
    let mut connection = ClientConnection::open(peer, CONNECT_LIMIT).await.ok()?;
    let mut request = Request::new(Bytes::new().into());
    *request.uri_mut() = format!("{PATH}?{version}").parse().ok()?;
    let host = hyper::header::HeaderValue::from_str(&peer.to_string()).ok()?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let answer = whole_answer(&mut connection, request, ANSWER_LIMIT)
        .await
        .ok()?;
    serde_json::from_slice(answer.body()).ok()
}
