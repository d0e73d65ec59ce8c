//! When a call counts as late, on virtual time.

use std::future::pending;
use std::time::Duration;

use stacktack_direct::calls::{CallEvent, HedgedCalls};
use stacktack_direct::ports::SourceError;
use stacktack_direct::transfer::Transfer;
use tokio::sync::oneshot;
use tokio::time::{advance, sleep, Instant};

/// Lateness after which a call counts as late here.
const PATIENCE: Duration = Duration::from_millis(1200);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn calls<'a>() -> HedgedCalls<'a, u32> {
    HedgedCalls::new()
}

/// The next event while the process stands still for a time, beginning so long from now.
async fn event_beside_a_stall(
    calls: &mut HedgedCalls<'_, u32>,
    begins_after: Duration,
    lasts: Duration,
) -> CallEvent<u32> {
    let stall = async {
        sleep(begins_after).await;
        advance(lasts).await;
        pending::<()>().await;
    };
    tokio::select! {
        event = calls.next_event(PATIENCE) => event,
        () = stall => unreachable!("goes on"),
    }
}

/// What came while the process stood still is read a moment after it goes on. A store that had
/// answered counted as lost, and departures were held back.
#[tokio::test(start_paused = true)]
async fn an_answer_that_waits_to_be_read_is_not_late() {
    for begins_after in [0, 100, 900, 1150] {
        for lasts in [300, 1500, 4000] {
            let (answer, answered) = oneshot::channel();
            let mut calls = calls();
            assert!(matches!(calls.next_event(PATIENCE).await, CallEvent::Due));
            let call = async { answered.await.map_err(|_| SourceError::Broken) };
            calls.begin(Some(1), Duration::ZERO, Transfer::begin(), Box::pin(call));
            let read = Instant::now() + ms(begins_after + lasts + 30);
            let event = tokio::join!(
                event_beside_a_stall(&mut calls, ms(begins_after), ms(lasts)),
                async {
                    tokio::time::sleep_until(read).await;
                    answer.send(7).expect("is awaited");
                }
            )
            .0;
            assert!(
                matches!(event, CallEvent::Answered(7, _)),
                "stood still after {begins_after} ms for {lasts} ms: {event:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_without_an_answer_is_late_after_the_maximum_lateness() {
    let mut calls = calls();
    assert!(matches!(calls.next_event(PATIENCE).await, CallEvent::Due));
    let begun = Instant::now();
    calls.begin(Some(1), ms(500), Transfer::begin(), Box::pin(pending()));
    let event = calls.next_event(PATIENCE).await;
    assert!(matches!(event, CallEvent::Late { max_wait, .. } if max_wait == ms(500)));
    assert_eq!(begun.elapsed(), ms(1700));
}

/// Each call counts as late by itself: looks that are made again and again beside it hide no
/// store that answers nobody.
#[tokio::test(start_paused = true)]
async fn newer_calls_do_not_hide_that_an_older_one_is_late() {
    let mut calls = calls();
    assert!(matches!(calls.next_event(PATIENCE).await, CallEvent::Due));
    let begun = Instant::now();
    let late = loop {
        calls.begin(
            Some(1),
            Duration::ZERO,
            Transfer::begin(),
            Box::pin(pending()),
        );
        calls.schedule(ms(400));
        match calls.next_event(PATIENCE).await {
            CallEvent::Due => {}
            event => break event,
        }
    };
    assert!(matches!(late, CallEvent::Late { .. }));
    assert!(begun.elapsed() <= PATIENCE, "{:?}", begun.elapsed());
}

/// Where all timers are late, a store that answers nobody still shows, a little later.
#[tokio::test(start_paused = true)]
async fn late_timers_do_not_hide_a_store_that_answers_nobody() {
    let mut calls = calls();
    assert!(matches!(calls.next_event(PATIENCE).await, CallEvent::Due));
    let begun = Instant::now();
    calls.begin(
        Some(1),
        Duration::ZERO,
        Transfer::begin(),
        Box::pin(pending()),
    );
    let late_timers = async {
        loop {
            sleep(ms(130)).await;
            advance(ms(70)).await;
        }
    };
    let event = tokio::select! {
        event = calls.next_event(PATIENCE) => event,
        () = late_timers => unreachable!("goes on"),
    };
    assert!(matches!(event, CallEvent::Late { .. }));
    assert!(begun.elapsed() <= PATIENCE * 3, "{:?}", begun.elapsed());
}
