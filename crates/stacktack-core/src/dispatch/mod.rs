//! Request handling of a router: choosing back ends, offering requests to them, querying the fate
//! of attempts, retrying and delivering responses.
//!
//! A [`Dispatcher`] belongs to one traffic thread and does no I/O itself: [`Dispatcher::handle`]
//! takes one input and appends what to send to agents, callers and the table.

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

/// Time to wait for the table's reply before the operation counts as lost.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to wait for the reply to a fate query.
const FATE_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to wait for a connection to an agent, or for its first message about an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the connection to an agent.
#[derive(Debug)]
enum AgentConnection {
    /// Being opened since this time.
    Connecting(Time),
    Connected(Incarnation),
}

/// Handles the requests of one traffic thread.
pub struct Dispatcher {
    chart: RequestChart,
    protections: Protections,
    policy: Policy,
    view: Arc<RouterView>,
    requests: HashMap<RequestId, Entry>,
    timers: BTreeSet<(Time, RequestId)>,
    connections: HashMap<NodeId, AgentConnection>,
    /// Reported loads plus the work offered since each report.
    estimated_loads: PeerLoads,
    /// Loads as the agents reported them.
    reported_loads: PeerLoads,
    /// Time of the last failure of each agent that could not be reached or lost an attempt.
    suspected_at: HashMap<NodeId, Time>,
    budgets: HashMap<TenantId, RetryBudget>,
    records: RecordRing,
    random: ChaCha8Rng,
    counters: DispatchCounters,
    stopping: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without a view; it refuses requests until it receives one.
    pub fn new(policy: Policy, protections: Protections, seed: u64) -> Result<Self, ChartError> {
        Ok(Dispatcher {
            chart: RequestChart::parse(CHART)?,
            protections,
            policy,
            view: Arc::new(RouterView::default()),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            connections: HashMap::new(),
            estimated_loads: PeerLoads::default(),
            reported_loads: PeerLoads::default(),
            suspected_at: HashMap::new(),
            budgets: HashMap::new(),
            records: RecordRing::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            counters: DispatchCounters::default(),
            stopping: false,
        })
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Counters since the start.
    pub fn counters(&self) -> DispatchCounters {
        self.counters
    }

    /// The current view.
    pub fn view(&self) -> &Arc<RouterView> {
        &self.view
    }

    /// Record of a request's decisions, if it is still kept.
    pub fn record(&self, request: RequestId) -> Option<&RequestRecord> {
        self.records.get(request)
    }

    /// Refuses new requests from now on; requests in flight continue.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Time at which the next [`DispatchInput::Tick`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles one input and appends the resulting outputs.
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
                self.connections.remove(&agent);
                self.step_all_on_agent(now, agent, Event::Unsent, outputs);
            }
            DispatchInput::ConnectionLost(agent) => {
                self.connections.remove(&agent);
                self.step_all_on_agent(now, agent, Event::Lost, outputs);
            }
            DispatchInput::FromAgent { agent, message } => {
                self.on_message(now, agent, message, outputs);
            }
            DispatchInput::FromTable { request, reply } => {
                self.on_table_reply(now, request, reply, outputs);
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
                self.estimated_loads.observe(*node, load, at);
                self.reported_loads.observe(*node, load, at);
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
                .retry_after(settle::NOT_READY_RETRY_AFTER_MS);
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

    fn on_table_reply(
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
        self.connections
            .insert(agent, AgentConnection::Connected(incarnation));
        for id in self.requests_on_agent(agent) {
            let state = self.requests.get(&id).map(|entry| entry.state);
            match state {
                Some(State::Offered) => self.send_offer(now, id, outputs),
                Some(State::AskingFresh) => self.send_fate_query(now, id, outputs),
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
                self.on_table_reply(now, id, TableReply::Lost, outputs);
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

    fn requests_on_agent(&self, agent: NodeId) -> Vec<RequestId> {
        let mut found: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, entry)| entry.agent == Some(agent))
            .map(|(id, _)| *id)
            .collect();
        found.sort_unstable();
        found
    }

    fn step_all_on_agent(
        &mut self,
        now: Time,
        agent: NodeId,
        event: Event,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        for id in self.requests_on_agent(agent) {
            self.step(now, id, event, outputs);
        }
    }

    fn set_silence_timer(&mut self, now: Time, id: RequestId) {
        let silence = Duration::from_millis(self.view.configuration.document.limits.silence_ms);
        self.set_timer(id, now + silence);
    }

    /// Sets the request's only timer, at the caller's deadline at the latest.
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
                .add_event(id, format!("{event:?} (attempt {attempt})"));
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
            self.records.set_ending(id, Ending::CallerGone);
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
            Action::ResetLink => self.reset_connection(now, id, outputs),
            Action::Resume => self.resume(now, id, outputs),
            Action::Deliver => self.deliver(now, id, outputs),
            Action::Complete => self.complete(id, outputs),
            Action::Cancel => self.cancel(id, outputs),
            Action::ReleaseKey => self.release_key(id, outputs),
            Action::AnswerProblem => self.answer_problem(now, id, outputs),
            Action::AnswerStoreUnavailable => {
                let problem = settle::claim_problem(&ClaimStep::Unavailable);
                self.end_with_problem(id, problem, outputs);
            }
            Action::AnswerDeadline => self.answer_deadline(id, outputs),
            Action::AnswerDeadlineNotRun => self.answer_deadline_not_run(id, outputs),
        }
    }
}
