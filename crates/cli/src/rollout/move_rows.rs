use bronzelb_kernel::{
    error::MeshError,
    ids::{AttemptToken, MeshName, ServiceName},
    rollout::MoveRecord,
};
use bronzelb_store::table::{RowKey, RowPrecondition, RowRevision, RowWrite};

use crate::platform::PlatformAccess;

const PAGE_ROWS: usize = 100;

/// A service's row, with the revision that a change of it must name.
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
    let key = key_of(mesh, service)?;
    let row = access
        .repeat(|| access.client.get_row(&key, access.deadline))
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
            .repeat(|| client.scan_rows(&prefix, after.as_ref(), PAGE_ROWS, access.deadline))
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

/// Writes a service's row by compare-and-set; a lost answer is resolved by the record's token.
///
/// # Errors
///
/// `Conflict` when another writer was first, `PlatformAway` when time was up.
pub(crate) async fn write_row(
    access: &PlatformAccess,
    mesh: &MeshName,
    record: &MoveRecord,
    replaced: Option<RowRevision>,
) -> Result<(), MeshError> {
    let expect = replaced.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
    let write =
        RowWrite::put(key_of(mesh, &record.service)?, record.to_row()).with_precondition(expect);
    let client = &access.client;
    client
        .transact_with_token(vec![write], record.attempt, access.deadline)
        .await
        .map(|_| ())
}

/// Draws a token by which this process recognises its own write.
pub(crate) fn draw_token() -> AttemptToken {
    AttemptToken::new(rand::random())
}

fn key_of(mesh: &MeshName, service: &ServiceName) -> Result<RowKey, MeshError> {
    format!("{mesh}/move/{service}").parse()
}
