use std::{sync::Arc, time::Duration};

use bronzelb_kernel::{
    clock::TimeBudget,
    config::ConfigVersion,
    error::{ErrorKind, MeshError},
    spread::VersionRow,
};
use bronzelb_platform::{PlatformClient, PlatformTarget, table::RowKey};
use slog::warn;

use crate::{
    log::EventName,
    node::{NodeState, PlatformHealth, StopSignal},
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const CALL_BUDGET: TimeBudget = TimeBudget::from_secs(5);

/// Reads accepted versions from the platform until the stop signal.
pub async fn run_source(state: Arc<NodeState>, mut stop: StopSignal) {
    let platform = match connect(&state) {
        Ok(platform) => platform,
        Err(error) => {
            warn!(state.logger, "{}", EventName::PlatformState; "message" => error.to_string());
            return;
        }
    };
    loop {
        let result = poll(&state, &platform).await;
        report(&state, &result);
        if !stop.pause(POLL_INTERVAL).await {
            return;
        }
    }
}

fn connect(state: &NodeState) -> Result<PlatformClient, MeshError> {
    let settings = &state.settings;
    let target = PlatformTarget::new(settings.platform.address.to_string())
        .with_local_address(settings.peers.listen.ip());
    PlatformClient::connect(&settings.platform.kind, &target)
}

async fn poll(state: &NodeState, platform: &PlatformClient) -> Result<(), MeshError> {
    let key: RowKey = VersionRow::key(&state.settings.mesh).parse()?;
    let deadline = state.now().after(CALL_BUDGET);
    let Some(found) = platform.get_row(&key, deadline).await? else {
        return Ok(());
    };
    let row = VersionRow::from_json(&found.value)?;
    let held = state.config().map(|config| config.stamp().number);
    if held >= Some(row.number) {
        return Ok(());
    }
    let deadline = state.now().after(CALL_BUDGET);
    let body = platform.get_object(&row.object, deadline).await?;
    let body = body.ok_or_else(|| {
        MeshError::new(
            ErrorKind::NotFound,
            format!(
                "object {:?} of version {} does not exist",
                row.object, row.number
            ),
        )
    })?;
    let version = ConfigVersion::from_bytes(row.stamp(), body)?;
    if state.apply_config(version) {
        state.refresh_own_row();
    }
    Ok(())
}

fn report(state: &NodeState, result: &Result<(), MeshError>) {
    let health = match result {
        Err(error) if error.kind() == ErrorKind::PlatformAway => PlatformHealth::Away,
        _ => PlatformHealth::Present,
    };
    state.set_platform_health(health);
    if let Err(error) = result
        && error.kind() != ErrorKind::PlatformAway
    {
        state.count("config_refused");
        warn!(state.logger, "{}", EventName::ConfigRefused; "message" => error.to_string());
    }
}
