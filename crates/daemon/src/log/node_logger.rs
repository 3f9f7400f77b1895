use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use bronzelb_kernel::ids::{DataCentre, NodeName};
use slog::{Drain, FnValue, Logger, OwnedKVList, PushFnValue, Record, o};
use slog_json::Json;

use crate::log::LineBatch;

/// Tag of the lines about single requests, which are written in batches.
pub(crate) const REQUEST_TAG: &str = "request";

/// Builder of the node's logger.
#[derive(Debug)]
pub struct NodeLogger;

impl NodeLogger {
    /// Builds a logger that adds JSON lines to `batch`.
    ///
    /// Every line carries `ts` (milliseconds since the Unix epoch), `level`, `event`, the node and
    /// its data centre. A line is formatted once, by the thread that logs it, and written by
    /// another one.
    pub fn build(node: &NodeName, data_centre: &DataCentre, batch: Arc<LineBatch>) -> Logger {
        let line = LineBuffer::default();
        let json = Json::new(line.clone())
            .add_key_value(o!(
                "ts" => FnValue(|_: &Record<'_>| unix_millis()),
                "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
                "event" => PushFnValue(|record: &Record<'_>, serializer| {
                    serializer.emit(record.msg())
                }),
            ))
            .build();
        let drain = BatchDrain {
            json: Mutex::new(json),
            line,
            batch,
        };
        Logger::root(
            drain.fuse(),
            o!("node" => node.to_string(), "data_centre" => data_centre.to_string()),
        )
    }
}

/// Drain that formats each record as one line and adds the line to a batch.
struct BatchDrain {
    json: Mutex<Json<LineBuffer>>,
    line: LineBuffer,
    batch: Arc<LineBatch>,
}

impl Drain for BatchDrain {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), io::Error> {
        // Held until the line is taken, so that lines of several threads do not mix.
        let json = lock(&self.json);
        let result = json.log(record, values);
        let mut line = lock(&self.line.bytes);
        if result.is_ok() {
            self.batch.push(&line, record.tag() == REQUEST_TAG);
        }
        line.clear();
        result
    }
}

/// Buffer of the line that is being formatted; clones share it.
#[derive(Clone, Default)]
struct LineBuffer {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        lock(&self.bytes).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
