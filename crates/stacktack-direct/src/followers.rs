//! Followers of the configuration and of the directory: when to ask again and
//! what to believe.

use std::cell::RefCell;
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stacktack_core::chart::ChartError;
use stacktack_core::direct::back_end::DirectoryChange;
use stacktack_core::direct::departure::{DirectorySource, HeldDepartures};
use stacktack_core::time::Time;
use tokio::sync::Notify;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

use crate::ports::{ConfigurationSource, Directory, DirectoryNews, SourceError};
use crate::router::Router;

/// Longest wait for news of the configuration in one call.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(20);

/// Time beyond the wait after which a call counts as lost.
const CALL_SLACK: Duration = Duration::from_millis(1200);

/// The same while nothing is known: each call may be the one that falls into the
/// last moment of an outage.
const FIRST_CALL_SLACK: Duration = Duration::from_millis(500);

/// Wait for news of the directory in one call, for each router that shares the
/// watch: a call without an answer is how a lost store is noticed, and whoever
/// notices tells the others. At least and at most.
const DIRECTORY_WAIT_PER_ROUTER: Duration = Duration::from_secs(1);
const SHORTEST_DIRECTORY_WAIT: Duration = Duration::from_secs(4);
const LONGEST_DIRECTORY_WAIT: Duration = Duration::from_secs(20);

/// Time after news of the directory in which more is left to gather.
const DIRECTORY_GATHER: Duration = Duration::from_millis(500);

/// Time between looks at whether entries that vanished are gone.
const HELD_LOOK: Duration = Duration::from_millis(250);

/// Pauses after a failed call: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Pause while peers have what the store does not tell this router.
const INFORMED_PAUSE: Duration = Duration::from_millis(1500);

fn call_slack(something_known: bool) -> Duration {
    if something_known {
        CALL_SLACK
    } else {
        FIRST_CALL_SLACK
    }
}

/// The store as the directory's follower sees it; tells when it comes back.
pub struct Dependency {
    name: &'static str,
    source: RefCell<DirectorySource>,
    returned: Notify,
}

impl Dependency {
    /// A dependency that is taken to answer.
    pub fn new(name: &'static str) -> Result<Self, ChartError> {
        Ok(Dependency {
            name,
            source: RefCell::new(DirectorySource::new()?),
            returned: Notify::new(),
        })
    }

    fn on_answer(&self, now: Time) {
        if let Some(lost_for) = self.source.borrow_mut().on_answer(now) {
            log::info!(
                target: "dependency",
                "name={} regained=true after_ms={}",
                self.name,
                lost_for.as_millis()
            );
            self.returned.notify_waiters();
        }
    }

    fn on_failure(&self, now: Time, error: SourceError) {
        if self.source.borrow_mut().on_failure(now) {
            log::warn!(target: "dependency", "name={} lost=true cause=\"{error}\"", self.name);
        }
    }

    fn is_lost(&self) -> bool {
        self.source.borrow().is_lost()
    }

    /// Whether it answers, and all that lives had time to renew its entry.
    pub fn is_steady(&self, now: Time) -> bool {
        self.source.borrow_mut().is_steady(now)
    }
}

/// Pause before the next try; grows, and is spread so that a fleet does not
/// come back all at once.
struct Pause(Duration);

impl Pause {
    fn new() -> Self {
        Pause(FIRST_PAUSE)
    }

    fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }

    async fn take(&mut self, router: &Router) {
        let spread = rand::rng().random_range(0.5..=1.0);
        sleep(self.0.mul_f64(spread)).await;
        let informed = router.version() > 0 && router.peers.borrow().any_settled();
        let longest = if informed {
            INFORMED_PAUSE
        } else {
            LONGEST_PAUSE
        };
        self.0 = (self.0 * 2).min(longest);
    }
}

/// Follows the configuration for ever.
pub async fn follow_configuration(
    router: Rc<Router>,
    source: Rc<dyn ConfigurationSource>,
    store: Rc<Dependency>,
) {
    let mut after = None;
    let mut pause = Pause::new();
    loop {
        let wait_there = after.map_or(Duration::ZERO, |_| CONFIGURATION_WAIT);
        let call = timeout(
            wait_there + call_slack(router.version() > 0),
            source.configuration(after, CONFIGURATION_WAIT),
        );
        let result = tokio::select! {
            result = call => result.unwrap_or(Err(SourceError::Silent)),
            // A call that waits may have been lost with the outage.
            _ = store.returned.notified() => {
                after = None;
                continue;
            }
        };
        match result {
            Ok(news) => {
                pause.reset();
                after = Some(news.revision);
                if news.invalid {
                    log::warn!(target: "configuration", "revision={} adopted=false cause=invalid", news.revision);
                }
                if let Some(configuration) = news.configuration {
                    router.adopt(Arc::new(configuration));
                }
            }
            Err(SourceError::HistoryGone) => after = None,
            Err(error) => {
                log::debug!(target: "configuration", "call failed: {error}");
                pause.take(&router).await;
            }
        }
    }
}

/// Follows the directory for ever.
pub async fn follow_directory(
    router: Rc<Router>,
    directory: Rc<dyn Directory>,
    store: Rc<Dependency>,
) {
    let mut follower = DirectoryFollower::new(router, store.clone());
    let mut after = None;
    let mut pause = Pause::new();
    loop {
        let wait = follower.wait();
        let wait_there = after.map_or(Duration::ZERO, |_| wait);
        let slack = call_slack(after.is_some());
        let call = timeout(wait_there + slack, directory.back_ends(after, wait));
        let result = follower.answer(call).await;
        let now = follower.router.now();
        match result {
            Ok(news) => {
                pause.reset();
                store.on_answer(now);
                follower.router.store_lost.set(false);
                after = Some(news.revision);
                let steady = follower.is_steady(now);
                follower.take(news, now, steady);
                sleep(DIRECTORY_GATHER).await;
            }
            Err(SourceError::HistoryGone) => after = None,
            Err(error) => {
                store.on_failure(now, error);
                follower.router.store_lost.set(true);
                pause.take(&follower.router).await;
            }
        }
    }
}

/// Wait for news of the directory when so many routers share the watch.
fn directory_wait(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    DIRECTORY_WAIT_PER_ROUTER
        .saturating_mul(routers)
        .clamp(SHORTEST_DIRECTORY_WAIT, LONGEST_DIRECTORY_WAIT)
}

/// Takes news of the directory.
pub struct DirectoryFollower {
    router: Rc<Router>,
    store: Rc<Dependency>,
    held: HeldDepartures,
}

impl DirectoryFollower {
    fn new(router: Rc<Router>, store: Rc<Dependency>) -> Self {
        DirectoryFollower {
            router,
            store,
            held: HeldDepartures::default(),
        }
    }

    /// Takes the directory of a peer that knows more.
    pub fn take_from_peer(router: &Rc<Router>, store: &Rc<Dependency>, news: DirectoryNews) {
        let mut follower = DirectoryFollower::new(router.clone(), store.clone());
        let now = router.now();
        follower.take(news, now, true);
    }

    /// Time to wait for news in one call. A store that was lost is asked
    /// without a wait, so that its return is noticed at once.
    fn wait(&self) -> Duration {
        if self.store.is_lost() {
            return Duration::ZERO;
        }
        directory_wait(self.router.peers.borrow().sharing())
    }

    /// Awaits a call's answer, and meanwhile takes as gone what was held long
    /// enough.
    async fn answer(
        &mut self,
        call: impl Future<Output = Result<Result<DirectoryNews, SourceError>, Elapsed>>,
    ) -> Result<DirectoryNews, SourceError> {
        let mut call = std::pin::pin!(call);
        loop {
            tokio::select! {
                result = &mut call => return result.unwrap_or(Err(SourceError::Silent)),
                () = sleep(HELD_LOOK), if !self.held.is_empty() => self.release_held(),
            }
        }
    }

    /// Whether the store answered this router, or some peer, long enough.
    fn is_steady(&self, now: Time) -> bool {
        self.store.is_steady(now) || self.router.peers.borrow().any_settled()
    }

    fn release_held(&mut self) {
        if !self.is_steady(self.router.now()) {
            return;
        }
        let mut change = DirectoryChange::default();
        for id in self.held.release() {
            self.router.back_ends.borrow_mut().remove(&id, &mut change);
        }
        self.report(&change, self.router.directory_changed.get());
    }

    fn take(&mut self, news: DirectoryNews, now: Time, steady: bool) {
        let changed = self.router.directory_changed.get().max(news.changed);
        self.router.directory_changed.set(changed);
        let mut change = DirectoryChange::default();
        let mut gone = news.gone;
        {
            let mut back_ends = self.router.back_ends.borrow_mut();
            if news.whole {
                let listed: HashSet<&str> =
                    news.present.iter().map(|entry| entry.id.as_str()).collect();
                gone.extend(
                    back_ends
                        .ids()
                        .filter(|id| !listed.contains(id))
                        .map(str::to_owned),
                );
            }
            for entry in news.present {
                self.held.renew(&entry.id);
                back_ends.upsert(entry, now, &mut change);
            }
            for id in self.held.vanish(gone, steady) {
                back_ends.remove(&id, &mut change);
            }
        }
        self.report(&change, news.revision);
        for id in &news.invalid {
            log::warn!(target: "directory", "back_end={id} taken=false cause=invalid_row");
        }
    }

    fn report(&self, change: &DirectoryChange, revision: u64) {
        let lists = [
            ("joined", &change.joined),
            ("leaving", &change.leaving),
            ("gone", &change.gone),
        ];
        for (word, ids) in lists {
            for id in ids {
                log::info!(target: "directory", "back_end={id} now={word} revision={revision}");
            }
        }
        for id in &change.gone {
            self.router.places.borrow_mut().forget_back_end(id);
        }
    }
}
