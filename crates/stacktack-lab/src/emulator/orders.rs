//! The controller lease and its orders in an emulated fleet.
//!
//! Every agent competes for the lease; the holder sends an order to each agent
//! twice a second. An agent passes orders on to its back end only if its fence
//! accepts their epoch; back ends of processes with an even index check the
//! epoch as well.

use std::time::Duration;

use stacktack_core::lease::{Fence, Lease};
use stacktack_core::ledger::{TableOperation, TableReply};
use stacktack_standins::engine::orders::{Order, OrderAction, OrderState};
use stacktack_wire::gossip::MemberRole;

use super::event::Event;
use super::network::PLATFORM_DELAY;
use super::process::ProcessId;
use super::Emulator;

/// Duration of the controller lease.
const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Time between two rounds of orders from the lease holder.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);

/// Scope of the controller's orders.
const ORDER_SCOPE: &str = "controller";

/// Controller lease and fence of one agent.
pub struct OrderParticipant {
    /// Lease as the agent knows it.
    pub lease: Lease,
    /// Highest epochs that the agent has seen.
    pub fence: Fence,
    next_order_at: stacktack_core::time::Time,
}

impl OrderParticipant {
    /// Creates a participant that takes the lease under the name `holder`.
    pub fn new(holder: String, protections: stacktack_core::protection::Protections) -> Self {
        OrderParticipant {
            lease: Lease::new(
                String::from("lease/controller"),
                holder,
                LEASE_DURATION,
                protections,
            ),
            fence: Fence::default(),
            next_order_at: Default::default(),
        }
    }
}

/// Back end of an agent, as the target of orders.
#[derive(Debug, Default)]
pub struct OrderTarget {
    /// Order state of the stand-in.
    pub state: OrderState,
}

impl OrderTarget {
    /// Creates the target at the agent of this index; it checks fences if the
    /// index is even.
    pub fn new(id: ProcessId) -> Self {
        OrderTarget {
            state: OrderState {
                checks_fence: id.is_multiple_of(2),
                ..OrderState::default()
            },
        }
    }

    /// Number of orders that were followed after an order of a later epoch.
    pub fn epoch_decreases(&self) -> usize {
        let mut highest = 0;
        let mut epoch_decreases = 0;
        for order in &self.state.followed {
            epoch_decreases += usize::from(order.epoch < highest);
            highest = highest.max(order.epoch);
        }
        epoch_decreases
    }
}

impl Emulator {
    pub(super) fn tick_orders(&mut self, id: ProcessId) {
        if !self.plan.orders {
            return;
        }
        let now = self.now;
        let Some(participant) = self.processes[id].orders.as_mut() else {
            return;
        };
        let operation = participant.lease.tick(now);
        let epoch = participant.lease.epoch(now);
        if let Some(operation) = operation {
            self.send_lease_operation(id, &operation);
        }
        let Some(epoch) = epoch else {
            return;
        };
        self.observer.record_holder(id, epoch);
        let due = self.processes[id]
            .orders
            .as_mut()
            .is_some_and(|participant| {
                let due = now >= participant.next_order_at;
                if due {
                    participant.next_order_at = now + ORDER_INTERVAL;
                }
                due
            });
        if due {
            self.send_orders(id, epoch);
        }
    }

    fn send_lease_operation(&mut self, id: ProcessId, operation: &TableOperation) {
        if self.network.is_cut_from_platform(id) {
            return;
        }
        let delay = PLATFORM_DELAY * 2 + self.platform.fault.delay();
        let reply = self.platform.apply(operation);
        if reply == TableReply::Lost {
            return;
        }
        let incarnation = self.processes[id].information.incarnation;
        let event = Event::LeaseReply {
            process: id,
            incarnation,
            reply,
        };
        self.schedule(delay, event);
    }

    pub(super) fn on_lease_reply(&mut self, id: ProcessId, reply: TableReply) {
        let now = self.now;
        if let Some(participant) = self.processes[id].orders.as_mut() {
            participant.lease.on_reply(now, reply);
        }
    }

    fn send_orders(&mut self, id: ProcessId, epoch: u64) {
        for target in 0..self.processes.len() {
            if self.processes[target].role != MemberRole::Agent {
                continue;
            }
            let order = Order {
                scope: String::from(ORDER_SCOPE),
                epoch,
                action: OrderAction::Role {
                    role: format!("role-{epoch}"),
                },
            };
            let event = Event::Order {
                process: target,
                order,
            };
            if self.network.is_cut(id, target) {
                self.network.stalled.push((id, target, event));
            } else {
                self.schedule(self.delay(id, target), event);
            }
        }
    }

    pub(super) fn on_order(&mut self, id: ProcessId, order: Order) {
        let protections = self.plan.protections();
        let process = &mut self.processes[id];
        let (Some(participant), Some(target)) = (&mut process.orders, &mut process.order_target)
        else {
            return;
        };
        let fence_check = participant
            .fence
            .check(&order.scope, order.epoch, protections);
        if fence_check.is_ok() && target.state.apply(order).is_err() {
            log::debug!(target: "emulator", "back end refused an order that the fence of its agent accepted");
        }
    }
}
