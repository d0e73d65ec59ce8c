//! Fleets of real processes: responses are complete, refusals are correct, requests run at most
//! once, and processes stop cleanly. Each test has its own fleet and waits for events.

mod callers;
mod failures;
mod fixture;
mod keys;
mod stops;
