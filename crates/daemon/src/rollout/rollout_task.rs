use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::ServiceName,
    rollout::{MARK_KIND, MOVE_KIND, MoveMark, MoveRecord, MoveView, SharePlan, VIEW_KIND},
    spread::{RecordEntry, RecordKey},
};
use slog::{info, warn};
use tokio::{
    sync::broadcast::error::RecvError,
    time::{self, MissedTickBehavior},
};

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    rollout::evidence_sender::{JudgeMap, judges_of_running_moves},
};

const INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unchanged view is told again, so that the others know it is still held.
const VIEW_TIME: TimeBudget = TimeBudget::from_secs(3);

/// Takes in and judges version moves until the stop signal.
pub async fn run_rollout(state: Arc<NodeState>, mut stop: StopSignal) {
    let mut changes = state.record_changes();
    let mut interval = time::interval(INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut runner = MoveRunner {
        state: Arc::clone(&state),
        told: BTreeMap::new(),
    };
    runner.take_in_all();
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Ok(entry) => runner.take_in(&entry),
                Err(RecvError::Lagged(_)) => runner.take_in_all(),
                Err(RecvError::Closed) => return,
            },
            _ = interval.tick() => runner.tick(),
            () = stop.stopped() => return,
        }
    }
}

struct MoveRunner {
    state: Arc<NodeState>,
    told: BTreeMap<ServiceName, MoveView>,
}

impl MoveRunner {
    fn take_in_all(&self) {
        for (key, value) in self.state.records().iter() {
            self.take_in(&RecordEntry {
                key: key.clone(),
                value: value.clone(),
            });
        }
    }

    fn take_in(&self, entry: &RecordEntry) {
        let result = match entry.key.kind.as_str() {
            MOVE_KIND => self.take_in_record(entry),
            MARK_KIND => self.take_in_mark(entry),
            VIEW_KIND => self.take_in_view(entry),
            _ => Ok(()),
        };
        if let Err(error) = result {
            warn!(self.state.logger, "{}", EventName::MoveChanged; "message" => error.to_string());
        }
    }

    fn take_in_record(&self, entry: &RecordEntry) -> Result<(), MeshError> {
        let record = MoveRecord::from_bytes(&entry.value)?;
        let (service, number) = (record.service.clone(), record.number);
        let described = record.state;
        let now = self.state.now();
        if self.state.rollout.merge_record(record, now) {
            info!(self.state.logger, "{}", EventName::MoveChanged;
                "service" => service.to_string(), "move" => number.get(),
                "state" => described.name());
        }
        Ok(())
    }

    fn take_in_mark(&self, entry: &RecordEntry) -> Result<(), MeshError> {
        let service: ServiceName = entry.key.name.parse()?;
        let mark = MoveMark::from_bytes(&entry.value)?;
        self.note_mark(&service, mark);
        Ok(())
    }

    fn note_mark(&self, service: &ServiceName, mark: MoveMark) {
        let figures = mark.figures.clone();
        let number = mark.number;
        if self.state.rollout.table().merge_mark(service, mark) {
            info!(self.state.logger, "{}", EventName::MoveChanged;
                "service" => service.to_string(), "move" => number.get(),
                "state" => "marked", "figures" => figures.to_string());
        }
    }

    fn take_in_view(&self, entry: &RecordEntry) -> Result<(), MeshError> {
        let (service, centre) = entry.key.name.split_once('/').ok_or_else(|| {
            MeshError::invalid(format!("move view {:?} has no data centre", entry.key.name))
        })?;
        let view = MoveView::from_bytes(&entry.value)?;
        let mut table = self.state.rollout.table();
        table.merge_view(&service.parse()?, &centre.parse()?, view);
        Ok(())
    }

    fn tick(&mut self) {
        let now = self.state.now();
        let judges = judges_of_running_moves(&self.state);
        self.judge(&judges, now);
        self.tell_views(&judges, now);
    }

    fn judge(&self, judges: &BTreeMap<ServiceName, JudgeMap>, now: ClockInstant) {
        let settings = &self.state.settings;
        let marks = {
            let mut table = self.state.rollout.table();
            for (service, map) in judges {
                let own = map.get(&settings.data_centre);
                let is_judge = own.is_some_and(|nodes| nodes.contains(&settings.node));
                table.set_judge(service, is_judge);
            }
            table.tick(now)
        };
        for (service, mark) in marks {
            info!(self.state.logger, "{}", EventName::MoveChanged;
                "service" => service.to_string(), "move" => mark.number.get(),
                "state" => "marked", "figures" => mark.figures.to_string());
            self.put(MARK_KIND, service.as_str(), mark.to_bytes());
        }
    }

    fn tell_views(&mut self, judges: &BTreeMap<ServiceName, JudgeMap>, now: ClockInstant) {
        for service in judges.keys() {
            let told = self.told.get(service);
            let Some(view) = self.news_of(service, told, now) else {
                continue;
            };
            let name = format!("{service}/{}", self.state.settings.data_centre);
            self.put(VIEW_KIND, &name, view.to_bytes());
            self.told.insert(service.clone(), view);
        }
    }

    /// Returns this node's view of a move if it judges it and the others need to hear it.
    fn news_of(
        &self,
        service: &ServiceName,
        told: Option<&MoveView>,
        now: ClockInstant,
    ) -> Option<MoveView> {
        let table = self.state.rollout.table();
        let view = table.local_view(service)?;
        let needed = table.plan(service).map_or(0, SharePlan::required_requests);
        let is_news = told.is_none_or(|told| {
            let is_old = told.taken_at.after(VIEW_TIME).has_passed(now);
            is_old || view.differs_from(told, needed)
        });
        is_news.then(|| view.clone())
    }

    fn put(&self, kind: &str, name: &str, value: Vec<u8>) {
        let key = RecordKey::new(kind, name);
        if let Err(error) = self.state.put_record(key, value) {
            warn!(self.state.logger, "{}", EventName::MoveChanged; "message" => error.to_string());
        }
    }
}
