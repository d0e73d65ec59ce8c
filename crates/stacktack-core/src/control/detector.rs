//! Failure detection by direct and indirect pings, as in SWIM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use stacktack_wire::gossip::Body;
use stacktack_wire::identity::NodeId;

use crate::time::Time;

/// Number of members that are asked to ping a member that did not acknowledge a direct ping.
pub const INDIRECT_PINGS: usize = 2;

/// Time to wait for the acknowledgement of a direct ping before other members are asked.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time from a direct ping after which a member without acknowledgement is suspected.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Ping {
    target: NodeId,
    sent_at: Time,
    indirect_sent: bool,
}

#[derive(Debug)]
struct RelayedPing {
    requester: SocketAddr,
    requester_number: u32,
    target: NodeId,
    at: Time,
}

/// Pings that wait for an acknowledgement.
#[derive(Debug, Default)]
pub struct FailureDetector {
    next_number: u32,
    pings: HashMap<u32, Ping>,
    relays: HashMap<u32, RelayedPing>,
}

impl FailureDetector {
    /// Starts a direct ping and returns its message.
    pub fn ping(&mut self, now: Time, target: NodeId) -> Body {
        let number = self.next_ping_number();
        self.pings.insert(
            number,
            Ping {
                target,
                sent_at: now,
                indirect_sent: false,
            },
        );
        Body::Ping { number }
    }

    /// Starts a ping on behalf of another member and returns its message.
    pub fn relay(
        &mut self,
        now: Time,
        requester: SocketAddr,
        target: NodeId,
        requester_number: u32,
    ) -> Option<Body> {
        self.relays
            .retain(|_, relay| now.since(relay.at) < TOTAL_TIMEOUT);
        let number = self.next_ping_number();
        let relay = RelayedPing {
            requester,
            requester_number,
            target,
            at: now,
        };
        self.relays.insert(number, relay);
        Some(Body::Ping { number })
    }

    /// Handles an acknowledgement. If the ping was made on behalf of another member, returns the
    /// address of that member and the acknowledgement to send to it.
    pub fn on_acknowledge(&mut self, target: NodeId, number: u32) -> Option<(SocketAddr, Body)> {
        let own = self
            .pings
            .get(&number)
            .is_some_and(|ping| ping.target == target);
        if own {
            self.pings.remove(&number);
            return None;
        }
        let relay = self
            .relays
            .remove(&number)
            .filter(|relay| relay.target == target)?;
        let acknowledgement = Body::Acknowledge {
            target,
            number: relay.requester_number,
        };
        Some((relay.requester, acknowledgement))
    }

    /// Targets and messages of the indirect pings that are due; each is returned once.
    pub fn take_due_indirect_pings(&mut self, now: Time) -> Vec<(NodeId, Body)> {
        let mut due = Vec::new();
        for (number, ping) in &mut self.pings {
            if !ping.indirect_sent && now.since(ping.sent_at) >= DIRECT_TIMEOUT {
                ping.indirect_sent = true;
                let body = Body::PingFor {
                    target: ping.target,
                    number: *number,
                };
                due.push((ping.target, body));
            }
        }
        due.sort_by_key(|(target, _)| *target);
        due
    }

    /// Members of which no acknowledgement, direct or indirect, arrived in time; each failed ping is
    /// returned once.
    pub fn take_failed(&mut self, now: Time) -> Vec<NodeId> {
        let mut failed: Vec<NodeId> = self
            .pings
            .values()
            .filter(|ping| now.since(ping.sent_at) >= TOTAL_TIMEOUT)
            .map(|ping| ping.target)
            .collect();
        self.pings
            .retain(|_, ping| now.since(ping.sent_at) < TOTAL_TIMEOUT);
        failed.sort_unstable();
        failed
    }

    fn next_ping_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }
}
