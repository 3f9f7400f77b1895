use std::str;

use bronzelb_kernel::{
    error::MeshError,
    plugin::{LoadReport, ReportReader},
};

use crate::slot_utilization;

const HEALTH_FIELD: &str = "health";
const BUSY_FIELD: &str = "busy-slots";
const SLOTS_FIELD: &str = "total-slots";
const HEALTHY_VALUE: &str = "ok";

inventory::submit! {
    ReportReader {
        name: "plain-status",
        path: "/status.txt",
        read,
    }
}

/// Parses lines of the form `field: value`; unknown fields are ignored.
fn read(body: &[u8]) -> Result<LoadReport, MeshError> {
    let text = str::from_utf8(body)
        .map_err(|_| MeshError::invalid("plain-status report is not UTF-8 text"))?;
    let health = find_field(text, HEALTH_FIELD)?;
    let busy = parse_u32_field(text, BUSY_FIELD)?;
    let slots = parse_u32_field(text, SLOTS_FIELD)?;
    Ok(LoadReport {
        is_healthy: health == HEALTHY_VALUE,
        load: slot_utilization(busy, slots)?,
    })
}

fn find_field<'a>(text: &'a str, name: &str) -> Result<&'a str, MeshError> {
    text.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(field, _)| field.trim() == name)
        .map(|(_, value)| value.trim())
        .ok_or_else(|| MeshError::invalid(format!("plain-status report has no field {name:?}")))
}

fn parse_u32_field(text: &str, name: &str) -> Result<u32, MeshError> {
    let value = find_field(text, name)?;
    value.parse().map_err(|_| {
        MeshError::invalid(format!(
            "field {name:?} of the plain-status report is {value:?} instead of a whole number"
        ))
    })
}
