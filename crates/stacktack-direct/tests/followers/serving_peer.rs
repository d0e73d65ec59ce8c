//! A peer that answers queries of other routers.

use std::net::SocketAddr;
use std::rc::Rc;

use stacktack_direct::peer_updates::{respond_to_peer, PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

/// Answers each query with what this router knows.
pub struct ServingPeer(pub Rc<Router>);

impl PeerSource for ServingPeer {
    fn fetch_update(
        &self,
        _: SocketAddr,
        query: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        update_from(&self.0, query)
    }
}

/// Response of a router to a query.
pub fn update_from(
    router: &Router,
    query: PeerQuery,
) -> LocalBoxFuture<'static, Result<PeerUpdate, SourceError>> {
    let (_, body) = respond_to_peer(router, &query.path_and_query());
    Box::pin(async move { PeerUpdate::decode(&body) })
}
