use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use serde_json::json;

use crate::log::EventName;

/// Time for which lines are collected, so that a node under load writes a few times a second
/// instead of once per line.
const COLLECT_TIME: Duration = Duration::from_millis(100);
/// Size of the collected lines from which further lines are dropped, because the reader of the
/// output does not keep up.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Log lines that wait to be written in one piece by a thread of their own.
///
/// A process that is killed loses the lines of the last [`COLLECT_TIME`]. Dropping the batch writes
/// the waiting lines and ends the thread.
pub struct LineBatch {
    shared: Arc<SharedLines>,
}

struct SharedLines {
    lines: Mutex<CollectedLines>,
    has_changed: Condvar,
    output: Mutex<Box<dyn Write + Send>>,
}

#[derive(Default)]
struct CollectedLines {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

impl LineBatch {
    /// Creates a batch and starts the thread that writes it to `output`.
    ///
    /// # Errors
    ///
    /// Errors of the operating system when it starts the thread.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(SharedLines {
            lines: Mutex::default(),
            has_changed: Condvar::new(),
            output: Mutex::new(Box::new(output)),
        });
        let writer = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                while writer.wait_for_lines() {
                    thread::sleep(COLLECT_TIME);
                    writer.flush();
                }
            })?;
        Ok(Self { shared })
    }

    /// Adds a whole line, or counts it as dropped if too many wait.
    pub fn push(&self, line: &[u8]) {
        let mut lines = lock(&self.shared.lines);
        if lines.bytes.len() + line.len() > MAX_BATCH_BYTES {
            lines.dropped += 1;
            return;
        }
        let was_empty = lines.bytes.is_empty();
        lines.bytes.extend_from_slice(line);
        drop(lines);
        if was_empty {
            self.shared.has_changed.notify_one();
        }
    }

    /// Writes all waiting lines.
    pub fn flush(&self) {
        self.shared.flush();
    }
}

impl Drop for LineBatch {
    fn drop(&mut self) {
        self.shared.flush();
        lock(&self.shared.lines).is_closed = true;
        self.shared.has_changed.notify_one();
    }
}

impl SharedLines {
    /// Waits for lines; returns false once the batch is closed.
    fn wait_for_lines(&self) -> bool {
        let lines = lock(&self.lines);
        let is_idle = |lines: &mut CollectedLines| {
            lines.bytes.is_empty() && lines.dropped == 0 && !lines.is_closed
        };
        let waited = self.has_changed.wait_while(lines, is_idle);
        !waited.unwrap_or_else(PoisonError::into_inner).is_closed
    }

    fn flush(&self) {
        // The lock on the output keeps batches in order.
        let mut output = lock(&self.output);
        let (mut bytes, dropped) = {
            let mut lines = lock(&self.lines);
            (mem::take(&mut lines.bytes), mem::take(&mut lines.dropped))
        };
        if dropped > 0 {
            let event = EventName::LinesSuppressed.name();
            let line = json!({"event": event, "suppressed": "buffer-full", "lines": dropped});
            bytes.extend_from_slice(line.to_string().as_bytes());
            bytes.push(b'\n');
        }
        // There is no other place to report that the output cannot be written.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
