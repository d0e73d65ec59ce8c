//! Freshness of what this router knows of its sources, from its own reads and from what peers
//! report.

use std::cell::Cell;
use std::time::Duration;

use stacktack_core::direct::peers::peer_gossip::PeerGossip;
use stacktack_core::direct::peers::source_age::{EncodedAge, SourceAges, SourceRead, SourceReads};
use stacktack_core::direct::sources::directory_source::RENEWAL_PERIOD;
use stacktack_core::direct::sources::freshness::Freshness;
use stacktack_core::direct::sources::staleness_budget::StalenessBudget;
use stacktack_core::time::Time;

use crate::ports::SourceError;
use crate::router::Router;

/// Minimum advance of an answer over the last one for it to be pushed to peers at once, as a
/// fraction of the watch period.
const MIN_PUSH_ADVANCE: f64 = 0.1;

/// What this router knows about the freshness of one source.
#[derive(Debug, Default)]
pub(crate) struct SourceKnowledge {
    freshness: Cell<Freshness>,
    /// Revision of the store up to which this router knows the source; 0 for none.
    read_at: Cell<u64>,
    /// Claim of a peer about a revision that this router did not have when the claim arrived.
    claim: Cell<Option<PeerClaim>>,
}

/// Claim of a peer that it knows the source up to a revision, and that the source held nothing
/// newer at a time.
#[derive(Clone, Copy, Debug)]
struct PeerClaim {
    revision: u64,
    as_of: Option<Time>,
    read: SourceRead,
}

impl SourceKnowledge {
    /// Time up to which the source is known; `None` while nothing is known.
    pub(crate) fn as_of(&self) -> Option<Time> {
        self.freshness.get().as_of()
    }

    /// Revision of the store after which to read; `None` before the first read.
    pub(crate) fn read_at(&self) -> Option<u64> {
        Some(self.read_at.get()).filter(|read_at| *read_at > 0)
    }

    /// Records that the source is known up to a revision of the store.
    pub(crate) fn record_read(&self, revision: u64) {
        self.read_at.set(self.read_at.get().max(revision));
    }

    /// Makes the next read a snapshot, because the store no longer has the changes after the last
    /// read.
    pub(crate) fn forget_read(&self) {
        self.read_at.set(0);
    }

    pub(crate) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// Records an answer of the source to a peer, which this router may not have the knowledge of.
    fn observe_answer(&self, answered_at_ms: u64, gap_threshold: Duration, now: Time) {
        let mut freshness = self.freshness.get();
        freshness.observe_answer(answered_at_ms, gap_threshold, now);
        self.freshness.set(freshness);
    }

    /// Records an answer; returns whether it is enough newer than the last one to be pushed to
    /// peers.
    fn record(
        &self,
        as_of: Time,
        answered_at_ms: u64,
        budget: &StalenessBudget,
        now: Time,
    ) -> bool {
        let mut freshness = self.freshness.get();
        let newer_by = freshness.record_answer(as_of, answered_at_ms, budget.gap_threshold(), now);
        self.freshness.set(freshness);
        let min_advance = budget.watch_period().mul_f64(MIN_PUSH_ADVANCE);
        newer_by.is_some_and(|newer_by| newer_by >= min_advance)
    }

    /// Time of an answer to this router that is not yet recorded, in milliseconds. It is later than
    /// that of all recorded answers, also if the clock of the source stands still or was set back.
    pub(crate) fn own_answered_at_ms(&self, answered_at_ms: u64) -> u64 {
        answered_at_ms.max(self.freshness.get().answered_at_ms() + 1)
    }

    /// Records an answer to this router itself.
    fn record_own(
        &self,
        age: Duration,
        answered_at_ms: u64,
        budget: &StalenessBudget,
        now: Time,
    ) -> bool {
        let answered_at_ms = self.own_answered_at_ms(answered_at_ms);
        self.record(now - age, answered_at_ms, budget, now)
    }

    /// Applies a claim of a peer if this router knows the same revision, and keeps a claim about a
    /// newer revision until this router knows that. Returns whether the claim is enough newer than
    /// the last answer to be pushed to peers.
    fn apply_claim(
        &self,
        claim: PeerClaim,
        known: u64,
        budget: &StalenessBudget,
        now: Time,
    ) -> bool {
        // Revision 0 with a time is a claim about an empty directory.
        let is_empty = claim.revision == 0 && claim.as_of.is_none();
        if is_empty || claim.revision < known {
            return false;
        }
        if claim.revision > known {
            self.claim.set(Some(claim));
            return false;
        }
        self.record_read(claim.read.revision);
        let answered_at_ms = claim.read.answered_at_ms;
        let as_of = claim.as_of.filter(|_| answered_at_ms > 0);
        as_of.is_some_and(|as_of| self.record(as_of, answered_at_ms, budget, now))
    }

    /// The last answer, as sent to peers.
    fn last_answer(&self) -> SourceRead {
        SourceRead {
            revision: self.read_at.get(),
            answered_at_ms: self.freshness.get().answered_at_ms(),
        }
    }
}

/// What this router knows about the freshness of each source.
#[derive(Debug, Default)]
pub(crate) struct SourcesKnowledge {
    pub(crate) directory: SourceKnowledge,
    pub(crate) configuration: SourceKnowledge,
}

impl Router {
    /// Records that this router knows all that the directory held `age` ago or later, as shown by an
    /// answer made at `answered_at_ms` on the clock of the store.
    pub(crate) fn record_directory_age(&self, age: Duration, answered_at_ms: u64) {
        let now = self.now();
        let directory = &self.freshness.directory;
        if directory.record_own(age, answered_at_ms, &self.directory_budget(), now) {
            self.push_due.notify_one();
        }
    }

    /// Records that this router knows the configuration as it was `age` ago or later, as shown by an
    /// answer made at `answered_at_ms` on the clock of the store.
    pub(crate) fn record_configuration_age(&self, age: Duration, answered_at_ms: u64) {
        let now = self.now();
        let configuration = &self.freshness.configuration;
        if configuration.record_own(age, answered_at_ms, &self.configuration_budget(), now) {
            self.push_due.notify_one();
        }
    }

    /// Age of what is known of the directory; `None` before the first answer.
    pub fn directory_age(&self) -> Option<Duration> {
        self.freshness.directory.freshness.get().age(self.now())
    }

    /// Age of what is known of the configuration; `None` before the first answer.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness.configuration.freshness.get().age(self.now())
    }

    /// Whether no gap in the answers about the directory, to this router or its peers, ended within
    /// the renewal period, so that all live back ends have renewed their entries.
    pub(crate) fn directory_had_no_gap(&self) -> bool {
        let freshness = self.freshness.directory.freshness.get();
        !freshness.had_gap_within(RENEWAL_PERIOD, self.now())
    }

    /// Whether answers about the directory keep coming, to this router or to its peers.
    pub(crate) fn directory_is_watched(&self) -> bool {
        let budget = self.directory_budget();
        let age = self.directory_age();
        age.is_some_and(|age| budget.is_watched(age)) && self.directory_had_no_gap()
    }

    /// Budget of the time within which a departure has to be acted upon.
    pub(crate) fn directory_budget(&self) -> StalenessBudget {
        StalenessBudget::new(self.bounds().drain_timeout)
    }

    /// Budget of the time within which a configuration has to be in force.
    pub(crate) fn configuration_budget(&self) -> StalenessBudget {
        StalenessBudget::new(self.bounds().config_apply)
    }

    /// Ages of this router's knowledge, as sent to peers.
    pub fn source_ages(&self) -> SourceAges {
        // While removals are pending, the revision that is sent is older than the newest one heard,
        // and the age does not apply to it.
        let none_pending = self.pending_removals.borrow().is_empty();
        let directory = self.directory_age().filter(|_| none_pending);
        SourceAges {
            directory: directory.and_then(EncodedAge::new),
            configuration: self.configuration_age().and_then(EncodedAge::new),
        }
    }

    /// The last answers of the store, as sent to peers.
    pub fn source_reads(&self) -> SourceReads {
        let mut directory = self.freshness.directory.last_answer();
        if !self.pending_removals.borrow().is_empty() {
            // The revision that is sent is older than this one. The time shows that the store answers.
            directory.revision = 0;
        }
        SourceReads {
            directory,
            configuration: self.freshness.configuration.last_answer(),
        }
    }

    /// Applies the ages of a peer's knowledge where this router knows the same revision. A newer
    /// revision has to be fetched first, and an older one says nothing.
    pub fn apply_source_ages(&self, gossip: &PeerGossip, ages: &SourceAges, reads: &SourceReads) {
        let now = self.now();
        let as_of = |age: Option<EncodedAge>| age.map(|age| now - age.age());
        self.observe_peer_answers(ages, reads);
        if self.pending_removals.borrow().is_empty() {
            let claim = PeerClaim {
                revision: gossip.directory,
                as_of: as_of(ages.directory),
                read: reads.directory,
            };
            self.apply_directory_claim(claim);
        }
        if gossip.configuration > 0 {
            self.apply_configuration_claim(PeerClaim {
                revision: gossip.configuration,
                as_of: as_of(ages.configuration),
                read: reads.configuration,
            });
        }
    }

    /// Takes the answers of the store that a peer reports as evidence about the store, whatever
    /// revisions this router knows.
    fn observe_peer_answers(&self, ages: &SourceAges, reads: &SourceReads) {
        let directory = (ages.directory, reads.directory.answered_at_ms);
        let configuration = (ages.configuration, reads.configuration.answered_at_ms);
        for (age, answered_at_ms) in [directory, configuration] {
            if let Some(age) = age.filter(|_| answered_at_ms > 0) {
                self.store.record_peer_lateness(age.age(), answered_at_ms);
            }
        }
        let answered_at_ms = reads.directory.answered_at_ms;
        if answered_at_ms > 0 {
            let now = self.now();
            let gap_threshold = self.directory_budget().gap_threshold();
            let directory = &self.freshness.directory;
            directory.observe_answer(answered_at_ms, gap_threshold, now);
            self.store.on_peer_answer(answered_at_ms, now);
        }
    }

    /// Records a call about the directory that failed or was not answered in time. Returns whether
    /// the store was not lost before.
    pub(crate) fn on_directory_failure(&self, error: SourceError) -> bool {
        let now = self.now();
        let store_clock_ms = self.freshness.directory.freshness().source_clock_ms(now);
        self.store.on_failure(error, store_clock_ms, now)
    }

    fn apply_directory_claim(&self, claim: PeerClaim) {
        let (known, budget) = (self.directory_revision(), self.directory_budget());
        let directory = &self.freshness.directory;
        if directory.apply_claim(claim, known, &budget, self.now()) {
            self.push_due.notify_one();
        }
    }

    fn apply_configuration_claim(&self, claim: PeerClaim) {
        let (known, budget) = (self.configuration_version(), self.configuration_budget());
        let configuration = &self.freshness.configuration;
        if configuration.apply_claim(claim, known, &budget, self.now()) {
            self.push_due.notify_one();
        }
    }

    /// Applies the claims of peers that were waiting for a fetch.
    pub(crate) fn apply_peer_claims(&self) {
        if let Some(claim) = self.freshness.directory.claim.get() {
            self.apply_directory_claim(claim);
        }
        if let Some(claim) = self.freshness.configuration.claim.get() {
            self.apply_configuration_claim(claim);
        }
    }

    /// The age of the directory for logs, in milliseconds.
    pub(crate) fn directory_age_text(&self) -> String {
        self.directory_age()
            .map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
    }

    /// Logs a warning when departures may have been missed for longer than the drain timeout,
    /// within which leaving back ends have to stop getting new requests.
    pub fn log_stale_directory(&self) {
        let Some(age) = self.directory_age() else {
            return;
        };
        if age >= self.bounds().drain_timeout {
            log::warn!(
                target: "directory",
                "stale=true age_ms={} revision={} held={} store_lost={}",
                age.as_millis(),
                self.received_directory_revision.get(),
                self.pending_removals.borrow().len(),
                self.store.is_lost(),
            );
        }
    }
}
