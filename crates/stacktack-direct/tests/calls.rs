//! When a call to a source counts as late, on virtual time.

use std::future::pending;
use std::time::Duration;

use stacktack_direct::calls::{CallEvent, HedgedCalls};
use stacktack_direct::ports::SourceError;
use stacktack_direct::transfer::Transfer;
use tokio::sync::oneshot;
use tokio::time::{advance, sleep, Instant};

/// Lateness from which a call counts as late.
const MAX_LATENESS: Duration = Duration::from_millis(1200);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn calls<'a>() -> HedgedCalls<'a, u32> {
    HedgedCalls::new()
}

/// Returns the next event, while the process is stalled for `stall_length` after `stall_delay`.
async fn event_during_stall(
    calls: &mut HedgedCalls<'_, u32>,
    stall_delay: Duration,
    stall_length: Duration,
) -> CallEvent<u32> {
    let stall = async {
        sleep(stall_delay).await;
        advance(stall_length).await;
        pending::<()>().await;
    };
    tokio::select! {
        event = calls.next_event(MAX_LATENESS) => event,
        () = stall => unreachable!("endless"),
    }
}

/// An answer that arrives while the process is stalled is read a moment after the stall. A store
/// that had answered in time counted as lost, and removals of back ends were held back.
#[tokio::test(start_paused = true)]
async fn an_answer_that_waits_to_be_read_is_not_late() {
    for stall_delay_ms in [0, 100, 900, 1150] {
        for stall_ms in [300, 1500, 4000] {
            let (answer, answered) = oneshot::channel();
            let mut calls = calls();
            assert!(matches!(
                calls.next_event(MAX_LATENESS).await,
                CallEvent::Due
            ));
            let call = async { answered.await.map_err(|_| SourceError::Broken) };
            calls.begin(Some(1), Duration::ZERO, Transfer::begin(), Box::pin(call));
            let answer_at = Instant::now() + ms(stall_delay_ms + stall_ms + 30);
            let event = tokio::join!(
                event_during_stall(&mut calls, ms(stall_delay_ms), ms(stall_ms)),
                async {
                    tokio::time::sleep_until(answer_at).await;
                    answer.send(7).expect("is awaited");
                }
            )
            .0;
            assert!(
                matches!(event, CallEvent::Answered(7, _)),
                "stalled after {stall_delay_ms} ms for {stall_ms} ms: {event:?}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_without_an_answer_is_late_after_the_maximum_lateness() {
    let mut calls = calls();
    assert!(matches!(
        calls.next_event(MAX_LATENESS).await,
        CallEvent::Due
    ));
    let started = Instant::now();
    calls.begin(Some(1), ms(500), Transfer::begin(), Box::pin(pending()));
    let event = calls.next_event(MAX_LATENESS).await;
    assert!(matches!(event, CallEvent::Late { max_wait, .. } if max_wait == ms(500)));
    assert_eq!(started.elapsed(), ms(1700));
}

/// Each call counts as late on its own: polls that are made again and again beside it do not hide
/// that a store answers nobody.
#[tokio::test(start_paused = true)]
async fn newer_calls_do_not_hide_that_an_older_one_is_late() {
    let mut calls = calls();
    assert!(matches!(
        calls.next_event(MAX_LATENESS).await,
        CallEvent::Due
    ));
    let started = Instant::now();
    let late = loop {
        calls.begin(
            Some(1),
            Duration::ZERO,
            Transfer::begin(),
            Box::pin(pending()),
        );
        calls.schedule(ms(400));
        match calls.next_event(MAX_LATENESS).await {
            CallEvent::Due => {}
            event => break event,
        }
    };
    assert!(matches!(late, CallEvent::Late { .. }));
    assert!(started.elapsed() <= MAX_LATENESS, "{:?}", started.elapsed());
}

/// While all timers are late, a store that answers nobody is still detected, a little later.
#[tokio::test(start_paused = true)]
async fn late_timers_do_not_hide_a_store_that_answers_nobody() {
    let mut calls = calls();
    assert!(matches!(
        calls.next_event(MAX_LATENESS).await,
        CallEvent::Due
    ));
    let started = Instant::now();
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
        event = calls.next_event(MAX_LATENESS) => event,
        () = late_timers => unreachable!("endless"),
    };
    assert!(matches!(event, CallEvent::Late { .. }));
    assert!(
        started.elapsed() <= MAX_LATENESS * 3,
        "{:?}",
        started.elapsed()
    );
}
