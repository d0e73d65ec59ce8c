//! Requests in flight at a back end, of this router and of others.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Age up to which the load that a back end told counts beside the peers' counts,
/// where these are fresh: loads are told while a back end is busy, so that older ones
/// make the mean look higher than it is.
const TOLD_BESIDE_COUNTS: Duration = Duration::from_millis(300);

/// Age up to which the load that a back end told counts in place of what routers
/// count themselves: in a fleet of 330 routers 95 of 100 are younger than 2.6 s
/// (`tests/load_news.rs`).
pub const TOLD_LOAD_AGE: Duration = Duration::from_millis(5000);

/// What a back end told of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldLoad {
    /// Requests that it ran and held, from all routers.
    pub requests: u32,
    /// Those of them that are not this router's.
    pub elsewhere: f64,
    /// When it told.
    pub at: Time,
}

/// Age over which a load that a back end told loses most of its weight in what is usual there.
const USUAL_OVER: Duration = Duration::from_secs(6);

/// What a back end told of its load of late, each with a weight that falls with its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualLoad {
    /// Sum of the weights.
    pub weight: f64,
    /// Requests that it held in the mean.
    pub requests: f64,
}

impl UsualLoad {
    /// The same when so much time has passed.
    fn after(self, time: Duration) -> Self {
        let kept = (-time.as_secs_f64() / USUAL_OVER.as_secs_f64()).exp();
        UsualLoad {
            weight: self.weight * kept,
            ..self
        }
    }

    /// With one more load that it told.
    fn with(self, requests: u32) -> Self {
        // A load that is told counts the request that is being answered.
        let told = f64::from(requests.saturating_sub(1));
        let weight = self.weight + 1.0;
        UsualLoad {
            weight,
            requests: self.requests + (told - self.requests) / weight,
        }
    }

    /// The mean with one more report of this weight.
    pub fn drawn_to(&self, requests: f64, weight: f64) -> f64 {
        (self.requests * self.weight + requests * weight) / (self.weight + weight)
    }
}

/// A request of this router was sent to a back end or ended there.
#[derive(Clone, Copy, Debug)]
struct InFlightChange {
    sent: bool,
    at: Time,
}

/// Requests in flight at a back end, as far as known.
#[derive(Clone, Debug, Default)]
pub struct BackEndLoad {
    /// Requests of this router in flight there.
    pub in_flight: u32,
    /// Requests of other routers in flight there, as they last told.
    pub in_flight_elsewhere: f64,
    /// Whether what they told is as new as what the back end tells.
    pub elsewhere_is_fresh: bool,
    last_told: Option<ToldLoad>,
    /// As of the newest load that it told.
    usual: UsualLoad,
    /// When a request of this router last came whose home it is.
    last_home_request: Option<Time>,
    /// Sends and ends of late, to know what was in flight when a load was told.
    changes: VecDeque<InFlightChange>,
}

impl BackEndLoad {
    /// Requests in flight there from all routers, as far as known. In a small fleet
    /// that is the more of what the peers count and of what the back end told a
    /// moment ago; in a large one, where the peers' counts are seconds old, what the
    /// back end told of late to any router.
    pub fn believed(&self, now: Time) -> f64 {
        let told = self.told(now);
        let elsewhere = match told {
            Some(told) if !self.elsewhere_is_fresh => told.elsewhere,
            Some(told) if now.since(told.at) < TOLD_BESIDE_COUNTS => {
                told.elsewhere.max(self.in_flight_elsewhere)
            }
            _ => self.in_flight_elsewhere,
        };
        f64::from(self.in_flight) + elsewhere
    }

    /// What it told of its load, if that still counts.
    pub fn told(&self, now: Time) -> Option<ToldLoad> {
        let told = self.last_told?;
        (now.since(told.at) < TOLD_LOAD_AGE).then_some(told)
    }

    /// Requests that it held in the mean of late.
    pub fn usual(&self, now: Time) -> UsualLoad {
        let since = self
            .last_told
            .map_or(Duration::ZERO, |told| now.since(told.at));
        self.usual.after(since)
    }

    /// A request came whose home it is, whether it was sent there or not.
    pub fn on_home_request(&mut self, now: Time) {
        self.last_home_request = Some(now);
    }

    /// Time since a request came whose home it is; `None` before the first.
    pub fn since_home_request(&self, now: Time) -> Option<Duration> {
        self.last_home_request.map(|last| now.since(last))
    }

    /// Age of what it told of its load, where that is believed.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let told = self.told(now)?;
        (!self.elsewhere_is_fresh).then(|| now.since(told.at))
    }

    /// Age of what is known of its load; `None` where that is the own requests only.
    pub fn news_age(&self, now: Time) -> Option<Duration> {
        if self.elsewhere_is_fresh {
            return Some(Duration::ZERO);
        }
        self.age(now)
    }

    /// The back end told, at a time, all that it runs and holds, this router's
    /// among it. Older news than what is known is left out.
    pub fn on_told(&mut self, requests: u32, at: Time) {
        if self.last_told.is_some_and(|known| known.at >= at) {
            return;
        }
        let since = self
            .last_told
            .map_or(Duration::ZERO, |known| at.since(known.at));
        self.usual = self.usual.after(since).with(requests);
        self.last_told = Some(ToldLoad {
            requests,
            elsewhere: f64::from(requests.saturating_sub(self.in_flight_at(at))),
            at,
        });
    }

    /// Requests of this router that were in flight there at a time of late.
    fn in_flight_at(&self, at: Time) -> u32 {
        let since = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change.at > at);
        since.fold(self.in_flight, |count, change| {
            if change.sent {
                count.saturating_sub(1)
            } else {
                count + 1
            }
        })
    }

    fn note_change(&mut self, sent: bool, now: Time) {
        while let Some(first) = self.changes.front() {
            if now.since(first.at) < TOLD_LOAD_AGE {
                break;
            }
            self.changes.pop_front();
        }
        self.changes.push_back(InFlightChange { sent, at: now });
    }

    /// A request was sent there.
    pub fn on_send(&mut self, now: Time) {
        self.in_flight += 1;
        self.note_change(true, now);
    }

    /// A request there ended or was given up.
    pub fn on_end(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_change(false, now);
    }
}
