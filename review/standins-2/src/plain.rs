//! Stand-in of plain workers that answer each request whole.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::Reader;

/// Starts a worker that works on each request for a time; `runs` counts them.
pub fn start(
    id: &str,
    address: SocketAddr,
    work: Duration,
    runs: Arc<AtomicU64>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs) = (id.clone(), runs.clone());
            // A connection that breaks ends its thread only.
            thread::spawn(move || serve(&id, stream, work, &runs));
        }
    });
    Ok(())
}

fn serve(worker: &str, stream: TcpStream, work: Duration, runs: &AtomicU64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    loop {
        let request = reader.message()?;
        let id = request.header("stacktack-attempt-id");
        if request.header("stacktack-expect-instance") != worker {
            let text = format!("HTTP/1.1 421 -\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Instance-Id: {worker}\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(text.as_bytes())?;
            continue;
        }
        runs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(work);
        let body = format!("{{\"answer_to\":\"{id}\"}}");
        let text = format!("HTTP/1.1 200 OK\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Server-Seal: seal-{worker}-{id}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(text.as_bytes())?;
    }
}
