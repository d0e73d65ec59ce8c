//! Emulated callers: they send requests and compare each response with the one
//! that the request must get.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt};
use stacktack_core::configuration::eligibility::Target;
use stacktack_core::dispatch::request::Request;
use stacktack_core::dispatch::DispatchInput;
use stacktack_core::problem::Problem;
use stacktack_core::time::Time;
use stacktack_core::tokens::estimate_prompt_tokens;
use stacktack_standins::response::service_response;
use stacktack_wire::gossip::MemberRole;
use stacktack_wire::identity::{ChatId, RequestId, TenantId};
use stacktack_wire::message::{Payload, Priority};

use super::event::Event;
use super::process::ProcessId;
use super::Emulator;
use crate::caller::{Chat, ExpectedResponses};
use crate::fleet::{MODEL, SERVICE};

/// Last event of a complete event stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// How requests use idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// No key.
    None,
    /// Each request has its own key.
    Unique,
    /// Each key is used by two requests at the same time.
    Twice,
}

/// Requests of one kind, sent with exponentially distributed pauses.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Whether requests go to the plain service instead of the model.
    pub service: bool,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Number of chats that the requests belong to.
    pub chats: usize,
    /// Length of each response in tokens.
    pub tokens: u32,
    /// Number of words in the system message of each chat.
    pub words: usize,
    /// Fraction of chat responses that are streamed.
    pub streams: f64,
    /// Use of idempotency keys.
    pub keys: KeyUse,
    /// Caller timeout, sent as the deadline of the request; `None` for no
    /// deadline.
    pub deadline: Option<Duration>,
    /// Time of the first request.
    pub from: Time,
    /// Time from which on no request is sent.
    pub to: Time,
}

/// The next request of a load.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Index of the load.
    pub load: usize,
    /// Sequence number of the request within its load, from 0.
    pub number: u64,
}

/// How the request of a caller ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The request is in flight.
    Open,
    /// The whole response arrived.
    Whole,
    /// A problem response arrived instead of the response.
    Problem(Problem),
    /// The response was cut off after it had begun, because of a problem.
    Cut(Problem),
    /// The router ended or crashed.
    RouterGone,
}

/// The response that a request must get.
#[derive(Debug)]
pub enum Expected {
    /// Response of an engine; each attempt has its own.
    Chat(ExpectedResponses),
    /// Response of a service.
    Service(String),
}

/// A request of a caller and what the caller received.
#[derive(Debug)]
pub struct CallerRequest {
    /// Router that the request was sent to.
    pub router: ProcessId,
    /// Time at which the request was sent.
    pub sent_at: Time,
    /// Time until which the caller waits; `None` for no deadline.
    pub deadline: Option<Time>,
    /// Time at which the request ended; `None` while it is in flight.
    pub ended_at: Option<Time>,
    /// Response that the request must get.
    pub expected: Expected,
    /// Bytes of the response received so far.
    pub received: Vec<u8>,
    /// How the request ended, or that it is in flight.
    pub ending: Ending,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// Idempotency key of the request.
    pub key: Option<String>,
    chat: Option<(usize, usize)>,
    stream: bool,
}

impl CallerRequest {
    /// Whether the received bytes are the expected response, or a prefix of it
    /// if the response did not arrive whole.
    pub fn matches_expected(&self) -> bool {
        let whole = self.ending == Ending::Whole;
        let received = match self.received.strip_suffix(STREAM_END) {
            Some(text) if self.stream && whole => text,
            None if self.stream && whole => return false,
            _ => &self.received,
        };
        let Ok(text) = std::str::from_utf8(received) else {
            return false;
        };
        match &self.expected {
            Expected::Service(response) if whole => response == text,
            Expected::Service(response) => response.starts_with(text),
            Expected::Chat(responses) if whole => responses.is_complete(text),
            Expected::Chat(responses) => responses.is_prefix(text),
        }
    }
}

/// All callers of a fleet.
#[derive(Debug, Default)]
pub struct Callers {
    /// Loads, in the order in which they were added.
    pub loads: Vec<LoadPlan>,
    chats: Vec<Vec<Chat>>,
    /// Requests by identifier.
    pub requests: HashMap<RequestId, CallerRequest>,
    /// Number of response parts that arrived for a request that had already
    /// ended.
    pub received_after_end: u64,
}

impl Callers {
    /// Time until which the caller of a request waits; `None` for no deadline.
    pub(super) fn deadline_of(&self, request: RequestId) -> Option<Time> {
        self.requests.get(&request)?.deadline
    }

    pub(super) fn on_head(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_none_or(|entry| entry.ending != Ending::Open)
        {
            self.received_after_end += 1;
        }
    }

    pub(super) fn on_body(&mut self, request: RequestId, bytes: &Bytes) {
        match self.requests.get_mut(&request) {
            Some(entry) if entry.ending == Ending::Open => entry.received.extend_from_slice(bytes),
            _ => self.received_after_end += 1,
        }
    }

    pub(super) fn on_end(&mut self, now: Time, request: RequestId) {
        self.end(now, request, Ending::Whole);
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some((load, chat)) = entry.chat {
            let received = entry
                .received
                .strip_suffix(STREAM_END)
                .unwrap_or(&entry.received);
            let text = String::from_utf8_lossy(received).into_owned();
            self.chats[load][chat].add_response(&text);
        }
    }

    pub(super) fn on_problem(&mut self, now: Time, request: RequestId, problem: Problem) {
        self.end(now, request, Ending::Problem(problem));
    }

    pub(super) fn on_cut(&mut self, now: Time, request: RequestId, problem: Problem) {
        self.end(now, request, Ending::Cut(problem));
    }

    fn end(&mut self, now: Time, request: RequestId, ending: Ending) {
        match self.requests.get_mut(&request) {
            Some(entry) if entry.ending == Ending::Open => {
                entry.ending = ending;
                entry.ended_at = Some(now);
            }
            _ => self.received_after_end += 1,
        }
    }

    /// Ends all requests in flight at a router that ended.
    pub(super) fn lose_router(&mut self, now: Time, router: ProcessId) {
        for entry in self.requests.values_mut() {
            if entry.router == router && entry.ending == Ending::Open {
                entry.ending = Ending::RouterGone;
                entry.ended_at = Some(now);
            }
        }
    }
}

impl Emulator {
    /// Adds a load and schedules its first request.
    pub fn add_load(&mut self, load: LoadPlan) {
        let number = self.callers.loads.len();
        let tenants = self.plan.fleet.tenants.max(1);
        let chats = (0..load.chats)
            .map(|chat| {
                let tenant = format!("tenant-{}", chat % tenants + 1);
                Chat::new(format!("chat-{number}-{chat}"), tenant, load.words)
            })
            .collect();
        let from = load.from;
        self.callers.loads.push(load);
        self.callers.chats.push(chats);
        self.schedule_at(
            from,
            Event::Arrival(Arrival {
                load: number,
                number: 0,
            }),
        );
    }

    pub(super) fn on_arrival(&mut self, arrival: Arrival) {
        let load = self.callers.loads[arrival.load].clone();
        if self.now >= load.to {
            return;
        }
        let copies = if load.keys == KeyUse::Twice { 2 } else { 1 };
        for _ in 0..copies {
            self.send_request(&load, &arrival);
        }
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let pause = Duration::from_secs_f64(-uniform.ln() / load.rate);
        let next = Arrival {
            load: arrival.load,
            number: arrival.number + 1,
        };
        self.schedule(pause, Event::Arrival(next));
    }

    /// Picks a random router that is alive and ready, as the load balancer of
    /// the platform does.
    fn pick_router(&mut self) -> Option<ProcessId> {
        let routers: Vec<ProcessId> = (0..self.processes.len())
            .filter(|id| {
                let process = &self.processes[*id];
                let ready = process.configuration.version.0 > 0 && !process.stopping;
                process.role == MemberRole::Router && process.alive && ready
            })
            .collect();
        if routers.is_empty() {
            return None;
        }
        Some(routers[self.random.random_range(0..routers.len())])
    }

    fn send_request(&mut self, load: &LoadPlan, arrival: &Arrival) {
        let Some(router) = self.pick_router() else {
            return;
        };
        let high = u128::from(self.random.next_u64());
        let id = RequestId(high << 64 | u128::from(self.random.next_u64()));
        let (request, mut caller_request) = if load.service {
            service_request(load, arrival, id)
        } else {
            let index = match load.keys {
                KeyUse::None => self.random.random_range(0..load.chats),
                KeyUse::Unique | KeyUse::Twice => arrival.number as usize % load.chats,
            };
            let stream = self.random.random_bool(load.streams);
            let Some(chat_request) = self.chat_request(load, arrival, id, index, stream) else {
                return;
            };
            chat_request
        };
        let work = f64::from(request.prompt_tokens) + f64::from(request.decode_tokens);
        self.observer.largest_work = self.observer.largest_work.max(work);
        caller_request.router = router;
        caller_request.sent_at = self.now;
        caller_request.deadline = load.deadline.map(|deadline| self.now + deadline);
        self.callers.requests.insert(id, caller_request);
        self.deliver_request(router, request);
    }

    fn deliver_request(&mut self, router: ProcessId, request: Request) {
        if self.processes[router].frozen {
            self.callers.requests.remove(&request.id);
            return;
        }
        self.handle_dispatch(router, DispatchInput::Arrived(Box::new(request)));
    }

    fn chat_request(
        &mut self,
        load: &LoadPlan,
        arrival: &Arrival,
        id: RequestId,
        index: usize,
        stream: bool,
    ) -> Option<(Request, CallerRequest)> {
        let chat = &mut self.callers.chats[arrival.load][index];
        chat.add_user_message(&format!("question {}", arrival.number));
        let body = chat.body(MODEL, stream, load.tokens);
        let expected = Expected::Chat(ExpectedResponses::of(&body).ok()?);
        let key = idempotency_key(load, arrival);
        let bytes = Bytes::from(body);
        let request = Request {
            id,
            tenant: TenantId::of(&chat.tenant),
            chat: Some(ChatId::of(&chat.id)),
            priority: Priority::Normal,
            deadline_ms: load.deadline.map(|left| left.as_millis() as u32),
            repeatable: key.is_none(),
            idempotency_key: key.clone(),
            preferred: None,
            target: Target::Model(String::from(MODEL)),
            prompt_tokens: estimate_prompt_tokens(&bytes),
            decode_tokens: load.tokens,
            payload: Payload::Chat {
                model: String::from(MODEL),
                stream,
                body: bytes,
            },
        };
        let caller_request =
            new_caller_request(expected, key, Some((arrival.load, index)), stream, false);
        Some((request, caller_request))
    }
}

fn idempotency_key(load: &LoadPlan, arrival: &Arrival) -> Option<String> {
    match load.keys {
        KeyUse::None => None,
        KeyUse::Unique | KeyUse::Twice => Some(format!("key-{}-{}", arrival.load, arrival.number)),
    }
}

fn new_caller_request(
    expected: Expected,
    key: Option<String>,
    chat: Option<(usize, usize)>,
    stream: bool,
    at_most_once: bool,
) -> CallerRequest {
    CallerRequest {
        router: 0,
        sent_at: Time::default(),
        deadline: None,
        ended_at: None,
        expected,
        received: Vec::new(),
        ending: Ending::Open,
        at_most_once: at_most_once || key.is_some(),
        key,
        chat,
        stream,
    }
}

fn service_request(load: &LoadPlan, arrival: &Arrival, id: RequestId) -> (Request, CallerRequest) {
    let path = format!("/entries/{}", arrival.number);
    let body = Bytes::from(format!("entry {}", arrival.number));
    let expected = Expected::Service(service_response("POST", &path, &body));
    let key = idempotency_key(load, arrival);
    let request = Request {
        id,
        tenant: TenantId::of("tenant-1"),
        chat: None,
        priority: Priority::Normal,
        deadline_ms: load.deadline.map(|left| left.as_millis() as u32),
        repeatable: false,
        idempotency_key: key.clone(),
        preferred: None,
        target: Target::Service(String::from(SERVICE)),
        prompt_tokens: 0,
        decode_tokens: 1,
        payload: Payload::Service {
            service: String::from(SERVICE),
            method: String::from("POST"),
            path,
            content_type: None,
            idempotency_key: key.clone(),
            body,
        },
    };
    (
        request,
        new_caller_request(expected, key, None, false, true),
    )
}

impl CallerRequest {
    /// Whether a streamed response was cut off and yet ends like a whole one.
    pub fn is_cut_but_looks_whole(&self) -> bool {
        let cut = matches!(self.ending, Ending::Cut(_));
        cut && self.stream && self.received.ends_with(STREAM_END)
    }
}
