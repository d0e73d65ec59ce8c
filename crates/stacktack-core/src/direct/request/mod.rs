//! One request on its way.
//!
//! - [`attempt`]: what one attempt proved and what follows from it.
//! - [`budget`]: the retry budget that all routers share.
//! - [`events`]: whole events of a stream, for resumption.
//! - [`planned_stop`]: what a router takes after a stop signal.
//! - [`run_times`]: how long requests took of late.

pub mod attempt;
pub mod budget;
pub mod events;
pub mod planned_stop;
pub mod run_times;
