use std::{collections::BTreeMap, fmt, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::{NodeName, VersionNumber},
    status::NodeStatus,
};
use compact_str::CompactString;
use indicatif::{ProgressBar, ProgressStyle};

use crate::{
    nodes::{NodeAddress, NodeClient},
    platform::wall_clock,
};

const ASK_INTERVAL: Duration = Duration::from_millis(100);
const ASK_BUDGET: TimeBudget = TimeBudget::from_secs(2);

/// Why a node does not count yet.
enum NodeLag {
    /// It was not asked in time.
    NotAsked,
    /// It never answered, and why.
    Silent(CompactString),
    /// It answered with an earlier version, or none.
    Behind {
        node: NodeName,
        held: Option<VersionNumber>,
    },
}

impl fmt::Display for NodeLag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAsked => f.write_str("a node was not asked"),
            Self::Silent(message) => f.write_str(message),
            Self::Behind { node, held: None } => write!(f, "node {node} has no version"),
            Self::Behind {
                node,
                held: Some(held),
            } => write!(f, "node {node} has version {held}"),
        }
    }
}

/// Waits until every node at `addresses` has version `number` or a later one in force.
///
/// Shows progress on a terminal and nothing in a pipe.
///
/// # Errors
///
/// `Invalid` when a node refused the version, with its reason. `DeadlinePassed` names the nodes
/// that were not there in time, and what they said last.
pub(super) async fn wait_for_version(
    client: &NodeClient,
    addresses: &[NodeAddress],
    number: VersionNumber,
    deadline: ClockInstant,
) -> Result<(), MeshError> {
    let bar = progress_bar(addresses.len(), number);
    let mut pending: BTreeMap<NodeAddress, NodeLag> = addresses
        .iter()
        .map(|address| (*address, NodeLag::NotAsked))
        .collect();
    loop {
        ask_pending(client, &mut pending, number, deadline).await?;
        bar.set_position((addresses.len() - pending.len()) as u64);
        if pending.is_empty() {
            bar.finish_and_clear();
            return Ok(());
        }
        if deadline.has_passed(wall_clock()) {
            bar.abandon();
            return Err(too_late(&pending, number));
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

async fn ask_pending(
    client: &NodeClient,
    pending: &mut BTreeMap<NodeAddress, NodeLag>,
    number: VersionNumber,
    deadline: ClockInstant,
) -> Result<(), MeshError> {
    let addresses: Vec<_> = pending.keys().copied().collect();
    let limit = deadline.min(wall_clock().after(ASK_BUDGET));
    let answers = client.statuses(&addresses, limit).await;
    for (address, answer) in addresses.into_iter().zip(answers) {
        match answer {
            Ok(status) => note_answer(pending, address, &status, number)?,
            Err(error) => note_silence(pending, address, &error),
        }
    }
    Ok(())
}

fn note_answer(
    pending: &mut BTreeMap<NodeAddress, NodeLag>,
    address: NodeAddress,
    status: &NodeStatus,
    number: VersionNumber,
) -> Result<(), MeshError> {
    let refused = status.refused.iter();
    if let Some(refused) = refused
        .rev()
        .find(|refused| refused.version.number == number)
    {
        return Err(MeshError::invalid(format!(
            "node {} refused version {number}: {}",
            status.node, refused.reason
        )));
    }
    let held = status.version.map(|stamp| stamp.number);
    if held >= Some(number) {
        pending.remove(&address);
    } else {
        let node = status.node.clone();
        pending.insert(address, NodeLag::Behind { node, held });
    }
    Ok(())
}

/// Keeps what a node said last when it falls silent.
fn note_silence(
    pending: &mut BTreeMap<NodeAddress, NodeLag>,
    address: NodeAddress,
    error: &MeshError,
) {
    let lag = pending.get(&address);
    if !matches!(lag, Some(NodeLag::Behind { .. })) {
        pending.insert(address, NodeLag::Silent(error.message().into()));
    }
}

fn too_late(pending: &BTreeMap<NodeAddress, NodeLag>, number: VersionNumber) -> MeshError {
    let lags: Vec<_> = pending.values().map(ToString::to_string).collect();
    MeshError::new(
        ErrorKind::DeadlinePassed,
        format!(
            "version {number} is accepted and not yet in force everywhere: {}",
            lags.join("; ")
        ),
    )
}

fn progress_bar(count: usize, number: VersionNumber) -> ProgressBar {
    let style = ProgressStyle::with_template("{spinner} {msg} {pos}/{len} {elapsed}")
        .expect("the template is valid");
    ProgressBar::new(count as u64)
        .with_style(style)
        .with_message(format!("nodes with version {number}"))
}
