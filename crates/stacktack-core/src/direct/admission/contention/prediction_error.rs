//! Error of predicted times to the first event.
//!
//! Where an overload begins, responses come late and say so late. Requests whose first event is
//! overdue count too, with the error that they have so far.

use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::time::Time;

/// Time constant over which errors are learned: backlogs come and go within a second.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// Maximum error that counts, in seconds: a few requests that hang at a failed back end say nothing
/// about the others.
const MAX_ERROR: f64 = 0.5;

/// Time by which a request may be overdue to count. One that is later hangs.
const MAX_OVERDUE: f64 = 1.0;

/// Number of exact predictions that are assumed to have been seen before.
const ASSUMED_EXACT: f64 = 1.0;

/// Share of the expected time that the margin is at least, as long as little is known.
const ASSUMED_ERROR_SHARE: f64 = 0.25;

/// A request whose first event has not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    number: u64,
    sent_at: Time,
    predicted: Duration,
}

/// Expected time to the first event of a request that is not sent yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedFirstEvent {
    /// The prediction without its usual error.
    pub after: Duration,
    /// Time by which the event may come earlier or later.
    pub margin: Duration,
}

/// Errors of the predictions for a pool at one router.
#[derive(Clone, Debug)]
pub struct PredictionError {
    sent: u64,
    awaited: Vec<Expectation>,
    observations: DecayingRate,
    /// Sum of actual minus predicted times, in seconds.
    errors: DecayingRate,
    /// Sum of the distances from the mean error, in seconds.
    distances: DecayingRate,
}

impl Default for PredictionError {
    fn default() -> Self {
        PredictionError {
            sent: 0,
            awaited: Vec::new(),
            observations: DecayingRate::new(LEARNING_TIME),
            errors: DecayingRate::new(LEARNING_TIME),
            distances: DecayingRate::new(LEARNING_TIME),
        }
    }
}

impl PredictionError {
    /// A request was sent for which this time to the first event was predicted.
    pub fn on_sent(&mut self, predicted: Duration, now: Time) -> Expectation {
        self.sent += 1;
        let expectation = Expectation {
            number: self.sent,
            sent_at: now,
            predicted,
        };
        self.awaited.push(expectation);
        expectation
    }

    /// The first event of a response came. One that comes after a hang, overdue by more than the
    /// predicted time and [`MAX_OVERDUE`], does not count.
    pub fn on_first_event(&mut self, expectation: Expectation, now: Time) {
        self.on_end(expectation);
        let error = expectation.error(now);
        if error >= MAX_OVERDUE + expectation.predicted.as_secs_f64() {
            return;
        }
        let error = error.clamp(-MAX_ERROR, MAX_ERROR);
        let distance = (error - self.mean(now)).abs();
        self.observations.count(1.0, now);
        self.errors.count(error, now);
        self.distances.count(distance, now);
    }

    /// A request ended, with or without its first event.
    pub fn on_end(&mut self, expectation: Expectation) {
        self.awaited
            .retain(|known| known.number != expectation.number);
    }

    /// Corrects a prediction by the errors of recent ones.
    pub fn expected(&self, predicted: Duration, now: Time) -> ExpectedFirstEvent {
        let after = (predicted.as_secs_f64() + self.mean(now)).max(predicted.as_secs_f64() / 2.0);
        let count = self.observations.decayed_count(now);
        let assumed = ASSUMED_EXACT * ASSUMED_ERROR_SHARE * after;
        let spread = (self.distances.decayed_count(now) + assumed) / (count + ASSUMED_EXACT);
        ExpectedFirstEvent {
            after: Duration::from_secs_f64(after),
            margin: Duration::from_secs_f64(spread),
        }
    }

    /// Mean error in seconds, positive if first events come later than predicted.
    fn mean(&self, now: Time) -> f64 {
        let overdue = self.awaited.iter().map(|sent| sent.error(now));
        let overdue = overdue.filter(|error| (0.0..MAX_OVERDUE).contains(error));
        let (count, sum) = overdue.fold((0.0, 0.0), |(count, sum), error| {
            (count + 1.0, sum + error.min(MAX_ERROR))
        });
        let observed = self.observations.decayed_count(now);
        (self.errors.decayed_count(now) + sum) / (observed + count + ASSUMED_EXACT)
    }
}

impl Expectation {
    /// Error in seconds if the first event came now.
    fn error(&self, now: Time) -> f64 {
        now.since(self.sent_at).as_secs_f64() - self.predicted.as_secs_f64()
    }
}
