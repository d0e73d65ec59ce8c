//! Stand-in of the platform: table service, object store, weight store and machine list, with
//! faults that are set over HTTP.

pub mod faults;
pub mod machines;
pub mod rate;
pub mod server;
pub mod table;
