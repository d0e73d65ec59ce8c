//! How new what this router knows of the directory is.

use std::time::Duration;

use crate::router::Router;

impl Router {
    /// What is known of the directory was all that it held so long ago, or later.
    pub(crate) fn note_directory_age(&self, age: Duration) {
        let mut freshness = self.directory_freshness.get();
        freshness.note(self.now() - age);
        self.directory_freshness.set(freshness);
    }

    /// Age of what is known of the directory; `None` before the first answer.
    pub fn directory_age(&self) -> Option<Duration> {
        self.directory_freshness.get().age(self.now())
    }

    /// The age for logs, in milliseconds.
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
