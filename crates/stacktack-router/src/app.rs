//! The router's process: start, signals, stop.

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

use crate::operator::{register_metrics, Operator};
use crate::settings::RouterSettings;
use crate::shared::{ControlCommand, Shared};
use crate::traffic::Traffic;

/// Time between looks at open callers while stopping.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Seconds for connections to flush once every answer is whole.
const FLUSH_SECONDS: u64 = 2;

/// Time for a caller to send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a router stopped early.
#[derive(Debug, Error)]
pub enum RouterError {
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Sockets or signals failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// A state chart is not usable.
    #[error("state chart: {0}")]
    Chart(#[from] ChartError),
    /// Metrics could not be set up.
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
    let shared = Arc::new(Shared::new(settings.name.clone(), clock, commands));
    let metrics = Metrics::new()?;
    register_metrics(&metrics.meter(), &shared);
    let control = start_control(&settings, clock, incarnation, socket, &shared)?;
    actix_rt::spawn(obey(control.clone(), receiver));
    let operator = Rc::new(Operator {
        zone: settings.zone.clone(),
        shared: shared.clone(),
        control,
        metrics,
    });
    actix_rt::spawn(async move {
        let served = serve(operator_listener, move |request| {
            operator.clone().answer(request)
        });
        if let Err(error) = served.await {
            log::error!(target: "operator", "the operators' address failed: {error}");
        }
    });
    let server = start_traffic(&settings, &shared, listener)?;
    log::info!(target: "router", "{} takes callers on {}", settings.name, settings.listen);
    stop_signals.wait().await;
    stop(&shared, &server).await;
    Ok(())
}

/// Starts the traffic threads; each makes its own state when it begins.
fn start_traffic(
    settings: &RouterSettings,
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
) -> Result<ServerHandle, RouterError> {
    Dispatcher::new(settings.policy, Protections::default(), 0)?;
    let shared = shared.clone();
    let worker_settings = settings.clone();
    let server = Server::build()
        .workers(settings.threads)
        .disable_signals()
        .shutdown_timeout(FLUSH_SECONDS)
        .listen("callers", listener, move || {
            let seed = rand::rng().next_u64();
            let traffic = start_worker(&worker_settings, shared.clone(), seed);
            HttpService::build()
                .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
                .client_request_timeout(HEAD_TIMEOUT)
                .on_connect_ext(|stream: &TcpStream, _| disable_write_delay(stream))
                .h1(move |request| {
                    let traffic = traffic.clone();
                    async move { Ok::<_, Infallible>(traffic.answer(request).await) }
                })
                .tcp()
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!(target: "router", "the callers' address failed: {error}");
        }
    });
    Ok(handle)
}

/// Small pieces of a stream go out at once, not when the one before them was
/// acknowledged.
fn disable_write_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::warn!(target: "router", "a caller's connection keeps its write delay: {error}");
    }
}

fn start_worker(settings: &RouterSettings, shared: Arc<Shared>, seed: u64) -> Traffic {
    match Dispatcher::new(settings.policy, Protections::default(), seed) {
        Ok(dispatcher) => Traffic::start(settings, shared, dispatcher, seed),
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
    shared: &Arc<Shared>,
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

async fn obey(control: ControlHandle, mut commands: UnboundedReceiver<ControlCommand>) {
    while let Some(command) = commands.recv().await {
        control.handle(match command {
            ControlCommand::Changes(changes) => ControlInput::Changes(changes),
            ControlCommand::WantConfiguration => ControlInput::ConfigurationStale,
        });
    }
}

/// Makes a view of what the control thread learns.
struct Observer {
    shared: Arc<Shared>,
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

/// Refuses new requests, waits for the answers under way, flushes.
async fn stop(shared: &Shared, server: &ServerHandle) {
    log::info!(target: "router", "stopping: no new requests are taken");
    shared.stop();
    while shared.open_callers() > 0 {
        actix_rt::time::sleep(STOP_POLL).await;
    }
    server.stop(true).await;
    log::info!(target: "router", "stopped: nothing is in flight");
}
