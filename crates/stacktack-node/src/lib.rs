//! Input and output shared by the stacktack processes: settings, logs, metrics,
//! HTTP serving, and clients of the platform's services. The decisions are made
//! in `stacktack-core`.

pub mod client;
pub mod clock;
pub mod configuration_store;
pub mod control;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod signals;
