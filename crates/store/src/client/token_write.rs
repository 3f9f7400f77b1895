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
    table::{RowExpect, RowRevision, RowWrite, TableRow},
};

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct AttemptField {
    attempt: AttemptToken,
}

/// Sends a conditional write until its outcome is known or the deadline has passed.
pub(crate) async fn transact(
    client: &PlatformClient,
    writes: Vec<RowWrite>,
    token: AttemptToken,
    deadline: ClockInstant,
) -> Result<RowRevision, MeshError> {
    check_first(&writes, token)?;
    let key = writes[0].key.clone();
    let expect = writes[0].expect;
    let mut may_have_written = false;
    let mut pause = FIRST_PAUSE;
    loop {
        let error = match client.transact(writes.clone(), deadline).await {
            Ok(revision) => return Ok(revision),
            Err(error) => error,
        };
        match error.kind() {
            ErrorKind::Conflict if !may_have_written => return Err(error),
            ErrorKind::Conflict => {}
            ErrorKind::PlatformAway => may_have_written = true,
            _ => return Err(error),
        }
        match client.get_row(&key, deadline).await {
            Ok(Some(row)) if carries_token(&row.value, token) => return Ok(row.revision),
            Ok(row) if !is_unchanged(expect, row.as_ref()) => return Err(replaced(&writes[0])),
            Ok(_) if error.kind() == ErrorKind::Conflict => return Err(undecided(&writes[0])),
            Ok(_) => {}
            Err(read_error) if read_error.kind() == ErrorKind::PlatformAway => {}
            Err(read_error) => return Err(read_error),
        }
        if deadline.has_passed(wall_clock()) {
            return Err(error);
        }
        let left = deadline.remaining(wall_clock()).to_std();
        tokio::time::sleep(pause.min(left)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn check_first(writes: &[RowWrite], token: AttemptToken) -> Result<(), MeshError> {
    let Some(first) = writes.first() else {
        return Err(MeshError::invalid("transaction has no writes"));
    };
    if first.expect == RowExpect::Anything {
        return Err(MeshError::invalid(format!(
            "write of row {} states no expectation",
            first.key
        )));
    }
    let value = first.value.as_deref().unwrap_or_default();
    if carries_token(value, token) {
        return Ok(());
    }
    Err(MeshError::invalid(format!(
        "value of row {} does not carry attempt {token}",
        first.key
    )))
}

fn carries_token(value: &str, token: AttemptToken) -> bool {
    serde_json::from_str::<AttemptField>(value).is_ok_and(|field| field.attempt == token)
}

fn is_unchanged(expect: RowExpect, row: Option<&TableRow>) -> bool {
    expect.is_met_by(row.map(|row| row.revision))
}

fn undecided(write: &RowWrite) -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "answer to the write of row {} was lost, and another row of the transaction has changed",
            write.key
        ),
    )
}

fn replaced(write: &RowWrite) -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        format!(
            "answer to the write of row {} was lost, and another writer has replaced the row",
            write.key
        ),
    )
}
