//! Decisions of a router that sends requests directly to back ends.
//!
//! Back ends without an agent have no [`gate`](crate::gate) in front of them, so the router
//! itself decides on admission, outlier detection, the retry budget and whether a failed
//! request has certainly not run.
//!
//! - [`traffic`]: the configuration of routes, keys and limits.
//! - [`back_ends`]: the known back ends with their estimated load and health.
//! - [`sources`]: when to poll the platform and how far to trust its answers.
//! - [`peers`]: gossip between routers.
//! - [`choice`]: which back end a request goes to.
//! - [`admission`]: whether a pool admits one more request.
//! - [`memory`]: the memory that slow readers may take.
//! - [`quarantine`]: requests that crash the back ends which run them.
//! - [`rollout`]: moves the traffic of a service to another version.
//! - [`work`]: the work of requests at engines.
//! - [`stream_versions`]: versions of the software that streams began at.
//! - [`request`]: attempts, retries, event streams and graceful shutdown.

pub mod admission;
pub mod back_ends;
pub mod choice;
pub mod memory;
pub mod peers;
pub mod quarantine;
pub mod request;
pub mod rollout;
pub mod sources;
pub mod stream_versions;
pub mod traffic;
pub mod work;
