//! Addresses, router processes and their settings, and the record of a case.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::store::Store;

/// The program that the deploy file starts.
const PROGRAM: &str = "target/release/stacktack-platform-router";

const CLIENT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const STORE_PORT: u16 = 8223;
const WORKER_PORT: u16 = 8228;
const METRICS_PORT: u16 = 9464;
const FIRST_INTERNAL_PORT: u16 = 7340;

/// Lines about what was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        // Processes that the case starts append to the same file.
        let file = File::create(path).and_then(|_| File::options().append(true).open(path));
        Record {
            file: Arc::new(Mutex::new(file.expect("the record is created"))),
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn at(&self, moment: Instant) -> u128 {
        moment.saturating_duration_since(self.started).as_millis()
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that can't be written shows as missing lines.
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

/// Addresses and files of one small deployment on loopback.
pub struct Fleet {
    network: [u8; 2],
    directory: PathBuf,
    pub store: Store,
    pub record: Record,
    machine: Machine,
}

/// What a router's machine has, and the bounds of its deployment that differ.
#[derive(Clone, Copy)]
struct Machine {
    cpu_share: f64,
    memory_mb: u32,
    max_fds: u32,
    link_mbps: f64,
    contact_ms: u32,
    drain_timeout_ms: u32,
    config_apply_ms: u32,
}

/// The machines of `albumoire-prod`.
const USUAL: Machine = Machine {
    cpu_share: 0.19,
    memory_mb: 260,
    max_fds: 4100,
    link_mbps: 1000.0,
    contact_ms: 3000,
    drain_timeout_ms: 2000,
    config_apply_ms: 2000,
};

/// The smallest machines of `harecastle-sign-grown`.
const SMALL: Machine = Machine {
    cpu_share: 0.063,
    memory_mb: 112,
    max_fds: 2870,
    link_mbps: 10.0,
    contact_ms: 4000,
    drain_timeout_ms: 3000,
    config_apply_ms: 3000,
};

impl Fleet {
    /// Starts a deployment with the machines of `albumoire-prod`.
    pub fn start(record: Record) -> Self {
        Fleet::start_with(record, USUAL)
    }

    /// Starts a deployment with the smallest machines of `harecastle-sign-grown`.
    pub fn start_small(record: Record) -> Self {
        Fleet::start_with(record, SMALL)
    }

    /// Starts the store on a network of loopback addresses that nobody uses.
    fn start_with(record: Record, machine: Machine) -> Self {
        let process_id = std::process::id();
        for step in 0..200 {
            let seed = process_id.wrapping_mul(7).wrapping_add(step);
            let network = [100 + (seed % 100) as u8, (seed / 100 % 250) as u8];
            let is_free = (1..=4).all(|number| {
                [CLIENT_PORT, READY_PORT, METRICS_PORT, FIRST_INTERNAL_PORT]
                    .iter()
                    .all(|port| TcpListener::bind(address(network, number, *port)).is_ok())
            });
            let store = Store::start(address(network, 200, STORE_PORT));
            if let (true, Ok(store)) = (is_free, store) {
                let directory = std::env::temp_dir().join(format!("review-{process_id}"));
                std::fs::create_dir_all(&directory).expect("a temporary folder is created");
                return Fleet {
                    network,
                    directory,
                    store,
                    record,
                    machine,
                };
            }
        }
        eprintln!("no free loopback addresses");
        std::process::exit(2);
    }

    pub fn worker_address(&self, number: u8) -> SocketAddr {
        address(self.network, 100 + number, WORKER_PORT)
    }

    /// Lists a worker in the store.
    pub fn list_worker(&self, id: &str, service: &str, number: u8, slots: u32, state: &str) {
        let address = self.worker_address(number);
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}"
        );
        self.store.put("servers", id, &row);
    }

    /// Starts the router of this number and waits until it is ready.
    pub fn start_router(&self, number: u8) -> Router {
        let router = self.spawn_router(number);
        self.await_ready(number, &router);
        router
    }

    /// Starts routers at the same moment and waits until all are ready.
    pub fn start_routers(&self, count: u8) -> Vec<Router> {
        let routers: Vec<Router> = (1..=count)
            .map(|number| self.spawn_router(number))
            .collect();
        for (number, router) in (1..=count).zip(&routers) {
            self.await_ready(number, router);
        }
        routers
    }

    fn spawn_router(&self, number: u8) -> Router {
        let settings = self.directory.join(format!("boot-{number}.toml"));
        std::fs::write(&settings, self.settings(number)).expect("the settings are written");
        let log = File::create(self.directory.join(format!("router-{number}.log")));
        let child = self
            .command()
            .env("STACKTACK_CONFIG", &settings)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(log.expect("the log is created"))
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            eprintln!("{PROGRAM} does not start; build it first");
            std::process::exit(2);
        };
        Router {
            child,
            clients: address(self.network, number, CLIENT_PORT),
            ready: address(self.network, number, READY_PORT),
        }
    }

    /// The program, on a small machine with the descriptors that the platform allows it there.
    fn command(&self) -> Command {
        if self.machine.max_fds >= USUAL.max_fds {
            return Command::new(PROGRAM);
        }
        let limited = format!("ulimit -n {} && exec {PROGRAM}", self.machine.max_fds);
        let mut command = Command::new("bash");
        command.args(["-c", &limited]);
        command
    }

    fn await_ready(&self, number: u8, router: &Router) {
        let end = Instant::now() + Duration::from_secs(15);
        while !client::is_ready(router.ready) {
            if Instant::now() > end {
                // Ends the case as one that couldn't run, and the processes that it started.
                panic!("router {number} is not ready in time");
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record
            .line(&format!("router {number} ready clients={}", router.clients));
    }

    /// Settings as on the page of the deployment, with the bounds of its example.
    fn settings(&self, number: u8) -> String {
        let ip = address(self.network, number, 0).ip();
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("\"{}\"", address(self.network, seed, CONTROL_PORT)))
            .collect();
        let seeds = seeds.join(",");
        let last_internal_port = FIRST_INTERNAL_PORT + 15;
        let store = self.store.address;
        let Machine {
            cpu_share,
            memory_mb,
            max_fds,
            link_mbps,
            contact_ms,
            drain_timeout_ms,
            config_apply_ms,
        } = self.machine;
        format!(
            r#"node_name = "front-z1-{number}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "z1"
region = "r1"
internal_port_range = [{FIRST_INTERNAL_PORT}, {last_internal_port}]
seeds = [{seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
z1 = "r1"
[listen]
front = "{ip}:{CLIENT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
[limits]
cpu_share = {cpu_share}
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = {link_mbps:?}
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_delay_s = 2
contact_ms = {contact_ms}
ack_ms = 4000
catch_up_s = 4
drain_timeout_ms = {drain_timeout_ms}
grace_s = 8
loss_slack_ms = 200
config_apply_ms = {config_apply_ms}
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 56
recovery_s = 12
pass_ms = 120
retry_after_s = 10
cap_multiplier = 2
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
"#
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What can't be removed lies in the system's temporary folder.
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("logs: {}", self.directory.display());
        }
    }
}

/// A router process, which is killed when dropped.
pub struct Router {
    child: Child,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
}

impl Router {
    /// Sends the stop signal, as the platform does to a machine that leaves.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "SIGTERM is sent");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn address(network: [u8; 2], number: u8, port: u16) -> SocketAddr {
    let [second, third] = network;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, number)), port)
}
