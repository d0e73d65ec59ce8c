//! Peers that know more: whom to ask, and when.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::sources::departure::Evidence;
use stacktack_core::time::Time;
use tokio::time::sleep;

use super::dependency::Dependency;
use super::directory::take_delta;
use crate::knowledge::{Known, NewerConfiguration, PeerSource};
use crate::router::Router;
use crate::transfer::{while_moving, Transfer};

/// Time for which what a peer knows is awaited from the store.
const BEHIND_FOR: Duration = Duration::from_millis(250);

/// Time for which the first read of the whole directory is awaited.
const FIRST_READ: Duration = Duration::from_secs(1);

/// Time between looks at whether a peer knows more.
const LOOK: Duration = Duration::from_millis(100);

/// Time in which something of a peer's answer has to arrive. A peer that is silent
/// longer is passed by while another one knows as much.
const PEER_PATIENCE: Duration = Duration::from_millis(1100);

/// Since when some peer knows more.
#[derive(Default)]
struct Behind(Option<Time>);

impl Behind {
    /// The peer to ask, once its news did not come otherwise for a while.
    fn whom_to_ask(
        &mut self,
        newer: Option<SocketAddr>,
        patience: Duration,
        now: Time,
    ) -> Option<SocketAddr> {
        self.0 = newer.and(self.0.or(Some(now)));
        let since = self.0?;
        newer.filter(|_| now.since(since) >= patience)
    }
}

/// Learns from peers for ever what the store has not told. Configuration and directory
/// are followed apart: a large document on a narrow link must not hold up the news that
/// a back end leaves.
pub async fn follow_peers(router: Rc<Router>, store: Rc<Dependency>, source: Rc<dyn PeerSource>) {
    let follower = |subject| PeerFollower {
        router: router.clone(),
        store: store.clone(),
        source: source.clone(),
        subject,
        behind: Behind::default(),
        failed: None,
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
    store: Rc<Dependency>,
    source: Rc<dyn PeerSource>,
    subject: Subject,
    behind: Behind,
    /// The peer that failed to answer last.
    failed: Option<SocketAddr>,
}

impl PeerFollower {
    async fn follow(mut self) {
        loop {
            sleep(LOOK).await;
            if let Some(peer) = self.whom_to_ask() {
                self.fetch(peer).await;
            }
        }
    }

    fn whom_to_ask(&mut self) -> Option<SocketAddr> {
        let now = self.router.now();
        let peers = self.router.peers.borrow();
        let newer = match self.subject {
            Subject::Configuration => {
                peers.with_newer_configuration(self.router.version(), self.failed)
            }
            Subject::Directory => {
                // Not what was heard: a departure that is held here may be decided there.
                peers.with_newer_directory(self.router.directory_revision(), self.failed)
            }
        };
        self.behind.whom_to_ask(newer, self.patience(), now)
    }

    /// Time for which news is awaited from the store. The first read of the directory
    /// takes long where it is large, and as long from a peer.
    fn patience(&self) -> Duration {
        let nothing_heard = self.router.directory_changed.get() == 0;
        match self.subject {
            Subject::Directory if nothing_heard && !self.store.is_lost() => FIRST_READ,
            _ => BEHIND_FOR,
        }
    }

    /// Fetches what a peer knows beyond this router.
    async fn fetch(&mut self, peer: SocketAddr) {
        let transfer = Transfer::begin();
        let known = match self.subject {
            Subject::Configuration => Known::Configuration(self.router.version()),
            Subject::Directory => Known::Directory(self.router.directory_revision()),
        };
        let call = self.source.knowledge(peer, known, transfer.clone());
        let answer = while_moving(call, &transfer, PEER_PATIENCE).await;
        let (bytes, ms) = (transfer.bytes(), transfer.elapsed().as_millis());
        match answer {
            Ok(knowledge) => {
                self.failed = None;
                if let Some(newer) = knowledge.configuration {
                    log::info!(target: "peers", "peer={peer} fetched=configuration bytes={bytes} ms={ms}");
                    self.take_configuration(&newer);
                }
                if let Some(delta) = knowledge.directory {
                    log::info!(
                        target: "peers",
                        "peer={peer} fetched=directory revision={} whole={} changes={} bytes={bytes} ms={ms}",
                        delta.revision,
                        delta.whole,
                        delta.present.len() + delta.gone.len(),
                    );
                    self.take_directory(delta);
                }
            }
            Err(error) => {
                self.failed = Some(peer);
                log::info!(
                    target: "peers",
                    "peer={peer} fetched=false cause=\"{error}\" bytes={bytes} ms={ms}"
                );
            }
        }
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
        match newer.over(before.as_deref()) {
            Some(configuration) => self.router.adopt(Arc::new(configuration)),
            None => log::info!(
                target: "configuration",
                "version={version} adopted=false cause=changes_from_another_version in_force={}",
                self.router.version(),
            ),
        }
    }

    fn take_directory(&self, delta: DirectoryDelta) {
        if delta.revision > self.router.directory_revision() {
            let revision = delta.revision;
            take_delta(&self.router, delta, revision, Evidence::Decided);
        }
    }
}
