//! Which back end a request goes to.
//!
//! - [`prompt`]: the chain of prompt parts that a request announces.
//! - [`part_shares`]: the share of a router's recent requests that have the same part.
//! - [`prefix_locations`]: the back ends that recently read a prompt part.
//! - [`select`]: the choice, a pure function over a snapshot.

pub mod part_shares;
pub mod prefix_locations;
pub mod prompt;
pub mod select;
