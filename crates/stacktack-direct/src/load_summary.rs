//! Summary of the loads of a pool, for logs.

use std::fmt;
use std::time::Duration;

use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::time::Time;

/// Age from which a reported load is stale: most of the requests that it counts have ended, because
/// responses of language models take about as long.
const STALE_LOAD_AGE: Duration = Duration::from_secs(1);

/// Loads of a pool, as far as known.
#[derive(Debug, Default)]
pub struct LoadSummary {
    /// Number of back ends.
    back_ends: usize,
    /// Number of back ends whose load was reported recently.
    pub reported: usize,
    /// Sum of their estimated loads, in requests.
    requests: f64,
    /// Number of back ends whose reported load is stale.
    pub stale: usize,
    /// The highest load among the stale ones: its back end, requests and age.
    highest_stale: Option<(String, f64, Duration)>,
}

impl LoadSummary {
    /// Summary of the members of a pool.
    pub fn of<'a>(members: impl Iterator<Item = &'a BackEnd>, now: Time) -> Self {
        let mut summary = LoadSummary::default();
        for member in members {
            summary.back_ends += 1;
            if let Some(report) = member.load.reported(now) {
                summary.add(member, now.since(report.at), now);
            }
        }
        summary
    }

    fn add(&mut self, member: &BackEnd, age: Duration, now: Time) {
        let load = member.load.estimate(now);
        self.reported += 1;
        self.requests += load;
        if age < STALE_LOAD_AGE {
            return;
        }
        self.stale += 1;
        let highest = self.highest_stale.as_ref();
        if highest.is_none_or(|(_, highest, _)| load > *highest) {
            self.highest_stale = Some((member.entry.id.clone(), load, age));
        }
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = self.requests / self.reported.max(1) as f64;
        write!(
            formatter,
            "back_ends={} known={} mean={mean:.1} stale={}",
            self.back_ends, self.reported, self.stale
        )?;
        match &self.highest_stale {
            Some((id, load, age)) => write!(
                formatter,
                " highest_stale={id} load={load:.1} age_ms={}",
                age.as_millis()
            ),
            None => write!(formatter, " highest_stale=-"),
        }
    }
}
