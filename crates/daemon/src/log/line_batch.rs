use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use serde_json::json;

use crate::log::EventName;

/// Time for which frequent lines are collected, so that a node under load writes a few times a
/// second instead of once per line.
const COLLECT_TIME: Duration = Duration::from_millis(100);
/// Size of the collected lines from which further lines are dropped, because the reader of the
/// output does not keep up.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Log lines that wait to be written in one piece by a thread of their own.
///
/// A line that is not frequent is written at once, with the lines before it. A process that is
/// killed loses the frequent lines of the last [`COLLECT_TIME`]. Dropping the batch writes the
/// waiting lines and ends the thread.
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
    /// Whether a line waits that is to be written at once.
    is_urgent: bool,
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
                    writer.collect_lines();
                    writer.flush();
                }
            })?;
        Ok(Self { shared })
    }

    /// Adds a whole line, or counts it as dropped if too many wait.
    ///
    /// A frequent line is written together with those that follow it.
    pub fn push(&self, line: &[u8], is_frequent: bool) {
        let mut lines = lock(&self.shared.lines);
        if lines.bytes.len() + line.len() > MAX_BATCH_BYTES {
            lines.dropped += 1;
            return;
        }
        let needs_wake = lines.bytes.is_empty() || (!is_frequent && !lines.is_urgent);
        lines.bytes.extend_from_slice(line);
        lines.is_urgent |= !is_frequent;
        drop(lines);
        if needs_wake {
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

    /// Waits until the collect time is over or a line is to be written at once.
    fn collect_lines(&self) {
        let lines = lock(&self.lines);
        let may_wait = |lines: &mut CollectedLines| !lines.is_urgent && !lines.is_closed;
        let waited = self
            .has_changed
            .wait_timeout_while(lines, COLLECT_TIME, may_wait);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn flush(&self) {
        // The lock on the output keeps batches in order.
        let mut output = lock(&self.output);
        let (mut bytes, dropped) = {
            let mut lines = lock(&self.lines);
            lines.is_urgent = false;
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
