//! Tests of child processes: signals, startup failures and cleanup.

use std::path::{Path, PathBuf};

use bronzelb_emulator::process::ChildProcess;
use bronzelb_kernel::clock::TimeBudget;

const TIMEOUT: TimeBudget = TimeBudget::from_secs(10);

fn start_platform(directory: &Path) -> ChildProcess {
    let emulator = Path::new(env!("CARGO_BIN_EXE_bronzelb-emulator"));
    ChildProcess::start("platform", emulator, ["platform"], directory).expect("a process")
}

fn proc_directory(process: &ChildProcess) -> PathBuf {
    PathBuf::from(format!("/proc/{}", process.id()))
}

fn process_state(process: &ChildProcess) -> Option<char> {
    let stat = std::fs::read_to_string(proc_directory(process).join("stat")).ok()?;
    let (_, rest) = stat.rsplit_once(") ")?;
    rest.chars().next()
}

#[actix_web::test]
async fn paused_process_stops_and_resumes() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut process = start_platform(directory.path());
    let _: serde_json::Value = process.wait_listening().await.expect("addresses");
    process.pause().expect("the signal is delivered");
    let is_stopped = async || process_state(&process) == Some('T');
    bronzelb_emulator::mesh::wait_until("process stopped by SIGSTOP", TIMEOUT, is_stopped)
        .await
        .expect("the process is stopped");
    process.resume().expect("the signal is delivered");
    process.terminate().expect("the signal is delivered");
    let status = process.wait(TIMEOUT).await.expect("the process ends");
    assert!(status.success(), "{status}");
    assert!(
        process.terminate().is_err(),
        "signalling an exited process fails"
    );
}

#[actix_web::test]
async fn processes_are_killed_when_their_owner_panics() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut process = start_platform(directory.path());
    let _: serde_json::Value = process.wait_listening().await.expect("addresses");
    process.pause().expect("the signal is delivered");
    let proc_entry = proc_directory(&process);
    assert!(proc_entry.exists());
    let panicked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
        let _owned = process;
        panic!("a test fails");
    }));
    assert!(panicked.is_err());
    assert!(!proc_entry.exists(), "a paused process is killed too");
}

#[actix_web::test]
async fn process_that_prints_no_address_is_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let emulator = Path::new(env!("CARGO_BIN_EXE_bronzelb-emulator"));
    let args = ["platform", "--listen", "nowhere"];
    let mut process =
        ChildProcess::start("platform", emulator, args, directory.path()).expect("a process");
    let error = process
        .wait_listening::<serde_json::Value>()
        .await
        .unwrap_err();
    assert_eq!(
        error.message(),
        "process platform did not print its addresses (ended with exit status: 2)"
    );
    assert!(
        process.tail().contains("argument --listen \"nowhere\""),
        "{}",
        process.tail()
    );
}
