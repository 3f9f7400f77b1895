use std::{fs, time::Duration};

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::server::local_error;

/// Unit of the CPU times in `/proc/ID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Index of `utime` among the fields after the process name.
const USER_TICKS_FIELD: usize = 11;
/// Index of `stime` among the fields after the process name.
const SYSTEM_TICKS_FIELD: usize = 12;
const BYTES_PER_KIB: u64 = 1_024;

/// CPU time and memory usage of a process, read from `/proc`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time in user and kernel mode since the start, with a resolution of 10 ms.
    pub cpu_time: Duration,
    /// Resident set size in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `id`.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not exist, `Invalid` when its `/proc` entry is malformed.
    pub fn read(id: u32) -> Result<Self, MeshError> {
        Ok(Self {
            cpu_time: cpu_time(&read_entry(id, "stat")?)?,
            resident_bytes: resident_bytes(&read_entry(id, "status")?)?,
        })
    }
}

fn read_entry(id: u32, entry: &str) -> Result<String, MeshError> {
    let path = format!("/proc/{id}/{entry}");
    fs::read_to_string(&path).map_err(|error| local_error(&path, &error))
}

fn cpu_time(stat: &str) -> Result<Duration, MeshError> {
    // The process name in parentheses may contain spaces, so fields are counted from its end.
    let fields: Vec<&str> = match stat.rsplit_once(") ") {
        Some((_, rest)) => rest.split(' ').collect(),
        None => Vec::new(),
    };
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u32>().ok());
    match (ticks(USER_TICKS_FIELD), ticks(SYSTEM_TICKS_FIELD)) {
        (Some(user), Some(system)) => Ok(CLOCK_TICK * (user + system)),
        _ => Err(malformed(stat)),
    }
}

fn resident_bytes(status: &str) -> Result<u64, MeshError> {
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|text| text.trim().strip_suffix(" kB"))
        .and_then(|text| text.parse::<u64>().ok())
        .map(|kibibytes| kibibytes * BYTES_PER_KIB)
        .ok_or_else(|| malformed(status))
}

fn malformed(text: &str) -> MeshError {
    MeshError::new(
        ErrorKind::Invalid,
        format!("malformed /proc entry {text:?}"),
    )
}
