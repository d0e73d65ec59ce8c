//! Emulated callers: what they send, what they got, whether it is theirs.

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

/// End of a whole event stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// How calls name idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// No key.
    None,
    /// A key for each call.
    Unique,
    /// Each key is used by two calls at the same time.
    Twice,
}

/// One kind of load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Whether calls go to the plain service.
    pub service: bool,
    /// Requests a second.
    pub rate: f64,
    /// Chats that the requests belong to.
    pub chats: usize,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Words that each chat begins with.
    pub words: usize,
    /// Share of answers that are streams.
    pub streams: f64,
    /// Keys.
    pub keys: KeyUse,
    /// Callers' patience; none for no deadline.
    pub deadline: Option<Duration>,
    /// First request.
    pub from: Time,
    /// No request from here on.
    pub to: Time,
}

/// A request that is to be sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Number of the load.
    pub load: usize,
    /// Number of the request in its load.
    pub number: u64,
}

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// Under way.
    Open,
    /// Whole answer.
    Whole,
    /// Problem reply.
    Problem(Problem),
    /// Part of the answer, then a problem.
    Cut(Problem),
    /// The router went away.
    RouterGone,
}

/// The answer that a request has to get.
#[derive(Debug)]
pub enum Expected {
    /// One of an engine's, one for each attempt.
    Chat(ExpectedResponses),
    /// A service's.
    Service(String),
}

/// A caller's request.
#[derive(Debug)]
pub struct CallerRequest {
    /// Router that took it.
    pub router: ProcessId,
    /// When it was sent.
    pub sent_at: Time,
    /// When it ended.
    pub ended_at: Option<Time>,
    /// Answer that it has to get.
    pub expected: Expected,
    /// What it got.
    pub got: Vec<u8>,
    /// How it ended.
    pub ending: Ending,
    /// Whether it may run only once.
    pub at_most_once: bool,
    /// Its idempotency key.
    pub key: Option<String>,
    chat: Option<(usize, usize)>,
    stream: bool,
}

impl CallerRequest {
    /// Whether what it got is its own answer, as far as it goes.
    pub fn matches_expected(&self) -> bool {
        let whole = self.ending == Ending::Whole;
        let got = match self.got.strip_suffix(STREAM_END) {
            Some(text) if self.stream && whole => text,
            None if self.stream && whole => return false,
            _ => &self.got,
        };
        let Ok(text) = std::str::from_utf8(got) else {
            return false;
        };
        match &self.expected {
            Expected::Service(answer) if whole => answer == text,
            Expected::Service(answer) => answer.starts_with(text),
            Expected::Chat(answers) if whole => answers.is_complete(text),
            Expected::Chat(answers) => answers.is_prefix(text),
        }
    }
}

/// All callers.
#[derive(Debug, Default)]
pub struct Callers {
    /// Loads.
    pub loads: Vec<LoadPlan>,
    chats: Vec<Vec<Chat>>,
    /// Requests by identifier.
    pub requests: HashMap<RequestId, CallerRequest>,
    /// Bytes or endings for a request that has ended.
    pub received_after_end: u64,
}

impl Callers {
    pub(super) fn on_head(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_none_or(|held| held.ending != Ending::Open)
        {
            self.received_after_end += 1;
        }
    }

    pub(super) fn on_body(&mut self, request: RequestId, bytes: &Bytes) {
        match self.requests.get_mut(&request) {
            Some(held) if held.ending == Ending::Open => held.got.extend_from_slice(bytes),
            _ => self.received_after_end += 1,
        }
    }

    pub(super) fn on_end(&mut self, now: Time, request: RequestId) {
        self.end(now, request, Ending::Whole);
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some((load, chat)) = held.chat {
            let got = held.got.strip_suffix(STREAM_END).unwrap_or(&held.got);
            let text = String::from_utf8_lossy(got).into_owned();
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
            Some(held) if held.ending == Ending::Open => {
                held.ending = ending;
                held.ended_at = Some(now);
            }
            _ => self.received_after_end += 1,
        }
    }

    /// The router of these requests went away.
    pub(super) fn lose_router(&mut self, now: Time, router: ProcessId) {
        for held in self.requests.values_mut() {
            if held.router == router && held.ending == Ending::Open {
                held.ending = Ending::RouterGone;
                held.ended_at = Some(now);
            }
        }
    }
}

impl Emulator {
    /// Adds load.
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
            Event::Arrive(Arrival {
                load: number,
                number: 0,
            }),
        );
    }

    pub(super) fn on_arrive(&mut self, arrival: Arrival) {
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
        self.schedule(pause, Event::Arrive(next));
    }

    /// The platform's balancer: any router that says it is ready.
    fn draw_router(&mut self) -> Option<ProcessId> {
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
        let Some(router) = self.draw_router() else {
            return;
        };
        let high = u128::from(self.random.next_u64());
        let id = RequestId(high << 64 | u128::from(self.random.next_u64()));
        let (request, mut held) = if load.service {
            service_request(load, arrival, id)
        } else {
            let index = match load.keys {
                KeyUse::None => self.random.random_range(0..load.chats),
                KeyUse::Unique | KeyUse::Twice => arrival.number as usize % load.chats,
            };
            let stream = self.random.random_bool(load.streams);
            let Some(made) = self.chat_request(load, arrival, id, index, stream) else {
                return;
            };
            made
        };
        let work = f64::from(request.prompt_tokens) + f64::from(request.decode_tokens);
        self.observer.largest_work = self.observer.largest_work.max(work);
        held.router = router;
        held.sent_at = self.now;
        self.callers.requests.insert(id, held);
        self.processes_arrive(router, request);
    }

    fn processes_arrive(&mut self, router: ProcessId, request: Request) {
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
        let key = key_of(load, arrival);
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
        let held = new_held(expected, key, Some((arrival.load, index)), stream, false);
        Some((request, held))
    }
}

fn key_of(load: &LoadPlan, arrival: &Arrival) -> Option<String> {
    match load.keys {
        KeyUse::None => None,
        KeyUse::Unique | KeyUse::Twice => Some(format!("key-{}-{}", arrival.load, arrival.number)),
    }
}

fn new_held(
    expected: Expected,
    key: Option<String>,
    chat: Option<(usize, usize)>,
    stream: bool,
    at_most_once: bool,
) -> CallerRequest {
    CallerRequest {
        router: 0,
        sent_at: Time::default(),
        ended_at: None,
        expected,
        got: Vec::new(),
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
    let key = key_of(load, arrival);
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
    (request, new_held(expected, key, None, false, true))
}

impl CallerRequest {
    /// Whether a cut answer ended as if it were whole.
    pub fn is_cut_but_looks_whole(&self) -> bool {
        let ended = matches!(self.ending, Ending::Cut(_));
        ended && self.stream && self.got.ends_with(STREAM_END)
    }
}
