//! What scenarios expect, and whether it held.

use std::time::Duration;

use stacktack_core::problem::Outcome;
use stacktack_wire::identity::ConfigurationVersion;

use super::parse::{read_duration, read_number};
use crate::emulator::callers::Ending;
use crate::emulator::Emulator;

/// Tolerance of the load bound: what passes between two looks.
const BOUND_TOLERANCE: f64 = 1.0;

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Expectation {
    /// Each caller got its own answer: whole ones byte for byte, others a true
    /// beginning; nothing came after an end; no cut one looks whole.
    OwnAnswers,
    /// Each refused as not run did not run, then or later.
    NotRunTrue,
    /// Requests that may run once ran at most once; so did each key.
    AtMostOnce,
    /// At least this share of requests got a whole answer.
    Answered(f64),
    /// No request was cut or left unknown.
    NoneLost,
    /// Nothing began at a leaving process later than this after it began to
    /// leave.
    NoNewWork(Duration),
    /// Nothing ran under a configuration older than one accepted this long
    /// before.
    NoStaleRuns(Duration),
    /// Accepted versions were in force everywhere within this time.
    InForce(Duration),
    /// Processes that started again had a configuration within this time.
    Ready(Duration),
    /// No process fell back to an earlier version.
    VersionsRise,
    /// Exactly this many changes were accepted, under versions of their own.
    Accepted(usize),
    /// Mean runs for each request that ran.
    RunsPerRequest(f64),
    /// Each request ended at most this long after it was sent.
    EndedWithin(Duration),
    /// Requests that got no answer were told so within this time.
    GivenUpWithin(Duration),
    /// Refusals name a time to come back.
    RetryAfter,
    /// No engine was over `max(cap * mean, mean + one request)`.
    LoadBound,
    /// No two processes held the controller lease at once.
    OneHolder,
    /// Some process holds the controller lease at the end.
    LeaseHeld,
    /// No back end followed an order of an older epoch after one of a later.
    OrdersRise,
    /// At least this many epochs of the lease had a holder.
    Epochs(usize),
    /// Requests sent in all, so that a scenario is not about nothing.
    Sent(usize),
}

impl Expectation {
    /// Reads the words behind `expect`.
    pub fn read(words: &[&str]) -> Result<Self, String> {
        match words {
            ["own-answers"] => Ok(Expectation::OwnAnswers),
            ["not-run-true"] => Ok(Expectation::NotRunTrue),
            ["at-most-once"] => Ok(Expectation::AtMostOnce),
            ["none-lost"] => Ok(Expectation::NoneLost),
            ["versions-rise"] => Ok(Expectation::VersionsRise),
            ["retry-after"] => Ok(Expectation::RetryAfter),
            ["one-holder"] => Ok(Expectation::OneHolder),
            ["lease-held"] => Ok(Expectation::LeaseHeld),
            ["orders-rise"] => Ok(Expectation::OrdersRise),
            ["epochs", count] => Ok(Expectation::Epochs(read_number(count)?)),
            ["load-bound"] => Ok(Expectation::LoadBound),
            ["answered", share] => Ok(Expectation::Answered(read_number(share)?)),
            ["accepted", count] => Ok(Expectation::Accepted(read_number(count)?)),
            ["sent", count] => Ok(Expectation::Sent(read_number(count)?)),
            ["runs-per-request", most] => Ok(Expectation::RunsPerRequest(read_number(most)?)),
            ["no-new-work", "after", grace] => Ok(Expectation::NoNewWork(read_duration(grace)?)),
            ["no-stale-runs", "after", grace] => {
                Ok(Expectation::NoStaleRuns(read_duration(grace)?))
            }
            ["in-force", "within", span] => Ok(Expectation::InForce(read_duration(span)?)),
            ["ready", "within", span] => Ok(Expectation::Ready(read_duration(span)?)),
            ["given-up", "within", span] => Ok(Expectation::GivenUpWithin(read_duration(span)?)),
            ["ended", "within", span] => Ok(Expectation::EndedWithin(read_duration(span)?)),
            _ => Err(format!("{} is no expectation", words.join(" "))),
        }
    }

    /// Whether it held; the text says what was seen otherwise.
    pub fn check(&self, emulator: &Emulator) -> Result<(), String> {
        match self {
            Expectation::OwnAnswers => check_own_answers(emulator),
            Expectation::NotRunTrue => check_not_run(emulator),
            Expectation::AtMostOnce => check_at_most_once(emulator),
            Expectation::Answered(share) => check_answered(emulator, *share),
            Expectation::NoneLost => check_none_lost(emulator),
            Expectation::NoNewWork(grace) => none(
                emulator.observer().late_runs(*grace),
                "runs began at a leaving process",
            ),
            Expectation::NoStaleRuns(grace) => none(
                emulator.observer().stale_runs(*grace),
                "runs were under an old configuration",
            ),
            Expectation::InForce(span) => check_in_force(emulator, *span),
            Expectation::Ready(span) => check_ready(emulator, *span),
            Expectation::VersionsRise => {
                none(emulator.observer().version_decreases.len(), "versions fell")
            }
            Expectation::Accepted(count) => check_accepted(emulator, *count),
            Expectation::RunsPerRequest(most) => check_runs(emulator, *most),
            Expectation::EndedWithin(span) => check_ended(emulator, *span),
            Expectation::GivenUpWithin(span) => check_given_up(emulator, *span),
            Expectation::RetryAfter => check_retry_after(emulator),
            Expectation::LoadBound => check_bound(emulator),
            Expectation::OneHolder => none(
                emulator.observer().lease_conflicts,
                "times two processes held the lease",
            ),
            Expectation::LeaseHeld => {
                let held = emulator.processes().iter().any(|process| {
                    let participant = process.orders.as_ref();
                    participant.is_some_and(|held| held.lease.epoch(emulator.now()).is_some())
                });
                hold(held, || String::from("nobody holds the lease at the end"))
            }
            Expectation::OrdersRise => check_orders(emulator),
            Expectation::Epochs(count) => {
                let seen = emulator.observer().epochs();
                hold(seen >= *count, || {
                    format!("only {seen} epochs had a holder")
                })
            }
            Expectation::Sent(count) => {
                let sent = emulator.callers().requests.len();
                hold(sent >= *count, || format!("only {sent} requests were sent"))
            }
        }
    }
}

fn hold(held: bool, text: impl FnOnce() -> String) -> Result<(), String> {
    if held {
        Ok(())
    } else {
        Err(text())
    }
}

fn none(count: usize, what: &str) -> Result<(), String> {
    hold(count == 0, || format!("{count} {what}"))
}

fn check_own_answers(emulator: &Emulator) -> Result<(), String> {
    let callers = emulator.callers();
    let wrong = callers
        .requests
        .values()
        .filter(|held| !held.matches_expected())
        .count();
    let false_ends = callers
        .requests
        .values()
        .filter(|held| held.is_cut_but_looks_whole())
        .count();
    none(wrong, "callers got what is not their answer")?;
    none(false_ends, "cut answers look whole")?;
    none(
        callers.received_after_end as usize,
        "parts came after the end",
    )
}

fn check_not_run(emulator: &Emulator) -> Result<(), String> {
    let runs = &emulator.observer().runs;
    let false_refusals = emulator
        .callers()
        .requests
        .iter()
        .filter(|(id, held)| {
            let refused = matches!(
                &held.ending,
                Ending::Problem(problem) if problem.outcome == Outcome::NotRun
            );
            refused && runs.contains_key(id)
        })
        .count();
    none(false_refusals, "requests refused as not run did run")
}

fn check_at_most_once(emulator: &Emulator) -> Result<(), String> {
    let observer = emulator.observer();
    let repeated = emulator
        .callers()
        .requests
        .iter()
        .filter(|(_, held)| held.at_most_once)
        .filter(|(id, _)| observer.runs.get(id).is_some_and(|runs| runs.len() > 1))
        .count();
    none(repeated, "requests ran more than once")?;
    let mut by_key: std::collections::HashMap<&str, usize> = std::collections::HashMap::new();
    for (id, held) in &emulator.callers().requests {
        if let Some(key) = &held.key {
            *by_key.entry(key).or_insert(0) += observer.runs.get(id).map_or(0, Vec::len);
        }
    }
    let keys = by_key.values().filter(|count| **count > 1).count();
    none(keys, "keys ran more than once")
}

fn check_answered(emulator: &Emulator, share: f64) -> Result<(), String> {
    let requests = &emulator.callers().requests;
    let whole = requests
        .values()
        .filter(|held| held.ending == Ending::Whole)
        .count();
    let seen = whole as f64 / requests.len().max(1) as f64;
    hold(seen >= share, || {
        format!("only {seen:.3} were answered: {}", endings(emulator))
    })
}

/// How requests ended, counted by kind.
pub fn endings(emulator: &Emulator) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for held in emulator.callers().requests.values() {
        let name = match &held.ending {
            Ending::Open => String::from("open"),
            Ending::Whole => String::from("whole"),
            Ending::RouterGone => String::from("router gone"),
            Ending::Problem(problem) => format!("{} {:?}", problem.title, problem.outcome),
            Ending::Cut(problem) => format!("cut: {}", problem.title),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    format!("{counts:?}")
}

fn check_none_lost(emulator: &Emulator) -> Result<(), String> {
    let lost = emulator
        .callers()
        .requests
        .values()
        .filter(|held| match &held.ending {
            Ending::Whole => false,
            Ending::Problem(problem) => problem.outcome != Outcome::NotRun,
            Ending::Open | Ending::Cut(_) | Ending::RouterGone => true,
        })
        .count();
    hold(lost == 0, || {
        format!("{lost} requests were lost: {}", endings(emulator))
    })
}

fn check_in_force(emulator: &Emulator, span: Duration) -> Result<(), String> {
    let observer = emulator.observer();
    for (version, accepted_at, _) in &observer.accepted {
        let everywhere = observer.in_force_everywhere(*version, *accepted_at, emulator.processes());
        let Some(at) = everywhere else {
            return Err(format!("version {version} is not in force everywhere"));
        };
        let took = at.since(*accepted_at);
        hold(took <= span, || format!("version {version} took {took:?}"))?;
    }
    Ok(())
}

fn check_ready(emulator: &Emulator, span: Duration) -> Result<(), String> {
    let observer = emulator.observer();
    for (id, started_at) in &observer.restarted_at {
        let versions = observer.in_force.get(id);
        let first = versions.and_then(|versions| versions.values().min());
        let name = &emulator.processes()[*id].name;
        let Some(first) = first else {
            return Err(format!("{name} never had a configuration"));
        };
        let took = first.since(*started_at);
        hold(took <= span, || format!("{name} took {took:?}"))?;
    }
    Ok(())
}

fn check_accepted(emulator: &Emulator, count: usize) -> Result<(), String> {
    let accepted = &emulator.observer().accepted;
    let versions: std::collections::BTreeSet<ConfigurationVersion> =
        accepted.iter().map(|(version, _, _)| *version).collect();
    hold(accepted.len() == count && versions.len() == count, || {
        format!("accepted were {accepted:?}")
    })
}

fn check_runs(emulator: &Emulator, most: f64) -> Result<(), String> {
    let runs = &emulator.observer().runs;
    let total: usize = runs.values().map(Vec::len).sum();
    let mean = total as f64 / runs.len().max(1) as f64;
    hold(mean <= most, || {
        format!("{mean:.3} runs for each request that ran")
    })
}

fn check_ended(emulator: &Emulator, span: Duration) -> Result<(), String> {
    let late = emulator
        .callers()
        .requests
        .values()
        .filter(|held| held.ended_at.is_none_or(|at| at.since(held.sent_at) > span))
        .count();
    hold(late == 0, || {
        format!("{late} requests took longer: {}", endings(emulator))
    })
}

fn check_given_up(emulator: &Emulator, span: Duration) -> Result<(), String> {
    let late = emulator
        .callers()
        .requests
        .values()
        .filter(|held| matches!(held.ending, Ending::Problem(_)))
        .filter(|held| held.ended_at.is_none_or(|at| at.since(held.sent_at) > span))
        .count();
    none(late, "refusals came late")
}

fn check_retry_after(emulator: &Emulator) -> Result<(), String> {
    let without = emulator
        .callers()
        .requests
        .values()
        .filter(|held| match &held.ending {
            Ending::Problem(problem) => {
                problem.retry_after_ms.is_none() && problem.outcome != Outcome::Ran
            }
            _ => false,
        })
        .count();
    none(without, "problems name no time to come back")
}

fn check_orders(emulator: &Emulator) -> Result<(), String> {
    let targets = emulator
        .processes()
        .iter()
        .filter_map(|process| process.order_target.as_ref());
    let epoch_decreases = targets.map(|target| target.epoch_decreases()).sum();
    none(epoch_decreases, "orders followed one of a later epoch")
}

fn check_bound(emulator: &Emulator) -> Result<(), String> {
    let ratio = emulator.observer().max_load_bound_ratio;
    hold(ratio <= BOUND_TOLERANCE, || {
        format!("the busiest engine was at {ratio:.3} of the bound")
    })
}
