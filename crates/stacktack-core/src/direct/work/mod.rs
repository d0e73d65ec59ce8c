//! Work of requests at engines: how long a back end takes for a prompt and for the response, and
//! how much work is ahead of a new request there.
//!
//! Engines read prompts one after another, so that a back end with few requests may still need
//! seconds until it begins the next one. Work is counted only in pools whose configuration says
//! that prompts limit them ([`engine_pool`]); other pools count requests.
//!
//! - [`engine_pool`]: what the configuration says about the engines of a pool.
//! - [`request_work`]: tokens that one request needs at one back end.
//! - [`known_parts`]: prompt parts that back ends have read.
//! - [`peer_reads`]: how often a part has been read for other routers.
//! - [`rates`]: time per token of a pool's engines, learned from responses.
//! - [`backlog`]: time until a back end begins a new request.
//! - [`inflow`]: work that the routers of a fleet send.
//! - [`speed`]: how long work takes at one back end, relative to its pool.
//! - [`pool_work`]: all that is learned about one pool.
//! - [`back_end_work`]: all that is known of the work at one back end.
//! - [`gossip`]: backlogs and tenants' work in the datagrams between routers.

pub mod back_end_work;
pub mod backlog;
pub mod engine_pool;
pub mod gossip;
pub mod inflow;
pub mod known_parts;
pub mod peer_reads;
pub mod pool_work;
pub mod rates;
pub mod request_work;
pub mod speed;
