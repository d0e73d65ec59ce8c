//! Documents of the store or of a peer that do not end.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Request;
use stacktack_direct::client::{send_and_collect, ClientConnection};
use stacktack_direct::transfer::Transfer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

/// Bytes that a process may keep of one document.
const MAX_KEPT_BYTES: u64 = 32 << 20;

/// Bytes of a document that is too long.
const LONG_BYTES: usize = 96 << 20;

/// Starts a server that sends this head and then a body of [`LONG_BYTES`] in chunks.
async fn start_server(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let _ = connection.read(&mut [0; 4096]).await;
        let _ = connection.write_all(head.as_bytes()).await;
        let chunk = [b"100000\r\n".as_slice(), &vec![b'x'; 1 << 20], b"\r\n"].concat();
        for _ in 0..LONG_BYTES >> 20 {
            if connection.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = connection.write_all(b"0\r\n\r\n").await;
    });
    address
}

/// Guards against a process that runs out of memory, and ends the requests of all its callers with it.
#[tokio::test]
async fn a_document_without_end_is_given_up() {
    let test = async {
        for head in [
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "HTTP/1.1 500 Error\r\ntransfer-encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\n",
        ] {
            let address = start_server(head).await;
            let connection = ClientConnection::connect(address).await;
            let mut connection = connection.expect("a connection");
            let transfer = Transfer::begin();
            let request = Request::new(Bytes::new().into());
            let collected = send_and_collect(&mut connection, request, &transfer).await;
            assert!(collected.is_err(), "{head}");
            assert!(transfer.bytes() <= MAX_KEPT_BYTES, "{}", transfer.bytes());
        }
    };
    LocalSet::new().run_until(test).await;
}
