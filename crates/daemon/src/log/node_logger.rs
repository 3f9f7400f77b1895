use std::{
    io,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use bronzelb_kernel::ids::{DataCentre, NodeName};
use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

/// Builder of the node's logger.
#[derive(Debug)]
pub struct NodeLogger;

impl NodeLogger {
    /// Builds a logger that writes JSON lines to standard output.
    ///
    /// Every line carries `ts` (milliseconds since the Unix epoch), `level`, `event`, the node and
    /// its data centre. A full buffer drops lines and counts them instead of blocking the request
    /// path.
    pub fn stdout(node: &NodeName, data_centre: &DataCentre) -> Logger {
        let json = slog_json::Json::new(io::stdout())
            .set_flush(true)
            .add_key_value(o!(
                "ts" => FnValue(|_: &Record<'_>| unix_millis()),
                "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
                "event" => PushFnValue(|record: &Record<'_>, serializer| {
                    serializer.emit(record.msg())
                }),
            ))
            .build();
        let drain = slog_async::Async::new(Mutex::new(json).map(slog::Fuse))
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build()
            .fuse();
        Logger::root(
            drain,
            o!("node" => node.to_string(), "data_centre" => data_centre.to_string()),
        )
    }
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
