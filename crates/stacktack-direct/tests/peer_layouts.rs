//! Transfer of the directory between routers of this release and of the previous one.

#[allow(dead_code, reason = "these tests use neither virtual time nor seeds")]
mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;

use hyper::StatusCode;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryDelta};
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::apply_delta;
use stacktack_direct::peer_updates::{
    respond_to_peer, serve_peer, HttpPeers, PeerQuery, PeerSource,
};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

use common::router;

/// Path, up to the query, for the layout of the previous release, in which entries are not
/// compacted.
const PREVIOUS_PATH: &str = "/knowledge/3?";

/// A directory with one back end and one removed entry, as the previous release encodes it.
const PREVIOUS_DIRECTORY: &[u8] = &[
    0, 1, 9, 1, 1, 1, b'a', 5, 0, 127, 0, 0, 1, 9, 1, 4, b'z', b'o', b'n', b'e', 1, b'b', 4, 1, 2,
    0, 7, 1, 1, b'c', 8,
];

/// Creates a router with the content of [`PREVIOUS_DIRECTORY`].
fn router_with_directory() -> Rc<Router> {
    let (_, delta): (Option<Vec<u8>>, Option<DirectoryDelta>) =
        postcard::from_bytes(PREVIOUS_DIRECTORY).expect("parses");
    let router = router();
    apply_delta(
        &router,
        delta.expect("a directory"),
        9,
        RemovalEvidence::PeerDecided,
    );
    router
}

/// Creates a router with a directory of 3000 back ends, too large for an unlimited transfer.
fn router_with_large_directory() -> Rc<Router> {
    let (_, delta): (Option<Vec<u8>>, Option<DirectoryDelta>) =
        postcard::from_bytes(PREVIOUS_DIRECTORY).expect("parses");
    let mut delta = delta.expect("a directory");
    let entry = delta.present[0].clone();
    delta.present = (0..3000)
        .map(|number| BackEndEntry {
            id: format!("back-end-{number}"),
            ..entry.clone()
        })
        .collect();
    let router = router();
    apply_delta(&router, delta, 9, RemovalEvidence::PeerDecided);
    router
}

#[test]
fn a_router_of_the_previous_release_is_answered_in_its_layout() {
    let (status, body) = respond_to_peer(
        &router_with_directory(),
        &format!("{PREVIOUS_PATH}revision=0"),
    );
    assert_eq!(status, StatusCode::OK);
    let (_, delta): (Option<Vec<u8>>, Option<DirectoryDelta>) =
        postcard::from_bytes(&body).expect("parses");
    let delta = delta.expect("a directory");
    assert_eq!((delta.revision, delta.whole), (9, true));
    let entry = &delta.present[0];
    assert_eq!((entry.id.as_str(), entry.born, entry.slots), ("a", 5, 4));
    assert_eq!(entry.zone(), Some("b"));
    assert!(entry.leaving);
}

/// Answers two requests as a router of the previous release does.
fn serve_as_previous_release(listener: &TcpListener) -> std::io::Result<()> {
    for _ in 0..2 {
        let (mut stream, _) = listener.accept()?;
        let mut head = [0; 1024];
        let length = stream.read(&mut head)?;
        let is_known_path = head[..length].starts_with(format!("GET {PREVIOUS_PATH}").as_bytes());
        let (status, body) = if is_known_path {
            ("200 OK", PREVIOUS_DIRECTORY)
        } else {
            ("404 Not Found", &[][..])
        };
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
    }
    Ok(())
}

/// While the routers of a fleet are replaced one by one, both releases run side by side.
#[test]
fn the_directory_is_fetched_from_a_router_of_the_previous_release() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let address = listener.local_addr().expect("address");
    let peer = thread::spawn(move || serve_as_previous_release(&listener));
    let answer = actix_rt::System::new().block_on(async {
        let query = PeerQuery::Directory(0);
        HttpPeers
            .fetch_update(address, query, Transfer::begin())
            .await
    });
    let delta = answer.expect("answered").directory.expect("a directory");
    assert_eq!((delta.revision, delta.whole), (9, true));
    assert_eq!(delta.present[0].id, "a");
    assert_eq!(delta.gone[0].id, "c");
    peer.join().expect("no panic").expect("served");
}

#[test]
fn a_query_in_an_unknown_layout_is_rejected() {
    let (status, _) = respond_to_peer(&router(), "/knowledge/2?revision=0");
    assert_eq!(status, StatusCode::NOT_FOUND);
}

/// A router that starts asks for a snapshot, and only a few of these are sent at once. A router
/// that serves asks for changes, which are never refused.
#[test]
fn large_snapshot_transfers_are_limited_and_changes_are_not() {
    let router = router_with_large_directory();
    let caller = "127.0.0.2".parse().expect("address");
    let ask = |query: PeerQuery| serve_peer(&router, caller, &query.path_and_query());
    let transfers: Vec<_> = (0..9).map(|_| ask(PeerQuery::Directory(0))).collect();
    let served = transfers
        .iter()
        .filter(|(status, ..)| *status == StatusCode::OK);
    assert!((1..=4).contains(&served.count()));
    let (status, ..) = ask(PeerQuery::Directory(8));
    assert_eq!(status, StatusCode::OK);
    let (status, ..) = ask(PeerQuery::Configuration(0));
    assert_eq!(status, StatusCode::OK);
    drop(transfers);
    let (status, ..) = ask(PeerQuery::Directory(0));
    assert_eq!(status, StatusCode::OK);
}
