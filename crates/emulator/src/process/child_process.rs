use std::{
    ffi::OsStr,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};
use serde::de::DeserializeOwned;

use crate::server::{local_error, wall_clock};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
const START_TIMEOUT: TimeBudget = TimeBudget::from_secs(20);
const LISTENING_EVENT: &str = "\"listening\"";
const TAIL_LINES: usize = 30;

/// A child process whose output is written to a file; dropping the value kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    output: PathBuf,
    exit_status: Option<ExitStatus>,
}

impl ChildProcess {
    /// Starts `program` with its output written to a new file in `directory`.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the program does not start or the file cannot be created.
    pub fn start(
        name: impl Into<String>,
        program: &Path,
        args: impl IntoIterator<Item = impl AsRef<OsStr>>,
        directory: &Path,
    ) -> Result<Self, MeshError> {
        let name = name.into();
        let output = unused_path(directory, &name);
        let path_text = output.display().to_string();
        let stdout = File::create(&output).map_err(|error| local_error(&path_text, &error))?;
        let stderr = stdout
            .try_clone()
            .map_err(|error| local_error(&path_text, &error))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .map_err(|error| local_error(&program.display().to_string(), &error))?;
        Ok(Self {
            name,
            child,
            output,
            exit_status: None,
        })
    }

    /// Returns the name given to the process at its start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process prints its `listening` event and decodes the addresses in it.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process exits or does not print the event in time, `Invalid` when the
    /// event cannot be decoded.
    pub async fn wait_listening<T: DeserializeOwned>(&mut self) -> Result<T, MeshError> {
        let deadline = wall_clock().after(START_TIMEOUT);
        loop {
            let text = self.output_text();
            let line = text
                .split_inclusive('\n')
                .find(|line| line.ends_with('\n') && line.contains(LISTENING_EVENT));
            if let Some(line) = line {
                return serde_json::from_str(line).map_err(|error| {
                    MeshError::invalid(format!(
                        "process {} printed a malformed listening event {line:?}: {error}",
                        self.name
                    ))
                });
            }
            if self.poll_exit().is_some() || deadline.has_passed(wall_clock()) {
                return Err(self.failure("did not print its addresses"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process has not exited; a paused process counts as running.
    pub fn is_running(&mut self) -> bool {
        self.poll_exit().is_none()
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process does not exit within `limit`.
    pub async fn wait(&mut self, limit: TimeBudget) -> Result<ExitStatus, MeshError> {
        let deadline: ClockInstant = wall_clock().after(limit);
        loop {
            if let Some(status) = self.poll_exit() {
                return Ok(status);
            }
            if deadline.has_passed(wall_clock()) {
                return Err(self.failure(&format!("did not exit within {limit}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the process with SIGKILL and waits for it to exit.
    pub fn kill(&mut self) {
        if self.poll_exit().is_some() {
            return;
        }
        // The process may have exited on its own since the check, which is not an error.
        let _ = self.child.kill();
        self.exit_status = self.child.wait().ok();
    }

    /// Pauses the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process has exited.
    pub fn pause(&mut self) -> Result<(), MeshError> {
        self.signal("-STOP")
    }

    /// Resumes a paused process with SIGCONT.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process has exited.
    pub fn resume(&mut self) -> Result<(), MeshError> {
        self.signal("-CONT")
    }

    /// Requests a graceful shutdown with SIGTERM.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the process has exited.
    pub fn terminate(&mut self) -> Result<(), MeshError> {
        self.signal("-TERM")
    }

    /// Returns the complete output of the process so far.
    #[must_use]
    pub fn output_text(&self) -> String {
        let bytes = fs::read(&self.output).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the last lines of the process's output.
    #[must_use]
    pub fn tail(&self) -> String {
        let text = self.output_text();
        let lines: Vec<_> = text.lines().collect();
        let start = lines.len().saturating_sub(TAIL_LINES);
        lines[start..].join("\n")
    }

    fn poll_exit(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status
    }

    fn signal(&mut self, signal: &str) -> Result<(), MeshError> {
        // The process is not reaped before this check, so the kernel cannot have reused its id.
        if self.poll_exit().is_some() {
            return Err(self.failure("has exited"));
        }
        let status = Command::new("kill")
            .arg(signal)
            .arg(self.id().to_string())
            .status()
            .map_err(|error| local_error("kill", &error))?;
        if status.success() {
            return Ok(());
        }
        Err(self.failure(&format!("could not be sent signal {signal}")))
    }

    /// Prints the last output lines to standard error and returns an error with the exit status.
    fn failure(&mut self, what: &str) -> MeshError {
        let status = match self.poll_exit() {
            Some(status) => format!("ended with {status}"),
            None => "still running".to_owned(),
        };
        eprintln!("--- {} ({status}):\n{}", self.name, self.tail());
        MeshError::new(
            ErrorKind::LocalIo,
            format!("process {} {what} ({status})", self.name),
        )
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn unused_path(directory: &Path, name: &str) -> PathBuf {
    (1..)
        .map(|number| directory.join(format!("{name}.{number}.log")))
        .find(|path| !path.exists())
        .expect("a directory holds finitely many files")
}
