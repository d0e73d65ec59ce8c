//! Control thread of a process: drives [`Control`] with a UDP socket, a client of
//! the platform and a clock.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use actix_rt::time::{interval, sleep};
use stacktack_core::configuration::change::Change;
use stacktack_core::configuration::store::{HeadRow, SnapshotObject, SnapshotReference, HEAD_KEY};
use stacktack_core::configuration::Configuration;
use stacktack_core::control::{Control, ControlInput, ControlOutput};
use stacktack_core::problem::{Outcome, ProblemKind};
use stacktack_wire::codec::{decode, encode as encode_message};
use stacktack_wire::gossip::{Datagram, MemberInformation, MemberRole, MAX_DATAGRAM_BYTES};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId};
use stacktack_wire::message::EncodedChanges;
use tokio::net::UdpSocket;

use crate::client::{Machine, PlatformClient, Role};
use crate::clock::ProcessClock;
use crate::configuration_store::{read_changes, read_snapshot};
use crate::http::{json_response, problem_response, read_body};

/// Time between two ticks of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two registrations with the platform's machine list.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between the first two reads of the machine list; doubles with
/// each read up to `MIN_LIST_INTERVAL`.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two reads of the whole machine list in the long run.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Average rate, in bytes per second, that reads of the machine list may use.
const LIST_BYTES_PER_SECOND: f64 = 200.0;

/// Bytes of HTTP and TCP headers counted for one call of the platform.
const CALL_OVERHEAD_BYTES: usize = 500;

/// Receives events of the control thread for the rest of the process, and reports
/// the state of the process to it.
pub trait ControlObserver {
    /// Called when a later configuration is in force.
    fn on_configuration(&self, configuration: Arc<Configuration>, changes: Vec<Change>);

    /// Called after each tick and each read of the machine list: members or their
    /// loads may have changed.
    fn on_members(&self, control: &Control);

    /// Called when the platform is about to take this machine away.
    fn on_own_machine_leaving(&self);

    /// Load divided by capacity, and whether the process accepts no new work.
    fn own_state(&self) -> (f64, bool);
}

/// Incarnation of a process that starts now: milliseconds since the Unix epoch.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_millis() as u64)
}

/// Handle to the control state, for the thread that runs it.
#[derive(Clone)]
pub struct ControlHandle {
    inner: Rc<Inner>,
}

struct Inner {
    control: RefCell<Control>,
    clock: ProcessClock,
    socket: UdpSocket,
    platform: PlatformClient,
    observer: Box<dyn ControlObserver>,
}

impl ControlHandle {
    /// Starts the control tasks on the current thread.
    pub fn start(
        control: Control,
        clock: ProcessClock,
        socket: std::net::UdpSocket,
        platform: PlatformClient,
        machine: Machine,
        observer: Box<dyn ControlObserver>,
    ) -> std::io::Result<Self> {
        socket.set_nonblocking(true)?;
        let inner = Rc::new(Inner {
            control: RefCell::new(control),
            clock,
            socket: UdpSocket::from_std(socket)?,
            platform,
            observer,
        });
        let handle = ControlHandle { inner };
        actix_rt::spawn(handle.clone().receive());
        actix_rt::spawn(handle.clone().tick());
        actix_rt::spawn(handle.clone().register(machine));
        actix_rt::spawn(handle.clone().read_machines());
        Ok(handle)
    }

    /// Passes an input to the control state and carries out its outputs.
    pub fn handle(&self, input: ControlInput) {
        let mut outputs = Vec::new();
        let now = self.inner.clock.now();
        self.inner
            .control
            .borrow_mut()
            .handle(now, input, &mut outputs);
        for output in outputs {
            self.perform(output);
        }
    }

    /// Calls a function with the control state.
    pub fn with<T>(&self, read: impl FnOnce(&Control) -> T) -> T {
        read(&self.inner.control.borrow())
    }

    fn perform(&self, output: ControlOutput) {
        match output {
            ControlOutput::Send { target, datagram } => self.send(target, &datagram),
            ControlOutput::ReadHead => {
                actix_rt::spawn(self.clone().read_head());
            }
            ControlOutput::ReadSnapshot(version) => {
                actix_rt::spawn(self.clone().read_snapshot(version));
            }
            ControlOutput::ReadChanges { held, change_id } => {
                actix_rt::spawn(self.clone().read_changes(held, change_id));
            }
            ControlOutput::FetchSnapshot(peer) => {
                actix_rt::spawn(self.clone().fetch_snapshot(peer));
            }
            ControlOutput::ReadLeavingMachines => {
                actix_rt::spawn(self.clone().read_leaving_machines());
            }
            ControlOutput::Configuration {
                configuration,
                changes,
            } => {
                log::info!(target: "control", "configuration {} is in force", configuration.version);
                self.inner.observer.on_configuration(configuration, changes);
            }
            ControlOutput::OwnMachineLeaving => {
                log::info!(target: "control", "the platform is about to take this machine away");
                self.inner.observer.on_own_machine_leaving();
            }
        }
    }

    fn send(&self, target: SocketAddr, datagram: &Datagram) {
        let Ok(bytes) = encode_message(datagram) else {
            return;
        };
        if let Err(error) = self.inner.socket.try_send_to(&bytes, target) {
            log::debug!(target: "control", "a datagram to {target} was not sent: {error}");
        }
    }

    async fn receive(self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 256];
        loop {
            let Ok((bytes, source)) = self.inner.socket.recv_from(&mut buffer).await else {
                continue;
            };
            match decode::<Datagram>(&buffer[..bytes]) {
                Ok(datagram) => self.handle(ControlInput::Datagram {
                    source,
                    bytes,
                    datagram: Box::new(datagram),
                }),
                Err(error) => {
                    log::debug!(target: "control", "a datagram from {source} is ignored: {error}");
                }
            }
        }
    }

    async fn tick(self) {
        let mut ticks = interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            let (load, draining) = self.inner.observer.own_state();
            self.handle(ControlInput::OwnState { load, draining });
            self.handle(ControlInput::Tick);
            self.inner.observer.on_members(&self.inner.control.borrow());
        }
    }

    fn charge(&self, bytes: usize) {
        let now = self.inner.clock.now();
        let mut control = self.inner.control.borrow_mut();
        control.charge(now, bytes + CALL_OVERHEAD_BYTES);
    }

    async fn register(self, machine: Machine) {
        loop {
            self.charge(0);
            if let Err(error) = self.inner.platform.register(&machine).await {
                log::debug!(target: "control", "registration with the platform failed: {error}");
            }
            sleep(REGISTRATION_INTERVAL).await;
        }
    }

    async fn read_machines(self) {
        let mut min_interval = INITIAL_LIST_INTERVAL;
        loop {
            let pause = match self.inner.platform.machines("machines").await {
                Ok(machines) => {
                    let bytes = serde_json::to_vec(&machines).map_or(0, |bytes| bytes.len());
                    self.charge(bytes);
                    let members = machines.iter().map(member_of).collect();
                    self.handle(ControlInput::Machines(members));
                    self.inner.observer.on_members(&self.inner.control.borrow());
                    Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_SECOND)
                }
                Err(error) => {
                    log::debug!(target: "control", "the machine list was not read: {error}");
                    min_interval
                }
            };
            sleep(pause.max(min_interval)).await;
            min_interval = (min_interval * 2).min(MIN_LIST_INTERVAL);
        }
    }

    async fn read_leaving_machines(self) {
        self.charge(0);
        let Ok(machines) = self.inner.platform.machines("machines/leaving").await else {
            return;
        };
        let leaving = machines
            .iter()
            .map(|machine| (NodeId::of(&machine.name), Incarnation(machine.incarnation)))
            .collect();
        self.handle(ControlInput::LeavingMachines(leaving));
    }

    async fn read_head(self) {
        self.charge(0);
        let row = match self.inner.platform.get_row(HEAD_KEY).await {
            Ok(Some(row)) => row,
            Ok(None) => return,
            Err(error) => {
                log::debug!(target: "control", "the head was not read: {error}");
                return;
            }
        };
        match serde_json::from_str::<HeadRow>(&row.value) {
            Ok(head) => self.handle(ControlInput::Head(head)),
            Err(error) => log::error!(target: "control", "the head row does not parse: {error}"),
        }
    }

    async fn read_snapshot(self, snapshot: SnapshotReference) {
        let input = match read_snapshot(&self.inner.platform, &snapshot.path()).await {
            Ok(object) => ControlInput::Snapshot(Box::new(object.into())),
            Err(error) => {
                log::warn!(target: "control", "snapshot {} was not read: {error}", snapshot.version);
                ControlInput::ReadFailed
            }
        };
        self.handle(input);
    }

    async fn fetch_snapshot(self, peer: SocketAddr) {
        let client = PlatformClient::new(peer);
        match read_snapshot(&client, CONFIGURATION_PATH).await {
            Ok(object) => self.handle(ControlInput::Snapshot(Box::new(object.into()))),
            Err(error) => {
                log::debug!(target: "control", "no configuration was read from peer {peer}: {error}");
            }
        }
    }

    async fn read_changes(self, held: ConfigurationVersion, change_id: String) {
        let input = match read_changes(&self.inner.platform, held, change_id).await {
            Ok(Some(changes)) => ControlInput::Changes(changes),
            Ok(None) | Err(_) => ControlInput::ReadFailed,
        };
        self.handle(input);
    }
}

/// Path of a process to which operators send accepted changes.
pub const CHANGES_PATH: &str = "/changes";

/// Path from which a process serves the configuration in force.
pub const CONFIGURATION_PATH: &str = "/configuration";

/// Serves the configuration in force to a process that starts while the platform
/// does not answer.
pub fn serve_configuration(control: &ControlHandle) -> Response<BoxBody> {
    let configuration = control.with(|control| control.configuration().clone());
    if configuration.version.0 == 0 {
        let problem = ProblemKind::NotReady.problem(Outcome::NotRun, "no configuration yet");
        return problem_response(&problem);
    }
    let object = SnapshotObject {
        version: configuration.version,
        change_id: String::new(),
        document: configuration.document.clone(),
    };
    json_response(StatusCode::OK, &object)
}

/// Maximum size of a body of changes.
const MAX_CHANGES_BYTES: u64 = 16 * 1024 * 1024;

/// Maximum time for a body of changes to arrive.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(5);

/// Receives accepted changes from the command line of an operator. They are put
/// in force only if they follow the held version; others are ignored, and the
/// process catches up by gossip or its next read of the head.
pub async fn receive_changes(control: &ControlHandle, mut request: Request) -> Response<BoxBody> {
    let body = match read_body(&mut request, MAX_CHANGES_BYTES, CHANGES_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return problem_response(&error.problem()),
    };
    match serde_json::from_slice::<EncodedChanges>(&body) {
        Ok(changes) => {
            control.handle(ControlInput::Changes(changes));
            let version = control.with(|control| control.configuration().version);
            json_response(StatusCode::OK, &version)
        }
        Err(error) => {
            let problem = ProblemKind::MalformedBody.problem(Outcome::NotRun, error.to_string());
            problem_response(&problem)
        }
    }
}

/// Converts an entry of the platform's machine list to a member.
pub fn member_of(machine: &Machine) -> MemberInformation {
    MemberInformation {
        name: machine.name.clone(),
        incarnation: Incarnation(machine.incarnation),
        role: match machine.role {
            Role::Router => MemberRole::Router,
            Role::Agent => MemberRole::Agent,
        },
        zone: machine.zone.clone(),
        address: machine.address,
        gossip: machine.gossip,
        operator: machine.operator,
    }
}
