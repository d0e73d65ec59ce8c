//! The router process: start-up, signals, graceful shutdown.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use rand::Rng;
use stacktack_core::chart::ChartError;
use stacktack_core::configuration::change::Change;
use stacktack_core::configuration::Configuration;
use stacktack_core::control::{Control, ControlInput};
use stacktack_core::dispatch::view::RouterView;
use stacktack_core::dispatch::Dispatcher;
use stacktack_core::protection::Protections;
use stacktack_node::client::{Machine, PlatformClient, Role};
use stacktack_node::clock::ProcessClock;
use stacktack_node::control::{member_of, new_incarnation, ControlHandle, ControlObserver};
use stacktack_node::http::{bind_datagram_socket, listen, serve, ListenError, KEEP_ALIVE_TIMEOUT};
use stacktack_node::logging;
use stacktack_node::metrics::{Metrics, MetricsError};
use stacktack_node::settings::EXIT_FAILURE;
use stacktack_node::signals::StopSignals;
use stacktack_wire::identity::Incarnation;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::operator::{register_metrics, OperatorEndpoint};
use crate::settings::RouterSettings;
use crate::shared::{ControlCommand, SharedState};
use crate::traffic::TrafficHandle;

/// Time between two checks for open callers during shutdown.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout, in seconds, for callers' connections to flush and close after all
/// responses are complete.
const FLUSH_TIMEOUT_SECONDS: u64 = 2;

/// Time within which a caller must send its request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Errors that end a router process.
#[derive(Debug, Error)]
pub enum RouterError {
    /// A listening address is not available.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A socket or signal operation failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// A state chart is invalid.
    #[error("invalid state chart: {0}")]
    Chart(#[from] ChartError),
    /// Metrics could not be initialized.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs the router; returns its exit code.
pub fn main() -> i32 {
    let settings = RouterSettings::read();
    if settings.check_only {
        println!("settings are valid");
        return 0;
    }
    logging::start();
    match actix_rt::System::new().block_on(run(settings)) {
        Ok(()) => 0,
        Err(error) => {
            log::error!(target: "router", "stopped: {error}");
            EXIT_FAILURE
        }
    }
}

async fn run(settings: RouterSettings) -> Result<(), RouterError> {
    let clock = ProcessClock::start();
    let incarnation = new_incarnation();
    let mut stop_signals = StopSignals::catch()?;
    let listener = listen("listen", settings.listen)?;
    let operator_listener = listen("operator", settings.operator)?;
    let socket = bind_datagram_socket("gossip", settings.gossip)?;
    let (commands, receiver) = unbounded_channel();
    let shared = Arc::new(SharedState::new(settings.name.clone(), clock, commands));
    let metrics = Metrics::new()?;
    register_metrics(&metrics.meter(), &shared);
    let control = start_control(&settings, clock, incarnation, socket, &shared)?;
    actix_rt::spawn(handle_commands(control.clone(), receiver));
    let operator = Rc::new(OperatorEndpoint {
        zone: settings.zone.clone(),
        shared: shared.clone(),
        control,
        metrics,
    });
    actix_rt::spawn(async move {
        let served = serve(operator_listener, move |request| {
            operator.clone().respond(request)
        });
        if let Err(error) = served.await {
            log::error!(target: "operator", "the operator endpoint failed: {error}");
        }
    });
    let server = start_traffic(&settings, &shared, listener)?;
    log::info!(target: "router", "{} accepts callers on {}", settings.name, settings.listen);
    stop_signals.wait().await;
    stop(&shared, &server).await;
    Ok(())
}

/// Starts the traffic threads. Each creates its own dispatcher when it starts;
/// the one created here only reports an invalid state chart before that.
fn start_traffic(
    settings: &RouterSettings,
    shared: &Arc<SharedState>,
    listener: std::net::TcpListener,
) -> Result<ServerHandle, RouterError> {
    Dispatcher::new(settings.policy, Protections::default(), 0)?;
    let shared = shared.clone();
    let worker_settings = settings.clone();
    let server = Server::build()
        .workers(settings.threads)
        .disable_signals()
        .shutdown_timeout(FLUSH_TIMEOUT_SECONDS)
        .listen("callers", listener, move || {
            let seed = rand::rng().next_u64();
            let traffic = start_worker(&worker_settings, shared.clone(), seed);
            HttpService::build()
                .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
                .client_request_timeout(REQUEST_HEAD_TIMEOUT)
                .on_connect_ext(|stream: &TcpStream, _| disable_nagle(stream))
                .h1(move |request| {
                    let traffic = traffic.clone();
                    async move { Ok::<_, Infallible>(traffic.respond(request).await) }
                })
                .tcp()
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!(target: "router", "the listener for callers failed: {error}");
        }
    });
    Ok(handle)
}

/// Disables Nagle's algorithm, so that a small piece of a stream is sent at once
/// and doesn't wait until the previous one was acknowledged.
fn disable_nagle(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::warn!(target: "router", "TCP_NODELAY could not be set on a caller's connection: {error}");
    }
}

fn start_worker(settings: &RouterSettings, shared: Arc<SharedState>, seed: u64) -> TrafficHandle {
    match Dispatcher::new(settings.policy, Protections::default(), seed) {
        Ok(dispatcher) => TrafficHandle::start(settings, shared, dispatcher, seed),
        Err(error) => {
            log::error!(target: "router", "a traffic thread did not start: {error}");
            std::process::exit(EXIT_FAILURE);
        }
    }
}

fn start_control(
    settings: &RouterSettings,
    clock: ProcessClock,
    incarnation: Incarnation,
    socket: std::net::UdpSocket,
    shared: &Arc<SharedState>,
) -> Result<ControlHandle, RouterError> {
    let machine = Machine {
        name: settings.name.clone(),
        role: Role::Router,
        zone: settings.zone.clone(),
        address: settings.listen,
        gossip: settings.gossip,
        operator: settings.operator,
        incarnation: incarnation.0,
        leaving: false,
    };
    let control = Control::new(
        member_of(&machine),
        settings.control_bytes,
        Protections::default(),
        rand::rng().next_u64(),
        clock.now(),
    );
    let platform = PlatformClient::new(settings.platform);
    let observer = Box::new(Observer {
        shared: shared.clone(),
    });
    Ok(ControlHandle::start(
        control, clock, socket, platform, machine, observer,
    )?)
}

async fn handle_commands(control: ControlHandle, mut commands: UnboundedReceiver<ControlCommand>) {
    while let Some(command) = commands.recv().await {
        control.handle(match command {
            ControlCommand::Changes(changes) => ControlInput::Changes(changes),
            ControlCommand::ConfigurationStale => ControlInput::ConfigurationStale,
        });
    }
}

/// Builds router views from the control state and publishes them to the traffic threads.
struct Observer {
    shared: Arc<SharedState>,
}

impl ControlObserver for Observer {
    fn on_configuration(&self, configuration: Arc<Configuration>, _changes: Vec<Change>) {
        let agents = self.shared.view.load().agents.clone();
        let view = RouterView {
            configuration,
            agents,
        };
        self.shared.view.store(Arc::new(view));
    }

    fn on_members(&self, control: &Control) {
        let configuration = control.configuration().clone();
        let view = RouterView::of(control.members(), configuration);
        self.shared.view.store(Arc::new(view));
    }

    fn on_own_machine_leaving(&self) {
        self.shared.stop();
    }

    fn own_state(&self) -> (f64, bool) {
        (0.0, self.shared.is_stopping())
    }
}

/// Refuses new requests, waits until no caller waits for a response, then flushes
/// and closes the callers' connections.
async fn stop(shared: &SharedState, server: &ServerHandle) {
    log::info!(target: "router", "stopping: new requests are refused");
    shared.stop();
    while shared.open_callers() > 0 {
        actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
    }
    server.stop(true).await;
    log::info!(target: "router", "stopped: no requests are in flight");
}
