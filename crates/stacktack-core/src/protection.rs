//! Protections that a test scenario can disable to show that it detects their
//! absence.
//!
//! The binaries always run with all protections enabled; only the emulator
//! disables one.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

macro_rules! protections {
    ($($(#[$doc:meta])* $name:ident => $text:literal,)*) => {
        /// A mechanism that guards an invariant of the fleet.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Protection {
            $($(#[$doc])* $name,)*
        }

        impl Protection {
            /// All protections.
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

protections! {
    /// Responses are matched to requests by request and attempt.
    AttemptMatching => "attempt-matching",
    /// Pieces of a response are accepted only in order.
    PieceOrder => "piece-order",
    /// An unknown attempt is recorded as refused (a tombstone) before its fate is
    /// reported as not run.
    Tombstone => "tombstone",
    /// A router that gets no message about an attempt asks for its fate instead
    /// of assuming one.
    FateQuery => "fate-query",
    /// An attempt that may have run is retried only if its request is repeatable.
    NoRepeat => "no-repeat",
    /// An idempotency key is claimed by a conditional write before its request
    /// runs.
    KeyClaim => "key-claim",
    /// A lost reply to a claim is resolved by reading the row.
    ClaimReread => "claim-reread",
    /// A draining agent refuses new work.
    DrainRefusal => "drain-refusal",
    /// A stopping process waits for its requests in flight.
    DrainWait => "drain-wait",
    /// Agents refuse work that exceeds the load bound.
    LoadBound => "load-bound",
    /// Agents refuse offers of routers whose configuration is older.
    StaleRefusal => "stale-refusal",
    /// The configuration version of a process only rises.
    VersionRise => "version-rise",
    /// A configuration change is accepted by a conditional write.
    ConditionalHead => "conditional-head",
    /// The holder of a lease stops acting before the lease may expire.
    LeaseMargin => "lease-margin",
    /// Agents refuse orders of an older lease epoch.
    OrderFence => "order-fence",
    /// Retries stay within the tenant's budget.
    RetryBudget => "retry-budget",
}

/// No protection has this name; holds the name and the allowed names.
#[derive(Debug, Error)]
#[error("unknown protection {0}; allowed: {1}")]
pub struct UnknownProtection(String, String);

impl FromStr for Protection {
    type Err = UnknownProtection;

    fn from_str(text: &str) -> Result<Self, UnknownProtection> {
        let found = Protection::ALL
            .iter()
            .find(|protection| protection.to_string() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<String> = Protection::ALL.iter().map(Protection::to_string).collect();
            UnknownProtection(text.to_string(), names.join(", "))
        })
    }
}

/// Set of enabled protections; all by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Protections {
    disabled: Option<Protection>,
}

impl Protections {
    /// Enables all protections but one.
    pub fn without(protection: Protection) -> Self {
        Protections {
            disabled: Some(protection),
        }
    }

    /// Whether a protection is enabled.
    pub fn is_enabled(&self, protection: Protection) -> bool {
        self.disabled != Some(protection)
    }
}
