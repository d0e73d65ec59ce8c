//! Stand-in of a model engine with continuous batching, a prefix cache, priorities, cancellation
//! and resumption of streams, KV cache export and import, delayed cache events and fenced orders.

pub mod cache;
pub mod model;
pub mod orders;
pub mod server;
