use std::{fs, time::Duration};

use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::server::local_error;

const TICK: Duration = Duration::from_millis(10);
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const BYTES_PER_KIB: u64 = 1_024;

/// Processor time and memory that a process has used, from the system's process table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Time on a processor since the start, in steps of 10 ms.
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads what the process `id` has used.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not exist, `Invalid` when its entry is malformed.
    pub fn read(id: u32) -> Result<Self, MeshError> {
        Ok(Self {
            cpu_time: processor_time(&read_entry(id, "stat")?)?,
            resident_bytes: resident_bytes(&read_entry(id, "status")?)?,
        })
    }
}

fn read_entry(id: u32, entry: &str) -> Result<String, MeshError> {
    let path = format!("/proc/{id}/{entry}");
    fs::read_to_string(&path).map_err(|error| local_error(&path, &error))
}

fn processor_time(stat: &str) -> Result<Duration, MeshError> {
    // The name in parentheses may hold spaces; the fields are counted from behind it.
    let fields: Vec<&str> = match stat.rsplit_once(") ") {
        Some((_, rest)) => rest.split(' ').collect(),
        None => Vec::new(),
    };
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u32>().ok());
    match (ticks(USER_TICKS_FIELD), ticks(SYSTEM_TICKS_FIELD)) {
        (Some(user), Some(system)) => Ok(TICK * (user + system)),
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
    MeshError::new(ErrorKind::Invalid, format!("process entry {text:?}"))
}
