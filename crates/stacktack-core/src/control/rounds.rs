//! What the control state does in each round: gossip, pings, polls.

use rand::RngExt;
use stacktack_wire::gossip::{Body, Heartbeat, DATAGRAM_HEADER_BYTES, MAX_DATAGRAM_BYTES};

use super::{
    detector, Control, ControlOutput, ASK_AGAIN, ENVELOPE_BYTES, FLEET_READS_PER_SECOND,
    HEARTBEAT_BYTES, HEARTBEAT_SHARE, INTRODUCTION_ROUNDS, ROUND,
};
use crate::time::Time;

impl Control {
    pub(super) fn on_tick(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        self.check_pings(now, outputs);
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND;
        self.rounds += 1;
        self.members.forget_dead(now);
        self.asked.retain(|_, at| now.since(*at) < ASK_AGAIN);
        self.sequence += 1;
        self.gossip(now, outputs);
        if self.rounds.is_multiple_of(2) {
            self.ping_one(now, outputs);
            self.poll_platform(outputs);
        }
    }

    fn gossip(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        let Some(partner) = self.members.draw_partner(&self.own.zone, &mut self.random) else {
            return;
        };
        if self.rounds <= INTRODUCTION_ROUNDS {
            let introduction = Body::Introduce(self.own.clone());
            self.send_to_member(now, partner, introduction, outputs);
        }
        let heartbeats = self.freshest(now);
        self.send_to_member(now, partner, Body::Heartbeats(heartbeats), outputs);
    }

    /// The own heartbeat and the freshest others that the round's share of the
    /// budget carries.
    fn freshest(&mut self, now: Time) -> Vec<Heartbeat> {
        let share = self.budget.available(now) as f64 * HEARTBEAT_SHARE;
        let bytes = (share as usize).min(MAX_DATAGRAM_BYTES);
        let room = bytes.saturating_sub(ENVELOPE_BYTES + DATAGRAM_HEADER_BYTES) / HEARTBEAT_BYTES;
        let mut others: Vec<(Time, Heartbeat)> = self
            .members
            .iter()
            .filter(|(_, member)| member.heartbeat.sequence > 0 && member.suspected_at.is_none())
            .map(|(_, member)| (member.heard_at, member.heartbeat))
            .collect();
        others.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let aged = others
            .into_iter()
            .take(room)
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

    fn ping_one(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        let Some(target) = self.members.draw(&mut self.random) else {
            return;
        };
        let body = self.detector.ping(now, target);
        self.send_to_member(now, target, body, outputs);
    }

    fn check_pings(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        for (target, body) in self.detector.indirect_due(now) {
            for _ in 0..detector::INDIRECT_PINGS {
                let helper = self.members.draw_partner(&self.own.zone, &mut self.random);
                if let Some(helper) = helper.filter(|helper| *helper != target) {
                    self.send_to_member(now, helper, body.clone(), outputs);
                }
            }
        }
        for target in self.detector.failed(now) {
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

    /// Each process reads with a chance that keeps the fleet's reads constant.
    fn poll_platform(&mut self, outputs: &mut Vec<ControlOutput>) {
        let fleet = (self.members.len() + 1) as f64;
        let chance = (FLEET_READS_PER_SECOND / fleet).min(1.0);
        let fresh = self.sync.configuration().version.0 == 0;
        if fresh || self.random.random_bool(chance) {
            outputs.push(ControlOutput::ReadHead);
        }
        if self.random.random_bool(chance) {
            outputs.push(ControlOutput::ReadLeavingMachines);
        }
    }
}
