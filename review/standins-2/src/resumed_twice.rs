//! A stream pauses, is continued at another worker whose answer is lost, and goes on at the first.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::engine::{self, Plan, Planner, Runs};
use crate::fleet::{Fleet, Record, Router};
use crate::http::Message;

/// Time from which the worker before may not work on a request that continues at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// `contact_ms` of the settings, and half a second: the router is in touch afterwards.
const UNTIL_IN_TOUCH: Duration = Duration::from_millis(3500);

/// Requests before each checked one, which earn the retry budget: a fifth of them may be retried.
const REQUESTS_BEFORE: u32 = 76;

const CHECKED_REQUESTS: u32 = 4;

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-captions","host":"captions.example","path_prefix":"/captions/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":0,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":300}],"services":[{"name":"llm","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":444000,"kv_token_bytes":131072,"link_mbps":1100000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"family","api_keys":["key-of-the-family"],"priority":1}]}"#;

/// Returns whether the rule held.
pub fn run(record: Record, trouble: bool) -> bool {
    let fleet = Fleet::start(record.clone());
    let runs = Runs::new(record.clone());
    let planner: Planner = Arc::new(move |request: &Message, earlier| {
        if !request
            .header("stacktack-attempt-id")
            .starts_with("checked")
        {
            return Plan {
                events: 3,
                ..Plan::default()
            };
        }
        match earlier {
            // Memory has run out: the run is preempted in the middle of its stream and read anew.
            0 => Plan {
                events: 40,
                preempted: Some((10, Duration::from_millis(1500))),
                answer_lost: false,
            },
            _ => Plan {
                events: 40,
                preempted: None,
                answer_lost: trouble,
            },
        }
    });
    for (number, id) in [(1, "i-1"), (2, "i-2")] {
        engine::start(
            id,
            fleet.worker_address(number),
            runs.clone(),
            planner.clone(),
        )
        .expect("the worker listens");
        fleet.list_worker(id, "llm", number, 64, "ready");
    }
    fleet.store.put("op", "config", CONFIGURATION);
    let router = fleet.start_router(1);
    thread::sleep(UNTIL_IN_TOUCH);
    let mut held = true;
    for number in 1..=CHECKED_REQUESTS {
        for before in 1..=REQUESTS_BEFORE {
            send(&router, &record, &format!("other-{number}-{before}"));
        }
        let id = format!("checked-{number}");
        let events = send(&router, &record, &id);
        thread::sleep(Duration::from_millis(200));
        held &= check(&id, &events, &runs, &record);
    }
    held
}

fn send(router: &Router, record: &Record, id: &str) -> Vec<String> {
    let request = format!(
        "POST /captions/1 HTTP/1.1\r\nHost: captions.example\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Model: m\r\nStacktack-Token-Count: 829,360\r\nStacktack-Prompt-Prefix: {:x}:699,{:x}:130\r\nStacktack-Deadline-Ms: 8000\r\nAuthorization: Bearer key-of-the-family\r\nContent-Length: 0\r\n\r\n",
        first_part(id),
        hash(id)
    );
    record.line(&format!("sent id={id}"));
    let answer = client::exchange(router.clients, request.as_bytes(), Duration::from_secs(9));
    let Some(answer) = answer else {
        record.line(&format!("no whole answer id={id}"));
        return Vec::new();
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let events: Vec<String> = lines.map(str::to_owned).collect();
    record.line(&format!(
        "answered id={id} status={} events={} first={} last={}",
        answer.status(),
        events.len(),
        events.first().map_or("-", String::as_str),
        events.last().map_or("-", String::as_str),
    ));
    events
}

/// Whether no worker worked on the request 400 ms after a later one had begun to.
fn check(id: &str, events: &[String], runs: &Runs, record: &Record) -> bool {
    let runs = runs.of(id);
    record.line(&format!(
        "check id={id} runs={} events={}",
        runs.len(),
        events.len()
    ));
    let Some([before, later]) = runs.get(..2) else {
        record.line(&format!("check id={id} was not continued elsewhere"));
        return true;
    };
    let ended = before.ended.unwrap_or_else(Instant::now);
    let overlap = ended.saturating_duration_since(later.started);
    let made = before.last_event.unwrap_or(before.started);
    let held = overlap <= MAX_OVERLAP;
    record.line(&format!(
        "check id={id} before={} later={} later_began_ms={} before_worked_until_ms={} overlap_ms={} before_last_event_ms={} before_cancelled={} rule={}",
        before.worker,
        later.worker,
        record.at(later.started),
        record.at(ended),
        overlap.as_millis(),
        record.at(made),
        before.cancelled,
        if held { "held" } else { "BROKEN" },
    ));
    held
}

/// Twenty first parts, so that both workers get a part of the other requests.
fn first_part(id: &str) -> u32 {
    match id.starts_with("checked") {
        true => 0x5c1e_07a2,
        false => 0x5c1e_0800 + hash(id) % 20,
    }
}

/// FNV-1a, so that the last part of each prompt is its own.
fn hash(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
