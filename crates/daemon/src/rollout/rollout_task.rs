use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::ServiceName,
    rollout::{
        MARK_KIND, MOVE_KIND, MoveMark, MoveRecord, MoveView, SharePlan, VIEW_KIND, VersionSide,
    },
    spread::{RecordEntry, RecordKey},
};
use slog::{info, warn};
use tokio::sync::broadcast::error::RecvError;

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
    rollout::evidence_sender::{JudgeMap, running_move_judges},
};

/// Interval at which moves are judged; the shortest one at which a judge compares the versions.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which an unchanged view is published again to show that it is still current.
const VIEW_REFRESH_INTERVAL: TimeBudget = TimeBudget::from_secs(3);

/// Applies records of version moves and judges running moves until the stop signal.
pub async fn run_rollout(state: Arc<NodeState>, mut stop: StopSignal) {
    let mut changes = state.record_changes();
    let mut runner = MoveRunner {
        state: Arc::clone(&state),
        published: BTreeMap::new(),
    };
    runner.apply_all_entries();
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Ok(entry) => runner.apply_entry(&entry),
                Err(RecvError::Lagged(_)) => runner.apply_all_entries(),
                Err(RecvError::Closed) => return,
            },
            is_running = stop.tick(TICK_INTERVAL) => match is_running {
                true => runner.tick(),
                false => return,
            },
        }
    }
}

struct MoveRunner {
    state: Arc<NodeState>,
    /// Views last published by this node.
    published: BTreeMap<ServiceName, MoveView>,
}

impl MoveRunner {
    fn apply_all_entries(&self) {
        for (key, value) in self.state.records().iter() {
            self.apply_entry(&RecordEntry {
                key: key.clone(),
                value: value.clone(),
            });
        }
    }

    fn apply_entry(&self, entry: &RecordEntry) {
        let result = match entry.key.kind.as_str() {
            MOVE_KIND => self.apply_move(entry),
            MARK_KIND => self.apply_mark(entry),
            VIEW_KIND => self.apply_view(entry),
            _ => Ok(()),
        };
        if let Err(error) = result {
            warn!(self.state.logger, "{}", EventName::MoveChanged; "message" => error.to_string());
        }
    }

    fn apply_move(&self, entry: &RecordEntry) -> Result<(), MeshError> {
        let record = MoveRecord::from_bytes(&entry.value)?;
        let (service, number) = (record.service.clone(), record.number);
        let state = record.state;
        let now = self.state.now();
        if self.state.rollout.merge_record(record, now) {
            info!(self.state.logger, "{}", EventName::MoveChanged;
                "service" => service.to_string(), "move" => number.to_string(),
                "state" => state.name());
        }
        Ok(())
    }

    fn apply_mark(&self, entry: &RecordEntry) -> Result<(), MeshError> {
        let service: ServiceName = entry.key.name.parse()?;
        let mark = MoveMark::from_bytes(&entry.value)?;
        self.merge_mark(&service, mark);
        Ok(())
    }

    fn merge_mark(&self, service: &ServiceName, mark: MoveMark) {
        let figures = mark.figures.clone();
        let number = mark.number;
        if self.state.rollout.table().merge_mark(service, mark) {
            info!(self.state.logger, "{}", EventName::MoveChanged;
                "service" => service.to_string(), "move" => number.to_string(),
                "state" => "marked", "figures" => figures.to_string());
        }
    }

    fn apply_view(&self, entry: &RecordEntry) -> Result<(), MeshError> {
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
        let judges = running_move_judges(&self.state);
        self.judge_moves(&judges, now);
        self.publish_views(&judges, now);
    }

    fn judge_moves(&self, judges: &BTreeMap<ServiceName, JudgeMap>, now: ClockInstant) {
        let settings = &self.state.settings;
        let server_counts: Vec<_> = judges
            .keys()
            .map(|service| self.count_servers(service))
            .collect();
        let marks = {
            let mut table = self.state.rollout.table();
            for (service, map) in judges {
                let local_judges = map.get(&settings.data_centre);
                let is_judge = local_judges.is_some_and(|nodes| nodes.contains(&settings.node));
                table.set_judge(service, is_judge);
            }
            for (service, servers) in judges.keys().zip(server_counts) {
                table.set_server_count(service, servers, now);
            }
            table.tick(now)
        };
        for (service, mark) in marks {
            info!(self.state.logger, "{}", EventName::MoveChanged;
                "service" => service.to_string(), "move" => mark.number.to_string(),
                "state" => "marked", "figures" => mark.figures.to_string());
            self.publish_record(MARK_KIND, service.as_str(), mark.to_bytes());
        }
    }

    /// Returns the number of serving servers of the version that a service moves to.
    fn count_servers(&self, service: &ServiceName) -> usize {
        let target = {
            let table = self.state.rollout.table();
            table.record(service).map(|record| record.to.clone())
        };
        let load_balancer = self.state.requests.load_balancer();
        target.map_or(0, |version| {
            load_balancer.version_servers(service, &version)
        })
    }

    fn publish_views(&mut self, judges: &BTreeMap<ServiceName, JudgeMap>, now: ClockInstant) {
        for service in judges.keys() {
            let published = self.published.get(service);
            let Some(view) = self.view_to_publish(service, published, now) else {
                continue;
            };
            self.log_judgement(service, now);
            let name = format!("{service}/{}", self.state.settings.data_centre);
            self.publish_record(VIEW_KIND, &name, view.to_bytes());
            self.published.insert(service.clone(), view);
        }
    }

    /// Logs what this node, as a judge, knows of each route of a move.
    fn log_judgement(&self, service: &ServiceName, now: ClockInstant) {
        let table = self.state.rollout.table();
        let Some(judge) = table.judge(service) else {
            return;
        };
        for (route, route_judge) in judge.routes() {
            if !self.state.should_log(EventName::MoveJudged) {
                return;
            }
            let share = table.version_split(service, route, now).share();
            let (old_rate, new_rate) = route_judge.failure_rates();
            let (failure_surplus, slow_surplus) = route_judge.surpluses();
            info!(self.state.logger, "{}", EventName::MoveJudged;
                "service" => service.to_string(), "route" => route.to_string(),
                "share" => share.to_string(),
                "old" => route_judge.requests(VersionSide::Old),
                "new" => route_judge.requests(VersionSide::New),
                "old_failure_rate" => format!("{old_rate:.3}"),
                "new_failure_rate" => format!("{new_rate:.3}"),
                "wealth" => format!("{:.1}", route_judge.wealth()),
                "failure_surplus" => format!("{failure_surplus:.1}"),
                "slow_surplus" => format!("{slow_surplus:.1}"),
                "recheck_share" => route_judge.recheck_share().map(|share| share.to_string()),
                "full_share_ms" => judge.view().full_share_since
                    .map(|since| since.elapsed(now).as_millis()));
        }
    }

    /// Returns this node's view of a move if the node judges the move and the view is due.
    fn view_to_publish(
        &self,
        service: &ServiceName,
        published: Option<&MoveView>,
        now: ClockInstant,
    ) -> Option<MoveView> {
        let table = self.state.rollout.table();
        let view = table.local_view(service)?;
        let needed = table.plan(service).map_or(0, SharePlan::required_requests);
        let is_due = published.is_none_or(|published| {
            let is_stale = published
                .taken_at
                .after(VIEW_REFRESH_INTERVAL)
                .has_passed(now);
            is_stale || view.differs_from(published, needed)
        });
        is_due.then(|| view.clone())
    }

    fn publish_record(&self, kind: &str, name: &str, value: Vec<u8>) {
        let key = RecordKey::new(kind, name);
        if let Err(error) = self.state.put_record(key, value) {
            warn!(self.state.logger, "{}", EventName::MoveChanged; "message" => error.to_string());
        }
    }
}
