//! The direct router: forwards a caller's request straight to a back end that has no agent beside
//! it.
//!
//! Decisions are in [`stacktack_core::direct`]. This crate carries them out over HTTP connections
//! that it controls one by one, since what happened on a connection decides what is certain about a
//! request. The crate has no names of the platform that it runs on: those come through [`ports`].
//!
//! - Process: [`app`] has start and signals, `stopping` the graceful shutdown, [`router`] the
//!   state of the process, [`settings`] its settings, `count_guard` counts of what is in flight.
//!   [`clock`] and `suspension` have its time and the effects of a suspension of its machine.
//! - Interfaces: [`ports`] has what a platform adapter supplies, [`source_error`] why a call to the
//!   store or to a peer failed, and [`metrics`] the instruments of the process.
//! - Connections: `server` serves callers' connections, `idle_connections` and [`client`]
//!   connections to back ends; [`client`] also checks the head of each response.
//! - One request: `admission`, `exchange`, `sending`, `candidates`, [`placement`], [`choice`] and
//!   [`attempt`] take it from its head to its end. `pool_admission` decides on admission to its pool, `contention`
//!   on admission to engines that callers compete for, `load_summary` sums up the loads of the pool for logs, `attempt_timeout` decides whether a silent attempt is
//!   abandoned for another one, and `crash_detection` whether an interrupted attempt was a crash
//!   of its back end. `quarantine` handles requests that crash back ends, [`rollouts`] versions
//!   that are rolled out, and `zone_drains` zones that get no requests. `response_buffering`,
//!   `respond`, `response_body` and `response_deadline` return responses to callers.
//!   `request_body` keeps bodies for attempts, and [`memory`] accounts for what slow readers take.
//! - Work: [`work`] estimates the work of requests at candidates and learns from responses.
//! - State from elsewhere: [`followers`] keep configuration, directory and verdicts current, and
//!   `freshness` tracks how new they are, and [`store_monitor`] whether the store answers. [`calls`] and [`transfer`] track calls in flight and the
//!   progress of their responses. [`gossip`], [`datagram`] and [`datagram_socket`] exchange gossip with other routers,
//!   and [`peer_updates`] sends them configuration and directory on request.

mod admission;
pub mod app;
pub mod attempt;
mod attempt_timeout;
pub mod caller_stream;
pub mod calls;
mod candidates;
pub mod choice;
pub mod client;
pub mod clock;
mod contention;
mod count_guard;
mod crash_detection;
pub mod datagram;
pub mod datagram_socket;
mod exchange;
pub mod followers;
mod freshness;
pub mod gossip;
mod head_limit;
mod idle_connections;
mod load_summary;
pub mod memory;
pub mod metrics;
pub mod peer_updates;
pub mod placement;
mod pool_admission;
pub mod ports;
mod quarantine;
mod request_body;
mod respond;
mod response_body;
mod response_buffering;
mod response_deadline;
mod response_events;
pub mod rollouts;
pub mod router;
mod sending;
pub mod server;
pub mod settings;
pub mod source_error;
pub mod stopping;
pub mod store_monitor;
pub mod stream_versions;
mod suspension;
pub mod transfer;
pub mod work;
mod zone_drains;
