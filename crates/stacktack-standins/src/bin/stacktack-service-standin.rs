//! Runs the stand-in of a plain service as a process.

use stacktack_node::http::listen;
use stacktack_node::logging;
use stacktack_node::settings::{read_or_exit, Flag, EXIT_FAILURE};
use stacktack_standins::service;

const FLAGS: &[Flag] = &[
    Flag::required("listen", "IP:PORT", "address to serve on"),
    Flag::with_default("duration-ms", "MILLISECONDS", "5", "time that a call takes"),
    Flag::switch("check", "validate the settings and exit"),
];

fn main() {
    let mut settings = read_or_exit(
        "stacktack-service-standin",
        "Stands in for a plain service.",
        FLAGS,
    );
    let address = settings.address("listen");
    let duration = settings.milliseconds("duration-ms", 0..=60_000);
    let check_only = settings.switch("check");
    settings.check_or_exit();
    if check_only {
        return;
    }
    logging::start();
    let result = actix_rt::System::new().block_on(async move {
        let listener = listen("listen", address).map_err(|error| error.to_string())?;
        log::info!(target: "service", "serving on {address}");
        service::run(listener, duration)
            .await
            .map_err(|error| error.to_string())
    });
    if let Err(error) = result {
        log::error!(target: "service", "stopped: {error}");
        std::process::exit(EXIT_FAILURE);
    }
}
