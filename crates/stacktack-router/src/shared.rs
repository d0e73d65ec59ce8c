//! State and commands shared by the threads of a router.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use stacktack_core::dispatch::record::RequestRecord;
use stacktack_core::dispatch::view::RouterView;
use stacktack_core::dispatch::DispatchCounters;
use stacktack_node::clock::ProcessClock;
use stacktack_wire::identity::RequestId;
use stacktack_wire::message::EncodedChanges;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Commands from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Configuration changes received from an agent.
    Changes(EncodedChanges),
    /// An agent has a newer configuration than this router.
    ConfigurationStale,
}

/// Commands from the control thread to a traffic thread.
#[derive(Debug)]
pub enum WorkerCommand {
    /// Asks for the decision record of a request.
    Explain(RequestId, oneshot::Sender<Option<RequestRecord>>),
}

/// State shared by all threads of a router. The traffic threads read the view
/// and swap in their own counters; the only lock, on the list of workers, is
/// taken by a traffic thread only when it starts.
pub struct SharedState {
    /// Name of the router.
    pub name: String,
    /// Clock of the process, the same for all threads.
    pub clock: ProcessClock,
    /// Current view of configuration and agents.
    pub view: ArcSwap<RouterView>,
    /// Sends commands to the control thread.
    pub control: UnboundedSender<ControlCommand>,
    stopping: AtomicBool,
    open_callers: AtomicUsize,
    workers: Mutex<Vec<Worker>>,
}

struct Worker {
    commands: UnboundedSender<WorkerCommand>,
    counters: Arc<ArcSwap<DispatchCounters>>,
}

impl SharedState {
    /// Creates the state with an empty view.
    pub fn new(
        name: String,
        clock: ProcessClock,
        control: UnboundedSender<ControlCommand>,
    ) -> Self {
        SharedState {
            name,
            clock,
            view: ArcSwap::from_pointee(RouterView::default()),
            control,
            stopping: AtomicBool::new(false),
            open_callers: AtomicUsize::new(0),
            workers: Mutex::new(Vec::new()),
        }
    }

    /// Registers a traffic thread and returns the cell in which it publishes its counters.
    pub fn add_worker(
        &self,
        commands: UnboundedSender<WorkerCommand>,
    ) -> Arc<ArcSwap<DispatchCounters>> {
        let counters = Arc::new(ArcSwap::from_pointee(DispatchCounters::default()));
        let worker = Worker {
            commands,
            counters: counters.clone(),
        };
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.push(worker);
        counters
    }

    /// One command sender per traffic thread.
    pub fn worker_commands(&self) -> Vec<UnboundedSender<WorkerCommand>> {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers
            .iter()
            .map(|worker| worker.commands.clone())
            .collect()
    }

    /// Sum of the counters of all traffic threads.
    pub fn counters(&self) -> DispatchCounters {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut total = DispatchCounters::default();
        for worker in workers.iter() {
            total.add(&worker.counters.load());
        }
        total
    }

    /// Refuses new requests from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether new requests are refused because the router is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Counts a caller that waits for its response.
    pub fn add_open_caller(&self) {
        self.open_callers.fetch_add(1, Ordering::AcqRel);
    }

    /// Removes a caller that has its complete response or disconnected.
    pub fn remove_open_caller(&self) {
        self.open_callers.fetch_sub(1, Ordering::AcqRel);
    }

    /// Number of callers whose responses are not complete.
    pub fn open_callers(&self) -> usize {
        self.open_callers.load(Ordering::Acquire)
    }
}
