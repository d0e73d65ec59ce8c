//! How new what this router knows of its sources is, by its own reads and by what peers tell.

use std::cell::Cell;
use std::time::Duration;

use stacktack_core::direct::peers::knowledge_age::{KnowledgeAges, ToldAge};
use stacktack_core::direct::peers::peer_news::PeerNews;
use stacktack_core::direct::sources::freshness::Freshness;
use stacktack_core::direct::sources::news_budget::NewsBudget;

use crate::router::Router;

/// How new what is known of each source is.
#[derive(Debug, Default)]
pub(crate) struct KnownFreshness {
    directory: Cell<Freshness>,
    configuration: Cell<Freshness>,
}

impl Router {
    /// What is known of the directory was all that it held so long ago, or later.
    pub(crate) fn note_directory_age(&self, age: Duration) {
        self.note_age(&self.freshness.directory, age);
    }

    /// What is known of the configuration was all that there was so long ago, or later.
    pub(crate) fn note_configuration_age(&self, age: Duration) {
        self.note_age(&self.freshness.configuration, age);
    }

    fn note_age(&self, known: &Cell<Freshness>, age: Duration) {
        let mut freshness = known.get();
        freshness.note(self.now() - age);
        known.set(freshness);
    }

    /// Age of what is known of the directory; `None` before the first answer.
    pub fn directory_age(&self) -> Option<Duration> {
        self.freshness.directory.get().age(self.now())
    }

    /// Age of what is known of the configuration; `None` before the first answer.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness.configuration.get().age(self.now())
    }

    /// The time in which a departure has to be acted upon.
    pub(crate) fn directory_budget(&self) -> NewsBudget {
        NewsBudget::new(self.bounds().leave)
    }

    /// The time in which a configuration has to be acted upon.
    pub(crate) fn configuration_budget(&self) -> NewsBudget {
        NewsBudget::new(self.bounds().configuration)
    }

    /// Ages to tell peers.
    pub fn told_ages(&self) -> KnowledgeAges {
        // While a departure is held, more than what is told as known has been heard.
        let decided = self.held_departures.borrow().is_empty();
        let directory = self.directory_age().filter(|_| decided);
        KnowledgeAges {
            directory: directory.and_then(ToldAge::new),
            configuration: self.configuration_age().and_then(ToldAge::new),
        }
    }

    /// Takes how new a peer's knowledge is, where this router knows the same: more than that
    /// has to be fetched first, and less says nothing.
    pub fn take_ages(&self, news: &PeerNews, ages: &KnowledgeAges) {
        let same_directory = news.directory > 0 && news.directory == self.directory_revision();
        let decided = self.held_departures.borrow().is_empty();
        if let Some(told) = ages.directory.filter(|_| same_directory && decided) {
            self.note_directory_age(told.age());
        }
        let same_version = news.configuration > 0 && news.configuration == self.version();
        if let Some(told) = ages.configuration.filter(|_| same_version) {
            self.note_configuration_age(told.age());
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
        if age >= self.bounds().leave {
            log::warn!(
                target: "directory",
                "stale=true age_ms={} revision={} held={} store_lost={}",
                age.as_millis(),
                self.directory_changed.get(),
                self.held_departures.borrow().len(),
                self.store_lost.get(),
            );
        }
    }
}
