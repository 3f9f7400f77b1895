use std::sync::Arc;

use bronzelb_kernel::{
    clock::TimeBudget,
    config::ServiceSpec,
    ids::AttemptToken,
    plugin::MoveOrder,
    rollout::{MOVE_KIND, MoveRecord, MoveState, OrderHistory, OrderMatch},
    spread::RecordKey,
};
use bronzelb_store::{PlatformClient, table::RowKey};
use compact_str::format_compact;
use slog::{info, warn};

use crate::{log::EventName, node::NodeState};

const READ_TIMEOUT: TimeBudget = TimeBudget::from_millis(500);

/// Applies an operator's order: uses the record stored by the platform, or creates a new one.
///
/// Every node that reads the order starts the move itself, so that no version gets traffic before a
/// node has decided on it; the records merge into one.
pub(crate) async fn apply_order(
    state: &Arc<NodeState>,
    platform: &PlatformClient,
    order: &MoveOrder,
    history: &mut OrderHistory,
) {
    let known = state.rollout.table().record(&order.service).cloned();
    let order_match = history.classify(order, known.as_ref());
    history.record(order);
    match order_match {
        OrderMatch::Known => return,
        OrderMatch::Repeated => {
            report_repeated_order(state, order, known.as_ref());
            return;
        }
        OrderMatch::New => {}
    }
    let stored = read_record(state, platform, order).await;
    let is_answered = stored.as_ref().is_some_and(|stored| {
        stored.number >= order.number || (known.is_none() && stored.has_answered(&order.target))
    });
    let record = match stored {
        Some(stored) if is_answered => stored,
        stored => {
            let last = [stored, known].into_iter().flatten();
            let last = last.reduce(|last, other| match other.replaces(&last) {
                true => other,
                false => last,
            });
            new_record(state, order, last.as_ref())
        }
    };
    info!(state.logger, "{}", EventName::MoveChanged;
        "service" => order.service.to_string(), "move" => order.number.to_string(),
        "to" => record.to.to_string(),
        "state" => record.state.name(), "left_ms" => record.by.remaining(state.now()).as_millis());
    let key = RecordKey::new(MOVE_KIND, order.service.as_str());
    if let Err(error) = state.put_record(key, record.to_bytes()) {
        warn!(state.logger, "{}", EventName::RecordRefused; "message" => error.to_string());
    }
}

/// Counts and logs an order that does not start a move because a known one has answered it.
fn report_repeated_order(state: &NodeState, order: &MoveOrder, known: Option<&MoveRecord>) {
    state.count("move_order_repeated");
    info!(state.logger, "{}", EventName::MoveChanged;
        "service" => order.service.to_string(), "move" => order.number.to_string(),
        "to" => order.target.to_string(), "state" => "repeated",
        "known_move" => known.map(|known| known.number.to_string()),
        "known_state" => known.map(|known| known.state.name()));
}

/// Reads the latest record of the service's moves from the platform.
async fn read_record(
    state: &NodeState,
    platform: &PlatformClient,
    order: &MoveOrder,
) -> Option<MoveRecord> {
    let key: RowKey = format_compact!("{}/move/{}", state.settings.mesh, order.service)
        .parse()
        .ok()?;
    let deadline = state.now().after(READ_TIMEOUT);
    // Without an answer a new record is created, and merged with the stored one once that is read.
    let row = platform.get_row(&key, deadline).await.ok()??;
    MoveRecord::from_row(&row.value).ok()
}

fn new_record(state: &NodeState, order: &MoveOrder, last: Option<&MoveRecord>) -> MoveRecord {
    let now = state.now();
    let config = state.config();
    let spec = config
        .as_ref()
        .and_then(|config| config.snapshot().services.get(&order.service));
    let rule = spec.map_or_else(
        || ServiceSpec::with_defaults(u32::MAX).rollout,
        |spec| spec.rollout.clone(),
    );
    MoveRecord {
        service: order.service.clone(),
        number: order.number,
        // The order does not name the versions that are running, and a node that has just started
        // does not know them.
        from: order.target.clone(),
        to: order.target.clone(),
        start: now,
        by: now.after(order.timeout),
        rule,
        state: MoveState::Running,
        attempt: AttemptToken::new(rand::random()),
        statement: None,
        mark: None,
        barred: last.map_or_else(Vec::new, |last| last.barred_after(&order.target)),
        earlier: last.map_or_else(Vec::new, MoveRecord::earlier_after),
    }
}
