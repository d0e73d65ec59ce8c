//! The waiting line before a back end: deficit round robin between tenants,
//! priorities within a tenant.

use std::collections::{BTreeMap, HashMap, VecDeque};

use stacktack_wire::identity::{AttemptId, TenantId};
use stacktack_wire::message::Priority;

/// Work units that a tenant of weight 1 may start in one round.
const QUANTUM: f64 = 512.0;

/// One waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its work units.
    pub work: f64,
}

#[derive(Debug, Default)]
struct TenantLine {
    weight: f64,
    deficit: f64,
    lines: BTreeMap<std::cmp::Reverse<Priority>, VecDeque<QueuedAttempt>>,
    length: usize,
}

impl TenantLine {
    fn head(&self) -> Option<QueuedAttempt> {
        let line = self.lines.values().find(|line| !line.is_empty())?;
        line.front().copied()
    }

    fn pop(&mut self) -> Option<QueuedAttempt> {
        let line = self.lines.values_mut().find(|line| !line.is_empty())?;
        let waiting = line.pop_front()?;
        self.length -= 1;
        Some(waiting)
    }
}

/// Attempts that wait, shared fairly between tenants by their weights.
#[derive(Debug, Default)]
pub struct FairQueue {
    tenants: HashMap<TenantId, TenantLine>,
    round: VecDeque<TenantId>,
    length: usize,
    work: f64,
}

impl FairQueue {
    /// Number of waiting attempts.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Work units that wait.
    pub fn work(&self) -> f64 {
        self.work
    }

    /// Work that would start before a new attempt of this tenant: its own
    /// waiting work, and of every other tenant at most the share that its
    /// weight earns meanwhile.
    pub fn work_ahead(&self, tenant: TenantId, weight: f64) -> f64 {
        let own = self.tenants.get(&tenant).map_or(0.0, tenant_work);
        let rounds = own / weight;
        let others: f64 = self
            .tenants
            .iter()
            .filter(|(other, _)| **other != tenant)
            .map(|(_, line)| tenant_work(line).min(line.weight * (rounds + QUANTUM)))
            .sum();
        own + others
    }

    /// Adds an attempt at the end of its tenant's line.
    pub fn push(
        &mut self,
        tenant: TenantId,
        weight: f64,
        priority: Priority,
        waiting: QueuedAttempt,
    ) {
        let line = self.tenants.entry(tenant).or_default();
        line.weight = weight;
        if line.length == 0 {
            self.round.push_back(tenant);
        }
        line.lines
            .entry(std::cmp::Reverse(priority))
            .or_default()
            .push_back(waiting);
        line.length += 1;
        self.length += 1;
        self.work += waiting.work;
    }

    /// Takes the attempt whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedAttempt> {
        loop {
            let tenant = *self.round.front()?;
            let line = self.tenants.get_mut(&tenant)?;
            let Some(head) = line.head() else {
                self.retire_front(tenant);
                continue;
            };
            if line.deficit < head.work {
                line.deficit += QUANTUM * line.weight;
                self.round.rotate_left(1);
                continue;
            }
            line.deficit -= head.work;
            let waiting = line.pop()?;
            if line.length == 0 {
                self.retire_front(tenant);
            }
            self.length -= 1;
            self.work -= waiting.work;
            return Some(waiting);
        }
    }

    /// Removes one waiting attempt, wherever it stands.
    pub fn remove(&mut self, tenant: TenantId, attempt: AttemptId) -> bool {
        let Some(line) = self.tenants.get_mut(&tenant) else {
            return false;
        };
        for waiting in line.lines.values_mut() {
            let Some(position) = waiting.iter().position(|entry| entry.attempt == attempt) else {
                continue;
            };
            if let Some(removed) = waiting.remove(position) {
                line.length -= 1;
                self.length -= 1;
                self.work -= removed.work;
            }
            if line.length == 0 {
                self.tenants.remove(&tenant);
                self.round.retain(|waiting| *waiting != tenant);
            }
            return true;
        }
        false
    }

    fn retire_front(&mut self, tenant: TenantId) {
        self.round.pop_front();
        self.tenants.remove(&tenant);
    }
}

fn tenant_work(line: &TenantLine) -> f64 {
    line.lines
        .values()
        .flatten()
        .map(|waiting| waiting.work)
        .sum()
}
