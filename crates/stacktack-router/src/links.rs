//! Connections from a traffic thread to agents.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::timeout;
use futures_util::{SinkExt, StreamExt};
use stacktack_core::dispatch::DispatchInput;
use stacktack_wire::codec::{CodecError, MessageCodec};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId};
use stacktack_wire::message::{ToAgent, ToRouter};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio_util::codec::Framed;

use crate::traffic::TrafficHandle;

/// Time limit for connecting to an agent, including the exchange of hello messages.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Framed connection between this router and one agent.
type Channel = Framed<TcpStream, MessageCodec<ToRouter, ToAgent>>;

/// Errors of connecting to an agent.
#[derive(Debug, Error)]
enum ConnectError {
    #[error("failed to connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("exchange of hello messages failed: {0}")]
    Codec(#[from] CodecError),
    #[error("no hello message received")]
    NoHello,
    #[error("a different agent responded")]
    WrongAgent,
    #[error("timed out")]
    Timeout,
}

struct Link {
    /// Distinguishes this connection from earlier ones to the same agent.
    generation: u64,
    sender: UnboundedSender<ToAgent>,
    task: JoinHandle<()>,
}

/// The current connection of a traffic thread to each agent.
#[derive(Clone, Default)]
pub struct Links {
    links: Rc<RefCell<HashMap<NodeId, Link>>>,
    generation: Rc<RefCell<u64>>,
}

impl Links {
    /// Connects to an agent in the background and reports the result, and a later
    /// loss of the connection, to the dispatcher.
    pub fn connect(
        &self,
        traffic: TrafficHandle,
        agent: NodeId,
        address: SocketAddr,
        router: NodeId,
        version: ConfigurationVersion,
    ) {
        let generation = {
            let mut generation = self.generation.borrow_mut();
            *generation += 1;
            *generation
        };
        let (sender, messages) = unbounded_channel();
        let links = self.clone();
        let task = actix_rt::spawn(async move {
            let hello = ToAgent::Hello { router, version };
            let opened = timeout(CONNECT_TIMEOUT, open_channel(agent, address, hello)).await;
            match opened.unwrap_or(Err(ConnectError::Timeout)) {
                Ok((channel, incarnation)) => {
                    traffic.handle(DispatchInput::Connected { agent, incarnation });
                    relay_messages(&traffic, agent, channel, messages).await;
                    links.report_loss(&traffic, agent, generation);
                }
                Err(error) => {
                    log::debug!(target: "links", "agent {agent} at {address}: {error}");
                    links.remove_if_current(agent, generation);
                    traffic.handle(DispatchInput::ConnectFailed(agent));
                }
            }
        });
        let link = Link {
            generation,
            sender,
            task,
        };
        self.links.borrow_mut().insert(agent, link);
    }

    /// Queues a message for an agent; drops the message if there is no connection.
    pub fn send(&self, agent: NodeId, message: ToAgent) {
        let links = self.links.borrow();
        let sent = links.get(&agent).map(|link| link.sender.send(message));
        if !matches!(sent, Some(Ok(()))) {
            log::debug!(target: "links", "a message to agent {agent} was dropped: no connection");
        }
    }

    /// Closes a connection without reporting its loss.
    pub fn disconnect(&self, agent: NodeId) {
        if let Some(link) = self.links.borrow_mut().remove(&agent) {
            link.task.abort();
        }
    }

    /// Removes the connection if it still is that of `generation`; returns whether
    /// it was.
    fn remove_if_current(&self, agent: NodeId, generation: u64) -> bool {
        let mut links = self.links.borrow_mut();
        let current = links
            .get(&agent)
            .is_some_and(|link| link.generation == generation);
        if current {
            links.remove(&agent);
        }
        current
    }

    fn report_loss(&self, traffic: &TrafficHandle, agent: NodeId, generation: u64) {
        if self.remove_if_current(agent, generation) {
            log::info!(target: "links", "the connection to agent {agent} was lost");
            traffic.handle(DispatchInput::ConnectionLost(agent));
        }
    }
}

async fn open_channel(
    agent: NodeId,
    address: SocketAddr,
    hello: ToAgent,
) -> Result<(Channel, Incarnation), ConnectError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut channel = Framed::new(stream, MessageCodec::new());
    channel.send(hello).await?;
    match channel.next().await {
        Some(Ok(ToRouter::Hello {
            agent: responder,
            incarnation,
        })) if responder == agent => Ok((channel, incarnation)),
        Some(Ok(ToRouter::Hello { .. })) => Err(ConnectError::WrongAgent),
        Some(Ok(_)) | None => Err(ConnectError::NoHello),
        Some(Err(error)) => Err(error.into()),
    }
}

/// Forwards messages in both directions until the connection ends.
async fn relay_messages(
    traffic: &TrafficHandle,
    agent: NodeId,
    channel: Channel,
    mut messages: UnboundedReceiver<ToAgent>,
) {
    let (mut sink, mut source) = channel.split();
    let write = async {
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
    };
    let read = async {
        while let Some(Ok(message)) = source.next().await {
            traffic.handle(DispatchInput::FromAgent { agent, message });
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}
