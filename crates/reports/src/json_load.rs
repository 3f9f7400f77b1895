use bronzelb_kernel::{
    error::MeshError,
    plugin::{LoadReport, ReportReader},
};
use serde::Deserialize;

use crate::slot_utilization;

inventory::submit! {
    ReportReader {
        name: "json-load",
        path: "/report",
        read,
    }
}

/// Report such as `{"healthy":true,"busy":3,"slots":12}`; unknown fields are ignored.
#[derive(Deserialize)]
struct JsonReport {
    healthy: bool,
    busy: u32,
    slots: u32,
}

fn read(body: &[u8]) -> Result<LoadReport, MeshError> {
    let report: JsonReport = serde_json::from_slice(body)
        .map_err(|error| MeshError::invalid(format!("json-load report: {error}")))?;
    Ok(LoadReport {
        is_healthy: report.healthy,
        load: slot_utilization(report.busy, report.slots)?,
    })
}
