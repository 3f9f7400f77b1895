use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    spread::{SnapshotReply, VersionRow},
};
use bronzelb_store::{PlatformClient, PlatformTarget, table::RowKey};

use crate::node::NodeState;

const READ_TIMEOUT: TimeBudget = TimeBudget::from_secs(5);

/// Creates the node's platform client.
///
/// # Errors
///
/// `NotFound` for an unknown kind and `Invalid` for an address that the kind does not accept.
pub fn connect_platform(state: &NodeState) -> Result<PlatformClient, MeshError> {
    let settings = &state.settings;
    let target = PlatformTarget::new(settings.platform.address.to_string())
        .with_local_address(settings.peers.listen.ip());
    PlatformClient::connect_with_eras(
        &settings.platform.kind,
        &target,
        state.platform_eras.clone(),
    )
}

/// Reads the mesh's latest published version row from the platform.
///
/// # Errors
///
/// [`ErrorKind::PlatformAway`] when the platform does not answer, and [`ErrorKind::Invalid`] for a
/// malformed row.
pub async fn read_version_row(
    state: &NodeState,
    platform: Option<&PlatformClient>,
) -> Result<Option<VersionRow>, MeshError> {
    let platform = platform.ok_or_else(platform_unavailable)?;
    let key: RowKey = VersionRow::key(&state.settings.mesh).parse()?;
    let deadline = state.now().after(READ_TIMEOUT);
    let row = platform.get_row(&key, deadline).await?;
    row.map(|row| VersionRow::from_json(&row.value)).transpose()
}

/// Reads a version's content from the platform's object store.
///
/// # Errors
///
/// [`ErrorKind::PlatformAway`] when the platform does not answer by `deadline`.
pub async fn read_object(
    platform: Option<&PlatformClient>,
    object: &str,
    deadline: ClockInstant,
) -> Result<SnapshotReply, MeshError> {
    let platform = platform.ok_or_else(platform_unavailable)?;
    let body = platform.get_object(object, deadline).await?;
    Ok(body.map_or(SnapshotReply::Missing, SnapshotReply::Whole))
}

pub(super) fn platform_unavailable() -> MeshError {
    MeshError::new(
        ErrorKind::PlatformAway,
        "no platform client could be created from the settings",
    )
}
