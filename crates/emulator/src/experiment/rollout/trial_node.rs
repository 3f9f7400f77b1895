use std::sync::Arc;

use bronzelb_kernel::{
    clock::ClockInstant,
    ids::{DataCentre, IncarnationNumber, NodeName, ServiceName},
    rollout::{EvidenceSource, MoveEvidence, MoveMark, MoveRecord, MoveTable, MoveView},
};

/// A message between two nodes of a trial.
#[derive(Clone, Debug)]
pub(crate) enum TrialMessage {
    /// What a node, or all nodes of a data centre, saw.
    Evidence(Arc<MoveEvidence>),
    /// What a judge tells.
    View(DataCentre, Arc<MoveView>),
    /// A move is taken back.
    Mark(MoveMark),
    /// The row of the platform changed.
    Record(Box<MoveRecord>),
}

/// One node of a trial.
#[derive(Clone, Debug)]
pub(crate) struct TrialNode {
    pub(crate) name: NodeName,
    pub(crate) data_centre: DataCentre,
    pub(crate) centre: usize,
    pub(crate) table: MoveTable,
    pub(crate) incarnation: u64,
    pub(crate) dead_until: ClockInstant,
    pub(crate) next_tick: ClockInstant,
    pub(crate) told: Option<Arc<MoveView>>,
}

impl TrialNode {
    pub(crate) fn new(centre: usize, index: usize, first_tick: ClockInstant) -> Self {
        let name: NodeName = format!("n{centre}-{index}").parse().expect("a name");
        let data_centre: DataCentre = format!("dc{centre}").parse().expect("a name");
        let table = table_of(&name, &data_centre, 1);
        Self {
            name,
            data_centre,
            centre,
            table,
            incarnation: 1,
            dead_until: ClockInstant::default(),
            next_tick: first_tick,
            told: None,
        }
    }

    /// Dies, and is replaced by an empty node at `until`.
    pub(crate) fn die(&mut self, until: ClockInstant) {
        self.incarnation += 1;
        self.dead_until = until;
        self.table = table_of(&self.name, &self.data_centre, self.incarnation);
    }

    pub(crate) fn is_alive(&self, now: ClockInstant) -> bool {
        self.dead_until.has_passed(now)
    }

    pub(crate) fn receive(
        &mut self,
        service: &ServiceName,
        message: TrialMessage,
        now: ClockInstant,
    ) {
        match message {
            TrialMessage::Evidence(evidence) => self.table.merge_evidence(service, &evidence, now),
            TrialMessage::View(centre, view) => {
                self.table.merge_view(service, &centre, (*view).clone());
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

fn table_of(name: &NodeName, data_centre: &DataCentre, incarnation: u64) -> MoveTable {
    let slot = EvidenceSource {
        node: name.clone(),
        incarnation: IncarnationNumber::new(incarnation),
    };
    MoveTable::new(slot, data_centre.clone())
}
