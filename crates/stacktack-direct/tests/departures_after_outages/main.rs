//! How soon a fleet acts on a departure some time after an outage of the store, on virtual time, while
//! the routers that read the store are struck; and which back ends it gives up although they live.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
#[path = "../followers/scripted_directory.rs"]
mod scripted_directory;
#[path = "../followers/serving_peer.rs"]
mod serving_peer;
mod store;

use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

use fleet::{Fleet, Strike};
use store::{Service, Store};

/// Time from a departure to the last request to the back end that is allowed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Part of that time for connecting to a back end and sending a request.
const SENDING_TIME: Duration = Duration::from_millis(400);

/// Time after an outage from which routers have to act on departures in time.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after an outage within which live back ends renew their entries.
const RENEWAL_TIME: Duration = Duration::from_secs(2);

/// Time in which routers that start at once find a reader.
const WARM_UP: Duration = Duration::from_secs(6);

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// One outage, and what follows it.
#[derive(Clone, Copy, Debug)]
struct Case {
    routers: usize,
    seed: u64,
    service: Service,
    /// Share of the routers that the outage affects.
    affected: f64,
    outage: Duration,
    /// Time from the end of the outage to the departure.
    pause: Duration,
    /// What strikes the routers that read last, and how many of them.
    strike: Option<(Strike, usize)>,
}

/// What a case led to.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Time from the departure until the last router that nothing struck acted on it.
    departure_delay: Duration,
    /// Routers that gave up a back end whose entry expired in the outage and was renewed in time.
    wrong_removals: usize,
}

async fn play(case: Case) -> Outcome {
    let local = LocalSet::new();
    local.run_until(play_in(case)).await
}

async fn play_in(case: Case) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(case.seed);
    let store = Rc::new(Store::default());
    for id in ["leaves", "lapses", "stays"] {
        store.rows.set(id, true);
    }
    let fleet = Fleet::start(case.routers, DRAIN_TIMEOUT, store.clone(), case.seed);
    sleep(WARM_UP + Duration::from_millis(random.random_range(0..600))).await;
    assert_eq!(fleet.routers_that_use("leaves").len(), case.routers);

    let affected = ((case.routers as f64 * case.affected).ceil() as usize).min(case.routers);
    let set_service = |service| (0..affected).for_each(|router| store.set_service(router, service));
    set_service(case.service);
    sleep(case.outage.mul_f64(0.9)).await;
    let lapses = case.affected >= 1.0 && case.service != Service::Slow;
    if lapses {
        store.rows.set("lapses", false);
    }
    sleep(case.outage.mul_f64(0.1)).await;
    set_service(Service::Answers);
    let returned = Instant::now();
    let renewed_after = RENEWAL_TIME.mul_f64(random.random());

    let mut outcome = Outcome::default();
    let mut departed = None;
    let mut is_renewed = false;
    let mut gave_up = vec![false; case.routers];
    loop {
        sleep(CHECK_INTERVAL).await;
        if !is_renewed && returned.elapsed() >= renewed_after {
            is_renewed = true;
            if lapses {
                store.rows.set("lapses", true);
            }
        }
        if returned.elapsed() < RENEWAL_TIME + CONTACT_TIME {
            let using = fleet.routers_that_use("lapses");
            for (router, gave_up) in gave_up.iter_mut().enumerate() {
                *gave_up |= !using.contains(&router) && !fleet.is_struck(router);
            }
        }
        if departed.is_none() && returned.elapsed() >= case.pause {
            if let Some((strike, count)) = case.strike {
                for reader in store.last_readers(count) {
                    fleet.strike(reader, strike);
                }
            }
            sleep(Duration::from_millis(random.random_range(0..400))).await;
            store.rows.set("leaves", false);
            departed = Some(Instant::now());
        }
        let Some(departed) = departed else { continue };
        if fleet.routers_that_use("leaves").is_empty() {
            outcome.departure_delay = departed.elapsed();
            break;
        }
        assert!(
            departed.elapsed() < Duration::from_secs(30),
            "{case:?}: never known"
        );
    }
    outcome.wrong_removals = gave_up.iter().filter(|gave_up| **gave_up).count();
    assert_eq!(fleet.routers_that_use("stays").len(), fleet.calm_count());
    fleet.stop();
    outcome
}

/// Latest time after the departure at which a router may still choose the back end.
fn bound(case: &Case) -> Duration {
    let until_in_touch = CONTACT_TIME.saturating_sub(case.pause);
    until_in_touch.max(DRAIN_TIMEOUT - SENDING_TIME)
}

#[tokio::test(start_paused = true)]
async fn trial() {
    let count = |name: &str, default: usize| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    let sizes: Vec<usize> = std::env::var("SIZES").ok().map_or(vec![2, 4, 23], |v| {
        v.split(',').map(|s| s.parse().unwrap()).collect()
    });
    let seeds = count("SEEDS", 2);
    let kinds = [
        (Service::Silent, 1.0, 4500),
        (Service::Stalled, 1.0, 4500),
        (Service::Refuses, 1.0, 4500),
        (Service::Resets, 1.0, 4500),
        (Service::Slow, 1.0, 6000),
        (Service::Silent, 0.5, 4500),
        (Service::Refuses, 0.5, 4500),
        (Service::Silent, 1.0, 2300),
        (Service::Stalled, 1.0, 1500),
    ];
    let mut seed = 0;
    for routers in sizes {
        let started = std::time::Instant::now();
        for (service, affected, outage) in kinds {
            for strike in [
                None,
                Some((Strike::Frozen, 1)),
                Some((Strike::Frozen, 2)),
                Some((Strike::Killed, 1)),
                Some((Strike::CutOff, 1)),
            ] {
                if strike.is_some_and(|(_, count)| count >= routers) {
                    continue;
                }
                let mut worst = Duration::ZERO;
                let (mut late, mut wrong, mut plays) = (0, 0, 0);
                for pause in [1000, 3000, 4000, 7000, 20_000, 60_000] {
                    for _ in 0..seeds {
                        seed += 1;
                        let case = Case {
                            routers,
                            seed,
                            service,
                            affected,
                            outage: Duration::from_millis(outage),
                            pause: Duration::from_millis(pause),
                            strike,
                        };
                        let outcome = play(case).await;
                        plays += 1;
                        late += usize::from(outcome.departure_delay > bound(&case));
                        wrong += usize::from(outcome.wrong_removals > 0);
                        if outcome.departure_delay > bound(&case) {
                            worst = worst.max(outcome.departure_delay);
                        }
                    }
                }
                if late + wrong > 0 {
                    println!("{routers} {service:?} {affected} {outage} {strike:?}: late {late} worst {worst:?}, wrong {wrong} of {plays}");
                }
            }
        }
        println!("== {routers} routers: {:?}", started.elapsed());
    }
}
