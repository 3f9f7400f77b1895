use std::{collections::BTreeMap, fs};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
};

use crate::{
    http::{CallRequest, CallerClient},
    mesh::LocalMesh,
    server::{local_error, wall_clock},
};

/// Unit of the CPU times in `/proc/ID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
const BYTES_PER_KIB: f64 = 1_024.0;
/// Index of `utime` among the fields after the process name.
const USER_TICKS_FIELD: usize = 11;
/// Index of `stime` among the fields after the process name.
const SYSTEM_TICKS_FIELD: usize = 12;

/// Cumulative resource usage of the running nodes of a mesh at one instant.
#[derive(Clone, Debug)]
pub(crate) struct MeshUsage {
    at: ClockInstant,
    /// Usage of each running node, by node name and process id.
    nodes: BTreeMap<(String, u32), NodeUsage>,
}

#[derive(Clone, Copy, Debug, Default)]
struct NodeUsage {
    peer_bytes: f64,
    cpu_seconds: f64,
    resident_mb: f64,
}

/// Traffic and CPU usage per second of a node between two readings, and memory at the later one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageRate {
    /// Bytes sent and received, as the mean over the nodes.
    pub(crate) bytes: f64,
    /// Bytes sent and received by the node with the most traffic.
    pub(crate) max_bytes: f64,
    /// Percent of one core, as the mean over the nodes.
    pub(crate) cpu_percent: f64,
    /// Percent of one core of the node with the highest CPU usage.
    pub(crate) max_cpu_percent: f64,
    /// Resident memory of the node with the most, in MB.
    pub(crate) max_resident_mb: f64,
}

impl MeshUsage {
    /// Reads the usage of the running nodes.
    pub(crate) async fn read(mesh: &mut LocalMesh) -> Result<Self, MeshError> {
        let client = CallerClient::new();
        let mut nodes = BTreeMap::new();
        for name in mesh.node_names() {
            if !mesh.node_mut(&name)?.is_running() {
                continue;
            }
            let pid = mesh.node_mut(&name)?.process()?.id();
            let operators = mesh.node(&name)?.addresses().operators;
            let answer = client
                .call(operators, &CallRequest::get("/v1/metrics"))
                .await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let usage = NodeUsage {
                peer_bytes: metric_value(&text, "bronzelb_peer_bytes_sent")
                    + metric_value(&text, "bronzelb_peer_bytes_received"),
                cpu_seconds: cpu_seconds(pid)?,
                resident_mb: resident_mb(pid)?,
            };
            nodes.insert((name, pid), usage);
        }
        Ok(Self {
            at: wall_clock(),
            nodes,
        })
    }

    /// Returns the usage per second since `before`, over the processes that ran at both readings.
    pub(crate) fn rate_since(&self, before: &Self) -> UsageRate {
        let seconds = before.at.elapsed(self.at).as_secs_f64();
        let pairs = || {
            let now = self.nodes.iter();
            now.filter_map(|(key, now)| Some((now, before.nodes.get(key)?)))
        };
        let bytes: Vec<_> = pairs()
            .map(|(now, then)| (now.peer_bytes - then.peer_bytes) / seconds)
            .collect();
        let cpu: Vec<_> = pairs()
            .map(|(now, then)| 100.0 * (now.cpu_seconds - then.cpu_seconds) / seconds)
            .collect();
        let memory = self.nodes.values().map(|node| node.resident_mb);
        UsageRate {
            bytes: mean(&bytes),
            max_bytes: bytes.iter().copied().fold(0.0, f64::max),
            cpu_percent: mean(&cpu),
            max_cpu_percent: cpu.iter().copied().fold(0.0, f64::max),
            max_resident_mb: memory.fold(0.0, f64::max),
        }
    }

    /// Returns the time from `before` to this reading.
    pub(crate) const fn time_since(&self, before: &Self) -> TimeBudget {
        before.at.elapsed(self.at)
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn metric_value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let value = lines.find(|(key, _)| *key == name);
    value.map_or(0.0, |(_, value)| value.parse().unwrap_or(0.0))
}

fn cpu_seconds(pid: u32) -> Result<f64, MeshError> {
    let text = read_proc(pid, "stat")?;
    // The process name, in parentheses, may contain spaces.
    let fields: Vec<_> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        let field = fields.get(index).copied().unwrap_or_default();
        field.parse::<f64>().unwrap_or(0.0)
    };
    Ok((ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)) / CLOCK_TICKS_PER_SECOND)
}

fn resident_mb(pid: u32) -> Result<f64, MeshError> {
    let text = read_proc(pid, "status")?;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = value.map_or(0.0, |value| value.parse().unwrap_or(0.0));
    Ok(kib * BYTES_PER_KIB / BYTES_PER_MB)
}

fn read_proc(pid: u32, file: &str) -> Result<String, MeshError> {
    let path = format!("/proc/{pid}/{file}");
    fs::read_to_string(&path).map_err(|error| local_error(&path, &error))
}
