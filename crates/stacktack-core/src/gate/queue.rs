//! Queue of a back end: deficit round robin between tenants, priorities within
//! a tenant.

use std::collections::{BTreeMap, HashMap, VecDeque};

use stacktack_wire::identity::{AttemptId, TenantId};
use stacktack_wire::message::Priority;

/// Work units that a tenant of weight 1 earns in one round.
const QUANTUM: f64 = 512.0;

/// An attempt in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Work units of the attempt.
    pub work: f64,
}

#[derive(Debug, Default)]
struct TenantQueue {
    weight: f64,
    deficit: f64,
    by_priority: BTreeMap<std::cmp::Reverse<Priority>, VecDeque<QueuedAttempt>>,
    length: usize,
}

impl TenantQueue {
    fn head(&self) -> Option<QueuedAttempt> {
        let attempts = self
            .by_priority
            .values()
            .find(|attempts| !attempts.is_empty())?;
        attempts.front().copied()
    }

    fn pop(&mut self) -> Option<QueuedAttempt> {
        let attempts = self
            .by_priority
            .values_mut()
            .find(|attempts| !attempts.is_empty())?;
        let queued = attempts.pop_front()?;
        self.length -= 1;
        Some(queued)
    }
}

/// Queued attempts; tenants share the back end's work in proportion to their
/// weights.
#[derive(Debug, Default)]
pub struct FairQueue {
    tenants: HashMap<TenantId, TenantQueue>,
    /// Tenants with queued attempts, in round-robin order.
    round: VecDeque<TenantId>,
    length: usize,
    work: f64,
}

impl FairQueue {
    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Work units of all queued attempts.
    pub fn work(&self) -> f64 {
        self.work
    }

    /// Work units that would start before a new attempt of this tenant: the
    /// tenant's own queued work, and of every other tenant at most the share
    /// that its weight earns in that time.
    pub fn work_ahead(&self, tenant: TenantId, weight: f64) -> f64 {
        let own = self.tenants.get(&tenant).map_or(0.0, tenant_work);
        let work_per_weight = own / weight;
        let others: f64 = self
            .tenants
            .iter()
            .filter(|(other, _)| **other != tenant)
            .map(|(_, queue)| tenant_work(queue).min(queue.weight * (work_per_weight + QUANTUM)))
            .sum();
        own + others
    }

    /// Appends an attempt to its tenant's attempts of the same priority.
    pub fn push(
        &mut self,
        tenant: TenantId,
        weight: f64,
        priority: Priority,
        queued: QueuedAttempt,
    ) {
        let queue = self.tenants.entry(tenant).or_default();
        queue.weight = weight;
        if queue.length == 0 {
            self.round.push_back(tenant);
        }
        queue
            .by_priority
            .entry(std::cmp::Reverse(priority))
            .or_default()
            .push_back(queued);
        queue.length += 1;
        self.length += 1;
        self.work += queued.work;
    }

    /// Removes and returns the attempt to start next.
    pub fn pop(&mut self) -> Option<QueuedAttempt> {
        loop {
            let tenant = *self.round.front()?;
            let queue = self.tenants.get_mut(&tenant)?;
            let Some(head) = queue.head() else {
                self.remove_front_tenant(tenant);
                continue;
            };
            if queue.deficit < head.work {
                queue.deficit += QUANTUM * queue.weight;
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit -= head.work;
            let queued = queue.pop()?;
            if queue.length == 0 {
                self.remove_front_tenant(tenant);
            }
            self.length -= 1;
            self.work -= queued.work;
            return Some(queued);
        }
    }

    /// Removes a queued attempt; false if it is not queued.
    pub fn remove(&mut self, tenant: TenantId, attempt: AttemptId) -> bool {
        let Some(queue) = self.tenants.get_mut(&tenant) else {
            return false;
        };
        for attempts in queue.by_priority.values_mut() {
            let Some(position) = attempts.iter().position(|entry| entry.attempt == attempt) else {
                continue;
            };
            if let Some(removed) = attempts.remove(position) {
                queue.length -= 1;
                self.length -= 1;
                self.work -= removed.work;
            }
            if queue.length == 0 {
                self.tenants.remove(&tenant);
                self.round.retain(|other| *other != tenant);
            }
            return true;
        }
        false
    }

    fn remove_front_tenant(&mut self, tenant: TenantId) {
        self.round.pop_front();
        self.tenants.remove(&tenant);
    }
}

fn tenant_work(queue: &TenantQueue) -> f64 {
    queue
        .by_priority
        .values()
        .flatten()
        .map(|queued| queued.work)
        .sum()
}
