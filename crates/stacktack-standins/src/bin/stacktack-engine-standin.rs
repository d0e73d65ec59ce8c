//! Runs the stand-in of a model engine as a process.

use std::time::Duration;

use stacktack_node::http::listen;
use stacktack_node::logging;
use stacktack_node::settings::{read_or_exit, Flag, EXIT_FAILURE};
use stacktack_standins::engine::cache::EventSettings;
use stacktack_standins::engine::model::EngineSettings;
use stacktack_standins::engine::server;

const FLAGS: &[Flag] = &[
    Flag::required("listen", "IP:PORT", "address to serve on"),
    Flag::with_default("batch", "NUMBER", "32", "sequences that run at once"),
    Flag::with_default(
        "cache-tokens",
        "NUMBER",
        "200000",
        "tokens in the prefix cache",
    ),
    Flag::with_default("step-us", "MICROSECONDS", "4000", "fixed part of a step"),
    Flag::with_default(
        "prefill-us",
        "MICROSECONDS",
        "40",
        "time for one prompt token",
    ),
    Flag::with_default(
        "decode-us",
        "MICROSECONDS",
        "100",
        "time a sequence adds to a step",
    ),
    Flag::with_default(
        "event-delay-ms",
        "MILLISECONDS",
        "300",
        "delay of cache events",
    ),
    Flag::with_default(
        "lose-every",
        "NUMBER",
        "97",
        "every how many cache events one is lost, 0 for none",
    ),
    Flag::with_default(
        "load-lag-ms",
        "MILLISECONDS",
        "500",
        "age of the reported load",
    ),
    Flag::with_default(
        "checks-fence",
        "true|false",
        "true",
        "refuse orders of older epochs",
    ),
    Flag::switch("check", "validate the settings and exit"),
];

fn main() {
    let mut settings = read_or_exit(
        "stacktack-engine-standin",
        "Stands in for a model engine.",
        FLAGS,
    );
    let address = settings.address("listen");
    let engine = EngineSettings {
        step_base: Duration::from_micros(settings.number("step-us", 1..=10_000_000)),
        prefill_per_token: Duration::from_micros(settings.number("prefill-us", 0..=1_000_000)),
        decode_per_sequence: Duration::from_micros(settings.number("decode-us", 0..=1_000_000)),
        max_batch: settings.number("batch", 1..=100_000),
        cache_tokens: settings.number("cache-tokens", 0..=1_000_000_000),
        load_lag: settings.milliseconds("load-lag-ms", 0..=60_000),
        events: EventSettings {
            delay: settings.milliseconds("event-delay-ms", 0..=60_000),
            lose_every: settings.number("lose-every", 0..=1_000_000_000),
            max_retained: 10_000,
        },
        ..EngineSettings::default()
    };
    let checks_fence = settings.choice("checks-fence", &[("true", true), ("false", false)]);
    let check_only = settings.switch("check");
    settings.check_or_exit();
    if check_only {
        return;
    }
    logging::start();
    let result = actix_rt::System::new().block_on(async move {
        let listener = listen("listen", address).map_err(|error| error.to_string())?;
        log::info!(target: "engine", "serving on {address}");
        server::run(listener, engine, checks_fence)
            .await
            .map_err(|error| error.to_string())
    });
    if let Err(error) = result {
        log::error!(target: "engine", "stopped: {error}");
        std::process::exit(EXIT_FAILURE);
    }
}
