//! The stacktack agent: the only gate in front of one back end, which admits,
//! queues and runs the attempts that routers offer.
//!
//! The control thread runs gossip, configuration and the operator endpoint;
//! the traffic thread owns the [`Gate`](stacktack_core::gate::Gate), the
//! routers' connections and the calls to the back end.

pub mod app;
pub mod backend;
mod events;
mod operator;
mod settings;
mod shared;
mod traffic;
