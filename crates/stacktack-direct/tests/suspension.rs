//! How a router handles a suspension of its machine. Its monotonic clock and its timers stand still
//! meanwhile, but deadlines expire, knowledge ages and updates occur elsewhere.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange};
use stacktack_core::time::Time;
use stacktack_direct::clock::{Clock, RuntimeClock};
use stacktack_direct::followers::follow_directory;
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use stacktack_node::clock::ClockReading;
use tokio::time::Instant;

use common::{after, router, router_with};

/// Clock of a machine that a test can suspend; timers do not notice the suspension.
struct SuspendableClock {
    runtime: RuntimeClock,
    suspended: Cell<Duration>,
}

impl SuspendableClock {
    fn start() -> Rc<Self> {
        Rc::new(SuspendableClock {
            runtime: RuntimeClock::start(),
            suspended: Cell::default(),
        })
    }

    fn suspend(&self, time: Duration) {
        self.suspended.set(self.suspended.get() + time);
    }
}

impl Clock for SuspendableClock {
    fn read(&self) -> ClockReading {
        let reading = self.runtime.read();
        ClockReading {
            elapsed: reading.elapsed + self.suspended.get(),
            ..reading
        }
    }
}

/// A directory that never changes and counts the calls.
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

fn suspendable_router() -> (Rc<SuspendableClock>, Rc<Router>) {
    let clock = SuspendableClock::start();
    let router = router_with(clock.clone());
    (clock, router)
}

const SUSPENSION: Duration = Duration::from_secs(8);

#[tokio::test(start_paused = true)]
async fn time_goes_on_while_the_machine_is_suspended() {
    let (clock, router) = suspendable_router();
    after(1000).await;
    clock.suspend(SUSPENSION);
    assert_eq!(router.now().since(Time(0)).as_secs(), 9);
}

/// A request whose deadline passed during a suspension of 8 s ends when the machine resumes, and
/// not 8 s later.
#[tokio::test(start_paused = true)]
async fn a_wait_past_its_deadline_ends_when_the_machine_resumes() {
    let (clock, router) = suspendable_router();
    let deadline = router.now() + Duration::from_secs(5);
    let started = Instant::now();
    let (result, ()) = tokio::join!(
        router.timeout_at(deadline, std::future::pending::<()>()),
        async {
            after(1000).await;
            clock.suspend(SUSPENSION);
            after(100).await;
            router.check_for_suspension();
        }
    );
    assert_eq!(result, None);
    assert_eq!(started.elapsed(), Duration::from_millis(1100));
}

#[tokio::test(start_paused = true)]
async fn a_suspension_counts_towards_a_later_deadline() {
    let (clock, router) = suspendable_router();
    let deadline = router.now() + Duration::from_secs(5);
    let started = Instant::now();
    let ((), ()) = tokio::join!(router.sleep_until(deadline), async {
        after(1000).await;
        clock.suspend(Duration::from_secs(2));
        router.check_for_suspension();
    });
    assert_eq!(started.elapsed().as_secs(), 3);
}

/// The clocks are read one after the other, so that their readings differ a little. Small
/// differences do not count as a suspension, not even when they add up over several checks.
#[tokio::test(start_paused = true)]
async fn small_clock_differences_do_not_count_as_a_suspension() {
    let (clock, router) = suspendable_router();
    for _ in 0..3 {
        clock.suspend(Duration::from_millis(20));
        router.check_for_suspension();
    }
    assert!(!router.awaits_contact());
    clock.suspend(Duration::from_millis(60));
    router.check_for_suspension();
    assert!(router.awaits_contact());
}

/// The store is polled at once after a suspension, because the connection of the call that waits
/// there may be dead.
#[tokio::test(start_paused = true)]
async fn after_a_suspension_the_store_is_polled_at_once_and_steady_after_the_renewal_period() {
    let local = tokio::task::LocalSet::new();
    let test = async {
        let (clock, router) = suspendable_router();
        let directory = Rc::new(QuietDirectory::default());
        tokio::task::spawn_local(follow_directory(router.clone(), directory.clone()));
        after(300).await;
        let calls = directory.calls.get();
        assert!(router.store.is_steady(router.now()));
        clock.suspend(SUSPENSION);
        router.check_for_suspension();
        assert!(router.awaits_contact());
        after(10).await;
        assert_eq!(directory.calls.get(), calls + 1);
        assert!(!router.awaits_contact(), "the store answered");
        assert!(
            !router.store.is_steady(router.now()),
            "entries may have expired"
        );
        after(2500).await;
        assert!(router.store.is_steady(router.now()));
    };
    local.run_until(test).await;
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
    let (clock, router) = suspendable_router();
    clock.suspend(SUSPENSION);
    router.check_for_suspension();
    assert!(router.awaits_contact());
    after(1000).await;
    assert!(!router.awaits_contact());
}

/// While the machine is suspended it reads nothing, so missing bytes do not show that a back end is
/// silent.
#[tokio::test(start_paused = true)]
async fn a_suspension_does_not_count_as_silence_of_back_ends() {
    let (clock, router) = suspendable_router();
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
    clock.suspend(SUSPENSION);
    router.check_for_suspension();
    let silent = is_silent(&router);
    assert!(!silent);
    after(500).await;
    let silent = is_silent(&router);
    assert!(silent, "silence counts from the resume");
}

fn is_silent(router: &Router) -> bool {
    let back_ends = router.back_ends.borrow();
    let back_end = back_ends.get("b").expect("is known");
    back_end.is_silent(router.now())
}
