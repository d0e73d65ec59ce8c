//! Defects that a run can have, to show that a scenario detects them.

use std::fmt;
use std::str::FromStr;

use stacktack_core::protection::{Protection, Protections};
use thiserror::Error;

/// Name of [`Defect::HeldRefusals`] in scenarios and on the command line.
const HELD_REFUSALS: &str = "held-refusals";

/// What a run does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A protection is disabled.
    Unprotected(Protection),
    /// Refusals of requests that have a deadline reach their callers only at that deadline. The
    /// emulator holds them, between router and caller.
    HeldRefusals,
}

/// No defect has this name; holds the name and the allowed names.
#[derive(Debug, Error)]
#[error("unknown defect {0}; allowed: {1}")]
pub struct UnknownDefect(String, String);

impl Defect {
    /// All defects.
    pub fn all() -> Vec<Defect> {
        let unprotected = Protection::ALL.iter().copied().map(Defect::Unprotected);
        unprotected.chain([Defect::HeldRefusals]).collect()
    }

    /// Protections of a run with this defect, or without any.
    pub fn protections(defect: Option<Defect>) -> Protections {
        match defect {
            Some(Defect::Unprotected(protection)) => Protections::without(protection),
            Some(Defect::HeldRefusals) | None => Protections::default(),
        }
    }
}

impl fmt::Display for Defect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Defect::Unprotected(protection) => protection.fmt(formatter),
            Defect::HeldRefusals => formatter.write_str(HELD_REFUSALS),
        }
    }
}

impl FromStr for Defect {
    type Err = UnknownDefect;

    fn from_str(text: &str) -> Result<Self, UnknownDefect> {
        let all = Defect::all();
        let found = all.iter().find(|defect| defect.to_string() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<String> = all.iter().map(Defect::to_string).collect();
            UnknownDefect(text.to_string(), names.join(", "))
        })
    }
}
