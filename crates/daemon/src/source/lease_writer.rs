use std::net::SocketAddr;

use bronzelb_kernel::{clock::TimeBudget, error::MeshError, member::LeaseRow};
use bronzelb_store::{
    PlatformClient,
    table::{RowKey, RowWrite, ScanPage},
};
use slog::warn;

use crate::{log::EventName, node::NodeState, source::source_reader::platform_unavailable};

const CALL_TIMEOUT: TimeBudget = TimeBudget::from_secs(5);
const MAX_SEED_ROWS: usize = 16;

/// Writes this node's lease row to the platform.
///
/// # Errors
///
/// `PlatformAway` when the platform does not answer; the row may have been written.
pub async fn write_lease(
    state: &NodeState,
    platform: Option<&PlatformClient>,
    row: &LeaseRow,
) -> Result<(), MeshError> {
    let platform = platform.ok_or_else(platform_unavailable)?;
    let key: RowKey = LeaseRow::key(&state.settings.mesh, &state.settings.node).parse()?;
    let write = RowWrite::put(key, row.to_json());
    let deadline = state.now().after(CALL_TIMEOUT);
    platform.transact(vec![write], deadline).await?;
    Ok(())
}

/// Logs the rows that could not be read.
pub(crate) fn log_refused(state: &NodeState, page: &ScanPage) {
    for message in &page.refused {
        state.count("row_refused");
        if state.should_log(EventName::RecordRefused) {
            warn!(state.logger, "{}", EventName::RecordRefused; "message" => message.as_str());
        }
    }
}

/// Reads the addresses of a few nodes whose leases have not expired.
///
/// The scan starts after this node's own name, so that nodes that search at the same time do not
/// all find the same peers.
///
/// # Errors
///
/// `PlatformAway` when the platform does not answer.
pub async fn find_seeds(
    state: &NodeState,
    platform: Option<&PlatformClient>,
) -> Result<Vec<SocketAddr>, MeshError> {
    let platform = platform.ok_or_else(platform_unavailable)?;
    let mesh = &state.settings.mesh;
    let own: RowKey = LeaseRow::key(mesh, &state.settings.node).parse()?;
    let prefix = LeaseRow::prefix(mesh);
    let mut rows = Vec::new();
    for after in [Some(&own), None] {
        let deadline = state.now().after(CALL_TIMEOUT);
        let page = platform
            .scan_rows(&prefix, after, MAX_SEED_ROWS, deadline)
            .await?;
        log_refused(state, &page);
        rows.extend(page.rows);
        if rows.len() >= MAX_SEED_ROWS {
            break;
        }
    }
    let now = state.now();
    let rows = rows.iter().filter(|row| row.key != own);
    Ok(rows
        .filter_map(|row| LeaseRow::from_json(&row.value).ok())
        .filter(|row| !row.lease_deadline.has_passed(now))
        .map(|row| row.peer_address)
        .collect())
}
