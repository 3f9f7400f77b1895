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

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const POLL_TIMEOUT: TimeBudget = TimeBudget::from_secs(2);

/// Reason why a node still has to be polled.
enum PendingNode {
    /// The node has not been polled yet.
    NotPolled,
    /// The node has never responded; holds the last error message.
    Unreachable(CompactString),
    /// The node responded with an earlier version, or with none.
    Behind {
        node: NodeName,
        version: Option<VersionNumber>,
    },
}

impl fmt::Display for PendingNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotPolled => f.write_str("a node was not polled"),
            Self::Unreachable(message) => f.write_str(message),
            Self::Behind {
                node,
                version: None,
            } => write!(f, "node {node} has no version"),
            Self::Behind {
                node,
                version: Some(version),
            } => write!(f, "node {node} has version {version}"),
        }
    }
}

/// Waits until every node at `addresses` has version `number` or a later one in force.
///
/// Shows progress if standard error is a terminal.
///
/// # Errors
///
/// Returns `Invalid` with the reason if a node refused the version, and `DeadlinePassed` with the
/// last known state of each node that did not have the version in force in time.
pub(super) async fn wait_for_version(
    client: &NodeClient,
    addresses: &[NodeAddress],
    number: VersionNumber,
    deadline: ClockInstant,
) -> Result<(), MeshError> {
    let bar = progress_bar(addresses.len(), number);
    let mut pending: BTreeMap<NodeAddress, PendingNode> = addresses
        .iter()
        .map(|address| (*address, PendingNode::NotPolled))
        .collect();
    loop {
        poll_pending(client, &mut pending, number, deadline).await?;
        bar.set_position((addresses.len() - pending.len()) as u64);
        if pending.is_empty() {
            bar.finish_and_clear();
            return Ok(());
        }
        if deadline.has_passed(wall_clock()) {
            bar.abandon();
            return Err(deadline_error(&pending, number));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_pending(
    client: &NodeClient,
    pending: &mut BTreeMap<NodeAddress, PendingNode>,
    number: VersionNumber,
    deadline: ClockInstant,
) -> Result<(), MeshError> {
    let addresses: Vec<_> = pending.keys().copied().collect();
    let poll_deadline = deadline.min(wall_clock().after(POLL_TIMEOUT));
    let results = client.statuses(&addresses, poll_deadline).await;
    for (address, result) in addresses.into_iter().zip(results) {
        match result {
            Ok(status) => record_status(pending, address, &status, number)?,
            Err(error) => record_failure(pending, address, &error),
        }
    }
    Ok(())
}

fn record_status(
    pending: &mut BTreeMap<NodeAddress, PendingNode>,
    address: NodeAddress,
    status: &NodeStatus,
    number: VersionNumber,
) -> Result<(), MeshError> {
    let refusals = status.refused.iter();
    if let Some(refused) = refusals
        .rev()
        .find(|refused| refused.version.number == number)
    {
        return Err(MeshError::invalid(format!(
            "node {} refused version {number}: {}",
            status.node, refused.reason
        )));
    }
    let version = status.version.map(|stamp| stamp.number);
    if version >= Some(number) {
        pending.remove(&address);
    } else {
        let node = status.node.clone();
        pending.insert(address, PendingNode::Behind { node, version });
    }
    Ok(())
}

/// Records a failed poll, unless an earlier version of the node is already known.
fn record_failure(
    pending: &mut BTreeMap<NodeAddress, PendingNode>,
    address: NodeAddress,
    error: &MeshError,
) {
    let state = pending.get(&address);
    if !matches!(state, Some(PendingNode::Behind { .. })) {
        pending.insert(address, PendingNode::Unreachable(error.message().into()));
    }
}

fn deadline_error(
    pending: &BTreeMap<NodeAddress, PendingNode>,
    number: VersionNumber,
) -> MeshError {
    let states: Vec<_> = pending.values().map(ToString::to_string).collect();
    MeshError::new(
        ErrorKind::DeadlinePassed,
        format!(
            "version {number} is accepted and not yet in force everywhere: {}",
            states.join("; ")
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
