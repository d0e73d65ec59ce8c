//! The operators' command line of stacktack.

pub mod app;
mod commands;
pub mod explanation;
mod output;
