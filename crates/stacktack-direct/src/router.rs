//! State of a direct router's process. One thread owns it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::admission::PoolAdmission;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::back_ends::slow_start::KnownFleet;
use stacktack_core::direct::back_ends::zone_drain::ZoneDrains;
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::choice::part_shares::PartShares;
use stacktack_core::direct::choice::prefix_locations::PrefixLocations;
use stacktack_core::direct::peers::peer_gossip::{ShortId, ZoneHash};
use stacktack_core::direct::peers::snapshot_transfers::SnapshotTransfers;
use stacktack_core::direct::peers::Peers;
use stacktack_core::direct::quarantine::interrupted_runs::InterruptedRuns;
use stacktack_core::direct::quarantine::Quarantine;
use stacktack_core::direct::request::budget::PoolRetryBudget;
use stacktack_core::direct::request::planned_stop::PlannedStop;
use stacktack_core::direct::request::run_times::RunTimes;
use stacktack_core::direct::rollout::Rollouts;
use stacktack_core::direct::sources::directory_source::PendingRemovals;
use stacktack_core::direct::traffic::configuration_changes::ConfigurationHistory;
use stacktack_core::direct::traffic::route::TrafficConfiguration;
use stacktack_core::time::Time;
use tokio::sync::{watch, Notify};

use crate::clock::{Clock, SuspensionDetector};
use crate::connection::RestingConnections;
use crate::crash_detection::CrashProbe;
use crate::freshness::KnownFreshness;
use crate::load_summary::LoadSummary;
use crate::metrics::DirectMetrics;
use crate::ports::Protocol;
use crate::settings::{Bounds, DirectSettings};

/// How far a process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Takes requests that end in time, and says that each connection ends with its answer.
    Closing,
    /// Closes resting connections and refuses what still comes; answers under
    /// way end.
    Draining,
    /// The process ends: answers that are still under way are cut.
    Ended,
}

/// A pool that requests came for.
struct KnownPool {
    /// Conditions on its back ends.
    back_ends: Vec<Requirement>,
    budget: PoolRetryBudget,
}

/// State of the process.
pub struct Router {
    /// Settings that hold for the life of the process.
    pub settings: DirectSettings,
    /// Bounds in force; they change with the settings.
    bounds: Cell<Bounds>,
    /// The protocols towards callers and back ends.
    pub protocol: Rc<dyn Protocol>,
    /// The configuration in force.
    pub configuration: RefCell<Option<Arc<TrafficConfiguration>>>,
    /// What the last versions of the configuration changed.
    pub configuration_history: RefCell<ConfigurationHistory>,
    /// What is believed of back ends.
    pub back_ends: RefCell<BackEnds>,
    /// Zones whose back ends get no requests.
    pub zone_drains: RefCell<ZoneDrains>,
    /// Told when what the operator's store says of zones has to be read anew.
    pub zone_drains_missed: Notify,
    /// Roll-outs; `None` where they are not served.
    pub rollouts: RefCell<Option<Rollouts>>,
    /// Told when the store is to hear of a roll-out.
    pub(crate) rollout_write_due: Notify,
    /// Orders to roll out versions that cannot be taken and were logged: revisions by name.
    pub(crate) refused_rollouts: RefCell<HashMap<String, u64>>,
    /// Resting connections to back ends.
    pub connections: RefCell<RestingConnections>,
    /// Where prompt parts were last read.
    pub places: RefCell<PrefixLocations>,
    /// Room of each pool.
    admissions: RefCell<HashMap<String, PoolAdmission>>,
    /// Prompt parts of requests of late, by the name of their pool.
    part_shares: RefCell<HashMap<String, PartShares>>,
    /// Pools that requests came for, by name.
    pools: RefCell<HashMap<String, KnownPool>>,
    /// The other routers.
    pub peers: RefCell<Peers>,
    /// Whole directories on their way to peers that start.
    pub(crate) directories_handed: RefCell<SnapshotTransfers>,
    /// Whole configurations on their way to peers that start.
    pub(crate) configurations_handed: RefCell<SnapshotTransfers>,
    /// Newest change of the directory that was heard.
    pub directory_changed: Cell<u64>,
    /// How new what is known of the sources is.
    pub(crate) freshness: KnownFreshness,
    /// Told when something is known here that others are to hear at once.
    pub(crate) push_due: Notify,
    /// Told when a router that starts is to be told what is known.
    pub(crate) newcomer_waits: Notify,
    /// Told when a peer says that it knows more.
    pub(crate) peer_knows_more: Notify,
    /// Told when the store is to be asked for what peers know and do not tell.
    pub(crate) configuration_look: Notify,
    pub(crate) directory_look: Notify,
    /// When this process was last seen to run, and when it last went on after it had stood still.
    ran: Cell<Time>,
    went_on: Cell<Option<Time>>,
    /// Back ends that vanished from the directory and may come back.
    pub held_departures: RefCell<PendingRemovals>,
    /// Runs that broke off, until it is known whether their back end ended.
    pub(crate) broken_runs: RefCell<InterruptedRuns>,
    /// Looks at whether back ends still accept connections.
    pub(crate) looks: RefCell<HashMap<InstanceId, CrashProbe>>,
    /// Requests that end back ends.
    pub quarantine: RefCell<Quarantine>,
    /// Back ends that run a request on probation.
    pub(crate) probations: RefCell<HashSet<String>>,
    /// Verdicts so far.
    pub(crate) verdicts: watch::Sender<u64>,
    /// Counters and histograms.
    pub metrics: DirectMetrics,
    /// How far the process is on its way to its end.
    pub phase: watch::Sender<Phase>,
    /// The stop signal, once it came.
    pub(crate) planned_stop: Cell<Option<PlannedStop>>,
    /// Requests under way that were taken while nobody else served, after callers had looked away.
    pub(crate) taken_as_last: Cell<usize>,
    /// Requests whose bodies are being read.
    pub(crate) arriving: Cell<usize>,
    /// Callers' connections whose last answer may not have left yet.
    pub(crate) answering: Cell<usize>,
    /// How long requests took of late, by route.
    pub(crate) run_times: RefCell<HashMap<String, RunTimes>>,
    /// Whether the store does not answer.
    pub store_lost: Cell<bool>,
    /// Requests under way.
    pub exchanges: Cell<usize>,
    /// Open callers' connections.
    pub open_connections: Cell<usize>,
    pub(crate) clock: Rc<dyn Clock>,
    /// Reading of the clock at the start of the process.
    origin: Duration,
    pub(crate) suspension_detector: Cell<SuspensionDetector>,
    /// Suspensions so far.
    pub(crate) suspensions: watch::Sender<u64>,
    /// When a suspension was over after which nobody was heard yet.
    pub(crate) unheard_since: Cell<Option<Time>>,
}

/// Lateness of a timer from which the process is late: what it reads then may have waited.
const LATE: Duration = Duration::from_millis(100);

/// Time without a sign of running from which a process has stood still: timers wake it ten times a second.
const STOOD_STILL: Duration = Duration::from_millis(400);

/// Time in which it reads what came meanwhile.
const CATCH_UP: Duration = Duration::from_millis(500);

/// Bytes of news that a router sends in a second.
const NEWS_BYTES_PER_SECOND: f64 = 1800.0;

impl Router {
    /// A router that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        protocol: Rc<dyn Protocol>,
        metrics: DirectMetrics,
        clock: Rc<dyn Clock>,
    ) -> Self {
        let begun = clock.read();
        let peers = Peers::new(
            settings.peers.listen,
            ZoneHash::of(&settings.zone),
            rand::rng().next_u32(),
            &settings.peers.seeds,
            NEWS_BYTES_PER_SECOND,
            Time(0),
        );
        Router {
            bounds: Cell::new(settings.bounds),
            settings,
            protocol,
            configuration: RefCell::default(),
            configuration_history: RefCell::default(),
            back_ends: RefCell::default(),
            zone_drains: RefCell::default(),
            zone_drains_missed: Notify::new(),
            rollouts: RefCell::default(),
            rollout_write_due: Notify::new(),
            refused_rollouts: RefCell::default(),
            connections: RefCell::default(),
            places: RefCell::default(),
            admissions: RefCell::default(),
            part_shares: RefCell::default(),
            pools: RefCell::default(),
            peers: RefCell::new(peers),
            directories_handed: RefCell::default(),
            configurations_handed: RefCell::default(),
            directory_changed: Cell::new(0),
            freshness: KnownFreshness::default(),
            push_due: Notify::new(),
            newcomer_waits: Notify::new(),
            peer_knows_more: Notify::new(),
            configuration_look: Notify::new(),
            directory_look: Notify::new(),
            ran: Cell::new(Time(0)),
            went_on: Cell::default(),
            held_departures: RefCell::default(),
            broken_runs: RefCell::default(),
            looks: RefCell::default(),
            quarantine: RefCell::default(),
            probations: RefCell::default(),
            verdicts: watch::Sender::new(0),
            metrics,
            phase: watch::Sender::new(Phase::Serving),
            planned_stop: Cell::default(),
            taken_as_last: Cell::new(0),
            arriving: Cell::new(0),
            answering: Cell::new(0),
            run_times: RefCell::default(),
            store_lost: Cell::new(false),
            exchanges: Cell::new(0),
            open_connections: Cell::new(0),
            clock,
            origin: begun.elapsed,
            suspension_detector: Cell::new(SuspensionDetector::new(&begun)),
            suspensions: watch::Sender::new(0),
            unheard_since: Cell::default(),
        }
    }

    /// Time since the process started, suspensions of its machine included.
    pub fn now(&self) -> Time {
        let elapsed = self.clock.read().elapsed.saturating_sub(self.origin);
        Time(elapsed.as_micros() as u64)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.configuration.borrow().is_some()
            && self.back_ends.borrow().count_accepting_work() > 0
            && !self.awaits_news()
    }

    /// Bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Takes over what may change while the process runs: bounds and seeds.
    pub fn reload(&self, settings: &DirectSettings) {
        self.bounds.set(settings.bounds);
        self.shorten_stop(settings.bounds.grace);
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.budget.set_bound(settings.bounds.retries);
        }
        let mut peers = self.peers.borrow_mut();
        peers.set_seeds(&settings.peers.seeds);
    }

    /// Version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        let known = self.configuration.borrow();
        known.as_ref().map_or(0, |known| known.version)
    }

    /// Revision of its source as of which the configuration in force was stored; 0 if
    /// not known.
    pub fn configuration_revision(&self) -> u64 {
        let known = self.configuration.borrow();
        known.as_ref().map_or(0, |known| known.revision)
    }

    /// Revision up to which the directory is known and decided.
    pub fn directory_revision(&self) -> u64 {
        let held = self.held_departures.borrow();
        held.decided_revision(self.directory_changed.get())
    }

    /// The process runs now. What it reads may have waited for as long as it stood still before.
    pub fn note_running(&self) {
        let now = self.now();
        if now.since(self.ran.replace(now)) >= STOOD_STILL {
            self.went_on.set(Some(now));
        }
    }

    /// Whether what is read now came when it is read: the process has not stood still of late.
    pub fn reads_in_time(&self) -> bool {
        let now = self.now();
        self.went_on
            .get()
            .is_none_or(|went_on| now.since(went_on) >= CATCH_UP)
    }

    /// A timer of the process fired this late.
    pub fn note_lag(&self, lag: Duration) {
        self.metrics.record_lag(lag.as_secs_f64());
        if lag >= LATE {
            log::warn!(target: "process", "late_ms={}", lag.as_millis());
        }
    }

    /// Says what is believed of the loads of each pool, and how old that is.
    pub fn log_loads(&self) {
        let now = self.now();
        let back_ends = self.back_ends.borrow();
        let mut stale = 0;
        for (name, pool) in self.pools.borrow().iter() {
            let members = back_ends.iter();
            let members =
                members.filter(|member| matches_all(&pool.back_ends, &member.entry.labels));
            let summary = LoadSummary::of(members, now);
            stale += summary.stale;
            if summary.known > 0 {
                log::info!(target: "loads", "pool={name} {summary}");
            }
        }
        self.metrics.record_stale_loads(stale);
    }

    /// Takes over what the peers have in flight.
    pub fn take_peer_loads(&self) {
        let loads = self.peers.borrow().in_flight();
        let fresh = self.peers.borrow().has_short_round();
        for back_end in self.back_ends.borrow_mut().iter_mut() {
            let load = loads.get(&ShortId::of(back_end.id_hash)).copied();
            back_end.load.in_flight_from_peers = f64::from(load.unwrap_or(0));
            back_end.load.peer_counts_are_fresh = fresh;
        }
    }

    /// Age of what a back end told of its load; `None` when the peers' counts are
    /// believed instead.
    pub fn load_age(&self, back_end: &str) -> Option<Duration> {
        self.back_ends
            .borrow()
            .get(back_end)?
            .load
            .reported_age(self.now())
    }

    /// Takes over which back ends a peer suspects.
    pub fn take_accusations(&self, peer: SocketAddr, suspects: &[ShortId]) {
        let now = self.now();
        let mut back_ends = self.back_ends.borrow_mut();
        for back_end in back_ends.iter_mut() {
            if suspects.contains(&ShortId::of(back_end.id_hash)) {
                let accused = back_end.on_suspect_report(peer, now);
                if accused {
                    log::info!(
                        target: "belief",
                        "back_end={} accused=true cause=peers last={peer}",
                        back_end.entry.id
                    );
                }
            }
        }
    }

    /// Sets what this router may send to back ends that are cold.
    pub fn update_cold(&self) {
        let configuration = self.configuration.borrow();
        let Some(configuration) = configuration.as_ref() else {
            return;
        };
        let peers = self.peers.borrow();
        let now = self.now();
        let fleet = KnownFleet {
            own_address: self.settings.peers.listen,
            peers: peers.addresses(),
            is_complete: peers.is_discovery_complete(now),
        };
        let mut back_ends = self.back_ends.borrow_mut();
        let warm = back_ends.update_slow_start(&configuration.slow_starts, &fleet, now);
        for id in warm {
            log::info!(target: "belief", "back_end={id} cold=false");
        }
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn adopt(&self, configuration: Arc<TrafficConfiguration>) {
        let mut known = self.configuration.borrow_mut();
        let before = known.as_ref().map_or(0, |known| known.version);
        let newer = known.is_none() || configuration.version > before;
        if newer {
            log::info!(
                target: "configuration",
                "version={} before={} routes={} adopted=true",
                configuration.version,
                before,
                configuration.routes.len(),
            );
            if let Some(before) = known.as_ref() {
                let mut history = self.configuration_history.borrow_mut();
                history.record(before, &configuration);
            }
            *known = Some(configuration);
        }
    }

    /// Counts a request for its pool's retry budget.
    pub fn count_request(&self, pool: &[Requirement]) {
        let now = self.now();
        self.with_budget(pool, |budget| budget.count_request(now));
    }

    /// Takes one repeated send of a request to a pool from the budget.
    pub fn take_retry(&self, id: &str, pool: &[Requirement]) -> bool {
        let now = self.now();
        let (taken, left) = self.with_budget(pool, |budget| (budget.take(now), budget.available()));
        self.metrics.count_retry(taken);
        log::info!(
            target: "retry",
            "id={id} pool={} allowed={taken} left={left} up_ms={}",
            pool_name(pool),
            now.since(Time(0)).as_millis(),
        );
        taken
    }

    fn with_budget<T>(
        &self,
        pool: &[Requirement],
        act: impl FnOnce(&mut PoolRetryBudget) -> T,
    ) -> T {
        let mut pools = self.pools.borrow_mut();
        let known = pools
            .entry(pool_name(pool).to_owned())
            .or_insert_with(|| KnownPool {
                back_ends: pool.to_vec(),
                budget: PoolRetryBudget::new(self.bounds().retries, rand::rng().random()),
            });
        act(&mut known.budget)
    }

    /// Reads or changes what is known of a pool's room.
    pub fn with_admission<T>(&self, pool: &str, act: impl FnOnce(&mut PoolAdmission) -> T) -> T {
        let mut admissions = self.admissions.borrow_mut();
        act(admissions.entry(pool.to_owned()).or_default())
    }

    /// Acts on what is known of the prompt parts of a pool's requests.
    pub fn with_part_shares<T>(&self, pool: &str, act: impl FnOnce(&mut PartShares) -> T) -> T {
        let mut shares = self.part_shares.borrow_mut();
        act(shares.entry(pool.to_owned()).or_default())
    }

    /// Routers that send to the same pools, this one among them.
    pub fn routers(&self) -> usize {
        self.peers.borrow().live_count() + 1
    }
}

/// A short name of a pool, for logs, metrics and its retry budget.
pub fn pool_name(pool: &[Requirement]) -> &str {
    pool.iter()
        .find_map(|requirement| requirement.equals.as_deref())
        .unwrap_or("all")
}
