//! A peer that hands over what a router knows.

use std::net::SocketAddr;
use std::rc::Rc;

use stacktack_direct::knowledge::{answer_peer, Knowledge, Known, PeerSource};
use stacktack_direct::ports::{LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

/// What a router knows, for whoever asks it.
pub struct ServingPeer(pub Rc<Router>);

impl PeerSource for ServingPeer {
    fn knowledge(
        &self,
        _: SocketAddr,
        known: Known,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Knowledge, SourceError>> {
        told_by(&self.0, known)
    }
}

/// What a router hands over to one that knows so much.
pub fn told_by(
    router: &Router,
    known: Known,
) -> LocalBoxFuture<'static, Result<Knowledge, SourceError>> {
    let (_, body) = answer_peer(router, &known.path_and_query());
    Box::pin(async move { Knowledge::read(&body) })
}
