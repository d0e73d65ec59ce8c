//! The operators' command line of stacktack.

pub mod account;
pub mod app;
mod commands;
mod output;
