//! A back end that sends given bytes, and a caller that reads responses byte by byte.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_direct::router::Router;
use stacktack_direct::server::accept_callers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time after which a caller gives a response up.
const PATIENCE: Duration = Duration::from_secs(5);

/// How a back end answers one request.
#[derive(Clone, Debug)]
pub struct RawResponse {
    pub bytes: Vec<u8>,
    /// Whether it closes the connection afterwards, in order.
    pub closes: bool,
}

impl RawResponse {
    pub fn kept(text: &str) -> Self {
        RawResponse {
            bytes: text.as_bytes().to_vec(),
            closes: false,
        }
    }

    #[allow(
        dead_code,
        reason = "not all tests that share this module close connections"
    )]
    pub fn closed(text: &str) -> Self {
        RawResponse {
            closes: true,
            ..RawResponse::kept(text)
        }
    }
}

/// Starts a back end that answers its requests with these responses, in order and whatever their
/// connection; all later ones with the last.
pub async fn start_back_end(responses: &[RawResponse]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let responses = Rc::new(std::cell::RefCell::new(VecDeque::from(responses.to_vec())));
    spawn_local(async move {
        while let Ok((connection, _)) = listener.accept().await {
            spawn_local(answer_requests(connection, responses.clone()));
        }
    });
    address
}

async fn answer_requests(
    mut connection: TcpStream,
    responses: Rc<std::cell::RefCell<VecDeque<RawResponse>>>,
) {
    while let Ok(1..) = connection.read(&mut [0; 4096]).await {
        let response = {
            let mut responses = responses.borrow_mut();
            match responses.len() {
                1 => responses[0].clone(),
                _ => responses.pop_front().expect("a response"),
            }
        };
        let is_written = connection.write_all(&response.bytes).await.is_ok();
        if !is_written || response.closes {
            return;
        }
    }
}

/// A response as its caller read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadResponse {
    /// Status line and header fields, in lower case.
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body was whole by its framing.
    pub complete: bool,
}

impl ReadResponse {
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find_map(|(field, value)| (field == name).then_some(value))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller that keeps its connection.
pub struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Caller {
    /// Connects to a router, which accepts callers from now on.
    pub async fn of(router: Rc<Router>) -> Caller {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address");
        spawn_local(accept_callers(router, listener));
        Caller {
            stream: TcpStream::connect(address).await.expect("connects"),
            unread: Vec::new(),
        }
    }

    /// Sends a request without a body and reads its response.
    pub async fn get(&mut self, path: &str) -> ReadResponse {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: h.example\r\n\r\n"))
            .await
    }

    /// Sends a request and reads its response, which has no body if it answers HEAD or has status 204
    /// or 304.
    pub async fn send(&mut self, request: &str) -> ReadResponse {
        let written = self.stream.write_all(request.as_bytes()).await;
        let read = timeout(PATIENCE, self.read_response(request.starts_with("HEAD"))).await;
        match (written, read) {
            (Ok(()), Ok(response)) => response,
            _ => ReadResponse::default(),
        }
    }

    async fn read_response(&mut self, answers_head: bool) -> ReadResponse {
        let mut response = ReadResponse::default();
        let Some(head) = self.read_until(b"\r\n\r\n").await else {
            return response;
        };
        response.head = String::from_utf8_lossy(&head).to_lowercase();
        let length = response.header("content-length").map(str::to_owned);
        if answers_head || [204, 304].contains(&response.status()) {
            response.complete = true;
        } else if response.header("transfer-encoding").is_some() {
            response.complete = self.read_chunks(&mut response.body).await.is_some();
        } else if let Some(length) = length.and_then(|length| length.parse().ok()) {
            if let Some(body) = self.read_exactly(length).await {
                response.body = body;
                response.complete = true;
            }
        } else {
            while self.read_more().await.is_some() {}
            response.body = std::mem::take(&mut self.unread);
        }
        response
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let size = self.read_until(b"\r\n").await?;
            let size = String::from_utf8_lossy(&size).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).ok()?;
            body.extend(self.read_exactly(size).await?);
            self.read_exactly(2).await?;
            if size == 0 {
                return Some(());
            }
        }
    }

    async fn read_until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self.unread.windows(end.len()).position(|part| part == end);
            if let Some(at) = found {
                return self.read_exactly(at + end.len()).await;
            }
            self.read_more().await?;
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.unread.len() < length {
            self.read_more().await?;
        }
        let rest = self.unread.split_off(length);
        Some(std::mem::replace(&mut self.unread, rest))
    }

    async fn read_more(&mut self) -> Option<()> {
        let length = self.stream.read_buf(&mut self.unread).await.ok()?;
        (length > 0).then_some(())
    }
}
