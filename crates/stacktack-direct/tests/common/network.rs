//! Datagrams between the routers of a fleet, on virtual time: some are lost, the others are delayed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_direct::datagram_socket::DatagramSocket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Times in milliseconds that datagrams take until they are read.
const DELAYS_MS: std::ops::RangeInclusive<u64> = 1..=20;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;

type Datagram = (Vec<u8>, SocketAddr);

pub struct Network {
    inboxes: RefCell<HashMap<SocketAddr, mpsc::UnboundedSender<Datagram>>>,
    random: RefCell<ChaCha8Rng>,
}

impl Network {
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Network {
            inboxes: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    pub fn connect(self: &Rc<Self>, address: SocketAddr) -> Rc<NetworkSocket> {
        let (sender, inbox) = mpsc::unbounded_channel();
        self.inboxes.borrow_mut().insert(address, sender);
        Rc::new(NetworkSocket {
            network: self.clone(),
            address,
            inbox: RefCell::new(Some(inbox)),
        })
    }

    /// Time until a datagram is read; `None` if it is lost.
    fn delay(&self) -> Option<Duration> {
        let mut random = self.random.borrow_mut();
        let delay = Duration::from_millis(random.random_range(DELAYS_MS));
        (!random.random_bool(LOSS)).then_some(delay)
    }
}

/// A router's socket on the network.
pub struct NetworkSocket {
    network: Rc<Network>,
    address: SocketAddr,
    inbox: RefCell<Option<mpsc::UnboundedReceiver<Datagram>>>,
}

impl DatagramSocket for NetworkSocket {
    async fn send_datagram(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let inbox = self.network.inboxes.borrow().get(&to).cloned();
        if let (Some(delay), Some(inbox)) = (self.network.delay(), inbox) {
            let datagram = (bytes.to_vec(), self.address);
            spawn_local(async move {
                sleep(delay).await;
                // Fails only if the receiver has ended.
                let _ = inbox.send(datagram);
            });
        }
        Ok(())
    }

    async fn receive_datagram(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let mut inbox = self.inbox.take().expect("one receiver");
        let received = inbox.recv().await;
        self.inbox.replace(Some(inbox));
        let Some((bytes, from)) = received else {
            return pending().await;
        };
        buffer[..bytes.len()].copy_from_slice(&bytes);
        Ok((bytes.len(), from))
    }
}
