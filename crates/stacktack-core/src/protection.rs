//! Protections that a scenario can switch off, to show that it would notice.
//!
//! The binaries always run with every protection on; only the emulator hands
//! in a set with one missing.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

macro_rules! rules {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// One protection.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Protection {
            $($(#[$doc])* $name,)*
        }

        impl Protection {
            /// Every rule.
            pub const ALL: &'static [Protection] = &[$(Protection::$name,)*];
        }

        impl fmt::Display for Protection {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(match self {
                    $(Protection::$name => $text,)*
                })
            }
        }
    };
}

rules! {
    /// Answers are matched on request and attempt.
    AttemptMatching => "attempt-matching",
    /// Pieces of an answer are accepted only in order.
    PieceOrder => "piece-order",
    /// An unseen attempt is tombstoned before it is called not run.
    Tombstone => "tombstone",
    /// A router that hears nothing asks the fate instead of assuming.
    FateQuery => "fate-query",
    /// An attempt that may have run is not repeated unless it is repeatable.
    NoRepeat => "no-repeat",
    /// An idempotency key is claimed by a conditional write before it runs.
    KeyClaim => "key-claim",
    /// A lost reply to a claim is settled by reading the row.
    ClaimReread => "claim-reread",
    /// A draining agent refuses new work.
    DrainRefusal => "drain-refusal",
    /// A stopping process waits for what is in flight.
    DrainWait => "drain-wait",
    /// Agents refuse load over the bound.
    LoadBound => "load-bound",
    /// Agents refuse routers whose configuration is older.
    StaleRefusal => "stale-refusal",
    /// Configuration versions only rise in a process.
    VersionRise => "version-rise",
    /// Acceptance of a change is a conditional write.
    ConditionalHead => "conditional-head",
    /// A holder stops before its lease may lapse.
    LeaseMargin => "lease-margin",
    /// Agents refuse orders of an older epoch.
    OrderFence => "order-fence",
    /// Retries stay within the tenant's budget.
    RetryBudget => "retry-budget",
    /// A request given up on is answered at once.
    AnswerAtOnce => "answer-at-once",
}

/// No rule has this name.
#[derive(Debug, Error)]
#[error("{0} is no rule; allowed: {1}")]
pub struct UnknownProtection(String, String);

impl FromStr for Protection {
    type Err = UnknownProtection;

    fn from_str(text: &str) -> Result<Self, UnknownProtection> {
        let found = Protection::ALL.iter().find(|rule| rule.to_string() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<String> = Protection::ALL.iter().map(Protection::to_string).collect();
            UnknownProtection(text.to_string(), names.join(", "))
        })
    }
}

/// The protections in force. Default: all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Protections {
    disabled: Option<Protection>,
}

impl Protections {
    /// All but one.
    pub fn without(rule: Protection) -> Self {
        Protections {
            disabled: Some(rule),
        }
    }

    /// Whether a rule is in force.
    pub fn is_enabled(&self, rule: Protection) -> bool {
        self.disabled != Some(rule)
    }
}
