//! Estimate of the requests in flight at a back end, from this router and from others.

use std::collections::VecDeque;
use std::time::Duration;

use crate::direct::back_ends::peer_counts::PeerCounts;
use crate::direct::back_ends::survival::Survival;
use crate::time::Time;

/// Maximum age of a reported load that is combined with fresh counts from peers. Back ends
/// report their load while they are busy, so that older reports bias the mean load upwards.
const MAX_REPORT_AGE_BESIDE_PEER_COUNTS: Duration = Duration::from_millis(300);

/// Maximum age of a reported load that replaces the counts of the routers. In a fleet of 330
/// routers, 95 of 100 reports are younger than 2.6 s.
pub const MAX_REPORTED_LOAD_AGE: Duration = Duration::from_millis(5000);

/// Load that a back end last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastReportedLoad {
    /// Requests running and waiting at the back end, from all routers.
    pub requests: u32,
    /// Requests among these that are from other routers.
    pub from_peers: f64,
    /// Whether it came in a response to another router, so that it includes the request that was
    /// answered there.
    pub is_relayed: bool,
    /// Time of the report.
    pub at: Time,
}

/// What is known of the requests of other routers at a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromPeers {
    /// Requests that the back end reported.
    Reported(f64),
    /// Requests that the other routers counted.
    Counted {
        /// Those that are expected to be running still.
        remaining: f64,
        /// Those that are expected to have ended. The requests that follow them may be at any member
        /// of the pool.
        ended: f64,
        /// Requests that the back end reported very recently; 0 without such a report.
        at_least: f64,
    },
}

impl FromPeers {
    /// Requests that peers counted and that have ended.
    pub fn ended(&self) -> f64 {
        match self {
            FromPeers::Reported(_) => 0.0,
            FromPeers::Counted { ended, .. } => *ended,
        }
    }

    /// Expected requests, where this many followed the ended ones there; a report includes them.
    pub fn expected(&self, followers: f64) -> f64 {
        match self {
            FromPeers::Reported(requests) => *requests,
            FromPeers::Counted {
                remaining,
                at_least,
                ..
            } => (remaining + followers).max(*at_least),
        }
    }
}

/// Start or end of a request of this router at a back end.
#[derive(Clone, Copy, Debug)]
struct InFlightChange {
    sent: bool,
    at: Time,
}

/// Requests in flight at a back end, as far as this router knows.
#[derive(Clone, Debug, Default)]
pub struct BackEndLoad {
    /// Requests of this router.
    pub in_flight: u32,
    /// Requests of other routers, by their own last counts.
    pub peer_counts: PeerCounts,
    /// Whether the peers' counts are as recent as reports of the back end.
    pub peer_counts_are_fresh: bool,
    last_report: Option<LastReportedLoad>,
    /// Recent starts and ends of this router's requests, from which follows how many were in
    /// flight at the time of a report.
    changes: VecDeque<InFlightChange>,
}

impl BackEndLoad {
    /// Estimated requests in flight from all routers: this router's own plus those of the others,
    /// with the peers' counts as they were told.
    pub fn estimate(&self, now: Time) -> f64 {
        let from_peers = self.from_peers(&Survival::default(), now);
        f64::from(self.in_flight) + from_peers.expected(0.0)
    }

    /// What is known of the requests of other routers. A small fleet uses the peers' counts, or a very
    /// recent report of the back end if that is higher; a large fleet, where the peers' counts are
    /// seconds old, uses the last report of the back end to any router, or the peers' counts if there
    /// is no recent report.
    pub fn from_peers(&self, survival: &Survival, now: Time) -> FromPeers {
        let report = self.reported(now);
        let recent = match report {
            Some(report) if !self.peer_counts_are_fresh => {
                return FromPeers::Reported(report.from_peers);
            }
            report => {
                report.filter(|report| now.since(report.at) < MAX_REPORT_AGE_BESIDE_PEER_COUNTS)
            }
        };
        let remaining = self.peer_counts.remaining(survival, now);
        FromPeers::Counted {
            remaining,
            ended: self.peer_counts.told() - remaining,
            at_least: recent.map_or(0.0, |report| report.from_peers),
        }
    }

    /// Estimated requests in flight from other routers, without the one whose response told the load;
    /// `None` if nothing is known of other routers. A load that is told in responses is higher
    /// by that one request than the load at a random time.
    pub fn usual_from_peers(&self, now: Time) -> Option<f64> {
        self.estimate_age(now)?;
        let from_peers = self.estimate(now) - f64::from(self.in_flight);
        let report = self.reported(now).filter(|_| !self.peer_counts_are_fresh);
        let answered = report.is_some_and(|report| report.is_relayed);
        Some((from_peers - f64::from(u8::from(answered))).max(0.0))
    }

    /// Last reported load, if it is not too old.
    pub fn reported(&self, now: Time) -> Option<LastReportedLoad> {
        let report = self.last_report?;
        (now.since(report.at) < MAX_REPORTED_LOAD_AGE).then_some(report)
    }

    /// Age of the last reported load; `None` if there is none or the peers' counts are used
    /// instead.
    pub fn reported_age(&self, now: Time) -> Option<Duration> {
        let report = self.reported(now)?;
        (!self.peer_counts_are_fresh).then(|| now.since(report.at))
    }

    /// Age of the data behind the estimate; `None` if there are neither fresh counts from peers
    /// nor a recent report.
    pub fn estimate_age(&self, now: Time) -> Option<Duration> {
        if self.peer_counts_are_fresh {
            return Some(Duration::ZERO);
        }
        self.reported_age(now)
    }

    /// Records a load that the back end reported at time `at`; `requests` includes those of
    /// this router. A report older than the last one is ignored.
    pub fn on_report(&mut self, requests: u32, at: Time) {
        self.take_report(requests, at, false);
    }

    /// Records a load that the back end reported to another router at time `at`. A report older than
    /// the last one is ignored.
    pub fn on_relayed_report(&mut self, requests: u32, at: Time) {
        self.take_report(requests, at, true);
    }

    fn take_report(&mut self, requests: u32, at: Time, is_relayed: bool) {
        if self.last_report.is_some_and(|known| known.at >= at) {
            return;
        }
        self.last_report = Some(LastReportedLoad {
            requests,
            from_peers: f64::from(requests.saturating_sub(self.in_flight_at(at))),
            is_relayed,
            at,
        });
    }

    /// Requests of this router that were in flight at a recent time.
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

    fn record_change(&mut self, sent: bool, now: Time) {
        while let Some(first) = self.changes.front() {
            if now.since(first.at) < MAX_REPORTED_LOAD_AGE {
                break;
            }
            self.changes.pop_front();
        }
        self.changes.push_back(InFlightChange { sent, at: now });
    }

    /// Records that a request was sent to the back end.
    pub fn on_send(&mut self, now: Time) {
        self.in_flight += 1;
        self.record_change(true, now);
    }

    /// Records that a request at the back end ended or was given up.
    pub fn on_end(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_change(false, now);
    }
}
