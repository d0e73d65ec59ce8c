//! Decision records stay within their size limit, and a changed record fails verification.

use stacktack_core::configuration::eligibility::{EligibilityResult, Target};
use stacktack_core::dispatch::record::{DecisionRecord, RecordRing};
use stacktack_core::placement::{choose, Candidate, ChoiceInput, Policy};
use stacktack_wire::identity::{AttemptId, ChatId, ConfigurationVersion, NodeId, RequestId};

fn decision(back_ends: u32) -> DecisionRecord {
    let candidates: Vec<Candidate> = (0..back_ends)
        .map(|number| Candidate {
            node: NodeId(number),
            capacity: 1.0,
            load: f64::from(number),
            load_age_ms: 0,
            suspected: false,
        })
        .collect();
    let input = ChoiceInput {
        policy: Policy::Bounded,
        chat: ChatId(7),
        cap: 1.25,
        mean: f64::from(back_ends) / 2.0,
        work: 10.0,
        preferred: None,
        candidates,
        draw: 1,
    };
    DecisionRecord {
        attempt: 1,
        version: ConfigurationVersion(1),
        pool: EligibilityResult::default(),
        refused: Vec::new(),
        choice: choose(&input),
        input,
    }
}

#[test]
fn a_large_fleet_keeps_fewer_records() {
    let mut ring = RecordRing::default();
    for number in 0..1_000 {
        let request = RequestId(number);
        ring.open(
            request,
            String::from("tenant"),
            Target::Model(String::from("m")),
        );
        ring.add_decision(AttemptId { request, number: 1 }, decision(1_000));
    }
    assert_eq!(ring.len(), 200);
    assert!(ring.get(RequestId(999)).is_some());
    assert!(ring.get(RequestId(0)).is_none());
}

#[test]
fn a_tampered_record_does_not_verify() {
    let mut record = decision(8);
    assert!(record.verify());
    record
        .input
        .candidates
        .retain(|candidate| Some(candidate.node) != record.choice.map(|choice| choice.node));
    assert!(!record.verify());
}
