//! Byte budget of control traffic: one token bucket for both directions.

use crate::time::Time;

/// Bytes per second that a process may spend on control traffic, sent and received together,
/// headers included. Together with the burst it stays under the required limit of 2 KB per second
/// over any ten seconds.
pub const DEFAULT_BYTES_PER_SECOND: f64 = 1_750.0;

/// Maximum burst, in seconds of the budget's rate.
const BURST_SECONDS: f64 = 1.0;

/// Token bucket of bytes. Received bytes are always charged, so the balance may be negative; nothing
/// is sent until it has recovered.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    balance_bytes: f64,
    refilled_at: Time,
    sent: u64,
    received: u64,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: f64, now: Time) -> Self {
        ByteBudget {
            bytes_per_second,
            balance_bytes: bytes_per_second * BURST_SECONDS,
            refilled_at: now,
            sent: 0,
            received: 0,
        }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: Time) -> usize {
        let refill_bytes = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        self.balance_bytes =
            (self.balance_bytes + refill_bytes).min(self.bytes_per_second * BURST_SECONDS);
        self.refilled_at = now;
        self.balance_bytes.max(0.0) as usize
    }

    /// Charges bytes to be sent; false, without a charge, if the budget does not suffice.
    pub fn try_send(&mut self, now: Time, bytes: usize) -> bool {
        if self.available(now) < bytes {
            return false;
        }
        self.balance_bytes -= bytes as f64;
        self.sent += bytes as u64;
        true
    }

    /// Charges received bytes.
    pub fn charge_received(&mut self, now: Time, bytes: usize) {
        self.available(now);
        self.balance_bytes -= bytes as f64;
        self.received += bytes as u64;
    }

    /// Bytes sent and bytes received since the start.
    pub fn totals(&self) -> (u64, u64) {
        (self.sent, self.received)
    }
}
