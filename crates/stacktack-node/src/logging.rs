//! Logs: `log` with `env_logger`, one line a record, to standard error, or
//! through a bounded queue to standard output.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Starts logging. `RUST_LOG` sets the level; default: `info`.
///
/// A line is `time level prefix: sentence`; the prefix is the record's target,
/// fixed for each part of the system.
pub fn start() {
    start_to(env_logger::Target::Stderr);
}

fn start_to(target: env_logger::Target) {
    let environment = env_logger::Env::default().default_filter_or("info");
    let result = env_logger::Builder::from_env(environment)
        .target(target)
        .format(|buffer, record| {
            let time = buffer.timestamp_millis();
            let level = record.level();
            writeln!(
                buffer,
                "{time} {level} {}: {}",
                record.target(),
                record.args()
            )
        })
        .try_init();
    if result.is_err() {
        log::debug!(target: "log", "logging was started before");
    }
}

/// Bytes that may wait to be written before lines are left out.
const WAITING_BYTES: usize = 256 * 1024;

/// Time for which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(100);

/// Lines that wait for the thread that writes them.
#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
}

#[derive(Default)]
struct Queue {
    waiting: Mutex<Waiting>,
    arrived: Condvar,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > WAITING_BYTES {
            waiting.left_out += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.arrived.notify_one();
        }
    }

    /// Waits for lines, gathers more for a moment, writes them all.
    fn write_some(&self) {
        let waiting = self.lock();
        drop(
            self.arrived
                .wait_while(waiting, |waiting| waiting.bytes.is_empty()),
        );
        std::thread::sleep(GATHER);
        self.write_all();
    }

    fn write_all(&self) {
        let taken = std::mem::take(&mut *self.lock());
        let mut output = std::io::stdout().lock();
        // Nobody is left to tell when standard output fails.
        let _ = output.write_all(&taken.bytes);
        if taken.left_out > 0 {
            let _ = writeln!(output, "warn log: lines_left_out={}", taken.left_out);
        }
        let _ = output.flush();
    }
}

struct QueueWriter(Arc<Queue>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.0.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The structured log of a process.
pub struct StructuredLog(Arc<Queue>);

impl StructuredLog {
    /// Writes what waits. Called before the process ends.
    pub fn flush(&self) {
        self.0.write_all();
    }
}

/// Starts structured logging to standard output: `time level prefix: key=value ...`.
///
/// A thread of its own writes, so that a reader that does not read never holds
/// up a request; lines beyond the bound are left out and counted.
pub fn start_structured() -> StructuredLog {
    let queue = Arc::new(Queue::default());
    let writer = Box::new(QueueWriter(queue.clone()));
    start_to(env_logger::Target::Pipe(writer));
    let writer = queue.clone();
    std::thread::spawn(move || loop {
        writer.write_some();
    });
    StructuredLog(queue)
}
