use bronzelb_kernel::{
    error::MeshError,
    ids::DataCentre,
    placement::{EVACUATION_KIND, EvacuationOrder},
    spread::RecordEntry,
};
use slog::{info, warn};

use crate::{backends::doubt_all_servers, log::EventName, node::NodeState};

/// Applies the state of an evacuation that this node has read from the platform, and replicates it
/// if the other nodes know another one.
pub(crate) fn apply_evacuation(state: &NodeState, order: EvacuationOrder) {
    let data_centre = order.data_centre.clone();
    let is_changed = state.placement.evacuations().merge_read(order, state.now());
    if is_changed {
        follow_change(state, &data_centre);
    }
    replicate_state(state, &data_centre);
}

/// Applies the states that the platform has shown since it returned from an older copy, and that
/// operators have not corrected.
pub(crate) fn accept_due_evacuations(state: &NodeState) {
    let changed = state.placement.evacuations().accept_due(state.now());
    for data_centre in changed {
        follow_change(state, &data_centre);
        replicate_state(state, &data_centre);
    }
}

/// Applies a changed record, if it is one of an evacuation.
///
/// A peer may replicate an older state than this node has read, which then replaces the record.
pub(crate) fn apply_evacuation_record(state: &NodeState, entry: &RecordEntry) {
    if entry.key.kind != EVACUATION_KIND {
        return;
    }
    match EvacuationOrder::from_record(entry) {
        Ok(order) => {
            let data_centre = order.data_centre.clone();
            let is_changed = state.placement.evacuations().merge(order, state.now());
            if is_changed {
                follow_change(state, &data_centre);
            }
            replicate_state(state, &data_centre);
        }
        Err(error) => report_refused_record(state, &error),
    }
}

/// Makes the node follow the changed state of a data centre's evacuation.
fn follow_change(state: &NodeState, data_centre: &DataCentre) {
    let (evacuated, order) = {
        let table = state.placement.evacuations();
        (table.evacuated(), table.order(data_centre).cloned())
    };
    let Some(order) = order else {
        return;
    };
    state.requests.load_balancer().set_evacuated(evacuated);
    // Servers may be cold at the end of an evacuation.
    if !order.is_ordered && *data_centre == state.settings.data_centre {
        doubt_all_servers(state, "end of evacuation");
    }
    state.count("evacuation_changed");
    info!(state.logger, "{}", EventName::EvacuationChanged;
        "data_centre" => data_centre.to_string(), "is_ordered" => order.is_ordered,
        "revision" => order.revision.to_string());
}

fn replicate_state(state: &NodeState, data_centre: &DataCentre) {
    let record = state.record(&EvacuationOrder::key(data_centre));
    let record = record.and_then(|value| {
        let key = EvacuationOrder::key(data_centre);
        EvacuationOrder::from_record(&RecordEntry { key, value }).ok()
    });
    let entry = {
        let table = state.placement.evacuations();
        let order = table.record_to_write(data_centre, record.as_ref());
        order.map(EvacuationOrder::to_record)
    };
    if let Some(RecordEntry { key, value }) = entry
        && let Err(error) = state.put_record(key, value)
    {
        report_refused_record(state, &error);
    }
}

fn report_refused_record(state: &NodeState, error: &MeshError) {
    state.count("record_refused");
    warn!(state.logger, "{}", EventName::RecordRefused; "message" => error.to_string());
}
