//! Runs scenarios on virtual time.

use std::time::Duration;

use stacktack_core::chart::ChartError;
use stacktack_core::control::budget::DEFAULT_BYTES_PER_SECOND;
use stacktack_core::placement::Policy;
use stacktack_core::time::Time;
use thiserror::Error;

use super::check::endings;
use super::parse::{Act, PairVerb, Scenario, Verb};
use crate::emulator::defect::Defect;
use crate::emulator::faults::Fault;
use crate::emulator::process::ProcessId;
use crate::emulator::{Emulator, EmulatorPlan, SETTLING_TIME};

/// Time after the end of a scenario for requests in flight to end.
const COMPLETION_TIME: Duration = Duration::from_secs(20);

/// A scenario could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A state chart is invalid.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// No process or zone has this name.
    #[error("{0} is not a process of the fleet")]
    UnknownProcess(String),
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Expectations that did not hold, each with what was observed.
    pub failures: Vec<String>,
    /// Number of requests by how they ended, and number of table writes.
    pub summary: String,
}

/// Runs a scenario, with a defect if one is given, and checks its expectations.
pub fn run(scenario: &Scenario, defect: Option<Defect>) -> Result<Report, RunError> {
    let emulator = run_emulator(scenario, defect)?;
    let failures = scenario
        .expectations
        .iter()
        .filter_map(|expectation| {
            let failure = expectation.check(&emulator).err()?;
            Some(format!("{expectation:?}: {failure}"))
        })
        .collect();
    Ok(Report {
        failures,
        summary: format!(
            "{}, {} table writes",
            endings(&emulator),
            emulator.table_writes()
        ),
    })
}

/// Runs a scenario, with a defect if one is given, and returns the fleet at its end.
pub fn run_emulator(scenario: &Scenario, defect: Option<Defect>) -> Result<Emulator, RunError> {
    let mut emulator = Emulator::new(EmulatorPlan {
        fleet: scenario.fleet.clone(),
        policy: Policy::Bounded,
        seed: scenario.seed,
        control_bytes_per_second: DEFAULT_BYTES_PER_SECOND,
        defect,
        orders: scenario.orders,
    })?;
    for load in &scenario.loads {
        let mut shifted = load.clone();
        shifted.from = load.from + SETTLING_TIME;
        shifted.to = Time(load.to.0.min(scenario.length.as_micros() as u64)) + SETTLING_TIME;
        emulator.add_load(shifted);
    }
    for (at, act) in &scenario.acts {
        for fault in faults_of(&emulator, act)? {
            emulator.add_fault(SETTLING_TIME + *at, fault);
        }
    }
    emulator.run_until(Time::default() + SETTLING_TIME + scenario.length + COMPLETION_TIME)?;
    Ok(emulator)
}

fn find(emulator: &Emulator, name: &str) -> Result<ProcessId, RunError> {
    let found = emulator
        .processes()
        .iter()
        .position(|process| process.name == name);
    found.ok_or_else(|| RunError::UnknownProcess(name.to_string()))
}

/// Processes that a name refers to: one process, all of a zone, or all.
fn find_all(emulator: &Emulator, name: &str) -> Result<Vec<ProcessId>, RunError> {
    let processes = emulator.processes();
    let all = || 0..processes.len();
    if name == "all" {
        return Ok(all().collect());
    }
    let in_zone: Vec<ProcessId> = all()
        .filter(|id| processes[*id].information.zone == name)
        .collect();
    if !in_zone.is_empty() {
        return Ok(in_zone);
    }
    Ok(vec![find(emulator, name)?])
}

fn faults_of(emulator: &Emulator, act: &Act) -> Result<Vec<Fault>, RunError> {
    match act {
        Act::One { verb, name } => {
            let processes = find_all(emulator, name)?;
            Ok(processes
                .into_iter()
                .map(|id| process_fault(*verb, id))
                .collect())
        }
        Act::Two { verb, left, right } => {
            let left = find_all(emulator, left)?;
            if right == "platform" {
                return Ok(left
                    .into_iter()
                    .filter_map(|id| platform_fault(*verb, id))
                    .collect());
            }
            if right == "gossip" {
                return Ok(left
                    .into_iter()
                    .filter_map(|id| gossip_fault(*verb, id))
                    .collect());
            }
            let right = find_all(emulator, right)?;
            let mut faults = Vec::new();
            for one in &left {
                for other in right.iter().filter(|other| *other != one) {
                    faults.push(pair_fault(*verb, *one, *other));
                }
            }
            Ok(faults)
        }
        Act::Table(fault) => Ok(vec![Fault::Store(*fault)]),
        Act::Apply { authors, load_cap } => Ok(vec![Fault::Apply {
            authors: authors.clone(),
            load_cap: *load_cap,
        }]),
    }
}

fn process_fault(verb: Verb, id: ProcessId) -> Fault {
    match verb {
        Verb::Kill => Fault::Kill(id),
        Verb::Restart => Fault::Restart(id),
        Verb::Freeze => Fault::Freeze(id),
        Verb::Thaw => Fault::Thaw(id),
        Verb::Stop => Fault::Stop(id),
        Verb::KillBackEnd => Fault::KillBackEnd(id),
        Verb::RestartBackEnd => Fault::RestartBackEnd(id),
        Verb::Drain => Fault::Drain(id),
        Verb::Undrain => Fault::Undrain(id),
        Verb::Leave => Fault::Leave(id),
    }
}

fn pair_fault(verb: PairVerb, left: ProcessId, right: ProcessId) -> Fault {
    match verb {
        PairVerb::Cut => Fault::Cut(left, right),
        PairVerb::Heal => Fault::Heal(left, right),
        PairVerb::Reset => Fault::Reset(left, right),
    }
}

fn gossip_fault(verb: PairVerb, id: ProcessId) -> Option<Fault> {
    match verb {
        PairVerb::Cut => Some(Fault::CutGossip(id)),
        PairVerb::Heal => Some(Fault::HealGossip(id)),
        PairVerb::Reset => None,
    }
}

fn platform_fault(verb: PairVerb, id: ProcessId) -> Option<Fault> {
    match verb {
        PairVerb::Cut => Some(Fault::CutPlatform(id)),
        PairVerb::Heal => Some(Fault::HealPlatform(id)),
        PairVerb::Reset => None,
    }
}
