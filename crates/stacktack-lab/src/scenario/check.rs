//! Expectations of scenarios and their checks.

use std::time::Duration;

use stacktack_core::problem::Outcome;
use stacktack_wire::identity::ConfigurationVersion;

use super::parse::{parse_duration, parse_number};
use crate::emulator::callers::Ending;
use crate::emulator::Emulator;

/// Highest accepted load of an engine, as a fraction of the load bound; 1.0
/// leaves no tolerance for changes between two samples.
const MAX_LOAD_BOUND_RATIO: f64 = 1.0;

/// Something that a scenario expects of its run.
#[derive(Clone, Debug, PartialEq)]
pub enum Expectation {
    /// Each caller received the response to its own request: a whole response
    /// byte for byte, any other a prefix of it. Nothing arrived after an end, and
    /// no response that was cut off looks whole.
    OwnAnswers,
    /// No request that was refused as not run ran, before or after the refusal.
    NotRunTrue,
    /// Requests that may run at most once did so, and so did each idempotency
    /// key.
    AtMostOnce,
    /// At least this fraction of requests got a whole response.
    Answered(f64),
    /// Each request got a whole response or was refused as not run.
    NoneLost,
    /// No run began at a leaving process later than this after the process began
    /// to leave.
    NoNewWork(Duration),
    /// No run used a configuration older than one that was accepted more than
    /// this before the run.
    NoStaleRuns(Duration),
    /// Each accepted version was in force at all processes within this time.
    InForce(Duration),
    /// Each restarted process had a configuration within this time.
    Ready(Duration),
    /// No process went back to an earlier version within one incarnation.
    VersionsRise,
    /// Exactly this many changes were accepted, each under its own version.
    Accepted(usize),
    /// The mean number of runs of each request that ran is at most this.
    RunsPerRequest(f64),
    /// Each request ended at most this long after it was sent.
    EndedWithin(Duration),
    /// Each request that got a problem response got it within this time.
    GivenUpWithin(Duration),
    /// Each problem response names a time for the retry, except for requests
    /// that ran.
    RetryAfter,
    /// No engine was above the load bound `max(cap * mean, mean + one request)`.
    LoadBound,
    /// No two processes held the controller lease at the same time.
    OneHolder,
    /// Some process holds the controller lease at the end.
    LeaseHeld,
    /// No back end followed an order after an order of a later epoch.
    OrdersRise,
    /// At least this many epochs of the lease had a holder.
    Epochs(usize),
    /// At least this many requests were sent; without it a scenario without load
    /// would pass.
    Sent(usize),
}

impl Expectation {
    /// Parses the words after `expect`.
    pub fn parse(words: &[&str]) -> Result<Self, String> {
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
            ["epochs", count] => Ok(Expectation::Epochs(parse_number(count)?)),
            ["load-bound"] => Ok(Expectation::LoadBound),
            ["answered", share] => Ok(Expectation::Answered(parse_number(share)?)),
            ["accepted", count] => Ok(Expectation::Accepted(parse_number(count)?)),
            ["sent", count] => Ok(Expectation::Sent(parse_number(count)?)),
            ["runs-per-request", max] => Ok(Expectation::RunsPerRequest(parse_number(max)?)),
            ["no-new-work", "after", grace] => Ok(Expectation::NoNewWork(parse_duration(grace)?)),
            ["no-stale-runs", "after", grace] => {
                Ok(Expectation::NoStaleRuns(parse_duration(grace)?))
            }
            ["in-force", "within", span] => Ok(Expectation::InForce(parse_duration(span)?)),
            ["ready", "within", span] => Ok(Expectation::Ready(parse_duration(span)?)),
            ["given-up", "within", span] => Ok(Expectation::GivenUpWithin(parse_duration(span)?)),
            ["ended", "within", span] => Ok(Expectation::EndedWithin(parse_duration(span)?)),
            _ => Err(format!("{} is not an expectation", words.join(" "))),
        }
    }

    /// Checks the expectation after a run. The error says what was observed.
    pub fn check(&self, emulator: &Emulator) -> Result<(), String> {
        match self {
            Expectation::OwnAnswers => check_own_answers(emulator),
            Expectation::NotRunTrue => check_not_run(emulator),
            Expectation::AtMostOnce => check_at_most_once(emulator),
            Expectation::Answered(share) => check_answered(emulator, *share),
            Expectation::NoneLost => check_none_lost(emulator),
            Expectation::NoNewWork(grace) => ensure_none(
                emulator.observer().late_runs(*grace),
                "runs began at a leaving process",
            ),
            Expectation::NoStaleRuns(grace) => ensure_none(
                emulator.observer().stale_runs(*grace),
                "runs used an outdated configuration",
            ),
            Expectation::InForce(span) => check_in_force(emulator, *span),
            Expectation::Ready(span) => check_ready(emulator, *span),
            Expectation::VersionsRise => ensure_none(
                emulator.observer().version_decreases.len(),
                "configuration versions went back",
            ),
            Expectation::Accepted(count) => check_accepted(emulator, *count),
            Expectation::RunsPerRequest(max) => check_runs(emulator, *max),
            Expectation::EndedWithin(span) => check_ended(emulator, *span),
            Expectation::GivenUpWithin(span) => check_given_up(emulator, *span),
            Expectation::RetryAfter => check_retry_after(emulator),
            Expectation::LoadBound => check_bound(emulator),
            Expectation::OneHolder => ensure_none(
                emulator.observer().lease_conflicts,
                "times two processes held the lease",
            ),
            Expectation::LeaseHeld => {
                let lease_held = emulator.processes().iter().any(|process| {
                    let participant = process.orders.as_ref();
                    participant.is_some_and(|participant| {
                        participant.lease.epoch(emulator.now()).is_some()
                    })
                });
                ensure(lease_held, || {
                    String::from("no process holds the lease at the end")
                })
            }
            Expectation::OrdersRise => check_orders(emulator),
            Expectation::Epochs(count) => {
                let seen = emulator.observer().epochs();
                ensure(seen >= *count, || {
                    format!("only {seen} epochs had a holder")
                })
            }
            Expectation::Sent(count) => {
                let sent = emulator.callers().requests.len();
                ensure(sent >= *count, || format!("only {sent} requests were sent"))
            }
        }
    }
}

fn ensure(condition: bool, message: impl FnOnce() -> String) -> Result<(), String> {
    if condition {
        Ok(())
    } else {
        Err(message())
    }
}

fn ensure_none(count: usize, what: &str) -> Result<(), String> {
    ensure(count == 0, || format!("{count} {what}"))
}

fn check_own_answers(emulator: &Emulator) -> Result<(), String> {
    let callers = emulator.callers();
    let wrong = callers
        .requests
        .values()
        .filter(|request| !request.matches_expected())
        .count();
    let false_ends = callers
        .requests
        .values()
        .filter(|request| request.is_cut_but_looks_whole())
        .count();
    ensure_none(wrong, "callers received a response that is not theirs")?;
    ensure_none(false_ends, "responses that were cut off look whole")?;
    ensure_none(
        callers.received_after_end as usize,
        "response parts arrived after the end",
    )
}

fn check_not_run(emulator: &Emulator) -> Result<(), String> {
    let runs = &emulator.observer().runs;
    let false_refusals = emulator
        .callers()
        .requests
        .iter()
        .filter(|(id, request)| {
            let refused = matches!(
                &request.ending,
                Ending::Problem(problem) if problem.outcome == Outcome::NotRun
            );
            refused && runs.contains_key(id)
        })
        .count();
    ensure_none(false_refusals, "requests refused as not run did run")
}

fn check_at_most_once(emulator: &Emulator) -> Result<(), String> {
    let observer = emulator.observer();
    let repeated = emulator
        .callers()
        .requests
        .iter()
        .filter(|(_, request)| request.at_most_once)
        .filter(|(id, _)| observer.runs.get(id).is_some_and(|runs| runs.len() > 1))
        .count();
    ensure_none(repeated, "requests ran more than once")?;
    let mut by_key: std::collections::HashMap<&str, usize> = std::collections::HashMap::new();
    for (id, request) in &emulator.callers().requests {
        if let Some(key) = &request.key {
            *by_key.entry(key).or_insert(0) += observer.runs.get(id).map_or(0, Vec::len);
        }
    }
    let keys = by_key.values().filter(|count| **count > 1).count();
    ensure_none(keys, "keys ran more than once")
}

fn check_answered(emulator: &Emulator, share: f64) -> Result<(), String> {
    let requests = &emulator.callers().requests;
    let whole = requests
        .values()
        .filter(|request| request.ending == Ending::Whole)
        .count();
    let seen = whole as f64 / requests.len().max(1) as f64;
    ensure(seen >= share, || {
        format!("only {seen:.3} were answered: {}", endings(emulator))
    })
}

/// Number of requests by how they ended.
pub fn endings(emulator: &Emulator) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for request in emulator.callers().requests.values() {
        let name = match &request.ending {
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
        .filter(|request| match &request.ending {
            Ending::Whole => false,
            Ending::Problem(problem) => problem.outcome != Outcome::NotRun,
            Ending::Open | Ending::Cut(_) | Ending::RouterGone => true,
        })
        .count();
    ensure(lost == 0, || {
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
        ensure(took <= span, || format!("version {version} took {took:?}"))?;
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
        ensure(took <= span, || format!("{name} took {took:?}"))?;
    }
    Ok(())
}

fn check_accepted(emulator: &Emulator, count: usize) -> Result<(), String> {
    let accepted = &emulator.observer().accepted;
    let versions: std::collections::BTreeSet<ConfigurationVersion> =
        accepted.iter().map(|(version, _, _)| *version).collect();
    ensure(accepted.len() == count && versions.len() == count, || {
        format!("accepted changes were {accepted:?}")
    })
}

fn check_runs(emulator: &Emulator, max: f64) -> Result<(), String> {
    let runs = &emulator.observer().runs;
    let total: usize = runs.values().map(Vec::len).sum();
    let mean = total as f64 / runs.len().max(1) as f64;
    ensure(mean <= max, || {
        format!("{mean:.3} runs for each request that ran")
    })
}

fn check_ended(emulator: &Emulator, span: Duration) -> Result<(), String> {
    let late = emulator
        .callers()
        .requests
        .values()
        .filter(|request| {
            request
                .ended_at
                .is_none_or(|at| at.since(request.sent_at) > span)
        })
        .count();
    ensure(late == 0, || {
        format!("{late} requests took longer: {}", endings(emulator))
    })
}

fn check_given_up(emulator: &Emulator, span: Duration) -> Result<(), String> {
    let late = emulator
        .callers()
        .requests
        .values()
        .filter(|request| matches!(request.ending, Ending::Problem(_)))
        .filter(|request| {
            request
                .ended_at
                .is_none_or(|at| at.since(request.sent_at) > span)
        })
        .count();
    ensure_none(late, "problem responses came late")
}

fn check_retry_after(emulator: &Emulator) -> Result<(), String> {
    let without = emulator
        .callers()
        .requests
        .values()
        .filter(|request| match &request.ending {
            Ending::Problem(problem) => {
                problem.retry_after_ms.is_none() && problem.outcome != Outcome::Ran
            }
            _ => false,
        })
        .count();
    ensure_none(without, "problems name no time for a retry")
}

fn check_orders(emulator: &Emulator) -> Result<(), String> {
    let targets = emulator
        .processes()
        .iter()
        .filter_map(|process| process.order_target.as_ref());
    let epoch_decreases = targets.map(|target| target.epoch_decreases()).sum();
    ensure_none(
        epoch_decreases,
        "orders were followed after one of a later epoch",
    )
}

fn check_bound(emulator: &Emulator) -> Result<(), String> {
    let ratio = emulator.observer().max_load_bound_ratio;
    ensure(ratio <= MAX_LOAD_BOUND_RATIO, || {
        format!("the busiest engine was at {ratio:.3} of the bound")
    })
}
