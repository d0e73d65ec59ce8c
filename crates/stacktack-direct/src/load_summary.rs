//! What a router believes of the loads of a pool, for logs.

use std::fmt;
use std::time::Duration;

use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::time::Time;

/// Age from which a load is stale: most of the requests that it counts have ended. Answers
/// of language models take about as long.
const STALE: Duration = Duration::from_secs(1);

/// What is believed of the loads of a pool.
#[derive(Debug, Default)]
pub struct LoadSummary {
    /// Back ends.
    back_ends: usize,
    /// Those that told their load of late.
    pub known: usize,
    /// Requests at them, as told and counted.
    requests: f64,
    /// Those whose load was told long ago.
    pub stale: usize,
    /// The highest load among these: its back end, requests and age.
    highest_stale: Option<(String, f64, Duration)>,
}

impl LoadSummary {
    /// The summary of a pool's members.
    pub fn of<'a>(members: impl Iterator<Item = &'a BackEnd>, now: Time) -> Self {
        let mut summary = LoadSummary::default();
        for member in members {
            summary.back_ends += 1;
            if let Some(told) = member.load.reported(now) {
                summary.add(member, now.since(told.at), now);
            }
        }
        summary
    }

    fn add(&mut self, member: &BackEnd, age: Duration, now: Time) {
        let load = member.load.estimate(now);
        self.known += 1;
        self.requests += load;
        if age < STALE {
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
        let mean = self.requests / self.known.max(1) as f64;
        write!(
            formatter,
            "back_ends={} known={} mean={mean:.1} stale={}",
            self.back_ends, self.known, self.stale
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
