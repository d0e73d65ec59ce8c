//! What the threads of a router share.

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

/// From a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Changes that an agent handed over.
    Changes(EncodedChanges),
    /// An agent has a later configuration.
    WantConfiguration,
}

/// From the control thread to a traffic thread.
#[derive(Debug)]
pub enum WorkerCommand {
    /// Asks for the record of a request.
    Explain(RequestId, oneshot::Sender<Option<RequestRecord>>),
}

/// State shared by all threads of a router. The traffic threads read the view
/// and swap in their own worker's counts; the one lock, over the list of
/// workers, is taken by a traffic thread only when it starts.
pub struct Shared {
    /// The router's name.
    pub name: String,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// View in force.
    pub view: ArcSwap<RouterView>,
    /// Commands to the control thread.
    pub control: UnboundedSender<ControlCommand>,
    stopping: AtomicBool,
    open_callers: AtomicUsize,
    workers: Mutex<Vec<Worker>>,
}

struct Worker {
    commands: UnboundedSender<WorkerCommand>,
    counters: Arc<ArcSwap<DispatchCounters>>,
}

impl Shared {
    /// State of a router that has no view yet.
    pub fn new(
        name: String,
        clock: ProcessClock,
        control: UnboundedSender<ControlCommand>,
    ) -> Self {
        Shared {
            name,
            clock,
            view: ArcSwap::from_pointee(RouterView::default()),
            control,
            stopping: AtomicBool::new(false),
            open_callers: AtomicUsize::new(0),
            workers: Mutex::new(Vec::new()),
        }
    }

    /// Adds a traffic thread; returns the place for its counts.
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

    /// Commands to each traffic thread.
    pub fn worker_commands(&self) -> Vec<UnboundedSender<WorkerCommand>> {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers
            .iter()
            .map(|worker| worker.commands.clone())
            .collect()
    }

    /// Counts of all traffic threads together.
    pub fn counters(&self) -> DispatchCounters {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut total = DispatchCounters::default();
        for worker in workers.iter() {
            total.add(&worker.counters.load());
        }
        total
    }

    /// Takes no requests from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether no requests are taken.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Counts a caller that waits for its answer.
    pub fn open_caller(&self) {
        self.open_callers.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a caller that has its answer or left.
    pub fn close_caller(&self) {
        self.open_callers.fetch_sub(1, Ordering::AcqRel);
    }

    /// Callers that wait for their answers.
    pub fn open_callers(&self) -> usize {
        self.open_callers.load(Ordering::Acquire)
    }
}
