//! Parser of the scenario language.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use stacktack_core::time::Time;
use stacktack_standins::platform::faults::StoreFault;
use thiserror::Error;

use super::check::Expectation;
use crate::emulator::callers::{KeyUse, LoadPlan};
use crate::emulator::defect::Defect;
use crate::fleet::FleetPlan;

/// A scenario file is invalid.
#[derive(Debug, Error)]
#[error("line {line}: {reason}")]
pub struct ScenarioError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub reason: String,
}

/// A fault or an act of operators, with names of processes or zones.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A verb that takes one name.
    One {
        /// What happens.
        verb: Verb,
        /// A process, a zone or `all`.
        name: String,
    },
    /// A verb that takes two names.
    Two {
        /// What happens.
        verb: PairVerb,
        /// A process, a zone or `all`.
        left: String,
        /// A process, a zone, `all`, `platform` or `gossip`.
        right: String,
    },
    /// The store gets this fault, or `StoreFault::Up` to end one.
    Table(StoreFault),
    /// Several operators set the load cap at the same time.
    Apply {
        /// Names of the operators.
        authors: Vec<String>,
        /// Load cap that the first operator sets.
        load_cap: f64,
    },
}

macro_rules! verbs {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$item])* $variant,)*
        }

        impl $name {
            fn parse(text: &str) -> Option<Self> {
                match text {
                    $($text => Some($name::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

verbs! {
    /// What happens to one process.
    Verb {
        /// It crashes.
        Kill => "kill",
        /// It restarts.
        Restart => "restart",
        /// It is paused.
        Freeze => "freeze",
        /// It resumes.
        Thaw => "thaw",
        /// It is asked to stop gracefully.
        Stop => "stop",
        /// Its back end crashes.
        KillBackEnd => "kill-backend",
        /// Its back end restarts.
        RestartBackEnd => "restart-backend",
        /// An operator drains it.
        Drain => "drain",
        /// An operator ends its draining.
        Undrain => "undrain",
        /// The platform is about to take its machine away.
        Leave => "leave",
    }
}

verbs! {
    /// What happens between two processes.
    PairVerb {
        /// They cannot reach each other.
        Cut => "cut",
        /// They can reach each other again.
        Heal => "heal",
        /// Their connections are reset.
        Reset => "reset",
    }
}

/// A parsed scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Size and limits of the fleet.
    pub fleet: FleetPlan,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Length of the scenario from the end of settling; load stops at its end.
    pub length: Duration,
    /// Loads, timed from the end of settling.
    pub loads: Vec<LoadPlan>,
    /// Faults and acts of operators, timed from the end of settling.
    pub acts: Vec<(Duration, Act)>,
    /// Whether agents compete for the controller lease and send orders.
    pub orders: bool,
    /// Expectations that must hold at the end.
    pub expectations: Vec<Expectation>,
    /// Defects with each of which the scenario must fail.
    pub breaks: Vec<Defect>,
}

/// Parses the text of a scenario.
pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario {
        fleet: FleetPlan::default(),
        seed: 1,
        length: Duration::from_secs(20),
        loads: Vec::new(),
        acts: Vec::new(),
        orders: false,
        expectations: Vec::new(),
        breaks: Vec::new(),
    };
    for (number, line) in text.lines().enumerate() {
        let content = line.split('#').next().unwrap_or_default().trim();
        if content.is_empty() {
            continue;
        }
        let words: Vec<&str> = content.split_whitespace().collect();
        parse_line(&mut scenario, &words).map_err(|reason| ScenarioError {
            line: number + 1,
            reason,
        })?;
    }
    Ok(scenario)
}

fn parse_line(scenario: &mut Scenario, words: &[&str]) -> Result<(), String> {
    match words {
        ["fleet", settings @ ..] => parse_fleet(&mut scenario.fleet, settings),
        ["orders"] => {
            scenario.orders = true;
            Ok(())
        }
        ["seed", number] => {
            scenario.seed = parse_number(number)?;
            Ok(())
        }
        ["run", length] => {
            scenario.length = parse_duration(length)?;
            Ok(())
        }
        ["load", kind, settings @ ..] => {
            scenario.loads.push(parse_load(kind, settings)?);
            Ok(())
        }
        ["flap", name, settings @ ..] => parse_flap(scenario, name, settings),
        ["at", time, act @ ..] => {
            let at = parse_duration(time)?;
            scenario.acts.push((at, parse_act(act)?));
            Ok(())
        }
        ["expect", expectation @ ..] => {
            scenario.expectations.push(Expectation::parse(expectation)?);
            Ok(())
        }
        ["breaks", defect] => {
            let defect = defect.parse().map_err(|error| format!("{error}"))?;
            scenario.breaks.push(defect);
            Ok(())
        }
        _ => Err(format!("{} is not a statement", words.join(" "))),
    }
}

/// Parses a number.
pub fn parse_number<T: FromStr>(text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{text} is not a number"))
}

/// Parses a duration such as `300ms` or `2s`.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    if let Some(number) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(parse_number(number)?));
    }
    if let Some(number) = text.strip_suffix('s') {
        return Ok(Duration::from_secs_f64(parse_number(number)?));
    }
    Err(format!("{text} is not a time; write it as 300ms or 2s"))
}

fn parse_settings<'a>(settings: &[&'a str]) -> Result<HashMap<&'a str, &'a str>, String> {
    settings
        .iter()
        .map(|setting| {
            setting
                .split_once('=')
                .ok_or_else(|| format!("{setting} is not of the form name=value"))
        })
        .collect()
}

fn parse_fleet(fleet: &mut FleetPlan, settings: &[&str]) -> Result<(), String> {
    for (name, value) in parse_settings(settings)? {
        match name {
            "routers" => fleet.routers = parse_number(value)?,
            "engines" => fleet.engines = parse_number(value)?,
            "services" => fleet.services = parse_number(value)?,
            "tenants" => fleet.tenants = parse_number(value)?,
            "concurrency" => fleet.concurrency = parse_number(value)?,
            "cap" => fleet.load_cap = parse_number(value)?,
            _ => return Err(format!("{name} is not a setting of a fleet")),
        }
    }
    Ok(())
}

/// Adds the acts of a flapping back end, which crashes and restarts once in
/// each period.
fn parse_flap(scenario: &mut Scenario, name: &str, settings: &[&str]) -> Result<(), String> {
    let settings = parse_settings(settings)?;
    let parse_time = |key: &str| match settings.get(key) {
        Some(text) => parse_duration(text),
        None => Err(format!("flap needs {key}=TIME")),
    };
    let (from, to, period) = (parse_time("from")?, parse_time("to")?, parse_time("every")?);
    let mut at = from;
    while at < to {
        for (verb, delay) in [
            (Verb::KillBackEnd, period / 2),
            (Verb::RestartBackEnd, period),
        ] {
            let name = name.to_string();
            scenario.acts.push((at + delay, Act::One { verb, name }));
        }
        at += period;
    }
    Ok(())
}

fn parse_load(kind: &str, settings: &[&str]) -> Result<LoadPlan, String> {
    let service = match kind {
        "chats" => false,
        "calls" => true,
        _ => return Err(format!("{kind} is not a load; allowed are chats, calls")),
    };
    let mut load = LoadPlan {
        service,
        rate: 10.0,
        chats: 20,
        tokens: 30,
        words: 60,
        streams: 0.7,
        keys: KeyUse::None,
        deadline: None,
        from: Time::default(),
        to: Time(u64::MAX),
    };
    for (name, value) in parse_settings(settings)? {
        match name {
            "rate" => load.rate = parse_number(value)?,
            "chats" => load.chats = parse_number(value)?,
            "tokens" => load.tokens = parse_number(value)?,
            "words" => load.words = parse_number(value)?,
            "streams" => load.streams = parse_number(value)?,
            "deadline" => load.deadline = Some(parse_duration(value)?),
            "from" => load.from = Time::default() + parse_duration(value)?,
            "to" => load.to = Time::default() + parse_duration(value)?,
            "keys" => {
                load.keys = match value {
                    "none" => KeyUse::None,
                    "unique" => KeyUse::Unique,
                    "twice" => KeyUse::Twice,
                    _ => {
                        return Err(format!(
                            "{value} is not a use of keys; allowed are none, unique, twice"
                        ))
                    }
                }
            }
            _ => return Err(format!("{name} is not a setting of a load")),
        }
    }
    Ok(load)
}

fn parse_act(words: &[&str]) -> Result<Act, String> {
    match words {
        ["table", "down"] => Ok(Act::Table(StoreFault::Down)),
        ["table", "up"] => Ok(Act::Table(StoreFault::Up)),
        ["table", "lose-replies"] => Ok(Act::Table(StoreFault::LoseReplies)),
        ["table", "slow", delay] => {
            let delay_ms = parse_duration(delay)?.as_millis() as u64;
            Ok(Act::Table(StoreFault::Slow { delay_ms }))
        }
        ["apply", cap, authors @ ..] if !authors.is_empty() => {
            let cap = cap.strip_prefix("cap=").ok_or("apply needs cap=NUMBER")?;
            Ok(Act::Apply {
                authors: authors.iter().map(ToString::to_string).collect(),
                load_cap: parse_number(cap)?,
            })
        }
        [verb, name] => match Verb::parse(verb) {
            Some(verb) => Ok(Act::One {
                verb,
                name: name.to_string(),
            }),
            None => Err(format!("{verb} is not a verb for one process")),
        },
        [verb, left, right] => match PairVerb::parse(verb) {
            Some(verb) => Ok(Act::Two {
                verb,
                left: left.to_string(),
                right: right.to_string(),
            }),
            None => Err(format!("{verb} is not a verb for two processes")),
        },
        _ => Err(format!("{} is not an act", words.join(" "))),
    }
}
