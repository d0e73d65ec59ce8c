//! The direct router: a caller's request is forwarded straight to a back end
//! that has no agent beside it.
//!
//! Decisions are in [`stacktack_core::direct`]; this crate carries them out
//! over HTTP connections that it controls one by one, since what a connection
//! did decides what is certain about a request. It knows no names of the
//! platform that it runs on: those come through [`ports`].
//!
//! - [`ports`]: what an adapter supplies.
//! - [`app`]: start and signals; `stopping`: the end after a stop signal.
//! - `server`: callers' connections. `connection`: back-end connections.
//! - `admission`, `exchange`, `sending`, `candidates`, `choice`, `attempt`: one request from
//!   head to end; `pool_admission`: whether its pool and the router take it; `attempt_timeout`: whether an attempt
//!   is left for another one; `crash_detection`: whether what broke an attempt was the end of its back
//!   end; `quarantine`: requests that end back ends; [`rollouts`]: versions that are rolled out.
//!   `response_buffering`, `respond`, `response_body`, `response_deadline`: answers on their way to callers.
//! - [`followers`]: configuration and directory. `news`, [`datagram`]: what routers tell each
//!   other; [`knowledge`]: what they hand to each other. [`calls`] and
//!   [`transfer`]: calls under way and how far their answers have come. [`router`]: state of the process; `count_guard`: counts of what is under way; `zone_drains`: zones that get nothing;
//!   [`clock`], `suspension`: its time, and what a suspension of its machine changes.

mod admission;
pub mod app;
mod attempt;
mod attempt_timeout;
pub mod calls;
mod candidates;
mod choice;
pub mod client;
pub mod clock;
mod connection;
mod count_guard;
mod crash_detection;
pub mod datagram;
mod exchange;
pub mod followers;
mod freshness;
pub mod knowledge;
mod load_summary;
pub mod metrics;
pub mod news;
mod pool_admission;
pub mod ports;
mod quarantine;
mod respond;
mod response_body;
mod response_buffering;
mod response_deadline;
pub mod rollouts;
pub mod router;
mod sending;
pub mod server;
pub mod settings;
pub mod source_error;
pub mod stopping;
mod suspension;
pub mod transfer;
mod zone_drains;
