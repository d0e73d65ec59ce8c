//! The agent process: start-up, signals, graceful shutdown.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use rand::Rng;
use stacktack_core::configuration::change::Change;
use stacktack_core::configuration::Configuration;
use stacktack_core::control::Control;
use stacktack_core::gate::Gate;
use stacktack_core::protection::Protections;
use stacktack_node::client::{Machine, PlatformClient, Role};
use stacktack_node::clock::ProcessClock;
use stacktack_node::control::{member_of, new_incarnation, ControlHandle, ControlObserver};
use stacktack_node::http::{bind_datagram_socket, listen, serve, ListenError};
use stacktack_node::logging;
use stacktack_node::metrics::{Metrics, MetricsError};
use stacktack_node::settings::EXIT_FAILURE;
use stacktack_node::signals::StopSignals;
use stacktack_wire::identity::{Incarnation, NodeId};
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use crate::backend::BackendClient;
use crate::operator::{register_metrics, OperatorEndpoint};
use crate::settings::AgentSettings;
use crate::shared::{TrafficCommand, TrafficState};
use crate::traffic::TrafficHandle;

/// Time between two checks for attempts in flight during shutdown.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Errors that end an agent process.
#[derive(Debug, Error)]
pub enum AgentError {
    /// A listening address is not available.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A socket or signal operation failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// A state chart is invalid.
    #[error("invalid state chart: {0}")]
    Chart(#[from] stacktack_core::chart::ChartError),
    /// Metrics could not be initialized.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs the agent; returns its exit code.
pub fn main() -> i32 {
    let settings = AgentSettings::read();
    if settings.check_only {
        println!("settings are valid");
        return 0;
    }
    logging::start();
    match actix_rt::System::new().block_on(run(settings)) {
        Ok(()) => 0,
        Err(error) => {
            log::error!(target: "agent", "stopped: {error}");
            EXIT_FAILURE
        }
    }
}

async fn run(settings: AgentSettings) -> Result<(), AgentError> {
    let clock = ProcessClock::start();
    let incarnation = new_incarnation();
    let mut stop_signals = StopSignals::catch()?;
    let listener = listen("listen", settings.listen)?;
    let operator_listener = listen("operator", settings.operator)?;
    let socket = bind_datagram_socket("gossip", settings.gossip)?;
    let state = Arc::new(TrafficState::default());
    let (commands, receiver) = unbounded_channel();
    let metrics = Metrics::new()?;
    register_metrics(&metrics.meter(), &state);
    start_traffic(
        &settings,
        clock,
        incarnation,
        listener,
        receiver,
        state.clone(),
    )?;
    let control = start_control(&settings, clock, incarnation, socket, &commands, &state)?;
    let operator = Rc::new(OperatorEndpoint {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        state: state.clone(),
        commands: commands.clone(),
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
    log::info!(target: "agent", "{} accepts routers on {}", settings.name, settings.listen);
    stop_signals.wait().await;
    stop(&commands, &state).await;
    Ok(())
}

fn start_traffic(
    settings: &AgentSettings,
    clock: ProcessClock,
    incarnation: Incarnation,
    listener: std::net::TcpListener,
    commands: UnboundedReceiver<TrafficCommand>,
    state: Arc<TrafficState>,
) -> Result<(), AgentError> {
    let node = NodeId::of(&settings.name);
    let gate = Gate::new(node, incarnation, Protections::default(), clock.now())?;
    let address = settings.backend;
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        let backend = BackendClient::new(address);
        if let Err(error) = TrafficHandle::start(gate, clock, backend, listener, commands, state) {
            log::error!(target: "traffic", "the traffic thread did not start: {error}");
            std::process::exit(EXIT_FAILURE);
        }
    });
    Ok(())
}

fn start_control(
    settings: &AgentSettings,
    clock: ProcessClock,
    incarnation: Incarnation,
    socket: std::net::UdpSocket,
    commands: &UnboundedSender<TrafficCommand>,
    state: &Arc<TrafficState>,
) -> Result<ControlHandle, AgentError> {
    let machine = Machine {
        name: settings.name.clone(),
        role: Role::Agent,
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
        commands: commands.clone(),
        state: state.clone(),
    });
    Ok(ControlHandle::start(
        control, clock, socket, platform, machine, observer,
    )?)
}

/// Forwards updates of the control state to the traffic thread.
struct Observer {
    commands: UnboundedSender<TrafficCommand>,
    state: Arc<TrafficState>,
}

impl Observer {
    fn send(&self, command: TrafficCommand) {
        if self.commands.send(command).is_err() {
            log::error!(target: "agent", "the traffic thread has ended");
            std::process::exit(EXIT_FAILURE);
        }
    }
}

impl ControlObserver for Observer {
    fn on_configuration(&self, configuration: Arc<Configuration>, changes: Vec<Change>) {
        self.send(TrafficCommand::Configuration(configuration, changes));
    }

    fn on_members(&self, control: &Control) {
        let loads = control.members().active_agent_loads();
        self.send(TrafficCommand::PeerLoads(loads));
    }

    fn on_own_machine_leaving(&self) {
        self.send(TrafficCommand::Drain(true));
    }

    fn own_state(&self) -> (f64, bool) {
        (self.state.load(), self.state.draining())
    }
}

/// Starts draining, waits until no attempt is in flight, then sends all queued
/// messages and closes the routers' connections.
async fn stop(commands: &UnboundedSender<TrafficCommand>, state: &TrafficState) {
    log::info!(target: "agent", "stopping: new attempts are refused");
    if commands.send(TrafficCommand::Drain(true)).is_err() {
        return;
    }
    while !state.draining() || state.in_flight() > 0 {
        actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
    }
    let (done, closed) = oneshot::channel();
    if commands.send(TrafficCommand::Close(done)).is_ok() && closed.await.is_err() {
        log::warn!(target: "agent", "the traffic thread ended before its connections closed");
    }
    log::info!(target: "agent", "stopped: no attempts are in flight");
}
