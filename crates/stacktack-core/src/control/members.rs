//! Who is known, and how alive each is.

use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use stacktack_wire::gossip::{Heartbeat, MemberInformation, MemberRole};
use stacktack_wire::identity::{Incarnation, NodeId};

use crate::time::Time;

/// Time after which a suspected member that did not refute is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Share of gossip partners taken from the own zone, where there are any.
const OWN_ZONE_SHARE: f64 = 0.5;

/// A member as this process knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is.
    pub information: MemberInformation,
    /// Its latest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that heartbeat was true, on this process's clock.
    pub heard_at: Time,
    /// When it was first suspected, if it is.
    pub suspected_at: Option<Time>,
    /// Whether the platform is about to take its machine away.
    pub leaving: bool,
}

/// All members but the process itself.
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

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// A member.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// All members, in the order in which they became known.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.order
            .iter()
            .filter_map(|node| self.members.get(node).map(|member| (*node, member)))
    }

    /// Takes in who a member is; an earlier life than the known one is passed
    /// over. Returns whether anything is new.
    pub fn introduce(&mut self, now: Time, information: MemberInformation) -> bool {
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
            heard_at: now,
            suspected_at: None,
            leaving: false,
        };
        self.members.insert(node, member);
        true
    }

    /// Takes in a heartbeat. Returns false when the member, or this life of
    /// it, is not known, so that it has to be asked for.
    pub fn hear(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        let Some(member) = self.members.get_mut(&heartbeat.node) else {
            return false;
        };
        let known = member.heartbeat;
        if heartbeat.incarnation > known.incarnation {
            return false;
        }
        if heartbeat.incarnation == known.incarnation && heartbeat.sequence > known.sequence {
            member.heartbeat = heartbeat;
            member.heard_at = now - Duration::from_millis(u64::from(heartbeat.age_ms));
            member.suspected_at = None;
        }
        true
    }

    /// Direct word from a member: it is alive.
    pub fn confirm(&mut self, node: NodeId) {
        if let Some(member) = self.members.get_mut(&node) {
            member.suspected_at = None;
        }
    }

    /// Suspects a life of a member unless a later heartbeat is known. Returns
    /// whether that is news.
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

    /// Marks a life of a member as leaving. Returns whether that is news.
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

    /// Forgets members that were suspected for long.
    pub fn forget_dead(&mut self, now: Time) {
        self.members.retain(|_, member| {
            let suspected = member.suspected_at;
            suspected.is_none_or(|since| now.since(since) < FORGET_AFTER)
        });
        let members = &self.members;
        self.order.retain(|node| members.contains_key(node));
    }

    /// A member drawn at random.
    pub fn draw(&self, random: &mut ChaCha8Rng) -> Option<NodeId> {
        self.order.choose(random).copied()
    }

    /// A member to gossip with: alive, often of the own zone.
    pub fn draw_partner(&self, zone: &str, random: &mut ChaCha8Rng) -> Option<NodeId> {
        let own_zone = random.random_bool(OWN_ZONE_SHARE);
        let mut fallback = None;
        for _ in 0..8 {
            let node = self.draw(random)?;
            let member = self.members.get(&node)?;
            if member.suspected_at.is_some() {
                continue;
            }
            fallback = Some(node);
            if !own_zone || member.information.zone == zone {
                break;
            }
        }
        fallback.or_else(|| self.draw(random))
    }

    /// Loads of the agents that take work, and when each was true.
    pub fn active_agent_loads(&self) -> Vec<(NodeId, f64, Time)> {
        self.agents()
            .filter(|(_, member)| member.heartbeat.sequence > 0 && member.suspected_at.is_none())
            .filter(|(_, member)| !member.heartbeat.draining && !member.leaving)
            .map(|(node, member)| (node, f64::from(member.heartbeat.load), member.heard_at))
            .collect()
    }

    /// Agents among the members.
    pub fn agents(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.iter()
            .filter(|(_, member)| member.information.role == MemberRole::Agent)
    }
}
