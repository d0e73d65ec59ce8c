//! How new what this router knows of its sources is, by its own reads and by what peers tell.

use std::cell::Cell;
use std::time::Duration;

use stacktack_core::direct::peers::peer_gossip::PeerGossip;
use stacktack_core::direct::peers::source_age::{EncodedAge, SourceAges, SourceRead, SourceReads};
use stacktack_core::direct::sources::directory_source::RENEWAL_PERIOD;
use stacktack_core::direct::sources::freshness::Freshness;
use stacktack_core::direct::sources::staleness_budget::StalenessBudget;
use stacktack_core::time::Time;

use crate::router::Router;

/// Share of the time that a router watches a source by which an answer has to be newer than the last one
/// for it to be pushed to others.
const WORTH_TELLING: f64 = 0.1;

/// How new what is known of one source is.
#[derive(Debug, Default)]
pub(crate) struct SourceKnowledge {
    freshness: Cell<Freshness>,
    /// Revision of the store up to which the source is known; 0 for none.
    read_at: Cell<u64>,
    /// What a peer told of knowledge that this router did not have then.
    claim: Cell<Option<Claim>>,
}

/// A peer knows the source up to a revision, which was all that there was at a time.
#[derive(Clone, Copy, Debug)]
struct Claim {
    revision: u64,
    as_of: Option<Time>,
    read: SourceRead,
}

impl SourceKnowledge {
    /// Time up to which the source is known; `None` while nothing is.
    pub(crate) fn as_of(&self) -> Option<Time> {
        self.freshness.get().as_of()
    }

    /// Revision of the store after which to read; `None` before the first read.
    pub(crate) fn read_at(&self) -> Option<u64> {
        Some(self.read_at.get()).filter(|read_at| *read_at > 0)
    }

    /// The source was read up to a revision of the store.
    pub(crate) fn note_read(&self, revision: u64) {
        self.read_at.set(self.read_at.get().max(revision));
    }

    /// The store has forgotten what came after the last read.
    pub(crate) fn forget_read(&self) {
        self.read_at.set(0);
    }

    /// How new it is.
    pub(crate) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    fn note(&self, as_of: Time, told_at: u64, budget: &StalenessBudget, now: Time) -> bool {
        let mut freshness = self.freshness.get();
        let newer_by = freshness.record_answer(as_of, told_at, budget.gap_threshold(), now);
        self.freshness.set(freshness);
        let worth_telling = budget.watch_period().mul_f64(WORTH_TELLING);
        newer_by.is_some_and(|newer_by| newer_by >= worth_telling)
    }

    /// When an own answer that is not noted yet counts as made. It is newer than all before, also where the
    /// clock of the source stands still or was set back.
    pub(crate) fn own_told_at(&self, told_at: u64) -> u64 {
        told_at.max(self.freshness.get().answered_at_ms() + 1)
    }

    /// An own answer came.
    fn note_own(&self, age: Duration, told_at: u64, budget: &StalenessBudget, now: Time) -> bool {
        let told_at = self.own_told_at(told_at);
        self.note(now - age, told_at, budget, now)
    }

    /// Takes what a peer tells, if this router knows as much; keeps it for when it does.
    fn take(&self, claim: Claim, known: u64, budget: &StalenessBudget, now: Time) -> bool {
        // An empty directory has no revision, and may be known all the same.
        let says_nothing = claim.revision == 0 && claim.as_of.is_none();
        if says_nothing || claim.revision < known {
            return false;
        }
        if claim.revision > known {
            self.claim.set(Some(claim));
            return false;
        }
        self.note_read(claim.read.revision);
        let told_at = claim.read.answered_at_ms;
        let as_of = claim.as_of.filter(|_| told_at > 0);
        as_of.is_some_and(|as_of| self.note(as_of, told_at, budget, now))
    }

    /// The last answer, to tell peers.
    fn read(&self) -> SourceRead {
        SourceRead {
            revision: self.read_at.get(),
            answered_at_ms: self.freshness.get().answered_at_ms(),
        }
    }
}

/// How new what is known of each source is.
#[derive(Debug, Default)]
pub(crate) struct SourcesKnowledge {
    pub(crate) directory: SourceKnowledge,
    pub(crate) configuration: SourceKnowledge,
}

impl Router {
    /// What is known of the directory was all that it held so long ago, or later, as an answer made at
    /// `told_at` on the clock of its store showed.
    pub(crate) fn record_directory_age(&self, age: Duration, told_at: u64) {
        let now = self.now();
        let directory = &self.freshness.directory;
        if directory.note_own(age, told_at, &self.directory_budget(), now) {
            self.push_due.notify_one();
        }
    }

    /// What is known of the configuration was all that there was so long ago, or later, as an answer made
    /// at `told_at` on the clock of its store showed.
    pub(crate) fn record_configuration_age(&self, age: Duration, told_at: u64) {
        let now = self.now();
        let configuration = &self.freshness.configuration;
        if configuration.note_own(age, told_at, &self.configuration_budget(), now) {
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

    /// Whether some router got an answer about the directory at all times of late: whatever lives has
    /// renewed its entry.
    pub(crate) fn directory_had_no_gap(&self) -> bool {
        let freshness = self.freshness.directory.freshness.get();
        !freshness.had_gap_within(RENEWAL_PERIOD, self.now())
    }

    /// Whether answers about the directory come all the time, to this router or to others.
    pub(crate) fn directory_is_watched(&self) -> bool {
        let budget = self.directory_budget();
        let age = self.directory_age();
        age.is_some_and(|age| budget.is_watched(age)) && self.directory_had_no_gap()
    }

    /// The time in which a departure has to be acted upon.
    pub(crate) fn directory_budget(&self) -> StalenessBudget {
        StalenessBudget::new(self.bounds().drain_timeout)
    }

    /// The time in which a configuration has to be acted upon.
    pub(crate) fn configuration_budget(&self) -> StalenessBudget {
        StalenessBudget::new(self.bounds().config_apply)
    }

    /// Ages to tell peers.
    pub fn source_ages(&self) -> SourceAges {
        // While a departure is held, more than what is told as known has been heard.
        let decided = self.pending_removals.borrow().is_empty();
        let directory = self.directory_age().filter(|_| decided);
        SourceAges {
            directory: directory.and_then(EncodedAge::new),
            configuration: self.configuration_age().and_then(EncodedAge::new),
        }
    }

    /// The last answers of the store, to tell peers.
    pub fn source_reads(&self) -> SourceReads {
        let decided = self.pending_removals.borrow().is_empty();
        let directory = decided.then(|| self.freshness.directory.read());
        SourceReads {
            directory: directory.unwrap_or_default(),
            configuration: self.freshness.configuration.read(),
        }
    }

    /// Takes how new a peer's knowledge is, where this router knows the same: more than that
    /// has to be fetched first, and less says nothing.
    pub fn apply_source_ages(&self, news: &PeerGossip, ages: &SourceAges, reads: &SourceReads) {
        let now = self.now();
        let as_of = |told: Option<EncodedAge>| told.map(|told| now - told.age());
        if self.pending_removals.borrow().is_empty() {
            let claim = Claim {
                revision: news.directory,
                as_of: as_of(ages.directory),
                read: reads.directory,
            };
            self.take_directory_claim(claim);
        }
        if news.configuration > 0 {
            self.take_configuration_claim(Claim {
                revision: news.configuration,
                as_of: as_of(ages.configuration),
                read: reads.configuration,
            });
        }
    }

    fn take_directory_claim(&self, claim: Claim) {
        let (known, budget) = (self.directory_revision(), self.directory_budget());
        let directory = &self.freshness.directory;
        if directory.take(claim, known, &budget, self.now()) {
            self.push_due.notify_one();
        }
    }

    fn take_configuration_claim(&self, claim: Claim) {
        let (known, budget) = (self.configuration_version(), self.configuration_budget());
        let configuration = &self.freshness.configuration;
        if configuration.take(claim, known, &budget, self.now()) {
            self.push_due.notify_one();
        }
    }

    /// Knowledge was fetched: what a peer told of it before holds now.
    pub(crate) fn apply_peer_claims(&self) {
        if let Some(claim) = self.freshness.directory.claim.get() {
            self.take_directory_claim(claim);
        }
        if let Some(claim) = self.freshness.configuration.claim.get() {
            self.take_configuration_claim(claim);
        }
    }

    /// The age of the directory for logs, in milliseconds.
    pub(crate) fn directory_age_text(&self) -> String {
        self.directory_age()
            .map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
    }

    /// Says so when a departure may have been missed for longer than back ends that leave may
    /// get requests.
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
                self.store_lost.get(),
            );
        }
    }
}
