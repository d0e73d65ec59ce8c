//! Some answers of a worker come in chunks and also announce a length, which is too small.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Record};
use crate::http::Reader;

/// `contact_ms` of the settings, and half a second: the router is in touch afterwards.
const UNTIL_IN_TOUCH: Duration = Duration::from_millis(3500);

/// Pairs of a look-up and a notification, one after the other.
const PAIRS: u32 = 300;

/// One of this many answers of the worker that spoils some is spoiled.
const SPOILED_ONE_IN: u32 = 50;

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-details","host":"album.example","path_prefix":"/details/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"details","max_attempts":2,"public":false},{"name":"r-notify","host":"album.example","path_prefix":"/notify/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"notify","max_attempts":1,"public":false}],"services":[{"name":"details","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false},{"name":"notify","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"family","api_keys":["key-of-the-family"],"priority":1}]}"#;

/// Ids of the requests that workers ran, and of those whose answers were spoiled.
#[derive(Default)]
struct Runs {
    run: Vec<String>,
    spoiled: Vec<String>,
}

/// Returns whether the rule held.
pub fn run(record: Record, trouble: bool) -> bool {
    let fleet = Fleet::start(record.clone());
    let runs = Arc::new(Mutex::new(Runs::default()));
    let workers = [
        ("i-1", "details", 1, trouble),
        ("i-2", "details", 2, false),
        ("i-3", "notify", 3, false),
    ];
    for (id, service, number, spoils) in workers {
        start_worker(
            id,
            fleet.worker_address(number),
            spoils,
            runs.clone(),
            record.clone(),
        );
        fleet.list_worker(id, service, number, 6, "ready");
    }
    fleet.store.put("op", "config", CONFIGURATION);
    let router = fleet.start_router(1);
    thread::sleep(UNTIL_IN_TOUCH);
    let mut client = Client::new(router.clients, record.clone());
    for number in 1..=PAIRS {
        client.ask("GET", "/details/", &format!("details-{number}"));
        client.ask("POST", "/notify/", &format!("notify-{number}"));
    }
    let runs = runs.lock().unwrap();
    let lost = runs
        .run
        .iter()
        .filter(|id| !client.answered.contains(id))
        .count();
    record.line(&format!(
        "runs={} spoiled={} whole_answers={} wrong_successes={} foreign_bytes={} run_without_answer={lost}",
        runs.run.len(),
        runs.spoiled.len(),
        client.answered.len(),
        client.wrong_successes,
        client.foreign_bytes,
    ));
    client.wrong_successes == 0 && client.foreign_bytes == 0
}

/// Whole body of a worker's answer.
fn body(id: &str) -> String {
    format!("{{\"answer_to\":\"{id}\",\"text\":\"three cousins at the lake\"}}")
}

fn start_worker(
    id: &str,
    address: SocketAddr,
    spoils: bool,
    runs: Arc<Mutex<Runs>>,
    record: Record,
) {
    let listener = TcpListener::bind(address).expect("the worker listens");
    let id = id.to_owned();
    let answers = Arc::new(AtomicU32::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record, answers) =
                (id.clone(), runs.clone(), record.clone(), answers.clone());
            // A connection that breaks ends its thread only.
            thread::spawn(move || serve(&id, stream, spoils, &answers, &runs, &record));
        }
    });
}

fn serve(
    worker: &str,
    stream: TcpStream,
    spoils: bool,
    answers: &AtomicU32,
    runs: &Mutex<Runs>,
    record: &Record,
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
        runs.lock().unwrap().run.push(id.clone());
        thread::sleep(Duration::from_millis(10));
        let body = body(&id);
        let head = format!("HTTP/1.1 200 OK\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Server-Seal: seal-{worker}-{id}");
        let is_spoiled =
            spoils && (answers.fetch_add(1, Ordering::Relaxed) + 1) % SPOILED_ONE_IN == 0;
        if is_spoiled {
            runs.lock().unwrap().spoiled.push(id.clone());
            record.line(&format!(
                "spoiled answer id={id} worker={worker} content_length=16 chunked_bytes={}",
                body.len()
            ));
            let text = format!("{head}\r\nContent-Length: 16\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            writer.write_all(text.as_bytes())?;
        } else {
            let text = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(text.as_bytes())?;
        }
    }
}

/// A client that keeps its connection as long as that is in order.
struct Client {
    router: SocketAddr,
    record: Record,
    connection: Option<(TcpStream, Reader)>,
    /// Ids of the requests that got a whole answer of their own.
    answered: Vec<String>,
    wrong_successes: u32,
    foreign_bytes: u32,
}

impl Client {
    fn new(router: SocketAddr, record: Record) -> Self {
        Client {
            router,
            record,
            connection: None,
            answered: Vec::new(),
            wrong_successes: 0,
            foreign_bytes: 0,
        }
    }

    fn ask(&mut self, method: &str, path: &str, id: &str) {
        // A failed connection shows as a request without an answer.
        if let Err(error) = self.try_ask(method, path, id) {
            self.record
                .line(&format!("no answer id={id} error=\"{error}\""));
            self.connection = None;
        }
    }

    fn try_ask(&mut self, method: &str, path: &str, id: &str) -> std::io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.router, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            let reader = Reader::new(stream.try_clone()?);
            self.connection = Some((stream, reader));
        }
        let Some((stream, reader)) = &mut self.connection else {
            return Ok(());
        };
        let request = format!("{method} {path}{id} HTTP/1.1\r\nHost: album.example\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Deadline-Ms: 3000\r\nAuthorization: Bearer key-of-the-family\r\n{}\r\n", if method == "POST" { "Content-Length: 0\r\n" } else { "" });
        stream.write_all(request.as_bytes())?;
        let answer = reader.message()?;
        let is_answer = answer.first_line.starts_with("HTTP/1.1 ");
        if !is_answer {
            self.foreign_bytes += 1;
            self.record.line(&format!(
                "BROKEN id={id} where its answer begins came: {:?}",
                answer.first_line
            ));
            self.connection = None;
            return Ok(());
        }
        let got = String::from_utf8_lossy(&answer.body).into_owned();
        let is_success = (200..300).contains(&answer.status());
        let is_whole = got == body(id) && answer.header("stacktack-attempt-id") == id;
        if is_success && !is_whole {
            self.wrong_successes += 1;
            self.record.line(&format!(
                "BROKEN id={id} status={} body={got:?}",
                answer.status()
            ));
        }
        if is_success && is_whole {
            self.answered.push(id.to_owned());
        }
        if !is_success {
            self.record
                .line(&format!("answered id={id} status={}", answer.status()));
        }
        if answer.header("connection").eq_ignore_ascii_case("close") {
            self.connection = None;
        }
        Ok(())
    }
}
