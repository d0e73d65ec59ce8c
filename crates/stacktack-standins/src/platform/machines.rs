//! List of live and leaving machines, which lags behind their registrations.

use std::collections::BTreeMap;
use std::time::Duration;

use stacktack_core::time::Time;
use stacktack_node::client::Machine;

/// Time after its last registration at which a machine expires from the list.
const REGISTRATION_TTL: Duration = Duration::from_secs(15);

/// Machines by name. Each change becomes visible only after the lag.
#[derive(Debug)]
pub struct MachineList {
    lag: Duration,
    registered: BTreeMap<String, (Machine, Time)>,
    visible: BTreeMap<String, Machine>,
    pending_changes: Vec<(Time, String, Option<Machine>)>,
}

impl MachineList {
    /// An empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        MachineList {
            lag,
            registered: BTreeMap::new(),
            visible: BTreeMap::new(),
            pending_changes: Vec::new(),
        }
    }

    /// Registers a machine or renews its registration. A machine that was marked as leaving stays
    /// so until it registers with another incarnation.
    pub fn register(&mut self, now: Time, mut machine: Machine) {
        machine.leaving |= self
            .registered
            .get(&machine.name)
            .is_some_and(|(previous, _)| {
                previous.leaving && previous.incarnation == machine.incarnation
            });
        let changed = self
            .registered
            .get(&machine.name)
            .is_none_or(|(previous, _)| *previous != machine);
        if changed {
            let visible_at = now + self.lag;
            self.pending_changes
                .push((visible_at, machine.name.clone(), Some(machine.clone())));
        }
        self.registered.insert(machine.name.clone(), (machine, now));
    }

    /// Marks a machine that the platform is about to take away; returns false if no machine of
    /// this name is registered.
    pub fn mark_leaving(&mut self, now: Time, name: &str) -> bool {
        let Some((machine, _)) = self.registered.get_mut(name) else {
            return false;
        };
        machine.leaving = true;
        let visible_at = now + self.lag;
        self.pending_changes
            .push((visible_at, name.to_string(), Some(machine.clone())));
        true
    }

    /// The list as it is visible at `now`.
    pub fn list(&mut self, now: Time) -> Vec<Machine> {
        self.expire(now);
        let due_changes: Vec<(Time, String, Option<Machine>)> = self
            .pending_changes
            .iter()
            .filter(|(at, _, _)| *at <= now)
            .cloned()
            .collect();
        self.pending_changes.retain(|(at, _, _)| *at > now);
        for (_, name, machine) in due_changes {
            match machine {
                Some(machine) => self.visible.insert(name, machine),
                None => self.visible.remove(&name),
            };
        }
        self.visible.values().cloned().collect()
    }

    fn expire(&mut self, now: Time) {
        let expired: Vec<String> = self
            .registered
            .iter()
            .filter(|(_, (_, at))| now.since(*at) > REGISTRATION_TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.registered.remove(&name);
            self.pending_changes.push((now + self.lag, name, None));
        }
    }
}
