//! The demo: starts a small fleet, sends it chats of several turns and calls of a plain service,
//! and prints a table of the results.

use std::time::Instant;

use futures_util::future::join_all;
use stacktack_standins::response::service_response;

use crate::caller::{Caller, CallerResponse, Chat, ExpectedResponses};
use crate::error::LabError;
use crate::fleet::{read_json, tenant_key, Fleet, FleetPlan, MODEL, SERVICE};

/// Number of chats.
const CHATS: usize = 12;

/// Number of turns of each chat.
const TURNS: usize = 5;

/// Number of words of the message that begins a chat.
const FIRST_WORDS: usize = 300;

/// Number of tokens of each response.
const RESPONSE_TOKENS: u32 = 48;

/// Number of calls of the plain service.
const SERVICE_CALLS: usize = 10;

/// Counts of requests and of their prompt tokens.
#[derive(Default)]
struct Tally {
    requests: usize,
    /// Responses that are complete and belong to their requests.
    correct: usize,
    /// Other responses with status 200.
    wrong: usize,
    /// Responses with another status.
    refused: usize,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Prompt tokens from earlier turns, which an engine could have cached.
    reusable_tokens: u64,
}

impl Tally {
    fn add(&mut self, response: &CallerResponse, is_expected: bool, reusable: u64) {
        self.requests += 1;
        if response.status != 200 {
            self.refused += 1;
        } else if response.complete && is_expected {
            self.correct += 1;
        } else {
            self.wrong += 1;
        }
        self.prompt_tokens += response.prompt_tokens;
        self.cached_tokens += response.cached_tokens;
        self.reusable_tokens += reusable;
    }
}

/// Runs the demo. With `keep` the fleet stays up and its addresses are printed.
pub async fn run(keep: bool) -> Result<(), LabError> {
    let plan = FleetPlan::default();
    let mut fleet = Fleet::start(&plan).await?;
    println!(
        "{} routers, {} engines and {} service with their agents, 1 platform: ready",
        plan.routers, plan.engines, plan.services
    );
    let begin = Instant::now();
    let (streamed, buffered, skew) = run_chats(&fleet, &plan).await?;
    let services = run_services(&fleet).await?;
    print_tally("streamed responses", &streamed);
    print_tally("buffered responses", &buffered);
    print_tally("service calls", &services);
    let cached = streamed.cached_tokens + buffered.cached_tokens;
    let reusable = streamed.reusable_tokens + buffered.reusable_tokens;
    println!(
        "{:<22} {:.3}",
        "cache reuse",
        cached as f64 / reusable.max(1) as f64
    );
    println!("{:<22} {skew:.2}", "skew (busiest / mean)");
    print_control_bytes(&fleet, begin).await?;
    let wrong = streamed.wrong + buffered.wrong + services.wrong;
    if keep {
        print_addresses(&fleet);
        fleet.keep = true;
        return Ok(());
    }
    fleet.stop()?;
    println!("agents and routers stopped cleanly");
    if wrong > 0 {
        return Err(LabError::WrongResponses(wrong));
    }
    Ok(())
}

fn print_tally(name: &str, tally: &Tally) {
    println!(
        "{name:<22} {} requests, {} correct, {} wrong, {} refused",
        tally.requests, tally.correct, tally.wrong, tally.refused
    );
}

/// Runs all turns of all chats; each turn of a chat goes through another router. Returns the
/// tallies of streamed and of buffered responses, and the skew of generated tokens.
async fn run_chats(fleet: &Fleet, plan: &FleetPlan) -> Result<(Tally, Tally, f64), LabError> {
    let callers: Vec<Caller> = fleet
        .routers
        .iter()
        .map(|router| Caller::new(router.address))
        .collect();
    let mut chats: Vec<Chat> = (0..CHATS)
        .map(|number| {
            let tenant = format!("tenant-{}", number % plan.tenants + 1);
            Chat::new(format!("chat-{number}"), tenant, FIRST_WORDS)
        })
        .collect();
    let mut streamed = Tally::default();
    let mut buffered = Tally::default();
    let mut reusable = [0u64; CHATS];
    for turn in 0..TURNS {
        let stream = turn % 2 == 0;
        let turns = chats.iter_mut().enumerate().map(|(number, chat)| {
            chat.add_user_message(&format!("question {turn} of {}", chat.id));
            let caller = &callers[(number + turn) % callers.len()];
            let body = chat.body(MODEL, stream, RESPONSE_TOKENS);
            let key = tenant_key(&chat.tenant);
            async move {
                let expected = ExpectedResponses::of(&body)?;
                let response = caller.complete(chat, &key, body, &[]).await?;
                Ok::<_, LabError>((number, response, expected))
            }
        });
        for result in join_all(turns).await {
            let (number, response, expected) = result?;
            let tally = if stream { &mut streamed } else { &mut buffered };
            tally.add(
                &response,
                expected.is_complete(&response.text),
                reusable[number],
            );
            reusable[number] = response.prompt_tokens + u64::from(RESPONSE_TOKENS);
            chats[number].add_response(&response.text);
        }
    }
    let skew = generated_skew(fleet).await?;
    Ok((streamed, buffered, skew))
}

/// Generated tokens of the engine with the most, relative to the mean of all engines.
async fn generated_skew(fleet: &Fleet) -> Result<f64, LabError> {
    let mut generated = Vec::new();
    for engine in &fleet.engines {
        let observed = read_json(engine, "/observed").await?;
        generated.push(observed["generated_tokens"].as_f64().unwrap_or(0.0));
    }
    let mean = generated.iter().sum::<f64>() / generated.len().max(1) as f64;
    let busiest = generated
        .iter()
        .fold(0.0, |max: f64, tokens| max.max(*tokens));
    Ok(busiest / mean.max(1.0))
}

async fn run_services(fleet: &Fleet) -> Result<Tally, LabError> {
    let caller = Caller::new(fleet.routers[0].address);
    let mut tally = Tally::default();
    for number in 0..SERVICE_CALLS {
        let body = format!("entry {number}");
        let inner = format!("/entries/{number}");
        let expected = service_response("POST", &inner, body.as_bytes());
        let path = format!("/services/{SERVICE}{inner}");
        let key = format!("demo-{number}");
        let headers = [("idempotency-key", key.as_str())];
        let tenant = tenant_key("tenant-1");
        let response = caller
            .call_service("POST", &path, &tenant, &headers, body)
            .await?;
        tally.add(&response, response.text == expected, 0);
    }
    Ok(tally)
}

async fn print_control_bytes(fleet: &Fleet, begin: Instant) -> Result<(), LabError> {
    let mut max_bytes = 0.0f64;
    for process in fleet.routers.iter().chain(&fleet.agents) {
        let status = read_json(process, "/status").await?;
        let sent = status["control_bytes_sent"].as_f64().unwrap_or(0.0);
        let received = status["control_bytes_received"].as_f64().unwrap_or(0.0);
        max_bytes = max_bytes.max(sent + received);
    }
    println!(
        "{:<22} {max_bytes:.0} at the busiest process since its start ({:.1} s of chats)",
        "control bytes",
        begin.elapsed().as_secs_f64()
    );
    Ok(())
}

fn print_addresses(fleet: &Fleet) {
    println!(
        "platform {} (process {})",
        fleet.platform.address,
        fleet.platform.id()
    );
    for router in &fleet.routers {
        println!(
            "{} callers {} operators {} (process {})",
            router.name,
            router.address,
            router.operator,
            router.id()
        );
    }
    for agent in &fleet.agents {
        println!(
            "{} agent, operators {} (process {})",
            agent.name,
            agent.operator,
            agent.id()
        );
    }
    for back_end in fleet.engines.iter().chain(&fleet.services) {
        println!(
            "{} back end {} (process {})",
            back_end.name,
            back_end.address,
            back_end.id()
        );
    }
    println!("key of tenant-1: {}", tenant_key("tenant-1"));
}
