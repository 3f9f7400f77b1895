use bronzelb_kernel::ids::BackendName;
use slog::info;

use crate::{log::EventName, node::NodeState};

/// Records contact with another node. After a silence the servers of this VM may be cold.
pub(crate) fn record_contact(state: &NodeState) {
    if state.contacts.record_contact(state.now()) {
        doubt_all_servers(state, "silent network");
    }
}

/// Treats every server on this node as cold until it says otherwise.
pub(crate) fn doubt_all_servers(state: &NodeState, reason: &'static str) {
    let names: Vec<_> = {
        let backends = state.backends();
        backends.iter().map(|(name, _)| name.clone()).collect()
    };
    for name in &names {
        doubt_server(state, name, reason);
    }
}

/// Treats a server as cold until it says otherwise, if its service declares how it is then limited.
pub(crate) fn doubt_server(state: &NodeState, name: &BackendName, reason: &'static str) {
    let is_changed = {
        let mut backends = state.backends();
        if backends.cold_limit(name).is_none() {
            return;
        }
        backends.record_doubt(state.now(), name)
    };
    apply_cold_limit(state, name);
    state.cold_events.notify_one();
    state.count_labeled("server_cold_doubted", "reason", reason);
    if is_changed {
        state.publish_backends();
    }
    if state.should_log(EventName::ServerCold) {
        info!(state.logger, "{}", EventName::ServerCold;
            "backend" => name.to_string(), "reason" => reason);
    }
}

/// Applies what is known of a server's cold time to the queue for its slots.
pub(crate) fn apply_cold_limit(state: &NodeState, name: &BackendName) {
    let limit = state.backends().cold_limit(name);
    if let Some(runtime) = state.requests.known_runtime(name) {
        runtime.slot_limiter.set_cold_limit(limit);
    }
}
