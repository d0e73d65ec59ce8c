//! Choosing a back end for a request, offering the request to it, and retries.

use std::time::Duration;

use stacktack_wire::identity::{NodeId, RequestId};
use stacktack_wire::message::{LoadReport, Offer, Refusal, ToAgent};

use super::choice::work_units;
use super::request::{Entry, Event};
use super::settle::{
    back_end_failed_problem, refused_outcome, NOT_READY_RETRY_AFTER_MS, NO_BACK_END_RETRY_AFTER_MS,
};
use super::{AgentConnection, DispatchOutput, Dispatcher, OFFER_TIMEOUT};
use crate::configuration::eligibility::EligibilityResult;
use crate::placement::choose;
use crate::problem::{Problem, ProblemKind};
use crate::protection::Protection;
use crate::retry::backoff;
use crate::time::Time;

/// Base of the pause before a retry; it doubles with each further retry.
const RETRY_BASE_PAUSE: Duration = Duration::from_millis(20);

/// Maximum pause before a retry.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Pause before a request is offered again after a refusal as stale, while the newer configuration
/// is on its way.
const STALE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum age of a reported load of the request's pool that is added for a last-resort offer.
const MAX_POOL_LOAD_AGE: Duration = Duration::from_secs(1);

/// Maximum number of loads of the request's pool that are added for one last-resort offer.
const MAX_POOL_LOADS: usize = 64;

/// Maximum number of last-resort offers before the request is given up.
const MAX_LAST_RESORT_OFFERS: u32 = 3;

/// Maximum time for which a request waits for a newer configuration, which takes a fetch.
const MAX_STALE_WAIT: Duration = Duration::from_secs(1);

/// Whether a refusal counts toward the limit of offers per request. Other refusals mean that the
/// back end is no candidate at all.
pub(super) fn counts_toward_offer_limit(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::OverCap
            | Refusal::QueueFull
            | Refusal::DeadlineUnreachable
            | Refusal::TenantLimit
            | Refusal::BackendRefused
    )
}

impl Dispatcher {
    /// Offers the request to the next back end in its order. After the allowed number of refusals,
    /// offers it to the least loaded back end that refused over its bound, and then gives up.
    pub(super) fn offer_next(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        self.mark_unreachable(now, id);
        let limit = self.view.configuration.document.limits.offers;
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let pool = self.pool_of(entry);
        if entry.counted_refusals >= limit {
            self.offer_last_resort(now, id, outputs);
            return;
        }
        let input = self.choice_input(now, id, &pool);
        let choice = choose(&input);
        self.record_decision(id, pool.clone(), input, choice);
        match choice {
            Some(choice) => self.offer_to(now, id, choice.node, outputs),
            None => self.on_no_candidate(now, id, &pool, outputs),
        }
    }

    fn on_no_candidate(
        &mut self,
        now: Time,
        id: RequestId,
        pool: &EligibilityResult,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let any_counted_refusal = self
            .requests
            .get(&id)
            .is_some_and(|entry| entry.counted_refusals > 0);
        if any_counted_refusal {
            self.offer_last_resort(now, id, outputs);
            return;
        }
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let problem = no_back_end_problem(pool, entry, now);
        self.give_up(now, id, problem, outputs);
    }

    /// Offers the request to the least loaded back end that refused over its bound, with all loads
    /// that were collected. Each refusal refreshes these loads, so a few offers are enough to follow
    /// the true mean while work of other routers is admitted.
    fn offer_last_resort(&mut self, now: Time, id: RequestId, outputs: &mut Vec<DispatchOutput>) {
        self.collect_pool_loads(now, id);
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let over_cap = entry
            .collected_loads
            .iter()
            .filter(|report| entry.refusals.get(&report.node) == Some(&Refusal::OverCap))
            .min_by(|left, right| left.load.total_cmp(&right.load));
        match over_cap.map(|report| report.node) {
            Some(node) if entry.last_resort_offers < MAX_LAST_RESORT_OFFERS => {
                entry.last_resort_offers += 1;
                self.offer_to(now, id, node, outputs);
            }
            _ => {
                let problem = overloaded_problem(entry, now);
                self.give_up(now, id, problem, outputs);
            }
        }
    }

    /// Collects the recently reported loads of the request's own pool for its next offer, because
    /// selectors may restrict the request to some of the back ends.
    fn collect_pool_loads(&mut self, now: Time, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let pool = self.pool_of(entry);
        let known: Vec<LoadReport> = pool
            .eligible
            .iter()
            .filter_map(|node| {
                let (load, at) = self.reported_loads.get(*node)?;
                let fresh = now.since(at) <= MAX_POOL_LOAD_AGE;
                fresh.then_some(LoadReport {
                    node: *node,
                    load: load as f32,
                    mean: 0.0,
                })
            })
            .take(MAX_POOL_LOADS)
            .collect();
        if let Some(entry) = self.requests.get_mut(&id) {
            for load in known {
                entry.collect_load(load);
            }
        }
    }

    /// Responds at once: no wait can still lead to an answer, and the caller needs its time for
    /// another try.
    fn give_up(
        &mut self,
        now: Time,
        id: RequestId,
        problem: Problem,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        entry.problem = Some(problem);
        self.step(now, id, Event::GiveUp, outputs);
    }

    /// Clears the request's agent. If the offer could not be sent to it, the agent is no longer a
    /// candidate for this request and is suspected, so other requests prefer other agents for a
    /// while.
    fn mark_unreachable(&mut self, now: Time, id: RequestId) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let sent = entry.incarnation.take().is_some();
        if let Some(agent) = entry.agent.take().filter(|_| !sent) {
            entry.refusals.insert(agent, Refusal::BackendUnreachable);
            self.suspected_at.insert(agent, now);
        }
    }

    fn offer_to(
        &mut self,
        now: Time,
        id: RequestId,
        node: NodeId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        entry.attempts += 1;
        entry.agent = Some(node);
        entry.incarnation = None;
        self.connect_and_offer(now, id, outputs);
    }

    fn connect_and_offer(&mut self, now: Time, id: RequestId, outputs: &mut Vec<DispatchOutput>) {
        let Some(agent) = self.requests.get(&id).and_then(|entry| entry.agent) else {
            return;
        };
        match self.connections.get(&agent) {
            Some(AgentConnection::Connected(_)) => self.send_offer(now, id, outputs),
            Some(AgentConnection::Connecting(_)) => self.wait_for_connection(now, id),
            None => {
                self.connections
                    .insert(agent, AgentConnection::Connecting(now));
                outputs.push(DispatchOutput::Connect(agent));
                self.wait_for_connection(now, id);
            }
        }
    }

    /// Waits for the connection for a part of the caller's time: nothing has been sent yet, so that
    /// another back end can serve the request in the rest.
    fn wait_for_connection(&mut self, now: Time, id: RequestId) {
        if let Some(entry) = self.requests.get(&id) {
            let wait = entry.share_of_time_left(OFFER_TIMEOUT, now);
            self.set_timer(id, now + wait);
        }
    }

    pub(super) fn send_offer(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let version = self.view.configuration.version;
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(agent) = entry.agent else {
            return;
        };
        let Some(AgentConnection::Connected(incarnation)) = self.connections.get(&agent) else {
            return;
        };
        if entry.incarnation.is_some() {
            return;
        }
        entry.incarnation = Some(*incarnation);
        let request = &entry.request;
        let offer = Offer {
            attempt: entry.attempt(),
            incarnation: *incarnation,
            version,
            tenant: request.tenant,
            chat: request.chat,
            priority: request.priority,
            deadline_ms: entry.remaining_deadline_ms(now),
            repeatable: request.repeatable,
            prompt_tokens: request.prompt_tokens,
            decode_tokens: request.decode_tokens,
            collected: entry.collected_loads.clone(),
            last_resort: entry.last_resort_offers > 0,
            payload: request.payload.clone(),
        };
        let work = work_units(&offer.payload, offer.prompt_tokens, offer.decode_tokens);
        self.add_expected_load(now, agent, work);
        self.counters.offers += 1;
        outputs.push(DispatchOutput::ToAgent {
            agent,
            message: ToAgent::Offer(Box::new(offer)),
        });
        self.set_timer(id, now + OFFER_TIMEOUT);
    }

    /// Adds the offered work to the estimated load of the agent until it reports its load.
    fn add_expected_load(&mut self, now: Time, agent: NodeId, work: f64) {
        let capacity = self
            .view
            .configuration
            .back_end(agent)
            .map_or(1.0, |back_end| back_end.capacity);
        let known = self
            .estimated_loads
            .get(agent)
            .map_or(0.0, |(load, _)| load);
        self.estimated_loads
            .observe(agent, known + work / capacity, now);
    }

    /// Offers the request again after a pause in which the newer configuration that the agent has
    /// can arrive. Gives up while the caller still has time for another router.
    pub(super) fn offer_again(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let wait = entry.share_of_time_left(MAX_STALE_WAIT, now);
        let give_up_at = *entry.stale_until.get_or_insert(now + wait);
        if now >= give_up_at {
            let detail = "this router's configuration is behind the back ends'";
            let outcome = refused_outcome(entry);
            let problem = ProblemKind::NotReady
                .problem(outcome, detail)
                .retry_after(entry.retry_after_ms(NOT_READY_RETRY_AFTER_MS, now));
            self.give_up(now, id, problem, outputs);
            return;
        }
        self.step(now, id, Event::Pause, outputs);
        self.set_timer(id, give_up_at.min(now + STALE_RETRY_PAUSE));
    }

    /// Retries a request whose attempt may have run, if the request is repeatable, no part of the
    /// response reached the caller and the tenant's retry budget allows it; otherwise gives up. An
    /// attempt whose offer was never sent did not run, so the next offer needs no budget.
    pub(super) fn retry_or_settle(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let protections = self.protections;
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if entry.incarnation.is_none() {
            self.offer_next(now, id, outputs);
            return;
        }
        entry.may_have_run = true;
        let safe = entry.request.repeatable || !protections.is_enabled(Protection::NoRepeat);
        let budget = self.budgets.entry(entry.request.tenant).or_default();
        let affordable = !protections.is_enabled(Protection::RetryBudget) || budget.withdraw();
        if entry.delivered_pieces > 0 || !safe || !affordable {
            let problem = back_end_failed_problem(entry, now);
            self.give_up(now, id, problem, outputs);
            return;
        }
        entry.retries += 1;
        self.counters.retries += 1;
        if let Some(agent) = entry.agent {
            entry.refusals.insert(agent, Refusal::BackendUnreachable);
            self.suspected_at.insert(agent, now);
        }
        entry.head = None;
        let pause = backoff(
            entry.retries,
            RETRY_BASE_PAUSE,
            MAX_RETRY_PAUSE,
            &mut self.random,
        );
        self.step(now, id, Event::Pause, outputs);
        self.set_timer(id, now + pause);
    }
}

fn no_back_end_problem(pool: &EligibilityResult, entry: &Entry, now: Time) -> Problem {
    let selectors = pool.excluding_selectors();
    let detail = if pool.eligible.is_empty() && !selectors.is_empty() {
        format!("selectors leave no back end: {}", selectors.join(", "))
    } else {
        String::from("no back end that serves this can be reached")
    };
    ProblemKind::NoEligibleBackEnd
        .problem(refused_outcome(entry), detail)
        .retry_after(entry.retry_after_ms(NO_BACK_END_RETRY_AFTER_MS, now))
}

fn overloaded_problem(entry: &Entry, now: Time) -> Problem {
    let has = |wanted: Refusal| entry.refusals.values().any(|refusal| *refusal == wanted);
    let kind = if has(Refusal::DeadlineUnreachable) {
        ProblemKind::DeadlineUnreachable
    } else if has(Refusal::TenantLimit) {
        ProblemKind::TenantLimit
    } else {
        ProblemKind::Overloaded
    };
    let outcome = refused_outcome(entry);
    let detail = format!("{} back ends refused", entry.refusals.len());
    let retry_after = entry
        .named_retry_after_ms
        .unwrap_or_else(|| entry.retry_after_ms(NO_BACK_END_RETRY_AFTER_MS, now));
    kind.problem(outcome, detail).retry_after(retry_after)
}
