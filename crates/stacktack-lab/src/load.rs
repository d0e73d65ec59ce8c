//! Open-loop load on a fleet of processes, compared in one run with the same load sent directly to
//! the engine stand-ins.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use awc::{Client, Connector};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller::Chat;
use crate::error::LabError;
use crate::fleet::{tenant_key, Fleet, FleetPlan, MODEL};
use crate::usage::{processor_time, resident_megabytes};

/// Number of tokens of each response in the latency phases.
const RESPONSE_TOKENS: u32 = 16;

/// Number of words of the message that begins a chat.
const FIRST_WORDS: usize = 30;

/// Maximum latency that the histograms hold, in microseconds.
const MAX_LATENCY_MICROSECONDS: u64 = 60_000_000;

/// Number of threads that read streams in the throughput phases.
const READER_THREADS: usize = 4;

/// Number of tokens requested for each response in the throughput phases.
const LONG_RESPONSE_TOKENS: u32 = 100_000;

/// Time that a throughput phase waits for all streams to open.
const STREAM_OPENING_TIME: Duration = Duration::from_secs(3);

/// Amount and duration of the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Requests per second in the latency phases.
    pub rate: f64,
    /// Length of each phase in seconds.
    pub seconds: u64,
    /// Number of streams open in the throughput phases.
    pub streams: usize,
}

/// Times of the streams of one latency phase, in microseconds.
struct Latencies {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    failed: u64,
}

impl Latencies {
    fn new() -> Result<Self, LabError> {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROSECONDS, 3)
                .map_err(|error| LabError::Request(error.to_string()))
        };
        Ok(Latencies {
            first_token: histogram()?,
            total: histogram()?,
            failed: 0,
        })
    }
}

/// Runs all phases and prints their results.
pub async fn run(plan: &LoadPlan) -> Result<(), LabError> {
    run_latency(plan).await?;
    run_throughput(plan).await
}

async fn run_latency(plan: &LoadPlan) -> Result<(), LabError> {
    let fleet_plan = FleetPlan {
        routers: 1,
        engine_flags: engine_flags("500", "0", "256"),
        concurrency: 256,
        load_cap: 10.0,
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(&fleet_plan).await?;
    let engines: Vec<SocketAddr> = fleet.engines.iter().map(|engine| engine.address).collect();
    let routers: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.address).collect();
    latency_phase(&engines, plan.rate, 1, "warm-d").await?;
    latency_phase(&routers, plan.rate, 1, "warm-r").await?;
    let direct = latency_phase(&engines, plan.rate, plan.seconds, "direct").await?;
    let routed = latency_phase(&routers, plan.rate, plan.seconds, "routed").await?;
    println!(
        "{} requests a second, {} s each, {RESPONSE_TOKENS} tokens each",
        plan.rate, plan.seconds
    );
    println!(
        "{:<28} {:>9} {:>9} {:>9} {:>7}",
        "ms", "direct", "routed", "added", "ratio"
    );
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let pair = |read: fn(&Latencies) -> &Histogram<u64>| {
            let value = |latencies: &Latencies| {
                read(latencies).value_at_quantile(quantile) as f64 / 1_000.0
            };
            (value(&direct), value(&routed))
        };
        print_pair(
            &format!("first token {name}"),
            pair(|latencies| &latencies.first_token),
        );
        print_pair(
            &format!("whole answer {name}"),
            pair(|latencies| &latencies.total),
        );
    }
    println!("failed: direct {}, routed {}", direct.failed, routed.failed);
    fleet.stop()
}

fn print_pair(name: &str, (direct, routed): (f64, f64)) {
    println!(
        "{name:<28} {direct:>9.3} {routed:>9.3} {:>9.3} {:>7.2}",
        routed - direct,
        routed / direct
    );
}

fn engine_flags(step_us: &str, decode_us: &str, batch: &str) -> Vec<String> {
    [
        "--step-us",
        step_us,
        "--decode-us",
        decode_us,
        "--batch",
        batch,
        "--prefill-us",
        "1",
    ]
    .map(String::from)
    .to_vec()
}

/// Sends requests at exponentially distributed intervals, without waiting for earlier ones.
async fn latency_phase(
    targets: &[SocketAddr],
    rate: f64,
    seconds: u64,
    name: &str,
) -> Result<Latencies, LabError> {
    let client = client();
    let latencies = Rc::new(RefCell::new(Latencies::new()?));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let begin = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    while due < Duration::from_secs(seconds) {
        actix_rt::time::sleep_until((begin + due).into()).await;
        let number = tasks.len();
        let target = targets[number % targets.len()];
        let chat = Chat::new(
            format!("{name}-{number}"),
            String::from("tenant-1"),
            FIRST_WORDS,
        );
        let task = time_stream(client.clone(), target, chat, begin + due, latencies.clone());
        tasks.push(actix_rt::spawn(task));
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
    }
    for task in tasks {
        if task.await.is_err() {
            latencies.borrow_mut().failed += 1;
        }
    }
    Rc::try_unwrap(latencies)
        .map(RefCell::into_inner)
        .map_err(|_| LabError::Request(String::from("a request is still in flight")))
}

fn client() -> Client {
    Client::builder()
        .connector(Connector::new().limit(0))
        .disable_timeout()
        .finish()
}

/// Sends one streamed request and records its times from `due`, so that a late send counts as
/// latency.
async fn time_stream(
    client: Client,
    target: SocketAddr,
    chat: Chat,
    due: Instant,
    latencies: Rc<RefCell<Latencies>>,
) {
    let request = client
        .post(format!("http://{target}/v1/chat/completions"))
        .content_type("application/json")
        .insert_header(("stacktack-chat", chat.id.as_str()))
        .bearer_auth(tenant_key(&chat.tenant))
        .send_body(chat.body(MODEL, true, RESPONSE_TOKENS));
    let mut first = None;
    let mut complete = false;
    if let Ok(mut response) = request.await {
        let success = response.status().is_success();
        while let Some(Ok(chunk)) = response.next().await {
            first.get_or_insert_with(|| due.elapsed());
            complete = success && chunk.ends_with(b"data: [DONE]\n\n");
        }
    }
    let mut latencies = latencies.borrow_mut();
    match first.filter(|_| complete) {
        Some(first) => {
            latencies
                .first_token
                .saturating_record(first.as_micros() as u64);
            latencies
                .total
                .saturating_record(due.elapsed().as_micros() as u64);
        }
        None => latencies.failed += 1,
    }
}

async fn run_throughput(plan: &LoadPlan) -> Result<(), LabError> {
    let fleet_plan = FleetPlan {
        routers: 1,
        engine_flags: engine_flags("8000", "0", "512"),
        concurrency: 512,
        load_cap: 10.0,
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(&fleet_plan).await?;
    let engines: Vec<SocketAddr> = fleet.engines.iter().map(|engine| engine.address).collect();
    let router = &fleet.routers[0];
    let idle = [
        resident_megabytes(router.id())?,
        resident_megabytes(fleet.agents[0].id())?,
    ];
    let direct = throughput_phase(&engines, plan, &[]).await?;
    let processes = [router.id(), fleet.agents[0].id()];
    let routed = throughput_phase(&[router.address], plan, &processes).await?;
    println!();
    println!("{} streams open, {} s each", plan.streams, plan.seconds);
    println!("direct: {:.0} tokens a second", direct.tokens_per_second);
    println!("routed: {:.0} tokens a second", routed.tokens_per_second);
    for ((name, idle), usage) in ["router", "one agent"].iter().zip(idle).zip(&routed.usages) {
        println!(
            "{name}: {:.2} cores, {:.0} routed tokens a second for each core, {:.1} MB resident ({idle:.1} idle)",
            usage.cores,
            routed.tokens_per_second / usage.cores.max(0.001),
            usage.megabytes
        );
    }
    fleet.stop()
}

/// Results of one throughput phase.
struct Throughput {
    tokens_per_second: f64,
    usages: Vec<Usage>,
}

/// Processor time and memory of one process in a phase.
struct Usage {
    /// Processor time per elapsed time.
    cores: f64,
    /// Resident memory at the end of the phase.
    megabytes: f64,
}

fn processor_times(processes: &[u32]) -> Result<Vec<Duration>, LabError> {
    processes.iter().map(|id| processor_time(*id)).collect()
}

/// Opens all streams, counts tokens during the phase, then closes the streams, which cancels the
/// work of the engines.
async fn throughput_phase(
    targets: &[SocketAddr],
    plan: &LoadPlan,
    processes: &[u32],
) -> Result<Throughput, LabError> {
    let tokens = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<Arbiter> = (0..READER_THREADS).map(|_| Arbiter::new()).collect();
    for (number, thread) in threads.iter().enumerate() {
        let targets = targets.to_vec();
        let streams = (number..plan.streams).step_by(READER_THREADS).collect();
        let (tokens, stop) = (tokens.clone(), stop.clone());
        thread.spawn_fn(move || read_streams(targets, streams, &tokens, &stop));
    }
    actix_rt::time::sleep(STREAM_OPENING_TIME).await;
    let before = processor_times(processes)?;
    let tokens_before = tokens.load(Ordering::Relaxed);
    let begin = Instant::now();
    actix_rt::time::sleep(Duration::from_secs(plan.seconds)).await;
    let received = tokens.load(Ordering::Relaxed) - tokens_before;
    let elapsed = begin.elapsed().as_secs_f64();
    let after = processor_times(processes)?;
    let mut usages = Vec::new();
    for (index, id) in processes.iter().enumerate() {
        usages.push(Usage {
            cores: (after[index] - before[index]).as_secs_f64() / elapsed,
            megabytes: resident_megabytes(*id)?,
        });
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.stop();
        if thread.join().is_err() {
            log::debug!(target: "load", "a reader thread panicked");
        }
    }
    Ok(Throughput {
        tokens_per_second: received as f64 / elapsed,
        usages,
    })
}

fn read_streams(
    targets: Vec<SocketAddr>,
    streams: Vec<usize>,
    tokens: &Arc<AtomicU64>,
    stop: &Arc<AtomicBool>,
) {
    let client = client();
    for number in streams {
        let target = targets[number % targets.len()];
        let client = client.clone();
        let (tokens, stop) = (tokens.clone(), stop.clone());
        actix_rt::spawn(async move {
            let chat = Chat::new(
                format!("long-{number}"),
                String::from("tenant-1"),
                FIRST_WORDS,
            );
            let request = client
                .post(format!("http://{target}/v1/chat/completions"))
                .content_type("application/json")
                .insert_header(("stacktack-chat", chat.id.as_str()))
                .bearer_auth(tenant_key(&chat.tenant))
                .send_body(chat.body(MODEL, true, LONG_RESPONSE_TOKENS));
            let Ok(mut response) = request.await else {
                return;
            };
            while let Some(Ok(chunk)) = response.next().await {
                let events = chunk.windows(2).filter(|pair| pair == b"\n\n").count();
                tokens.fetch_add(events as u64, Ordering::Relaxed);
                if stop.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
    }
}
