//! Periodic work of the control state: gossip, pings and polls of the platform.

use rand::RngExt;
use stacktack_wire::gossip::{Body, Heartbeat, DATAGRAM_HEADER_BYTES, MAX_DATAGRAM_BYTES};

use super::{
    detector, Control, ControlOutput, ENVELOPE_BYTES, FLEET_READS_PER_SECOND,
    HEARTBEAT_BUDGET_SHARE, INTRODUCTION_ROUNDS, MAX_HEARTBEAT_BYTES, MIN_MEMBER_ASK_INTERVAL,
    ROUND_INTERVAL,
};
use crate::time::Time;

impl Control {
    pub(super) fn on_tick(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        self.check_pings(now, outputs);
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND_INTERVAL;
        self.rounds += 1;
        self.members.remove_expired(now);
        self.member_asked_at
            .retain(|_, at| now.since(*at) < MIN_MEMBER_ASK_INTERVAL);
        self.sequence += 1;
        self.gossip(now, outputs);
        if self.rounds.is_multiple_of(2) {
            self.ping_random_member(now, outputs);
            self.poll_platform(outputs);
        }
    }

    fn gossip(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        let Some(partner) = self
            .members
            .random_gossip_partner(&self.own.zone, &mut self.random)
        else {
            return;
        };
        if self.rounds <= INTRODUCTION_ROUNDS {
            let introduction = Body::Introduce(self.own.clone());
            self.send_to_member(now, partner, introduction, outputs);
        }
        let heartbeats = self.freshest_heartbeats(now);
        self.send_to_member(now, partner, Body::Heartbeats(heartbeats), outputs);
    }

    /// The own heartbeat, followed by the freshest heartbeats of members that are not suspected, as
    /// many as fit this round's share of the byte budget.
    fn freshest_heartbeats(&mut self, now: Time) -> Vec<Heartbeat> {
        let share = self.budget.available(now) as f64 * HEARTBEAT_BUDGET_SHARE;
        let bytes = (share as usize).min(MAX_DATAGRAM_BYTES);
        let max_others =
            bytes.saturating_sub(ENVELOPE_BYTES + DATAGRAM_HEADER_BYTES) / MAX_HEARTBEAT_BYTES;
        let mut others: Vec<(Time, Heartbeat)> = self
            .members
            .iter()
            .filter(|(_, member)| member.heartbeat.sequence > 0 && member.suspected_at.is_none())
            .map(|(_, member)| (member.heartbeat_at, member.heartbeat))
            .collect();
        others.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let aged = others
            .into_iter()
            .take(max_others)
            .map(|(at, heartbeat)| Heartbeat {
                age_ms: now.since(at).as_millis() as u32,
                ..heartbeat
            });
        let mut heartbeats = vec![self.own_heartbeat()];
        heartbeats.extend(aged);
        heartbeats
    }

    pub(super) fn own_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            node: self.node,
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            load: self.load as u32,
            age_ms: 0,
            draining: self.draining || self.leaving,
        }
    }

    fn ping_random_member(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        let Some(target) = self.members.random_member(&mut self.random) else {
            return;
        };
        let body = self.detector.ping(now, target);
        self.send_to_member(now, target, body, outputs);
    }

    fn check_pings(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        for (target, body) in self.detector.take_due_indirect_pings(now) {
            for _ in 0..detector::INDIRECT_PINGS {
                let helper = self
                    .members
                    .random_gossip_partner(&self.own.zone, &mut self.random);
                if let Some(helper) = helper.filter(|helper| *helper != target) {
                    self.send_to_member(now, helper, body.clone(), outputs);
                }
            }
        }
        for target in self.detector.take_failed(now) {
            let Some(member) = self.members.get(target) else {
                continue;
            };
            let Heartbeat {
                incarnation,
                sequence,
                ..
            } = member.heartbeat;
            self.on_suspect(now, target, incarnation, sequence, outputs);
        }
    }

    /// Reads rows of the platform's table with a probability that keeps the read rate of the whole
    /// fleet constant. A process without a configuration always reads the head row.
    fn poll_platform(&mut self, outputs: &mut Vec<ControlOutput>) {
        let fleet_size = (self.members.len() + 1) as f64;
        let probability = (FLEET_READS_PER_SECOND / fleet_size).min(1.0);
        let uninitialized = self.sync.configuration().version.0 == 0;
        if uninitialized || self.random.random_bool(probability) {
            outputs.push(ControlOutput::ReadHead);
        }
        if self.random.random_bool(probability) {
            outputs.push(ControlOutput::ReadLeavingMachines);
        }
    }
}
