use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
};

use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
};
use serde::{Deserialize, Serialize};

use crate::server::local_error;

/// A run, recorded before it starts.
///
/// The journal survives a crash of the backend server, so that the runs of a crashed server are
/// recorded too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Backend server that ran the request.
    pub backend: String,
    /// Software version that the server reports.
    pub version: String,
    /// Request id that the node sent.
    pub request: String,
    /// Idempotency key, empty without one.
    pub key: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Start time of the run.
    pub at: ClockInstant,
}

/// Append-only file of the runs of a backend stand-in.
#[derive(Debug)]
pub(crate) struct RunJournal(File);

impl RunJournal {
    pub(crate) fn open(path: &Path) -> Result<Self, MeshError> {
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map(Self)
            .map_err(|error| local_error(&path.display().to_string(), &error))
    }

    pub(crate) fn append(&mut self, entry: &JournalEntry) {
        let mut line = serde_json::to_vec(entry).expect("journal entry is serializable");
        line.push(b'\n');
        self.0.write_all(&line).expect("journal file is writable");
    }
}

/// Reads a journal; a missing file is treated as an empty journal.
///
/// # Errors
///
/// `LocalIo` when the file cannot be read, `Invalid` when a line is not a valid entry.
pub fn read_journal(path: impl AsRef<Path>) -> Result<Vec<JournalEntry>, MeshError> {
    let path = path.as_ref();
    let display_path = path.display().to_string();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(local_error(&display_path, &error)),
    };
    BufReader::new(file)
        .lines()
        .map(|line| {
            let line = line.map_err(|error| local_error(&display_path, &error))?;
            serde_json::from_str(&line).map_err(|error| {
                MeshError::new(ErrorKind::Invalid, format!("{display_path}: {error}"))
            })
        })
        .collect()
}
