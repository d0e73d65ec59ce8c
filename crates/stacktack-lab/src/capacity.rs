//! Control traffic, processor time and memory of the control code at several fleet sizes.
//!
//! The control states of all members of a fleet share one process and run on virtual time; the
//! real time that each call takes is counted as its processor time.

use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::configuration::change::{encode, Change, Difference};
use stacktack_core::configuration::store::HeadRow;
use stacktack_core::control::budget::DEFAULT_BYTES_PER_SECOND;
use stacktack_core::control::{Control, ControlInput, ControlOutput};
use stacktack_core::protection::Protections;
use stacktack_core::time::Time;
use stacktack_wire::codec::encode as encode_message;
use stacktack_wire::gossip::{Datagram, MemberInformation, MemberRole};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation};

use crate::error::LabError;
use crate::fleet::{fleet_document, zone_of, FleetPlan};
use crate::usage::resident_megabytes;

/// Time between two ticks of each control state, as in the binaries.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Network delay of each datagram.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Time from the start of a fleet until the configuration change is accepted.
const WARM_UP: Duration = Duration::from_secs(10);

/// Bytes of one read from the platform, headers included.
const READ_BYTES: usize = 600;

/// Number of processes to which the operator sends the accepted change.
const INFORMED_PROCESSES: usize = 5;

/// A datagram in flight.
struct Delivery {
    at: Time,
    sequence: u64,
    target: usize,
    source: SocketAddr,
    bytes: usize,
    datagram: Datagram,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Results at one fleet size.
struct Figures {
    processes: usize,
    /// Mean control traffic of a process, sent and received.
    mean_bytes_per_second: f64,
    /// Control traffic of the process that has the most.
    max_bytes_per_second: f64,
    /// Fraction of a core that the calls of a process take, on average.
    core_share: f64,
    /// Memory of a process, on average.
    kilobytes: f64,
    /// Time from the acceptance of the change until it is in force at all processes; `None` if it
    /// is not in force at some.
    in_force_after: Option<Duration>,
    /// Reads of all processes from the platform.
    reads_per_second: f64,
    /// Minimum over all processes of the number of members that the process knows.
    min_known_members: usize,
}

/// Control states of a fleet whose network and platform are simulated.
struct SimulatedFleet {
    now: Time,
    controls: Vec<Control>,
    /// Time of the next tick of each control state.
    next_tick: Vec<Time>,
    /// Index of each process by its gossip address.
    by_gossip: HashMap<SocketAddr, usize>,
    in_flight: BinaryHeap<Delivery>,
    sequence: u64,
    head: HeadRow,
    changes: Vec<Change>,
    reads: u64,
    /// Sum of the real times that the calls of all control states took.
    processor_time: Duration,
    /// When the change came into force at each process; `None` where it is not in force.
    in_force_at: Vec<Option<Time>>,
}

/// Measures each fleet size and prints a table. `seconds` is the length of a measurement, which
/// begins with a change of the configuration.
pub fn run(sizes: &[usize], tenants: usize, seconds: u64) -> Result<(), LabError> {
    println!("{tenants} tenants configured");
    println!(
        "{:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>7}",
        "processes", "B/s mean", "B/s most", "core %", "KB each", "in force", "reads/s", "known"
    );
    for size in sizes {
        let figures = measure(*size, tenants, Duration::from_secs(seconds))?;
        let in_force = figures.in_force_after.map_or_else(
            || String::from("not all"),
            |after| format!("{:.2} s", after.as_secs_f64()),
        );
        println!(
            "{:>9} {:>9.0} {:>9.0} {:>9.3} {:>9.0} {:>10} {:>8.1} {:>7}",
            figures.processes,
            figures.mean_bytes_per_second,
            figures.max_bytes_per_second,
            figures.core_share * 100.0,
            figures.kilobytes,
            in_force,
            figures.reads_per_second,
            figures.min_known_members
        );
    }
    Ok(())
}

fn measure(size: usize, tenants: usize, length: Duration) -> Result<Figures, LabError> {
    let before = resident_megabytes(std::process::id())?;
    let mut fleet = SimulatedFleet::new(size, tenants);
    fleet.run_until(Time::default() + WARM_UP);
    let bytes_before = fleet.control_bytes();
    let processor_time_before = fleet.processor_time;
    let reads_before = fleet.reads;
    let accepted_at = fleet.accept_change();
    fleet.run_until(accepted_at + length);
    let seconds = length.as_secs_f64();
    let rates: Vec<f64> = fleet
        .control_bytes()
        .iter()
        .zip(&bytes_before)
        .map(|(after, before)| (after - before) as f64 / seconds)
        .collect();
    let after = resident_megabytes(std::process::id())?;
    let in_force_at = fleet
        .in_force_at
        .iter()
        .copied()
        .collect::<Option<Vec<Time>>>();
    let processor_seconds = (fleet.processor_time - processor_time_before).as_secs_f64();
    Ok(Figures {
        processes: size,
        mean_bytes_per_second: rates.iter().sum::<f64>() / size as f64,
        max_bytes_per_second: rates.iter().copied().fold(0.0, f64::max),
        core_share: processor_seconds / seconds / size as f64,
        kilobytes: (after - before) * 1_024.0 / size as f64,
        in_force_after: in_force_at
            .and_then(|times| times.into_iter().max())
            .map(|at| at.since(accepted_at)),
        reads_per_second: (fleet.reads - reads_before) as f64 / seconds,
        min_known_members: fleet
            .controls
            .iter()
            .map(|control| control.members().len())
            .min()
            .unwrap_or(0),
    })
}

fn member_information(id: usize, size: usize) -> MemberInformation {
    let is_router = id < size / 4;
    let (name, role) = if is_router {
        (format!("router-{id}"), MemberRole::Router)
    } else {
        (format!("engine-{id}"), MemberRole::Agent)
    };
    let [_, _, high, low] = (id as u32).to_be_bytes();
    MemberInformation {
        name,
        incarnation: Incarnation(1_700_000_000_000 + id as u64),
        role,
        zone: zone_of(id),
        address: SocketAddr::from(([127, 1, high, low], 7_000)),
        gossip: SocketAddr::from(([127, 1, high, low], 8_000)),
        operator: SocketAddr::from(([127, 1, high, low], 9_000)),
    }
}

impl SimulatedFleet {
    fn new(size: usize, tenants: usize) -> Self {
        let plan = FleetPlan {
            engines: size * 3 / 4,
            tenants,
            ..FleetPlan::default()
        };
        let first = Change {
            version: ConfigurationVersion(1),
            author: String::from("lab"),
            change_id: String::from("first"),
            difference: Difference::between(&Default::default(), &fleet_document(&plan)),
        };
        let members: Vec<MemberInformation> =
            (0..size).map(|id| member_information(id, size)).collect();
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let now = Time::default();
        let mut fleet = SimulatedFleet {
            now,
            controls: Vec::new(),
            next_tick: Vec::new(),
            by_gossip: HashMap::new(),
            in_flight: BinaryHeap::new(),
            sequence: 0,
            head: HeadRow {
                version: ConfigurationVersion(1),
                change_id: String::from("first"),
                snapshot: None,
            },
            changes: vec![first],
            reads: 0,
            processor_time: Duration::ZERO,
            in_force_at: vec![None; size],
        };
        for (id, own) in members.iter().enumerate() {
            fleet.by_gossip.insert(own.gossip, id);
            let control = Control::new(
                own.clone(),
                DEFAULT_BYTES_PER_SECOND,
                Protections::default(),
                id as u64,
                now,
            );
            fleet.controls.push(control);
            let phase = TICK_INTERVAL.mul_f64(random.random_range(0.0..1.0));
            fleet.next_tick.push(now + phase);
        }
        for id in 0..size {
            fleet.handle(id, ControlInput::Machines(members.clone()));
        }
        fleet
    }

    fn control_bytes(&self) -> Vec<u64> {
        let total = |control: &Control| {
            let (sent, received) = control.byte_totals();
            sent + received
        };
        self.controls.iter().map(total).collect()
    }

    /// Runs ticks and datagrams up to a time.
    fn run_until(&mut self, end: Time) {
        loop {
            let tick = self
                .next_tick
                .iter()
                .enumerate()
                .min_by_key(|(_, at)| **at)
                .map(|(id, at)| (*at, id));
            let Some((tick_at, id)) = tick else {
                return;
            };
            while self
                .in_flight
                .peek()
                .is_some_and(|next| next.at <= tick_at.min(end))
            {
                self.deliver();
            }
            if tick_at > end {
                self.now = end;
                return;
            }
            self.now = tick_at;
            self.next_tick[id] = tick_at + TICK_INTERVAL;
            let load = (id % 7) as f64 * 100.0;
            self.handle(
                id,
                ControlInput::OwnState {
                    load,
                    draining: false,
                },
            );
            self.handle(id, ControlInput::Tick);
        }
    }

    fn deliver(&mut self) {
        let Some(delivery) = self.in_flight.pop() else {
            return;
        };
        self.now = delivery.at;
        let input = ControlInput::Datagram {
            source: delivery.source,
            bytes: delivery.bytes,
            datagram: Box::new(delivery.datagram),
        };
        self.handle(delivery.target, input);
    }

    /// Accepts a change of a limit by an operator; returns the time of acceptance.
    fn accept_change(&mut self) -> Time {
        let held = self.controls[0].configuration().clone();
        let mut document = held.document.clone();
        document.limits.load_cap = 1.5;
        let version = ConfigurationVersion(2);
        let change = Change {
            version,
            author: String::from("lab"),
            change_id: String::from("second"),
            difference: Difference::between(&held.document, &document),
        };
        self.head.version = version;
        self.head.change_id = change.change_id.clone();
        self.changes.push(change.clone());
        let accepted_at = self.now;
        if let Some(changes) = encode(&[change]) {
            let step = (self.controls.len() / INFORMED_PROCESSES).max(1);
            for id in (0..self.controls.len()).step_by(step) {
                self.handle(id, ControlInput::Changes(changes.clone()));
            }
        }
        accepted_at
    }

    fn handle(&mut self, id: usize, input: ControlInput) {
        let mut outputs = Vec::new();
        let begin = Instant::now();
        self.controls[id].handle(self.now, input, &mut outputs);
        self.processor_time += begin.elapsed();
        for output in outputs {
            self.perform(id, output);
        }
    }

    fn perform(&mut self, id: usize, output: ControlOutput) {
        match output {
            ControlOutput::Send { target, datagram } => self.send(id, target, datagram),
            ControlOutput::ReadHead => {
                self.charge_read(id);
                let head = self.head.clone();
                self.handle(id, ControlInput::Head(head));
            }
            ControlOutput::ReadChanges { held, .. } => {
                self.charge_read(id);
                let missing: Vec<Change> = self
                    .changes
                    .iter()
                    .filter(|change| change.version > held)
                    .cloned()
                    .collect();
                if let Some(changes) = encode(&missing) {
                    self.handle(id, ControlInput::Changes(changes));
                }
            }
            ControlOutput::ReadLeavingMachines => self.charge_read(id),
            ControlOutput::Configuration { configuration, .. } => {
                if configuration.version == ConfigurationVersion(2) {
                    self.in_force_at[id] = Some(self.now);
                }
            }
            ControlOutput::ReadSnapshot(_)
            | ControlOutput::FetchSnapshot(_)
            | ControlOutput::OwnMachineLeaving => {}
        }
    }

    fn charge_read(&mut self, id: usize) {
        self.reads += 1;
        self.controls[id].charge(self.now, READ_BYTES);
    }

    fn send(&mut self, id: usize, target: SocketAddr, datagram: Datagram) {
        let Some(target) = self.by_gossip.get(&target).copied() else {
            return;
        };
        let size = self.controls.len();
        self.sequence += 1;
        self.in_flight.push(Delivery {
            at: self.now + NETWORK_DELAY,
            sequence: self.sequence,
            target,
            source: member_information(id, size).gossip,
            bytes: encode_message(&datagram).map_or(0, |bytes| bytes.len()),
            datagram,
        });
    }
}
