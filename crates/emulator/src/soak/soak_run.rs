use std::{
    cell::RefCell,
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};
use futures::future::join_all;
use serde_json::Value;
use tokio::{task::spawn_local, time};

use crate::{
    mesh::LocalMesh,
    server::{local_error, wall_clock},
    soak::{
        SoakCall, SoakHistory, SoakPlan, check_invariants,
        soak_calls::{find_unavailable_node, run_caller},
        soak_faults::{FaultInjector, SERVICE, server_spec},
    },
};

const START_TIMEOUT: TimeBudget = TimeBudget::from_secs(30);
/// Time after the last fault within which every node must serve calls and apply the newest version.
const RECOVERY_TIMEOUT: TimeBudget = TimeBudget::from_secs(15);
const CALLERS_PER_NODE: usize = 3;

/// A soak run that has not started yet.
#[derive(Clone, Debug)]
pub struct SoakRun {
    plan: SoakPlan,
    log_directory: Option<PathBuf>,
}

/// Result of a soak run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of calls.
    pub calls: usize,
    /// Number of calls with a success status.
    pub served: usize,
    /// Violated invariants; empty if the run passed.
    pub violations: Vec<String>,
}

impl SoakRun {
    /// Prepares a run of `plan`.
    #[must_use]
    pub const fn new(plan: SoakPlan) -> Self {
        Self {
            plan,
            log_directory: None,
        }
    }

    /// Copies the logs and journals of a failed run to a subdirectory of `directory`.
    #[must_use]
    pub fn with_failure_logs(mut self, directory: impl Into<PathBuf>) -> Self {
        self.log_directory = Some(directory.into());
        self
    }

    /// Runs the plan and checks its history against the mesh's invariants.
    ///
    /// # Errors
    ///
    /// `LocalIo` when the mesh does not start or a stand-in rejects a fault.
    pub async fn run(&self) -> Result<SoakReport, MeshError> {
        let mut injector = self.start().await?;
        let addresses = caller_addresses(&injector.mesh)?;
        let calls = self.run_load_with_faults(&mut injector, &addresses).await?;
        let mut violations = self.check_recovery(&mut injector, &addresses).await;
        let history = SoakHistory {
            runs: injector.mesh.runs()?,
            versions: applied_versions(injector.mesh.directory())?,
            outages: injector.outages.clone(),
            drained: injector.drained.clone(),
            limits: injector.limits.clone(),
            calls,
        };
        violations.extend(check_invariants(&history));
        if let Some(directory) = self
            .log_directory
            .as_ref()
            .filter(|_| !violations.is_empty())
        {
            self.copy_logs(injector.mesh.directory(), directory)?;
        }
        let served = history.calls.iter().filter(|call| call.is_success());
        Ok(SoakReport {
            seed: self.plan.seed,
            faults: self.plan.faults.len(),
            served: served.count(),
            calls: history.calls.len(),
            violations,
        })
    }

    async fn start(&self) -> Result<FaultInjector, MeshError> {
        let centres = self.plan.centres;
        let per_centre = self.plan.nodes / usize::from(centres);
        let per_centre = u8::try_from(per_centre)
            .map_err(|_| MeshError::invalid("a data centre must not have more than 255 nodes"))?;
        let mesh = LocalMesh::builder()
            .data_centres(centres)
            .nodes(per_centre)
            .backend(server_spec())
            .start()
            .await?;
        let mut injector = FaultInjector::new(mesh, centres);
        injector.publish().await?;
        injector.mesh.wait_version(1, START_TIMEOUT).await?;
        let servers = self.plan.nodes;
        injector
            .mesh
            .wait_backends(SERVICE, servers, START_TIMEOUT)
            .await?;
        Ok(injector)
    }

    /// Sends calls while injecting and removing the plan's faults.
    async fn run_load_with_faults(
        &self,
        injector: &mut FaultInjector,
        addresses: &[SocketAddr],
    ) -> Result<Vec<SoakCall>, MeshError> {
        let started_at = wall_clock();
        let until = started_at.after(self.plan.duration);
        let calls = Rc::new(RefCell::new(Vec::new()));
        let callers = (0..addresses.len() * CALLERS_PER_NODE).map(|caller| {
            let node = caller % addresses.len();
            let receiver = (node, addresses[node]);
            let rng_seed = (self.plan.seed, caller);
            spawn_local(run_caller(receiver, rng_seed, until, Rc::clone(&calls)))
        });
        let callers: Vec<_> = callers.collect();
        for (at, index, is_start) in self.events() {
            let remaining = started_at.after(at).remaining(wall_clock());
            time::sleep(remaining.to_std()).await;
            let fault = self.plan.faults[index].fault;
            if is_start {
                injector.inject(index, fault).await?;
            } else {
                injector.remove(index, fault).await?;
            }
        }
        for ended in join_all(callers).await {
            ended
                .map_err(|error| local_error("soak caller task", &std::io::Error::other(error)))?;
        }
        Ok(calls.take())
    }

    /// Returns the start and end of every fault, ordered by time: the time since the start of the
    /// load, the fault's index in the plan and whether the fault starts.
    fn events(&self) -> Vec<(TimeBudget, usize, bool)> {
        let faults = self.plan.faults.iter().enumerate();
        let mut events: Vec<_> = faults
            .flat_map(|(index, fault)| [(fault.start, index, true), (fault.end, index, false)])
            .collect();
        events.sort_unstable();
        events
    }

    async fn check_recovery(
        &self,
        injector: &mut FaultInjector,
        addresses: &[SocketAddr],
    ) -> Vec<String> {
        let mut violations = Vec::new();
        if let Some(node) = find_unavailable_node(addresses, RECOVERY_TIMEOUT).await {
            violations.push(format!(
                "node {node} does not serve calls {RECOVERY_TIMEOUT} after the last fault"
            ));
        }
        if let Err(error) = check_newest_version(injector).await {
            violations.push(format!(
                "not every node applied the newest version: {error}"
            ));
        }
        violations
    }

    fn copy_logs(&self, from: &Path, directory: &Path) -> Result<(), MeshError> {
        let directory = directory.join(format!("seed-{}", self.plan.seed));
        let path_text = directory.display().to_string();
        let copy = || {
            fs::create_dir_all(&directory)?;
            for entry in fs::read_dir(from)? {
                let entry = entry?;
                if entry.file_type()?.is_file() {
                    fs::copy(entry.path(), directory.join(entry.file_name()))?;
                }
            }
            Ok(())
        };
        copy().map_err(|error: std::io::Error| local_error(&path_text, &error))
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = if self.violations.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        write!(
            f,
            "seed {}: invariants {outcome}, {} faults, {} of {} calls served",
            self.seed, self.faults, self.served, self.calls
        )?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

/// Publishes once more and waits until every node has applied the newest version.
async fn check_newest_version(injector: &mut FaultInjector) -> Result<(), MeshError> {
    injector.publish().await?;
    let mut newest = 0;
    for name in injector.mesh.node_names() {
        let status = injector.mesh.status(&name).await?;
        newest = status.version_number().max(newest);
    }
    injector.mesh.wait_version(newest, RECOVERY_TIMEOUT).await
}

fn caller_addresses(mesh: &LocalMesh) -> Result<Vec<SocketAddr>, MeshError> {
    let names = mesh.node_names();
    let nodes = names.iter().map(|name| mesh.node(name));
    nodes
        .map(|node| node.map(|node| node.addresses().callers))
        .collect()
}

/// Reads the versions that each node process applied from its log.
fn applied_versions(directory: &Path) -> Result<Vec<(String, Vec<u64>)>, MeshError> {
    let path_text = directory.display().to_string();
    let entries = fs::read_dir(directory).map_err(|error| local_error(&path_text, &error))?;
    let mut versions = Vec::new();
    for entry in entries {
        let path = entry
            .map_err(|error| local_error(&path_text, &error))?
            .path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or("");
        if !(name.starts_with("dc") && name.ends_with(".log")) {
            continue;
        }
        let text = fs::read_to_string(&path).map_err(|error| local_error(name, &error))?;
        let applied = text.lines().filter(|line| line.contains("config-applied"));
        let mut numbers = Vec::new();
        for line in applied {
            // A killed process may leave a truncated line.
            let Ok(line) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            let number = line["version"].as_u64().ok_or_else(|| {
                MeshError::new(
                    ErrorKind::Invalid,
                    format!("{name}: {line} has no \"version\" field"),
                )
            })?;
            numbers.push(number);
        }
        versions.push((name.to_owned(), numbers));
    }
    Ok(versions)
}
