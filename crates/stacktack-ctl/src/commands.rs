//! Commands of the command line, except `explain-log`.

use std::time::{Duration, Instant};

use stacktack_core::configuration::change::{Change, Difference};
use stacktack_core::configuration::document::Document;
use stacktack_core::configuration::validation::parse;
use stacktack_core::dispatch::record::{DecisionRecord, RequestRecord};
use stacktack_node::client::{Machine, PlatformClient, PlatformError};
use stacktack_node::configuration_store::{apply_document, read_changes, read_head};
use stacktack_wire::identity::{ConfigurationVersion, NodeId};

use crate::output::CommandError;

/// Time between two polls of the processes while waiting for a version.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings that all commands share.
pub struct Context {
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Author of an applied change.
    pub author: String,
    /// Whether `apply` only validates and shows the difference.
    pub dry_run: bool,
    /// Whether `apply` waits until the change is in force.
    pub wait: bool,
    /// Maximum wait for a change to be in force.
    pub wait_timeout: Duration,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether `explain` repeats the recorded decisions to check them.
    pub verify: bool,
}

fn read_document(path: &str) -> Result<Document, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_string(),
        source,
    })?;
    Ok(parse(&text)?)
}

fn print_json(value: &impl serde::Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(PlatformError::from)?;
    println!("{text}");
    Ok(())
}

/// Applies a file as the configuration.
pub async fn apply(context: &Context, path: &str) -> Result<(), CommandError> {
    let document = read_document(path)?;
    let head = read_head(&context.platform).await?;
    let difference = Difference::between(&head.configuration.document, &document);
    print_difference(context, &difference)?;
    if context.dry_run {
        return Ok(());
    }
    let version = apply_document(&context.platform, &head, &context.author, &document).await?;
    println!("version {version} is accepted");
    if context.wait {
        wait_in_force(context, version).await?;
        println!("version {version} is in force at every live process");
    }
    Ok(())
}

async fn wait_in_force(
    context: &Context,
    version: ConfigurationVersion,
) -> Result<(), CommandError> {
    let started_at = Instant::now();
    loop {
        let outdated = outdated_processes(context, version).await?;
        if outdated.is_empty() {
            return Ok(());
        }
        if started_at.elapsed() >= context.wait_timeout {
            return Err(CommandError::NotInForce {
                version: version.0,
                names: outdated.join(", "),
            });
        }
        actix_rt::time::sleep(VERSION_POLL_INTERVAL).await;
    }
}

/// Names of the processes that hold an earlier version or don't report one.
async fn outdated_processes(
    context: &Context,
    version: ConfigurationVersion,
) -> Result<Vec<String>, CommandError> {
    let mut outdated = Vec::new();
    for machine in context.platform.machines("machines").await? {
        let status = process_status(&machine).await;
        let held = status
            .as_ref()
            .ok()
            .and_then(|status| status["version"].as_u64());
        if held.is_none_or(|held| held < version.0) {
            outdated.push(machine.name);
        }
    }
    Ok(outdated)
}

async fn process_status(machine: &Machine) -> Result<serde_json::Value, CommandError> {
    let client = PlatformClient::new(machine.operator);
    let process_error = |reason: String| CommandError::Process {
        name: machine.name.clone(),
        reason,
    };
    let (_, body) = client
        .exchange("GET", "/status", None)
        .await
        .map_err(|error| process_error(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| process_error(error.to_string()))
}

/// Prints the configuration in force.
pub async fn get(context: &Context) -> Result<(), CommandError> {
    let head = read_head(&context.platform).await?;
    if context.json {
        return print_json(&head.configuration.document);
    }
    println!("# version {}", head.configuration.version);
    println!("{}", toml::to_string_pretty(&head.configuration.document)?);
    Ok(())
}

/// Shows what applying a file would change.
pub async fn diff(context: &Context, path: &str) -> Result<(), CommandError> {
    let document = read_document(path)?;
    let head = read_head(&context.platform).await?;
    let difference = Difference::between(&head.configuration.document, &document);
    print_difference(context, &difference)
}

fn print_difference(context: &Context, difference: &Difference) -> Result<(), CommandError> {
    if context.json {
        return print_json(difference);
    }
    if difference.is_empty() {
        println!("nothing differs");
        return Ok(());
    }
    println!("{}", toml::to_string_pretty(difference)?);
    Ok(())
}

/// Lists the accepted changes, latest last.
pub async fn history(context: &Context) -> Result<(), CommandError> {
    let head = read_head(&context.platform).await?;
    let Some(row) = head.row else {
        println!("no change was accepted yet");
        return Ok(());
    };
    let encoded = read_changes(&context.platform, ConfigurationVersion(0), row.change_id).await?;
    let bytes = encoded.map(|encoded| encoded.bytes).unwrap_or_default();
    let changes: Vec<Change> = serde_json::from_slice(&bytes).map_err(PlatformError::from)?;
    if context.json {
        return print_json(&changes);
    }
    for change in changes {
        println!("{} {} {}", change.version, change.change_id, change.author);
    }
    Ok(())
}

/// Lists every process and its state.
pub async fn status(context: &Context) -> Result<(), CommandError> {
    let mut states = Vec::new();
    for machine in context.platform.machines("machines").await? {
        let state = process_status(&machine).await;
        states.push((machine, state));
    }
    if context.json {
        let values: Vec<serde_json::Value> = states
            .into_iter()
            .map(|(machine, state)| match state {
                Ok(state) => state,
                Err(error) => serde_json::json!({
                    "name": machine.name,
                    "error": error.to_string(),
                }),
            })
            .collect();
        return print_json(&values);
    }
    println!(
        "{:<20} {:<7} {:<10} {:>7} {:>9} {:<9}",
        "name", "role", "zone", "version", "in flight", "state"
    );
    for (machine, state) in states {
        print_status_line(&machine, state);
    }
    Ok(())
}

fn print_status_line(machine: &Machine, state: Result<serde_json::Value, CommandError>) {
    let role = format!("{:?}", machine.role).to_lowercase();
    let (version, in_flight, process_state) = match &state {
        Ok(state) => {
            let in_flight = state["in_flight"]
                .as_u64()
                .or(state["open_callers"].as_u64());
            let stopping = state["draining"] == true || state["stopping"] == true;
            (
                state["version"].to_string(),
                in_flight.unwrap_or_default().to_string(),
                if stopping { "draining" } else { "serving" },
            )
        }
        Err(_) => (String::from("?"), String::from("?"), "no answer"),
    };
    println!(
        "{:<20} {role:<7} {:<10} {version:>7} {in_flight:>9} {process_state:<9}",
        machine.name, machine.zone
    );
}

/// Starts or ends the drain of a back end's agent.
pub async fn set_drain(context: &Context, name: &str, drain: bool) -> Result<(), CommandError> {
    let machines = context.platform.machines("machines").await?;
    let machine = find_machine(&machines, name)?;
    let path = if drain { "/drain" } else { "/undrain" };
    let client = PlatformClient::new(machine.operator);
    let (status, _) = client.exchange("POST", path, None).await?;
    if !status.is_success() {
        return Err(CommandError::Process {
            name: name.to_string(),
            reason: status.to_string(),
        });
    }
    let state = if drain { "draining" } else { "serving" };
    println!("{name} is {state}");
    Ok(())
}

fn find_machine<'a>(machines: &'a [Machine], name: &str) -> Result<&'a Machine, CommandError> {
    let found = machines.iter().find(|machine| machine.name == name);
    found.ok_or_else(|| CommandError::Usage(format!("{name} is not on the machine list")))
}

/// Explains how a request was routed, from the decisions that its router
/// recorded. An identifier is `{router}.{request}`, as the response header
/// `Stacktack-Decision` gives it.
pub async fn explain(context: &Context, id: &str) -> Result<(), CommandError> {
    let Some((router, request)) = id.rsplit_once('.') else {
        return Err(CommandError::Usage(format!("{id} is no decision id")));
    };
    let machines = context.platform.machines("machines").await?;
    let machine = find_machine(&machines, router)?;
    let client = PlatformClient::new(machine.operator);
    let path = format!("/decisions/{request}");
    let (status, body) = client.exchange("GET", &path, None).await?;
    if !status.is_success() {
        return Err(CommandError::Process {
            name: router.to_string(),
            reason: format!("no record of {request}"),
        });
    }
    let record: RequestRecord = serde_json::from_slice(&body).map_err(PlatformError::from)?;
    if context.verify {
        verify(&record)?;
    }
    if context.json {
        return print_json(&record);
    }
    let head = read_head(&context.platform).await?;
    let name_of = |node: NodeId| head.configuration.node_name(node);
    print_record(&record, name_of);
    if context.verify {
        println!("verified: every choice follows from its recorded inputs");
    }
    Ok(())
}

fn verify(record: &RequestRecord) -> Result<(), CommandError> {
    if record.decisions.iter().all(DecisionRecord::verify) {
        return Ok(());
    }
    Err(CommandError::NotVerified(record.request.clone()))
}

fn print_record(record: &RequestRecord, name_of: impl Fn(NodeId) -> String) {
    println!(
        "request {} of tenant {} for {:?}",
        record.request, record.tenant, record.target
    );
    for decision in &record.decisions {
        let input = &decision.input;
        println!(
            "attempt {} under configuration {}: {} eligible, {} cut",
            decision.attempt,
            decision.version,
            decision.pool.eligible.len(),
            decision.pool.cut.len()
        );
        for cut in &decision.pool.cut {
            println!("  {} is cut: {:?}", name_of(cut.node), cut.reason);
        }
        for (node, refusal) in &decision.refused {
            println!("  {} had refused: {refusal:?}", name_of(*node));
        }
        for candidate in &input.candidates {
            let suspected = if candidate.suspected {
                ", suspected"
            } else {
                ""
            };
            println!(
                "  {} has load {:.1}, {} ms old{suspected}",
                name_of(candidate.node),
                candidate.load,
                candidate.load_age_ms
            );
        }
        println!(
            "  mean {:.1}, cap {}, work {:.0}",
            input.mean, input.cap, input.work
        );
        match decision.choice {
            Some(choice) => println!("  chosen: {} ({:?})", name_of(choice.node), choice.reason),
            None => println!("  chosen: none"),
        }
    }
    for event in &record.events {
        println!("{event}");
    }
    println!("ending: {:?}", record.ending);
}
