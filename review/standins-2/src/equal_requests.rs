//! The worker of an added route hangs for a while; all requests of that route are equal.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::fleet::{Fleet, Record};
use crate::http::Reader;
use crate::plain;

/// `contact_ms` of the settings, and half a second.
const CONTACT: Duration = Duration::from_millis(3500);

/// `config_apply_ms` of the settings, and half a second.
const UNTIL_APPLIED: Duration = Duration::from_millis(2500);

const CALM: Duration = Duration::from_secs(8);
const HANGS_FOR: Duration = Duration::from_millis(6500);
const JUDGED: Duration = Duration::from_secs(20);

/// Of 100 requests that the worker takes while it is at fault, so many hang.
const HANGING_PERCENT: u32 = 45;

const SLOTS: u32 = 6;

/// Requests that wait at the worker at most.
const QUEUE: u32 = 3;

const WORK: Duration = Duration::from_millis(15);

const STATUS_PER_SECOND: u32 = 200;
const DETAILS_PER_SECOND: u32 = 20;

fn configuration(version: u32, has_status: bool) -> String {
    let status = if has_status {
        r#",{"name":"r-status","host":"album.example","path_prefix":"/status/","kind":"safe","timeout_ms":8500,"target_latency_ms":300,"priority":1,"service":"status","max_attempts":2,"public":false}"#
    } else {
        ""
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-details","host":"album.example","path_prefix":"/details/","kind":"safe","timeout_ms":8500,"target_latency_ms":300,"priority":1,"service":"details","max_attempts":2,"public":false}}{status}],"services":[{{"name":"details","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}},{{"name":"status","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"family","api_keys":["key-of-the-family"],"priority":1}}]}}"#
    )
}

/// The outcome of one request.
struct Outcome {
    path: &'static str,
    sent: Instant,
    status: u16,
}

/// State of the worker of the added route.
#[derive(Default)]
struct Status {
    is_at_fault: AtomicBool,
    taken: Mutex<u32>,
    running: Mutex<u32>,
    runs: AtomicU32,
    hung: AtomicU32,
    rejected: AtomicU32,
}

/// Returns whether the rule held.
pub fn run(record: Record, trouble: bool) -> bool {
    let fleet = Fleet::start(record.clone());
    for number in 1..=2 {
        let id = format!("i-{number}");
        plain::start(&id, fleet.worker_address(number), WORK, Arc::default())
            .expect("the worker listens");
        fleet.list_worker(&id, "details", number, SLOTS, "ready");
    }
    let status = Arc::new(Status::default());
    start_status_worker("i-3", fleet.worker_address(3), status.clone());
    fleet.list_worker("i-3", "status", 3, SLOTS, "ready");
    fleet.store.put("op", "config", &configuration(7, false));
    let router = fleet.start_router(1);
    thread::sleep(CONTACT);
    fleet.store.put("op", "config", &configuration(9, true));
    record.line("version 9 acknowledged, with the route r-status");
    thread::sleep(UNTIL_APPLIED);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let loads = [
        ("/status/", STATUS_PER_SECOND),
        ("/details/", DETAILS_PER_SECOND),
    ];
    let clients = loads.map(|(path, per_second)| {
        let (router, outcomes, is_over) = (router.clients, outcomes.clone(), is_over.clone());
        thread::spawn(move || send_all(router, path, per_second, &outcomes, &is_over))
    });
    let began = Instant::now();
    thread::sleep(CALM);
    let fault_at = Instant::now();
    if trouble {
        status.is_at_fault.store(true, Ordering::Relaxed);
        record.line("the worker of r-status hangs in 45 of 100 requests");
    }
    thread::sleep(HANGS_FOR);
    status.is_at_fault.store(false, Ordering::Relaxed);
    let sound_at = Instant::now();
    record.line("the worker of r-status is sound");
    let judged_from = sound_at + CONTACT;
    thread::sleep((judged_from + JUDGED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    record.line(&format!(
        "worker of r-status: runs={} hung={} rejected={}",
        status.runs.load(Ordering::Relaxed),
        status.hung.load(Ordering::Relaxed),
        status.rejected.load(Ordering::Relaxed),
    ));
    let outcomes = outcomes.lock().unwrap();
    let share = |path: &str, from: Instant, to: Instant, name: &str| {
        let of_span = outcomes
            .iter()
            .filter(|one| one.path == path && one.sent >= from && one.sent < to);
        let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
        for one in of_span {
            *statuses.entry(one.status).or_default() += 1;
        }
        let asked: u32 = statuses.values().sum();
        let served = statuses.get(&200).copied().unwrap_or(0);
        record.line(&format!(
            "{name} {path} asked={asked} served={served} statuses={statuses:?}"
        ));
        f64::from(served) / f64::from(asked.max(1))
    };
    for (path, _) in loads {
        share(path, began, fault_at, "calm");
        share(path, fault_at, judged_from, "fault and 3.5 s more");
    }
    let mut from = judged_from;
    while from < judged_from + JUDGED {
        share(
            "/status/",
            from,
            from + Duration::from_secs(4),
            "steady, by 4 s",
        );
        from += Duration::from_secs(4);
    }
    let added = share("/status/", judged_from, judged_from + JUDGED, "steady");
    let first = share("/details/", judged_from, judged_from + JUDGED, "steady");
    added * 4.0 >= first
}

/// Sends requests at an even pace until the end, each in its own thread.
fn send_all(
    router: SocketAddr,
    path: &'static str,
    per_second: u32,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    is_over: &AtomicBool,
) {
    let began = Instant::now();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let due = began + Duration::from_secs(1) / per_second * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let outcomes = outcomes.clone();
        thread::spawn(move || {
            // Everybody asks for the same status; details are of one photo each.
            let target = match path {
                "/status/" => format!("fleet-{}", std::process::id()),
                _ => number.to_string(),
            };
            let sent = Instant::now();
            let request = format!("GET {path}{target} HTTP/1.1\r\nHost: album.example\r\nStacktack-Attempt-Id: {}{number}\r\nStacktack-Deadline-Ms: 8500\r\nAuthorization: Bearer key-of-the-family\r\n\r\n", path.trim_matches('/'));
            let answer = client::exchange(router, request.as_bytes(), Duration::from_millis(9_000));
            let status = answer.map_or(0, |answer| answer.status());
            outcomes
                .lock()
                .unwrap()
                .push(Outcome { path, sent, status });
        });
    }
}

fn start_status_worker(id: &str, address: SocketAddr, status: Arc<Status>) {
    let listener = TcpListener::bind(address).expect("the worker listens");
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, status) = (id.clone(), status.clone());
            // A connection that breaks ends its thread only.
            thread::spawn(move || serve(&id, stream, &status));
        }
    });
}

/// Adds one to a count below a bound.
fn try_add(count: &Mutex<u32>, bound: u32) -> bool {
    let mut count = count.lock().unwrap();
    let may_add = *count < bound;
    *count += u32::from(may_add);
    may_add
}

fn serve(worker: &str, stream: TcpStream, status: &Status) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    loop {
        let request = reader.message()?;
        let id = request.header("stacktack-attempt-id").to_owned();
        if request.header("stacktack-expect-instance") != worker {
            let text = format!("HTTP/1.1 421 -\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Instance-Id: {worker}\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes())?;
            continue;
        }
        if !try_add(&status.taken, SLOTS + QUEUE) {
            status.rejected.fetch_add(1, Ordering::Relaxed);
            let text = format!("HTTP/1.1 503 -\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes())?;
            continue;
        }
        let deadline: u64 = request
            .header("stacktack-deadline-ms")
            .parse()
            .unwrap_or(8_500);
        let end = Instant::now() + Duration::from_millis(deadline);
        let answered = take(&id, worker, &mut writer, status, end);
        *status.taken.lock().unwrap() -= 1;
        answered?;
    }
}

/// Runs a request once a slot is free; an error if its caller has left or its deadline has passed.
fn take(
    id: &str,
    worker: &str,
    writer: &mut TcpStream,
    status: &Status,
    end: Instant,
) -> std::io::Result<()> {
    while !try_add(&status.running, SLOTS) {
        thread::sleep(Duration::from_millis(2));
        if Instant::now() >= end || has_left(writer)? {
            return Err(ErrorKind::TimedOut.into());
        }
    }
    let run = status.runs.fetch_add(1, Ordering::Relaxed);
    let hangs =
        status.is_at_fault.load(Ordering::Relaxed) && run * HANGING_PERCENT % 100 < HANGING_PERCENT;
    let answered = if hangs {
        status.hung.fetch_add(1, Ordering::Relaxed);
        hang(writer, end)
    } else {
        thread::sleep(WORK);
        let body = format!("{{\"answer_to\":\"{id}\"}}");
        let text = format!("HTTP/1.1 200 OK\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Server-Seal: seal-{worker}-{id}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(text.as_bytes())
    };
    *status.running.lock().unwrap() -= 1;
    answered
}

/// Does nothing until the caller has left or its deadline has passed.
fn hang(writer: &TcpStream, end: Instant) -> std::io::Result<()> {
    while Instant::now() < end && !has_left(writer)? {
        thread::sleep(Duration::from_millis(5));
    }
    Err(ErrorKind::TimedOut.into())
}

fn has_left(stream: &TcpStream) -> std::io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(count) => Ok(count == 0),
        Err(error) => Ok(error.kind() != ErrorKind::WouldBlock),
    }
}
