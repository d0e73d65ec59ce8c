//! A router's requests: choice, offers, fates, retries, delivery.
//!
//! A [`Dispatcher`] belongs to one traffic thread. It is driven by
//! [`Dispatcher::handle`]; outputs say what to send to agents and callers.

mod choice;
mod fate;
mod io;
mod messages;
mod offer;
pub mod record;
pub mod request;
mod settle;
pub mod view;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stacktack_wire::identity::{Incarnation, NodeId, RequestId, TenantId};

use crate::chart::ChartError;
use crate::ledger::{row_key, Claim, ClaimStep, TableReply};
use crate::loads::PeerLoads;
use crate::placement::Policy;
use crate::problem::{Outcome, ProblemKind};
use crate::protection::{Protection, Protections};
use crate::retry::RetryBudget;
use crate::time::Time;
pub use io::{DispatchCounters, DispatchInput, DispatchOutput};

use record::{Ending, RecordRing, RequestRecord};
use request::{Action, Entry, Event, Request, RequestChart, State, CHART};
use view::RouterView;

/// Time to wait for a table's reply before the claim counts as lost.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to wait for the answer to a question about an attempt's fate.
const FATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to wait for an agent's first word about an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection to an agent.
#[derive(Debug)]
enum Link {
    Connecting,
    Up(Incarnation),
}

/// Requests of one traffic thread.
pub struct Dispatcher {
    chart: RequestChart,
    protections: Protections,
    policy: Policy,
    view: Arc<RouterView>,
    requests: HashMap<RequestId, Entry>,
    timers: BTreeSet<(Time, RequestId)>,
    links: HashMap<NodeId, Link>,
    /// Loads with the work that was offered since they were reported.
    loads: PeerLoads,
    /// Loads as agents reported them.
    reported: PeerLoads,
    suspicions: HashMap<NodeId, Time>,
    budgets: HashMap<TenantId, RetryBudget>,
    records: RecordRing,
    random: ChaCha8Rng,
    counters: DispatchCounters,
    stopping: bool,
}

impl Dispatcher {
    /// A dispatcher without a view; requests are refused until it has one.
    pub fn new(policy: Policy, protections: Protections, seed: u64) -> Result<Self, ChartError> {
        Ok(Dispatcher {
            chart: RequestChart::parse(CHART)?,
            protections,
            policy,
            view: Arc::new(RouterView::default()),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            links: HashMap::new(),
            loads: PeerLoads::default(),
            reported: PeerLoads::default(),
            suspicions: HashMap::new(),
            budgets: HashMap::new(),
            records: RecordRing::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            counters: DispatchCounters::default(),
            stopping: false,
        })
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Counts since start.
    pub fn counters(&self) -> DispatchCounters {
        self.counters
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<RouterView> {
        &self.view
    }

    /// Record of a request's decisions.
    pub fn record(&self, request: RequestId) -> Option<&RequestRecord> {
        self.records.get(request)
    }

    /// Refuses requests from now on; those under way go on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Time of the next [`DispatchInput::Tick`] that is needed.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: DispatchInput, outputs: &mut Vec<DispatchOutput>) {
        match input {
            DispatchInput::Arrived(request) => self.on_arrived(now, *request, outputs),
            DispatchInput::CallerGone(request) => {
                self.step(now, request, Event::CallerGone, outputs);
            }
            DispatchInput::Connected { agent, incarnation } => {
                self.on_connected(now, agent, incarnation, outputs);
            }
            DispatchInput::ConnectFailed(agent) => {
                self.links.remove(&agent);
                self.step_all_at(now, agent, Event::Unsent, outputs);
            }
            DispatchInput::ConnectionLost(agent) => {
                self.links.remove(&agent);
                self.step_all_at(now, agent, Event::Lost, outputs);
            }
            DispatchInput::FromAgent { agent, message } => {
                self.on_message(now, agent, message, outputs);
            }
            DispatchInput::FromTable { request, reply } => {
                self.on_table(now, request, reply, outputs);
            }
            DispatchInput::View(view) => self.on_view(view),
            DispatchInput::Tick => self.on_tick(now, outputs),
        }
    }

    fn on_view(&mut self, view: Arc<RouterView>) {
        let older = view.configuration.version < self.view.configuration.version;
        if older && self.protections.is_enabled(Protection::VersionRise) {
            return;
        }
        for (node, agent) in &view.agents {
            if let Some((load, at)) = agent.load {
                self.loads.observe(*node, load, at);
                self.reported.observe(*node, load, at);
            }
        }
        self.view = view;
    }

    fn on_arrived(&mut self, now: Time, request: Request, outputs: &mut Vec<DispatchOutput>) {
        let id = request.id;
        self.counters.requests += 1;
        if self.stopping || self.view.configuration.version.0 == 0 {
            let detail = "this router takes no requests now";
            let problem = ProblemKind::NotReady
                .problem(Outcome::NotRun, detail)
                .retry_after(settle::NOT_READY_RETRY_MS);
            self.counters.not_run += 1;
            outputs.push(DispatchOutput::Problem {
                request: id,
                problem,
            });
            return;
        }
        let tenant = self.view.configuration.tenant(request.tenant);
        let name = tenant.map_or_else(|| request.tenant.to_string(), |tenant| tenant.name.clone());
        self.records.open(id, name, request.target.clone());
        self.budgets.entry(request.tenant).or_default().deposit();
        let key = request.idempotency_key.clone();
        let tenant_id = request.tenant;
        self.requests.insert(id, Entry::new(request, now));
        match key {
            None => self.step(now, id, Event::Claimed, outputs),
            Some(key) => {
                let mut claim = Claim::new(row_key(tenant_id, &key), id, self.protections);
                let first = claim.begin();
                if let Some(entry) = self.requests.get_mut(&id) {
                    entry.claim = Some(claim);
                }
                self.on_claim_step(now, id, first, outputs);
            }
        }
    }

    fn on_claim_step(
        &mut self,
        now: Time,
        id: RequestId,
        step: ClaimStep,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        match step {
            ClaimStep::Send(operation) => {
                outputs.push(DispatchOutput::ToTable {
                    request: Some(id),
                    operation,
                });
                self.set_timer(id, now + TABLE_TIMEOUT);
            }
            ClaimStep::Claimed => self.step(now, id, Event::Claimed, outputs),
            ClaimStep::InUse | ClaimStep::Used | ClaimStep::Unavailable => {
                let problem = settle::claim_problem(&step);
                if let Some(entry) = self.requests.get_mut(&id) {
                    entry.claim = None;
                    entry.problem = Some(problem);
                }
                self.step(now, id, Event::ClaimRefused, outputs);
            }
        }
    }

    fn on_table(
        &mut self,
        now: Time,
        id: RequestId,
        reply: TableReply,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if entry.state != State::Claiming {
            return;
        }
        let Some(claim) = &mut entry.claim else {
            return;
        };
        let step = claim.on_reply(reply);
        self.on_claim_step(now, id, step, outputs);
    }

    fn on_connected(
        &mut self,
        now: Time,
        agent: NodeId,
        incarnation: Incarnation,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        self.links.insert(agent, Link::Up(incarnation));
        for id in self.requests_at(agent) {
            let state = self.requests.get(&id).map(|entry| entry.state);
            match state {
                Some(State::Offered) => self.send_offer(now, id, outputs),
                Some(State::AskingFresh) => self.send_ask_fate(now, id, outputs),
                _ => {}
            }
        }
    }

    fn on_tick(&mut self, now: Time, outputs: &mut Vec<DispatchOutput>) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, id));
            let Some(entry) = self.requests.get_mut(&id) else {
                continue;
            };
            entry.timer = None;
            if entry.deadline.is_some_and(|deadline| deadline <= now) {
                self.step(now, id, Event::Deadline, outputs);
                continue;
            }
            if entry.state == State::Claiming && entry.claim.is_some() {
                self.on_table(now, id, TableReply::Lost, outputs);
                continue;
            }
            let event = if entry.state == State::Pausing {
                Event::PauseOver
            } else {
                Event::Silent
            };
            self.step(now, id, event, outputs);
        }
    }

    fn requests_at(&self, agent: NodeId) -> Vec<RequestId> {
        let mut found: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, entry)| entry.agent == Some(agent))
            .map(|(id, _)| *id)
            .collect();
        found.sort_unstable();
        found
    }

    fn step_all_at(
        &mut self,
        now: Time,
        agent: NodeId,
        event: Event,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        for id in self.requests_at(agent) {
            self.step(now, id, event, outputs);
        }
    }

    fn set_silence_timer(&mut self, now: Time, id: RequestId) {
        let silence = Duration::from_millis(self.view.configuration.document.limits.silence_ms);
        self.set_timer(id, now + silence);
    }

    /// Sets the request's one timer; it never passes the caller's deadline.
    fn set_timer(&mut self, id: RequestId, at: Time) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(old) = entry.timer.take() {
            self.timers.remove(&(old, id));
        }
        let bounded = entry.deadline.map_or(at, |deadline| at.min(deadline));
        entry.timer = Some(bounded);
        self.timers.insert((bounded, id));
    }

    fn step(&mut self, now: Time, id: RequestId, event: Event, outputs: &mut Vec<DispatchOutput>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let (next, actions) = self.chart.step(entry.state, event);
        let actions: Vec<Action> = actions.to_vec();
        if event != Event::Data {
            let attempt = entry.attempts;
            self.records
                .note(id, format!("{event:?} (attempt {attempt})"));
        }
        entry.state = next;
        for action in actions {
            self.perform(now, id, action, outputs);
        }
        let ended = self
            .requests
            .get(&id)
            .is_some_and(|entry| entry.state == State::Done);
        if ended {
            self.remove(id, event);
        }
    }

    fn remove(&mut self, id: RequestId, event: Event) {
        let Some(entry) = self.requests.remove(&id) else {
            return;
        };
        if let Some(timer) = entry.timer {
            self.timers.remove(&(timer, id));
        }
        if event == Event::CallerGone {
            self.records.end(id, Ending::CallerGone);
        }
    }

    fn perform(
        &mut self,
        now: Time,
        id: RequestId,
        action: Action,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        match action {
            Action::OfferNext => self.offer_next(now, id, outputs),
            Action::OfferAgain => self.offer_again(now, id, outputs),
            Action::RetryOrSettle => self.retry_or_settle(now, id, outputs),
            Action::AskFate => self.ask_fate(now, id, outputs),
            Action::ResetLink => self.reset_link(now, id, outputs),
            Action::Resume => self.resume(now, id, outputs),
            Action::Deliver => self.deliver(now, id, outputs),
            Action::Complete => self.complete(id, outputs),
            Action::Cancel => self.cancel(id, outputs),
            Action::ReleaseKey => self.end_claim(id, outputs),
            Action::AnswerProblem => self.answer_problem(id, outputs),
            Action::AnswerStoreUnavailable => {
                let problem = settle::claim_problem(&ClaimStep::Unavailable);
                self.answer(id, problem, outputs);
            }
            Action::AnswerDeadline => self.answer_deadline(id, outputs),
            Action::AnswerDeadlineNotRun => self.answer_deadline_not_run(id, outputs),
        }
    }
}
