//! The lagging list of live and leaving machines.

use std::collections::BTreeMap;
use std::time::Duration;

use stacktack_core::time::Time;
use stacktack_node::client::Machine;

/// Time without a registration after which a machine is taken off the list.
const EXPIRY: Duration = Duration::from_secs(15);

/// Machines by name; each change shows only after the lag.
#[derive(Debug)]
pub struct MachineList {
    lag: Duration,
    current: BTreeMap<String, (Machine, Time)>,
    shown: BTreeMap<String, Machine>,
    pending: Vec<(Time, String, Option<Machine>)>,
}

impl MachineList {
    /// An empty list.
    pub fn new(lag: Duration) -> Self {
        MachineList {
            lag,
            current: BTreeMap::new(),
            shown: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// A machine is up. One that is about to leave stays so in this life.
    pub fn register(&mut self, now: Time, mut machine: Machine) {
        machine.leaving |= self
            .current
            .get(&machine.name)
            .is_some_and(|(held, _)| held.leaving && held.incarnation == machine.incarnation);
        let changed = self
            .current
            .get(&machine.name)
            .is_none_or(|(held, _)| *held != machine);
        if changed {
            let shown_at = now + self.lag;
            self.pending
                .push((shown_at, machine.name.clone(), Some(machine.clone())));
        }
        self.current.insert(machine.name.clone(), (machine, now));
    }

    /// The platform is about to take a machine away.
    pub fn mark_leaving(&mut self, now: Time, name: &str) -> bool {
        let Some((machine, _)) = self.current.get_mut(name) else {
            return false;
        };
        machine.leaving = true;
        let shown_at = now + self.lag;
        self.pending
            .push((shown_at, name.to_string(), Some(machine.clone())));
        true
    }

    /// The list as it is shown.
    pub fn list(&mut self, now: Time) -> Vec<Machine> {
        self.expire(now);
        let due: Vec<(Time, String, Option<Machine>)> = self
            .pending
            .iter()
            .filter(|(at, _, _)| *at <= now)
            .cloned()
            .collect();
        self.pending.retain(|(at, _, _)| *at > now);
        for (_, name, machine) in due {
            match machine {
                Some(machine) => self.shown.insert(name, machine),
                None => self.shown.remove(&name),
            };
        }
        self.shown.values().cloned().collect()
    }

    fn expire(&mut self, now: Time) {
        let silent: Vec<String> = self
            .current
            .iter()
            .filter(|(_, (_, at))| now.since(*at) > EXPIRY)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.current.remove(&name);
            self.pending.push((now + self.lag, name, None));
        }
    }
}
