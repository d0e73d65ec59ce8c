//! Which back end a request goes to.
//!
//! - [`engine_priority`]: priority of a request at an engine that is limited by prompts.
//! - [`prompt`]: the chain of prompt parts that a request announces.
//! - [`part_shares`]: the share of a router's recent requests that have the same part.
//! - [`pool_candidates`]: the members of a pool as candidates of one request.
//! - [`prefix_locations`]: the back ends that recently read a prompt part and may have it cached.
//! - [`select`]: the choice, a pure function of the candidates.
//! - [`first_event`]: the choice where prompts limit the engines, by the time to the first event.

pub mod engine_priority;
pub mod first_event;
pub mod part_shares;
pub mod pool_candidates;
pub mod prefix_locations;
pub mod prompt;
pub mod select;
