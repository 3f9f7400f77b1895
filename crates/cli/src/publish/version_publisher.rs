use bronzelb_kernel::{
    config::{ConfigSnapshot, VersionStamp},
    error::{ErrorKind, MeshError},
    ids::{ContentHash, MeshName},
    spread::{CurrentRow, PublishAttempt, PublishPlan, PublishStep, WriteOutcome},
};
use bronzelb_store::table::{RowKey, RowPrecondition, RowWrite};
use serde::Serialize;

use crate::platform::{PlatformAccess, read_version_row, version_key};

/// Successful outcome of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub(crate) enum PublishReport {
    /// The configuration was accepted as a new version.
    Accepted(VersionStamp),
    /// The newest version already has this content; nothing was written.
    Unchanged(VersionStamp),
}

impl PublishReport {
    /// Returns the version that holds the configuration.
    pub(crate) const fn stamp(self) -> VersionStamp {
        match self {
            Self::Accepted(stamp) | Self::Unchanged(stamp) => stamp,
        }
    }
}

/// Stores a configuration and makes it the newest version by one compare-and-set.
///
/// A lost response is resolved by reading the row back, see [`PublishPlan`].
///
/// # Errors
///
/// Returns `Conflict` if another publisher was first, `PlatformAway` if the deadline passed before
/// the row was written, and `OutcomeUnknown` if it passed afterwards.
pub(crate) async fn publish_snapshot(
    access: &PlatformAccess,
    snapshot: ConfigSnapshot,
    attempt: PublishAttempt,
) -> Result<PublishReport, MeshError> {
    let mesh = snapshot.mesh.clone();
    let current = read_version_row(access, &mesh).await?;
    if let Some(stamp) = unchanged_stamp(current.as_ref(), &snapshot) {
        return Ok(PublishReport::Unchanged(stamp));
    }
    let plan = PublishPlan::new(current.as_ref(), snapshot, attempt)?;
    store_object(access, &plan).await?;
    write_row(access, &mesh, &plan)
        .await
        .map(PublishReport::Accepted)
}

async fn write_row(
    access: &PlatformAccess,
    mesh: &MeshName,
    plan: &PublishPlan,
) -> Result<VersionStamp, MeshError> {
    let key = version_key(mesh)?;
    let mut step = PublishStep::Write;
    loop {
        step = match step {
            PublishStep::Write if access.has_timed_out() => return Err(timeout_error(plan)),
            PublishStep::Write => {
                let outcome = send_write(access, &key, plan).await?;
                if outcome == WriteOutcome::Unknown {
                    access.wait_before_retry().await;
                }
                plan.after_write(&outcome)
            }
            PublishStep::ReadBack => {
                let current = read_version_row(access, mesh)
                    .await
                    .map_err(|_| timeout_error(plan))?;
                plan.after_read(current.as_ref())
            }
            PublishStep::Finished(outcome) => return plan.report(&outcome),
        }
    }
}

async fn send_write(
    access: &PlatformAccess,
    key: &RowKey,
    plan: &PublishPlan,
) -> Result<WriteOutcome, MeshError> {
    let expected = plan.expected_revision();
    let precondition = expected.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
    let write = RowWrite::put(key.clone(), plan.row().to_json()).with_precondition(precondition);
    match access.client.transact(vec![write], access.deadline).await {
        Ok(_) => Ok(WriteOutcome::Written),
        Err(error) => match error.kind() {
            ErrorKind::Conflict => Ok(WriteOutcome::Conflict),
            ErrorKind::PlatformAway => Ok(WriteOutcome::Unknown),
            _ => Err(error),
        },
    }
}

async fn store_object(access: &PlatformAccess, plan: &PublishPlan) -> Result<(), MeshError> {
    let name = &plan.row().object;
    let body = plan.version().body();
    access
        .retry_call(|| {
            access
                .client
                .put_object(name, body.clone(), access.deadline)
        })
        .await
}

fn unchanged_stamp(
    current: Option<&CurrentRow>,
    snapshot: &ConfigSnapshot,
) -> Option<VersionStamp> {
    let stamp = current?.row.stamp();
    (stamp.hash == ContentHash::of(&snapshot.to_bytes())).then_some(stamp)
}

fn timeout_error(plan: &PublishPlan) -> MeshError {
    let number = plan.row().number;
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "the platform did not say in time whether version {number} was accepted; publish the \
             same answers again to find out"
        ),
    )
}
