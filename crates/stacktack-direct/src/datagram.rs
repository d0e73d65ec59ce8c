//! Encoding of the datagrams between routers.
//!
//! A datagram consists of gossip, quarantine records, the ages of the sender's knowledge of its
//! sources, the latest answers of the sources and, if there are any, roll-outs, backlogs of back
//! ends, the work that tenants ask for, the circumstances of crashes under prompt parts and
//! successes at back ends that routers suspected. Routers
//! of a release that does not know a later part leave it unread and do not send it.

use serde::Deserialize;
use stacktack_core::direct::peers::peer_gossip::{PeerGossip, RecoveryGossip};
use stacktack_core::direct::peers::source_age::{SourceAges, SourceReads};
use stacktack_core::direct::peers::MAX_DATAGRAM_BYTES;
use stacktack_core::direct::quarantine::part_context::PartContext;
use stacktack_core::direct::quarantine::record::RecordGossip;
use stacktack_core::direct::rollout::gossip::RolloutGossip;
use stacktack_core::direct::work::gossip::{BacklogGossip, TenantWorkGossip};

/// Maximum number of bytes of a datagram that roll-outs take.
const MAX_ROLLOUT_BYTES: usize = 300;

/// Decoded content of a datagram.
#[derive(Debug)]
pub struct Datagram {
    /// Gossip of the sender.
    pub gossip: PeerGossip,
    /// The sender's records of requests that crash back ends.
    pub records: Vec<RecordGossip>,
    /// Ages of the sender's knowledge of its sources; empty from a release that does not send them.
    pub ages: SourceAges,
    /// Latest answers of the sources that the sender knows of; empty from a release that does not
    /// send them.
    pub reads: SourceReads,
    /// The sender's state of roll-outs; empty if there are none.
    pub rollouts: Vec<RolloutGossip>,
    /// Work at back ends and of tenants; empty from a release that does not send it.
    pub work: WorkGossip,
    /// Latest successes at back ends that routers suspected; empty from a release that does not send
    /// them.
    pub recoveries: Vec<RecoveryGossip>,
}

/// Work at back ends and of tenants, in pools that count work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkGossip {
    /// Backlogs of back ends, most important first.
    pub backlogs: Vec<BacklogGossip>,
    /// Work that the sender's callers ask for by tenant, largest first.
    pub tenants: Vec<TenantWorkGossip>,
}

impl WorkGossip {
    /// Whether the sender tells that its callers ask for no work: a datagram without this part, which
    /// may have had no room for it, tells nothing.
    pub fn tells_idle_tenants(&self) -> bool {
        self.tenants.is_empty() && !self.backlogs.is_empty()
    }

    fn is_empty(&self) -> bool {
        self.backlogs.is_empty() && self.tenants.is_empty()
    }
}

/// Encodes a datagram without roll-outs. Leaves out the last records if it would be too large, and
/// all that follows the gossip if even that does not fit.
pub fn encode(
    gossip: &PeerGossip,
    records: &[RecordGossip],
    ages: &SourceAges,
    reads: &SourceReads,
) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_allocvec(gossip)?;
    let ages = postcard::to_allocvec(&(ages, reads))?;
    for count in (0..=records.len()).rev() {
        let encoded_records = postcard::to_allocvec(&records[..count])?;
        if bytes.len() + encoded_records.len() + ages.len() <= MAX_DATAGRAM_BYTES {
            return Ok([bytes, encoded_records, ages].concat());
        }
    }
    Ok(bytes)
}

/// Encodes a datagram and appends the roll-outs, if there are any.
pub fn encode_with_rollouts(
    gossip: &PeerGossip,
    records: &[RecordGossip],
    ages: &SourceAges,
    reads: &SourceReads,
    rollouts: &[RolloutGossip],
) -> Result<Vec<u8>, postcard::Error> {
    let no_work = WorkGossip::default();
    encode_with_work(gossip, records, ages, reads, rollouts, &no_work)
}

/// Encodes a datagram and appends roll-outs and work, if there are any.
pub fn encode_with_work(
    gossip: &PeerGossip,
    records: &[RecordGossip],
    ages: &SourceAges,
    reads: &SourceReads,
    rollouts: &[RolloutGossip],
    work: &WorkGossip,
) -> Result<Vec<u8>, postcard::Error> {
    let content = OptionalContent {
        rollouts,
        work,
        recoveries: &[],
    };
    encode_with(gossip, records, ages, reads, &content)
}

/// Content that is appended to a datagram if there is any.
#[derive(Clone, Copy, Debug)]
pub struct OptionalContent<'a> {
    /// The sender's state of roll-outs.
    pub rollouts: &'a [RolloutGossip],
    /// Work at back ends and of tenants.
    pub work: &'a WorkGossip,
    /// Latest successes at back ends that routers suspected.
    pub recoveries: &'a [RecoveryGossip],
}

/// Encodes a datagram and appends roll-outs, work, the circumstances of crashes under prompt parts
/// and recoveries of back ends, if there are any. All but the roll-outs are each left out if they
/// do not fit whole.
pub fn encode_with(
    gossip: &PeerGossip,
    records: &[RecordGossip],
    ages: &SourceAges,
    reads: &SourceReads,
    content: &OptionalContent<'_>,
) -> Result<Vec<u8>, postcard::Error> {
    let OptionalContent {
        rollouts,
        work,
        recoveries,
    } = *content;
    let mut datagram = OptionalParts::new(encode(gossip, records, ages, reads)?);
    if datagram.bytes.len() == postcard::to_allocvec(gossip)?.len() {
        // Parts are read in order, so none can follow where the records were left out.
        return Ok(datagram.bytes);
    }
    let rollouts = match rollouts {
        [] => Vec::new(),
        rollouts => {
            let max_bytes = datagram.free_bytes().min(MAX_ROLLOUT_BYTES);
            encode_rollouts(rollouts.to_vec(), max_bytes)?
        }
    };
    datagram.append(&rollouts, &EMPTY_LIST);
    let work = match work.is_empty() {
        true => Vec::new(),
        false => postcard::to_allocvec(&(&work.backlogs, &work.tenants))?,
    };
    datagram.append(&work, &[EMPTY_LIST, EMPTY_LIST].concat());
    let contexts = part_contexts(records);
    let contexts = match contexts.is_empty() {
        true => Vec::new(),
        false => postcard::to_allocvec(&contexts)?,
    };
    datagram.append(&contexts, &EMPTY_LIST);
    let recoveries = match recoveries.is_empty() {
        true => Vec::new(),
        false => postcard::to_allocvec(recoveries)?,
    };
    datagram.append(&recoveries, &EMPTY_LIST);
    Ok(datagram.bytes)
}

/// Encoding of an empty list.
const EMPTY_LIST: [u8; 1] = [0];

/// Appends parts to a datagram that a receiver reads in order. A part that is absent is encoded
/// only if another one follows it.
struct OptionalParts {
    bytes: Vec<u8>,
    /// Encoding of the absent parts since the last one that is present.
    absent: Vec<u8>,
}

impl OptionalParts {
    fn new(bytes: Vec<u8>) -> Self {
        OptionalParts {
            bytes,
            absent: Vec::new(),
        }
    }

    fn free_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(self.bytes.len() + self.absent.len())
    }

    /// Appends a part, or notes that it is absent if it is empty or does not fit.
    fn append(&mut self, part: &[u8], absent: &[u8]) {
        if part.is_empty() || part.len() > self.free_bytes() {
            self.absent.extend_from_slice(absent);
        } else {
            self.bytes.append(&mut self.absent);
            self.bytes.extend_from_slice(part);
        }
    }
}

/// Circumstances of the crashes under prompt parts, each with the index of its record.
fn part_contexts(records: &[RecordGossip]) -> Vec<(u8, &PartContext)> {
    let indexed = records.iter().zip(0..=u8::MAX);
    indexed
        .filter_map(|(record, index)| Some((index, record.part.as_ref()?)))
        .collect()
}

/// Encodes roll-outs in at most `max_bytes`: response counts of routers are left out first, then
/// whole roll-outs.
fn encode_rollouts(
    mut rollouts: Vec<RolloutGossip>,
    max_bytes: usize,
) -> Result<Vec<u8>, postcard::Error> {
    loop {
        let part = postcard::to_allocvec(&rollouts)?;
        if part.len() <= max_bytes {
            return Ok(part);
        }
        let longest = rollouts
            .iter_mut()
            .max_by_key(|rollout| rollout.counts.len());
        let dropped = longest.and_then(|rollout| rollout.counts.pop());
        if dropped.is_none() && rollouts.pop().is_none() {
            return Ok(Vec::new());
        }
    }
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    let (gossip, rest) = postcard::take_from_bytes::<PeerGossip>(bytes)?;
    let (mut records, rest) = decode_optional_part::<Vec<RecordGossip>>(rest)?;
    let (ages, rest) = decode_optional_part::<SourceAges>(rest)?;
    let (reads, rest) = decode_optional_part::<SourceReads>(rest)?;
    let (rollouts, rest) = decode_optional_part::<Vec<RolloutGossip>>(rest)?;
    let (backlogs, rest) = decode_optional_part::<Vec<BacklogGossip>>(rest)?;
    let (tenants, rest) = decode_optional_part::<Vec<TenantWorkGossip>>(rest)?;
    let (contexts, rest) = decode_optional_part::<Vec<(u8, PartContext)>>(rest)?;
    let (recoveries, _) = decode_optional_part::<Vec<RecoveryGossip>>(rest)?;
    for (index, context) in contexts {
        if let Some(record) = records.get_mut(usize::from(index)) {
            record.part = Some(context);
        }
    }
    Ok(Datagram {
        gossip,
        records,
        ages,
        reads,
        rollouts,
        work: WorkGossip { backlogs, tenants },
        recoveries,
    })
}

/// Decodes a part that earlier releases do not send, and returns it with the bytes after it.
fn decode_optional_part<'a, T: Default + Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
