//! Store of a simulated fleet, with outages that affect some or all routers.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::transfer::Transfer;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::scripted_directory::ScriptedDirectory;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time that a slow store takes for an answer.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(1360);

/// How the store treats a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Answers,
    /// Never answers, also not later, and leaves connections silent.
    Silent,
    /// Answers when the outage is over.
    Stalled,
    Refuses,
    Resets,
    Slow,
}

/// The store; each router calls it through a [`StoreConnection`].
#[derive(Default)]
pub struct Store {
    pub rows: ScriptedDirectory,
    services: RefCell<Vec<watch::Sender<Service>>>,
    /// Routers that got an answer, the latest one last.
    readers: RefCell<Vec<usize>>,
    /// Number of silent outages so far: connections from before the last one are dead.
    silent_outages: Cell<u32>,
}

impl Store {
    /// Returns the connection of one more router.
    pub fn connect(self: &Rc<Self>) -> Rc<StoreConnection> {
        let mut services = self.services.borrow_mut();
        services.push(watch::Sender::new(Service::Answers));
        Rc::new(StoreConnection {
            store: self.clone(),
            router: services.len() - 1,
            resting_since_outage: Cell::new(None),
        })
    }

    /// Sets how the store treats a router.
    pub fn set_service(&self, router: usize, service: Service) {
        if service == Service::Silent {
            self.silent_outages.set(self.silent_outages.get() + 1);
        }
        self.services.borrow()[router].send_replace(service);
    }

    /// The routers that got the latest answers, at most `count`, the latest one first.
    pub fn last_readers(&self, count: usize) -> Vec<usize> {
        self.readers
            .borrow()
            .iter()
            .rev()
            .take(count)
            .copied()
            .collect()
    }

    fn on_answered(&self, router: usize) {
        let mut readers = self.readers.borrow_mut();
        readers.retain(|reader| *reader != router);
        readers.push(router);
    }
}

/// One router's connection to the store.
pub struct StoreConnection {
    store: Rc<Store>,
    router: usize,
    /// Number of silent outages before the connection that rests was last used.
    resting_since_outage: Cell<Option<u32>>,
}

impl StoreConnection {
    async fn call(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> Result<DirectoryUpdate, SourceError> {
        let mut service = self.store.services.borrow()[self.router].subscribe();
        let outages = self.store.silent_outages.get();
        if self
            .resting_since_outage
            .take()
            .is_some_and(|used| used < outages)
        {
            return pending().await;
        }
        let now = *service.borrow_and_update();
        self.treat(now, &mut service).await?;
        let answer = async {
            let answer = self
                .store
                .rows
                .back_ends(after, wait, transfer.clone())
                .await;
            sleep(ANSWER_TIME).await;
            answer
        };
        let mut answer = std::pin::pin!(answer);
        let answer = loop {
            tokio::select! {
                answer = &mut answer => break answer?,
                _ = service.changed() => {
                    let now = *service.borrow_and_update();
                    self.treat(now, &mut service).await?;
                }
            }
        };
        transfer.on_bytes(100);
        self.store.on_answered(self.router);
        self.resting_since_outage.set(Some(outages));
        Ok(answer)
    }

    async fn treat(
        &self,
        service: Service,
        changes: &mut watch::Receiver<Service>,
    ) -> Result<(), SourceError> {
        match service {
            Service::Answers => Ok(()),
            Service::Silent => pending().await,
            Service::Stalled => {
                let over = changes.wait_for(|service| *service == Service::Answers);
                over.await.map(|_| ()).map_err(|_| SourceError::Broken)
            }
            Service::Refuses => Err(SourceError::Refused(503)),
            Service::Resets => Err(SourceError::Broken),
            Service::Slow => {
                sleep(SLOW_ANSWER_TIME).await;
                Ok(())
            }
        }
    }
}

impl Directory for StoreConnection {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        Box::pin(self.call(after, wait, transfer))
    }
}
