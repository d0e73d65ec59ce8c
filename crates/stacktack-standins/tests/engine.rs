//! The engine stand-in behaves as the description of the platform says of engines.

use std::time::Duration;

use stacktack_core::time::Time;
use stacktack_standins::engine::cache::{EventSettings, BLOCK_TOKENS};
use stacktack_standins::engine::model::{EngineEvent, EngineModel, EngineSettings, Job};
use stacktack_standins::engine::orders::{Order, OrderAction, OrderState};
use stacktack_wire::message::{Priority, Usage};

const ONE_HOUR: Time = Time(3_600_000_000);

fn job(id: &str, prompt: std::ops::Range<u64>, priority: Priority) -> Job {
    Job {
        id: id.to_string(),
        prompt: prompt.collect(),
        length: 4,
        priority,
    }
}

fn run_all(engine: &mut EngineModel) -> Vec<(String, Usage)> {
    let events = engine.advance(ONE_HOUR);
    events
        .into_iter()
        .filter_map(|event| match event {
            EngineEvent::Done { id, usage } => Some((id, usage)),
            EngineEvent::Token { .. } => None,
        })
        .collect()
}

#[test]
fn sequences_are_batched_and_the_rest_waits_by_priority() {
    let mut engine = EngineModel::new(EngineSettings {
        max_batch: 1,
        ..EngineSettings::default()
    });
    for (id, priority) in [
        ("a", Priority::Low),
        ("b", Priority::Low),
        ("c", Priority::High),
    ] {
        engine
            .submit(Time(0), job(id, 0..20, priority))
            .expect("accepted");
    }
    let order: Vec<String> = run_all(&mut engine).into_iter().map(|(id, _)| id).collect();
    assert_eq!(order, ["a", "c", "b"]);
}

#[test]
fn a_returning_prefix_is_reused_until_memory_runs_out() {
    let mut engine = EngineModel::new(EngineSettings {
        cache_tokens: 8 * BLOCK_TOKENS,
        ..EngineSettings::default()
    });
    engine
        .submit(Time(0), job("a", 0..64, Priority::Normal))
        .expect("accepted");
    run_all(&mut engine);
    engine
        .submit(ONE_HOUR, job("b", 0..64, Priority::Normal))
        .expect("accepted");
    let later = ONE_HOUR + Duration::from_secs(60);
    let usage = engine
        .advance(later)
        .into_iter()
        .find_map(|event| match event {
            EngineEvent::Done { usage, .. } => Some(usage),
            EngineEvent::Token { .. } => None,
        });
    assert_eq!(usage.map(|usage| usage.cached_tokens), Some(63));
    engine
        .submit(later, job("c", 1_000..1_200, Priority::Normal))
        .expect("accepted");
    engine.advance(later + Duration::from_secs(60));
    assert!(engine.cached_block_count() <= 8);
}

#[test]
fn a_cancelled_stream_stops_and_frees_its_place() {
    let mut engine = EngineModel::new(EngineSettings::default());
    engine
        .submit(Time(0), job("a", 0..64, Priority::Normal))
        .expect("accepted");
    assert!(engine.cancel(Time(1), "a"));
    assert!(!engine.cancel(Time(1), "a"));
    assert!(run_all(&mut engine).is_empty());
    assert_eq!(engine.observed().cancelled, 1);
}

#[test]
fn exported_cache_is_reused_where_it_is_imported_and_costs_time() {
    let prompt: Vec<u64> = (0..64).collect();
    let mut first = EngineModel::new(EngineSettings::default());
    first
        .submit(Time(0), job("a", 0..64, Priority::Normal))
        .expect("accepted");
    run_all(&mut first);
    let (export, export_time) = first.export(&prompt);
    assert_eq!(export.blocks.len(), 64 / BLOCK_TOKENS);
    assert!(export_time > Duration::ZERO);
    let mut second = EngineModel::new(EngineSettings::default());
    assert!(second.import(Time(0), &export) > Duration::ZERO);
    second
        .submit(Time(0), job("b", 0..64, Priority::Normal))
        .expect("accepted");
    let done = run_all(&mut second);
    assert_eq!(done[0].1.cached_tokens, 63);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let delay = Duration::from_millis(300);
    let mut engine = EngineModel::new(EngineSettings {
        events: EventSettings {
            delay,
            lose_every: 3,
            max_retained: 100,
        },
        ..EngineSettings::default()
    });
    engine
        .submit(Time(0), job("a", 0..160, Priority::Normal))
        .expect("accepted");
    let stored_at = Time(1_000_000);
    engine.advance(stored_at);
    assert!(engine.cache_events(Time(0), 0).is_empty());
    let sequences: Vec<u64> = engine
        .cache_events(stored_at + delay, 0)
        .iter()
        .map(|event| event.sequence)
        .collect();
    assert!(sequences.contains(&2) && !sequences.contains(&3) && sequences.contains(&4));
}

#[test]
fn the_reported_load_lags() {
    let mut engine = EngineModel::new(EngineSettings::default());
    engine
        .submit(Time(1_000), job("a", 0..64, Priority::Normal))
        .expect("accepted");
    assert_eq!(engine.reported_load(Time(2_000)).tokens, 0);
    assert!(engine.current_load().tokens > 0);
    assert!(
        engine
            .reported_load(Time(1_000) + Duration::from_millis(500))
            .tokens
            > 0
    );
}

#[test]
fn orders_of_an_older_epoch_are_refused_where_fences_are_checked() {
    let order = |epoch| Order {
        scope: String::from("controller"),
        epoch,
        action: OrderAction::Load {
            artifact: format!("model-{epoch}"),
        },
    };
    let mut checking = OrderState {
        checks_fence: true,
        ..OrderState::default()
    };
    checking.apply(order(2)).expect("applied");
    checking.apply(order(1)).expect_err("refused");
    let mut unchecked = OrderState::default();
    unchecked.apply(order(2)).expect("applied");
    unchecked
        .apply(order(1))
        .expect("applied, since fences are not checked");
}
