//! What peers answered to this router's questions about streams.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::direct::stream_versions::message::VersionAnswer;
use crate::direct::stream_versions::records::StreamId;
use crate::direct::stream_versions::software_version::VersionHash;

/// Maximum number of streams that a router asks about at a time.
const MAX_QUESTIONS: usize = 64;

#[derive(Debug, Default)]
struct Question {
    /// Requests that wait for the answer.
    waiting: usize,
    began: Option<VersionHash>,
    /// The one version that the service has, as a peer says.
    only: Option<VersionHash>,
    /// Whether a peer says that the service has several versions, or peers name different ones.
    has_several: bool,
    /// Peers that have answered.
    answered: Vec<SocketAddr>,
}

/// Questions that wait for answers.
#[derive(Debug, Default)]
pub struct Questions(HashMap<StreamId, Question>);

impl Questions {
    /// Begins to wait for answers about a stream; false if there are too many questions.
    pub fn begin(&mut self, stream: StreamId) -> bool {
        if self.0.len() >= MAX_QUESTIONS && !self.0.contains_key(&stream) {
            return false;
        }
        self.0.entry(stream).or_default().waiting += 1;
        true
    }

    /// Ends a wait that was begun.
    pub fn end(&mut self, stream: StreamId) {
        if let Some(question) = self.0.get_mut(&stream) {
            question.waiting -= 1;
            if question.waiting == 0 {
                self.0.remove(&stream);
            }
        }
    }

    /// Applies a peer's answer; one that nobody waits for is ignored.
    pub fn on_answer(&mut self, from: SocketAddr, stream: StreamId, answer: VersionAnswer) {
        let Some(question) = self.0.get_mut(&stream) else {
            return;
        };
        if !question.answered.contains(&from) {
            question.answered.push(from);
        }
        match answer {
            VersionAnswer::Began(version) => question.began = Some(version),
            VersionAnswer::Only(version) => {
                question.has_several |= question.only.is_some_and(|only| only != version);
                question.only = Some(version);
            }
            VersionAnswer::Several => question.has_several = true,
            VersionAnswer::Unknown => {}
        }
    }

    /// The version at which a peer knows that a stream began.
    pub fn began(&self, stream: StreamId) -> Option<VersionHash> {
        self.0.get(&stream)?.began
    }

    /// The only version of the service, as some peer says and none contradicts.
    pub fn only(&self, stream: StreamId) -> Option<VersionHash> {
        let question = self.0.get(&stream)?;
        question.only.filter(|_| !question.has_several)
    }

    /// Whether as many peers as were asked have answered.
    pub fn is_answered(&self, stream: StreamId, asked: usize) -> bool {
        let question = self.0.get(&stream);
        question.is_some_and(|question| question.answered.len() >= asked)
    }
}
