//! Which back end a request goes to.
//!
//! - [`prompt`]: the chain of prompt parts that a request announces.
//! - [`part_shares`]: how large a share of a router's requests has the same part.
//! - [`prefix_locations`]: where prompt parts were last read.
//! - [`select`]: the choice, a pure function over a snapshot.

pub mod part_shares;
pub mod prefix_locations;
pub mod prompt;
pub mod select;
