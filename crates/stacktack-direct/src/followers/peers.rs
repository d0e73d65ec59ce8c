//! Fetches from peers what this router lacks: which peer to ask, and when.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_core::time::Time;
use tokio::time::{sleep, timeout};

use super::directory::apply_delta;
use crate::peer_updates::{NewerConfiguration, PeerQuery, PeerSource};
use crate::ports::SourceError;
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Time between two checks whether a peer has a newer revision, while no gossip announces one.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without any byte after which a fetch from a peer fails. The peer is avoided while another
/// one knows as much.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(1100);

/// Fetches from peers what this router has not read from the store. Never returns. Configuration
/// and directory are fetched independently: a large document on a narrow link must not delay the
/// departure of a back end.
pub async fn fetch_from_peers(router: Rc<Router>, source: Rc<dyn PeerSource>) {
    let fetcher = |subject| PeerFetcher {
        router: router.clone(),
        source: source.clone(),
        subject,
        avoid: Vec::new(),
        behind_since: None,
    };
    tokio::join!(
        fetcher(Subject::Configuration).run(),
        fetcher(Subject::Directory).run()
    );
}

/// What a [`PeerFetcher`] asks peers for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Configuration,
    Directory,
}

/// Fetches one subject from peers.
struct PeerFetcher {
    router: Rc<Router>,
    source: Rc<dyn PeerSource>,
    subject: Subject,
    /// Peers that failed to answer, or had no free capacity, when they were asked last.
    avoid: Vec<SocketAddr>,
    /// Since when peers have had a newer revision than this router without sending it, counted anew
    /// after each poll of the store that this caused.
    behind_since: Option<Time>,
}

impl PeerFetcher {
    async fn run(mut self) {
        let router = self.router.clone();
        loop {
            tokio::select! {
                () = router.newer_revision_announced.notified() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
            self.poll_store_if_behind();
            while let Some(peer) = self.select_peer() {
                if self.fetch(peer).await != Err(SourceError::NoCapacity) {
                    break;
                }
                self.wait_for_capacity().await;
            }
            self.poll_store_if_behind();
        }
    }

    /// Requests a poll of the store if peers have had a newer revision for too long and none of
    /// them has sent it. A router that knows nothing yet calls the store after its start delay
    /// instead.
    fn poll_store_if_behind(&mut self) {
        if self.is_uninitialized() {
            self.behind_since = None;
            return;
        }
        let now = self.router.now();
        self.behind_since = self.select_peer().and(self.behind_since.or(Some(now)));
        let (budget, poll) = match self.subject {
            Subject::Configuration => (
                self.router.configuration_budget(),
                &self.router.configuration_poll_due,
            ),
            Subject::Directory => (
                self.router.directory_budget(),
                &self.router.directory_poll_due,
            ),
        };
        if self
            .behind_since
            .is_some_and(|since| now.since(since) >= budget.answer_timeout())
        {
            self.behind_since = Some(now);
            poll.notify_one();
        }
    }

    /// Whether nothing is known of the subject.
    fn is_uninitialized(&self) -> bool {
        match self.subject {
            Subject::Configuration => self.router.configuration_version() == 0,
            Subject::Directory => self.router.directory_revision() == 0,
        }
    }

    /// A peer that has a newer revision than this router, if there is one; avoided peers only if
    /// there is no other.
    fn select_peer(&self) -> Option<SocketAddr> {
        let peers = self.router.peers.borrow();
        match self.subject {
            Subject::Configuration => {
                peers.with_newer_configuration(self.router.configuration_version(), &self.avoid)
            }
            Subject::Directory => {
                // Not the newest revision received: a removal that is pending here may be decided
                // at a peer.
                peers.with_newer_directory(self.router.directory_revision(), &self.avoid)
            }
        }
    }

    /// Waits until there is another peer in the own zone to ask, at most for the check interval: a
    /// copy from another zone costs more than the wait. If there is none by then, only the peer
    /// that was asked last stays avoided.
    async fn wait_for_capacity(&mut self) {
        let another = async {
            while !self.has_untried_peer_in_zone() {
                self.router.newer_revision_announced.notified().await;
            }
        };
        if timeout(CHECK_INTERVAL, another).await.is_err() {
            let last = self.avoid.pop();
            self.avoid = last.into_iter().collect();
        }
    }

    /// Whether a peer of the own zone has a newer revision and is not avoided.
    fn has_untried_peer_in_zone(&self) -> bool {
        self.select_peer().is_some_and(|peer| {
            !self.avoid.contains(&peer) && self.router.peers.borrow().is_in_own_zone(peer)
        })
    }

    /// Fetches from a peer what is newer than the revision of this router.
    async fn fetch(&mut self, peer: SocketAddr) -> Result<(), SourceError> {
        let transfer = Transfer::begin();
        let query = match self.subject {
            Subject::Configuration => PeerQuery::Configuration(self.router.configuration_version()),
            Subject::Directory => PeerQuery::Directory(self.router.directory_revision()),
        };
        let call = self.source.fetch_update(peer, query, transfer.clone());
        let near = self.router.peers.borrow().is_in_own_zone(peer);
        let result = with_idle_timeout(call, &transfer, PEER_IDLE_TIMEOUT).await;
        let (bytes, ms) = (transfer.bytes(), transfer.elapsed().as_millis());
        match result {
            Ok(knowledge) => {
                self.avoid.clear();
                if let Some(newer) = knowledge.configuration {
                    log::info!(target: "peers", "peer={peer} fetched=configuration near={near} bytes={bytes} ms={ms}");
                    self.apply_configuration(&newer);
                }
                if let Some(delta) = knowledge.directory {
                    log::info!(
                        target: "peers",
                        "peer={peer} fetched=directory near={near} revision={} whole={} changes={} bytes={bytes} ms={ms}",
                        delta.revision,
                        delta.whole,
                        delta.present.len() + delta.gone.len(),
                    );
                    self.apply_directory(delta);
                }
                self.router.apply_peer_claims();
                Ok(())
            }
            Err(error) => {
                log::info!(
                    target: "peers",
                    "peer={peer} fetched=false cause=\"{error}\" bytes={bytes} ms={ms}"
                );
                self.avoid_peer(peer, error).await;
                Err(error)
            }
        }
    }

    /// Avoids a peer after a failed fetch: one without free capacity in addition to the peers
    /// avoided so far, any other in place of them. In the second case waits for the check interval.
    async fn avoid_peer(&mut self, peer: SocketAddr, error: SourceError) {
        if error == SourceError::NoCapacity {
            self.avoid.push(peer);
            return;
        }
        self.avoid = vec![peer];
        sleep(CHECK_INTERVAL).await;
    }

    /// Adopts a configuration, unless it is a change from a version other than the one in force: a
    /// newer version may have been read from the store since the peer was asked.
    fn apply_configuration(&self, newer: &[u8]) {
        let newer = match serde_json::from_slice::<NewerConfiguration>(newer) {
            Ok(newer) => newer,
            Err(error) => {
                log::warn!(target: "configuration", "adopted=false cause=\"{error}\"");
                return;
            }
        };
        let version = newer.version();
        let before = self.router.configuration.borrow().clone();
        match newer.apply_to(before.as_deref()) {
            Some(configuration) => self.router.apply_configuration(Arc::new(configuration)),
            None => log::info!(
                target: "configuration",
                "version={version} adopted=false cause=changes_from_another_version in_force={}",
                self.router.configuration_version(),
            ),
        }
    }

    fn apply_directory(&self, delta: DirectoryDelta) {
        if delta.revision > self.router.directory_revision() {
            let revision = delta.revision;
            apply_delta(&self.router, delta, revision, RemovalEvidence::PeerDecided);
        }
    }
}
