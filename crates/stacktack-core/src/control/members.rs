//! Known members of the fleet and the failure state of each.

use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use stacktack_wire::gossip::{Heartbeat, MemberInformation, MemberRole};
use stacktack_wire::identity::{Incarnation, NodeId};

use crate::time::Time;

/// Time after which a suspected member that did not refute the suspicion is removed.
const SUSPECT_TTL: Duration = Duration::from_secs(120);

/// Probability that a gossip partner is sought in the own zone.
const OWN_ZONE_PROBABILITY: f64 = 0.5;

/// A member as this process knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name, role and addresses, fixed for one incarnation.
    pub information: MemberInformation,
    /// Its latest heartbeat.
    pub heartbeat: Heartbeat,
    /// Time of that heartbeat's load on the clock of this process.
    pub heartbeat_at: Time,
    /// Time since which the member is suspected, if it is.
    pub suspected_at: Option<Time>,
    /// Whether the platform is about to take away the member's machine.
    pub leaving: bool,
}

/// All known members except the process itself.
#[derive(Debug, Default)]
pub struct Members {
    members: HashMap<NodeId, Member>,
    order: Vec<NodeId>,
}

impl Members {
    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member of a node, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// All members, in the order in which they became known.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.order
            .iter()
            .filter_map(|node| self.members.get(node).map(|member| (*node, member)))
    }

    /// Adds a member, or replaces it by a later incarnation. Information of the known or an earlier
    /// incarnation is ignored. Returns whether anything changed.
    pub fn upsert(&mut self, now: Time, information: MemberInformation) -> bool {
        let node = NodeId::of(&information.name);
        if let Some(held) = self.members.get(&node) {
            if held.information.incarnation >= information.incarnation {
                return false;
            }
        } else {
            self.order.push(node);
        }
        let heartbeat = Heartbeat {
            node,
            incarnation: information.incarnation,
            sequence: 0,
            load: 0,
            age_ms: 0,
            draining: false,
        };
        let member = Member {
            information,
            heartbeat,
            heartbeat_at: now,
            suspected_at: None,
            leaving: false,
        };
        self.members.insert(node, member);
        true
    }

    /// Handles a heartbeat; a later one than the known one also clears the suspicion. Returns false
    /// if the member or its incarnation is not known, so that it has to be asked for.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        let Some(member) = self.members.get_mut(&heartbeat.node) else {
            return false;
        };
        let known = member.heartbeat;
        if heartbeat.incarnation > known.incarnation {
            return false;
        }
        if heartbeat.incarnation == known.incarnation && heartbeat.sequence > known.sequence {
            member.heartbeat = heartbeat;
            member.heartbeat_at = now - Duration::from_millis(u64::from(heartbeat.age_ms));
            member.suspected_at = None;
        }
        true
    }

    /// Clears the suspicion of a member that sent a message or acknowledged a ping.
    pub fn mark_alive(&mut self, node: NodeId) {
        if let Some(member) = self.members.get_mut(&node) {
            member.suspected_at = None;
        }
    }

    /// Marks an incarnation of a member as suspected unless a later heartbeat is known. Returns
    /// whether anything changed.
    pub fn suspect(
        &mut self,
        now: Time,
        node: NodeId,
        incarnation: Incarnation,
        sequence: u32,
    ) -> bool {
        let Some(member) = self.members.get_mut(&node) else {
            return false;
        };
        let later = member.heartbeat.incarnation > incarnation
            || (member.heartbeat.incarnation == incarnation
                && member.heartbeat.sequence > sequence);
        if later || member.suspected_at.is_some() {
            return false;
        }
        member.suspected_at = Some(now);
        true
    }

    /// Marks an incarnation of a member as leaving. Returns whether anything changed.
    pub fn mark_leaving(&mut self, node: NodeId, incarnation: Incarnation) -> bool {
        let Some(member) = self.members.get_mut(&node) else {
            return false;
        };
        if member.leaving || member.information.incarnation != incarnation {
            return false;
        }
        member.leaving = true;
        true
    }

    /// Removes members that have been suspected for longer than the TTL.
    pub fn remove_expired(&mut self, now: Time) {
        self.members.retain(|_, member| {
            let suspected = member.suspected_at;
            suspected.is_none_or(|since| now.since(since) < SUSPECT_TTL)
        });
        let members = &self.members;
        self.order.retain(|node| members.contains_key(node));
    }

    /// A random member.
    pub fn random_member(&self, random: &mut ChaCha8Rng) -> Option<NodeId> {
        self.order.choose(random).copied()
    }

    /// A random member to gossip with, preferably one that is not suspected and, in a part of the
    /// calls, one of `zone`.
    pub fn random_gossip_partner(&self, zone: &str, random: &mut ChaCha8Rng) -> Option<NodeId> {
        let own_zone = random.random_bool(OWN_ZONE_PROBABILITY);
        let mut fallback = None;
        for _ in 0..8 {
            let node = self.random_member(random)?;
            let member = self.members.get(&node)?;
            if member.suspected_at.is_some() {
                continue;
            }
            fallback = Some(node);
            if !own_zone || member.information.zone == zone {
                break;
            }
        }
        fallback.or_else(|| self.random_member(random))
    }

    /// Loads of the agents that accept work, with the time of each load. Suspected, draining and
    /// leaving agents and those without a heartbeat are left out.
    pub fn active_agent_loads(&self) -> Vec<(NodeId, f64, Time)> {
        self.agents()
            .filter(|(_, member)| member.heartbeat.sequence > 0 && member.suspected_at.is_none())
            .filter(|(_, member)| !member.heartbeat.draining && !member.leaving)
            .map(|(node, member)| (node, f64::from(member.heartbeat.load), member.heartbeat_at))
            .collect()
    }

    /// Agents among the members.
    pub fn agents(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.iter()
            .filter(|(_, member)| member.information.role == MemberRole::Agent)
    }
}
