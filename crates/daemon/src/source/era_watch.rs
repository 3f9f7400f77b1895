use std::sync::Arc;

use bronzelb_kernel::{
    ids::StoreEra,
    spread::{ERA_KIND, EraRecord, RecordEntry},
};
use slog::warn;

use crate::{
    log::EventName,
    node::{NodeState, StopSignal},
};

/// Watches for returns of the platform from an older copy until the stop signal.
///
/// The other nodes are told, and what this node keeps on the platform outside of its moves is
/// written again. Readers of documents and of moves follow the era themselves.
pub async fn run_era_watch(state: Arc<NodeState>, mut stop: StopSignal) {
    let mut eras = state.platform_eras.subscribe();
    let mut known = *eras.borrow_and_update();
    loop {
        tokio::select! {
            changed = eras.changed() => if changed.is_err() {
                return;
            },
            () = stop.stopped() => return,
        }
        let latest = *eras.borrow_and_update();
        if let (Some(known), Some(latest)) = (known, latest) {
            handle_restore(&state, known, latest);
        }
        known = latest;
    }
}

fn handle_restore(state: &NodeState, known: StoreEra, latest: StoreEra) {
    state.count("platform_restored");
    warn!(state.logger, "{}", EventName::PlatformRestored;
        "era" => latest.get(), "earlier_era" => known.get());
    let RecordEntry { key, value } = EraRecord { era: latest }.to_record();
    if let Err(error) = state.put_record(key, value) {
        report_refused_record(state, &error.to_string());
    }
    let now = state.now();
    state
        .gossip
        .step(|node, rng| node.rewrite_lease_row(now, rng));
}

/// Applies a changed record, if it is the platform's era.
pub(crate) fn apply_era_record(state: &NodeState, entry: &RecordEntry) {
    if entry.key.kind != ERA_KIND {
        return;
    }
    match EraRecord::from_record(entry) {
        // An earlier era than the known one says nothing new.
        Ok(record) => _ = state.platform_eras.observe(record.era),
        Err(error) => report_refused_record(state, &error.to_string()),
    }
}

fn report_refused_record(state: &NodeState, message: &str) {
    state.count("record_refused");
    warn!(state.logger, "{}", EventName::RecordRefused; "message" => message);
}
