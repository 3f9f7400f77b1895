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

/// One run, as written down before it starts.
///
/// A journal outlives its backend server, so that the runs of a crashed one are known too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Backend server that ran the request.
    pub backend: String,
    /// Version that the server claims to run.
    pub version: String,
    /// Request id that the node sent.
    pub request: String,
    /// Idempotency key, empty without one.
    pub key: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Start of the run.
    pub at: ClockInstant,
}

/// File to which a backend stand-in appends its runs.
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
        let mut line = serde_json::to_vec(entry).expect("an entry holds only text and numbers");
        line.push(b'\n');
        self.0
            .write_all(&line)
            .expect("a test's directory takes another line");
    }
}

/// Reads a journal; a file that does not exist is an empty journal.
///
/// # Errors
///
/// `LocalIo` when the file is unreadable, `Invalid` when a line is no entry.
pub fn read_journal(path: impl AsRef<Path>) -> Result<Vec<JournalEntry>, MeshError> {
    let path = path.as_ref();
    let place = path.display().to_string();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(local_error(&place, &error)),
    };
    BufReader::new(file)
        .lines()
        .map(|line| {
            let line = line.map_err(|error| local_error(&place, &error))?;
            serde_json::from_str(&line)
                .map_err(|error| MeshError::new(ErrorKind::Invalid, format!("{place}: {error}")))
        })
        .collect()
}
