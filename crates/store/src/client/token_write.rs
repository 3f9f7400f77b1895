use std::time::Duration;

use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    ids::AttemptToken,
};
use serde::Deserialize;

use crate::{
    client::PlatformClient,
    http::wall_clock,
    table::{RowPrecondition, RowRevision, RowWrite, TableRow},
};

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct AttemptField {
    attempt: AttemptToken,
}

/// Retries a conditional write until its outcome is known or the deadline has passed.
pub(crate) async fn transact(
    client: &PlatformClient,
    writes: Vec<RowWrite>,
    token: AttemptToken,
    deadline: ClockInstant,
) -> Result<RowRevision, MeshError> {
    check_first_write(&writes, token)?;
    let key = writes[0].key.clone();
    let precondition = writes[0].precondition;
    let mut write_may_have_applied = false;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let error = match client.transact(writes.clone(), deadline).await {
            Ok(revision) => return Ok(revision),
            Err(error) => error,
        };
        match error.kind() {
            ErrorKind::Conflict if !write_may_have_applied => return Err(error),
            ErrorKind::Conflict => {}
            ErrorKind::PlatformAway => write_may_have_applied = true,
            _ => return Err(error),
        }
        match client.get_row(&key, deadline).await {
            Ok(Some(row)) if has_token(&row.value, token) => return Ok(row.revision),
            Ok(row) if !meets_precondition(precondition, row.as_ref()) => {
                return Err(row_replaced_error(&writes[0]));
            }
            Ok(_) if error.kind() == ErrorKind::Conflict => {
                return Err(other_row_changed_error(&writes[0]));
            }
            Ok(_) => {}
            Err(read_error) if read_error.kind() == ErrorKind::PlatformAway => {}
            Err(read_error) => return Err(read_error),
        }
        if deadline.has_passed(wall_clock()) {
            return Err(error);
        }
        let remaining = deadline.remaining(wall_clock()).to_std();
        tokio::time::sleep(backoff.min(remaining)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

fn check_first_write(writes: &[RowWrite], token: AttemptToken) -> Result<(), MeshError> {
    let Some(first) = writes.first() else {
        return Err(MeshError::invalid("transaction has no writes"));
    };
    if first.precondition == RowPrecondition::Any {
        return Err(MeshError::invalid(format!(
            "write of row {} has no precondition",
            first.key
        )));
    }
    let value = first.value.as_deref().unwrap_or_default();
    if has_token(value, token) {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "value of row {} does not contain attempt token {token}",
        first.key
    )))
}

fn has_token(value: &str, token: AttemptToken) -> bool {
    serde_json::from_str::<AttemptField>(value).is_ok_and(|field| field.attempt == token)
}

fn meets_precondition(precondition: RowPrecondition, row: Option<&TableRow>) -> bool {
    precondition.is_met_by(row.map(|row| row.revision))
}

fn other_row_changed_error(write: &RowWrite) -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "response to the write of row {} was lost, and another row of the transaction has changed",
            write.key
        ),
    )
}

fn row_replaced_error(write: &RowWrite) -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "response to the write of row {} was lost, and another writer has replaced the row",
            write.key
        ),
    )
}
