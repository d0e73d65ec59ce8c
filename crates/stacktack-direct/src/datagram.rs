//! Datagrams between routers: news, then records of the quarantine, then how old what the sender
//! knows is, then which answers of the store showed it, then roll-outs, where there are any. Routers that do not know a later part leave it unread, and it is absent in what they
//! send.

use serde::Deserialize;
use stacktack_core::direct::peers::peer_gossip::PeerGossip;
use stacktack_core::direct::peers::source_age::{SourceAges, SourceReads};
use stacktack_core::direct::peers::MAX_DATAGRAM_BYTES;
use stacktack_core::direct::quarantine::record::RecordGossip;
use stacktack_core::direct::rollout::gossip::RolloutGossip;

/// Most bytes of a datagram that roll-outs get.
const ROLLOUT_BYTES: usize = 300;

/// What a datagram holds.
#[derive(Debug)]
pub struct Datagram {
    /// News of the sender.
    pub gossip: PeerGossip,
    /// What it knows of requests that end back ends.
    pub records: Vec<RecordGossip>,
    /// How old what it knows is; nothing from a release that does not tell.
    pub ages: SourceAges,
    /// The last answers of the store that showed it; nothing from a release that does not tell.
    pub reads: SourceReads,
    /// What it knows of roll-outs; nothing where there are none.
    pub rollouts: Vec<RolloutGossip>,
}

/// Bytes of a datagram; with fewer records where it would be too large.
pub fn encode(
    news: &PeerGossip,
    records: &[RecordGossip],
    ages: &SourceAges,
    reads: &SourceReads,
) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_allocvec(news)?;
    let ages = postcard::to_allocvec(&(ages, reads))?;
    for count in (0..=records.len()).rev() {
        let more = postcard::to_allocvec(&records[..count])?;
        if bytes.len() + more.len() + ages.len() <= MAX_DATAGRAM_BYTES {
            return Ok([bytes, more, ages].concat());
        }
    }
    Ok(bytes)
}

/// The same with roll-outs behind it, where there are any.
pub fn encode_with_rollouts(
    news: &PeerGossip,
    records: &[RecordGossip],
    ages: &SourceAges,
    reads: &SourceReads,
    rollouts: &[RolloutGossip],
) -> Result<Vec<u8>, postcard::Error> {
    let bytes = encode(news, records, ages, reads)?;
    // Parts are read one after the other: without those before there is no place for this one.
    if rollouts.is_empty() || bytes.len() == postcard::to_allocvec(news)?.len() {
        return Ok(bytes);
    }
    let room = MAX_DATAGRAM_BYTES.saturating_sub(bytes.len());
    let part = fitting(rollouts.to_vec(), room.min(ROLLOUT_BYTES))?;
    Ok([bytes, part].concat())
}

/// Roll-outs in so many bytes: counts of routers give way first.
fn fitting(mut rollouts: Vec<RolloutGossip>, bytes: usize) -> Result<Vec<u8>, postcard::Error> {
    loop {
        let part = postcard::to_allocvec(&rollouts)?;
        if part.len() <= bytes {
            return Ok(part);
        }
        let longest = rollouts.iter_mut().max_by_key(|news| news.counts.len());
        let dropped = longest.and_then(|news| news.counts.pop());
        if dropped.is_none() && rollouts.pop().is_none() {
            return Ok(Vec::new());
        }
    }
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    let (gossip, rest) = postcard::take_from_bytes::<PeerGossip>(bytes)?;
    let (records, rest) = later_part::<Vec<RecordGossip>>(rest)?;
    let (ages, rest) = later_part::<SourceAges>(rest)?;
    let (reads, rest) = later_part::<SourceReads>(rest)?;
    let (rollouts, _) = later_part::<Vec<RolloutGossip>>(rest)?;
    Ok(Datagram {
        gossip,
        records,
        ages,
        reads,
        rollouts,
    })
}

/// A part that earlier releases do not send, and what is behind it.
fn later_part<'a, T: Default + Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
