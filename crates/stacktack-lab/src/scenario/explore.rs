//! Random fault schedules, checked against the expectations that hold under
//! every fault.
//!
//! A schedule is the text of a scenario, so that a failing one can be kept as a
//! file. A failing schedule is shrunk first: each act is left out if the
//! schedule still fails without it.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::parse::{parse, ScenarioError};
use super::run::{run, Report, RunError};
use crate::emulator::defect::Defect;
use thiserror::Error;

/// All processes of the fleet of a schedule.
const PROCESSES: &[&str] = &[
    "router-1",
    "router-2",
    "engine-1",
    "engine-2",
    "engine-3",
    "service-1",
    "service-2",
];

/// Agents, which have a back end, of the fleet of a schedule.
const AGENTS: &[&str] = &["engine-1", "engine-2", "engine-3", "service-1", "service-2"];

/// Routers of the fleet of a schedule.
const ROUTERS: &[&str] = &["router-1", "router-2"];

/// Fleet, load and expectations of every schedule.
const SCHEDULE_HEAD: &str = "fleet routers=2 engines=3 services=2 tenants=2
run 12s
load chats rate=12 tokens=60 chats=20
load calls rate=15
load calls rate=5 keys=twice
expect sent 200
expect own-answers
expect not-run-true
expect at-most-once
expect versions-rise
expect retry-after
";

/// Number of faults and acts of operators in one schedule; the act that ends a
/// fault is not counted.
const ACT_COUNT: std::ops::Range<usize> = 4..10;

/// Time at which an act begins, in milliseconds.
const ACT_BEGIN_MS: std::ops::Range<u64> = 500..10_000;

/// Time from the beginning of an act to its end, in milliseconds.
const ACT_DURATION_MS: std::ops::Range<u64> = 100..4_000;

/// A schedule could not be run.
#[derive(Debug, Error)]
pub enum ExploreError {
    /// The generated text is not a valid scenario.
    #[error(transparent)]
    Text(#[from] ScenarioError),
    /// The scenario could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// A failing schedule, shrunk by leaving out acts.
#[derive(Debug)]
pub struct Finding {
    /// Text of the scenario.
    pub text: String,
    /// Expectations that did not hold, each with what was observed.
    pub failures: Vec<String>,
}

/// Generates the acts of a schedule; each entry is a fault with its end, or an
/// act without an end.
pub fn random_acts(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(ACT_COUNT);
    (0..count).map(|_| random_act(&mut random)).collect()
}

fn random_name<'a>(names: &[&'a str], random: &mut ChaCha8Rng) -> &'a str {
    names.choose(random).copied().unwrap_or_default()
}

fn random_act(random: &mut ChaCha8Rng) -> String {
    let begin = random.random_range(ACT_BEGIN_MS);
    let end = begin + random.random_range(ACT_DURATION_MS);
    let any = random_name(PROCESSES, random);
    let agent = random_name(AGENTS, random);
    let router = random_name(ROUTERS, random);
    let pair = |first: &str, last: &str, left: &str, right: &str| {
        format!("at {begin}ms {first} {left} {right}\nat {end}ms {last} {left} {right}")
    };
    let single = |first: &str, last: &str, name: &str| {
        format!("at {begin}ms {first} {name}\nat {end}ms {last} {name}")
    };
    match random.random_range(0..13) {
        0 => single("kill", "restart", any),
        1 | 2 => single("freeze", "thaw", any),
        3 => single("kill-backend", "restart-backend", agent),
        4 | 5 => pair("cut", "heal", router, agent),
        6 => format!("at {begin}ms reset {router} {agent}"),
        7 => single("drain", "undrain", agent),
        8 => single("stop", "restart", any),
        9 => pair("cut", "heal", any, "platform"),
        10 => pair("cut", "heal", any, "gossip"),
        11 => {
            let modes = ["down", "lose-replies", "slow 800ms"];
            let mode = random_name(&modes, random);
            format!("at {begin}ms table {mode}\nat {end}ms table up")
        }
        _ => {
            let cap = random.random_range(12..30) as f64 / 10.0;
            format!("at {begin}ms apply cap={cap} anna bjarni")
        }
    }
}

fn schedule_text(seed: u64, acts: &[String]) -> String {
    format!("seed {seed}\n{SCHEDULE_HEAD}{}\n", acts.join("\n"))
}

fn run_acts(seed: u64, acts: &[String], defect: Option<Defect>) -> Result<Report, ExploreError> {
    let scenario = parse(&schedule_text(seed, acts))?;
    Ok(run(&scenario, defect)?)
}

/// Runs the schedule of a seed. Returns the shrunk schedule if an expectation
/// did not hold.
pub fn explore(seed: u64, defect: Option<Defect>) -> Result<Option<Finding>, ExploreError> {
    let mut acts = random_acts(seed);
    let mut failures = run_acts(seed, &acts, defect)?.failures;
    if failures.is_empty() {
        return Ok(None);
    }
    let mut position = 0;
    while position < acts.len() {
        let mut remaining = acts.clone();
        remaining.remove(position);
        let report = run_acts(seed, &remaining, defect)?;
        if report.failures.is_empty() {
            position += 1;
        } else {
            acts = remaining;
            failures = report.failures;
        }
    }
    Ok(Some(Finding {
        text: schedule_text(seed, &acts),
        failures,
    }))
}

/// Runs the schedules of the seeds on several threads. The findings are in the
/// order of their seeds.
pub fn explore_all(
    seeds: std::ops::Range<u64>,
    threads: u64,
    defect: Option<Defect>,
) -> Result<Vec<Finding>, ExploreError> {
    let results = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|thread| {
                let own = (seeds.start + thread..seeds.end).step_by(threads as usize);
                scope.spawn(move || {
                    own.map(|seed| (seed, explore(seed, defect)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = workers.into_iter().filter_map(|worker| worker.join().ok());
        joined.flatten().collect::<Vec<_>>()
    });
    let mut results = results;
    results.sort_by_key(|(seed, _)| *seed);
    let mut findings = Vec::new();
    for (_, result) in results {
        findings.extend(result?);
    }
    Ok(findings)
}
