//! Stand-in of clients.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Reader};

/// Whether a router answers its readiness check with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    exchange(address, request.as_bytes(), Duration::from_secs(1))
        .is_some_and(|answer| answer.status() == 200)
}

/// Sends a request on a new connection and reads the whole answer; `None` without a complete one.
pub fn exchange(address: SocketAddr, request: &[u8], patience: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(request).ok()?;
    Reader::new(stream).message().ok()
}
