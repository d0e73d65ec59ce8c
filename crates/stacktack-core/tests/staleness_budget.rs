//! Division of the time in which a change at a source has to take effect.

use std::time::Duration;

use stacktack_core::direct::sources::staleness_budget::StalenessBudget;
use stacktack_core::direct::sources::update_batching;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The worst case: a change comes right after the last answer, the first poll stays unanswered, and
/// the second one is answered. A fifth of the bound is left to choose a back end and to send.
#[test]
fn the_shares_fit_into_any_bound() {
    for bound in [ms(500), ms(2000), ms(3000), ms(4000), ms(5000), ms(30_000)] {
        let budget = StalenessBudget::new(bound);
        let known_after = budget.max_age() + budget.answer_timeout();
        assert!(
            known_after <= bound.mul_f64(0.8),
            "{bound:?}: {known_after:?}"
        );
        for routers in [1, 4, 24, 103, 357, 714] {
            let window = update_batching::batch_window(routers, &budget);
            assert!(window < budget.max_age(), "{bound:?}, {routers} routers");
        }
    }
}

#[test]
fn a_poll_is_due_once_knowledge_is_stale() {
    let budget = StalenessBudget::new(ms(2000));
    let until_poll = |age, since_poll| budget.until_poll(ms(age), since_poll, Duration::ZERO);
    assert_eq!(until_poll(0, None), ms(1200));
    assert_eq!(until_poll(1000, Some(ms(50))), ms(350));
    assert_eq!(until_poll(1300, Some(ms(400))), Duration::ZERO);
    // A second poll, when the first is not answered.
    assert_eq!(until_poll(1300, Some(ms(100))), ms(300));
}

#[test]
fn polls_of_a_slow_source_do_not_pile_up() {
    let budget = StalenessBudget::new(ms(2000));
    let until_poll = budget.until_poll(ms(1500), Some(ms(500)), ms(1360));
    assert_eq!(until_poll, ms(2220));
}

#[test]
fn a_router_without_peers_stops_waiting_before_a_poll_is_due() {
    let budget = StalenessBudget::new(ms(3000));
    assert!(budget.wait_without_peers(Duration::ZERO) < budget.max_age());
    assert_eq!(budget.wait_without_peers(ms(9000)), Duration::ZERO);
}

/// Equal waits that begin with the same update end in step, so that no router would notice that
/// another one watches.
#[test]
fn waits_are_jittered() {
    let budget = StalenessBudget::new(ms(5000));
    let wait = |draw| budget.watch_wait(Duration::ZERO, draw);
    let (longest, shortest) = (wait(0.0), wait(0.999));
    assert_eq!(longest, budget.watch_period());
    assert!(shortest < longest.mul_f64(0.8));
}

/// When the watching router collected updates for its whole watch period and then waited as long
/// again, the knowledge of 356 others became stale, and all of them polled at once after each
/// change.
#[test]
fn the_watching_router_updates_the_others_in_time_after_any_batch_window() {
    for bound in [ms(2000), ms(5000)] {
        let budget = StalenessBudget::new(bound);
        for routers in [1, 4, 24, 103, 357, 714] {
            let window = update_batching::batch_window(routers, &budget);
            for draw in [0.0, 0.5, 0.99] {
                let age = window + budget.watch_wait(window, draw);
                assert!(
                    age <= budget.watch_period(),
                    "{bound:?}, {routers} routers: {age:?}"
                );
            }
        }
    }
}

/// Whatever the number of routers, the first takeover comes after the longest wait of the watching
/// router, and in 999 of 1,000 cases before knowledge is stale.
#[test]
fn some_router_takes_over_in_time() {
    let budget = StalenessBudget::new(ms(5000));
    for routers in [1, 4, 24, 103, 357, 714] {
        // Quantile of the smallest of `routers` draws that are uniform in 0..1.
        let smallest_draw = |probability: f64| 1.0 - (1.0 - probability).powf(1.0 / routers as f64);
        let earliest = budget.takeover_delay(routers, smallest_draw(0.001));
        let latest = budget.takeover_delay(routers, smallest_draw(0.999));
        assert!(earliest > budget.watch_period(), "{routers}: {earliest:?}");
        let limit = budget.max_age().saturating_sub(budget.propagation_time());
        assert!(latest <= limit, "{routers}: {latest:?}");
    }
}
