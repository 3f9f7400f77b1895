use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    ids::{AttemptToken, DataCentre, MoveNumber, ServiceName},
    rollout::{MOVE_KIND, MoveChange, MoveRecord, MoveState, MoveStatement, RouteTally},
    spread::{RecordKey, select_readers},
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
    source::connect_platform,
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const CALL_BUDGET: TimeBudget = TimeBudget::from_secs(2);
const PAGE_ROWS: usize = 100;

/// Reads the platform's rows of version moves and writes their ends, until the stop signal.
///
/// Only the few nodes of each data centre that read the platform do so.
pub async fn run_move_rows(state: Arc<NodeState>, mut stop: StopSignal) {
    let Ok(platform) = connect_platform(&state) else {
        // The spreading task has logged why.
        return;
    };
    let mut keeper = RowKeeper {
        state,
        platform,
        settled: BTreeMap::new(),
    };
    while stop.sleep(POLL_INTERVAL).await {
        if !keeper.is_reader() {
            continue;
        }
        // While the platform is away the moves go on, and the rows are written later.
        if let Err(error) = keeper.poll().await
            && error.kind() != ErrorKind::PlatformAway
        {
            keeper.state.count("move_row_failed");
            if keeper.state.should_log(EventName::MoveRowFailed) {
                warn!(keeper.state.logger, "{}", EventName::MoveRowFailed;
                    "message" => error.to_string());
            }
        }
    }
}

struct RowKeeper {
    state: Arc<NodeState>,
    platform: PlatformClient,
    /// Moves whose end the platform's row is known to hold.
    settled: BTreeMap<ServiceName, MoveNumber>,
}

impl RowKeeper {
    fn is_reader(&self) -> bool {
        let settings = &self.state.settings;
        let readers = select_readers(&self.state.members(), &settings.data_centre);
        readers.contains(&settings.node)
    }

    async fn poll(&mut self) -> Result<(), MeshError> {
        if self.platform.operators().is_some() {
            return self.keep_known().await;
        }
        let prefix = format!("{}/move/", self.state.settings.mesh);
        let mut after = None;
        loop {
            let deadline = self.state.now().after(CALL_BUDGET);
            let page = self
                .platform
                .scan_rows(&prefix, after.as_ref(), PAGE_ROWS, deadline)
                .await?;
            for row in &page.rows {
                self.keep(row).await?;
            }
            after = page.rows.last().map(|row| row.key.clone());
            if !page.more || after.is_none() {
                return Ok(());
            }
        }
    }

    /// Keeps the rows of the moves that operators' documents have started.
    async fn keep_known(&mut self) -> Result<(), MeshError> {
        let records: Vec<_> = self.state.rollout.table().records().cloned().collect();
        for held in records {
            if self.settled.get(&held.service) != Some(&held.number) {
                self.keep_record(&held).await?;
            }
        }
        Ok(())
    }

    /// Brings the row of one move in line with what this node knows.
    async fn keep_record(&mut self, held: &MoveRecord) -> Result<(), MeshError> {
        let mesh = &self.state.settings.mesh;
        let key: RowKey = format_compact!("{mesh}/move/{}", held.service).parse()?;
        let deadline = self.state.now().after(CALL_BUDGET);
        let Some(row) = self.platform.get_row(&key, deadline).await? else {
            return self.write_start(key, None, held).await;
        };
        let stored = MoveRecord::from_row(&row.value)?;
        if stored.number < held.number {
            return self.write_start(key, Some(row.revision), held).await;
        }
        if !stored.state.is_final() {
            return self.keep(&row).await;
        }
        self.take_in(&stored)?;
        self.settled.insert(held.service.clone(), stored.number);
        Ok(())
    }

    /// Writes the row of a move that the platform does not hold yet.
    async fn write_start(
        &self,
        key: RowKey,
        revision: Option<RowRevision>,
        record: &MoveRecord,
    ) -> Result<(), MeshError> {
        let expect = revision.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
        let write = RowWrite::put(key, record.to_row()).with_precondition(expect);
        let writes = self.with_statement(write, record)?;
        let deadline = self.state.now().after(CALL_BUDGET);
        match self.platform.transact(writes, deadline).await {
            // Another node was first; the next poll reads what it wrote.
            Err(error) if error.kind() != ErrorKind::Conflict => Err(error),
            _ => Ok(()),
        }
    }

    /// Adds the row that states to operators how the move stands, where the platform has one.
    fn with_statement(
        &self,
        write: RowWrite,
        record: &MoveRecord,
    ) -> Result<Vec<RowWrite>, MeshError> {
        let mut writes = vec![write];
        if let Some(calls) = self.platform.operators() {
            writes.push((calls.build_move_status_row)(record)?);
        }
        Ok(writes)
    }

    /// Takes in a row, and writes the move's end if this node knows one that the row lacks.
    async fn keep(&self, row: &TableRow) -> Result<(), MeshError> {
        let record = MoveRecord::from_row(&row.value)?;
        self.take_in(&record)?;
        let Some(change) = self.change_of(&record) else {
            return Ok(());
        };
        let token = AttemptToken::new(rand::random());
        let (_, Some(written)) = record.apply(change, token) else {
            return Ok(());
        };
        let write = RowWrite::put(row.key.clone(), written.to_row())
            .with_precondition(RowPrecondition::Revision(row.revision));
        let writes = self.with_statement(write, &written)?;
        let deadline = self.state.now().after(CALL_BUDGET);
        let result = self
            .platform
            .transact_with_token(writes, token, deadline)
            .await;
        match result {
            Ok(_) => {
                info!(self.state.logger, "{}", EventName::MoveChanged;
                    "service" => written.service.to_string(), "move" => written.number.get(),
                    "state" => written.state.name(), "written" => true);
                self.take_in(&written)
            }
            // Another node or an operator was first; the next poll reads what they wrote.
            Err(error) if error.kind() == ErrorKind::Conflict => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn take_in(&self, record: &MoveRecord) -> Result<(), MeshError> {
        let key = RecordKey::new(MOVE_KIND, record.service.as_str());
        self.state.put_record(key, record.to_bytes()).map(|_| ())
    }

    /// Returns the change that this node knows of and the row lacks.
    fn change_of(&self, record: &MoveRecord) -> Option<MoveChange> {
        let table = self.state.rollout.table();
        let held = table.record(&record.service)?;
        if held.number != record.number {
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
        let unheard = self.unheard(&view.heard);
        Some(MoveChange::Held(MoveStatement {
            decided_at: now,
            figures: figures_of(view.routes.values()),
            heard: view.heard.clone(),
            unheard,
        }))
    }

    /// Returns the data centres that were not heard lately, also those whose members are gone:
    /// a data centre that is cut off looks like one that has ended.
    fn unheard(&self, heard: &[DataCentre]) -> Vec<DataCentre> {
        let members = self.state.members();
        let centres = members
            .iter()
            .map(|row| row.data_centre.clone())
            .collect::<std::collections::BTreeSet<_>>();
        centres
            .into_iter()
            .filter(|centre| !heard.contains(centre))
            .collect()
    }
}

fn figures_of<'a>(tallies: impl Iterator<Item = &'a RouteTally>) -> CompactString {
    let (mut old, mut new) = (0, 0);
    for tally in tallies {
        old += tally.old;
        new += tally.new;
    }
    format_compact!("{new} requests on the new version and {old} on the old one were compared")
}
