//! Shared prompt parts that back ends have read or are reading.
//!
//! A back end can reuse a part only together with every part before it, so a known part implies
//! that the parts before it in the same chain are cached as well. The last part of a chain belongs
//! to the request itself and is never remembered.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::choice::prompt::{PromptChain, PromptPart};
use crate::time::Time;

/// Maximum number of parts. With [`MAX_HOLDERS`] this takes less than 1 MB.
const MAX_PARTS: usize = 7 * 1024;

/// Maximum number of holders of all parts.
const MAX_HOLDERS: usize = 24 * 1024;

/// Age from which a holder is forgotten, since back ends evict what they do not use.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Share of the parts that make room when old holders do not suffice.
const EVICTED_SHARE: usize = 8;

/// Maximum number of parts of one prompt that are recorded, the last shared ones: they imply those
/// before them, and no prompt takes the room of the others.
const MAX_RECORDED_PARTS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Low bits of the hash of the back end's id.
    back_end: u32,
    /// Last use in milliseconds since the origin of time. Wraps after 49 days.
    used_ms: u32,
}

impl Holder {
    /// Milliseconds since the last use.
    fn age_ms(&self, now_ms: u32) -> u32 {
        now_ms.wrapping_sub(self.used_ms)
    }
}

/// Back ends by the shared prompt parts that they have cached or are reading.
#[derive(Clone, Debug, Default)]
pub struct KnownParts {
    /// Holders of each part, ordered by back end.
    parts: HashMap<u64, Vec<Holder>>,
    holders: usize,
}

impl KnownParts {
    /// Records that a request with this prompt was sent to a back end. Returns the ids of the
    /// recorded parts that were not known there.
    pub fn record(&mut self, prompt: &PromptChain, back_end: u64, now: Time) -> Vec<u64> {
        let shared = shared_parts(prompt);
        let recorded = &shared[shared.len().saturating_sub(MAX_RECORDED_PARTS)..];
        recorded
            .iter()
            .map(|part| part.id)
            .filter(|part| self.record_part(*part, back_end, now))
            .collect()
    }

    /// Records that a back end has read a part. If there is no room, the parts that have not been
    /// used for longest make it. Returns whether the location was not known.
    pub fn record_part(&mut self, part: u64, back_end: u64, now: Time) -> bool {
        let holder = Holder {
            back_end: back_end as u32,
            used_ms: milliseconds(now),
        };
        if let Some(holders) = self.parts.get_mut(&part) {
            if let Ok(index) = position(holders, holder.back_end) {
                holders[index] = holder;
                return false;
            }
        }
        self.make_room(part, now);
        let holders = self.parts.entry(part).or_default();
        let Err(index) = position(holders, holder.back_end) else {
            return false;
        };
        holders.insert(index, holder);
        self.holders += 1;
        true
    }

    /// Makes room for a holder of a part.
    fn make_room(&mut self, part: u64, now: Time) {
        let is_full = |known: &Self| {
            known.holders >= MAX_HOLDERS
                || (known.parts.len() >= MAX_PARTS && !known.parts.contains_key(&part))
        };
        if is_full(self) {
            self.expire(now);
        }
        if is_full(self) {
            self.evict_oldest(now);
        }
    }

    /// Forgets a share of the parts, those that have not been used for longest.
    fn evict_oldest(&mut self, now: Time) {
        let now_ms = milliseconds(now);
        let mut ages: Vec<(u32, u64)> = self
            .parts
            .iter()
            .map(|(part, holders)| {
                let ages = holders.iter().map(|holder| holder.age_ms(now_ms));
                (ages.min().unwrap_or(u32::MAX), *part)
            })
            .collect();
        ages.sort_unstable_by(|one, other| other.cmp(one));
        let evicted = ages.len().div_ceil(EVICTED_SHARE);
        for (_, part) in &ages[..evicted] {
            self.parts.remove(part);
        }
        self.remove_empty();
    }

    /// Takes back what [`KnownParts::record`] returned for a send at `sent_at` that ended before its
    /// prompt was read. Parts that another send has used since are kept.
    pub fn on_unread(&mut self, new_parts: &[u64], back_end: u64, sent_at: Time) {
        let used_ms = milliseconds(sent_at);
        for part in new_parts {
            if let Some(holders) = self.parts.get_mut(part) {
                holders.retain(|holder| {
                    holder.back_end != back_end as u32 || holder.used_ms != used_ms
                });
            }
        }
        self.remove_empty();
    }

    /// Forgets a back end whose cache is lost.
    pub fn forget_back_end(&mut self, back_end: u64) {
        for holders in self.parts.values_mut() {
            holders.retain(|holder| holder.back_end != back_end as u32);
        }
        self.remove_empty();
    }

    /// Forgets holders that have not used a part for 60 s.
    pub fn expire(&mut self, now: Time) {
        let now_ms = milliseconds(now);
        let max_age_ms = MAX_AGE.as_millis() as u32;
        for holders in self.parts.values_mut() {
            holders.retain(|holder| holder.age_ms(now_ms) <= max_age_ms);
        }
        self.remove_empty();
    }

    fn remove_empty(&mut self) {
        self.parts.retain(|_, holders| !holders.is_empty());
        self.holders = self.parts.values().map(Vec::len).sum();
    }

    /// Prepares the look-up of one prompt at several back ends.
    pub fn lookup(&self, prompt: &PromptChain) -> PromptLookup<'_> {
        let tokens = prompt.tokens();
        let mut unread_after = tokens;
        let mut parts = Vec::new();
        for part in shared_parts(prompt) {
            unread_after = unread_after.saturating_sub(part.tokens);
            if let Some(holders) = self.parts.get(&part.id) {
                parts.push((holders.as_slice(), unread_after));
            }
        }
        parts.reverse();
        PromptLookup { tokens, parts }
    }
}

/// Holders of the parts of one prompt.
#[derive(Clone, Debug)]
pub struct PromptLookup<'a> {
    tokens: u32,
    /// Holders of each known shared part with the tokens that follow it, the last part first.
    parts: Vec<(&'a [Holder], u32)>,
}

impl PromptLookup<'_> {
    /// Tokens of the prompt that a back end, by the hash of its id, has to read.
    pub fn unread_tokens(&self, back_end: u64) -> u32 {
        self.parts
            .iter()
            .find(|(holders, _)| position(holders, back_end as u32).is_ok())
            .map_or(self.tokens, |(_, unread)| *unread)
    }
}

fn shared_parts(prompt: &PromptChain) -> &[PromptPart] {
    let shared = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..shared]
}

fn position(holders: &[Holder], back_end: u32) -> Result<usize, usize> {
    holders.binary_search_by_key(&back_end, |holder| holder.back_end)
}

fn milliseconds(time: Time) -> u32 {
    (time.0 / 1000) as u32
}
