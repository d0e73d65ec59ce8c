//! Health of back ends, each compared with the other members of its pool.

/// Share of a pool's members above which suspect reports are ignored: when so many members are
/// reported, the fault lies elsewhere.
const MAX_SUSPECT_SHARE: f64 = 0.34;

/// Outlier-detection state of a back end; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// No sign of a fault.
    Good,
    /// Degraded or ejected, but due for a trial: it may take a request that finds all good members
    /// at their load bound.
    TrialDue,
    /// Clearly more failures or a clearly longer time to the first byte than the pool, or
    /// reported as suspect by peers.
    Degraded,
    /// Silent, or unreachable in the last attempts.
    Ejected,
}

impl Health {
    /// Fixed text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Good => "good",
            Health::TrialDue => "trial_due",
            Health::Degraded => "degraded",
            Health::Ejected => "ejected",
        }
    }
}

/// Statistics of one pool member that enter the medians of the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberStats {
    /// Moving average of the share of its outcomes that are failures.
    pub(crate) failure_share: f64,
    /// Moving average of its time to the first byte, in seconds.
    pub(crate) first_byte_seconds: Option<f64>,
    /// Whether enough peers report it as suspect.
    pub(crate) is_reported_suspect: bool,
}

/// Median values of a pool's members, against which each member is compared.
pub(crate) struct PoolMedians {
    /// Median failure share.
    pub(crate) failure_share: f64,
    /// Median time to the first byte, in seconds.
    pub(crate) first_byte_seconds: Option<f64>,
    /// Whether so few members are reported as suspect that the reports count.
    pub(crate) trusts_suspect_reports: bool,
}

impl PoolMedians {
    /// Computes the medians of these members.
    pub(crate) fn of(members: impl Iterator<Item = MemberStats>) -> Self {
        let members: Vec<MemberStats> = members.collect();
        let shares = members.iter().map(|member| member.failure_share);
        let latencies = members
            .iter()
            .filter_map(|member| member.first_byte_seconds);
        let suspects = members
            .iter()
            .filter(|member| member.is_reported_suspect)
            .count();
        PoolMedians {
            failure_share: median(shares.collect()).unwrap_or(0.0),
            first_byte_seconds: median(latencies.collect()),
            trusts_suspect_reports: suspects as f64 <= members.len() as f64 * MAX_SUSPECT_SHARE,
        }
    }
}

/// Median of the values; the upper one of the two middle values for an even number of them.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let index = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*median)
}
