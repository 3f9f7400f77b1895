use bronzelb_kernel::{
    error::MeshError,
    ids::MeshName,
    spread::{CurrentRow, VersionRow},
};
use bronzelb_platform::table::RowKey;

use crate::platform::PlatformAccess;

/// Returns the key of the row that names a mesh's newest version.
pub(crate) fn version_key(mesh: &MeshName) -> Result<RowKey, MeshError> {
    VersionRow::key(mesh).parse()
}

/// Reads the row that names a mesh's newest version, repeating until time is up.
pub(crate) async fn read_version_row(
    access: &PlatformAccess,
    mesh: &MeshName,
) -> Result<Option<CurrentRow>, MeshError> {
    let key = version_key(mesh)?;
    let row = access
        .repeat(|| access.client.get_row(&key, access.deadline))
        .await?;
    let Some(row) = row else {
        return Ok(None);
    };
    Ok(Some(CurrentRow {
        row: VersionRow::from_json(&row.value)?,
        revision: row.revision.get(),
    }))
}
