//! Handling of one request: attempts, retries, resumption of streams, and graceful shutdown.
//!
//! - [`attempt`]: how an attempt failed, and whether the request may be sent again.
//! - [`budget`]: the retry budget, which bounds the retries of all routers together.
//! - [`events`]: splits an event stream into whole events, for resumption.
//! - [`planned_stop`]: which requests a router still admits after a stop signal.
//! - [`run_times`]: how long recent requests of a route took.

pub mod attempt;
pub mod budget;
pub mod events;
pub mod planned_stop;
pub mod run_times;
