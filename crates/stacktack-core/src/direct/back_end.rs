//! What a router believes of each back end.
//!
//! Beliefs come from the directory (who exists, who is leaving), from answers
//! (failures, time to the first byte, silence) and from connections that did
//! not come up. No probe is sent. A bad standing only lowers preference: when
//! every candidate stands badly, the best of them is still used.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::selector::Labels;
use crate::direct::peers::ShortId;
use crate::direct::suspicion::{RequestRisk, Suspicion};
use crate::time::Time;

/// Connections in a row that failed before a back end is passed by.
const FAILURES_TO_EJECT: u32 = 2;

/// First time that a back end is passed by; doubles with each failed return.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time that a back end is passed by.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// With requests in flight and no byte for this long a back end is silent.
const SILENCE: Duration = Duration::from_millis(450);

/// Weight of the newest outcome in a back end's failure share.
const FAILURE_WEIGHT: f64 = 0.12;

/// Weight of the newest time to the first byte.
const LATENCY_WEIGHT: f64 = 0.15;

/// A time to the first byte is degraded above this multiple of the pool's mean.
const SLOW_FACTOR: f64 = 3.0;

/// Age up to which a told load counts.
const TOLD_LOAD_AGE: Duration = Duration::from_millis(300);

/// Age up to which a peer's accusation counts.
const ACCUSATION_AGE: Duration = Duration::from_millis(1500);

/// Peers that have to accuse a back end: single failures are scattered over many.
const ACCUSERS: usize = 2;

/// Age up to which an own good answer outweighs an accusation.
const RECENT_SUCCESS: Duration = Duration::from_millis(500);

/// Share of a pool above which accusations are not believed: then something else
/// is wrong.
const ACCUSED_SHARE: f64 = 0.34;

/// Time after which a slow back end that got no requests is given the benefit of
/// the doubt.
const FORGET: Duration = Duration::from_secs(3);

/// How well a back end stands; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It fails or is slow clearly more often than its pool.
    Degraded,
    /// It is silent, or connections to it fail.
    Ejected,
}

impl Standing {
    /// Fixed word for logs.
    pub fn word(self) -> &'static str {
        match self {
            Standing::Good => "good",
            Standing::Degraded => "degraded",
            Standing::Ejected => "ejected",
        }
    }
}

/// A back end as the directory describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndEntry {
    /// Unique id of this life of the back end.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Labels; pools are conditions on them.
    pub labels: Labels,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Revision of the directory at which the entry last changed.
    pub revision: u64,
}

/// An entry that left the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the back end.
    pub id: String,
    /// Revision of the directory at which it left, or by which it had left.
    pub revision: u64,
}

/// What changed in the directory after some revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Revision up to which the news is complete.
    pub revision: u64,
    /// Whether `present` is the whole directory.
    pub whole: bool,
    /// Entries that are new or changed.
    pub present: Vec<BackEndEntry>,
    /// Entries that left.
    pub gone: Vec<Departure>,
}

/// Label that names a back end's zone.
pub const ZONE_LABEL: &str = "zone";

/// A back end and what is believed of it.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// The directory's entry.
    pub entry: BackEndEntry,
    /// Hash of the id, for rendezvous hashing.
    pub id_hash: u64,
    /// Requests of this router in flight there.
    pub in_flight: u32,
    /// Requests of other routers in flight there, as they last told.
    pub in_flight_elsewhere: f64,
    /// What it told of requests from elsewhere, and when.
    told_elsewhere: Option<(f64, Time)>,
    failures_in_a_row: u32,
    ejected_until: Option<Time>,
    failure_share: f64,
    /// Failure share of its pool at the last choice from it.
    usual_failure_share: f64,
    suspicion: Suspicion,
    /// Peers that said of late that they suspect it, and when.
    accusations: Vec<(SocketAddr, Time)>,
    last_success: Option<Time>,
    first_byte_seconds: Option<f64>,
    silent_since: Time,
    last_used: Time,
}

impl BackEnd {
    fn new(entry: BackEndEntry, now: Time) -> Self {
        let id_hash = xxh3_64(entry.id.as_bytes());
        BackEnd {
            entry,
            id_hash,
            in_flight: 0,
            in_flight_elsewhere: 0.0,
            told_elsewhere: None,
            failures_in_a_row: 0,
            ejected_until: None,
            failure_share: 0.0,
            usual_failure_share: 0.0,
            suspicion: Suspicion::default(),
            accusations: Vec::new(),
            last_success: None,
            first_byte_seconds: None,
            silent_since: now,
            last_used: now,
        }
    }

    /// Requests in flight there from all routers, as far as known: the more of
    /// what the peers told and what the back end told a moment ago.
    pub fn load(&self, now: Time) -> f64 {
        let told = self
            .told_elsewhere
            .filter(|(_, at)| now.since(*at) < TOLD_LOAD_AGE)
            .map_or(0.0, |(load, _)| load);
        f64::from(self.in_flight) + self.in_flight_elsewhere.max(told)
    }

    /// The back end told all that it runs and holds, this router's among it.
    pub fn on_load(&mut self, requests: u32, now: Time) {
        let elsewhere = requests.saturating_sub(self.in_flight);
        self.told_elsewhere = Some((f64::from(elsewhere), now));
    }

    /// A request was sent there.
    pub fn on_send(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.last_used = now;
    }

    /// A request there ended or was given up.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Bytes came from there.
    pub fn on_bytes(&mut self, now: Time) {
        self.silent_since = now;
        self.failures_in_a_row = 0;
        self.ejected_until = None;
    }

    /// An answer's first byte came this long after its request was sent.
    pub fn on_first_byte(&mut self, after: Duration) {
        let seconds = after.as_secs_f64();
        let mean = self.first_byte_seconds.unwrap_or(seconds);
        self.first_byte_seconds = Some(mean + LATENCY_WEIGHT * (seconds - mean));
    }

    /// An answer began well, or an attempt ended with a failure of the back end.
    /// Returns whether it is suspect from now on, or no longer; `None` if that
    /// did not change.
    pub fn on_outcome(&mut self, failed: bool, now: Time) -> Option<bool> {
        let value = f64::from(u8::from(failed));
        self.failure_share += FAILURE_WEIGHT * (value - self.failure_share);
        if !failed {
            self.last_success = Some(now);
        }
        let before = self.suspicion.is_suspect();
        self.suspicion
            .on_outcome(failed, self.usual_failure_share, now);
        let after = self.suspicion.is_suspect();
        (after != before).then_some(after)
    }

    /// Whether its failures make this router suspect it.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.is_suspect()
    }

    /// A peer's failures make it suspect the back end. Returns whether enough
    /// peers accuse it from now on.
    pub fn on_accused(&mut self, peer: SocketAddr, now: Time) -> bool {
        let before = self.is_accused(now);
        self.accusations
            .retain(|(accuser, at)| *accuser != peer && now.since(*at) < ACCUSATION_AGE);
        self.accusations.push((peer, now));
        self.is_accused(now) && !before
    }

    /// Whether several peers accused it of late and nothing was seen here that
    /// speaks against that.
    fn is_accused(&self, now: Time) -> bool {
        let fresh = self
            .accusations
            .iter()
            .filter(|(_, at)| now.since(*at) < ACCUSATION_AGE);
        let accused = fresh.count() >= ACCUSERS;
        let worked = self
            .last_success
            .is_some_and(|at| now.since(at) < RECENT_SUCCESS);
        accused && !worked
    }

    /// A connection failed or the back end fell silent. Returns whether it is
    /// passed by from now on.
    pub fn on_unreachable(&mut self, now: Time) -> bool {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (self.failures_in_a_row - FAILURES_TO_EJECT).min(8);
        let span = FIRST_EJECTION
            .saturating_mul(1 << doublings)
            .min(LONGEST_EJECTION);
        self.ejected_until = Some(now + span);
        true
    }

    /// Whether requests are in flight there and no byte came for too long.
    pub fn is_silent(&self, now: Time) -> bool {
        self.in_flight > 0 && now.since(self.silent_since) > SILENCE
    }

    fn standing(&self, now: Time, pool: &PoolMeans, request: RequestRisk) -> Standing {
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        if ejected || self.is_silent(now) {
            return Standing::Ejected;
        }
        let failing = self.suspicion.is_suspect() && !self.may_be_tried(now, request);
        if failing || (pool.believes_accusations && self.is_accused(now)) {
            return Standing::Degraded;
        }
        if self.is_slow(pool) && now.since(self.last_used) <= FORGET {
            return Standing::Degraded;
        }
        Standing::Good
    }

    /// Whether a suspect may get this request: one at a time.
    fn may_be_tried(&self, now: Time, request: RequestRisk) -> bool {
        self.in_flight == 0 && self.suspicion.may_be_tried(now, request)
    }

    fn is_slow(&self, pool: &PoolMeans) -> bool {
        match (self.first_byte_seconds, pool.first_byte_seconds) {
            (Some(own), Some(mean)) => own > SLOW_FACTOR * mean,
            _ => false,
        }
    }
}

struct PoolMeans {
    /// Failure share of the middle member.
    failure_share: f64,
    /// Time to the first byte of the middle member.
    first_byte_seconds: Option<f64>,
    /// Whether so few members are accused that accusations are believed.
    believes_accusations: bool,
}

impl PoolMeans {
    fn of(members: &[&mut BackEnd], now: Time) -> Self {
        let shares = members.iter().map(|member| member.failure_share);
        let latencies = members
            .iter()
            .filter_map(|member| member.first_byte_seconds);
        let accused = members
            .iter()
            .filter(|member| member.is_accused(now))
            .count();
        PoolMeans {
            failure_share: middle(shares.collect()).unwrap_or(0.0),
            first_byte_seconds: middle(latencies.collect()),
            believes_accusations: accused as f64 <= members.len() as f64 * ACCUSED_SHARE,
        }
    }
}

/// The middle one of some values.
fn middle(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let index = values.len() / 2;
    let (_, middle, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*middle)
}

/// What changed with a new list of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Ids that were not known before.
    pub joined: Vec<String>,
    /// Ids that take no new work from now on.
    pub leaving: Vec<String>,
    /// Ids that are gone.
    pub gone: Vec<String>,
}

/// Departures that are remembered, to tell peers what changed.
const MAXIMUM_DEPARTURES: usize = 1024;

/// All back ends that a router knows.
#[derive(Clone, Debug, Default)]
pub struct BackEnds {
    members: HashMap<String, BackEnd>,
    /// Departures after [`BackEnds::known_from`], the oldest first.
    departures: VecDeque<Departure>,
    /// Revision from which on every departure is remembered; `None` while no
    /// whole directory was taken.
    known_from: Option<u64>,
}

impl BackEnds {
    /// Takes one entry of the directory, unless something newer is known of it.
    pub fn upsert(&mut self, entry: BackEndEntry, now: Time, change: &mut DirectoryChange) {
        if self.left_after(&entry) {
            return;
        }
        match self.members.get_mut(&entry.id) {
            Some(known) if known.entry.revision > entry.revision => {}
            Some(known) => {
                if entry.leaving && !known.entry.leaving {
                    change.leaving.push(entry.id.clone());
                }
                known.entry = entry;
            }
            None => {
                change.joined.push(entry.id.clone());
                self.members
                    .insert(entry.id.clone(), BackEnd::new(entry, now));
            }
        }
    }

    fn left_after(&self, entry: &BackEndEntry) -> bool {
        self.departures
            .iter()
            .any(|departure| departure.id == entry.id && departure.revision >= entry.revision)
    }

    /// The directory no longer lists a back end, unless something newer is known
    /// of it.
    pub fn remove(&mut self, departure: Departure, change: &mut DirectoryChange) {
        let known = self.members.get(&departure.id);
        if known.is_none_or(|known| known.entry.revision > departure.revision) {
            return;
        }
        self.members.remove(&departure.id);
        change.gone.push(departure.id.clone());
        self.departures.push_back(departure);
        if self.departures.len() > MAXIMUM_DEPARTURES {
            let oldest = self.departures.pop_front();
            let forgotten = oldest.map(|departure| departure.revision);
            self.known_from = self.known_from.max(forgotten);
        }
    }

    /// Members that a whole directory as of a revision does not list.
    pub fn missing_from(&self, listed: &[BackEndEntry], revision: u64) -> Vec<Departure> {
        let listed: HashSet<&str> = listed.iter().map(|entry| entry.id.as_str()).collect();
        self.members
            .keys()
            .filter(|id| !listed.contains(id.as_str()))
            .map(|id| Departure {
                id: id.clone(),
                revision,
            })
            .collect()
    }

    /// A whole directory as of a revision was taken.
    pub fn on_whole(&mut self, revision: u64) {
        self.known_from.get_or_insert(revision);
    }

    /// What changed after a revision, as of `revision`; everything if not every
    /// departure since then is remembered.
    pub fn changes_after(&self, after: u64, revision: u64) -> DirectoryDelta {
        let whole = self.known_from.is_none_or(|known_from| after < known_from);
        let changed = |at: u64| whole || at > after;
        DirectoryDelta {
            revision,
            whole,
            present: self
                .members
                .values()
                .filter(|member| changed(member.entry.revision))
                .map(|member| member.entry.clone())
                .collect(),
            gone: self
                .departures
                .iter()
                .filter(|departure| changed(departure.revision))
                .cloned()
                .collect(),
        }
    }

    /// Ids of all back ends.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// A back end.
    pub fn get(&self, id: &str) -> Option<&BackEnd> {
        self.members.get(id)
    }

    /// A back end, to change what is believed of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut BackEnd> {
        self.members.get_mut(id)
    }

    /// The back end that a short id stands for.
    pub fn id_of(&self, short: ShortId) -> Option<&str> {
        self.members
            .values()
            .find(|member| ShortId::of(member.id_hash) == short)
            .map(|member| member.entry.id.as_str())
    }

    /// All back ends.
    pub fn iter(&self) -> impl Iterator<Item = &BackEnd> {
        self.members.values()
    }

    /// All back ends, to change what is believed of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackEnd> {
        self.members.values_mut()
    }

    /// Number of back ends that take new work.
    pub fn working(&self) -> usize {
        self.members
            .values()
            .filter(|member| !member.entry.leaving)
            .count()
    }

    /// Members that take new work and meet the test, each with its standing for
    /// a request.
    pub fn pool(
        &mut self,
        now: Time,
        request: RequestRisk,
        meets: impl Fn(&BackEndEntry) -> bool,
    ) -> Vec<(&BackEnd, Standing)> {
        let mut members: Vec<&mut BackEnd> = self
            .members
            .values_mut()
            .filter(|member| !member.entry.leaving && meets(&member.entry))
            .collect();
        let means = PoolMeans::of(&members, now);
        for member in &mut members {
            member.usual_failure_share = means.failure_share;
        }
        members
            .into_iter()
            .map(|member| {
                let standing = member.standing(now, &means, request);
                (&*member, standing)
            })
            .collect()
    }

    /// Short ids of members that this router suspects, at most `most`. Silence is
    /// not told: where many requests wait it comes and goes, and a fleet that
    /// passes by a back end all at once overloads the next ones.
    pub fn suspects(&self, most: usize) -> Vec<ShortId> {
        self.members
            .values()
            .filter(|member| member.is_suspect())
            .map(|member| ShortId::of(member.id_hash))
            .take(most)
            .collect()
    }
}
