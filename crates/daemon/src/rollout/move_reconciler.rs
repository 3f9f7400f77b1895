use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::{AttemptToken, DataCentre, MoveNumber, ServiceName, StoreEra},
    rollout::{MOVE_KIND, MoveChange, MoveRecord, MoveState, MoveStatement, RouteTally},
    spread::{GossipNode, RecordKey},
};
use bronzelb_store::{
    PlatformClient,
    table::{RowKey, RowPrecondition, RowRevision, RowWrite, TableRow},
};
use compact_str::{CompactString, format_compact};
use slog::{info, warn};

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    source::{connect_platform, log_refused},
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: TimeBudget = TimeBudget::from_secs(2);
/// Interval at which a reader checks the row of a running move. It bounds the time until a row is
/// written again that the platform has lost.
const CHECK_INTERVAL: TimeBudget = TimeBudget::from_secs(4);
const MAX_PAGE_ROWS: usize = 100;

/// Reconciles the platform's rows of version moves with this node's records until the stop signal.
///
/// Only the few nodes of each data centre that are selected as readers access the platform.
pub async fn run_move_rows(state: Arc<NodeState>, mut stop: StopSignal) {
    let Ok(platform) = connect_platform(&state) else {
        // The gossip task logs this error.
        return;
    };
    let mut reconciler = MoveReconciler {
        state,
        platform,
        finished: BTreeMap::new(),
        next_checks: BTreeMap::new(),
        era: None,
    };
    while stop.tick(POLL_INTERVAL).await {
        if !reconciler.is_reader() {
            continue;
        }
        // Moves continue while the platform is unreachable; their rows are written once it answers.
        if let Err(error) = reconciler.poll().await
            && error.kind() != ErrorKind::PlatformAway
        {
            reconciler.state.count("move_row_failed");
            if reconciler.state.should_log(EventName::MoveRowFailed) {
                warn!(reconciler.state.logger, "{}", EventName::MoveRowFailed;
                    "message" => error.to_string());
            }
        }
    }
}

struct MoveReconciler {
    state: Arc<NodeState>,
    platform: PlatformClient,
    /// Latest move of each service whose platform row is in a final state.
    finished: BTreeMap<ServiceName, MoveNumber>,
    /// When the row of each service's running move is read again although no change is pending.
    next_checks: BTreeMap<ServiceName, (MoveNumber, ClockInstant)>,
    /// Era of the platform in which the rows were read.
    era: Option<StoreEra>,
}

impl MoveReconciler {
    fn is_reader(&self) -> bool {
        self.state.gossip.read(GossipNode::reader_rank).is_some()
    }

    async fn poll(&mut self) -> Result<(), MeshError> {
        if self.platform.operators().is_some() {
            return self.reconcile_known_moves().await;
        }
        let prefix = format!("{}/move/", self.state.settings.mesh);
        let mut after = None;
        loop {
            let deadline = self.state.now().after(CALL_TIMEOUT);
            let page = self
                .platform
                .scan_rows(&prefix, after.as_ref(), MAX_PAGE_ROWS, deadline)
                .await?;
            log_refused(&self.state, &page);
            for row in &page.rows {
                self.skip_unreadable(self.reconcile_row(row).await)?;
            }
            after = page.rows.last().map(|row| row.key.clone());
            if !page.more || after.is_none() {
                return Ok(());
            }
        }
    }

    /// Reconciles the rows of moves started by operators' documents.
    async fn reconcile_known_moves(&mut self) -> Result<(), MeshError> {
        self.forget_earlier_era();
        let records: Vec<_> = self.state.rollout.table().records().cloned().collect();
        for known in records {
            let is_finished = self.finished.get(&known.service) == Some(&known.number);
            if !is_finished && self.is_check_due(&known) {
                self.reconcile_record(&known).await?;
                let next_check = self.state.now().after(CHECK_INTERVAL);
                let check = (known.number, next_check);
                self.next_checks.insert(known.service.clone(), check);
            }
        }
        Ok(())
    }

    /// Makes every row due again once the platform has returned from an older copy, in which rows
    /// may be missing or outdated.
    fn forget_earlier_era(&mut self) {
        let latest = self.state.platform_eras.latest();
        if self.era != latest {
            self.era = latest;
            self.finished.clear();
            self.next_checks.clear();
        }
    }

    /// Returns whether the row of a move has to be read: to write a change, or to check that it
    /// still holds what this node knows.
    ///
    /// Changes that other readers write arrive by gossip.
    fn is_check_due(&self, known: &MoveRecord) -> bool {
        let now = self.state.now();
        let check = self.next_checks.get(&known.service);
        let is_current = check
            .is_some_and(|(number, instant)| *number == known.number && !instant.has_passed(now));
        !is_current || known.state.is_final() || self.pending_change(known).is_some()
    }

    /// Reconciles the platform's row of one move with this node's record.
    async fn reconcile_record(&mut self, known: &MoveRecord) -> Result<(), MeshError> {
        let mesh = &self.state.settings.mesh;
        let key: RowKey = format_compact!("{mesh}/move/{}", known.service).parse()?;
        let deadline = self.state.now().after(CALL_TIMEOUT);
        let Some(row) = self.platform.get_row(&key, deadline).await? else {
            return self.write_new_move(key, None, known).await;
        };
        let stored = match MoveRecord::from_row(&row.value) {
            Ok(stored) => stored,
            // A later build may have written it, so it is not overwritten.
            Err(error) => return self.skip_unreadable(Err(error)),
        };
        let is_other_move = stored.number != known.number;
        let is_lost = known.state.is_final() && !stored.state.is_final();
        if (is_other_move || is_lost) && known.replaces(&stored) {
            return self.write_new_move(key, Some(row.revision), known).await;
        }
        if !stored.state.is_final() {
            return self.reconcile_row(&row).await;
        }
        self.store_record(&stored)?;
        self.finished.insert(known.service.clone(), stored.number);
        Ok(())
    }

    /// Logs the error of a row that cannot be read, so that the other rows are reconciled.
    fn skip_unreadable(&self, result: Result<(), MeshError>) -> Result<(), MeshError> {
        match result {
            Err(error) if error.kind() == ErrorKind::Invalid => {
                self.state.count("row_refused");
                if self.state.should_log(EventName::RecordRefused) {
                    warn!(self.state.logger, "{}", EventName::RecordRefused;
                        "message" => error.to_string());
                }
                Ok(())
            }
            result => result,
        }
    }

    /// Writes the row of a move that the platform does not store yet, or has lost.
    async fn write_new_move(
        &self,
        key: RowKey,
        revision: Option<RowRevision>,
        record: &MoveRecord,
    ) -> Result<(), MeshError> {
        let expect = revision.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
        let write = RowWrite::put(key, record.to_row()).with_precondition(expect);
        let writes = self.with_status_row(write, record)?;
        let deadline = self.state.now().after(CALL_TIMEOUT);
        match self.platform.transact(writes, deadline).await {
            // Another node wrote the row concurrently; the next poll reads it.
            Err(error) if error.kind() != ErrorKind::Conflict => Err(error),
            _ => Ok(()),
        }
    }

    /// Adds the row that shows operators the move's status, if the platform has one.
    fn with_status_row(
        &self,
        write: RowWrite,
        record: &MoveRecord,
    ) -> Result<Vec<RowWrite>, MeshError> {
        let mut writes = vec![write];
        if let Some(calls) = self.platform.operators() {
            writes.push((calls.status)(record)?);
        }
        Ok(writes)
    }

    /// Stores a row's record locally, and writes the pending change that the row lacks, if any.
    async fn reconcile_row(&self, row: &TableRow) -> Result<(), MeshError> {
        let record = MoveRecord::from_row(&row.value)?;
        self.store_record(&record)?;
        let Some(change) = self.pending_change(&record) else {
            return Ok(());
        };
        let token = AttemptToken::new(rand::random());
        let (_, Some(written)) = record.apply(change, token) else {
            return Ok(());
        };
        let write = RowWrite::put(row.key.clone(), written.to_row())
            .with_precondition(RowPrecondition::Revision(row.revision));
        let writes = self.with_status_row(write, &written)?;
        let deadline = self.state.now().after(CALL_TIMEOUT);
        let result = self
            .platform
            .transact_with_token(writes, token, deadline)
            .await;
        match result {
            Ok(_) => {
                info!(self.state.logger, "{}", EventName::MoveChanged;
                    "service" => written.service.to_string(), "move" => written.number.to_string(),
                    "state" => written.state.name(), "written" => true);
                self.store_record(&written)
            }
            // Another node or an operator changed the row concurrently; the next poll reads it.
            Err(error) if error.kind() == ErrorKind::Conflict => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn store_record(&self, record: &MoveRecord) -> Result<(), MeshError> {
        let key = RecordKey::new(MOVE_KIND, record.service.as_str());
        self.state.put_record(key, record.to_bytes()).map(|_| ())
    }

    /// Returns the change that this node knows and the row does not contain yet.
    fn pending_change(&self, record: &MoveRecord) -> Option<MoveChange> {
        let table = self.state.rollout.table();
        let known = table.record(&record.service)?;
        if known.number != record.number {
            return None;
        }
        if let Some(mark) = table.mark(&record.service) {
            return Some(MoveChange::Fault(mark.clone()));
        }
        let now = self.state.now();
        if record.state != MoveState::Running || !table.is_done(&record.service, now) {
            return None;
        }
        let view = table.local_view(&record.service)?;
        let unheard = self.unheard_data_centres(&view.heard);
        Some(MoveChange::Held(MoveStatement {
            decided_at: now,
            figures: summarize_tallies(view.routes.values()),
            heard: view.heard.clone(),
            unheard,
        }))
    }

    /// Returns the data centres without a recent report, including those whose members are gone:
    /// a partitioned data centre cannot be told from one that was shut down.
    fn unheard_data_centres(&self, heard: &[DataCentre]) -> Vec<DataCentre> {
        let members = self.state.members();
        let data_centres = members
            .iter()
            .map(|row| row.data_centre.clone())
            .collect::<std::collections::BTreeSet<_>>();
        data_centres
            .into_iter()
            .filter(|centre| !heard.contains(centre))
            .collect()
    }
}

fn summarize_tallies<'a>(tallies: impl Iterator<Item = &'a RouteTally>) -> CompactString {
    let (mut old, mut new) = (0, 0);
    for tally in tallies {
        old += tally.old;
        new += tally.new;
    }
    format_compact!("{new} requests on the new version and {old} on the old one were compared")
}
