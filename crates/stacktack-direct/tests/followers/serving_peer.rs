//! A peer that hands over what a router knows.

use std::net::SocketAddr;
use std::rc::Rc;

use stacktack_direct::peer_updates::{respond_to_peer, PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

/// What a router knows, for whoever asks it.
pub struct ServingPeer(pub Rc<Router>);

impl PeerSource for ServingPeer {
    fn fetch_update(
        &self,
        _: SocketAddr,
        known: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        told_by(&self.0, known)
    }
}

/// What a router hands over to one that knows so much.
pub fn told_by(
    router: &Router,
    known: PeerQuery,
) -> LocalBoxFuture<'static, Result<PeerUpdate, SourceError>> {
    let (_, body) = respond_to_peer(router, &known.path_and_query());
    Box::pin(async move { PeerUpdate::decode(&body) })
}
