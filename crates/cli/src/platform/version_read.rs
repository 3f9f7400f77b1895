use bronzelb_kernel::{
    config::{ConfigSnapshot, ConfigVersion},
    error::{ErrorKind, MeshError},
    ids::MeshName,
    spread::{CurrentRow, VersionRow},
};
use bronzelb_store::table::RowKey;

use crate::platform::PlatformAccess;

/// Returns the key of the row for a mesh's newest version.
pub(crate) fn version_key(mesh: &MeshName) -> Result<RowKey, MeshError> {
    VersionRow::key(mesh).parse()
}

/// Reads the row for a mesh's newest version, with retries until the deadline.
pub(crate) async fn read_version_row(
    access: &PlatformAccess,
    mesh: &MeshName,
) -> Result<Option<CurrentRow>, MeshError> {
    let key = version_key(mesh)?;
    let row = access
        .retry_call(|| access.client.get_row(&key, access.deadline))
        .await?;
    let Some(row) = row else {
        return Ok(None);
    };
    Ok(Some(CurrentRow {
        row: VersionRow::from_json(&row.value)?,
        revision: row.revision,
    }))
}

/// Reads the configuration of a mesh's newest version, with retries until the deadline.
pub(crate) async fn read_accepted_snapshot(
    access: &PlatformAccess,
    mesh: &MeshName,
) -> Result<ConfigSnapshot, MeshError> {
    let current = read_version_row(access, mesh).await?;
    let row = match current {
        Some(current) => current.row,
        None => return Err(not_found(format!("mesh {mesh} has no accepted version"))),
    };
    let body = access
        .retry_call(|| access.client.get_object(&row.object, access.deadline))
        .await?;
    let body = body.ok_or_else(|| {
        let number = row.number;
        not_found(format!(
            "object {:?} of version {number} does not exist",
            row.object
        ))
    })?;
    let version = ConfigVersion::from_bytes(row.stamp(), body)?;
    Ok(ConfigSnapshot::clone(version.snapshot()))
}

fn not_found(message: String) -> MeshError {
    MeshError::new(ErrorKind::NotFound, message)
}
