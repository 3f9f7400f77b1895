use std::collections::BTreeMap;

use crate::{
    clock::ClockInstant,
    ids::{DataCentre, RouteName, ServiceName},
    rollout::{
        MoveMark, MoveRecord, MoveState, NodeEvidence, NodeSlot, OutcomeReport, VersionSide,
        VersionSplit,
    },
};

/// The version moves that a node knows, with what it saw of them itself.
#[derive(Clone, Debug)]
pub struct MoveTable {
    slot: NodeSlot,
    data_centre: DataCentre,
    entries: BTreeMap<ServiceName, MoveEntry>,
}

#[derive(Clone, Debug)]
struct MoveEntry {
    record: MoveRecord,
    mark: Option<MoveMark>,
    own: NodeEvidence,
}

impl MoveTable {
    /// Builds an empty table for one run of a node.
    #[must_use]
    pub fn new(slot: NodeSlot, data_centre: DataCentre) -> Self {
        Self {
            slot,
            data_centre,
            entries: BTreeMap::new(),
        }
    }

    /// Takes in a move record from the platform or a peer and returns whether it was news.
    pub fn merge_record(&mut self, record: MoveRecord, now: ClockInstant) -> bool {
        let held = self.entries.get_mut(&record.service);
        match held {
            Some(entry) if !record.replaces(&entry.record) => false,
            Some(entry) if entry.record.number == record.number => {
                entry.record = record;
                true
            }
            _ => {
                let own = NodeEvidence::new(
                    self.slot.clone(),
                    self.data_centre.clone(),
                    record.number,
                    now,
                );
                let mark = record.mark.clone();
                let service = record.service.clone();
                let entry = MoveEntry { record, mark, own };
                self.entries.insert(service, entry);
                true
            }
        }
    }

    /// Returns the split of a route's requests between the versions of its service.
    ///
    /// Without any record of a move every version serves.
    #[must_use]
    pub fn version_split(
        &self,
        service: &ServiceName,
        _route: &RouteName,
        _now: ClockInstant,
    ) -> VersionSplit {
        let Some(entry) = self.entries.get(service) else {
            return VersionSplit::any();
        };
        let record = &entry.record;
        let (from, to) = (record.from.clone(), record.to.clone());
        match record.state {
            MoveState::Done => VersionSplit::done(from, to),
            MoveState::TakenBack => VersionSplit::taken_back(from, to),
            MoveState::Running if entry.mark.is_some() => VersionSplit::taken_back(from, to),
            MoveState::Running => VersionSplit::moving(from, to, record.rule.first_share),
        }
    }

    /// Counts the outcome of one attempt towards the running move of its service, if any.
    pub fn record_outcome(&mut self, report: &OutcomeReport, now: ClockInstant) {
        let Some(entry) = self.entries.get_mut(&report.service) else {
            return;
        };
        let side = if report.version == entry.record.to {
            VersionSide::New
        } else if report.version == entry.record.from {
            VersionSide::Old
        } else {
            return;
        };
        entry.own.record(side, report, now);
    }
}
