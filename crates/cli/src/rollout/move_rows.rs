use bronzelb_kernel::{
    error::MeshError,
    ids::{AttemptToken, MeshName, ServiceName},
    rollout::MoveRecord,
};
use bronzelb_store::table::{RowKey, RowPrecondition, RowRevision, RowWrite};

use crate::platform::PlatformAccess;

const PAGE_ROWS: usize = 100;

/// Row of a service, with the revision that a conditional write must name.
#[derive(Clone, Debug)]
pub(crate) struct MoveRow {
    /// The service's latest move.
    pub(crate) record: MoveRecord,
    /// Revision of the row.
    pub(crate) revision: RowRevision,
}

/// Reads the row of a service's latest move.
pub(crate) async fn read_row(
    access: &PlatformAccess,
    mesh: &MeshName,
    service: &ServiceName,
) -> Result<Option<MoveRow>, MeshError> {
    let key = row_key(mesh, service)?;
    let row = access
        .retry_call(|| access.client.get_row(&key, access.deadline))
        .await?;
    let Some(row) = row else {
        return Ok(None);
    };
    Ok(Some(MoveRow {
        record: MoveRecord::from_row(&row.value)?,
        revision: row.revision,
    }))
}

/// Reads the latest move of every service.
pub(crate) async fn read_rows(
    access: &PlatformAccess,
    mesh: &MeshName,
) -> Result<Vec<MoveRecord>, MeshError> {
    let prefix = format!("{mesh}/move/");
    let mut records = Vec::new();
    let mut after: Option<RowKey> = None;
    loop {
        let client = &access.client;
        let page = access
            .retry_call(|| client.scan_rows(&prefix, after.as_ref(), PAGE_ROWS, access.deadline))
            .await?;
        for row in &page.rows {
            records.push(MoveRecord::from_row(&row.value)?);
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.more || after.is_none() {
            return Ok(records);
        }
    }
}

/// Writes a service's row by compare-and-set; a lost response is resolved by the record's token.
///
/// # Errors
///
/// Returns `Conflict` if another writer was first, and `PlatformAway` if the deadline passed.
pub(crate) async fn write_row(
    access: &PlatformAccess,
    mesh: &MeshName,
    record: &MoveRecord,
    replaced: Option<RowRevision>,
) -> Result<(), MeshError> {
    let precondition = replaced.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
    let write = RowWrite::put(row_key(mesh, &record.service)?, record.to_row())
        .with_precondition(precondition);
    let client = &access.client;
    client
        .transact_with_token(vec![write], record.attempt, access.deadline)
        .await
        .map(|_| ())
}

/// Returns a random token by which this process recognizes its own write.
pub(crate) fn new_attempt_token() -> AttemptToken {
    AttemptToken::new(rand::random())
}

fn row_key(mesh: &MeshName, service: &ServiceName) -> Result<RowKey, MeshError> {
    format!("{mesh}/move/{service}").parse()
}
