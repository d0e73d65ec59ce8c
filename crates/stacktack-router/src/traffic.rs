//! A traffic thread: drives the dispatcher with callers' requests, agents'
//! messages and a timer, and carries out its outputs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request as HttpRequest, Response};
use actix_rt::time::interval;
use arc_swap::ArcSwap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::dispatch::{DispatchCounters, DispatchInput, DispatchOutput, Dispatcher};
use stacktack_core::ledger::TableOperation;
use stacktack_core::problem::{Outcome, Problem, ProblemKind};
use stacktack_node::client::PlatformClient;
use stacktack_node::http::{body_channel, problem_response};
use stacktack_wire::identity::{NodeId, RequestId};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::oneshot;

use crate::caller::{build_response, CallerGuard, CallerSender, ResponseStart};
use crate::links::Links;
use crate::request::read_request;
use crate::settings::RouterSettings;
use crate::shared::{ControlCommand, SharedState, WorkerCommand};

/// Time between two ticks, which fire the dispatcher's timers, pick up a new view
/// and publish the counters.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Handle to the state of one traffic thread.
#[derive(Clone)]
pub struct TrafficHandle {
    inner: Rc<Inner>,
}

struct Inner {
    dispatcher: RefCell<Dispatcher>,
    callers: RefCell<HashMap<RequestId, CallerSender>>,
    links: Links,
    platform: PlatformClient,
    shared: Arc<SharedState>,
    router: NodeId,
    body_timeout: Duration,
    random: RefCell<ChaCha8Rng>,
    counters: Arc<ArcSwap<DispatchCounters>>,
}

impl TrafficHandle {
    /// Starts a traffic thread's tasks on the current thread.
    pub fn start(
        settings: &RouterSettings,
        shared: Arc<SharedState>,
        dispatcher: Dispatcher,
        seed: u64,
    ) -> Self {
        let (commands, receiver) = unbounded_channel();
        let counters = shared.add_worker(commands);
        let traffic = TrafficHandle {
            inner: Rc::new(Inner {
                dispatcher: RefCell::new(dispatcher),
                callers: RefCell::new(HashMap::new()),
                links: Links::default(),
                platform: PlatformClient::new(settings.platform),
                router: NodeId::of(&settings.name),
                body_timeout: settings.body_timeout,
                random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
                counters,
                shared,
            }),
        };
        actix_rt::spawn(traffic.clone().tick());
        actix_rt::spawn(traffic.clone().handle_commands(receiver));
        traffic
    }

    /// Responds to one caller.
    pub async fn respond(self, http: HttpRequest) -> Response<BoxBody> {
        let id = self.random_request_id();
        self.refresh_view();
        let view = self.inner.dispatcher.borrow().view().clone();
        let body_timeout = self.inner.body_timeout;
        let request = match read_request(id, http, &view.configuration, body_timeout).await {
            Ok(request) => request,
            Err(problem) => {
                let detail = &problem.detail;
                log::info!(target: "entry", "request {id} is refused with status {}: {detail}", problem.status);
                return problem_response(&problem);
            }
        };
        let (start_sender, start) = oneshot::channel();
        let (parts_sender, parts) = body_channel();
        let sender = CallerSender::new(start_sender, parts_sender);
        self.inner.callers.borrow_mut().insert(id, sender);
        let shared = self.inner.shared.clone();
        let guard = CallerGuard::new(self.clone(), shared, id);
        self.handle(DispatchInput::Arrived(Box::new(request)));
        let start = start.await.unwrap_or_else(|_| {
            let detail = "the request was dropped";
            ResponseStart::Problem(ProblemKind::NotReady.problem(Outcome::Unknown, detail))
        });
        build_response(&self.inner.shared.name, id, start, parts, guard)
    }

    /// Passes an input to the dispatcher and carries out its outputs.
    pub fn handle(&self, input: DispatchInput) {
        let mut outputs = Vec::new();
        let now = self.inner.shared.clock.now();
        self.inner
            .dispatcher
            .borrow_mut()
            .handle(now, input, &mut outputs);
        for output in outputs {
            self.perform(output);
        }
    }

    /// Cancels the request of a caller that disconnected or reads too slowly; has no
    /// effect once the request has ended.
    pub fn on_caller_left(&self, request: RequestId) {
        if self.inner.callers.borrow_mut().remove(&request).is_some() {
            log::info!(target: "traffic", "request {request}: the caller disconnected or is too slow");
            self.handle(DispatchInput::CallerGone(request));
        }
    }

    fn random_request_id(&self) -> RequestId {
        let mut random = self.inner.random.borrow_mut();
        let high = u128::from(random.next_u64());
        let low = u128::from(random.next_u64());
        RequestId(high << 64 | low)
    }

    fn refresh_view(&self) {
        let view = self.inner.shared.view.load_full();
        let current = self.inner.dispatcher.borrow().view().clone();
        if !Arc::ptr_eq(&view, &current) {
            self.handle(DispatchInput::View(view));
        }
    }

    fn perform(&self, output: DispatchOutput) {
        match output {
            DispatchOutput::Connect(agent) => self.connect(agent),
            DispatchOutput::Disconnect(agent) => self.inner.links.disconnect(agent),
            DispatchOutput::ToAgent { agent, message } => self.inner.links.send(agent, message),
            DispatchOutput::ToTable { request, operation } => {
                self.send_to_table(request, operation)
            }
            DispatchOutput::Head {
                request,
                status,
                content_type,
                agent,
            } => self.start_response(
                request,
                ResponseStart::Head {
                    status,
                    content_type,
                    agent,
                },
            ),
            DispatchOutput::Body { request, bytes } => {
                let mut callers = self.inner.callers.borrow_mut();
                let sent = callers
                    .get_mut(&request)
                    .is_some_and(|caller| caller.send_body(bytes));
                drop(callers);
                if !sent {
                    self.on_caller_left(request);
                }
            }
            DispatchOutput::End { request } => {
                if let Some(caller) = self.inner.callers.borrow_mut().remove(&request) {
                    caller.end();
                }
            }
            DispatchOutput::Problem { request, problem } => self.send_problem(request, problem),
            DispatchOutput::Abort { request, problem } => {
                log::warn!(target: "traffic", "request {request} ends with an incomplete response: {}", problem.detail);
                if let Some(caller) = self.inner.callers.borrow_mut().remove(&request) {
                    caller.abort(&problem);
                }
            }
            DispatchOutput::Changes(changes) => {
                self.send_to_control(ControlCommand::Changes(changes))
            }
            DispatchOutput::FetchConfiguration => {
                self.send_to_control(ControlCommand::ConfigurationStale);
            }
        }
    }

    fn start_response(&self, request: RequestId, start: ResponseStart) {
        if let Some(caller) = self.inner.callers.borrow_mut().get_mut(&request) {
            caller.start(start);
        }
    }

    fn send_problem(&self, request: RequestId, problem: Problem) {
        log::info!(
            target: "traffic",
            "request {request} ends with status {}: {}",
            problem.status,
            problem.detail
        );
        if let Some(mut caller) = self.inner.callers.borrow_mut().remove(&request) {
            caller.start(ResponseStart::Problem(problem));
        }
    }

    fn send_to_control(&self, command: ControlCommand) {
        if self.inner.shared.control.send(command).is_err() {
            log::error!(target: "traffic", "the control thread has ended");
        }
    }

    fn connect(&self, agent: NodeId) {
        let view = self.inner.dispatcher.borrow().view().clone();
        match view.agents.get(&agent) {
            Some(known) => self.inner.links.connect(
                self.clone(),
                agent,
                known.address,
                self.inner.router,
                view.configuration.version,
            ),
            None => self.handle(DispatchInput::ConnectFailed(agent)),
        }
    }

    fn send_to_table(&self, request: Option<RequestId>, operation: TableOperation) {
        let traffic = self.clone();
        actix_rt::spawn(async move {
            let reply = traffic.inner.platform.table(&operation).await;
            if let Some(request) = request {
                traffic.handle(DispatchInput::FromTable { request, reply });
            }
        });
    }

    async fn tick(self) {
        let mut ticks = interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            self.refresh_view();
            if self.inner.shared.is_stopping() {
                self.inner.dispatcher.borrow_mut().stop();
            }
            self.handle(DispatchInput::Tick);
            let counters = self.inner.dispatcher.borrow().counters();
            self.inner.counters.store(Arc::new(counters));
        }
    }

    async fn handle_commands(self, mut commands: UnboundedReceiver<WorkerCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                WorkerCommand::Explain(request, sender) => {
                    let record = self.inner.dispatcher.borrow().record(request).cloned();
                    if sender.send(record).is_err() {
                        log::debug!(target: "traffic", "the receiver of a decision record was dropped");
                    }
                }
            }
        }
    }
}
