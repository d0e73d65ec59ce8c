//! What every stacktack process needs around its decisions: settings, logs,
//! metrics, HTTP serving, and clients of the platform's services.

pub mod client;
pub mod clock;
pub mod configuration_store;
pub mod control;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod signals;
