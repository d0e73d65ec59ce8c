//! Socket for datagrams between routers.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// Sends and receives datagrams.
pub trait DatagramSocket {
    /// Sends a datagram; it may get lost.
    fn send_datagram(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<()>>;

    /// Receives the next datagram into `buffer`. Returns its length and its sender.
    fn receive_datagram(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

impl DatagramSocket for UdpSocket {
    async fn send_datagram(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_to(bytes, to).await.map(|_| ())
    }

    async fn receive_datagram(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }
}
