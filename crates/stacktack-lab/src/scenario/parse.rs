//! Reading scenario files.

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use stacktack_core::protection::Protection;
use stacktack_core::time::Time;
use stacktack_standins::platform::faults::StoreFault;
use thiserror::Error;

use super::check::Expectation;
use crate::emulator::callers::{KeyUse, LoadPlan};
use crate::fleet::FleetPlan;

/// A scenario file has a fault.
#[derive(Debug, Error)]
#[error("line {line}: {what}")]
pub struct ScenarioError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

/// What happens, by names of processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A verb about one process.
    One {
        /// The verb.
        verb: Verb,
        /// The process.
        name: String,
    },
    /// A verb about two processes.
    Two {
        /// The verb.
        verb: PairVerb,
        /// One process, or `platform`.
        left: String,
        /// The other.
        right: String,
    },
    /// The table behaves so.
    Table(StoreFault),
    /// Operators set the load cap at the same time.
    Apply {
        /// Who.
        authors: Vec<String>,
        /// The first one's cap.
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
            fn read(text: &str) -> Option<Self> {
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
        /// It ends at once.
        Kill => "kill",
        /// It starts again.
        Restart => "restart",
        /// It is paused.
        Freeze => "freeze",
        /// It goes on.
        Thaw => "thaw",
        /// It is asked to stop.
        Stop => "stop",
        /// Its back end ends at once.
        KillBackEnd => "kill-backend",
        /// Its back end starts again.
        RestartBackEnd => "restart-backend",
        /// An operator drains it.
        Drain => "drain",
        /// An operator lets it work again.
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
        /// They can again.
        Heal => "heal",
        /// Their connections break.
        Reset => "reset",
    }
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Fleet.
    pub fleet: FleetPlan,
    /// Seed.
    pub seed: u64,
    /// Time that the scenario runs, from the end of settling.
    pub length: Duration,
    /// Load, timed from the end of settling.
    pub loads: Vec<LoadPlan>,
    /// What happens when.
    pub acts: Vec<(Duration, Act)>,
    /// Whether agents compete for the controller lease and send orders.
    pub orders: bool,
    /// What has to hold.
    pub expectations: Vec<Expectation>,
    /// Protections without which it has to fail.
    pub breaks: Vec<Protection>,
}

/// Reads a scenario.
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
        read_line(&mut scenario, &words).map_err(|what| ScenarioError {
            line: number + 1,
            what,
        })?;
    }
    Ok(scenario)
}

fn read_line(scenario: &mut Scenario, words: &[&str]) -> Result<(), String> {
    match words {
        ["fleet", settings @ ..] => read_fleet(&mut scenario.fleet, settings),
        ["orders"] => {
            scenario.orders = true;
            Ok(())
        }
        ["seed", number] => {
            scenario.seed = read_number(number)?;
            Ok(())
        }
        ["run", length] => {
            scenario.length = read_duration(length)?;
            Ok(())
        }
        ["load", kind, settings @ ..] => {
            scenario.loads.push(read_load(kind, settings)?);
            Ok(())
        }
        ["flap", name, settings @ ..] => read_flap(scenario, name, settings),
        ["at", time, act @ ..] => {
            let at = read_duration(time)?;
            scenario.acts.push((at, read_act(act)?));
            Ok(())
        }
        ["expect", expectation @ ..] => {
            scenario.expectations.push(Expectation::read(expectation)?);
            Ok(())
        }
        ["breaks", rule] => {
            let rule = rule.parse().map_err(|error| format!("{error}"))?;
            scenario.breaks.push(rule);
            Ok(())
        }
        _ => Err(format!("{} is no statement", words.join(" "))),
    }
}

/// Reads a number.
pub fn read_number<T: FromStr>(text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{text} is no number"))
}

/// Reads a span such as `300ms` or `2s`.
pub fn read_duration(text: &str) -> Result<Duration, String> {
    if let Some(number) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(read_number(number)?));
    }
    if let Some(number) = text.strip_suffix('s') {
        return Ok(Duration::from_secs_f64(read_number(number)?));
    }
    Err(format!("{text} is no time; allowed is 300ms or 2s"))
}

fn read_settings<'a>(settings: &[&'a str]) -> Result<HashMap<&'a str, &'a str>, String> {
    settings
        .iter()
        .map(|setting| {
            setting
                .split_once('=')
                .ok_or_else(|| format!("{setting} is no name=value"))
        })
        .collect()
}

fn read_fleet(fleet: &mut FleetPlan, settings: &[&str]) -> Result<(), String> {
    for (name, value) in read_settings(settings)? {
        match name {
            "routers" => fleet.routers = read_number(value)?,
            "engines" => fleet.engines = read_number(value)?,
            "services" => fleet.services = read_number(value)?,
            "tenants" => fleet.tenants = read_number(value)?,
            "concurrency" => fleet.concurrency = read_number(value)?,
            "cap" => fleet.load_cap = read_number(value)?,
            _ => return Err(format!("{name} is no setting of a fleet")),
        }
    }
    Ok(())
}

/// A back end that ends and starts again, over and over.
fn read_flap(scenario: &mut Scenario, name: &str, settings: &[&str]) -> Result<(), String> {
    let settings = read_settings(settings)?;
    let read = |key: &str| match settings.get(key) {
        Some(text) => read_duration(text),
        None => Err(format!("flap needs {key}=TIME")),
    };
    let (from, to, every) = (read("from")?, read("to")?, read("every")?);
    let mut at = from;
    while at < to {
        for (verb, delay) in [
            (Verb::KillBackEnd, every / 2),
            (Verb::RestartBackEnd, every),
        ] {
            let name = name.to_string();
            scenario.acts.push((at + delay, Act::One { verb, name }));
        }
        at += every;
    }
    Ok(())
}

fn read_load(kind: &str, settings: &[&str]) -> Result<LoadPlan, String> {
    let service = match kind {
        "chats" => false,
        "calls" => true,
        _ => return Err(format!("{kind} is no load; allowed are chats, calls")),
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
    for (name, value) in read_settings(settings)? {
        match name {
            "rate" => load.rate = read_number(value)?,
            "chats" => load.chats = read_number(value)?,
            "tokens" => load.tokens = read_number(value)?,
            "words" => load.words = read_number(value)?,
            "streams" => load.streams = read_number(value)?,
            "deadline" => load.deadline = Some(read_duration(value)?),
            "from" => load.from = Time::default() + read_duration(value)?,
            "to" => load.to = Time::default() + read_duration(value)?,
            "keys" => {
                load.keys = match value {
                    "none" => KeyUse::None,
                    "unique" => KeyUse::Unique,
                    "twice" => KeyUse::Twice,
                    _ => return Err(format!("{value} is no use of keys")),
                }
            }
            _ => return Err(format!("{name} is no setting of a load")),
        }
    }
    Ok(load)
}

fn read_act(words: &[&str]) -> Result<Act, String> {
    match words {
        ["table", "down"] => Ok(Act::Table(StoreFault::Down)),
        ["table", "up"] => Ok(Act::Table(StoreFault::Up)),
        ["table", "lose-replies"] => Ok(Act::Table(StoreFault::LoseReplies)),
        ["table", "slow", delay] => {
            let delay_ms = read_duration(delay)?.as_millis() as u64;
            Ok(Act::Table(StoreFault::Slow { delay_ms }))
        }
        ["apply", cap, authors @ ..] if !authors.is_empty() => {
            let cap = cap.strip_prefix("cap=").ok_or("apply needs cap=NUMBER")?;
            Ok(Act::Apply {
                authors: authors.iter().map(ToString::to_string).collect(),
                load_cap: read_number(cap)?,
            })
        }
        [verb, name] => match Verb::read(verb) {
            Some(verb) => Ok(Act::One {
                verb,
                name: name.to_string(),
            }),
            None => Err(format!("{verb} is no verb for one process")),
        },
        [verb, left, right] => match PairVerb::read(verb) {
            Some(verb) => Ok(Act::Two {
                verb,
                left: left.to_string(),
                right: right.to_string(),
            }),
            None => Err(format!("{verb} is no verb for two processes")),
        },
        _ => Err(format!("{} is no act", words.join(" "))),
    }
}
