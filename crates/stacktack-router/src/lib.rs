//! The stacktack router: accepts callers' requests, chooses a back end for each
//! and streams the response back.
//!
//! The control thread runs gossip, configuration and the operator endpoint.
//! Each traffic thread owns a [`Dispatcher`](stacktack_core::dispatch::Dispatcher),
//! its callers and its connections to agents. While it serves requests, a
//! traffic thread reads immutable views and takes no lock that it shares with
//! the control thread.

pub mod app;
mod caller;
mod links;
mod operator;
mod request;
mod settings;
mod shared;
mod traffic;
