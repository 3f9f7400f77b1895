use bronzelb_kernel::{config::ShareRatio, error::MeshError};

const PPM_PER_UNIT: u64 = 1_000_000;

/// Returns the ratio of busy slots to all slots, capped at 1.
///
/// # Errors
///
/// `Invalid` if the report has zero slots.
pub(crate) fn slot_utilization(busy: u32, slots: u32) -> Result<ShareRatio, MeshError> {
    let ppm = (u64::from(busy) * PPM_PER_UNIT)
        .checked_div(u64::from(slots))
        .ok_or_else(|| MeshError::invalid("report has zero slots"))?;
    Ok(ShareRatio::from_ppm(u32::try_from(ppm).unwrap_or(u32::MAX)))
}
