use std::{sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError, RunState},
    ids::{
        AttemptToken, BackendName, BuildVersion, ContentHash, IdempotencyKey, IncarnationNumber,
        NodeName,
    },
    request::{ClaimOutcome, ClaimRow, ClaimStatus, MAX_CLAIM_BODY_BYTES, ServerLoad},
};
use bronzelb_store::{
    PlatformClient, PlatformTarget,
    table::{RowKey, RowPrecondition, RowRevision, RowWrite, TableRow},
};
use bronzelb_wire::peer::{ForwardResponse, HttpHeader};
use bytes::Bytes;
use tokio::time;

use crate::{
    forward::{PlannedRequest, keyed_request::already_done, request_state::SharedResult},
    node::{NodeState, PlatformHealth},
};

const CLAIM_BUDGET: TimeBudget = TimeBudget::from_millis(1_000);
const AWAY_BUDGET: TimeBudget = TimeBudget::from_millis(150);
const AWAY_PAUSE: TimeBudget = TimeBudget::from_secs(1);
const SETTLE_BUDGET: TimeBudget = TimeBudget::from_secs(2);
const SETTLE_ATTEMPTS: u32 = 8;
const SETTLE_PAUSE: Duration = Duration::from_secs(2);
const REPLAYED: &str = "replayed";

/// Claims of callers' own idempotency keys in the platform's table.
#[derive(Clone)]
pub(crate) struct ClaimTable {
    state: Arc<NodeState>,
    platform: Option<PlatformClient>,
}

/// What came of an attempt to claim a key.
pub(crate) enum Claim {
    /// This request holds the key and may run.
    Own(OwnClaim),
    /// The request with the key has ended.
    Ended(SharedResult),
    /// Another node's run holds the key.
    Held(NodeName, IncarnationNumber),
    /// The request with the key may have run.
    Unknown,
    /// The table cannot be asked, or the key belongs to another request.
    Away(MeshError),
}

/// A claim that this node holds.
pub(crate) struct OwnClaim {
    key: RowKey,
    row: ClaimRow,
    revision: RowRevision,
}

/// What is written into a claim's row once the request has ended.
pub(crate) enum ClaimSettlement {
    /// The row is deleted, since the request did not run.
    Release,
    /// The outcome is recorded.
    Record(ClaimOutcome),
}

impl ClaimTable {
    pub(crate) fn new(state: Arc<NodeState>) -> Self {
        let settings = &state.settings;
        let target = PlatformTarget::new(settings.platform.address.to_string())
            .with_local_address(settings.peers.listen.ip());
        let platform = PlatformClient::connect(&settings.platform.kind, &target).ok();
        Self { state, platform }
    }

    /// Inserts the row of `key` unless one exists.
    ///
    /// `is_known_idle` says that this run of the node knows the key not to have run; it may then
    /// take back a row that it inserted earlier itself.
    pub(crate) async fn claim(
        &self,
        planned: &PlannedRequest,
        key: &IdempotencyKey,
        is_known_idle: bool,
    ) -> Claim {
        let now = self.state.now();
        let budget = match self.state.platform_health() {
            PlatformHealth::Reachable => CLAIM_BUDGET,
            PlatformHealth::Unreachable => AWAY_BUDGET,
        };
        let deadline = planned.deadline.min(now.after(budget));
        let row = ClaimRow {
            attempt: AttemptToken::new(rand::random()),
            node: self.state.settings.node.clone(),
            incarnation: self.state.incarnation(),
            fingerprint: planned.message.fingerprint,
            start_by: planned.deadline,
            outcome: None,
        };
        match time::timeout(
            deadline.remaining(now).to_std(),
            self.insert(key, row, is_known_idle, deadline),
        )
        .await
        {
            Ok(Ok(claim)) => claim,
            Ok(Err(error)) if error.kind() != ErrorKind::PlatformAway => Claim::Away(error),
            _ => Claim::Away(self.away()),
        }
    }

    async fn insert(
        &self,
        key: &IdempotencyKey,
        row: ClaimRow,
        is_known_idle: bool,
        deadline: ClockInstant,
    ) -> Result<Claim, MeshError> {
        let platform = self.platform()?;
        let key: RowKey = format!("{}/claim/{key}", self.state.settings.mesh).parse()?;
        let error = match self
            .write(&key, &row, RowPrecondition::Absent, deadline)
            .await
        {
            Ok(revision) => return Ok(Claim::Own(OwnClaim { key, row, revision })),
            Err(error) => error,
        };
        if !is_replaced(&error) {
            return Err(error);
        }
        let Some(found) = platform.get_row(&key, deadline).await? else {
            // The holder released the key in between; the caller may come back.
            return Err(self.away());
        };
        let held: ClaimRow = serde_json::from_str(&found.value)
            .map_err(|error| MeshError::invalid(format!("claim row {key}: {error}")))?;
        let is_own_run = held.node == row.node && held.incarnation == row.incarnation;
        let is_same = held.fingerprint == row.fingerprint;
        if is_known_idle && is_own_run && is_same && held.outcome.is_none() {
            return self.take_back(key, row, &found, deadline).await;
        }
        Ok(sight(&held, row.fingerprint))
    }

    /// Writes a new token into the own row, so that a delayed release of it has no effect.
    async fn take_back(
        &self,
        key: RowKey,
        row: ClaimRow,
        found: &TableRow,
        deadline: ClockInstant,
    ) -> Result<Claim, MeshError> {
        let expect = RowPrecondition::Revision(found.revision);
        match self.write(&key, &row, expect, deadline).await {
            Ok(revision) => Ok(Claim::Own(OwnClaim { key, row, revision })),
            Err(error) if is_replaced(&error) => Err(self.away()),
            Err(error) => Err(error),
        }
    }

    async fn write(
        &self,
        key: &RowKey,
        row: &ClaimRow,
        expect: RowPrecondition,
        deadline: ClockInstant,
    ) -> Result<RowRevision, MeshError> {
        let write = RowWrite::put(key.clone(), encode(row)).with_precondition(expect);
        self.platform()?
            .transact_with_token(vec![write], row.attempt, deadline)
            .await
    }

    /// Records how a claimed request ended, as long as the platform does not answer.
    pub(crate) async fn settle(self, claim: OwnClaim, settlement: ClaimSettlement) {
        let OwnClaim {
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
            let deadline = self.state.now().after(SETTLE_BUDGET);
            let Ok(platform) = self.platform() else {
                return;
            };
            let written = platform.transact(vec![write.clone()], deadline).await;
            match written {
                // An earlier write took effect although its answer was lost, or the row was
                // taken back since.
                Err(error) if error.kind() == ErrorKind::Conflict => return,
                Ok(_) => return,
                Err(_) => time::sleep(SETTLE_PAUSE).await,
            }
        }
    }

    fn platform(&self) -> Result<&PlatformClient, MeshError> {
        self.platform.as_ref().ok_or_else(|| self.away())
    }

    fn away(&self) -> MeshError {
        MeshError::new(
            ErrorKind::PlatformAway,
            "the table that holds idempotency keys does not answer",
        )
        .with_retry_at(self.state.now().after(AWAY_PAUSE))
    }
}

impl ClaimSettlement {
    /// Returns what is written for a request that ended with `result`.
    pub(crate) fn of(result: &SharedResult) -> Self {
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                return match error.kind().response().run_state {
                    RunState::NotRun => Self::Release,
                    _ => Self::Record(ClaimOutcome::Unknown),
                };
            }
        };
        let body = std::str::from_utf8(&answer.body).ok();
        let content_type = answer
            .headers
            .iter()
            .find(|pair| pair.name == "content-type")
            .and_then(|pair| std::str::from_utf8(&pair.value).ok());
        Self::Record(ClaimOutcome::Answered {
            status: answer.status,
            content_type: content_type.map(Into::into),
            body: body
                .filter(|body| body.len() <= MAX_CLAIM_BODY_BYTES)
                .map(str::to_owned),
        })
    }
}

fn is_replaced(error: &MeshError) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Conflict | ErrorKind::OutcomeUnknown
    )
}

fn sight(held: &ClaimRow, fingerprint: ContentHash) -> Claim {
    match held.status_for(fingerprint) {
        ClaimStatus::Mismatch => Claim::Away(MeshError::new(
            ErrorKind::Conflict,
            "the idempotency key belongs to another request",
        )),
        ClaimStatus::Ended(outcome) => ended(outcome),
        ClaimStatus::HeldBy(node, incarnation) => Claim::Held(node, incarnation),
    }
}

fn ended(outcome: ClaimOutcome) -> Claim {
    let ClaimOutcome::Answered {
        status,
        content_type,
        body,
    } = outcome
    else {
        return Claim::Unknown;
    };
    let Some(body) = body else {
        return Claim::Ended(Err(already_done()));
    };
    let headers = content_type.map(|value| HttpHeader {
        name: "content-type".into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    Claim::Ended(Ok(ForwardResponse {
        status,
        headers: headers.into_iter().collect(),
        body: body.into(),
        backend: replayed_backend(),
        version: replayed_version(),
        load: ServerLoad::default(),
    }))
}

fn replayed_backend() -> BackendName {
    REPLAYED.parse().expect("the name is valid")
}

fn replayed_version() -> BuildVersion {
    REPLAYED.parse().expect("the version is valid")
}

fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).expect("a claim row holds only plain values")
}
