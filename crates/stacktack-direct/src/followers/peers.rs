//! Peers that know more: whom to ask, and when.

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

/// Time between looks at whether a peer knows more, where none says so.
const LOOK: Duration = Duration::from_millis(100);

/// Time in which something of a peer's answer has to arrive. A peer that is silent
/// longer is passed by while another one knows as much.
const PEER_PATIENCE: Duration = Duration::from_millis(1100);

/// Learns from peers for ever what the store has not told. Configuration and directory
/// are followed apart: a large document on a narrow link must not hold up the news that
/// a back end leaves.
pub async fn fetch_from_peers(router: Rc<Router>, source: Rc<dyn PeerSource>) {
    let follower = |subject| PeerFollower {
        router: router.clone(),
        source: source.clone(),
        subject,
        passed_by: Vec::new(),
        behind_since: None,
    };
    tokio::join!(
        follower(Subject::Configuration).follow(),
        follower(Subject::Directory).follow()
    );
}

/// What a follower asks peers for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Configuration,
    Directory,
}

/// Learns from peers about one subject.
struct PeerFollower {
    router: Rc<Router>,
    source: Rc<dyn PeerSource>,
    subject: Subject,
    /// Peers that failed to answer, or had no room, when they were asked last.
    passed_by: Vec<SocketAddr>,
    /// Since when peers have known more without telling it.
    behind_since: Option<Time>,
}

impl PeerFollower {
    async fn follow(mut self) {
        let router = self.router.clone();
        loop {
            tokio::select! {
                () = router.newer_revision_announced.notified() => {}
                () = sleep(LOOK) => {}
            }
            self.note_behind();
            while let Some(peer) = self.whom_to_ask() {
                if self.fetch(peer).await != Err(SourceError::NoCapacity) {
                    break;
                }
                self.wait_for_room().await;
            }
            self.note_behind();
        }
    }

    /// Has the store asked where peers know more and none of them tells it in time. A router that starts
    /// asks it after a time of its own.
    fn note_behind(&mut self) {
        if self.starts() {
            self.behind_since = None;
            return;
        }
        let now = self.router.now();
        self.behind_since = self.whom_to_ask().and(self.behind_since.or(Some(now)));
        let (budget, look) = match self.subject {
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
            look.notify_one();
        }
    }

    /// Whether nothing is known of the subject.
    fn starts(&self) -> bool {
        match self.subject {
            Subject::Configuration => self.router.configuration_version() == 0,
            Subject::Directory => self.router.directory_revision() == 0,
        }
    }

    fn whom_to_ask(&self) -> Option<SocketAddr> {
        let peers = self.router.peers.borrow();
        match self.subject {
            Subject::Configuration => {
                peers.with_newer_configuration(self.router.configuration_version(), &self.passed_by)
            }
            Subject::Directory => {
                // Not what was heard: a departure that is held here may be decided there.
                peers.with_newer_directory(self.router.directory_revision(), &self.passed_by)
            }
        }
    }

    /// Waits until a peer of the own zone that was not asked yet may have room, or for the time between looks.
    /// A copy from another zone is dearer than that.
    async fn wait_for_room(&mut self) {
        let another = async {
            while !self.knows_another_near() {
                self.router.newer_revision_announced.notified().await;
            }
        };
        if timeout(LOOK, another).await.is_err() {
            let last = self.passed_by.pop();
            self.passed_by = last.into_iter().collect();
        }
    }

    /// Whether a peer of the own zone that was not passed by knows more.
    fn knows_another_near(&self) -> bool {
        self.whom_to_ask().is_some_and(|peer| {
            !self.passed_by.contains(&peer) && self.router.peers.borrow().is_in_own_zone(peer)
        })
    }

    /// Fetches what a peer knows beyond this router.
    async fn fetch(&mut self, peer: SocketAddr) -> Result<(), SourceError> {
        let transfer = Transfer::begin();
        let known = match self.subject {
            Subject::Configuration => PeerQuery::Configuration(self.router.configuration_version()),
            Subject::Directory => PeerQuery::Directory(self.router.directory_revision()),
        };
        let call = self.source.fetch_update(peer, known, transfer.clone());
        let near = self.router.peers.borrow().is_in_own_zone(peer);
        let answer = with_idle_timeout(call, &transfer, PEER_PATIENCE).await;
        let (bytes, ms) = (transfer.bytes(), transfer.elapsed().as_millis());
        match answer {
            Ok(knowledge) => {
                self.passed_by.clear();
                if let Some(newer) = knowledge.configuration {
                    log::info!(target: "peers", "peer={peer} fetched=configuration near={near} bytes={bytes} ms={ms}");
                    self.take_configuration(&newer);
                }
                if let Some(delta) = knowledge.directory {
                    log::info!(
                        target: "peers",
                        "peer={peer} fetched=directory near={near} revision={} whole={} changes={} bytes={bytes} ms={ms}",
                        delta.revision,
                        delta.whole,
                        delta.present.len() + delta.gone.len(),
                    );
                    self.take_directory(delta);
                }
                self.router.apply_peer_claims();
                Ok(())
            }
            Err(error) => {
                log::info!(
                    target: "peers",
                    "peer={peer} fetched=false cause=\"{error}\" bytes={bytes} ms={ms}"
                );
                self.pass_by(peer, error).await;
                Err(error)
            }
        }
    }

    /// A peer told nothing.
    async fn pass_by(&mut self, peer: SocketAddr, error: SourceError) {
        if error == SourceError::NoCapacity {
            self.passed_by.push(peer);
            return;
        }
        self.passed_by = vec![peer];
        sleep(LOOK).await;
    }

    /// Takes a configuration over, if the changes are from the version in force: the
    /// store may have told a newer one since the peer was asked.
    fn take_configuration(&self, newer: &[u8]) {
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

    fn take_directory(&self, delta: DirectoryDelta) {
        if delta.revision > self.router.directory_revision() {
            let revision = delta.revision;
            apply_delta(&self.router, delta, revision, RemovalEvidence::PeerDecided);
        }
    }
}
