//! Fleets, requests and waits that the tests share.

use std::future::Future;

use stacktack_lab::caller::{Caller, CallerResponse, Chat, ExpectedResponses};
use stacktack_lab::error::LabError;
use stacktack_lab::fleet::{
    read_json, tenant_key, wait_until, Fleet, FleetPlan, FleetProcess, MODEL, SERVICE,
};
use stacktack_node::client::PlatformClient;

/// Number of tokens of a response that is long enough to be still in progress when a test acts.
pub const LONG_RESPONSE_TOKENS: u32 = 150;

/// Runs a test on the Actix runtime and fails it on an error.
pub fn run<F: Future<Output = Result<(), LabError>>>(test: F) {
    let result = actix_rt::System::new().block_on(test);
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// One router and one engine.
pub fn small_fleet() -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: 1,
        services: 0,
        ..FleetPlan::default()
    }
}

/// Posts to an operator endpoint, which has to respond with success.
pub async fn post(process: &FleetProcess, path: &str, body: &str) -> Result<(), LabError> {
    let client = PlatformClient::new(process.operator);
    let bytes = body.as_bytes().to_vec();
    let (status, _) = client.exchange("POST", path, Some(bytes)).await?;
    assert!(status.is_success(), "{path} {body}: {status}");
    Ok(())
}

/// Waits until an engine has generated this number of tokens.
pub async fn wait_generated(engine: &FleetProcess, tokens: u64) -> Result<(), LabError> {
    wait_until(engine, "/observed", |observed| {
        observed["generated_tokens"].as_u64() >= Some(tokens)
    })
    .await
}

/// Starts a request for a long stream; returns the expected responses and the task that gets the
/// response.
pub fn start_long(
    router: &FleetProcess,
    id: &str,
    headers: &'static [(&'static str, &'static str)],
) -> Result<
    (
        ExpectedResponses,
        actix_rt::task::JoinHandle<Result<CallerResponse, LabError>>,
    ),
    LabError,
> {
    let mut chat = Chat::new(id.to_string(), String::from("tenant-1"), 40);
    chat.add_user_message("tell me all");
    let body = chat.body(MODEL, true, LONG_RESPONSE_TOKENS);
    let expected = ExpectedResponses::of(&body)?;
    let caller = Caller::new(router.address);
    let task = actix_rt::spawn(async move {
        let key = tenant_key("tenant-1");
        caller.complete(&chat, &key, body, headers).await
    });
    Ok((expected, task))
}

/// Waits for a task of [`start_long`] and returns its response.
pub async fn finished(
    task: actix_rt::task::JoinHandle<Result<CallerResponse, LabError>>,
) -> Result<CallerResponse, LabError> {
    task.await
        .map_err(|error| LabError::Request(error.to_string()))?
}

/// One router and two instances of the plain service.
pub fn service_fleet() -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: 0,
        services: 2,
        ..FleetPlan::default()
    }
}

/// Number of calls that the services of the fleet ran, as counted by themselves.
pub async fn service_runs(fleet: &Fleet) -> Result<u64, LabError> {
    let mut runs = 0;
    for service in &fleet.services {
        let observed = read_json(service, "/observed").await?;
        runs += observed["calls"].as_u64().unwrap_or(0);
    }
    Ok(runs)
}

/// Sends one call with an idempotency key through the first router.
pub async fn call_once(fleet: &Fleet, key: &str) -> Result<CallerResponse, LabError> {
    let caller = Caller::new(fleet.routers[0].address);
    let path = format!("/services/{SERVICE}/entries");
    let headers = [("idempotency-key", key)];
    let tenant = tenant_key("tenant-1");
    caller
        .call_service("POST", &path, &tenant, &headers, String::from("entry"))
        .await
}
