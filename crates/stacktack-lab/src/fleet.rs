//! A fleet of stacktack and stand-in processes on loopback addresses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use stacktack_core::configuration::document::{
    BackEnd, BackEndKind, Document, Limits, Model, Service, Tenant,
};
use stacktack_core::configuration::hash_key;
use stacktack_node::client::PlatformClient;
use stacktack_node::configuration_store::{apply_document, read_head};

use crate::error::LabError;

/// Maximum time for the configuration store, and for each process, to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two polls of a process that is not ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Model that every engine of a lab fleet serves.
pub const MODEL: &str = "lab-model";

/// Plain service that a lab fleet has.
pub const SERVICE: &str = "catalogue";

/// Size and behaviour of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines, each with an agent.
    pub engines: usize,
    /// Number of instances of the plain service, each with an agent.
    pub services: usize,
    /// Number of tenants; the API key of `tenant-1` is `key-tenant-1`.
    pub tenants: usize,
    /// Number of requests that a back end may run at once.
    pub concurrency: u32,
    /// Load cap of the configuration.
    pub load_cap: f64,
    /// Additional flags of each engine stand-in.
    pub engine_flags: Vec<String>,
    /// Additional flags of each router.
    pub router_flags: Vec<String>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        FleetPlan {
            routers: 2,
            engines: 4,
            services: 1,
            tenants: 3,
            concurrency: 32,
            load_cap: 1.25,
            engine_flags: Vec::new(),
            router_flags: Vec::new(),
        }
    }
}

/// One process of a fleet.
pub struct FleetProcess {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Address of the operator endpoint; for stand-ins, the same as `address`.
    pub operator: SocketAddr,
    child: Child,
}

impl FleetProcess {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) -> Result<(), LabError> {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.id().to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(LabError::Request(format!(
                "{} could not be signalled",
                self.name
            )))
        }
    }

    /// Waits for the process to end; an error if its exit status is not 0.
    pub fn wait(&mut self) -> Result<(), LabError> {
        let status = self.child.wait()?;
        if status.success() {
            return Ok(());
        }
        Err(LabError::UncleanStop {
            name: self.name.clone(),
            status: status.to_string(),
        })
    }
}

/// Processes of a fleet; they are killed when it is dropped.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: FleetProcess,
    /// Engine stand-ins.
    pub engines: Vec<FleetProcess>,
    /// Stand-ins of the plain service.
    pub services: Vec<FleetProcess>,
    /// Agents, those of the engines first.
    pub agents: Vec<FleetProcess>,
    /// Routers.
    pub routers: Vec<FleetProcess>,
    /// Whether the processes keep running when the fleet is dropped.
    pub keep: bool,
    addresses: AddressPool,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if self.keep {
            return;
        }
        let all = std::iter::once(&mut self.platform)
            .chain(&mut self.engines)
            .chain(&mut self.services)
            .chain(&mut self.agents)
            .chain(&mut self.routers);
        for process in all {
            if process.child.kill().is_err() {
                log::debug!(target: "fleet", "{} ended before", process.name);
            }
            if process.child.wait().is_err() {
                log::debug!(target: "fleet", "{} could not be waited for", process.name);
            }
        }
    }
}

/// Path of a program: in the directory of the running one or, for tests, in its parent.
fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let directory = own.parent().map(PathBuf::from).unwrap_or_default();
    let path = directory.join(program);
    if path.exists() {
        return path;
    }
    directory
        .parent()
        .map(PathBuf::from)
        .unwrap_or_default()
        .join(program)
}

/// Port before the first that processes of a fleet use.
const BASE_PORT: u16 = 20_000;

/// Socket addresses of one fleet: a loopback address of its own, so that fleets that run at the
/// same time do not collide, and a port for each socket.
pub struct AddressPool {
    host: [u8; 4],
    next_port: u16,
}

impl AddressPool {
    /// Addresses for a new fleet.
    pub fn new() -> Self {
        static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        AddressPool {
            host: [127, high.max(2), low, fleet.saturating_add(1)],
            next_port: BASE_PORT,
        }
    }

    fn next(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::from((self.host, self.next_port))
    }
}

impl Default for AddressPool {
    fn default() -> Self {
        Self::new()
    }
}

fn start(
    program: &str,
    name: &str,
    address: SocketAddr,
    operator: SocketAddr,
    arguments: &[String],
) -> Result<FleetProcess, LabError> {
    let log_level = std::env::var("STACKTACK_LAB_LOG").unwrap_or_else(|_| String::from("warn"));
    let child = Command::new(program_path(program))
        .args(arguments)
        .env("RUST_LOG", log_level)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|source| LabError::Start {
            program: program.to_string(),
            source,
        })?;
    Ok(FleetProcess {
        name: name.to_string(),
        address,
        operator,
        child,
    })
}

fn start_standin(
    addresses: &mut AddressPool,
    program: &str,
    name: &str,
    flags: &[String],
) -> Result<FleetProcess, LabError> {
    let address = addresses.next();
    let mut arguments = vec![String::from("--listen"), address.to_string()];
    arguments.extend(flags.iter().cloned());
    start(program, name, address, address, &arguments)
}

/// Zone of the process with this number among those of its role.
pub fn zone_of(number: usize) -> String {
    format!("zone-{}", number % 2 + 1)
}

fn member_arguments(
    name: &str,
    zone: &str,
    platform: SocketAddr,
    [listen, operator, gossip]: [SocketAddr; 3],
) -> Vec<String> {
    let pairs = [
        ("--name", name.to_string()),
        ("--zone", zone.to_string()),
        ("--listen", listen.to_string()),
        ("--gossip", gossip.to_string()),
        ("--operator", operator.to_string()),
        ("--platform", platform.to_string()),
    ];
    pairs
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_string(), value])
        .collect()
}

/// Starts an agent in front of a back end.
pub fn start_agent(
    addresses: &mut AddressPool,
    platform: SocketAddr,
    name: &str,
    zone: &str,
    backend: SocketAddr,
) -> Result<FleetProcess, LabError> {
    let own = [addresses.next(), addresses.next(), addresses.next()];
    let mut arguments = member_arguments(name, zone, platform, own);
    arguments.extend([String::from("--backend"), backend.to_string()]);
    start("stacktack-agent", name, own[0], own[1], &arguments)
}

/// Starts a router.
pub fn start_router(
    addresses: &mut AddressPool,
    platform: SocketAddr,
    name: &str,
    zone: &str,
    flags: &[String],
) -> Result<FleetProcess, LabError> {
    let own = [addresses.next(), addresses.next(), addresses.next()];
    let mut arguments = member_arguments(name, zone, platform, own);
    arguments.extend(flags.iter().cloned());
    start("stacktack-router", name, own[0], own[1], &arguments)
}

/// Configuration document of a fleet.
pub fn fleet_document(plan: &FleetPlan) -> Document {
    let engines = (1..=plan.engines).map(|number| BackEnd {
        name: format!("engine-{number}"),
        kind: BackEndKind::Engine,
        labels: [(String::from("zone"), zone_of(number))].into(),
        capacity: 1.0,
        concurrency: plan.concurrency,
        models: vec![String::from(MODEL)],
        service: None,
        checks_fence: true,
        drained: false,
    });
    let services = (1..=plan.services).map(|number| BackEnd {
        name: format!("service-{number}"),
        kind: BackEndKind::Service,
        labels: [(String::from("zone"), zone_of(number))].into(),
        capacity: 1.0,
        concurrency: plan.concurrency,
        models: Vec::new(),
        service: Some(String::from(SERVICE)),
        checks_fence: true,
        drained: false,
    });
    Document {
        limits: Limits {
            load_cap: plan.load_cap,
            ..Limits::default()
        },
        back_ends: engines.chain(services).collect(),
        models: vec![Model {
            name: String::from(MODEL),
            labels: Default::default(),
        }],
        tenants: (1..=plan.tenants).map(tenant).collect(),
        services: vec![Service {
            name: String::from(SERVICE),
            repeatable: false,
        }],
        ..Document::default()
    }
}

fn tenant(number: usize) -> Tenant {
    let name = format!("tenant-{number}");
    Tenant {
        key_hashes: vec![hash_key(&tenant_key(&name))],
        name,
        labels: Default::default(),
        weight: 1.0,
        concurrency_per_back_end: 10_000,
    }
}

/// API key of a tenant of a lab fleet.
pub fn tenant_key(name: &str) -> String {
    format!("key-{name}")
}

impl Fleet {
    /// Starts a fleet and waits until it is ready.
    pub async fn start(plan: &FleetPlan) -> Result<Self, LabError> {
        let mut addresses = AddressPool::new();
        let flags = [String::from("--machine-lag-ms"), String::from("200")];
        let platform = start_standin(
            &mut addresses,
            "stacktack-platform-standin",
            "platform",
            &flags,
        )?;
        let mut fleet = Fleet {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            keep: false,
            addresses,
        };
        for number in 1..=plan.engines {
            let name = format!("engine-{number}");
            let program = "stacktack-engine-standin";
            let engine = start_standin(&mut fleet.addresses, program, &name, &plan.engine_flags)?;
            fleet.add_agent(&name, number, engine.address)?;
            fleet.engines.push(engine);
        }
        for number in 1..=plan.services {
            let name = format!("service-{number}");
            let program = "stacktack-service-standin";
            let service = start_standin(&mut fleet.addresses, program, &name, &[])?;
            fleet.add_agent(&name, number, service.address)?;
            fleet.services.push(service);
        }
        for number in 1..=plan.routers {
            let name = format!("router-{number}");
            fleet.push_router(&name, number, &plan.router_flags)?;
        }
        fleet.configure(plan).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    fn add_agent(
        &mut self,
        name: &str,
        number: usize,
        backend: SocketAddr,
    ) -> Result<(), LabError> {
        let platform = self.platform.address;
        let zone = zone_of(number);
        let agent = start_agent(&mut self.addresses, platform, name, &zone, backend)?;
        self.agents.push(agent);
        Ok(())
    }

    fn push_router(&mut self, name: &str, number: usize, flags: &[String]) -> Result<(), LabError> {
        let platform = self.platform.address;
        let zone = zone_of(number);
        let router = start_router(&mut self.addresses, platform, name, &zone, flags)?;
        self.routers.push(router);
        Ok(())
    }

    /// Starts one more router, without waiting until it is ready.
    pub fn add_router(&mut self, name: &str) -> Result<&FleetProcess, LabError> {
        let number = self.routers.len() + 1;
        self.push_router(name, number, &[])?;
        Ok(&self.routers[number - 1])
    }

    /// A client of the platform.
    pub fn client(&self) -> PlatformClient {
        PlatformClient::new(self.platform.address)
    }

    async fn configure(&self, plan: &FleetPlan) -> Result<(), LabError> {
        let client = self.client();
        let begin = Instant::now();
        let head = loop {
            match read_head(&client).await {
                Ok(head) => break head,
                Err(error) if begin.elapsed() > READY_TIMEOUT => return Err(error.into()),
                Err(_) => actix_rt::time::sleep(READY_POLL_INTERVAL).await,
            }
        };
        apply_document(&client, &head, "lab", &fleet_document(plan)).await?;
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), LabError> {
        for process in self.agents.iter().chain(&self.routers) {
            wait_until(process, "/readyz", |_| true).await?;
        }
        let agents = self.agents.len();
        for router in &self.routers {
            wait_until(router, "/status", |status| known_agents(status) >= agents).await?;
        }
        Ok(())
    }

    /// Stops the routers and then the agents with `TERM`, one after another.
    pub fn stop(&mut self) -> Result<(), LabError> {
        for process in self.routers.iter_mut().chain(&mut self.agents) {
            process.signal("TERM")?;
            process.wait()?;
        }
        Ok(())
    }
}

/// Number of agents in the status of a router.
fn known_agents(status: &serde_json::Value) -> usize {
    status["agents"].as_array().map_or(0, Vec::len)
}

/// Reads a JSON body from the operator endpoint of a process; null if the body is not JSON.
pub async fn read_json(process: &FleetProcess, path: &str) -> Result<serde_json::Value, LabError> {
    let client = PlatformClient::new(process.operator);
    let (_, body) = client.exchange("GET", path, None).await?;
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}

/// Waits until the operator endpoint of a process responds to `GET path` with a success status and
/// a body for which `is_wanted` holds.
pub async fn wait_until(
    process: &FleetProcess,
    path: &str,
    is_wanted: impl Fn(&serde_json::Value) -> bool,
) -> Result<(), LabError> {
    let client = PlatformClient::new(process.operator);
    let begin = Instant::now();
    while begin.elapsed() < READY_TIMEOUT {
        if let Ok((status, body)) = client.exchange("GET", path, None).await {
            let value = serde_json::from_slice(&body).unwrap_or_default();
            if status.is_success() && is_wanted(&value) {
                return Ok(());
            }
        }
        actix_rt::time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(LabError::NotReady(process.name.clone()))
}
