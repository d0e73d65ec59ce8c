//! State of a direct router process, which all its tasks share. One thread owns it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rand::{Rng, RngExt};
use stacktack_core::configuration::selector::{matches_all, Requirement};
use stacktack_core::direct::admission::contention::tenant_work::TenantWork;
use stacktack_core::direct::admission::contention::Contention;
use stacktack_core::direct::admission::PoolAdmission;
use stacktack_core::direct::back_ends::announcement::{Announcement, ReturnDelay};
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::InstanceId;
use stacktack_core::direct::back_ends::slow_start::KnownFleet;
use stacktack_core::direct::back_ends::traffic_share::{PoolInFlight, TrafficShare};
use stacktack_core::direct::back_ends::zone_drain::ZoneDrains;
use stacktack_core::direct::back_ends::zone_share::{ZonePreference, ZoneShare};
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::choice::part_shares::PartShares;
use stacktack_core::direct::choice::pool_candidates::PoolCandidates;
use stacktack_core::direct::choice::prefix_locations::PrefixLocations;
use stacktack_core::direct::peers::peer_gossip::{RecoveryGossip, ShortId, ZoneHash};
use stacktack_core::direct::peers::snapshot_transfers::SnapshotTransfers;
use stacktack_core::direct::peers::Peers;
use stacktack_core::direct::quarantine::interrupted_runs::InterruptedRuns;
use stacktack_core::direct::quarantine::Quarantine;
use stacktack_core::direct::request::budget::{PoolRetryBudget, ReservedPermit};
use stacktack_core::direct::request::planned_stop::PlannedStop;
use stacktack_core::direct::request::run_times::RunTimes;
use stacktack_core::direct::rollout::Rollouts;
use stacktack_core::direct::sources::directory_source::PendingRemovals;
use stacktack_core::direct::stream_versions::questions::Questions;
use stacktack_core::direct::stream_versions::records::{StreamId, StreamRecords};
use stacktack_core::direct::stream_versions::software_version::VersionHash;
use stacktack_core::direct::stream_versions::version_history::VersionHistory;
use stacktack_core::direct::traffic::configuration_changes::ConfigurationHistory;
use stacktack_core::direct::traffic::route::TrafficConfiguration;
use stacktack_core::direct::work::known_parts::KnownParts;
use stacktack_core::direct::work::pool_work::PoolWork;
use stacktack_core::time::Time;
use tokio::sync::{watch, Notify};

use crate::choice::KnownLoad;
use crate::clock::{Clock, SuspensionDetector};
use crate::crash_detection::CrashProbe;
use crate::freshness::SourcesKnowledge;
use crate::idle_connections::IdleConnections;
use crate::load_summary::LoadSummary;
use crate::memory::RouterMemory;
use crate::metrics::DirectMetrics;
use crate::ports::Protocol;
use crate::settings::{Bounds, DirectSettings};
use crate::store_monitor::StoreMonitor;

/// Progress of a process towards its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Admits requests.
    Serving,
    /// Admits requests whose responses will be complete in time, and closes each connection after
    /// its next response.
    Closing,
    /// Closes idle connections, refuses further requests and finishes the responses in flight.
    Draining,
    /// The process ends: responses that are still in flight are cut off.
    Ended,
}

/// A pool for which requests have arrived.
struct KnownPool {
    /// Requirements on the labels of its back ends.
    back_ends: Vec<Requirement>,
    budget: PoolRetryBudget,
}

/// State of a router process.
pub struct Router {
    /// Settings that do not change while the process runs.
    pub settings: DirectSettings,
    /// Bounds in force; reloading the settings changes them.
    bounds: Cell<Bounds>,
    /// The protocols towards callers and back ends.
    pub protocol: Rc<dyn Protocol>,
    /// The configuration in force.
    pub configuration: RefCell<Option<Arc<TrafficConfiguration>>>,
    /// Changes that the latest versions of the configuration made.
    pub configuration_history: RefCell<ConfigurationHistory>,
    /// Back ends, with their loads and health as far as known.
    pub back_ends: RefCell<BackEnds>,
    /// Zones whose back ends get no requests.
    pub zone_drains: RefCell<ZoneDrains>,
    /// Notified when the zone drains and roll-out orders have to be read from the store, because
    /// some may have been missed.
    pub zone_drain_read_due: Notify,
    /// Roll-outs; `None` unless they are enabled.
    pub rollouts: RefCell<Option<Rollouts>>,
    /// Notified when the status of a roll-out has to be written to the store.
    pub(crate) rollout_write_due: Notify,
    /// Refused roll-out orders that were logged: revisions by name.
    pub(crate) refused_rollout_orders: RefCell<HashMap<String, u64>>,
    /// Idle connections to back ends.
    pub connections: RefCell<IdleConnections>,
    /// Back ends that are believed to have prompt parts cached.
    pub prefix_locations: RefCell<PrefixLocations>,
    /// Back ends that have read or are reading prompt parts, in pools that count work.
    pub known_parts: RefCell<KnownParts>,
    /// Work of the pools that count it, by the name of the pool.
    pub(crate) pool_work: RefCell<HashMap<String, PoolWork>>,
    /// Admission control of each pool, by the name of the pool.
    admissions: RefCell<HashMap<String, PoolAdmission>>,
    /// Contention of the pools that count work, by the name of the pool.
    pub(crate) contentions: RefCell<HashMap<String, Contention>>,
    /// Work that tenants ask for, in pools that count work.
    pub tenant_work: RefCell<TenantWork>,
    /// Prompt parts of recent requests, by the name of their pool.
    part_shares: RefCell<HashMap<String, PartShares>>,
    /// Share of the requests to each pool, by its name.
    traffic_shares: RefCell<HashMap<String, TrafficShare>>,
    /// Share of the requests to each pool that the routers of this zone send, by the name of the pool.
    zone_shares: RefCell<HashMap<String, ZoneShare>>,
    /// Pools for which requests have arrived, by name.
    pools: RefCell<HashMap<String, KnownPool>>,
    /// The other routers.
    pub peers: RefCell<Peers>,
    /// Directory snapshots on their way to peers that start.
    pub(crate) directory_transfers: RefCell<SnapshotTransfers>,
    /// Configuration snapshots on their way to peers that start.
    pub(crate) configuration_transfers: RefCell<SnapshotTransfers>,
    /// Revision of the newest directory change received; 0 for none.
    pub received_directory_revision: Cell<u64>,
    /// How current the known configuration and directory are.
    pub(crate) freshness: SourcesKnowledge,
    /// Versions of services that the directory has listed lately.
    pub(crate) version_history: RefCell<VersionHistory>,
    /// Versions at which streams began.
    pub(crate) stream_records: RefCell<StreamRecords>,
    /// Streams that began here and of which peers have not been told.
    pub(crate) untold_streams: RefCell<Vec<(StreamId, VersionHash)>>,
    /// Bytes of the budget for telling peers of streams that may be spent now; negative after an
    /// overdraft.
    pub(crate) saved_told_bytes: Cell<f64>,
    /// Questions to peers about streams.
    pub(crate) stream_questions: RefCell<Questions>,
    /// Notified when a peer has answered a question about a stream.
    pub(crate) stream_answered: Notify,
    /// Datagrams about streams that have to be sent at once.
    pub stream_datagrams: RefCell<Vec<(SocketAddr, Vec<u8>)>>,
    /// Notified when a datagram about a stream has to be sent.
    pub(crate) stream_datagram_due: Notify,
    /// Notified when gossip has to be pushed to peers at once.
    pub(crate) push_due: Notify,
    /// Notified when an uninitialized peer needs a push at once.
    pub(crate) bootstrap_push_due: Notify,
    /// Notified when a peer announces a newer configuration or directory.
    pub(crate) newer_revision_announced: Notify,
    /// Notified when the configuration has to be polled from the store, because peers announce a
    /// newer one and none of them sends it in time.
    pub(crate) configuration_poll_due: Notify,
    /// Notified when the directory has to be polled from the store, because peers announce a newer
    /// one and none of them sends it in time.
    pub(crate) directory_poll_due: Notify,
    /// When this process was last seen running.
    last_active: Cell<Time>,
    /// End of the last stall of this process.
    stall_ended_at: Cell<Option<Time>>,
    /// Entries that vanished from the directory and may come back.
    pub pending_removals: RefCell<PendingRemovals>,
    /// Runs whose responses broke off, until it is known whether their back ends crashed.
    pub(crate) interrupted_runs: RefCell<InterruptedRuns>,
    /// Crash probes, in progress or recent.
    pub(crate) crash_probes: RefCell<HashMap<InstanceId, CrashProbe>>,
    /// Requests and prompt parts under which back ends crashed.
    pub quarantine: RefCell<Quarantine>,
    /// Ids of the back ends that run a request on probation.
    pub(crate) back_ends_on_probation: RefCell<HashSet<String>>,
    /// Number of changes of verdicts. Requests in flight wait for it to change.
    pub(crate) verdict_changes: watch::Sender<u64>,
    /// Counters, gauges and histograms.
    pub metrics: DirectMetrics,
    /// Progress of the process towards its end.
    pub phase: watch::Sender<Phase>,
    /// Schedule of the stop, once the stop signal has arrived.
    pub(crate) planned_stop: Cell<Option<PlannedStop>>,
    /// Requests in flight that were admitted after [`PlannedStop::deregistered_at`], while no other
    /// router served.
    pub(crate) admitted_after_deregistration: Cell<usize>,
    /// Requests whose bodies are being read.
    pub(crate) requests_being_read: Cell<usize>,
    /// What is kept for slow readers; `None` if that is not bounded as a whole.
    pub memory: Option<Rc<RouterMemory>>,
    /// Callers' connections whose last response may not be sent completely yet.
    pub(crate) connections_flushing: Cell<usize>,
    /// How long recent requests took, by route.
    pub(crate) run_times: RefCell<HashMap<String, RunTimes>>,
    /// Availability and latency of the store.
    pub store: StoreMonitor,
    /// Requests that are being handled; their bodies have been read.
    pub requests_in_flight: Cell<usize>,
    /// Open connections of callers.
    pub open_connections: Cell<usize>,
    pub(crate) clock: Rc<dyn Clock>,
    /// Reading of the clock at the start of the process.
    origin: Duration,
    pub(crate) suspension_detector: Cell<SuspensionDetector>,
    /// Number of suspensions of the machine so far.
    pub(crate) suspensions: watch::Sender<u64>,
    /// End of the last suspension, until the store or a peer is reached.
    pub(crate) no_contact_since: Cell<Option<Time>>,
}

/// Timer lag from which a warning is logged: data that the process reads then may have waited.
const TIMER_LAG_WARNING: Duration = Duration::from_millis(100);

/// Time without activity from which a process counts as stalled; timers wake it ten times a second.
const MIN_STALL: Duration = Duration::from_millis(400);

/// Time after a stall in which a process reads what arrived during the stall.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// Mean time between the returns of two routers to a back end after a pause.
const RETURN_SPACING: Duration = Duration::from_millis(10);

/// Bytes of gossip that a router sends per second.
const GOSSIP_BYTES_PER_SECOND: f64 = 1800.0;

impl Router {
    /// A router without configuration and back ends.
    pub fn new(
        settings: DirectSettings,
        protocol: Rc<dyn Protocol>,
        metrics: DirectMetrics,
        clock: Rc<dyn Clock>,
        store: StoreMonitor,
    ) -> Self {
        let start = clock.read();
        let peers = Peers::new(
            settings.peers.listen,
            ZoneHash::of(&settings.zone),
            rand::rng().next_u32(),
            &settings.peers.seeds,
            GOSSIP_BYTES_PER_SECOND,
            Time(0),
        );
        Router {
            bounds: Cell::new(settings.bounds),
            memory: settings
                .memory
                .map(|budget| Rc::new(RouterMemory::new(budget))),
            settings,
            protocol,
            configuration: RefCell::default(),
            configuration_history: RefCell::default(),
            back_ends: RefCell::default(),
            zone_drains: RefCell::default(),
            zone_drain_read_due: Notify::new(),
            rollouts: RefCell::default(),
            rollout_write_due: Notify::new(),
            refused_rollout_orders: RefCell::default(),
            connections: RefCell::default(),
            prefix_locations: RefCell::default(),
            known_parts: RefCell::default(),
            pool_work: RefCell::default(),
            admissions: RefCell::default(),
            contentions: RefCell::default(),
            tenant_work: RefCell::default(),
            part_shares: RefCell::default(),
            traffic_shares: RefCell::default(),
            zone_shares: RefCell::default(),
            pools: RefCell::default(),
            peers: RefCell::new(peers),
            directory_transfers: RefCell::default(),
            configuration_transfers: RefCell::default(),
            received_directory_revision: Cell::new(0),
            freshness: SourcesKnowledge::default(),
            version_history: RefCell::default(),
            stream_records: RefCell::default(),
            untold_streams: RefCell::default(),
            saved_told_bytes: Cell::default(),
            stream_questions: RefCell::default(),
            stream_answered: Notify::new(),
            stream_datagrams: RefCell::default(),
            stream_datagram_due: Notify::new(),
            push_due: Notify::new(),
            bootstrap_push_due: Notify::new(),
            newer_revision_announced: Notify::new(),
            configuration_poll_due: Notify::new(),
            directory_poll_due: Notify::new(),
            last_active: Cell::new(Time(0)),
            stall_ended_at: Cell::default(),
            pending_removals: RefCell::default(),
            interrupted_runs: RefCell::default(),
            crash_probes: RefCell::default(),
            quarantine: RefCell::default(),
            back_ends_on_probation: RefCell::default(),
            verdict_changes: watch::Sender::new(0),
            metrics,
            phase: watch::Sender::new(Phase::Serving),
            planned_stop: Cell::default(),
            admitted_after_deregistration: Cell::new(0),
            requests_being_read: Cell::new(0),
            connections_flushing: Cell::new(0),
            run_times: RefCell::default(),
            store,
            requests_in_flight: Cell::new(0),
            open_connections: Cell::new(0),
            clock,
            origin: start.elapsed,
            suspension_detector: Cell::new(SuspensionDetector::new(&start)),
            suspensions: watch::Sender::new(0),
            no_contact_since: Cell::default(),
        }
    }

    /// Time since the process started, including suspensions of its machine.
    pub fn now(&self) -> Time {
        let elapsed = self.clock.read().elapsed.saturating_sub(self.origin);
        Time(elapsed.as_micros() as u64)
    }

    /// Time of day, which about agrees between routers; zero before 1970.
    pub(crate) fn time_of_day(&self) -> Duration {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.unwrap_or_default()
    }

    /// Whether callers should send requests to this router: it is not stopping, has a configuration
    /// and a back end that is not leaving, and does not await contact after a suspension
    /// ([`Self::awaits_contact`]).
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.configuration.borrow().is_some()
            && self.back_ends.borrow().count_accepting_work() > 0
            && !self.awaits_contact()
    }

    /// Bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Applies the settings that may change while the process runs: bounds and seeds. Logs the others
    /// if they differ from those at the start, which stay in force.
    pub fn reload(&self, settings: &DirectSettings) {
        for setting in self.settings.fixed_settings_that_differ(settings) {
            log::warn!(target: "settings", "setting={setting} changed=true taken=false cause=applies_at_start");
        }
        self.bounds.set(settings.bounds);
        self.shorten_grace(settings.bounds.grace);
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.budget.set_bound(settings.bounds.retry_budget);
        }
        let mut peers = self.peers.borrow_mut();
        peers.set_seeds(&settings.peers.seeds);
    }

    /// Version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        let known = self.configuration.borrow();
        known.as_ref().map_or(0, |known| known.version)
    }

    /// Revision of its source at which the configuration in force was stored; 0 if unknown.
    pub fn configuration_revision(&self) -> u64 {
        let known = self.configuration.borrow();
        known.as_ref().map_or(0, |known| known.revision)
    }

    /// Revision up to which the directory is known and no removal is pending.
    pub fn directory_revision(&self) -> u64 {
        let removals = self.pending_removals.borrow();
        removals.decided_revision(self.received_directory_revision.get())
    }

    /// Records that the process is running. Data that it reads after a stall may have waited for as
    /// long as the stall lasted.
    pub fn record_activity(&self) {
        let now = self.now();
        if now.since(self.last_active.replace(now)) >= MIN_STALL {
            self.stall_ended_at.set(Some(now));
        }
    }

    /// Whether data is read as soon as it arrives, because the process was not stalled recently.
    pub fn is_caught_up(&self) -> bool {
        let now = self.now();
        self.stall_ended_at
            .get()
            .is_none_or(|ended_at| now.since(ended_at) >= CATCH_UP_TIME)
    }

    /// Records how late a timer of the process fired.
    pub fn record_timer_lag(&self, lag: Duration) {
        self.metrics.record_timer_lag(lag.as_secs_f64());
        if lag >= TIMER_LAG_WARNING {
            log::warn!(target: "process", "late_ms={}", lag.as_millis());
        }
    }

    /// Logs the estimated loads of each pool and their age.
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
            if summary.reported > 0 {
                log::info!(target: "loads", "pool={name} {summary}");
            }
        }
        self.metrics.record_stale_loads(stale);
    }

    /// Records what is kept for slow readers, and ends what is unread while memory is short.
    pub fn check_memory(&self) {
        if let Some(memory) = &self.memory {
            memory.end_unread(self);
            memory.resume_reading_ahead();
            let (responses, bodies) = memory.kept();
            let most_under_way = memory.most_under_way();
            self.metrics
                .record_kept_bytes(responses, bodies, most_under_way);
        }
    }

    /// Updates how many requests of the peers are in flight at each back end.
    pub fn apply_peer_loads(&self) {
        let mut counts = self.peers.borrow().in_flight();
        let are_fresh = self.peers.borrow().has_short_round();
        for back_end in self.back_ends.borrow_mut().iter_mut() {
            let told = counts.remove(&ShortId::of(back_end.id_hash));
            back_end.load.peer_counts = told.unwrap_or_default();
            back_end.load.peer_counts_are_fresh = are_fresh;
        }
    }

    /// What this router knows of the load of a back end; nothing if that is not listed.
    pub fn known_load(&self, back_end: &str) -> KnownLoad {
        let now = self.now();
        let back_ends = self.back_ends.borrow();
        let Some(known) = back_ends.get(back_end) else {
            return KnownLoad::default();
        };
        KnownLoad {
            own: known.load.in_flight,
            from_peers: known.load.peer_counts.told(),
            reported_age: known.load.reported_age(now),
            peer_counts_age: known.load.peer_counts.mean_age(now),
            same_zone: known.entry.zone() == Some(&self.settings.zone),
        }
    }

    /// Random delay of this router's return to a back end after a pause: the routers that it turned
    /// away return one after the other.
    pub(crate) fn draw_return_delay(&self) -> ReturnDelay {
        ReturnDelay {
            spread: RETURN_SPACING * self.router_count() as u32,
            draw: rand::rng().random(),
        }
    }

    /// What a back end announced and is in force, for logs.
    pub(crate) fn announced_text(&self, back_end: &str) -> &'static str {
        let back_ends = self.back_ends.borrow();
        let known = back_ends.get(back_end);
        let in_force = known.and_then(|known| known.announcements().in_force(self.now()));
        in_force.map_or("-", Announcement::as_str)
    }

    /// Version of a back end's software, for logs.
    pub(crate) fn version_text(&self, back_end: &str) -> String {
        let back_ends = self.back_ends.borrow();
        let version = back_ends.get(back_end).map(|known| known.entry.version());
        let version = version.filter(|version| !version.is_empty());
        version.unwrap_or("-").to_owned()
    }

    /// Whether this router suspects a back end because of its own recent outcomes.
    pub(crate) fn suspects(&self, back_end: &str) -> bool {
        let back_ends = self.back_ends.borrow();
        back_ends.get(back_end).is_some_and(BackEnd::is_suspect)
    }

    /// Merges successes that a peer tells of back ends that routers suspected.
    pub(crate) fn merge_recoveries(&self, peer: SocketAddr, recoveries: &[RecoveryGossip]) {
        if recoveries.is_empty() {
            return;
        }
        let now = self.now();
        let cleared = self
            .back_ends
            .borrow_mut()
            .merge_recoveries(recoveries, now);
        for back_end in cleared {
            log::info!(target: "belief", "back_end={back_end} suspect=false cause=peers last={peer}");
        }
    }

    /// Records which back ends a peer suspects.
    pub fn apply_suspect_reports(&self, peer: SocketAddr, suspects: &[ShortId]) {
        let now = self.now();
        let mut back_ends = self.back_ends.borrow_mut();
        for back_end in back_ends.iter_mut() {
            if suspects.contains(&ShortId::of(back_end.id_hash)) {
                let became_suspect = back_end.on_suspect_report(peer, now);
                if became_suspect {
                    log::info!(
                        target: "belief",
                        "back_end={} accused=true cause=peers last={peer}",
                        back_end.entry.id
                    );
                }
            }
        }
    }

    /// Updates the rates at which this router may send to cold back ends.
    pub fn update_slow_start(&self) {
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

    /// Puts a configuration into force if it is newer than the one in force.
    pub fn apply_configuration(&self, configuration: Arc<TrafficConfiguration>) {
        let mut known = self.configuration.borrow_mut();
        let before = known.as_ref().map_or(0, |known| known.version);
        let is_newer = known.is_none() || configuration.version > before;
        if is_newer {
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

    /// Takes the permit for one retry of a request from the budget of its pool. Returns whether the
    /// retry is allowed.
    pub fn take_retry(&self, id: &str, pool: &[Requirement]) -> bool {
        let now = self.now();
        let (allowed, left) =
            self.with_budget(pool, |budget| (budget.take(now), budget.available()));
        self.metrics.count_retry(allowed);
        log::info!(
            target: "retry",
            "id={id} pool={} allowed={allowed} left={left} up_ms={}",
            pool_name(pool),
            now.since(Time(0)).as_millis(),
        );
        allowed
    }

    /// Permits of the retry budget of a pool.
    pub(crate) fn retry_permits(&self, pool: &[Requirement]) -> RetryPermits {
        let now = self.now();
        self.with_budget(pool, |budget| RetryPermits {
            may_reserve: budget.has_trial_permit(now),
            available: budget.available(),
        })
    }

    /// Reserves the permit for a retry of a trial, should it fail; `None` if none is available.
    pub(crate) fn reserve_for_trial(&self, pool: &[Requirement]) -> Option<ReservedPermit> {
        let now = self.now();
        self.with_budget(pool, |budget| budget.reserve_for_trial(now))
    }

    /// Spends the permit of a trial that failed; false if it has expired meanwhile.
    pub(crate) fn redeem(&self, pool: &[Requirement], permit: ReservedPermit) -> bool {
        let now = self.now();
        self.with_budget(pool, |budget| budget.redeem(permit, now))
    }

    /// Returns the permit of a trial that needs no retry.
    pub(crate) fn give_back(&self, pool: &[Requirement], permit: ReservedPermit) {
        self.with_budget(pool, |budget| budget.give_back(permit));
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
                budget: PoolRetryBudget::new(self.bounds().retry_budget, rand::rng().random()),
            });
        act(&mut known.budget)
    }

    /// Reads or changes the admission control of a pool.
    pub fn with_admission<T>(&self, pool: &str, act: impl FnOnce(&mut PoolAdmission) -> T) -> T {
        let mut admissions = self.admissions.borrow_mut();
        act(admissions.entry(pool.to_owned()).or_default())
    }

    /// Reads or changes the statistics of prompt parts of a pool.
    pub fn with_part_shares<T>(&self, pool: &str, act: impl FnOnce(&mut PartShares) -> T) -> T {
        let mut shares = self.part_shares.borrow_mut();
        act(shares.entry(pool.to_owned()).or_default())
    }

    /// Number of live routers, this one included. How much each of them sends to a pool is not implied;
    /// see [`Router::own_share`].
    pub fn router_count(&self) -> usize {
        self.peers.borrow().live_count() + 1
    }

    /// Takes the requests in flight at the members of a pool.
    pub(crate) fn observe_traffic(&self, pool: &str, in_flight: &PoolInFlight) {
        let now = self.now();
        let mut shares = self.traffic_shares.borrow_mut();
        let share = shares.entry(pool.to_owned()).or_default();
        share.observe(in_flight, now);
    }

    /// Takes the requests in flight at the candidates for a request. Returns how it may prefer those of
    /// this router's zone.
    pub(crate) fn zone_preference(
        &self,
        pool: &str,
        candidates: &PoolCandidates,
    ) -> ZonePreference {
        let now = self.now();
        let mut shares = self.zone_shares.borrow_mut();
        let share = shares.entry(pool.to_owned()).or_default();
        share.observe(candidates.zone_traffic(), now);
        let routers = self.peers.borrow().router_counts();
        share.preference(routers, candidates.local_share())
    }

    fn traffic_share(&self, pool: &str) -> TrafficShare {
        let shares = self.traffic_shares.borrow();
        shares.get(pool).copied().unwrap_or_default()
    }

    /// This router's share of the requests of all routers to a pool, above 0 and at most 1.
    pub fn own_share(&self, pool: &str) -> f64 {
        self.traffic_share(pool).share(self.router_count())
    }

    /// Number of routers that would send all requests to a pool if each of them sent as many as this
    /// one; see [`TrafficShare::equal_senders`].
    pub(crate) fn equal_senders(&self, pool: &str) -> usize {
        self.traffic_share(pool).equal_senders(self.router_count())
    }
}

/// Permits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryPermits {
    /// Whether one may be reserved for a trial.
    pub may_reserve: bool,
    /// Number of permits that are not reserved.
    pub available: usize,
}

/// Short name of a pool, for logs and as key of its state: the first value that a requirement asks
/// for, or `all`. Pools of the same name share their state.
pub fn pool_name(pool: &[Requirement]) -> &str {
    pool.iter()
        .find_map(|requirement| requirement.equals.as_deref())
        .unwrap_or("all")
}
