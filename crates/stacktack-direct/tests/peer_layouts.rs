//! What routers hand over, between this release and the one before.

#[allow(
    dead_code,
    reason = "no time passes here and no router starts beside others"
)]
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

/// The path of the release before.
const FULL: &str = "/knowledge/3?";

/// What the release before hands over of a directory with one back end and one that left.
const FULL_DIRECTORY: &[u8] = &[
    0, 1, 9, 1, 1, 1, b'a', 5, 0, 127, 0, 0, 1, 9, 1, 4, b'z', b'o', b'n', b'e', 1, b'b', 4, 1, 2,
    0, 7, 1, 1, b'c', 8,
];

/// A router that knows what [`FULL_DIRECTORY`] says.
fn knowing() -> Rc<Router> {
    let (_, delta): (Option<Vec<u8>>, Option<DirectoryDelta>) =
        postcard::from_bytes(FULL_DIRECTORY).expect("parses");
    let router = router();
    apply_delta(
        &router,
        delta.expect("told"),
        9,
        RemovalEvidence::PeerDecided,
    );
    router
}

/// The same with a directory that is not small.
fn knowing_many() -> Rc<Router> {
    let (_, delta): (Option<Vec<u8>>, Option<DirectoryDelta>) =
        postcard::from_bytes(FULL_DIRECTORY).expect("parses");
    let mut delta = delta.expect("told");
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
    let (status, body) = respond_to_peer(&knowing(), &format!("{FULL}revision=0"));
    assert_eq!(status, StatusCode::OK);
    let (_, told): (Option<Vec<u8>>, Option<DirectoryDelta>) =
        postcard::from_bytes(&body).expect("parses");
    let told = told.expect("told");
    assert_eq!((told.revision, told.whole), (9, true));
    let entry = &told.present[0];
    assert_eq!((entry.id.as_str(), entry.born, entry.slots), ("a", 5, 4));
    assert_eq!(entry.zone(), Some("b"));
    assert!(entry.leaving);
}

/// A router of the release before, for two calls.
fn serve_as_before(listener: &TcpListener) -> std::io::Result<()> {
    for _ in 0..2 {
        let (mut stream, _) = listener.accept()?;
        let mut head = [0; 1024];
        let length = stream.read(&mut head)?;
        let asks_before = head[..length].starts_with(format!("GET {FULL}").as_bytes());
        let (status, body) = if asks_before {
            ("200 OK", FULL_DIRECTORY)
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

/// A fleet whose routers are replaced one by one has both releases side by side.
#[test]
fn the_directory_is_fetched_from_a_router_of_the_previous_release() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    let address = listener.local_addr().expect("address");
    let peer = thread::spawn(move || serve_as_before(&listener));
    let answer = actix_rt::System::new().block_on(async {
        let known = PeerQuery::Directory(0);
        HttpPeers
            .fetch_update(address, known, Transfer::begin())
            .await
    });
    let told = answer.expect("answered").directory.expect("told");
    assert_eq!((told.revision, told.whole), (9, true));
    assert_eq!(told.present[0].id, "a");
    assert_eq!(told.gone[0].id, "c");
    peer.join().expect("no panic").expect("served");
}

#[test]
fn a_query_in_an_unknown_layout_is_rejected() {
    let (status, _) = respond_to_peer(&router(), "/knowledge/2?revision=0");
    assert_eq!(status, StatusCode::NOT_FOUND);
}

/// Each that starts asks for all; those that serve ask for changes, and are never turned away.
#[test]
fn large_snapshot_transfers_are_limited_and_changes_are_not() {
    let router = knowing_many();
    let caller = "127.0.0.2".parse().expect("address");
    let ask = |known: PeerQuery| serve_peer(&router, caller, &known.path_and_query());
    let begun: Vec<_> = (0..9).map(|_| ask(PeerQuery::Directory(0))).collect();
    let served = begun
        .iter()
        .filter(|(status, ..)| *status == StatusCode::OK);
    assert!((1..=4).contains(&served.count()));
    let (status, ..) = ask(PeerQuery::Directory(8));
    assert_eq!(status, StatusCode::OK);
    let (status, ..) = ask(PeerQuery::Configuration(0));
    assert_eq!(status, StatusCode::OK);
    drop(begun);
    let (status, ..) = ask(PeerQuery::Directory(0));
    assert_eq!(status, StatusCode::OK);
}
