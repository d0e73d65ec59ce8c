//! Scripted scenarios in a small line language.
//!
//! `docs/scenarios.md` describes the language. A scenario gives a fleet, its
//! load, timed faults and the expectations that must hold. Lines `breaks DEFECT`
//! name the defects with each of which the scenario must fail.

pub mod check;
pub mod command;
pub mod explore;
pub mod parse;
pub mod run;
