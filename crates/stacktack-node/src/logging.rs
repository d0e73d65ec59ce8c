//! Logging with `log` and `env_logger`, one line per record, to standard error or
//! through a bounded queue to standard output.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Starts logging to standard error. `RUST_LOG` sets the level; the default is
/// `info`.
///
/// A line is `time level target: sentence`; each part of the system has its own
/// fixed target.
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

/// Maximum size of the queue; lines beyond it are dropped.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// Time for which lines are collected into one write.
const BATCH_WINDOW: Duration = Duration::from_millis(100);

/// Lines that are not yet written, and the number of dropped lines.
#[derive(Default)]
struct QueuedLines {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

#[derive(Default)]
struct Queue {
    lines: Mutex<QueuedLines>,
    lines_arrived: Condvar,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, QueuedLines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut lines = self.lock();
        if lines.bytes.len() + line.len() > MAX_QUEUED_BYTES {
            lines.dropped_lines += 1;
            return;
        }
        let was_empty = lines.bytes.is_empty();
        lines.bytes.extend_from_slice(line);
        drop(lines);
        if was_empty {
            self.lines_arrived.notify_one();
        }
    }

    /// Waits for a line, collects more for [`BATCH_WINDOW`], then writes them all.
    fn write_batch(&self) {
        let lines = self.lock();
        drop(
            self.lines_arrived
                .wait_while(lines, |lines| lines.bytes.is_empty()),
        );
        std::thread::sleep(BATCH_WINDOW);
        self.write_all();
    }

    fn write_all(&self) {
        let batch = std::mem::take(&mut *self.lock());
        let mut output = std::io::stdout().lock();
        // A failure of standard output cannot be reported anywhere.
        let _ = output.write_all(&batch.bytes);
        if batch.dropped_lines > 0 {
            let _ = writeln!(output, "warn log: lines_left_out={}", batch.dropped_lines);
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

/// Handle to the structured log of a process.
pub struct StructuredLog(Arc<Queue>);

impl StructuredLog {
    /// Writes all queued lines; to be called before the process ends.
    pub fn flush(&self) {
        self.0.write_all();
    }
}

/// Starts structured logging to standard output: `time level target: key=value ...`.
///
/// A separate thread writes, so that a stalled reader of standard output never
/// blocks a request; when the queue is full, further lines are dropped and counted.
pub fn start_structured() -> StructuredLog {
    let queue = Arc::new(Queue::default());
    let writer = Box::new(QueueWriter(queue.clone()));
    start_to(env_logger::Target::Pipe(writer));
    let writer = queue.clone();
    std::thread::spawn(move || loop {
        writer.write_batch();
    });
    StructuredLog(queue)
}
