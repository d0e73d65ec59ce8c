//! Runs the stand-in of the platform as a process.

use stacktack_node::http::listen;
use stacktack_node::logging;
use stacktack_node::settings::{read_or_exit, Flag, EXIT_FAILURE};
use stacktack_standins::platform::server::{run, PlatformSettings};

const FLAGS: &[Flag] = &[
    Flag::required("listen", "IP:PORT", "address to serve on"),
    Flag::with_default(
        "writes-per-second",
        "NUMBER",
        "300",
        "writes taken a second",
    ),
    Flag::with_default("reads-per-second", "NUMBER", "2000", "reads taken a second"),
    Flag::with_default(
        "weight-bytes-per-second",
        "NUMBER",
        "2000000000",
        "rate of the weight store",
    ),
    Flag::with_default(
        "machine-lag-ms",
        "MILLISECONDS",
        "1000",
        "lag of the machine list",
    ),
    Flag::switch("check", "validate the settings and exit"),
];

fn main() {
    let mut settings = read_or_exit(
        "stacktack-platform-standin",
        "Stands in for the platform.",
        FLAGS,
    );
    let address = settings.address("listen");
    let platform = PlatformSettings {
        writes_per_second: settings.number("writes-per-second", 0.0..=1e9),
        reads_per_second: settings.number("reads-per-second", 0.0..=1e9),
        weight_bytes_per_second: settings.number("weight-bytes-per-second", 0.0..=1e15),
        machine_lag: settings.milliseconds("machine-lag-ms", 0..=600_000),
    };
    let check_only = settings.switch("check");
    settings.check_or_exit();
    if check_only {
        return;
    }
    logging::start();
    let result = actix_rt::System::new().block_on(async move {
        let listener = listen("listen", address).map_err(|error| error.to_string())?;
        log::info!(target: "platform", "serving on {address}");
        run(listener, platform)
            .await
            .map_err(|error| error.to_string())
    });
    if let Err(error) = result {
        log::error!(target: "platform", "stopped: {error}");
        std::process::exit(EXIT_FAILURE);
    }
}
