//! Fault schedules drawn at random keep every promise, and are strong enough
//! to break them when a protection is off.

use stacktack_core::protection::{Protection, Protections};
use stacktack_lab::scenario::explore::explore_all;

/// Schedules that are explored.
const SEEDS: u64 = 200;

/// Threads that explore.
const THREADS: u64 = 8;

#[test]
fn drawn_schedules_keep_every_promise() {
    let findings = explore_all(0..SEEDS, THREADS, Protections::default()).expect("runs");
    let texts: Vec<String> = findings
        .iter()
        .map(|finding| format!("{}{}", finding.text, finding.failures.join("\n")))
        .collect();
    assert!(
        texts.is_empty(),
        "{} findings:\n{}",
        texts.len(),
        texts.join("\n\n")
    );
}

#[test]
fn drawn_schedules_find_a_missing_protection() {
    for rule in [Protection::FateQuery, Protection::KeyClaim] {
        let findings = explore_all(0..16, THREADS, Protections::without(rule)).expect("runs");
        assert!(!findings.is_empty(), "nothing fails without {rule}");
    }
}
