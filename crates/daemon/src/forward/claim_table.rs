use std::{sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError, RunState},
    ids::{
        AttemptToken, BackendName, BuildVersion, ContentHash, IdempotencyKey, IncarnationNumber,
        NodeName,
    },
    member::StatedLimit,
    request::{ClaimOutcome, ClaimRow, ClaimStatus, MAX_CLAIM_BODY_BYTES, ServerLoad},
};
use bronzelb_store::{
    PlatformClient,
    table::{RowKey, RowPrecondition, RowRevision, RowWrite, TableRow},
};
use bronzelb_wire::peer::{ForwardResponse, HttpHeader};
use bytes::Bytes;
use tokio::time;

use crate::{
    forward::{RoutedRequest, keyed_request::already_done, request_state::SharedResult},
    node::{NodeState, PlatformHealth},
    source::connect_platform,
};

/// Timeout of a claim while the platform is reachable.
const CLAIM_TIMEOUT: TimeBudget = TimeBudget::from_millis(1_000);
/// Timeout of a claim while the platform is known to be unreachable.
const UNREACHABLE_CLAIM_TIMEOUT: TimeBudget = TimeBudget::from_millis(150);
const PLATFORM_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(1);
const SETTLE_TIMEOUT: TimeBudget = TimeBudget::from_secs(2);
const SETTLE_ATTEMPTS: u32 = 8;
const SETTLE_RETRY_DELAY: Duration = Duration::from_secs(2);
const REPLAYED: &str = "replayed";

/// Claims caller-chosen idempotency keys in the platform's table.
#[derive(Clone)]
pub(crate) struct ClaimTable {
    state: Arc<NodeState>,
    platform: Option<PlatformClient>,
}

/// Result of an attempt to claim an idempotency key.
pub(crate) enum ClaimResult {
    /// The key is claimed for this request, which may run.
    Acquired(HeldClaim),
    /// A request with this key has already completed.
    Completed(SharedResult),
    /// The given node and incarnation hold the key.
    HeldByNode(NodeName, IncarnationNumber),
    /// A request with this key may have run.
    Unknown,
    /// The table is unavailable, or the key belongs to another request.
    Rejected(MeshError),
}

/// A claim held by this node.
pub(crate) struct HeldClaim {
    key: RowKey,
    row: ClaimRow,
    revision: RowRevision,
}

/// Update to a claim's row after its request has ended.
pub(crate) enum ClaimSettlement {
    /// Deletes the row because the request did not run.
    Release,
    /// Stores the outcome in the row.
    Record(ClaimOutcome),
}

impl ClaimTable {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        let platform = connect_platform(&state).ok();
        Self { state, platform }
    }

    /// Inserts a claim row for `key` unless one exists.
    ///
    /// `is_known_not_run` means that this incarnation of the node knows that no request with the
    /// key has run. It may then reclaim a row that it inserted earlier.
    pub(crate) async fn claim(
        &self,
        request: &RoutedRequest,
        key: &IdempotencyKey,
        is_known_not_run: bool,
    ) -> ClaimResult {
        let now = self.state.now();
        let timeout = match self.state.platform_health() {
            PlatformHealth::Reachable => CLAIM_TIMEOUT,
            PlatformHealth::Unreachable => UNREACHABLE_CLAIM_TIMEOUT,
        };
        let deadline = request.deadline.min(now.after(timeout));
        let row = ClaimRow {
            attempt: AttemptToken::new(rand::random()),
            node: self.state.settings.node.clone(),
            incarnation: self.state.incarnation(),
            fingerprint: request.message.fingerprint,
            start_by: request.deadline,
            outcome: None,
        };
        match time::timeout(
            deadline.remaining(now).to_std(),
            self.insert(key, row, is_known_not_run, deadline),
        )
        .await
        {
            Ok(Ok(result)) => result,
            Ok(Err(error)) if error.kind() != ErrorKind::PlatformAway => {
                ClaimResult::Rejected(error)
            }
            _ => ClaimResult::Rejected(self.platform_away()),
        }
    }

    async fn insert(
        &self,
        key: &IdempotencyKey,
        row: ClaimRow,
        is_known_not_run: bool,
        deadline: ClockInstant,
    ) -> Result<ClaimResult, MeshError> {
        let platform = self.platform()?;
        let key: RowKey = format!("{}/claim/{key}", self.state.settings.mesh).parse()?;
        let error = match self
            .write(&key, &row, RowPrecondition::Absent, deadline)
            .await
        {
            Ok(revision) => return Ok(ClaimResult::Acquired(HeldClaim { key, row, revision })),
            Err(error) => error,
        };
        if !is_possible_conflict(&error) {
            return Err(error);
        }
        let Some(stored) = platform.get_row(&key, deadline).await? else {
            // The holder released the key between the write and the read; the caller may retry.
            return Err(self.platform_away());
        };
        let existing: ClaimRow = serde_json::from_str(&stored.value)
            .map_err(|error| MeshError::invalid(format!("claim row {key}: {error}")))?;
        let is_same_incarnation =
            existing.node == row.node && existing.incarnation == row.incarnation;
        let is_same_request = existing.fingerprint == row.fingerprint;
        if is_known_not_run && is_same_incarnation && is_same_request && existing.outcome.is_none()
        {
            return self.reclaim_row(key, row, &stored, deadline).await;
        }
        Ok(result_of_row(&existing, row.fingerprint))
    }

    /// Rewrites this node's own row with a new token.
    ///
    /// The new revision makes a delayed release of the earlier claim fail its precondition.
    async fn reclaim_row(
        &self,
        key: RowKey,
        row: ClaimRow,
        stored: &TableRow,
        deadline: ClockInstant,
    ) -> Result<ClaimResult, MeshError> {
        let precondition = RowPrecondition::Revision(stored.revision);
        match self.write(&key, &row, precondition, deadline).await {
            Ok(revision) => Ok(ClaimResult::Acquired(HeldClaim { key, row, revision })),
            Err(error) if is_possible_conflict(&error) => Err(self.platform_away()),
            Err(error) => Err(error),
        }
    }

    async fn write(
        &self,
        key: &RowKey,
        row: &ClaimRow,
        precondition: RowPrecondition,
        deadline: ClockInstant,
    ) -> Result<RowRevision, MeshError> {
        let write = RowWrite::put(key.clone(), encode(row)).with_precondition(precondition);
        self.platform()?
            .transact_with_token(vec![write], row.attempt, deadline)
            .await
    }

    /// Writes the outcome of a claimed request to its row, and retries failed writes.
    pub(crate) async fn settle(self, claim: HeldClaim, settlement: ClaimSettlement) {
        let HeldClaim {
            key,
            mut row,
            revision,
        } = claim;
        let write = match settlement {
            ClaimSettlement::Release => RowWrite::delete(key),
            ClaimSettlement::Record(outcome) => {
                row.outcome = Some(outcome);
                RowWrite::put(key, encode(&row))
            }
        };
        let write = write.with_precondition(RowPrecondition::Revision(revision));
        for _ in 0..SETTLE_ATTEMPTS {
            let deadline = self.state.now().after(SETTLE_TIMEOUT);
            let Ok(platform) = self.platform() else {
                return;
            };
            let written = platform.transact(vec![write.clone()], deadline).await;
            match written {
                // An earlier write succeeded although its response was lost, or the row has been
                // reclaimed since.
                Err(error) if error.kind() == ErrorKind::Conflict => return,
                Ok(_) => return,
                Err(_) => time::sleep(SETTLE_RETRY_DELAY).await,
            }
        }
    }

    fn platform(&self) -> Result<&PlatformClient, MeshError> {
        self.platform.as_ref().ok_or_else(|| self.platform_away())
    }

    fn platform_away(&self) -> MeshError {
        MeshError::new(
            ErrorKind::PlatformAway,
            "the platform table of idempotency keys is unavailable",
        )
        .with_retry_at(self.state.now().after(PLATFORM_RETRY_DELAY))
    }
}

impl ClaimSettlement {
    /// Returns the settlement for a request that ended with `result`.
    pub(crate) fn of(result: &SharedResult) -> Self {
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                return match error.kind().response().run_state {
                    RunState::NotRun => Self::Release,
                    _ => Self::Record(ClaimOutcome::Unknown),
                };
            }
        };
        let body = std::str::from_utf8(&response.body).ok();
        let content_type = response
            .headers
            .iter()
            .find(|pair| pair.name == "content-type")
            .and_then(|pair| std::str::from_utf8(&pair.value).ok());
        Self::Record(ClaimOutcome::Answered {
            status: response.status,
            content_type: content_type.map(Into::into),
            body: body
                .filter(|body| body.len() <= MAX_CLAIM_BODY_BYTES)
                .map(str::to_owned),
        })
    }
}

/// Returns whether the row may already exist or may have changed: after an unknown outcome, the
/// write itself may have succeeded.
fn is_possible_conflict(error: &MeshError) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Conflict | ErrorKind::OutcomeUnknown
    )
}

fn result_of_row(existing: &ClaimRow, fingerprint: ContentHash) -> ClaimResult {
    match existing.status_for(fingerprint) {
        ClaimStatus::Mismatch => ClaimResult::Rejected(MeshError::new(
            ErrorKind::Conflict,
            "the idempotency key belongs to another request",
        )),
        ClaimStatus::Ended(outcome) => result_of_outcome(outcome),
        ClaimStatus::HeldBy(node, incarnation) => ClaimResult::HeldByNode(node, incarnation),
    }
}

fn result_of_outcome(outcome: ClaimOutcome) -> ClaimResult {
    let ClaimOutcome::Answered {
        status,
        content_type,
        body,
    } = outcome
    else {
        return ClaimResult::Unknown;
    };
    let Some(body) = body else {
        return ClaimResult::Completed(Err(already_done()));
    };
    let headers = content_type.map(|value| HttpHeader {
        name: "content-type".into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    ClaimResult::Completed(Ok(ForwardResponse {
        status,
        headers: headers.into_iter().collect(),
        body: body.into(),
        backend: replayed_backend(),
        version: replayed_version(),
        load: ServerLoad::default(),
        held: TimeBudget::ZERO,
        limit: StatedLimit::Unknown,
        departed: None,
    }))
}

fn replayed_backend() -> BackendName {
    REPLAYED.parse().expect("the constant is a valid name")
}

fn replayed_version() -> BuildVersion {
    REPLAYED.parse().expect("the constant is a valid version")
}

fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).expect("a claim row is serializable")
}
