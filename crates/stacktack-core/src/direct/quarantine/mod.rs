//! Requests that end the back ends which run them.
//!
//! - [`digest`]: which request it is, whoever tries it and however often.
//! - [`broken_runs`]: runs that broke off, until it is known whether their back end ended.

pub mod broken_runs;
pub mod digest;
