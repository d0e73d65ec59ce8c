//! The traffic thread: drives the gate with routers' messages, events of the back
//! end and a timer, and carries out its outputs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::interval;
use futures_util::{SinkExt, StreamExt};
use stacktack_core::gate::{BackendEvent, ConnectionId, Gate, GateInput, GateOutput};
use stacktack_node::clock::ProcessClock;
use stacktack_wire::codec::MessageCodec;
use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::{Offer, ToAgent, ToRouter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio_util::codec::Framed;

use crate::backend::BackendClient;
use crate::shared::{TrafficCommand, TrafficState};

/// Time between two ticks of the gate; also the pause after a failed accept.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

struct Connection {
    sender: UnboundedSender<ToRouter>,
    writer: JoinHandle<()>,
}

/// Handle to the state of the traffic thread.
#[derive(Clone)]
pub struct TrafficHandle {
    inner: Rc<Inner>,
}

struct Inner {
    gate: RefCell<Gate>,
    clock: ProcessClock,
    backend: BackendClient,
    connections: RefCell<HashMap<ConnectionId, Connection>>,
    running: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
    next_connection: RefCell<u64>,
    state: Arc<TrafficState>,
}

impl TrafficHandle {
    /// Starts the traffic tasks on the current thread.
    pub fn start(
        gate: Gate,
        clock: ProcessClock,
        backend: BackendClient,
        listener: std::net::TcpListener,
        commands: UnboundedReceiver<TrafficCommand>,
        state: Arc<TrafficState>,
    ) -> std::io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        let inner = Rc::new(Inner {
            gate: RefCell::new(gate),
            clock,
            backend,
            connections: RefCell::new(HashMap::new()),
            running: RefCell::new(HashMap::new()),
            next_connection: RefCell::new(0),
            state,
        });
        let traffic = TrafficHandle { inner };
        actix_rt::spawn(traffic.clone().accept(listener));
        actix_rt::spawn(traffic.clone().handle_commands(commands));
        actix_rt::spawn(traffic.tick());
        Ok(())
    }

    fn handle(&self, input: GateInput) {
        let mut outputs = Vec::new();
        let now = self.inner.clock.now();
        {
            let mut gate = self.inner.gate.borrow_mut();
            gate.handle(now, input, &mut outputs);
            self.inner.state.publish(
                gate.normalised_load(),
                gate.in_flight(),
                gate.is_draining(),
                gate.configuration().version.0,
            );
        }
        for output in outputs {
            self.perform(output);
        }
    }

    fn perform(&self, output: GateOutput) {
        match output {
            GateOutput::ToRouter {
                connection,
                message,
            } => {
                let connections = self.inner.connections.borrow();
                let sent = connections
                    .get(&connection)
                    .map(|connection| connection.sender.send(message));
                if !matches!(sent, Some(Ok(()))) {
                    log::debug!(target: "traffic", "a message was dropped: no connection {}", connection.0);
                }
            }
            GateOutput::StartBackend { attempt, offer } => self.start_backend(attempt, offer),
            GateOutput::ResumeBackend { attempt, offset } => self.resume_backend(attempt, offset),
            GateOutput::CancelBackend { attempt } => self.cancel_backend(attempt),
        }
    }

    fn start_backend(&self, attempt: AttemptId, offer: Box<Offer>) {
        log::debug!(target: "traffic", "attempt {attempt} starts");
        let traffic = self.clone();
        let task = actix_rt::spawn(async move {
            let backend = traffic.inner.backend.clone();
            let report = |event| traffic.on_backend_event(attempt, event);
            backend.run(attempt, &offer, report).await;
        });
        self.inner.running.borrow_mut().insert(attempt, task);
    }

    fn resume_backend(&self, attempt: AttemptId, offset: u64) {
        log::info!(target: "traffic", "attempt {attempt} resumes from piece {offset}");
        let traffic = self.clone();
        let task = actix_rt::spawn(async move {
            let backend = traffic.inner.backend.clone();
            let report = |event| traffic.on_backend_event(attempt, event);
            backend.resume(attempt, offset, report).await;
        });
        self.inner.running.borrow_mut().insert(attempt, task);
    }

    fn cancel_backend(&self, attempt: AttemptId) {
        log::info!(target: "traffic", "attempt {attempt} is cancelled");
        if let Some(task) = self.inner.running.borrow_mut().remove(&attempt) {
            task.abort();
        }
        let backend = self.inner.backend.clone();
        actix_rt::spawn(async move { backend.cancel(attempt).await });
    }

    fn on_backend_event(&self, attempt: AttemptId, event: BackendEvent) {
        let ended = !matches!(event, BackendEvent::Head(_) | BackendEvent::Pieces { .. });
        if ended {
            self.inner.running.borrow_mut().remove(&attempt);
        }
        self.handle(GateInput::FromBackend { attempt, event });
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if stream.set_nodelay(true).is_ok() {
                        self.clone().serve_connection(stream);
                    }
                }
                Err(error) => {
                    log::error!(target: "traffic", "accepting a router's connection failed: {error}");
                    actix_rt::time::sleep(TICK_INTERVAL).await;
                }
            }
        }
    }

    fn serve_connection(self, stream: TcpStream) {
        let id = {
            let mut next = self.inner.next_connection.borrow_mut();
            *next += 1;
            ConnectionId(*next)
        };
        let framed = Framed::new(stream, MessageCodec::<ToAgent, ToRouter>::new());
        let (mut sink, mut source) = framed.split();
        let (sender, mut messages) = unbounded_channel::<ToRouter>();
        let hello = self.inner.gate.borrow().hello();
        let hello_queued = sender.send(hello).is_ok();
        let writer = actix_rt::spawn(async move {
            while let Some(message) = messages.recv().await {
                if sink.feed(message).await.is_err() {
                    return;
                }
                while let Ok(more) = messages.try_recv() {
                    if sink.feed(more).await.is_err() {
                        return;
                    }
                }
                if sink.flush().await.is_err() {
                    return;
                }
            }
            if sink.close().await.is_err() {
                log::debug!(target: "traffic", "closing a router's connection failed");
            }
        });
        if !hello_queued {
            return;
        }
        let connection = Connection { sender, writer };
        self.inner.connections.borrow_mut().insert(id, connection);
        actix_rt::spawn(async move {
            while let Some(message) = source.next().await {
                match message {
                    Ok(message) => self.handle(GateInput::FromRouter {
                        connection: id,
                        message,
                    }),
                    Err(error) => {
                        log::warn!(target: "traffic", "a router's connection failed: {error}");
                        break;
                    }
                }
            }
            self.inner.connections.borrow_mut().remove(&id);
            self.handle(GateInput::ConnectionLost(id));
        });
    }

    async fn handle_commands(self, mut commands: UnboundedReceiver<TrafficCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                TrafficCommand::Configuration(configuration, changes) => {
                    self.handle(GateInput::Configuration {
                        configuration,
                        changes,
                    });
                }
                TrafficCommand::PeerLoads(loads) => self.handle(GateInput::PeerLoads(loads)),
                TrafficCommand::Drain(draining) => self.handle(GateInput::Drain(draining)),
                TrafficCommand::Close(done) => {
                    self.close_connections().await;
                    if done.send(()).is_err() {
                        log::debug!(target: "traffic", "the receiver of the close confirmation was dropped");
                    }
                }
            }
        }
    }

    /// Sends all queued messages and closes the routers' connections.
    async fn close_connections(&self) {
        let connections: Vec<Connection> = {
            let mut connections = self.inner.connections.borrow_mut();
            connections
                .drain()
                .map(|(_, connection)| connection)
                .collect()
        };
        for connection in connections {
            drop(connection.sender);
            if connection.writer.await.is_err() {
                log::debug!(target: "traffic", "the writer of a router's connection was aborted or panicked");
            }
        }
    }

    async fn tick(self) {
        let mut ticks = interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            self.handle(GateInput::Tick);
            let counters = self.inner.gate.borrow().counters();
            self.inner.state.publish_counters(counters);
        }
    }
}
