//! Decisions of a router that speaks to back ends directly.
//!
//! Back ends that have no agent beside them are reached straight from the
//! router, which then holds their gates itself: admission, outlier detection,
//! the retry budget and the certainty of "not run" are decided here.
//!
//! - [`traffic`]: the configuration of routes, keys and limits.
//! - [`back_ends`]: who the back ends are, and what the router believes of them.
//! - [`sources`]: when what the platform tells is to be asked for and believed.
//! - [`peers`]: news between routers.
//! - [`choice`]: which back end a request goes to.
//! - [`admission`]: whether a pool takes one more request.
//! - [`quarantine`]: requests that end the back ends which run them.
//! - [`rollout`]: a service's traffic moves to another version.
//! - [`request`]: what attempts proved, repeated sends, whole events of a stream.

pub mod admission;
pub mod back_ends;
pub mod choice;
pub mod peers;
pub mod quarantine;
pub mod request;
pub mod rollout;
pub mod sources;
pub mod traffic;
