//! News between routers: datagrams both ways, and whole documents from a peer
//! that knows more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
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

/// Time for which what a peer knows is awaited from the store.
const BEHIND_FOR: Duration = Duration::from_millis(250);

/// Longest time for a connection to a peer, and for its answer.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// Path of the documents that peers fetch.
const PATH: &str = "/knowledge";

/// What a router hands to a peer that asks.
#[derive(Debug, Serialize, Deserialize)]
struct Knowledge {
    configuration: Option<TrafficDocument>,
    directory_changed: u64,
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
        directory_changed: router.directory_changed.get(),
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

/// Since when some peer knows more.
#[derive(Default)]
struct Behind(Option<Time>);

impl Behind {
    /// The peer to ask, once its news did not come otherwise for a while.
    fn whom_to_ask(
        &mut self,
        newest: Option<(SocketAddr, u64)>,
        own: u64,
        now: Time,
    ) -> Option<SocketAddr> {
        let newer = newest.filter(|(_, theirs)| *theirs > own);
        self.0 = newer.and(self.0.or(Some(now)));
        let since = self.0?;
        newer
            .filter(|_| now.since(since) >= BEHIND_FOR)
            .map(|(peer, _)| peer)
    }
}

/// Tells peers and learns from them for ever.
pub async fn exchange(router: Rc<Router>, socket: Rc<UdpSocket>, store: Rc<Dependency>) {
    let mut configuration = Behind::default();
    let mut directory = Behind::default();
    loop {
        sleep(INTERVAL).await;
        tell(&router, &socket, &store).await;
        router.take_peer_loads();
        let now = router.now();
        let newest = router.peers.borrow().newest_configuration();
        let ask_configuration = configuration.whom_to_ask(newest, router.version(), now);
        let newest = router.peers.borrow().newest_directory();
        let ask_directory = directory.whom_to_ask(newest, router.directory_changed.get(), now);
        for peer in ask_configuration.into_iter().chain(ask_directory) {
            fetch(&router, &store, peer).await;
        }
    }
}

async fn tell(router: &Router, socket: &UdpSocket, store: &Dependency) {
    let own = OwnNews {
        configuration: router.version(),
        directory: router.directory_changed.get(),
        serving: router.is_ready(),
        settled: store.is_steady(router.now()),
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
    let outgoing = router.peers.borrow_mut().tick(&own, now);
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
async fn fetch(router: &Rc<Router>, store: &Rc<Dependency>, peer: SocketAddr) {
    let Some(knowledge) = ask(router.version(), peer).await else {
        log::info!(target: "peers", "peer={peer} fetched=false");
        return;
    };
    log::info!(
        target: "peers",
        "peer={peer} fetched=true configuration={} directory={}",
        knowledge.configuration.as_ref().map_or(0, |known| known.version),
        knowledge.directory_changed,
    );
    if let Some(document) = knowledge.configuration {
        router.adopt(Arc::new(TrafficConfiguration::from(document)));
    }
    let fresh = knowledge.directory_changed > router.directory_changed.get();
    if fresh {
        let news = DirectoryNews {
            changed: knowledge.directory_changed,
            whole: true,
            present: knowledge.directory,
            ..DirectoryNews::default()
        };
        DirectoryFollower::take_from_peer(router, store, news);
    }
}

async fn ask(version: u64, peer: SocketAddr) -> Option<Knowledge> {
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
