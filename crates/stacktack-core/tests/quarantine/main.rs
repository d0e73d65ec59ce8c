//! Requests that crash the back ends which run them are set aside, and no others.
//!
//! Without a quarantine, a request that crashes its back end takes down one back end after the
//! other as it is retried and sent again. The process test `fatal_requests` shows the fault with
//! real processes; here whole fleets are simulated on virtual time.

#[path = "../event_queue/mod.rs"]
mod event_queue;
mod parts;
mod prompts;
mod simulation;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{digest, instance_id, version, Outcome, Scenario, Simulation};
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::quarantine::interrupted_runs::{InterruptedRun, InterruptedRuns};
use stacktack_core::direct::quarantine::record::{RecordGossip, Treatment};
use stacktack_core::direct::quarantine::stored_verdicts::StoredVerdict;
use stacktack_core::direct::quarantine::suspects::{CallerHash, Suspects};
use stacktack_core::direct::quarantine::Quarantine;
use stacktack_core::time::Time;

const SECOND: Duration = Duration::from_secs(1);
const NOW: Time = Time(100_000_000);

/// Numbers of routers and of back ends.
const FLEETS: [(usize, usize); 5] = [(1, 6), (4, 18), (23, 40), (103, 180), (330, 180)];

fn scenario(routers: usize, back_ends: usize) -> Scenario {
    Scenario {
        seed: 5,
        routers,
        back_ends,
        rate: 10.0,
        fatal: 1,
        fatal_interval: Duration::from_millis(200),
        duration: Duration::from_secs(20),
        has_quarantine: true,
        common_share: 0.0,
        mean_uptime: None,
        prompts: None,
    }
}

/// Suspects of a request without prompt parts.
fn only_request(number: u64) -> Suspects {
    Suspects {
        request: Some(digest(number)),
        parts: [].into(),
        caller: CallerHash::default(),
    }
}

fn show(name: &str, scenario: &Scenario, outcome: &Outcome) {
    println!(
        "{name}: {} routers, {} back ends: crashes {}, late sends {:?}, innocent tries {}, set aside {}, served {}, {:.0} B/s",
        scenario.routers,
        scenario.back_ends,
        outcome.crashes,
        outcome.late_sends,
        outcome.innocent_tries,
        outcome.set_aside,
        outcome.served,
        outcome.bytes_per_second,
    );
}

/// A fatal request comes to a random router every 200 ms: it is sent at most three more times once
/// three seconds have passed since the third crash. Without a quarantine, 4 routers send it 146
/// times then: every try and retry.
#[test]
fn a_fatal_request_is_set_aside_in_fleets_of_any_size() {
    for (routers, back_ends) in FLEETS {
        let scenario = scenario(routers, back_ends);
        let outcome = Simulation::run(scenario);
        show("one fatal", &scenario, &outcome);
        assert!(
            outcome.late_sends.iter().all(|late| *late <= 3),
            "{outcome:?}"
        );
        assert!(outcome.bytes_per_second <= 2048.0, "{outcome:?}");
        assert_eq!(outcome.set_aside, 0, "{outcome:?}");
    }
}

#[test]
fn without_a_quarantine_a_fatal_request_keeps_crashing_back_ends() {
    let scenario = Scenario {
        has_quarantine: false,
        ..scenario(4, 18)
    };
    let outcome = Simulation::run(scenario);
    show("no quarantine", &scenario, &outcome);
    assert!(outcome.late_sends[0] > 50, "{outcome:?}");
}

#[test]
fn several_fatal_requests_at_once_are_set_aside() {
    let scenario = Scenario {
        fatal: 4,
        fatal_interval: Duration::from_millis(500),
        ..scenario(23, 40)
    };
    let outcome = Simulation::run(scenario);
    show("four fatal", &scenario, &outcome);
    assert!(
        outcome.late_sends.iter().all(|late| *late <= 3),
        "{outcome:?}"
    );
    assert!(
        outcome.set_aside * 500 < outcome.innocent_tries,
        "{outcome:?}"
    );
}

#[test]
fn a_rare_fatal_request_is_set_aside() {
    let interval = Duration::from_secs(4);
    let scenario = Scenario {
        fatal_interval: interval,
        duration: Duration::from_secs(60),
        ..scenario(23, 40)
    };
    let outcome = Simulation::run(scenario);
    show("rare fatal", &scenario, &outcome);
    assert!(outcome.late_sends[0] <= 3, "{outcome:?}");
}

/// Back ends crash for reasons of their own, each after six seconds on average, and a fifth of the
/// tries send the same request: fewer than 1 in 1000 tries are refused.
#[test]
fn crashes_unrelated_to_requests_set_hardly_any_request_aside() {
    for seed in 1..=4 {
        let scenario = Scenario {
            seed,
            fatal: 0,
            common_share: 0.2,
            mean_uptime: Some(Duration::from_secs(6)),
            ..scenario(23, 40)
        };
        let outcome = Simulation::run(scenario);
        show("own crashes", &scenario, &outcome);
        assert!(
            outcome.set_aside * 1000 < outcome.innocent_tries,
            "{outcome:?}"
        );
    }
}

fn instance(number: u64) -> InstanceId {
    instance_id(0, number)
}

/// Quarantine in which request 1 is set aside.
fn with_verdict() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        quarantine.on_crash(
            &only_request(1),
            instance(number),
            version(),
            number > 1,
            NOW,
        );
    }
    quarantine
}

#[test]
fn treatment_follows_crashes_and_probations() {
    let mut quarantine = Quarantine::default();
    let request = digest(1);
    let mut seen = vec![quarantine.treatment(request, NOW)];
    for (number, on_probation) in [
        (1, false),
        (1, false),
        (2, false),
        (3, false),
        (4, true),
        (5, true),
    ] {
        quarantine.on_crash(
            &only_request(1),
            instance(number),
            version(),
            on_probation,
            NOW,
        );
        seen.push(quarantine.treatment(request, NOW));
    }
    let expected = [
        Treatment::Usual,
        Treatment::Watched,
        Treatment::Watched,
        Treatment::Probation,
        Treatment::Probation,
        Treatment::Probation,
        Treatment::SetAside,
    ];
    assert_eq!(seen, expected);
}

#[test]
fn a_successful_run_clears_a_request_and_resets_its_crash_count() {
    let mut quarantine = with_verdict();
    let change = quarantine
        .on_successful_run(digest(1), NOW)
        .expect("a change");
    assert_eq!(
        (change.before, change.after),
        (Treatment::SetAside, Treatment::Usual)
    );
    assert_eq!(
        quarantine.verdicts_to_remove(),
        [digest(1)],
        "to be deleted from the store"
    );
    quarantine.on_crash(&only_request(1), instance(4), version(), true, NOW);
    assert_eq!(quarantine.treatment(digest(1), NOW), Treatment::Watched);
}

/// All routers end with the same treatments, however often and in whichever order gossip arrives.
#[test]
fn gossip_merges_in_any_order() {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    for _ in 0..200 {
        let mut routers = vec![Quarantine::default(); 4];
        let mut gossip: Vec<RecordGossip> = Vec::new();
        for _ in 0..random.random_range(1..12) {
            let router = random.random_range(0..4);
            let request = random.random_range(0..2);
            if random.random_bool(0.2) {
                routers[router].on_successful_run(digest(request), NOW);
            } else {
                let instance = instance(random.random_range(0..6));
                let on_probation = random.random_bool(0.5);
                let suspects = only_request(request);
                routers[router].on_crash(&suspects, instance, version(), on_probation, NOW);
            }
            gossip.extend(routers[router].gossip(NOW));
        }
        for router in &mut routers {
            for _ in 0..2 * gossip.len() {
                let record = gossip[random.random_range(0..gossip.len())].clone();
                router.merge(&[record], 0.0, NOW);
            }
            router.merge(&gossip, 0.0, NOW);
        }
        for request in [digest(0), digest(1)] {
            let treatments: Vec<_> = routers
                .iter_mut()
                .map(|router| router.treatment(request, NOW))
                .collect();
            assert!(
                treatments.windows(2).all(|pair| pair[0] == pair[1]),
                "{treatments:?}"
            );
        }
    }
}

#[test]
fn a_verdict_is_written_by_the_router_that_reached_it_and_later_by_its_peers() {
    let mut own = with_verdict();
    let verdict = StoredVerdict {
        digest: digest(1),
        epoch: 0,
        part: None,
    };
    assert_eq!(own.verdicts_to_write(NOW), std::slice::from_ref(&verdict));
    let mut other = Quarantine::default();
    other.merge(&own.gossip(NOW), 1.0, NOW);
    assert!(other.verdicts_to_write(NOW + SECOND).is_empty());
    assert_eq!(
        other.verdicts_to_write(NOW + SECOND * 3),
        std::slice::from_ref(&verdict),
        "no other router wrote it"
    );
    own.on_verdicts_written(&[verdict], &[], NOW + SECOND);
    assert!(own.verdicts_to_write(NOW + SECOND * 9).is_empty());
    other.merge(&own.gossip(NOW + SECOND), 1.0, NOW + SECOND);
    assert!(other.verdicts_to_write(NOW + SECOND * 9).is_empty());
}

#[test]
fn a_router_that_starts_applies_verdicts_from_the_store() {
    let verdict = StoredVerdict {
        digest: digest(1),
        epoch: 3,
        part: None,
    };
    let mut started = Quarantine::default();
    started.apply_stored(&[verdict], NOW, NOW);
    assert_eq!(started.treatment(digest(1), NOW), Treatment::SetAside);
    assert!(started.verdicts_to_write(NOW + SECOND * 9).is_empty());
}

#[test]
fn an_operator_lifts_a_verdict_by_deleting_it_from_the_store() {
    let mut quarantine = with_verdict();
    let verdict = StoredVerdict {
        digest: digest(1),
        epoch: 0,
        part: None,
    };
    quarantine.apply_stored(&[], NOW, NOW);
    assert_eq!(
        quarantine.treatment(digest(1), NOW),
        Treatment::SetAside,
        "not stored yet"
    );
    quarantine.on_verdicts_written(&[verdict], &[], NOW + SECOND);
    quarantine.apply_stored(&[], NOW, NOW + SECOND);
    assert_eq!(
        quarantine.treatment(digest(1), NOW),
        Treatment::SetAside,
        "read before it was stored"
    );
    quarantine.apply_stored(&[], NOW + SECOND * 2, NOW + SECOND * 2);
    assert_eq!(quarantine.treatment(digest(1), NOW), Treatment::Usual);
    let mut other = with_verdict();
    other.merge(&quarantine.gossip(NOW + SECOND * 2), 0.0, NOW + SECOND * 2);
    assert_eq!(
        other.treatment(digest(1), NOW),
        Treatment::Usual,
        "others learn of it"
    );
}

#[test]
fn an_outdated_verdict_in_the_store_is_dropped() {
    let mut quarantine = with_verdict();
    quarantine.on_successful_run(digest(1), NOW);
    let verdict = StoredVerdict {
        digest: digest(1),
        epoch: 0,
        part: None,
    };
    quarantine.on_verdicts_written(&[], &[digest(1)], NOW);
    quarantine.apply_stored(&[verdict], NOW, NOW);
    assert_eq!(quarantine.treatment(digest(1), NOW), Treatment::Usual);
    assert_eq!(quarantine.verdicts_to_remove(), [digest(1)]);
}

/// A caller that crashes back ends with ever new requests fills the table of records; verdicts
/// stay.
#[test]
fn a_flood_of_fatal_requests_evicts_no_verdict() {
    let mut quarantine = with_verdict();
    for number in 10..10_000 {
        quarantine.on_crash(
            &only_request(number),
            instance(number),
            version(),
            true,
            NOW + SECOND,
        );
    }
    assert_eq!(
        quarantine.treatment(digest(1), NOW + SECOND),
        Treatment::SetAside
    );
}

#[test]
fn records_without_a_verdict_expire() {
    let mut quarantine = with_verdict();
    quarantine.on_crash(&only_request(2), instance(1), version(), false, NOW);
    quarantine.on_crash(&only_request(3), instance(1), version(), false, NOW);
    quarantine.on_crash(&only_request(3), instance(2), version(), false, NOW);
    let expected = [
        (
            3599,
            [
                Treatment::SetAside,
                Treatment::Watched,
                Treatment::Probation,
            ],
        ),
        (
            3600,
            [Treatment::SetAside, Treatment::Usual, Treatment::Probation],
        ),
        (
            24 * 3600,
            [Treatment::SetAside, Treatment::Usual, Treatment::Usual],
        ),
    ];
    for (seconds, treatments) in expected {
        let at = NOW + SECOND * seconds;
        let mut later = quarantine.clone();
        later.expire(at);
        let seen = [1, 2, 3].map(|number| later.treatment(digest(number), at));
        assert_eq!(seen, treatments, "after {seconds} s");
    }
}

#[test]
fn an_interrupted_run_counts_only_once_its_back_end_is_known_to_have_crashed() {
    let mut runs = InterruptedRuns::default();
    let run = |number, at| InterruptedRun {
        suspects: only_request(number),
        version: version(),
        try_id: number.to_string(),
        on_probation: false,
        at,
    };
    runs.add(instance(1), run(1, NOW));
    runs.add(instance(1), run(2, NOW + SECOND));
    runs.add(instance(2), run(3, NOW));
    assert!(!runs.has_ended(instance(1)));
    let interrupted = runs.on_instance_ended(instance(1), NOW + SECOND * 8);
    assert_eq!(
        interrupted,
        [run(2, NOW + SECOND)],
        "the first is too old to be due to the crash"
    );
    assert!(
        runs.has_ended(instance(1))
            && !runs.has_unexplained(instance(1))
            && runs.has_unexplained(instance(2))
    );
    runs.expire(NOW + SECOND * 30);
    assert!(!runs.has_ended(instance(1)) && !runs.has_unexplained(instance(2)));
}
