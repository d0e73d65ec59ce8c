//! The versions at which streams began, as this router knows them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::stream_versions::software_version::VersionHash;
use crate::time::Time;

/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 16 * 1024;

/// Short form of the id of the attempt that brought a stream's first event, and of its tenant: the
/// callers of one tenant learn nothing of another's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId([u8; 6]);

impl StreamId {
    /// Short form of an attempt's id.
    pub fn of(tenant: &str, attempt: &str) -> Self {
        let tenant = xxh3_64_with_seed(tenant.as_bytes(), 0);
        let hash = xxh3_64_with_seed(attempt.as_bytes(), tenant);
        let [first, second, third, fourth, fifth, sixth, ..] = hash.to_le_bytes();
        StreamId([first, second, third, fourth, fifth, sixth])
    }

    /// Key of the rendezvous order of routers, whose first ones keep the stream.
    pub fn rendezvous_key(self) -> u64 {
        let [first, second, third, fourth, fifth, sixth] = self.0;
        u64::from_le_bytes([first, second, third, fourth, fifth, sixth, 0, 0])
    }
}

/// From where the version of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The stream began at this router, or went on here.
    Own,
    /// A peer told it.
    Told,
}

impl RecordSource {
    /// Fixed text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RecordSource::Own => "own",
            RecordSource::Told => "told",
        }
    }
}

/// What is known of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Version that the stream began at.
    pub version: VersionHash,
    /// From where it is known.
    pub source: RecordSource,
    /// When it was recorded.
    pub at: Time,
}

/// The versions at which streams began.
#[derive(Debug, Default)]
pub struct StreamRecords {
    streams: HashMap<StreamId, StreamRecord>,
    /// Ids in the order in which they were recorded; one that was recorded again is there twice.
    order: VecDeque<(Time, StreamId)>,
}

impl StreamRecords {
    /// Records a stream. What this router saw itself is not replaced by what a peer tells. Returns
    /// whether a stream had to be forgotten early.
    pub fn record(
        &mut self,
        stream: StreamId,
        version: VersionHash,
        source: RecordSource,
        now: Time,
    ) -> bool {
        let known = self.streams.get(&stream);
        let is_own = known.is_some_and(|known| known.source == RecordSource::Own);
        if is_own && source == RecordSource::Told {
            return false;
        }
        let record = StreamRecord {
            version,
            source,
            at: now,
        };
        self.streams.insert(stream, record);
        self.order.push_back((now, stream));
        let is_full = self.order.len() > MAX_STREAMS;
        if is_full {
            self.forget_first();
        }
        is_full
    }

    /// What is known of a stream.
    pub fn get(&self, stream: StreamId) -> Option<StreamRecord> {
        self.streams.get(&stream).copied()
    }

    /// Streams that began at this router, with their versions, the latest last.
    pub fn own(&self) -> impl Iterator<Item = (StreamId, VersionHash)> + '_ {
        self.order.iter().filter_map(|(at, stream)| {
            let record = self.streams.get(stream)?;
            let is_own = record.source == RecordSource::Own && record.at == *at;
            is_own.then_some((*stream, record.version))
        })
    }

    /// Forgets streams that were recorded `retention` ago or earlier.
    pub fn expire(&mut self, retention: Duration, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= retention)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((at, stream)) = self.order.pop_front() else {
            return;
        };
        if self
            .streams
            .get(&stream)
            .is_some_and(|known| known.at == at)
        {
            self.streams.remove(&stream);
        }
    }
}
