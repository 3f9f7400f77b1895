use std::time::Duration;

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
};

use crate::server::wall_clock;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds.
///
/// # Errors
///
/// `LocalIo`, with `what` in its message, when the condition does not hold within `limit`.
pub async fn wait_until(
    what: &str,
    limit: TimeBudget,
    condition: impl AsyncFn() -> bool,
) -> Result<(), MeshError> {
    let deadline = wall_clock().after(limit);
    while !condition().await {
        if deadline.has_passed(wall_clock()) {
            return Err(MeshError::new(
                ErrorKind::LocalIo,
                format!("timed out after {limit}: {what}"),
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
