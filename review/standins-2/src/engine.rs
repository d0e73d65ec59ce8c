//! Stand-in of model workers: streams events, and records its runs.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Record;
use crate::http::{Message, Reader};

/// Time in which a prompt is read.
const READING: Duration = Duration::from_millis(20);

/// Time between two events.
pub const PACE: Duration = Duration::from_millis(40);

/// What happens to a run beside the usual.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Number of the last event of the stream.
    pub events: u32,
    /// After this event the run is preempted for a time, and goes on.
    pub preempted: Option<(u32, Duration)>,
    /// Whether the run's answer is lost: it runs to its end, and the connection then closes.
    pub answer_lost: bool,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
    pub started: Instant,
    /// When the worker stopped working on it; `None` while it works.
    pub ended: Option<Instant>,
    pub cancelled: bool,
    /// When the latest event was made.
    pub last_event: Option<Instant>,
}

/// All runs of all workers.
#[derive(Clone)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Runs {
    pub fn new(record: Record) -> Self {
        Runs {
            runs: Arc::default(),
            record,
        }
    }

    pub fn of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    fn begin(&self, id: &str, worker: &str, resumes_after: &str) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            id: id.to_owned(),
            worker: worker.to_owned(),
            started: Instant::now(),
            ended: None,
            cancelled: false,
            last_event: None,
        });
        let after = if resumes_after.is_empty() {
            "-"
        } else {
            resumes_after
        };
        self.record.line(&format!(
            "run began id={id} worker={worker} last_event_id={after}"
        ));
        runs.len() - 1
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.runs.lock().unwrap()[index]);
    }
}

/// Plan of a run, from the request and the number of runs that it had before.
pub type Planner = Arc<dyn Fn(&Message, usize) -> Plan + Send + Sync>;

/// Starts a worker.
pub fn start(id: &str, address: SocketAddr, runs: Runs, planner: Planner) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, planner) = (id.clone(), runs.clone(), planner.clone());
            thread::spawn(move || serve(&id, stream, &runs, &planner));
        }
    });
    Ok(())
}

fn serve(worker: &str, stream: TcpStream, runs: &Runs, planner: &Planner) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message() {
        let id = request.header("stacktack-attempt-id").to_owned();
        let expected = request.header("stacktack-expect-instance");
        if !expected.is_empty() && expected != worker {
            let text = format!("HTTP/1.1 421 -\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Instance-Id: {worker}\r\nContent-Length: 0\r\n\r\n");
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let plan = planner(&request, runs.of(&id).len());
        if stream_events(worker, &id, &request, plan, &mut writer, runs).is_none() {
            return;
        }
    }
}

/// Runs a request; `None` if its connection is to be closed.
fn stream_events(
    worker: &str,
    id: &str,
    request: &Message,
    plan: Plan,
    writer: &mut TcpStream,
    runs: &Runs,
) -> Option<()> {
    let after = request.header("last-event-id");
    let first: u32 = after.parse().map_or(1, |after: u32| after + 1);
    if !wait(READING, writer) {
        return None;
    }
    // A request runs from its first token on.
    let run = runs.begin(id, worker, after);
    let mut send = |text: &str| plan.answer_lost || writer.write_all(text.as_bytes()).is_ok();
    let mut alive = send(&format!(
        "HTTP/1.1 200 OK\r\nStacktack-Attempt-Id: {id}\r\nStacktack-Server-Seal: seal-{worker}-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ));
    for number in first..=plan.events {
        if !alive {
            break;
        }
        let event = format!("id: {number}\ndata: event {number} of {id}\n\n");
        alive = plan.answer_lost
            || writer
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_ok();
        runs.change(run, |run| run.last_event = Some(Instant::now()));
        if let Some((_, pause)) = plan.preempted.filter(|(after, _)| *after == number) {
            runs.record.line(&format!(
                "run preempted id={id} worker={worker} after_event={number}"
            ));
            alive &= wait(pause, writer);
            if alive {
                runs.record
                    .line(&format!("run goes on id={id} worker={worker}"));
            }
        }
        alive &= wait(PACE, writer);
    }
    if alive && !plan.answer_lost {
        alive = writer.write_all(b"0\r\n\r\n").is_ok();
    }
    runs.change(run, |run| {
        run.ended = Some(Instant::now());
        run.cancelled = !alive;
    });
    let end = match (alive, plan.answer_lost) {
        (false, _) => "cancelled",
        (true, true) => "whole, answer lost",
        (true, false) => "whole",
    };
    runs.record
        .line(&format!("run ended id={id} worker={worker} end=\"{end}\""));
    (alive && !plan.answer_lost).then_some(())
}

/// Waits while the connection is open; false once the caller has closed it.
fn wait(time: Duration, stream: &TcpStream) -> bool {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
        if is_closed(stream) {
            return false;
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let restored = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0 || restored.is_err(),
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
