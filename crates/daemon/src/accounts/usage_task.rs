use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bronzelb_kernel::{config::UsageCap, ids::AccountName, status::UsageStatus};
use cadence::{Counted, Gauged};
use slog::info;

use crate::{
    accounts::UsageLimiter,
    log::EventName,
    node::{NodeState, StopSignal},
    peers::PeerPool,
};

/// Interval of reports that no request waits for.
const TICK: Duration = Duration::from_millis(200);
/// Ticks between two updates of metrics and log.
const TICKS_PER_UPDATE: u32 = 25;
/// Accounts with metrics of their own; the rest is summed up under one label.
const MAX_LABELS: usize = 200;
const OTHER_LABEL: &str = "other";

/// Reports the use of accounts to their owners until the stop signal, and records it in metrics and
/// log.
pub async fn run_usage(state: Arc<NodeState>, mut stop: StopSignal) {
    let limiter = UsageLimiter::new(Arc::clone(&state), PeerPool::new(Arc::clone(&state)));
    let mut recorded = BTreeMap::new();
    let mut ticks = 0;
    while stop.tick(TICK).await {
        state.usage.sync(&state);
        if !state.usage.lock().has_caps() {
            continue;
        }
        limiter.poll();
        limiter.probe();
        ticks += 1;
        if ticks % TICKS_PER_UPDATE == 0 {
            record_use(&state, &mut recorded);
        }
    }
}

/// Records the use of each account in metrics, and logs the accounts with refusals.
fn record_use(state: &NodeState, recorded: &mut BTreeMap<AccountName, u64>) {
    let now = state.now();
    let statuses: Vec<(AccountName, UsageCap, UsageStatus)> = {
        let node = state.usage.lock();
        let caps = node.caps().iter();
        caps.filter_map(|(account, cap)| {
            let status = node.status(now, account)?;
            Some((account.clone(), *cap, status))
        })
        .collect()
    };
    let mut gauges: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for (index, (account, cap, status)) in statuses.iter().enumerate() {
        let label = match index < MAX_LABELS {
            true => account.as_str(),
            false => OTHER_LABEL,
        };
        let (used, granted) = gauges.entry(label).or_default();
        *used += u64::from(status.admitted);
        *granted += u64::from(status.used.unwrap_or(0));
        let before = recorded
            .insert(account.clone(), status.refused)
            .unwrap_or(0);
        let refused = status.refused.saturating_sub(before);
        if refused == 0 {
            continue;
        }
        // Cannot fail: the sink is in memory.
        let _ = state
            .metrics
            .count_with_tags("usage_refused", i64::try_from(refused).unwrap_or(i64::MAX))
            .with_tag("account", label)
            .try_send();
        if state.should_log(EventName::AccountRefused) {
            info!(state.logger, "{}", EventName::AccountRefused;
                "account" => account.to_string(), "refused" => refused,
                "admitted" => status.admitted, "used" => status.used,
                "rate" => cap.rate.to_string(), "burst" => cap.burst);
        }
    }
    for (label, (admitted, granted)) in gauges {
        let gauge = |name, value: u64| {
            let gauge = state.metrics.gauge_with_tags(name, value);
            let _ = gauge.with_tag("account", label).try_send();
        };
        gauge("usage_admitted", admitted);
        gauge("usage_granted", granted);
    }
    for (account, cap, _) in statuses.iter().take(MAX_LABELS) {
        let allowed = state
            .metrics
            .gauge_with_tags("usage_cap", cap.rate.per_second());
        let _ = allowed.with_tag("account", account.as_str()).try_send();
    }
}
