//! Promises on real processes: whole answers, true refusals, at most once,
//! clean stops. Each test has its own fleet and waits on events.

mod callers;
mod failures;
mod fixture;
mod keys;
mod stops;
