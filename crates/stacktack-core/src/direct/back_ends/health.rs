//! How well back ends stand, each against the other members of its pool.

/// Share of a pool above which accusations are not believed: then something else
/// is wrong.
const ACCUSED_SHARE: f64 = 0.34;

/// How well a back end stands; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// Nothing speaks against it.
    Good,
    /// It fails or is slow clearly more often than its pool.
    Degraded,
    /// It is silent, or connections to it fail.
    Ejected,
}

impl Health {
    /// Fixed word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Good => "good",
            Health::Degraded => "degraded",
            Health::Ejected => "ejected",
        }
    }
}

/// What a router saw of one member of a pool, as far as others are compared with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberStats {
    /// Share of its outcomes of late that were failures.
    pub(crate) failure_share: f64,
    /// Its usual time to the first byte.
    pub(crate) first_byte_seconds: Option<f64>,
    /// Whether peers accuse it.
    pub(crate) is_accused: bool,
}

/// What is usual in a pool.
pub(crate) struct PoolMedians {
    /// Failure share of the middle member.
    pub(crate) failure_share: f64,
    /// Time to the first byte of the middle member.
    pub(crate) first_byte_seconds: Option<f64>,
    /// Whether so few members are accused that accusations are believed.
    pub(crate) believes_accusations: bool,
}

impl PoolMedians {
    /// What is usual among these members.
    pub(crate) fn of(members: impl Iterator<Item = MemberStats>) -> Self {
        let members: Vec<MemberStats> = members.collect();
        let shares = members.iter().map(|member| member.failure_share);
        let latencies = members
            .iter()
            .filter_map(|member| member.first_byte_seconds);
        let accused = members.iter().filter(|member| member.is_accused).count();
        PoolMedians {
            failure_share: middle(shares.collect()).unwrap_or(0.0),
            first_byte_seconds: middle(latencies.collect()),
            believes_accusations: accused as f64 <= members.len() as f64 * ACCUSED_SHARE,
        }
    }
}

/// The middle one of some values.
fn middle(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let index = values.len() / 2;
    let (_, middle, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*middle)
}
