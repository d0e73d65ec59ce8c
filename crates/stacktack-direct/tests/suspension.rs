//! What a router does after its machine was suspended. Its steady clock and its timers stood still
//! meanwhile; deadlines, ages and news did not.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange};
use stacktack_core::time::Time;
use stacktack_direct::clock::{Clock, RuntimeClock};
use stacktack_direct::followers::{follow_directory, StoreMonitor};
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use stacktack_node::clock::Reading;
use tokio::time::Instant;

use common::{after, router, router_with};

/// A machine that tests suspend: its timers see nothing of that.
struct SuspendedClock {
    runtime: RuntimeClock,
    suspended: Cell<Duration>,
}

impl SuspendedClock {
    fn start() -> Rc<Self> {
        Rc::new(SuspendedClock {
            runtime: RuntimeClock::start(),
            suspended: Cell::default(),
        })
    }

    fn suspend(&self, time: Duration) {
        self.suspended.set(self.suspended.get() + time);
    }
}

impl Clock for SuspendedClock {
    fn read(&self) -> Reading {
        let reading = self.runtime.read();
        Reading {
            elapsed: reading.elapsed + self.suspended.get(),
            ..reading
        }
    }
}

/// A directory whose calls wait for news that do not come.
#[derive(Default)]
struct QuietDirectory {
    calls: Cell<u32>,
}

impl Directory for QuietDirectory {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        self.calls.set(self.calls.get() + 1);
        Box::pin(async move {
            if after.is_some() {
                tokio::time::sleep(wait).await;
            }
            Ok(DirectoryUpdate {
                answered_at_ms: 0,
                revision: 5,
                ..DirectoryUpdate::default()
            })
        })
    }
}

fn world() -> (Rc<SuspendedClock>, Rc<Router>) {
    let clock = SuspendedClock::start();
    let router = router_with(clock.clone());
    (clock, router)
}

const EIGHT: Duration = Duration::from_secs(8);

#[tokio::test(start_paused = true)]
async fn time_goes_on_while_the_machine_is_suspended() {
    let (clock, router) = world();
    after(1000).await;
    clock.suspend(EIGHT);
    assert_eq!(router.now().since(Time(0)).as_secs(), 9);
}

/// A request whose time is over when its machine wakes ends at once, and not 8 s later.
#[tokio::test(start_paused = true)]
async fn a_wait_past_its_deadline_ends_when_the_machine_resumes() {
    let (clock, router) = world();
    let limit = router.now() + Duration::from_secs(5);
    let begun = Instant::now();
    let (ended, ()) = tokio::join!(
        router.timeout_at(limit, std::future::pending::<()>()),
        async {
            after(1000).await;
            clock.suspend(EIGHT);
            after(100).await;
            router.check_for_suspension();
        }
    );
    assert_eq!(ended, None);
    assert_eq!(begun.elapsed(), Duration::from_millis(1100));
}

#[tokio::test(start_paused = true)]
async fn a_suspension_counts_towards_a_later_deadline() {
    let (clock, router) = world();
    let limit = router.now() + Duration::from_secs(5);
    let begun = Instant::now();
    let ((), ()) = tokio::join!(router.sleep_until(limit), async {
        after(1000).await;
        clock.suspend(Duration::from_secs(2));
        router.check_for_suspension();
    });
    assert_eq!(begun.elapsed().as_secs(), 3);
}

/// Readings that differ by less than a moment are no suspension, also when they add up slowly.
#[tokio::test(start_paused = true)]
async fn small_clock_differences_do_not_count_as_a_suspension() {
    let (clock, router) = world();
    for _ in 0..3 {
        clock.suspend(Duration::from_millis(20));
        router.check_for_suspension();
    }
    assert!(!router.awaits_contact());
    clock.suspend(Duration::from_millis(60));
    router.check_for_suspension();
    assert!(router.awaits_contact());
}

/// The store is asked anew at once: the call that waits there may be on a dead connection.
#[tokio::test(start_paused = true)]
async fn after_a_suspension_the_store_is_polled_at_once_and_steady_after_the_renewal_period() {
    let local = tokio::task::LocalSet::new();
    let play = async {
        let (clock, router) = world();
        let store = Rc::new(StoreMonitor::new("store").expect("a chart"));
        let directory = Rc::new(QuietDirectory::default());
        tokio::task::spawn_local(follow_directory(
            router.clone(),
            directory.clone(),
            store.clone(),
        ));
        after(300).await;
        let calls = directory.calls.get();
        assert!(store.is_steady(router.now()));
        clock.suspend(EIGHT);
        router.check_for_suspension();
        assert!(router.awaits_contact());
        after(10).await;
        assert_eq!(directory.calls.get(), calls + 1);
        assert!(!router.awaits_contact(), "the store was heard");
        assert!(!store.is_steady(router.now()), "entries may have lapsed");
        after(2500).await;
        assert!(store.is_steady(router.now()));
    };
    local.run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn without_a_suspension_no_contact_is_awaited() {
    let router = router();
    after(60_000).await;
    router.check_for_suspension();
    assert!(!router.awaits_contact());
}

#[tokio::test(start_paused = true)]
async fn without_contact_knowledge_from_before_a_suspension_is_used_after_a_second() {
    let (clock, router) = world();
    clock.suspend(EIGHT);
    router.check_for_suspension();
    assert!(router.awaits_contact());
    after(1000).await;
    assert!(!router.awaits_contact());
}

/// That no byte came while nothing could be read here says nothing of a back end.
#[tokio::test(start_paused = true)]
async fn a_suspension_does_not_count_as_silence_of_back_ends() {
    let (clock, router) = world();
    let entry = BackEndEntry {
        id: "b".to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        labels: Default::default(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    };
    let mut change = DirectoryChange::default();
    let now = router.now();
    router
        .back_ends
        .borrow_mut()
        .upsert(entry, now, &mut change);
    let with_back_end = |act: &mut dyn FnMut(&mut _)| {
        let mut back_ends = router.back_ends.borrow_mut();
        act(back_ends.get_mut("b").expect("is known"));
    };
    with_back_end(
        &mut |back_end: &mut stacktack_core::direct::back_ends::back_end::BackEnd| {
            back_end.on_send(now);
        },
    );
    clock.suspend(EIGHT);
    router.check_for_suspension();
    let silent = is_silent(&router);
    assert!(!silent);
    after(500).await;
    let silent = is_silent(&router);
    assert!(silent, "silence counts from the moment at which it wakes");
}

fn is_silent(router: &Router) -> bool {
    let back_ends = router.back_ends.borrow();
    let back_end = back_ends.get("b").expect("is known");
    back_end.is_silent(router.now())
}
