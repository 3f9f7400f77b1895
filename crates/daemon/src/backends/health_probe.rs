use std::{sync::Arc, time::Duration};

use actix_web::http::header::HeaderValue;
use awc::Client;
use bronzelb_kernel::{
    ids::BackendName,
    member::{BackendAnnouncement, StatedCold},
};
use slog::{info, warn};
use tokio::{task::spawn_local, time};

use crate::{
    backends::apply_cold_limit,
    log::EventName,
    node::{NodeState, StopSignal},
};

/// Interval at which servers that have not answered are looked for; an event wakes the task at
/// once.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks servers that may be cold how much longer they are, until the stop signal.
///
/// A server is asked only after an event that may have turned it cold, and then at most once a
/// second until it answers.
pub async fn run_health_probes(state: Arc<NodeState>, mut stop: StopSignal) {
    let client = Client::builder()
        .disable_redirects()
        .timeout(RESPONSE_TIMEOUT)
        .finish();
    loop {
        tokio::select! {
            () = state.cold_events.notified() => {}
            is_running = stop.tick(CHECK_INTERVAL) => if !is_running {
                return;
            },
        }
        let probes = state.backends().take_probes(state.now());
        for (name, announcement) in probes {
            let (state, client) = (Arc::clone(&state), client.clone());
            spawn_local(async move { probe_server(&state, &client, &name, &announcement).await });
        }
    }
}

async fn probe_server(
    state: &NodeState,
    client: &Client,
    name: &BackendName,
    announcement: &BackendAnnouncement,
) {
    let config = state.config();
    let spec = config
        .as_ref()
        .and_then(|config| config.snapshot().services.get(&announcement.service));
    let Some(path) = spec.and_then(|spec| spec.health_path.as_ref()) else {
        return;
    };
    let asked_at = state.now();
    state.count("health_requests");
    match ask_server(state, client, name, announcement, path).await {
        StatedCold::Left(cold_left) => {
            let now = state.now();
            let is_changed = state.backends().record_cold(now, name, asked_at, cold_left);
            apply_cold_limit(state, name);
            if is_changed {
                state.publish_backends();
            }
            if state.should_log(EventName::ServerCold) {
                info!(state.logger, "{}", EventName::ServerCold;
                    "backend" => name.to_string(), "left_ms" => cold_left.as_millis());
            }
        }
        StatedCold::Refused => {
            state.count("health_response_refused");
            if state.should_log(EventName::AnnouncementRefused) {
                warn!(state.logger, "{}", EventName::AnnouncementRefused;
                    "backend" => name.to_string(),
                    "message" => "the cold time of a health response is negative, endless or \
                                  unreadable and was left out");
            }
        }
        StatedCold::Unknown => {}
    }
}

async fn ask_server(
    state: &NodeState,
    client: &Client,
    name: &BackendName,
    announcement: &BackendAnnouncement,
    path: &str,
) -> StatedCold {
    let dialect = &state.settings.dialect.servers;
    let mut request = client
        .get(format!("http://{}{path}", announcement.address))
        .insert_header((dialect.request_header, state.next_request_id().as_str()));
    if let Some(header) = dialect.expected_server_header {
        request = request.insert_header((header, name.as_str()));
    }
    let Ok(Ok(response)) = time::timeout(RESPONSE_TIMEOUT, request.send()).await else {
        return StatedCold::Unknown;
    };
    let header = |name: &str| response.headers().get(name).map(HeaderValue::as_bytes);
    (dialect.read_notice)(response.status().as_u16(), &header).cold_left
}
