//! The direct router: forwards a caller's request straight to a back end that has no agent beside
//! it.
//!
//! Decisions are in [`stacktack_core::direct`]. This crate carries them out over HTTP connections
//! that it controls one by one, since what happened on a connection decides what is certain about a
//! request. The crate has no names of the platform that it runs on: those come through [`ports`].
//!
//! - Process: [`app`] has start and signals, `stopping` the graceful shutdown, [`router`] the state
//!   of the process, [`settings`] its settings, `counted` counts of what is in flight. [`clock`]
//!   and `suspension` have its time and the effects of a suspension of its machine.
//! - Interfaces: [`ports`] has what a platform adapter supplies.
//! - Connections: `server` serves callers' connections, `connection` and [`client`] connections to
//!   back ends.
//! - One request: `admission`, `exchange`, `sending`, `candidates`, `choice` and `attempt` take it
//!   from its head to its end. `room` decides on admission to its pool, `silence` whether a silent
//!   attempt is abandoned for another one, and `back_end_end` whether an interrupted attempt was a
//!   crash of its back end. `quarantine` handles requests that crash back ends, [`rollouts`]
//!   versions that are rolled out, and `zone_drains` zones that get no requests. `held`, `respond`,
//!   `answer` and `unread` return responses to callers.
//! - State from elsewhere: [`followers`] keep configuration, directory and verdicts current, and
//!   `freshness` tracks how new they are. [`calls`] and [`transfer`] track calls in flight and the
//!   progress of their responses. `news` and [`datagram`] exchange gossip with other routers, and
//!   [`knowledge`] sends them configuration and directory on request.

mod admission;
mod answer;
pub mod app;
mod attempt;
mod back_end_end;
pub mod calls;
mod candidates;
mod choice;
pub mod client;
pub mod clock;
mod connection;
mod counted;
pub mod datagram;
mod exchange;
pub mod followers;
mod freshness;
mod held;
pub mod knowledge;
mod load_summary;
pub mod metrics;
pub mod news;
pub mod ports;
mod quarantine;
mod respond;
pub mod rollouts;
mod room;
pub mod router;
mod sending;
pub mod server;
pub mod settings;
mod silence;
pub mod source_error;
pub mod stopping;
mod suspension;
pub mod transfer;
mod unread;
mod zone_drains;
