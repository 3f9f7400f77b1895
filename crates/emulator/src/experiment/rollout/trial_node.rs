use std::sync::Arc;

use bronzelb_kernel::{
    clock::ClockInstant,
    ids::{DataCentre, IncarnationNumber, NodeName, ServiceName},
    rollout::{EvidenceSource, MoveEvidence, MoveMark, MoveRecord, MoveTable, MoveView},
};

/// Message between two nodes of a trial.
#[derive(Clone, Debug)]
pub(crate) enum TrialMessage {
    /// Evidence of one node, or the total of a data centre.
    Evidence(Arc<MoveEvidence>),
    /// View of a judge in the given data centre.
    View(DataCentre, Arc<MoveView>),
    /// Mark that the move is rolled back.
    Mark(MoveMark),
    /// Changed move record of the platform.
    Record(Box<MoveRecord>),
}

/// Node of a trial.
#[derive(Clone, Debug)]
pub(crate) struct TrialNode {
    pub(crate) name: NodeName,
    pub(crate) data_centre: DataCentre,
    pub(crate) centre_index: usize,
    pub(crate) table: MoveTable,
    pub(crate) incarnation: u64,
    pub(crate) down_until: ClockInstant,
    pub(crate) next_tick: ClockInstant,
    pub(crate) sent_view: Option<Arc<MoveView>>,
}

impl TrialNode {
    pub(crate) fn new(centre_index: usize, index: usize, first_tick: ClockInstant) -> Self {
        let name: NodeName = format!("n{centre_index}-{index}")
            .parse()
            .expect("generated name is valid");
        let data_centre: DataCentre = format!("dc{centre_index}")
            .parse()
            .expect("generated name is valid");
        let table = new_table(&name, &data_centre, 1);
        Self {
            name,
            data_centre,
            centre_index,
            table,
            incarnation: 1,
            down_until: ClockInstant::default(),
            next_tick: first_tick,
            sent_view: None,
        }
    }

    /// Crashes the node, which restarts with an empty table at `until`.
    pub(crate) fn crash(&mut self, until: ClockInstant) {
        self.incarnation += 1;
        self.down_until = until;
        self.table = new_table(&self.name, &self.data_centre, self.incarnation);
    }

    pub(crate) fn is_alive(&self, now: ClockInstant) -> bool {
        self.down_until.has_passed(now)
    }

    pub(crate) fn receive(
        &mut self,
        service: &ServiceName,
        message: TrialMessage,
        now: ClockInstant,
    ) {
        match message {
            TrialMessage::Evidence(evidence) => self.table.merge_evidence(service, &evidence, now),
            TrialMessage::View(data_centre, view) => {
                self.table
                    .merge_view(service, &data_centre, (*view).clone());
            }
            TrialMessage::Mark(mark) => {
                self.table.merge_mark(service, mark);
            }
            TrialMessage::Record(record) => {
                self.table.merge_record(*record, now);
            }
        }
    }
}

fn new_table(name: &NodeName, data_centre: &DataCentre, incarnation: u64) -> MoveTable {
    let source = EvidenceSource {
        node: name.clone(),
        incarnation: IncarnationNumber::new(incarnation),
    };
    MoveTable::new(source, data_centre.clone())
}
