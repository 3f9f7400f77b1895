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

/// Asks the nodes for their counts and puts them together.
pub(crate) async fn gather(
    client: &NodeClient,
    addresses: &[NodeAddress],
    deadline: ClockInstant,
) -> BurnReport {
    let asked = addresses
        .iter()
        .map(|address| client.get(*address, "/v1/burn", deadline));
    let answers: Vec<Result<NodeBurn, MeshError>> = join_all(asked).await;
    let statuses = client.statuses(addresses, deadline).await;
    let mut not_heard = unheard(&MeshStatus::new(addresses, statuses));
    let mut nodes: Vec<NodeBurn> = Vec::new();
    for answer in answers {
        match answer {
            // An address given twice must not count twice.
            Ok(burn) if nodes.iter().any(|held| held.node == burn.node) => {}
            Ok(burn) => nodes.push(burn),
            Err(error) if not_heard.iter().any(|held| held == error.message()) => {}
            Err(error) => not_heard.push(error.message().into()),
        }
    }
    BurnReport::from_nodes(&nodes, not_heard, wall_clock())
}

/// Returns whose counts are missing: single nodes, and serving ones by data centre.
fn unheard(status: &MeshStatus) -> Vec<CompactString> {
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
