use bronzelb_kernel::{
    burn::{BurnReport, NodeBurn},
    clock::ClockInstant,
    error::MeshError,
};
use compact_str::{CompactString, format_compact};
use futures::future::join_all;

use crate::{
    nodes::{NodeAddress, NodeClient},
    platform::wall_clock,
    status::MeshStatus,
};

/// Requests the counts of the nodes and merges them into one report.
pub(crate) async fn collect_report(
    client: &NodeClient,
    addresses: &[NodeAddress],
    deadline: ClockInstant,
) -> BurnReport {
    let requests = addresses
        .iter()
        .map(|address| client.get(*address, "/v1/burn", deadline));
    let responses: Vec<Result<NodeBurn, MeshError>> = join_all(requests).await;
    let statuses = client.statuses(addresses, deadline).await;
    let mut not_heard = list_missing(&MeshStatus::new(addresses, statuses));
    let mut nodes: Vec<NodeBurn> = Vec::new();
    for response in responses {
        match response {
            // A node whose address is given twice is counted once.
            Ok(burn) if nodes.iter().any(|counted| counted.node == burn.node) => {}
            Ok(burn) => nodes.push(burn),
            Err(error) if not_heard.iter().any(|reason| reason == error.message()) => {}
            Err(error) => not_heard.push(error.message().into()),
        }
    }
    BurnReport::from_nodes(&nodes, not_heard, wall_clock())
}

/// Lists the sources of missing counts: nodes that failed to respond, and the number of other
/// serving nodes for each data centre.
fn list_missing(status: &MeshStatus) -> Vec<CompactString> {
    let mut reasons = status.not_heard.clone();
    for (centre, summary) in &status.data_centres {
        if summary.not_heard > 0 {
            reasons.push(format_compact!(
                "{} serving nodes of data centre {centre}",
                summary.not_heard
            ));
        }
    }
    reasons
}
