//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(File::create(path).expect("is writable"))),
            started: Instant::now(),
        }
    }

    /// Seconds since the start of the run.
    pub fn time(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let time = self.time();
        let _ = writeln!(self.file.lock().unwrap(), "{time:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.time());
    }
}
