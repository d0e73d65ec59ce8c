//! Versions of the software that streams began at.
//!
//! Back ends of several versions may serve side by side. What two versions send does not fit
//! together, and back ends do not check it: a stream goes on only at the version that began it. A
//! caller whose stream broke off may take it up at any router, which then has to know that version.
//!
//! - [`software_version`]: the version of a back end's software.
//! - [`version_history`]: which versions of a service the directory has listed lately.
//! - [`records`]: the versions at which streams began.
//! - [`message`]: what routers tell and ask each other.
//! - [`questions`]: what peers answered to this router's questions.

pub mod message;
pub mod questions;
pub mod records;
pub mod software_version;
pub mod version_history;
