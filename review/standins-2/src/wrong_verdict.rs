//! All routers are killed and return; while they start anew, model workers crash one after the other.

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Record};
use crate::http::Reader;

/// `contact_ms` of the settings, and half a second.
const UNTIL_IN_TOUCH: Duration = Duration::from_millis(3500);

/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);

const BEFORE: Duration = Duration::from_secs(14);
const DOWN: Duration = Duration::from_millis(800);
const JUDGED: Duration = Duration::from_secs(16);

const WORKERS: usize = 6;

/// From the routers' return on, one worker of six crashes each time.
const CRASHES: usize = 15;
const BETWEEN_CRASHES: Duration = Duration::from_millis(720);

/// Time from a crash to the start of the next incarnation, under a new id.
const WORKER_DOWN: Duration = Duration::from_millis(500);

/// Three heartbeats, after which the entry of a worker that crashed goes.
const ENTRY_LASTS: Duration = Duration::from_millis(3600);

const REQUESTS_PER_SECOND: u32 = 8;
const EVENTS: u32 = 42;
const PACE: Duration = Duration::from_millis(115);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-stories","host":"album.example","path_prefix":"/stories/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"target_gap_ms":300}],"services":[{"name":"llm","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":444000,"kv_token_bytes":131072,"link_mbps":1100000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"family-a","api_keys":["key-of-family-a"],"priority":1},{"name":"family-b","api_keys":["key-of-family-b"],"priority":1}]}"#;

/// The outcome of one request.
struct Outcome {
    sent: Instant,
    is_served: bool,
    status: u16,
}

/// A worker process, which is killed when dropped.
struct Worker {
    id: String,
    number: u8,
    child: Child,
}

impl Worker {
    fn start(fleet: &Fleet, number: u8, incarnation: u32, record_path: &str) -> Self {
        let id = format!("i-{number}-{incarnation}");
        let address = fleet.worker_address(number).to_string();
        let program = std::env::current_exe().expect("the program has a path");
        let child = Command::new(program)
            .args(["worker", record_path, &id, &address])
            .stdin(Stdio::null())
            .spawn()
            .expect("the worker starts");
        let end = Instant::now() + Duration::from_secs(2);
        while TcpStream::connect(fleet.worker_address(number)).is_err() && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        fleet.list_worker(&id, "llm", number, 64, "ready");
        fleet.record.line(&format!("worker started id={id}"));
        Worker { id, number, child }
    }

    fn crash(mut self, fleet: &Fleet) -> (u8, String) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        fleet.record.line(&format!("worker crashed id={}", self.id));
        (self.number, self.id.clone())
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether the rule held.
pub fn run(record: Record, record_path: &str, trouble: bool) -> bool {
    let fleet = Arc::new(Fleet::start(record.clone()));
    let mut workers: Vec<Worker> = (1..=WORKERS)
        .map(|number| Worker::start(&fleet, number as u8, 1, record_path))
        .collect();
    fleet.store.put("op", "config", CONFIGURATION);
    let mut routers = vec![fleet.start_router(1), fleet.start_router(2)];
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.clients).collect();
    thread::sleep(UNTIL_IN_TOUCH);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let (outcomes, is_over, record) = (outcomes.clone(), is_over.clone(), record.clone());
        thread::spawn(move || send_all(&addresses, &outcomes, &is_over, &record))
    };
    let began = Instant::now();
    thread::sleep(BEFORE);
    let fault_at = Instant::now();
    if trouble {
        routers.clear();
        record.line("all routers killed");
        thread::sleep(DOWN);
        routers = fleet.start_routers(2);
    }
    let returned_at = Instant::now();
    record.line("the routers have returned");
    if trouble {
        crash_in_turn(&fleet, &mut workers, record_path, returned_at);
    }
    let judged_from = returned_at + RECOVERY;
    thread::sleep((judged_from + JUDGED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    thread::sleep(Duration::from_secs(6));
    drop(routers);
    for row in fleet.store.keys("quarantine") {
        record.line(&format!("the store holds a verdict: {row}"));
    }
    let outcomes = outcomes.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let of_span: Vec<&Outcome> = outcomes
            .iter()
            .filter(|one| one.sent >= from && one.sent < to)
            .collect();
        let served = of_span.iter().filter(|one| one.is_served).count();
        let statuses: BTreeSet<u16> = of_span.iter().map(|one| one.status).collect();
        (of_span.len(), served, statuses)
    };
    // Streams that the fault itself cuts are not counted before it.
    let (asked_before, served_before, _) = share(began, fault_at - Duration::from_secs(6));
    let (asked, served, statuses) = share(judged_from, judged_from + JUDGED);
    record.line(&format!(
        "before the final fault: asked={asked_before} served={served_before}"
    ));
    record.line(&format!(
        "sent later than recovery_s after the return: asked={asked} served={served} statuses={statuses:?}"
    ));
    let was_served = served_before * 4 >= asked_before;
    !(was_served && served * 4 < asked)
}

/// Crashes one worker after the other; each starts again under a new id.
fn crash_in_turn(fleet: &Arc<Fleet>, workers: &mut Vec<Worker>, record_path: &str, from: Instant) {
    for turn in 0..CRASHES {
        let at = from + BETWEEN_CRASHES * (turn as u32 + 1);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let (number, id) = workers.remove(0).crash(fleet);
        let lapsing = fleet.clone();
        thread::spawn(move || {
            thread::sleep(ENTRY_LASTS);
            lapsing.store.remove("servers", &id);
        });
        thread::sleep(WORKER_DOWN);
        workers.push(Worker::start(fleet, number, turn as u32 + 2, record_path));
    }
}

/// Sends requests at an even pace until the end, each in its own thread.
fn send_all(
    routers: &[SocketAddr],
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    is_over: &AtomicBool,
    record: &Record,
) {
    let began = Instant::now();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let due = began + Duration::from_secs(1) / REQUESTS_PER_SECOND * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let (router, outcomes, record) = (
            routers[number as usize % routers.len()],
            outcomes.clone(),
            record.clone(),
        );
        let family = if number / 2 % 2 == 0 { "a" } else { "b" };
        thread::spawn(move || {
            let sent = Instant::now();
            let (status, events) = ask(router, number, family).unwrap_or((0, 0));
            let is_served = status == 200 && events == EVENTS;
            record.line(&format!(
                "answered id=r{number} family={family} status={status} events={events}"
            ));
            outcomes.lock().unwrap().push(Outcome {
                sent,
                is_served,
                status,
            });
        });
    }
}

/// Sends one request, and once more if it was refused; status and events of the answer.
fn ask(router: SocketAddr, number: u32, family: &str) -> Option<(u16, u32)> {
    let mut answer = None;
    for attempt in 1..=2 {
        let mut stream = TcpStream::connect_timeout(&router, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(2400)))
            .ok()?;
        // One first part for all stories, an album of the family, and the request's own part.
        let album = 0x91bd_0000 + number % 10;
        let request = format!("POST /stories/{number} HTTP/1.1\r\nHost: album.example\r\nStacktack-Attempt-Id: r{number}-{attempt}\r\nStacktack-Model: m\r\nStacktack-Token-Count: 11812,378\r\nStacktack-Prompt-Prefix: 5c1e07a2:512,{album:x}:10000,{:x}:1300\r\nStacktack-Deadline-Ms: 10000\r\nAuthorization: Bearer key-of-family-{family}\r\nContent-Length: 0\r\n\r\n", 0xe440_0000_u32 + number);
        stream.write_all(request.as_bytes()).ok()?;
        let mut reader = Reader::new(stream);
        let head = reader.head().ok()?;
        if head.status() == 503 {
            let retry_after: f64 = head.header("retry-after").parse().unwrap_or(1.0);
            answer = Some((503, 0));
            thread::sleep(Duration::from_secs_f64(retry_after.min(3.0)));
            continue;
        }
        let mut events = 0;
        while head.is_chunked() {
            match reader.chunk() {
                Ok(Some(data)) => {
                    events += String::from_utf8_lossy(&data).matches("id: ").count() as u32
                }
                Ok(None) => return Some((head.status(), events)),
                // The stream was cut, or paused for longer than a client waits.
                Err(_) => return Some((head.status(), 0)),
            }
        }
        return Some((head.status(), 0));
    }
    answer
}

/// Main function of a worker process: streams whole stories until it is killed.
pub fn serve_as_worker(record_path: &str, id: &str, address: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let file = Arc::new(
        OpenOptions::new()
            .append(true)
            .open(Path::new(record_path))?,
    );
    let runs = Arc::new(AtomicU32::new(0));
    for stream in listener.incoming() {
        let (stream, id, file, runs) = (stream?, id.to_owned(), file.clone(), runs.clone());
        // A connection that breaks ends its thread only.
        thread::spawn(move || stream_stories(&id, stream, &file, &runs));
    }
    Ok(())
}

fn stream_stories(
    worker: &str,
    stream: TcpStream,
    mut record: &std::fs::File,
    runs: &AtomicU32,
) -> std::io::Result<()> {
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
        let run = runs.fetch_add(1, Ordering::Relaxed) + 1;
        record.write_all(
            format!("          run began id={id} worker={worker} run={run}\n").as_bytes(),
        )?;
        thread::sleep(Duration::from_millis(90));
        writer.write_all(format!("HTTP/1.1 200 OK\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Server-Seal: seal-{worker}-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: event {number} of {id}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(PACE);
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
}
