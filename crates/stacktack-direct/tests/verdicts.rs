//! How a router reads verdicts on fatal requests from a store and writes them there, on virtual
//! time.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::{BackEndEntry, InstanceId};
use stacktack_core::direct::quarantine::digest::{RequestIdentity, SuspectDigest};
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::stored_verdicts::StoredVerdict;
use stacktack_core::direct::quarantine::suspects::{CallerHash, Suspects};
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_direct::followers::sync_verdicts;
use stacktack_direct::ports::{LocalBoxFuture, SourceError, VerdictStore};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

use common::{after, router, router_with};

/// A store of verdicts that counts the calls.
#[derive(Default)]
struct Store {
    down: Cell<bool>,
    /// Epochs of the verdicts by request.
    verdicts: RefCell<BTreeMap<SuspectDigest, u32>>,
    reads: Cell<u32>,
    writes: Cell<u32>,
}

impl Store {
    fn check(&self) -> Result<(), SourceError> {
        match self.down.get() {
            true => Err(SourceError::Refused(503)),
            false => Ok(()),
        }
    }
}

impl VerdictStore for Store {
    fn verdicts(
        &self,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<Vec<StoredVerdict>, SourceError>> {
        self.reads.set(self.reads.get() + 1);
        Box::pin(async move {
            self.check()?;
            let verdicts = self.verdicts.borrow();
            let verdicts = verdicts.iter();
            Ok(verdicts
                .map(|(digest, epoch)| StoredVerdict {
                    digest: *digest,
                    epoch: *epoch,
                    part: None,
                })
                .collect())
        })
    }

    fn change_verdicts(
        &self,
        stored: &[StoredVerdict],
        dropped: &[SuspectDigest],
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<(), SourceError>> {
        self.writes.set(self.writes.get() + 1);
        let (stored, dropped) = (stored.to_vec(), dropped.to_vec());
        Box::pin(async move {
            self.check()?;
            let mut verdicts = self.verdicts.borrow_mut();
            verdicts.extend(stored.iter().map(|verdict| (verdict.digest, verdict.epoch)));
            verdicts.retain(|digest, _| !dropped.contains(digest));
            Ok(())
        })
    }
}

fn request() -> SuspectDigest {
    SuspectDigest::of_request(&RequestIdentity {
        caller: "caller",
        method: "GET",
        host: "host",
        target: "/",
        body: b"",
    })
}

fn instance(born: u64) -> InstanceId {
    InstanceId::of(&BackEndEntry {
        id: "b".to_owned(),
        born,
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        labels: Default::default(),
        slots: 1,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    })
}

/// Records three crashes under the request, so that it is set aside.
fn set_aside(router: &Router) {
    for born in 1..=3 {
        let now = router.now();
        let mut quarantine = router.quarantine.borrow_mut();
        let suspects = Suspects {
            request: Some(request()),
            parts: [].into(),
            caller: CallerHash::default(),
        };
        let version = SoftwareVersion {
            service: String::new(),
            version: String::new(),
        };
        quarantine.on_crash(&suspects, instance(born), version.hash(), true, now);
    }
}

fn treatment(router: &Router) -> Treatment {
    let now = router.now();
    router.quarantine.borrow_mut().treatment(request(), now)
}

fn start(router: &Rc<Router>, store: &Rc<Store>) {
    tokio::task::spawn_local(sync_verdicts(router.clone(), store.clone()));
}

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_router_that_starts_reads_the_stored_verdicts() {
    run_local(async {
        let store = Rc::new(Store::default());
        store.verdicts.borrow_mut().insert(request(), 3);
        let router = router();
        start(&router, &store);
        after(10).await;
        assert_eq!(treatment(&router), Treatment::SetAside);
        after(10_000).await;
        assert_eq!((store.reads.get(), store.writes.get()), (1, 0));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_verdict_is_written_once_the_store_answers() {
    run_local(async {
        let store = Rc::new(Store::default());
        let router = router();
        start(&router, &store);
        after(500).await;
        store.down.set(true);
        set_aside(&router);
        after(5_000).await;
        assert!(store.verdicts.borrow().is_empty() && store.writes.get() > 3);
        store.down.set(false);
        after(2_000).await;
        assert_eq!(store.verdicts.borrow().get(&request()), Some(&0));
        let writes = store.writes.get();
        after(10_000).await;
        assert_eq!(store.writes.get(), writes);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_verdict_is_lifted_by_dropping_it_or_by_a_successful_run() {
    run_local(async {
        let store = Rc::new(Store::default());
        let router = router();
        start(&router, &store);
        after(500).await;
        set_aside(&router);
        after(500).await;
        assert_eq!(store.verdicts.borrow().len(), 1);
        store.verdicts.borrow_mut().clear();
        after(80_000).await;
        assert_eq!(
            treatment(&router),
            Treatment::Usual,
            "an operator dropped it"
        );
        set_aside(&router);
        after(500).await;
        assert_eq!(store.verdicts.borrow().get(&request()), Some(&1));
        let now = router.now();
        router
            .quarantine
            .borrow_mut()
            .on_successful_run(request(), now);
        after(500).await;
        assert!(
            store.verdicts.borrow().is_empty(),
            "a run of it was successful"
        );
    })
    .await;
}

/// More than half of the peers fell silent: the verdicts that they know reach the router over the
/// store only.
#[tokio::test(start_paused = true)]
async fn a_router_whose_peers_fell_silent_reads_each_second() {
    run_local(async {
        let store = Rc::new(Store::default());
        let router = router_with(Rc::new(stacktack_direct::clock::RuntimeClock::start()));
        start(&router, &store);
        after(500).await;
        assert_eq!(store.reads.get(), 1);
        receive_gossip_of_one_peer(&router);
        after(2_000).await;
        assert_eq!(store.reads.get(), 1, "the peer sent gossip recently");
        after(1_000).await;
        router
            .peers
            .borrow_mut()
            .tick(&Default::default(), router.now());
        after(10_000).await;
        let reads = store.reads.get();
        assert!((9..=12).contains(&reads), "{reads}");
        store.verdicts.borrow_mut().insert(request(), 0);
        after(1_200).await;
        assert_eq!(treatment(&router), Treatment::SetAside);
    })
    .await;
}

/// Guards against reads that are put off by failures of an earlier isolation.
#[tokio::test(start_paused = true)]
async fn a_router_whose_peers_fall_silent_again_reads_each_second_again() {
    run_local(async {
        let store = Rc::new(Store::default());
        let router = router_with(Rc::new(stacktack_direct::clock::RuntimeClock::start()));
        start(&router, &store);
        after(500).await;
        receive_gossip_of_one_peer(&router);
        let expire_peers = || {
            router
                .peers
                .borrow_mut()
                .tick(&Default::default(), router.now())
        };
        after(3_000).await;
        store.down.set(true);
        expire_peers();
        after(30_000).await;
        let reads = store.reads.get();
        while store.reads.get() == reads {
            after(10).await;
        }
        // The last read of the isolation has just failed.
        store.down.set(false);
        receive_gossip_of_one_peer(&router);
        let reads = store.reads.get();
        after(3_000).await;
        expire_peers();
        after(1_200).await;
        assert!(store.reads.get() > reads, "no read in the first second");
    })
    .await;
}

fn receive_gossip_of_one_peer(router: &Router) {
    let from = SocketAddr::from(([127, 0, 0, 1], 10));
    let gossip = steady_peer::steady_peer_gossip(from, 0, 0);
    let now = router.now();
    router.peers.borrow_mut().receive(&gossip, now);
}

#[path = "common/steady_peer.rs"]
mod steady_peer;
