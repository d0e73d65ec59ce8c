//! What routers tell and ask each other about the versions at which streams began.

use serde::{Deserialize, Serialize};

use crate::direct::stream_versions::records::StreamId;
use crate::direct::stream_versions::software_version::VersionHash;

/// Maximum number of streams that one message tells of.
pub const MAX_TOLD_STREAMS: usize = 128;

/// A message of one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamVersionMessage {
    /// Streams that began at the sender, with the versions.
    Began(Vec<(StreamId, VersionHash)>),
    /// Asks at which version of a service a stream began.
    Question {
        /// The stream.
        stream: StreamId,
        /// The service that it belongs to.
        service: String,
    },
    /// Response to a question.
    Answer {
        /// The stream.
        stream: StreamId,
        /// What the sender knows of it.
        version: VersionAnswer,
    },
}

/// What a router knows of the version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionAnswer {
    /// It began at this version.
    Began(VersionHash),
    /// The router does not know the stream, and the service has had no other version than this one
    /// for as long as callers take streams up.
    Only(VersionHash),
    /// The router does not know the stream, and the service has or had several versions.
    Several,
    /// The router does not know the stream, nor for long enough which versions the service has.
    Unknown,
}
