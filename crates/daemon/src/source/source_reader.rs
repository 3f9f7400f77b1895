use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    spread::{SnapshotReply, VersionRow},
};
use bronzelb_store::{PlatformClient, PlatformTarget, table::RowKey};

use crate::node::NodeState;

const READ_BUDGET: TimeBudget = TimeBudget::from_secs(5);

/// Builds the node's client of the platform.
///
/// # Errors
///
/// `NotFound` for an unknown kind and `Invalid` for an address that the kind does not take.
pub fn connect_platform(state: &NodeState) -> Result<PlatformClient, MeshError> {
    let settings = &state.settings;
    let target = PlatformTarget::new(settings.platform.address.to_string())
        .with_local_address(settings.peers.listen.ip());
    PlatformClient::connect(&settings.platform.kind, &target)
}

/// Reads the mesh's newest accepted version from the platform.
///
/// # Errors
///
/// [`ErrorKind::PlatformAway`] when the platform does not answer, and [`ErrorKind::Invalid`] for a
/// malformed row.
pub async fn read_version_row(
    state: &NodeState,
    platform: Option<&PlatformClient>,
) -> Result<Option<VersionRow>, MeshError> {
    let platform = platform.ok_or_else(no_platform)?;
    let key: RowKey = VersionRow::key(&state.settings.mesh).parse()?;
    let deadline = state.now().after(READ_BUDGET);
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
    let platform = platform.ok_or_else(no_platform)?;
    let body = platform.get_object(object, deadline).await?;
    Ok(body.map_or(SnapshotReply::Missing, SnapshotReply::Whole))
}

pub(super) fn no_platform() -> MeshError {
    MeshError::new(
        ErrorKind::PlatformAway,
        "the platform's settings are not usable",
    )
}
