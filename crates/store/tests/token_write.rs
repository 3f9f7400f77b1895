//! Conditional writes with an attempt token, against a platform with scripted responses.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    ids::AttemptToken,
};
use bronzelb_store::{
    PlatformClient,
    client::PlatformCalls,
    table::{RowKey, RowPrecondition, RowRevision, RowWrite, TableRow},
};

const OWN_TOKEN: u128 = 8;
const OTHER_TOKEN: u128 = 9;
const DEADLINE: ClockInstant = ClockInstant::NEVER;

/// Responses of the platform, returned in order.
#[derive(Default)]
struct ScriptedResponses {
    transacts: VecDeque<Result<RowRevision, MeshError>>,
    reads: VecDeque<Result<Option<TableRow>, MeshError>>,
}

fn client(
    transacts: impl IntoIterator<Item = Result<RowRevision, MeshError>>,
    reads: impl IntoIterator<Item = Result<Option<TableRow>, MeshError>>,
) -> PlatformClient {
    let script = Rc::new(RefCell::new(ScriptedResponses {
        transacts: transacts.into_iter().collect(),
        reads: reads.into_iter().collect(),
    }));
    let reader = Rc::clone(&script);
    PlatformClient::from_calls(PlatformCalls {
        get_row: Box::new(move |_, _| {
            let response = reader.borrow_mut().reads.pop_front();
            Box::pin(async move { response.expect("a read is in the script") })
        }),
        scan_rows: Box::new(|_, _, _, _| unreachable!("nothing is scanned")),
        transact: Box::new(move |_, _| {
            let response = script.borrow_mut().transacts.pop_front();
            Box::pin(async move { response.expect("a transaction is in the script") })
        }),
        put_object: Box::new(|_, _, _| unreachable!("nothing is stored")),
        get_object: Box::new(|_, _| unreachable!("no object is read")),
        operators: None,
    })
}

fn key() -> RowKey {
    "m/version".parse().expect("the key is valid")
}

fn value(token: u128) -> String {
    format!(r#"{{"attempt":{token}}}"#)
}

fn row(token: u128) -> Result<Option<TableRow>, MeshError> {
    Ok(Some(TableRow {
        key: key(),
        value: value(token),
        revision: RowRevision::new(4),
    }))
}

fn unavailable<T>() -> Result<T, MeshError> {
    Err(MeshError::new(
        ErrorKind::PlatformAway,
        "no response before the deadline",
    ))
}

fn conflict() -> Result<RowRevision, MeshError> {
    Err(MeshError::new(
        ErrorKind::Conflict,
        "row m/version is at revision 4",
    ))
}

async fn write(client: &PlatformClient) -> Result<RowRevision, ErrorKind> {
    let write = RowWrite::put(key(), value(OWN_TOKEN)).with_precondition(RowPrecondition::Absent);
    let token = AttemptToken::new(OWN_TOKEN);
    let result = client
        .transact_with_token(vec![write], token, DEADLINE)
        .await;
    result.map_err(|error| error.kind())
}

#[tokio::test]
async fn own_token_in_the_row_means_written() {
    let client = client([unavailable()], [row(OWN_TOKEN)]);
    assert_eq!(write(&client).await, Ok(RowRevision::new(4)));
}

#[tokio::test]
async fn unchanged_row_is_written_again() {
    let client = client([unavailable(), Ok(RowRevision::new(6))], [Ok(None)]);
    assert_eq!(write(&client).await, Ok(RowRevision::new(6)));
}

#[tokio::test]
async fn conflict_with_own_late_write_means_written() {
    let client = client([unavailable(), conflict()], [Ok(None), row(OWN_TOKEN)]);
    assert_eq!(write(&client).await, Ok(RowRevision::new(4)));
}

#[tokio::test]
async fn conflict_on_first_attempt_means_not_written() {
    let client = client([conflict()], []);
    assert_eq!(write(&client).await, Err(ErrorKind::Conflict));
}

#[tokio::test]
async fn row_replaced_after_lost_response_is_outcome_unknown() {
    for reads in [
        vec![row(OTHER_TOKEN)],
        vec![unavailable(), row(OTHER_TOKEN)],
    ] {
        let client = client([unavailable(), conflict()], reads);
        assert_eq!(write(&client).await, Err(ErrorKind::OutcomeUnknown));
    }
}

#[tokio::test]
async fn other_row_changed_after_lost_response_is_outcome_unknown() {
    let client = client([unavailable(), conflict()], [Ok(None), Ok(None)]);
    assert_eq!(write(&client).await, Err(ErrorKind::OutcomeUnknown));
}

#[tokio::test]
async fn write_without_precondition_or_token_is_rejected() {
    let client = client([], []);
    let token = AttemptToken::new(OWN_TOKEN);
    let writes = [
        RowWrite::put(key(), value(OWN_TOKEN)),
        RowWrite::put(key(), value(OTHER_TOKEN)).with_precondition(RowPrecondition::Absent),
        RowWrite::delete(key()).with_precondition(RowPrecondition::Revision(RowRevision::new(4))),
    ];
    for write in writes {
        let result = client
            .transact_with_token(vec![write], token, DEADLINE)
            .await;
        assert_eq!(result.unwrap_err().kind(), ErrorKind::Invalid);
    }
}
