//! Builds the input of a back end choice from the router's current state, and records the decision.

use std::time::Duration;

use rand::Rng;
use stacktack_wire::identity::{ChatId, NodeId, RequestId};
use stacktack_wire::message::{Payload, Refusal};

use super::record::DecisionRecord;
use super::request::Entry;
use super::Dispatcher;
use crate::configuration::eligibility::{evaluate_eligibility, EligibilityResult};
use crate::placement::{Candidate, Choice, ChoiceInput};
use crate::time::Time;

/// Time for which an agent counts as suspected after it failed; suspected agents are chosen last.
const SUSPECT_DURATION: Duration = Duration::from_secs(3);

impl Dispatcher {
    pub(super) fn pool_of(&self, entry: &Entry) -> EligibilityResult {
        let request = &entry.request;
        match self.view.configuration.tenant(request.tenant) {
            Some(tenant) => evaluate_eligibility(
                &self.view.configuration,
                tenant,
                &request.target,
                request.priority,
            ),
            None => EligibilityResult::default(),
        }
    }

    pub(super) fn choice_input(
        &mut self,
        now: Time,
        id: RequestId,
        pool: &EligibilityResult,
    ) -> ChoiceInput {
        let draw = self.random.next_u64();
        let entry = &self.requests[&id];
        let request = &entry.request;
        let work = work_units(
            &request.payload,
            request.prompt_tokens,
            request.decode_tokens,
        );
        let (sum, count) = self.estimated_loads.sum(&pool.eligible, now);
        let mean = (sum + work) / count.max(1) as f64;
        let candidates = pool
            .eligible
            .iter()
            .filter(|node| !entry.refusals.contains_key(node))
            .filter_map(|node| self.candidate(now, *node, sum / count.max(1) as f64))
            .collect();
        ChoiceInput {
            policy: self.policy,
            chat: request.chat.unwrap_or(ChatId(id.0 as u64)),
            cap: self.view.configuration.document.limits.load_cap,
            mean,
            work,
            preferred: request.preferred,
            candidates,
            draw,
        }
    }

    /// The candidate for a back end; none when its agent or its configuration is not known.
    /// An unknown load counts as `mean`.
    fn candidate(&self, now: Time, node: NodeId, mean: f64) -> Option<Candidate> {
        let agent = self.view.agents.get(&node)?;
        let capacity = self.view.configuration.back_end(node)?.capacity;
        let (load, at) = self.estimated_loads.get(node).unwrap_or((mean, now));
        let recently_suspected = self
            .suspected_at
            .get(&node)
            .is_some_and(|at| now.since(*at) < SUSPECT_DURATION);
        Some(Candidate {
            node,
            capacity,
            load,
            load_age_ms: now.since(at).as_millis() as u64,
            suspected: agent.suspected || agent.draining || recently_suspected,
        })
    }

    pub(super) fn record_decision(
        &mut self,
        id: RequestId,
        pool: EligibilityResult,
        input: ChoiceInput,
        choice: Option<Choice>,
    ) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let mut refused: Vec<(NodeId, Refusal)> = entry
            .refusals
            .iter()
            .map(|(node, refusal)| (*node, *refusal))
            .collect();
        refused.sort_by_key(|(node, _)| *node);
        let mut attempt = entry.attempt();
        attempt.number += 1;
        let decision = DecisionRecord {
            attempt: attempt.number,
            version: self.view.configuration.version,
            pool,
            refused,
            input,
            choice,
        };
        self.records.add_decision(attempt, decision);
    }
}

/// Work units of a request as a router counts them: the whole prompt counts, because the router does
/// not know which part of it is cached.
pub(super) fn work_units(payload: &Payload, prompt_tokens: u32, decode_tokens: u32) -> f64 {
    match payload {
        Payload::Service { .. } => 1.0,
        Payload::Chat { .. } => f64::from(prompt_tokens) + f64::from(decode_tokens.max(1)),
    }
}
